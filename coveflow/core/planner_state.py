"""Input of one planning pass: jobs, machines, teams, and a view of all free capacity.

Accelerators are scarcer than the CPUs of the same machine. Tasks without accelerators may
therefore use only the capacity that the machine's free accelerators do not need (the *reserve*).
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterable, Mapping
from typing import NamedTuple

import msgspec

from coveflow import constants as c
from coveflow.core import exclusions
from coveflow.core.capacity_index import CapacityIndex, PoolKey
from coveflow.core.model import Flavor, Job, Machine, Spec, max_tasks_per_zone
from coveflow.core.timeline import EPS, MachineCapacity, Pool, Size, count_fitting_size, size_of
from coveflow.settings import Objective, Team, Tuning

TIGHT_FREE_FRACTION = 0.25  # fraction of free CPUs below which the fleet counts as full


class Goal(NamedTuple):
    """A service level objective for every job of a class, in seconds from its arrival."""

    within_s: float
    on_completion: bool  # the job must be completed within the time; otherwise only started


class AcceleratorUse(NamedTuple):
    """CPUs and memory that a task uses per accelerator."""

    cpus: float
    ram_gb: float


class ClassDemand(NamedTuple):
    """Recent demand of a class."""

    spec: Spec  # spec of the newest job
    tasks_per_s: float


def goals_by_class(objectives: list[Objective]) -> dict[str, tuple[Goal, ...]]:
    """Return the goals of each class whose jobs must start within some time.

    Classes with only a completion objective stay best effort.
    """
    found: dict[str, list[Goal]] = {}
    for aim in objectives:
        if aim.workload and aim.within_s is not None and aim.kind in ("wait", "finished"):
            found.setdefault(aim.workload, []).append(Goal(aim.within_s, aim.kind == "finished"))
    return {
        name: tuple(goals)
        for name, goals in found.items()
        if any(not goal.on_completion for goal in goals)
    }


class PlannerState(msgspec.Struct, eq=False):
    """Input of the planner. All times are on one clock."""

    jobs: list[Job]
    machines: list[Machine]
    teams: dict[str, Team]
    usage: dict[str, tuple[float, float]]  # CPUs and accelerators in use, by team
    now: float
    arrived_at: dict[str, float]  # arrival time of each job on the planner's clock
    zone_by_machine: dict[str, str] = {}  # zone of every machine, including silent ones
    goals: dict[str, tuple[Goal, ...]] = {}  # by class, for classes with a start objective
    accelerator_uses: frozenset[AcceleratorUse] = frozenset()  # use per accelerator of recent jobs
    flavors: list[Flavor] = []  # machine types of the cloud
    class_demands: list[ClassDemand] = []  # recent demand of the classes that use accelerators


def remaining_run_time(
    placement_since: float | None, predicted_s: float, now: float, overrun: int, cycle: float
) -> float:
    """Return the predicted time until an attempt ends.

    After `overrun` = t exceeded predictions, the attempt is expected to need another 2^t cycles.
    """
    if placement_since is None:
        return predicted_s
    left = placement_since + predicted_s - now
    if left > 0:
        return left
    return cycle * (2.0 ** min(overrun, 12))


class CapacityView(msgspec.Struct, eq=False):
    """All free capacity, as one planning pass sees and fills it."""

    pools: dict[PoolKey, Pool]
    total_cpus: float = 0.0  # CPUs of the machines
    free_cpus: float = 0.0  # free CPUs of the machines
    terminating: list[MachineCapacity] = []  # machines with a spot termination notice
    retried: dict[str, MachineCapacity] = {}  # suspected machines that may take one task now
    # Earliest reserved start in each pool, with or without accelerators, among jobs planned so far.
    first_reservations: dict[tuple[PoolKey, bool], float] = {}
    attempts_by_job: dict[str, Counter[PoolKey]] | None = None  # number of attempts by job and pool
    sample_machines: dict[PoolKey, Machine] = {}  # one machine of each pool
    stopping_pools: set[PoolKey] = set()  # pools in which attempts are being stopped
    flavors: list[Flavor] = []
    expected_demand: dict[
        PoolKey, float
    ] = {}  # accelerators/s that classes with goals will request
    unused_guarantees: dict[str, float] = {}  # guaranteed accelerators that each team does not use
    machine_share: dict[PoolKey, float] = {}  # pool's fraction of the machines with accelerators
    steps: int = 0
    index: CapacityIndex | None = None  # built on first use
    by_machine: dict[str, MachineCapacity] | None = None  # built on first use

    def capacity_index(self) -> CapacityIndex:
        if self.index is None:
            self.index = CapacityIndex(self.pools)
        return self.index

    def allocate(self, capacity: MachineCapacity, spec: Spec, count: int) -> None:
        """Allocate capacity to tasks of the job.

        Every change of a machine's capacity during a pass must go through this method, so that
        the index stays sorted.
        """
        if self.index is not None:
            self.index.allocate(capacity, spec, count)
        else:
            capacity.allocate(spec, count)

    def pooled(self, machine: str) -> MachineCapacity | None:
        """Return the capacity of a machine that belongs to a pool."""
        if self.by_machine is None:
            self.by_machine = {
                capacity.machine.id: capacity
                for pool in self.pools.values()
                for capacity in pool.capacities
            }
        return self.by_machine.get(machine)

    def size(self, spec: Spec) -> Size:
        return size_of(spec, bound=not fits_type_without_accelerators(spec, self.flavors))

    @property
    def tight(self) -> bool:
        return self.free_cpus < TIGHT_FREE_FRACTION * self.total_cpus


def pool_key(machine: Machine) -> PoolKey:
    return (machine.flavor.name, machine.zone, machine.spot)


def accelerator_use(spec: Spec) -> AcceleratorUse | None:
    """Return the CPUs and memory a job uses per accelerator; None if it uses none."""
    if spec.accelerators <= 0:
        return None
    return AcceleratorUse(spec.cpus / spec.accelerators, spec.ram_gb / spec.accelerators)


def tasks_by_zone(job: Job, state: PlannerState) -> dict[str, int]:
    """Count the job's attempts by zone; empty if no constraint binds the job to zones."""
    if not (job.spec.one_zone or job.spec.spread):
        return {}
    # Silent machines count too. Otherwise a job bound to one zone is started in a second one while
    # its tasks still run on machines whose reports do not arrive.
    where = state.zone_by_machine
    counts: dict[str, int] = {}
    for p in job.placed.values():
        zone = where.get(p.machine)
        if zone is not None:
            counts[zone] = counts.get(zone, 0) + 1
    return counts


