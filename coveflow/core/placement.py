"""Chooses machines for the tasks that start now, and reserves capacity for later starts."""

from __future__ import annotations

import heapq
import math
from collections.abc import Iterable, Iterator, Mapping

from coveflow.constants import EXPECTED_WORK_S, RESERVED_CAPACITY_WAIT_S, TIMELINE_STEP_S
from coveflow.core.capacity_index import PoolKey, slowness
from coveflow.core.exclusions import (
    excluded_machines,
    is_excluded,
    next_retry_of_job,
    next_retry_of_machine_by,
)
from coveflow.core.model import Job, Spec, max_tasks_per_zone
from coveflow.core.pass_decisions import PassDecisions, first_share
from coveflow.core.planner_state import CapacityView, PlannerState, pool_key
from coveflow.core.timeline import (
    EPS,
    MachineCapacity,
    Pool,
    Reservation,
    Size,
    plan_gang,
    plan_starts,
    size_of,
)

# Fraction of the predicted run time by which a planned end must precede the deadline.
DEADLINE_SLACK = 0.8
DELAY_TOLERANCE_S = 3.0  # s of image fetch or slowdown below which two machines count as equal

Option = tuple[tuple, str, int, MachineCapacity]  # preference, machine id, tasks that fit, capacity


def choose_machines(
    job: Job,
    want: int,
    view: CapacityView,
    state: PlannerState,
    decisions: PassDecisions,
    predicted_s: float,
    full: bool,
    first: bool,
) -> list[tuple[MachineCapacity, int]]:
    """Choose machines for up to `want` tasks and allocate them; a gang gets all or none.

    A job within a guarantee or of a class with goals may use any free capacity (`first`); other
    jobs leave accelerators for expected ones of that kind. A job that has waited for
    RESERVED_CAPACITY_WAIT_S and of which nothing runs may start a part of its tasks on capacity
    that is kept for others, who may preempt it there.
    """
    chosen = _choose_machines(job, want, view, state, decisions, predicted_s, full, first, False)
    if chosen:
        return chosen
    waited_s = state.now - state.arrived_at[job.id]
    if not decisions.active(job) and waited_s >= RESERVED_CAPACITY_WAIT_S:
        part = want if job.spec.kind == "gang" else min(want, first_share(job.spec))
        chosen = _choose_machines(job, part, view, state, decisions, predicted_s, full, first, True)
    return chosen or _choose_for_retry(job, want, view, state, decisions, predicted_s, full, first)


def _choose_machines(
    job: Job,
    want: int,
    view: CapacityView,
    state: PlannerState,
    decisions: PassDecisions,
    predicted_s: float,
    full: bool,
    first: bool,
    lent: bool,
) -> list[tuple[MachineCapacity, int]]:
    """Choose machines as above; `lent` also allows capacity that is kept for other jobs."""
    spec = job.spec
    size = size_of(spec, bound=True) if lent else view.size(spec)
    needs_all_options = (
        spec.accelerators > 0 or spec.kind == "gang" or spec.one_zone
    )  # compares all options
    eligible, spare = _eligible_pools(spec, size, view, state, predicted_s, full, first, lent)
    leaving = [
        capacity
        for capacity in view.terminating
        # A machine with a spot termination notice takes only tasks that it can still finish.
        if capacity.machine.allows(spec)
        and state.now + predicted_s * capacity.machine.slowdown < (capacity.machine.ends_at or 0.0)
    ]
    limits = _zone_limits(job, decisions)
    if needs_all_options:
        capacities = [capacity for key in eligible for capacity in view.pools[key].capacities]
        options = _sorted_options(job, size, [*capacities, *leaving], view.tight, predicted_s)
        view.steps += len(options)
        if spec.kind == "gang":
            chosen = _choose_for_gang(options, want, spec, spare, limits)
        else:
            if spec.one_zone and limits is not None:
                options = _options_in_one_zone(options, limits)
            chosen = _take_options(options, want, spare, limits)
    else:
        chosen = _take_options(
            _lazy_options(job, size, view, eligible, leaving, predicted_s), want, spare, limits
        )
    for capacity, count in chosen:
        view.allocate(capacity, spec, count)
    return chosen


