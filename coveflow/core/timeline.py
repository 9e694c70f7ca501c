"""Predicts when capacity becomes free, for pools of machines instead of single machines.

Machines of one type, zone and kind (spot or on-demand) form a pool. A pool's future is divided
into time buckets. For every requested task size, the pool counts how many such tasks its machines
could run from each bucket on, by the predicted ends of the running attempts, less reservations.
The cost of a planned start thus depends on pools and buckets, not on machines and tasks.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping, Set

import msgspec

from coveflow import constants as c
from coveflow.core.model import Machine, Spec

EPS = 1e-6
TRACE_ACCELERATORS = 1e-9  # marks a size as accelerator work without limiting how many fit
Size = tuple[float, float, float]  # CPUs, GB of memory, accelerators


def count_fitting(cpus: float, ram: float, acc: float, spec: Spec) -> int:
    """Return how many tasks of the job fit into this capacity."""
    return count_fitting_size(cpus, ram, acc, (spec.cpus, spec.ram_gb, spec.accelerators))


def count_fitting_size(cpus: float, ram: float, acc: float, size: Size) -> int:
    most = math.inf
    if size[0] > 0:
        most = (cpus + EPS) // size[0]
    if size[1] > 0:
        most = min(most, (ram + EPS) // size[1])
    if size[2] > 0:
        most = min(most, (acc + EPS) // size[2])
    return 1_000_000 if most == math.inf else max(0, int(most))


def count_placeable(cpus: float, ram: float, acc: float, spec: Spec) -> int:
    """Return how many tasks of the job one machine with this capacity may run.

    A machine's record has a limited number of placements. Without that limit, a machine with 200
    of 500 small tasks seemed to have capacity for the other 300.
    """
    return min(count_fitting(cpus, ram, acc, spec), c.MACHINE_PLACEMENTS)


def size_of(spec: Spec, bound: bool = False) -> Size:
    """Return a task's size.

    A task `bound` to machines with accelerators is treated as accelerator work: it can run nowhere
    else, so the capacity reserved for free accelerators must not be withheld from it.
    """
    trace = TRACE_ACCELERATORS if bound and spec.accelerators <= 0 else 0.0
    return (spec.cpus, spec.ram_gb, spec.accelerators + trace)


def count_usable(
    cpus: float, ram: float, acc: float, size: Size, reserve: tuple[float, float]
) -> int:
    """Return how many more tasks of this size one machine may run.

    For sizes without accelerators, the reserve of the free accelerators is subtracted first.
    """
    if size[2] <= 0 and acc > 0:
        cpus, ram = cpus - acc * reserve[0], ram - acc * reserve[1]
    return min(count_fitting_size(cpus, ram, acc, size), c.MACHINE_PLACEMENTS)


class Reservation(msgspec.Struct, eq=False):
    """Capacity of a pool reserved for tasks of a job, from planned start to predicted end."""

    start: float
    end: float
    count: int
    size: Size
    job: str


class MachineCapacity(msgspec.Struct, eq=False):
    """Free capacity of a machine, and the releases predicted for it."""

    machine: Machine
    cpus: float
    ram_gb: float
    accelerators: float
    slots: int
    initial: Size  # free capacity at the start of the pass
    reserve: tuple[float, float] = (0.0, 0.0)  # CPUs and GB reserved for each free accelerator
    releases: list[tuple[int, float, float, float]] = []

    def count_fitting(self, size: Size) -> int:
        capacity = (self.cpus, self.ram_gb, self.accelerators)
        return max(0, min(self.slots, count_usable(*capacity, size, self.reserve)))

    def allocate(self, spec: Spec, count: int) -> None:
        self.cpus -= spec.cpus * count
        self.ram_gb -= spec.ram_gb * count
        self.accelerators -= spec.accelerators * count
        self.slots -= count


class Pool:
    """Usable machines of one type, zone and kind."""

    def __init__(self, now: float, buckets: int, reserve: tuple[float, float] = (0.0, 0.0)) -> None:
        self.now, self.buckets, self.reserve = now, buckets, reserve
        self.whole: Pool | None = None  # of which this one is a part; see `without`
        self.capacities: list[MachineCapacity] = []
        self.reservations: list[Reservation] = []
        self.fit_counts: dict[Size, list[int]] = {}
        # The same, less reservations and started tasks.
        self.available_counts: dict[Size, list[int]] = {}
        # Bucket ranges in which those counts are outdated.
        self.stale_ranges: dict[Size, tuple[int, int]] = {}
        # Reserved amounts, for sizes without and with accelerators. The reserve separates the two,
        # so a reservation of one kind does not reduce the capacity of the other.
        self.reserved = {
            kind: ([0.0] * buckets, [0.0] * buckets, [0.0] * buckets) for kind in (False, True)
        }

    @property
    def zone(self) -> str:
        return self.capacities[0].machine.zone

    def bucket_index(self, at: float) -> int:
        return math.ceil((at - self.now) / c.TIMELINE_STEP_S - EPS)

    def _fit_counts(self, size: Size) -> list[int]:
        """Return how many tasks fit from each bucket on, without reservations and new starts."""
        known = self.fit_counts.get(size)
        if known is not None:
            return known
        steps = [0] * (self.buckets + 1)
        if self.reserve == (0.0, 0.0) and size[2] <= 0 and self._resources_limit_count(size):
            self._accumulate_plain_steps(size, steps)
        else:
            self._accumulate_steps(size, steps)
        total = 0
        units = []
        for step in steps[:-1]:
            total += step
            units.append(total)
        self.fit_counts[size] = units
        return units

    def _resources_limit_count(self, size: Size) -> bool:
        """Whether a machine's resources always run out before its limit of placements."""
        flavor = self.capacities[0].machine.flavor
        most = c.MACHINE_PLACEMENTS
        return size[0] * most > flavor.cpus and size[1] > 0

    def _accumulate_steps(self, size: Size, steps: list[int]) -> None:
        for capacity in self.capacities:
            cpus, ram, acc = capacity.initial
            have = count_usable(cpus, ram, acc, size, self.reserve)
            steps[0] += have
            for bucket, r_cpus, r_ram, r_acc in capacity.releases:
                cpus += r_cpus
                ram += r_ram
                acc += r_acc
                got = count_usable(cpus, ram, acc, size, self.reserve)
                if got > have:
                    steps[min(bucket, self.buckets)] += got - have
                    have = got

    def _accumulate_plain_steps(self, size: Size, steps: list[int]) -> None:
        """Do the same as `_accumulate_steps` where only CPUs and memory matter.

        Inlined, since function calls took most of the time of a full pass.
        """
        need_cpus, need_ram, _ = size
        for capacity in self.capacities:
            cpus, ram, _ = capacity.initial
            by_cpus, by_ram = (cpus + EPS) // need_cpus, (ram + EPS) // need_ram
            have = max(0, int(by_cpus if by_cpus < by_ram else by_ram))
            steps[0] += have
            for bucket, r_cpus, r_ram, _ in capacity.releases:
                cpus += r_cpus
                ram += r_ram
                by_cpus, by_ram = (cpus + EPS) // need_cpus, (ram + EPS) // need_ram
                got = int(by_cpus if by_cpus < by_ram else by_ram)
                if got > have:
                    steps[min(bucket, self.buckets)] += got - have
                    have = got

    def available(self, size: Size) -> list[int]:
        """Return how many tasks fit from each bucket on beside all reservations."""
        known = self.available_counts.get(size)
        if known is None:
            known = self.available_counts[size] = list(self._fit_counts(size))
            self._subtract(size, known, 0, self.buckets)
        elif size in self.stale_ranges:
            self._subtract(size, known, *self.stale_ranges.pop(size))
        return known

    def _subtract(self, size: Size, left: list[int], low: int, high: int) -> None:
        units = self.fit_counts[size]
        cpus, ram, acc = self.reserved[size[2] > 0]
        for i in range(low, high):
            taken = 0
            if size[0] > 0 and cpus[i] > EPS:
                taken = math.ceil(cpus[i] / size[0] - EPS)
            if size[1] > 0 and ram[i] > EPS:
                taken = max(taken, math.ceil(ram[i] / size[1] - EPS))
            if size[2] > 0 and acc[i] > EPS:
                taken = max(taken, math.ceil(acc[i] / size[2] - EPS))
            left[i] = units[i] - taken

    def bucket_range(self, start: float, end: float) -> tuple[int, int]:
        low = min(max(0, math.floor((start - self.now) / c.TIMELINE_STEP_S + EPS)), self.buckets)
        return low, min(max(low + 1, self.bucket_index(end)), self.buckets)

    def _add_reserved(self, reservation: Reservation) -> None:
        low, high = self.bucket_range(reservation.start, reservation.end)
        kind = reservation.size[2] > 0
        for table, amount in zip(self.reserved[kind], reservation.size, strict=True):
            if amount > 0:
                change = amount * reservation.count
                for i in range(low, high):
                    table[i] += change
        # Recomputed on demand: a size usually belongs to one job and is rarely requested again.
        for size in self.available_counts:
            if (size[2] > 0) == kind:
                old = self.stale_ranges.get(size)
                span = (low, high) if old is None else (min(low, old[0]), max(high, old[1]))
                self.stale_ranges[size] = span

    def without(self, machines: Set[str]) -> Pool:
        """Return the part of the pool without these machines; itself if it has none of them.

        All reservations of the pool count against the part. It is valid until the next change of
        the pool; reservations that are added to it go to the whole pool.
        """
        capacities = [found for found in self.capacities if found.machine.id not in machines]
        if len(capacities) == len(self.capacities):
            return self
        part = Pool(self.now, self.buckets, self.reserve)
        part.capacities, part.reserved, part.whole = capacities, self.reserved, self
        return part

    def add_reservation(self, reservation: Reservation) -> None:
        if self.whole is not None:
            self.whole.add_reservation(reservation)
            return
        self.reservations.append(reservation)
        self._add_reserved(reservation)

    def add_started(self, size: Size, count: int, end: float) -> None:
        """Subtract the capacity of tasks started in this pass until their predicted end."""
        self._add_reserved(Reservation(self.now, end, count, size, ""))