def zone_limits(
    spec: Spec, tasks_by_zone: Mapping[str, int], zones: Iterable[str], most: int
) -> dict[str, int]:
    """Return how many more tasks of the job each of `zones` may take, at most `most` each.

    `tasks_by_zone` counts the job's other tasks. A `one_zone` job that has none yet may go to any
    zone, but to one only.
    """
    occupied = {zone for zone, count in tasks_by_zone.items() if count}
    if spec.one_zone and occupied:
        zones = occupied if len(occupied) == 1 else ()
    if not spec.spread:
        return dict.fromkeys(zones, most)
    most_in_zone = max_tasks_per_zone(spec)
    return {zone: min(most, max(0, most_in_zone - tasks_by_zone.get(zone, 0))) for zone in zones}


def fits_type_without_accelerators(spec: Spec, flavors: list[Flavor]) -> bool:
    """Whether some machine type without accelerators can run the job's tasks."""
    return any(
        f.accelerators <= 0
        and (spec.types is None or f.name in spec.types)
        and (spec.zone is None or spec.zone in f.zones)
        and count_fitting_size(f.cpus, f.ram_gb, 0.0, (spec.cpus, spec.ram_gb, spec.accelerators))
        > 0
        for f in flavors
    )


def accelerator_reserve(flavor: Flavor, uses: frozenset[AcceleratorUse]) -> AcceleratorUse:
    """Return the CPUs and memory reserved for each free accelerator of this machine type.

    It is the largest recent use that all accelerators of the machine could have at once.
    """
    fitting = [
        use
        for use in uses
        if use.cpus * flavor.accelerators <= flavor.cpus + EPS
        and use.ram_gb * flavor.accelerators <= flavor.ram_gb + EPS
    ]
    if flavor.accelerators <= 0:
        return AcceleratorUse(0.0, 0.0)
    if not fitting:
        # Without recent uses, reserve everything. Otherwise jobs without accelerators could fill
        # these machines just before the first job that needs the accelerators arrives.
        return AcceleratorUse(
            flavor.cpus / flavor.accelerators, flavor.ram_gb / flavor.accelerators
        )
    return AcceleratorUse(max(use.cpus for use in fitting), max(use.ram_gb for use in fitting))