def _eligible_pools(
    spec: Spec,
    size: Size,
    view: CapacityView,
    state: PlannerState,
    predicted_s: float,
    full: bool,
    first: bool,
    lent: bool,
) -> tuple[list[PoolKey], dict[PoolKey, int]]:
    """Return the pools that the job may start in, and how many tasks fit beside reservations.

    A pool without an entry in the second result has no reservations of other jobs.
    """
    eligible: list[PoolKey] = []
    spare: dict[PoolKey, int] = {}  # tasks that fit beside the reservations of other jobs
    for key, pool in view.pools.items():
        if not pool.capacities[0].machine.allows(spec):
            continue
        if state.now + predicted_s > view.first_reservations.get((key, size[2] > 0), math.inf):
            continue
        demand_rate = guaranteed_to_others = 0.0
        if not (first or lent) and spec.accelerators > 0:
            demand_rate = view.expected_demand.get(key, 0.0) / spec.accelerators
            others_unused = sum(view.unused_guarantees.values()) - view.unused_guarantees.get(
                spec.team, 0.0
            )
            guaranteed_to_others = (
                others_unused * view.machine_share.get(key, 0.0) / spec.accelerators
            )
        if pool.reservations or ((demand_rate or guaranteed_to_others) and full):
            view.steps += pool.buckets
            low, high = pool.bucket_range(state.now, state.now + predicted_s)
            spare[key] = min(pool.available(size)[low:high])
            if demand_rate or guaranteed_to_others:
                # Accelerators guaranteed to another team stay free, since preempting a whole array
                # when the team needs them is too late. Those that expected prompt jobs will need
                # must be free again by the time these jobs are expected.
                spare[key] = min(
                    math.floor(have - guaranteed_to_others - demand_rate * i * TIMELINE_STEP_S)
                    for i, have in enumerate(pool.available(size)[low:high])
                )
        elif demand_rate or guaranteed_to_others:
            free = sum(capacity.count_fitting(size) for capacity in pool.capacities)
            spare[key] = math.floor(free - guaranteed_to_others - demand_rate * EXPECTED_WORK_S)
        if spare.get(key, 1) <= 0:
            continue
        eligible.append(key)
    return eligible, spare


def _zone_limits(job: Job, decisions: PassDecisions) -> dict[str, int] | None:
    """Return how many more tasks each zone may take; None if zones do not matter."""
    if not (job.spec.one_zone or job.spec.spread):
        return None
    # By all tasks that may start, not only by those wanted now: otherwise the floor of its class, a
    # task or two, would bind a large job to a zone in which the others do not fit.
    return decisions.zone_limits(job, decisions.allowed(job))


def _choose_for_retry(
    job: Job,
    want: int,
    view: CapacityView,
    state: PlannerState,
    decisions: PassDecisions,
    predicted_s: float,
    full: bool,
    first: bool,
) -> list[tuple[MachineCapacity, int]]:
    """Choose an excluded machine for one task, as no other machine has room; a gang starts whole.

    The machine whose last failure is the oldest comes first.
    """
    spec, now = job.spec, state.now
    arrived_at, failed_at = state.arrived_at[job.id], job.failures.failed_at
    if job.id in decisions.retried or not (failed_at or view.retried):
        return []
    machines_due = next_retry_of_job(job, now) <= now
    candidates = [
        capacity
        for capacity in view.retried.values()
        if capacity.machine.allows(spec)
        and (machines_due or capacity.machine.id not in failed_at)
        and next_retry_of_machine_by(job, capacity.machine, now, arrived_at) <= now
    ]
    if machines_due:
        own = (view.pooled(name) for name in failed_at)
        candidates += [found for found in own if found and found.machine.allows(spec)]
    size = view.size(spec)
    candidates = [found for found in candidates if found.count_fitting(size) > 0]
    if not candidates:
        return []
    eligible, spare = _eligible_pools(spec, size, view, state, predicted_s, full, first, False)
    candidates = [
        found
        for found in candidates
        if found.machine.failures.suspected or pool_key(found.machine) in eligible
    ]
    options = _sorted_options(job, size, candidates, view.tight, predicted_s, retry=True)
    options.sort(key=lambda option: failed_at.get(option[1], -math.inf))
    limits = _zone_limits(job, decisions)
    if spec.kind == "gang":
        others = [found for key in eligible for found in view.pools[key].capacities]
        options = _sorted_options(job, size, others, view.tight, predicted_s) + options
        chosen = _choose_for_gang(options, want, spec, spare, limits)
    else:
        chosen = _take_options(options, min(want, 1), spare, limits)
    view.steps += len(options)
    if chosen:
        decisions.retried.add(job.id)
    for capacity, count in chosen:
        view.allocate(capacity, spec, count)
        view.retried.pop(capacity.machine.id, None)
    return chosen


def _by_preference(option: Option) -> tuple:
    return option[:2]


