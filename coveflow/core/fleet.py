"""Decides which machines to rent, drain and return, from the shortages a plan reports. Pure."""

from __future__ import annotations

import math
from collections.abc import Callable
from collections.abc import Set as AbstractSet

import msgspec

from coveflow import constants as c
from coveflow.core.model import (
    Flavor,
    Job,
    ListedMachine,
    Machine,
    Placement,
    Spec,
    max_tasks_per_zone,
)
from coveflow.core.planner import Shortage
from coveflow.core.planner_state import fits_type_without_accelerators
from coveflow.core.timeline import EPS, count_placeable
from coveflow.settings import Tuning

BEST_EFFORT_WAIT_S = 8.0  # s a best-effort job waits for capacity before a machine is rented for it
DRAIN_MAX_USED_FRACTION = 0.5  # fraction of CPUs in use up to which draining a machine may pay off
DRAIN_MAX_FLEET_FRACTION = 0.1  # fraction of the machines that may drain at once; at least two
DRAIN_CANDIDATES_MAX = 64  # machines examined per cycle; bounds its cost in a large fleet
DRAIN_MIN_REMAINING_S = 20.0  # s; less does not pay for the save, image fetch and start of a move
DRAIN_MIN_RUN_S = 35.0  # s a task must have run; a start that is stopped earlier counts as none
AMPLE_IDLE_S = 5.0  # s after which an idle machine is returned while idle capacity is ample
AMPLE_IDLE_FRACTION = 0.4  # of the CPUs in use; more idle capacity exceeds the need of a burst
TYPICAL_USE_S = 90.0  # s a rented machine is typically busy; its boot cost is spread over this time
PROMPT_PEAK_S = 180.0  # s for which the peak number of machines used by prompt jobs is kept up
REFUSAL_RETRY_S = 15.0  # s before a type, zone and kind is requested again after a refusal


class RentalRequest(msgspec.Struct, frozen=True):
    """One rental request to the cloud."""

    flavor: str
    zone: str
    spot: bool
    count: int

    @property
    def key(self) -> tuple[str, str, bool]:
        return (self.flavor, self.zone, self.spot)

    def label(self) -> str:
        return f"{self.count} {self.flavor} in {self.zone}{' spot' if self.spot else ''}"


class BootingMachine(msgspec.Struct, eq=False):
    flavor: str
    zone: str
    spot: bool
    since: float


class SimulatedMachine(msgspec.Struct, eq=False):
    """Free capacity of a machine, used to simulate placements on it.

    The machine may be up, booting or about to be rented.
    """

    flavor: Flavor
    zone: str
    spot: bool
    cpus: float
    ram_gb: float
    accelerators: float
    slots: int = c.MACHINE_PLACEMENTS

    def allows(self, spec: Spec) -> bool:
        return (
            (spec.types is None or self.flavor.name in spec.types)
            and (spec.zone is None or spec.zone == self.zone)
            and (spec.spot or not self.spot)
        )

    def place_up_to(self, spec: Spec, count: int) -> int:
        if not self.allows(spec):
            return 0
        took = min(
            count, self.slots, count_placeable(self.cpus, self.ram_gb, self.accelerators, spec)
        )
        self.slots -= took
        self.cpus -= took * spec.cpus
        self.ram_gb -= took * spec.ram_gb
        self.accelerators -= took * spec.accelerators
        return took

    def release(self, spec: Spec) -> None:
        self.slots += 1
        self.cpus += spec.cpus
        self.ram_gb += spec.ram_gb
        self.accelerators += spec.accelerators