def build_capacity_view(
    state: PlannerState,
    tuning: Tuning,
    predictions: dict[str, float],
    slot_limit: int,
    future: bool,
    least: float = 0.0,
) -> CapacityView:
    """Build the capacity view of one pass, with predicted releases if `future` is set.

    Without `future`, machines with fewer free CPUs than `least` are only counted: in a full fleet
    those are nearly all machines.
    """
    buckets = max(2, math.ceil(tuning.horizon_s / c.TIMELINE_STEP_S))
    found = CapacityView({}, flavors=state.flavors)
    jobs = {job.id: job for job in state.jobs} if future else {}
    now, cycle = state.now, tuning.cycle_s
    least -= EPS
    reserves: dict[str, AcceleratorUse] = {}
    for m in state.machines:
        if not m.up or m.returning or m.draining or m.answer_receipt.excluded_from_work:
            continue
        if m.failures.suspected and (m.ends_at or exclusions.next_retry_of_machine(m, now) > now):
            continue
        if not m.failures.suspected:
            found.total_cpus += m.flavor.cpus
            found.free_cpus += m.cpus
        if not future and m.cpus < least and m.flavor.accelerators <= 0:
            continue
        reserve = reserves.get(m.flavor.name)
        if reserve is None:
            reserve = reserves[m.flavor.name] = accelerator_reserve(
                m.flavor, state.accelerator_uses
            )
        size = (m.cpus, m.ram_gb, m.accelerators)
        slots = min(slot_limit, m.answer_receipt.task_limit or slot_limit) - len(m.placements)
        capacity = MachineCapacity(m, *size, slots, size, reserve)
        if m.ends_at is not None:
            found.terminating.append(capacity)
            continue
        if m.failures.suspected:
            found.retried[m.id] = capacity
            continue
        key = pool_key(m)
        pool = found.pools.get(key)
        if pool is None:
            pool = found.pools[key] = Pool(now, buckets, reserve)
        pool.capacities.append(capacity)
        if not future:
            continue
        found.steps += 1
        capacity.releases = _predicted_releases(m, jobs, predictions, now, cycle)
    _apply_expected_demand(found, state)
    return found


def _predicted_releases(
    m: Machine, jobs: dict[str, Job], predictions: dict[str, float], now: float, cycle: float
) -> list[tuple[int, float, float, float]]:
    """Return the capacity released in each bucket, in order.

    Tasks of a job that started together are released together.
    """
    alike: dict[tuple[str, float | None, int, bool], int] = {}
    for p in m.placements.values():
        key = (p.job, p.running_since, p.overrun, p.stopping)
        alike[key] = alike.get(key, 0) + 1
    found = []
    for (name, since, overrun, stopping), count in alike.items():
        job = jobs.get(name)
        if job is None:
            continue
        spec = job.spec
        left = (
            spec.save_s
            if stopping
            else remaining_run_time(
                since, predictions.get(name, 60.0) * m.slowdown, now, overrun, cycle
            )
        )
        bucket = math.ceil(left / c.TIMELINE_STEP_S - EPS)
        amounts = (spec.cpus * count, spec.ram_gb * count, spec.accelerators * count)
        found.append((bucket, *amounts))
    found.sort()
    return found