def _sorted_options(
    job: Job,
    size: Size,
    capacities: list[MachineCapacity],
    tight: bool,
    predicted_s: float,
    retry: bool = False,
) -> list[Option]:
    return sorted(_options(job, size, capacities, tight, predicted_s, retry), key=_by_preference)


def _lazy_options(
    job: Job,
    size: Size,
    view: CapacityView,
    eligible: list[PoolKey],
    leaving: list[MachineCapacity],
    predicted_s: float,
) -> Iterator[Option]:
    """Yield the options of `_sorted_options` in the same order, computing only those consumed."""
    tight = view.tight
    capacities = view.capacity_index().preferred(eligible, job.spec, tight)
    options: Iterable[Option] = _options(job, size, capacities, tight, predicted_s)
    if leaving:
        leaving_options = _sorted_options(job, size, leaving, tight, predicted_s)
        options = heapq.merge(options, leaving_options, key=_by_preference)
    for option in options:
        view.steps += 1
        yield option


def _take_options(
    options: Iterable[Option],
    want: int,
    spare: Mapping[PoolKey, int],
    limits: Mapping[str, int] | None,
) -> list[tuple[MachineCapacity, int]]:
    """Take the first options until `want` tasks fit, within reservations and zone limits.

    `limits` has how many tasks each zone may take; None if zones do not matter.
    """
    spare = dict(spare)
    remaining = None if limits is None else dict(limits)
    chosen = []
    for _, _, count, capacity in options:
        if want <= 0:
            break
        count = min(count, want)
        key = pool_key(capacity.machine)
        pooled = capacity.machine.ends_at is None and not capacity.machine.failures.suspected
        if key in spare and pooled:
            count = min(count, spare[key])
        if remaining is not None:
            count = min(count, remaining.get(capacity.machine.zone, 0))
        if count <= 0:
            continue
        if key in spare:
            spare[key] -= count
        if remaining is not None:
            remaining[capacity.machine.zone] -= count
        want -= count
        chosen.append((capacity, count))
    return chosen


def _choose_for_gang(
    options: list[Option],
    want: int,
    spec: Spec,
    spare: dict[PoolKey, int],
    limits: Mapping[str, int] | None,
) -> list[tuple[MachineCapacity, int]]:
    """Choose machines for a whole gang as a set, since a gang runs as fast as its slowest task."""
    groups: dict[str, list[Option]] = {}
    for option in options:
        groups.setdefault(option[3].machine.zone if spec.one_zone else "", []).append(option)
    best: tuple[tuple, list[tuple[MachineCapacity, int]]] | None = None
    for zone, group in sorted(groups.items()):
        chosen = _take_options(group, want, spare, limits)
        if sum(count for _, count in chosen) < want:
            continue
        cold = [spec.image not in capacity.machine.images for capacity, _ in chosen]
        speed = max(capacity.machine.slowdown for capacity, _ in chosen)
        rank = (any(cold), sum(cold), round(speed, 1), zone)
        if best is None or rank < best[0]:
            best = (rank, chosen)
    return best[1] if best is not None else []


def _options(
    job: Job,
    size: Size,
    capacities: Iterable[MachineCapacity],
    tight: bool,
    predicted_s: float,
    retry: bool = False,
) -> Iterator[Option]:
    """Yield an option for each machine with capacity for a task, in the given order.

    Machines that the job leaves out are options of a `retry` only.
    """
    spec = job.spec
    cpus = spec.cpus - EPS
    for capacity in capacities:
        if capacity.cpus < cpus:
            continue
        count = capacity.count_fitting(size)
        if count > 0 and (retry or not is_excluded(job, capacity.machine)):
            yield (
                preference(capacity, spec, tight, predicted_s),
                capacity.machine.id,
                count,
                capacity,
            )


def preference(capacity: MachineCapacity, spec: Spec, tight: bool, predicted_s: float) -> tuple:
    """Return the sort key of a machine for a task; the lowest is taken first.

    While the fleet is full, tasks without checkpoints avoid spot machines, where a reclaim would
    lose all their progress. With capacity to spare, tasks are packed on cheap, well-filled
    machines, so that expensive ones become idle and can be returned.
    """
    m = capacity.machine
    slow = slowness(m)
    fetch = spec.image not in m.images
    exposed = m.spot if spec.checkpoint_s <= 0 else not m.spot
    if spec.accelerators > 0:
        # Tasks with checkpoints go to spot machines first, since the other tasks have to avoid
        # those. Then the machine with the earliest end is preferred, then the fullest one, so that
        # whole machines stay free.
        delay = (spec.image_gb / m.flavor.fetch_gb_per_s if fetch else 0.0) + slow * predicted_s
        return (exposed, round(delay / DELAY_TOLERANCE_S), capacity.accelerators, capacity.cpus)
    if tight:
        return (slow, fetch, exposed, capacity.cpus)
    return (slow, fetch, not m.placements, not m.spot, capacity.cpus)