class ZoneTaskCounts(msgspec.Struct, eq=False):
    """Tasks of one job by zone, and the zones that may take more of them.

    Without it, machines for a job spread over two zones were rented in the cheaper zone again and
    again, although that zone could take no more of its tasks.
    """

    spec: Spec
    zones: dict[str, int]

    def remaining(self, zone: str) -> int:
        """Return how many more tasks the zone may take under the job's placement constraints."""
        if self.spec.one_zone and self.zones and zone not in self.zones:
            return 0
        return (
            max_tasks_per_zone(self.spec) - self.zones.get(zone, 0)
            if self.spec.spread
            else self.spec.tasks
        )

    def place_up_to(self, machine: SimulatedMachine, count: int) -> int:
        took = machine.place_up_to(self.spec, min(count, max(0, self.remaining(machine.zone))))
        if took and self.spec.spread:
            self.zones[machine.zone] = self.zones.get(machine.zone, 0) + took
        return took

    def full_zones(self, zones: AbstractSet[str]) -> set[str]:
        return {zone for zone in zones if self.remaining(zone) <= 0}


def empty_machine(flavor: Flavor, zone: str, spot: bool) -> SimulatedMachine:
    return SimulatedMachine(flavor, zone, spot, flavor.cpus, flavor.ram_gb, flavor.accelerators)


def _simulate(m: Machine) -> SimulatedMachine:
    """Return the free capacity of a machine that is up."""
    slots = max(0, c.MACHINE_PLACEMENTS - len(m.placements))
    return SimulatedMachine(m.flavor, m.zone, m.spot, m.cpus, m.ram_gb, m.accelerators, slots)


class Backlog:
    """Best-effort work that waits while spot is refused, and the machines that may run it."""

    def __init__(self, machines: list[Machine], coming: list[SimulatedMachine]) -> None:
        self.machines, self.upcoming = machines, coming
        self.cpu_s = 0.0  # CPU seconds of work, by the users' estimates

    def add(self, spec: Spec, count: int) -> None:
        run_s = c.BACKLOG_S if spec.kind == "service" else spec.expected_s
        self.cpu_s += spec.cpus * count * run_s

    def extra_tasks_needed(self, spec: Spec) -> int:
        """Return how many more tasks must run at once for the whole backlog to start in time.

        Zero while a usable spot machine is up or booting: the work waits for that one.
        """
        capacities: list[Machine | SimulatedMachine] = [
            m for m in self.machines if _usable(m, spec)
        ]
        capacities += [capacity for capacity in self.upcoming if capacity.allows(spec)]
        if any(capacity.spot for capacity in capacities):
            return 0
        cpus = sum(capacity.flavor.cpus for capacity in capacities)
        missing = self.cpu_s / c.BACKLOG_S - cpus
        return max(0, math.ceil(missing / max(spec.cpus, EPS)))