def _apply_expected_demand(view: CapacityView, state: PlannerState) -> None:
    """Apply the expected demand for accelerators, assuming that the recent demand continues.

    The demand is spread over the pools that can serve it. Free accelerators keep their reserve
    only as far as waiting, expected or guaranteed work will use them; the CPUs of the remaining
    ones are open to all jobs.
    """
    pools = {key: pool for key, pool in view.pools.items() if pool.reserve != (0.0, 0.0)}
    if not pools:
        return
    keep = dict.fromkeys(pools, 0.0)
    waiting = [
        (job.spec, job.spec.accelerators * len(job.pending))
        for job in state.jobs
        if job.spec.accelerators > 0 and job.pending and job.cancelled is None
    ]
    for spec, amount in waiting:
        for key, pool in pools.items():
            if pool.capacities[0].machine.allows(spec):
                keep[key] += amount
    for spec, rate in state.class_demands:
        serving = [k for k, pool in pools.items() if pool.capacities[0].machine.allows(spec)]
        machines = sum(len(pools[key].capacities) for key in serving)
        for key in serving:
            part = rate * spec.accelerators * len(pools[key].capacities) / machines
            keep[key] += part * c.EXPECTED_WORK_S
            if spec.workload in state.goals:
                view.expected_demand[key] = view.expected_demand.get(key, 0.0) + part
    machines = sum(len(pool.capacities) for pool in pools.values())
    view.unused_guarantees = {
        team.name: max(0.0, team.accelerators - state.usage.get(team.name, (0.0, 0.0))[1])
        for team in state.teams.values()
    }
    for key, pool in pools.items():
        view.machine_share[key] = len(pool.capacities) / machines
        keep[key] += sum(view.unused_guarantees.values()) * view.machine_share[key]
    for key, pool in pools.items():
        kept = 0.0
        for capacity in sorted(
            pool.capacities, key=lambda capacity: (-capacity.accelerators, -capacity.cpus)
        ):
            if kept >= keep[key]:
                capacity.reserve = AcceleratorUse(0.0, 0.0)
            kept += capacity.accelerators


def jobs_within_guarantee(state: PlannerState) -> set[str]:
    """Return the jobs that fit their team's guarantee with the team's earlier unfinished jobs.

    A guarantee of 0 means that the resource is not guaranteed, so it does not limit the job.
    Otherwise a team with guaranteed accelerators only would have no guaranteed job at all, as its
    jobs also use CPUs. A job that uses none of the guaranteed resources is not within it.
    """
    used: dict[str, tuple[float, float]] = {}
    inside: set[str] = set()
    for job in sorted(state.jobs, key=lambda j: state.arrived_at[j.id]):
        spec = job.spec
        team = state.teams.get(spec.team)
        if team is None or job.cancelled is not None:
            continue
        cpus, acc = used.get(team.name, (0.0, 0.0))
        cpus += spec.cpus * spec.tasks
        acc += spec.accelerators * spec.tasks
        used[team.name] = (cpus, acc)
        cpus_guaranteed = team.cpus > 0 and spec.cpus > 0
        accelerators_guaranteed = team.accelerators > 0 and spec.accelerators > 0
        if (
            (cpus_guaranteed or accelerators_guaranteed)
            and (not cpus_guaranteed or cpus <= team.cpus + EPS)
            and (not accelerators_guaranteed or acc <= team.accelerators + EPS)
        ):
            inside.add(job.id)
    return inside


def deadline_value(spec: Spec, arrived: float, end: float, slope: float) -> float:
    """Return a job's value by its predicted end: 1 up to the deadline, then falling to 0.

    A job without a deadline has value 0.
    """
    if spec.deadline_s is None:
        return 0.0
    return _decayed_value(end - arrived, spec.deadline_s, slope)


def start_value(
    job: Job, state: PlannerState, start: float, predicted_s: float, slope: float
) -> float:
    """Return the value of a start at this time: by the deadline, or the mean over the goals.

    The value of a goal decays past its time as that of a deadline does. This goes beyond the
    paper: a class with only a start objective has no other value that a plan could compare.
    """
    arrived = state.arrived_at[job.id]
    goals = state.goals.get(job.spec.workload, ())
    if job.spec.deadline_s is not None or not goals:
        return deadline_value(job.spec, arrived, start + predicted_s, slope)
    spent = start - arrived
    kept = [
        _decayed_value(spent + predicted_s if g.on_completion else spent, g.within_s, slope)
        for g in goals
    ]
    return sum(kept) / len(kept)


def start_deadline(job: Job, state: PlannerState) -> float:
    """Return when the job should start by the earliest goal of its class; infinity without one."""
    goals = state.goals.get(job.spec.workload, ())
    first = min((g.within_s for g in goals if not g.on_completion), default=math.inf)
    return state.arrived_at[job.id] + first


def _decayed_value(spent: float, within: float, slope: float) -> float:
    late = spent - within
    if late <= 0:
        return 1.0
    return max(0.0, 1.0 - slope * late / max(within, 1.0))