class ZoneLimit(msgspec.Struct, eq=False):
    """Counts the tasks of one job per zone against an optional limit."""

    limit: float = math.inf
    used: dict[str, int] = {}

    def remaining(self, zone: str) -> float:
        return self.limit - self.used.get(zone, 0)

    def add(self, zone: str, count: int) -> None:
        self.used[zone] = self.used.get(zone, 0) + count


def plan_starts(
    pools: Iterable[Pool],
    size: Size,
    left: int,
    predicted_s: float,
    job: str,
    limit: int,
    caps: Mapping[str, int] | None = None,
) -> list[tuple[Pool, Reservation]]:
    """Plan the earliest starts, from the next bucket on, that respect all reservations.

    `caps` limits the number of these tasks in each zone; None if zones do not matter.
    """
    width = max(1, math.ceil(predicted_s / c.TIMELINE_STEP_S - EPS))
    tables = [(pool, list(pool.available(size))) for pool in pools if pool.capacities]
    remaining_caps = None if caps is None else dict(caps)
    found: list[tuple[Pool, Reservation]] = []
    for b in range(1, limit):
        for pool, table in tables:
            if table[b] <= 0:
                continue
            count = min(left, min(table[b : b + width]))
            if remaining_caps is not None:
                count = min(count, remaining_caps.get(pool.zone, 0))
            if count <= 0:
                continue
            if remaining_caps is not None:
                remaining_caps[pool.zone] -= count
            for i in range(b, min(b + width, len(table))):
                table[i] -= count
            start = pool.now + b * c.TIMELINE_STEP_S
            found.append((pool, Reservation(start, start + predicted_s, count, size, job)))
            left -= count
            if left <= 0:
                return found
    return found


def plan_gang(
    pools: list[Pool],
    size: Size,
    tasks: int,
    predicted_s: float,
    job: str,
    limit: int,
    most_in_zone: float = math.inf,
) -> list[tuple[Pool, Reservation]]:
    """Plan the earliest start, from the next bucket on, at which the pools fit the whole gang."""
    width = max(1, math.ceil(predicted_s / c.TIMELINE_STEP_S - EPS))
    tables = [(pool, pool.available(size)) for pool in pools]
    for b in range(1, limit):
        if sum(table[b] for _, table in tables if table[b] > 0) < tasks:
            continue
        left = tasks
        zones = ZoneLimit(most_in_zone)
        found: list[tuple[Pool, Reservation]] = []
        for pool, table in tables:
            count = min(left, min(table[b : b + width]), zones.remaining(pool.zone))
            if count > 0:
                zones.add(pool.zone, count)
                start = pool.now + b * c.TIMELINE_STEP_S
                found.append((pool, Reservation(start, start + predicted_s, count, size, job)))
                left -= count
        if left <= 0:
            return found
    return []