class Fleet(msgspec.Struct, eq=False):
    booting: dict[str, BootingMachine] = {}
    pending_requests: dict[tuple[str, str, bool], RentalRequest] = {}
    refused_until: dict[tuple[str, str, bool], float] = {}
    refused_since: dict[tuple[str, str, bool], float] = {}  # first of the consecutive refusals
    prompt_peaks: dict[
        tuple[str, bool], tuple[int, float]
    ] = {}  # peak count and its time, by type, spot

    def is_booting(self, machine: str) -> bool:
        return machine in self.booting

    def mark_up(self, machine: str, now: float) -> None:
        self.booting.pop(machine, None)

    def mark_gone(self, machine: str) -> None:
        self.booting.pop(machine, None)

    def add_listed(self, row: ListedMachine, now: float) -> None:
        self.booting[row.machine] = BootingMachine(row.type, row.zone, row.spot, now - row.age_s)

    def record_rented(self, want: RentalRequest, machines: list[str], now: float) -> None:
        self.pending_requests.pop(want.key, None)
        if machines:
            self.refused_since.pop(want.key, None)
        for machine in machines:
            self.booting[machine] = BootingMachine(want.flavor, want.zone, want.spot, now)
        if len(machines) < want.count:
            self.refused_until[want.key] = now + REFUSAL_RETRY_S

    def record_refused(self, want: RentalRequest, now: float) -> None:
        self.pending_requests.pop(want.key, None)
        if now > self.refused_until.get(want.key, -math.inf) + REFUSAL_RETRY_S:
            # Nothing was requested since, so the earlier refusals do not form one streak with this.
            self.refused_since.pop(want.key, None)
        self.refused_since.setdefault(want.key, now)
        self.refused_until[want.key] = now + REFUSAL_RETRY_S

    def pop_overdue_boots(self, now: float, flavors: dict[str, Flavor]) -> list[str]:
        """Remove and return the machines that failed to boot in time.

        They cost money until they are returned.
        """
        late = []
        for name, boot in self.booting.items():
            flavor = flavors.get(boot.flavor)
            nominal = flavor.boot_s if flavor else 60.0
            if now - boot.since > nominal * c.BOOT_TIMEOUT_FACTOR + c.BOOT_TIMEOUT_EXTRA_S:
                late.append(name)
        for name in late:
            del self.booting[name]
        return late

    def decide(
        self,
        *,
        now: float,
        machines: list[Machine],
        shortages: list[Shortage],
        flavors: list[Flavor],
        tuning: Tuning,
        fleet_known: bool,
        is_prompt: Callable[[str], bool] = lambda job: False,
        excluded_zones: AbstractSet[str] = frozenset(),
        prompt_work_expected: bool = True,
    ) -> tuple[list[RentalRequest], list[str]]:
        """Return the rentals to request and the machines to return.

        Nothing is requested in the zones in `excluded_zones`. `is_prompt` says whether a job
        belongs to a class that must start promptly and still receives jobs;
        `prompt_work_expected` says whether any such class exists. If none does, no machines are
        kept up for it.
        """
        by_name = {f.name: f for f in flavors}
        if prompt_work_expected:
            self._update_prompt_peaks(now, machines, is_prompt)
        else:
            # No prompt jobs are expected, so their machines need not be kept up. Without this,
            # 8,000 CPUs stayed up for three minutes after the last burst of a day.
            self.prompt_peaks.clear()
        wants = (
            self._choose_rentals(now, shortages, by_name, machines, excluded_zones)
            if fleet_known
            else []
        )
        returns = self._choose_returns(now, machines, shortages, tuning) if fleet_known else []
        return wants, returns

    def _update_prompt_peaks(
        self, now: float, machines: list[Machine], is_prompt: Callable[[str], bool]
    ) -> None:
        """Track how many machines of each type and kind run jobs that must start promptly.

        The peak of the last minutes is kept up, as a boot takes longer than such jobs may wait.
        """
        counts: dict[tuple[str, bool], int] = {}
        for m in machines:
            if any(is_prompt(p.job) for p in m.placements.values()):
                key = (m.flavor.name, m.spot)
                counts[key] = counts.get(key, 0) + 1
        for key, count in counts.items():
            if count >= self.prompt_peaks.get(key, (0, 0.0))[0]:
                self.prompt_peaks[key] = (count, now)
        for key, (_, at) in list(self.prompt_peaks.items()):
            if now - at > PROMPT_PEAK_S:
                self.prompt_peaks[key] = (counts.get(key, 0), now)

    def _choose_rentals(
        self,
        now: float,
        shortages: list[Shortage],
        flavors: dict[str, Flavor],
        machines: list[Machine],
        excluded_zones: AbstractSet[str],
    ) -> list[RentalRequest]:
        coming = [
            empty_machine(flavors[b.flavor], b.zone, b.spot)
            for b in self.booting.values()
            if b.flavor in flavors and b.zone not in excluded_zones
        ]
        for want in self.pending_requests.values():
            if want.flavor in flavors:
                coming += [
                    empty_machine(flavors[want.flavor], want.zone, want.spot)
                    for _ in range(want.count)
                ]
        counts: dict[tuple[str, str, bool], int] = {}
        zones = {zone for flavor in flavors.values() for zone in flavor.zones}
        backlog = Backlog(machines, list(coming))
        for shortage in shortages:
            spec, left = shortage.spec, shortage.count
            if not shortage.urgent and shortage.waited_s < BEST_EFFORT_WAIT_S:
                continue
            # Zones whose machines cannot help the job. Without this, more machines were rented in
            # each cycle in zones that a job bound to one zone cannot use.
            unusable_zones = (
                frozenset() if shortage.usable_zones is None else zones - shortage.usable_zones
            )
            # Machines with accelerators are kept for jobs that need them if other types will do.
            plain = spec.accelerators <= 0 and fits_type_without_accelerators(
                spec, list(flavors.values())
            )
            zone_counts = ZoneTaskCounts(spec, dict(shortage.tasks_by_zone))
            for machine in coming:
                if left <= 0:
                    break
                if machine.zone not in unusable_zones and not (
                    plain and machine.flavor.accelerators > 0
                ):
                    left -= zone_counts.place_up_to(machine, left)
            on_demand = shortage.urgent or _fits_no_machine_up(
                spec,
                [
                    m
                    for m in machines
                    if m.zone not in unusable_zones and m.id not in shortage.excluded_machines
                ],
            )
            if (
                not on_demand
                and left > 0
                and self._spot_refused(now, spec, flavors, plain, excluded_zones)
            ):
                backlog.add(spec, left)
                left = self._count_on_demand_tasks(shortage, left, backlog)
                on_demand = left > 0
            coming = [machine for machine in coming if machine.cpus > EPS]
            while left > 0:
                # A type, zone and kind whose request is at the maximum is skipped, so that the
                # rest is requested from the next cheapest one in the same cycle.
                blocked_zones = excluded_zones | unusable_zones | zone_counts.full_zones(zones)
                option = self._cheapest_option(
                    now, spec, on_demand, left, flavors, counts, plain, blocked_zones
                )
                if option is None:
                    break
                flavor, zone, spot = option
                machine = empty_machine(flavor, zone, spot)
                took = zone_counts.place_up_to(machine, left)
                if took <= 0:
                    break
                left -= took
                coming.append(machine)
                backlog.upcoming.append(machine)
                key = (flavor.name, zone, spot)
                counts[key] = counts.get(key, 0) + 1
        wants = []
        for key, count in counts.items():
            want = RentalRequest(*key, count)
            self.pending_requests[key] = want
            wants.append(want)
        return wants

    def _spot_refused(
        self,
        now: float,
        spec: Spec,
        flavors: dict[str, Flavor],
        plain: bool,
        excluded_zones: AbstractSet[str],
    ) -> bool:
        """Whether the cloud has refused all spot machines the job may use for SPOT_REFUSED_S."""
        keys = [
            (flavor.name, zone, True)
            for flavor in flavors.values()
            if (spec.types is None or flavor.name in spec.types)
            and not (plain and flavor.accelerators > 0)
            and count_placeable(flavor.cpus, flavor.ram_gb, flavor.accelerators, spec) > 0
            for zone in flavor.zones
            if zone not in excluded_zones and spec.zone in (None, zone)
        ]
        return all(
            (self.refused_until.get(key, -math.inf) > now or key in self.pending_requests)
            and now - self.refused_since.get(key, now) >= c.SPOT_REFUSED_S
            for key in keys
        )

    def _count_on_demand_tasks(self, shortage: Shortage, left: int, backlog: Backlog) -> int:
        """Return how many best-effort tasks get on-demand machines while spot is refused.

        Waiting for the machines that are up is cheaper, so the job waits, with two exceptions: no
        task of it was ever placed, or there are no spot machines at all and the wait would be too
        long. Without the second one, one machine did the work of ten for 200 s while more arrived.
        """
        if shortage.waited_s < c.SPOT_REFUSED_S:
            return 0
        if not shortage.has_started and shortage.waited_s >= c.FIRST_START_S:
            return left
        count = min(left, backlog.extra_tasks_needed(shortage.spec))
        return left if count and shortage.spec.kind == "gang" else count

    def _cheapest_option(
        self,
        now: float,
        spec: Spec,
        on_demand: bool,
        left: int,
        flavors: dict[str, Flavor],
        counts: dict[tuple[str, str, bool], int],
        plain: bool,
        excluded_zones: AbstractSet[str],
    ) -> tuple[Flavor, str, bool] | None:
        best: tuple[tuple[float, ...], tuple[Flavor, str, bool]] | None = None
        for flavor in flavors.values():
            if spec.types is not None and flavor.name not in spec.types:
                continue
            slots = count_placeable(flavor.cpus, flavor.ram_gb, flavor.accelerators, spec)
            if slots <= 0 or (plain and flavor.accelerators > 0):
                continue
            for zone in flavor.zones:
                if zone in excluded_zones or (spec.zone is not None and zone != spec.zone):
                    continue
                for spot in (True, False) if spec.spot else (False,):
                    key = (flavor.name, zone, spot)
                    if self.refused_until.get(key, -math.inf) > now or key in self.pending_requests:
                        continue
                    if counts.get(key, 0) >= c.MAX_RENT:
                        continue
                    if not spot and spec.spot and not on_demand:
                        continue
                    # The boot time is billed too, so a machine that boots faster may be cheaper.
                    paid = flavor.rate(spot) * (flavor.boot_s + TYPICAL_USE_S)
                    rank = (paid / min(slots, max(left, 1)), flavor.boot_s)
                    if best is None or rank < best[0]:
                        best = (rank, (flavor, zone, spot))
        return best[1] if best else None

    def choose_drains(
        self,
        now: float,
        machines: list[Machine],
        shortages: list[Shortage],
        left: Callable[[Placement], float],
        job_of: Callable[[str], Job],
    ) -> list[str]:
        """Return the machines to drain: those with few tasks, all able to save and fit elsewhere.

        Without draining, the last long tasks of a burst kept nearly empty machines up for minutes.
        """
        moving = sum(m.draining for m in machines)
        most = max(2, int(DRAIN_MAX_FLEET_FRACTION * len(machines)))
        if shortages or moving >= most:
            return []
        targets = [
            m
            for m in machines
            if m.up
            and not (
                m.returning or m.draining or m.failures.suspected or m.answer_receipt.not_receiving
            )
            and m.ends_at is None
        ]
        candidates: list[tuple[float, Machine, list[Spec]]] = []
        for m in targets:
            used = m.flavor.cpus - m.cpus
            if not m.placements or used > DRAIN_MAX_USED_FRACTION * m.flavor.cpus:
                continue
            if now - m.known_since < c.MIN_BILLED_S:
                continue
            jobs = [job_of(p.job) for p in m.placements.values()]
            specs = [job.spec for job in jobs]
            if any(
                job.spec.checkpoint_s <= 0 or job.spec.kind != "array" or not job.may_repeat
                for job in jobs
            ) or any(
                p.stopping
                or p.state != "running"
                or left(p) < DRAIN_MIN_REMAINING_S
                or p.running_since is None
                or now - p.running_since < DRAIN_MIN_RUN_S
                for p in m.placements.values()
            ):
                continue
            candidates.append((m.flavor.rate(m.spot) / max(used, EPS), m, specs))
        candidates.sort(key=lambda entry: (-entry[0], entry[1].id))
        capacities = [
            (
                m.flavor.rate(m.spot) / max(m.flavor.cpus, EPS),
                m.id,
                _simulate(m),
            )
            for m in targets
            if m.placements and m.cpus > EPS
        ]
        capacities.sort(key=lambda entry: entry[:2])
        chosen: list[str] = []
        for _, m, specs in candidates[:DRAIN_CANDIDATES_MAX]:
            if len(chosen) + moving >= most:
                break
            per_cpu = m.flavor.rate(m.spot) / max(m.flavor.cpus, EPS)
            others = [
                capacity
                for rate, name, capacity in capacities
                if rate <= per_cpu + EPS and name != m.id and name not in chosen
            ]
            if _can_move_all(specs, others):
                chosen.append(m.id)
        return chosen

    def _choose_returns(
        self,
        now: float,
        machines: list[Machine],
        shortages: list[Shortage],
        tuning: Tuning,
    ) -> list[str]:
        idle: list[Machine] = []
        free = used = 0.0
        up: dict[tuple[str, bool], int] = {}
        for m in machines:
            if m.returning or not m.up or m.answer_receipt.not_receiving:
                continue
            key = (m.flavor.name, m.spot)
            up[key] = up.get(key, 0) + 1
            used += m.flavor.cpus - m.cpus
            free += m.cpus
            if m.placements or m.uncommitted_ends:
                m.idle_since = None
                continue
            if m.idle_since is None:
                m.idle_since = now
            idle.append(m)
        wait = tuning.idle_s
        soon = min(wait, AMPLE_IDLE_S)
        # Return the most expensive machines per CPU first.
        idle.sort(key=lambda m: -m.flavor.rate(m.spot) / max(m.flavor.cpus, 1.0))
        returns = []
        for m in idle:
            if m.draining:
                # A draining machine accepts no work, so keeping it idle only costs money.
                free -= m.cpus
                returns.append(m.id)
                continue
            ample = free - m.flavor.cpus > AMPLE_IDLE_FRACTION * used
            if now - m.idle_since < (soon if ample else wait):
                continue
            if now - m.known_since < c.MIN_BILLED_S - m.flavor.boot_s:
                continue
            if m.ends_at is not None:
                continue
            if any(
                m.allows(shortage.spec)
                and (shortage.usable_zones is None or m.zone in shortage.usable_zones)
                for shortage in shortages
            ):
                continue
            if free - m.flavor.cpus < tuning.spare * used:
                continue
            key = (m.flavor.name, m.spot)
            if up[key] <= self.prompt_peaks.get(key, (0, 0.0))[0]:
                continue
            up[key] -= 1
            free -= m.flavor.cpus
            returns.append(m.id)
        return returns