def _options_in_one_zone(options: list[Option], limits: Mapping[str, int]) -> list[Option]:
    """Return the options in the zone that may take and fits the most tasks."""
    fitting: dict[str, int] = {}
    for option in options:
        zone = option[3].machine.zone
        fitting[zone] = fitting.get(zone, 0) + option[2]
    startable = {zone: min(count, limits.get(zone, 0)) for zone, count in fitting.items()}
    best = max(startable, key=lambda zone: (startable[zone], zone), default="")
    return [option for option in options if option[3].machine.zone == best]


def reserve_starts(
    job: Job,
    left: int,
    view: CapacityView,
    state: PlannerState,
    decisions: PassDecisions,
    predicted_s: float,
    due: float,
) -> tuple[float, int]:
    """Plan the earliest starts of the remaining tasks and reserve capacity for them.

    Returns the last planned start, and how many tasks are planned to start after `due` or not at
    all.
    """
    spec = job.spec
    pools = [p for p in view.pools.values() if p.capacities[0].machine.allows(spec)]
    if job.failures.failed_at:
        excluded = excluded_machines(job)
        pools = [p for p in (pool.without(excluded) for pool in pools) if p.capacities]
    buckets = max((pool.buckets for pool in pools), default=0)
    view.steps += buckets * len(pools)
    planned, late = state.now, 0
    if spec.kind == "gang":
        found = _reserve_gang(spec, view.size(spec), pools, predicted_s, job.id, buckets)
    elif spec.one_zone or spec.spread:
        limits = decisions.zone_limits(job, left)
        found = _reserve_in_zones(
            spec, view.size(spec), pools, left, predicted_s, job.id, buckets, limits
        )
    else:
        found = plan_starts(pools, view.size(spec), left, predicted_s, job.id, buckets)
    for pool, reservation in found:
        pool.add_reservation(reservation)
        left -= reservation.count
        planned = reservation.start
        if reservation.start > due:
            late += reservation.count
    return (math.inf, late + left) if left else (planned, late)


def _reserve_in_zones(
    spec: Spec,
    size: Size,
    pools: list[Pool],
    left: int,
    predicted_s: float,
    name: str,
    buckets: int,
    limits: Mapping[str, int],
) -> list[tuple[Pool, Reservation]]:
    """Plan starts only in the zones that may take more tasks, up to the limit of each.

    Without this limit, a job bound to a full zone reserved all capacity of the other zones, where
    it could never start. Other jobs then waited beside idle machines while its tasks ran.
    """

    def plan(caps: dict[str, int]) -> list[tuple[Pool, Reservation]]:
        return plan_starts(pools, size, left, predicted_s, name, buckets, caps)

    if not spec.one_zone:
        return plan(limits)
    zones = sorted({pool.zone for pool in pools}.intersection(limits))
    plans = [plan({zone: limits[zone]}) for zone in zones]
    return max(
        plans, key=lambda found: sum(reservation.count for _, reservation in found), default=[]
    )


def _reserve_gang(
    spec: Spec, size: Size, pools: list[Pool], predicted_s: float, name: str, buckets: int
) -> list[tuple[Pool, Reservation]]:
    """Plan a start of the whole gang at one time, in one zone if the job requires it.

    With reservations task by task, gangs blocked each other with partial reservations in every
    zone: a hundred gangs waited while half of the fleet was idle.
    """
    if not spec.one_zone:
        # The limit per zone applies to the plan too. With all tasks planned in one zone, the
        # deadline would seem to be met and no machine would be rented in another zone.
        most = max_tasks_per_zone(spec) if spec.spread else math.inf
        return plan_gang(pools, size, spec.tasks, predicted_s, name, buckets, most)
    zones: dict[str, list[Pool]] = {}
    for pool in pools:
        zones.setdefault(pool.capacities[0].machine.zone, []).append(pool)
    plans = [
        plan_gang(zone_pools, size, spec.tasks, predicted_s, name, buckets)
        for zone_pools in zones.values()
    ]
    return min((p for p in plans if p), key=lambda plan: plan[0][1].start, default=[])