def _fits_no_machine_up(spec: Spec, machines: list[Machine]) -> bool:
    """Whether the machines that are up could not run the job even if they were all empty.

    Best-effort jobs that may use spot machines wait for those or for capacity on machines that are
    up. With neither, they would wait forever: in a zone without spot machines whose last machine
    was returned, for example, or for a gang larger than the machines that are up.
    """
    zones: dict[str, int] = {}
    for m in machines:
        if _usable(m, spec):
            fits = count_placeable(m.flavor.cpus, m.flavor.ram_gb, m.flavor.accelerators, spec)
            zones[m.zone] = zones.get(m.zone, 0) + fits
    if spec.spread:
        zones = {zone: min(fits, max_tasks_per_zone(spec)) for zone, fits in zones.items()}
    together = max if spec.one_zone else sum
    # A gang and a spread service need capacity for all their tasks: what becomes free in one zone
    # does not help the half that must run in another.
    whole = spec.kind == "gang" or (spec.kind == "service" and spec.spread)
    return together(zones.values() or [0]) < (spec.tasks if whole else 1)


def _usable(m: Machine, spec: Spec) -> bool:
    return (
        m.up
        and not (m.returning or m.draining or m.answer_receipt.not_receiving)
        and not m.failures.suspected
        and m.allows(spec)
    )


def _can_move_all(specs: list[Spec], capacities: list[SimulatedMachine]) -> bool:
    """Place one task per spec; on failure undo all of it and return False."""
    moved: list[tuple[SimulatedMachine, Spec]] = []
    for spec in specs:
        for capacity in capacities:
            if capacity.place_up_to(spec, 1):
                moved.append((capacity, spec))
                break
        else:
            for capacity, back in moved:
                capacity.release(back)
            return False
    return True
