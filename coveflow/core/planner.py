"""Planner: pure functions from a state and a time to starts, reservations, stops and shortages.

A pass visits guaranteed jobs first, then jobs with a deadline or a start objective, then the rest.
A job that cannot start now gets a planned start, with a reservation in a pool of machines.
"""

from __future__ import annotations

import math
from collections.abc import Mapping

import msgspec

from coveflow import constants as c
from coveflow.core.feasibility import spread_is_impossible
from coveflow.core.model import Job, Spec
from coveflow.core.placement import DEADLINE_SLACK, choose_machines, reserve_starts
from coveflow.core.planner_state import (
    PlannerState,
    PoolKey,
    build_capacity_view,
    deadline_value,
    jobs_within_guarantee,
    pool_key,
    start_deadline,
    tasks_by_zone,
    zone_limits,
)
from coveflow.core.preemption import choose_victims
from coveflow.core.timeline import EPS, Reservation
from coveflow.settings import Team, Tuning


class Start(msgspec.Struct, eq=False):
    job: str
    machine: str
    count: int


class Shortage(msgspec.Struct, eq=False):
    """Tasks of one job that the machines that are up cannot start in time."""

    spec: Spec
    count: int
    urgent: bool
    waited_s: float  # s since the job arrived
    tasks_by_zone: dict[str, int] = {}  # the job's other tasks by zone, if it is bound to zones
    usable_zones: frozenset[str] | None = None  # zones that the job may still use; None: any
    has_started: bool = True  # whether any task of the job was ever placed on a machine


class Plan(msgspec.Struct, eq=False):
    starts: list[Start] = []
    reservations: dict[PoolKey, list[Reservation]] = {}
    preempted_jobs: list[str] = []  # jobs of which all attempts are to be stopped
    shortages: list[Shortage] = []
    steps: int = 0  # machines and buckets examined; logged, and bounded by a test


def rank_jobs(
    state: PlannerState, guaranteed_jobs: set[str], tuning: Tuning, predictions: dict[str, float]
) -> tuple[list[Job], set[str]]:
    """Sort the jobs that have pending tasks; also return the ids of those before the last group.

    The groups, in order:

    - Jobs that have waited too long without any start. This goes beyond the paper: while enough
      other work arrived, a large job without a deadline never started. Such a job starts with a
      part of its tasks (see `limit_start_count`) and then loses this rank.
    - Guaranteed jobs, by arrival.
    - Jobs whose deadline still has value and jobs of classes with goals, by priority, since only a
      higher priority may preempt a lower one, then by arrival. Jobs that are already late come
      after those that can still meet their deadline; in arrival order alone, one late job makes
      the next ones late too. Classes with a start objective stay in this group however late.
    - The rest, by arrival minus predicted run time: a long job has to start earlier to end at the
      same time. In arrival order alone, the long jobs ended minutes after everything else.
    """

    def rank(job: Job) -> tuple[int, int, bool, float]:
        spec, arrived = job.spec, state.arrived_at[job.id]
        if is_starved(job, state):
            return (-1, 0, False, arrived)
        if job.id in guaranteed_jobs:
            return (0, 0, False, arrived)
        predicted_s = predictions.get(job.id, 60.0)
        if (
            spec.workload in state.goals
            or deadline_value(spec, arrived, state.now + predicted_s, tuning.slope) > 0
        ):
            late = (
                spec.deadline_s is not None and state.now + predicted_s > arrived + spec.deadline_s
            )
            return (1, -spec.priority, late, arrived)
        return (2, 0, False, arrived - predicted_s)

    ranked = sorted(
        (
            (rank(job), i, job)
            for i, job in enumerate(state.jobs)
            if job.cancelled is None
            and job.pending
            and job.not_before <= state.now
            and not spread_is_impossible(job.spec, state.flavors)
        ),
        key=lambda row: row[:2],
    )
    return [job for _, _, job in ranked], {job.id for row, _, job in ranked if row[0] < 2}


def is_starved(job: Job, state: PlannerState) -> bool:
    """Whether the job has waited longer than BEGIN_S without any start.

    Without overload no job waits that long, so the order of jobs is unaffected.
    """
    return not job.has_started and state.now - state.arrived_at[job.id] > c.FIRST_START_S


def limit_start_count(job: Job, want: int, state: PlannerState) -> int:
    """Return how many of `want` tasks the job may start now.

    A job that waited too long for its first start gets a part of its tasks; otherwise it would
    take all capacity that becomes free from the jobs ranked after it. A job whose tasks only fail
    runs one task at a time: without this, 400 tasks kept occupying machines and fetching images
    until their user cancelled the job.
    """
    if job.spec.kind == "gang":
        return want
    if job.errors and not job.done:
        return min(want, max(0, 1 - len(job.placed)))
    if is_starved(job, state):
        return min(want, math.ceil(job.spec.tasks * c.FIRST_START_SHARE))
    return want


def class_floors(
    state: PlannerState, pending_jobs: list[Job], urgent: set[str], total: float
) -> dict[str, float]:
    """Return the CPUs that each starved class may take before all other jobs.

    A fraction of all CPUs is shared max-min fairly among the classes whose jobs have waited longer
    than BEGIN_S, regardless of the value of other jobs. CPUs that a class already uses count
    towards its share. Jobs whose tasks only fail are excluded.
    """
    wants: dict[str, float] = {}
    for job in pending_jobs:
        spec = job.spec
        aged = state.now - state.arrived_at[job.id] > c.FIRST_START_S
        if aged and job.id not in urgent and not (job.errors and not job.done):
            wants[spec.workload] = wants.get(spec.workload, 0.0) + spec.cpus * len(job.pending)
    if not wants:
        return {}
    used = dict.fromkeys(wants, 0.0)
    for job in state.jobs:
        if job.spec.workload in used:
            used[job.spec.workload] += job.spec.cpus * job.attempts
    shares = max_min_shares(
        {name: wants[name] + used[name] for name in wants}, c.LONG_WAIT_SHARE * total
    )
    return {name: share - used[name] for name, share in shares.items() if share > used[name] + EPS}


def max_min_shares(wants: dict[str, float], total: float) -> dict[str, float]:
    """Share `total` max-min fairly: equal shares, each capped by its demand."""
    shares: dict[str, float] = {}
    left = total
    for i, (want, name) in enumerate(sorted((want, name) for name, want in wants.items())):
        shares[name] = min(want, left / (len(wants) - i))
        left -= shares[name]
    return shares


def plan(
    state: PlannerState,
    tuning: Tuning,
    predictions: dict[str, float],
    slot_limit: int,
    previous_reservations: dict[PoolKey, list[Reservation]] | None = None,
) -> Plan:
    """Run one planning pass; with `previous_reservations` the cheap one.

    The full pass knows each pool's future and makes reservations and preemptions. The cheap pass
    runs at every change, must not collect all predicted ends again, and makes neither. From the
    last full pass it takes only when each job's first reservation in a pool starts, and keeps
    later jobs that would still be running then out of that pool.
    """
    result = Plan()
    full = previous_reservations is None
    guaranteed_jobs = jobs_within_guarantee(state)
    pending_jobs, urgent_jobs = rank_jobs(state, guaranteed_jobs, tuning, predictions)
    if not pending_jobs:
        return result
    least = min(job.spec.cpus for job in pending_jobs)
    view = build_capacity_view(state, tuning, predictions, slot_limit, full, least)
    first: dict[str, dict[tuple[PoolKey, bool], float]] = {}
    for reserved_pool, pool_reservations in (previous_reservations or {}).items():
        for reservation in pool_reservations:
            if reservation.end > state.now:
                earliest = first.setdefault(reservation.job, {})
                key = (reserved_pool, reservation.size[2] > 0)
                earliest[key] = min(reservation.start, earliest.get(key, math.inf))
    usage = dict(state.usage)
    stopped: set[str] = set()
    floor = class_floors(state, pending_jobs, urgent_jobs, view.total_cpus)
    started_for_floor: dict[str, int] = {}  # tasks started within the floor of their class
    floor_turns = [
        (job, job.spec.workload) for job in pending_jobs if job.id not in urgent_jobs and floor
    ]
    for job, floor_class in [*floor_turns, *((job, "") for job in pending_jobs)]:
        spec = job.spec
        predicted_s = predictions.get(job.id, 60.0)
        free = len(job.pending) - started_for_floor.get(job.id, 0)
        allowed = count_within_limit(spec, free, usage, state.teams)
        want = limit_start_count(job, min(free, allowed), state)
        if floor_class:
            want = min(want, int(floor.get(floor_class, 0.0) / max(spec.cpus, EPS)))
        if spec.kind == "gang" and (want < spec.tasks or job.placed):
            continue  # a gang starts all its tasks or none
        first_in_line = job.id in guaranteed_jobs or spec.workload in state.goals
        chosen = (
            choose_machines(job, want, view, state, predicted_s, full, first_in_line)
            if want
            else []
        )
        got = sum(count for _, count in chosen)
        for capacity, count in chosen:
            result.starts.append(Start(job.id, capacity.machine.id, count))
            view.free_cpus -= spec.cpus * count
            pool = view.pools.get(pool_key(capacity.machine))
            if pool is not None and full:
                pool.add_started(
                    view.size(spec), count, state.now + predicted_s * capacity.machine.slowdown
                )
        if got:
            cpus, acc = usage.get(spec.team, (0.0, 0.0))
            usage[spec.team] = (cpus + spec.cpus * got, acc + spec.accelerators * got)
        if floor_class:
            floor[floor_class] = floor.get(floor_class, 0.0) - got * spec.cpus
            started_for_floor[job.id] = got
            continue
        left = want - got
        if not left:
            continue
        for key, at in first.get(job.id, {}).items():
            view.first_reservations[key] = min(at, view.first_reservations.get(key, math.inf))
        urgent = (
            spec.deadline_s is not None or job.id in guaranteed_jobs or spec.workload in state.goals
        )
        due = start_deadline(job, state)
        if spec.deadline_s is not None:
            due = state.arrived_at[job.id] + spec.deadline_s - (1.0 + DEADLINE_SLACK) * predicted_s
        elif due == math.inf:
            due = -math.inf  # without a due time, every task that has to wait counts as late
        waited = state.now - state.arrived_at[job.id]
        planned, late = math.inf, left
        zones = tasks_by_zone(job, state)
        for capacity, count in chosen if zones or spec.one_zone or spec.spread else ():
            zones[capacity.machine.zone] = zones.get(capacity.machine.zone, 0) + count
        if full and (urgent or waited > tuning.wait_s):
            planned, late = reserve_starts(job, left, view, state, predicted_s, due, zones)
        if late:
            usable_zones = _usable_zones(spec, zones, left, state)
            result.shortages.append(
                Shortage(spec, late, urgent, waited, zones, usable_zones, job.has_started)
            )
        if full and urgent:
            victims = choose_victims(
                job,
                left,
                planned,
                state,
                tuning,
                predictions,
                guaranteed_jobs,
                stopped,
                view,
                zones,
            )
            stopped.update(victims)
            result.preempted_jobs += victims
    if full:
        result.reservations = {
            key: pool.reservations for key, pool in view.pools.items() if pool.reservations
        }
    result.steps = view.steps
    return result


def _usable_zones(
    spec: Spec, zones: Mapping[str, int], left: int, state: PlannerState
) -> frozenset[str] | None:
    """Return the zones in which another machine could run the job; None if all could."""
    if not (spec.one_zone or spec.spread):
        return None
    known = {zone for flavor in state.flavors for zone in flavor.zones}
    limits = zone_limits(spec, zones, known, left)
    return frozenset(zone for zone, limit in limits.items() if limit > 0)


def count_within_limit(
    spec: Spec, count: int, usage: dict[str, tuple[float, float]], teams: dict[str, Team]
) -> int:
    """Return how many of `count` tasks the team's limit allows now."""
    team = teams.get(spec.team)
    if team is None:
        return 0
    cpus, acc = usage.get(spec.team, (0.0, 0.0))
    if team.cpus_max > 0 and spec.cpus > 0:
        count = min(count, int((team.cpus_max - cpus + EPS) // spec.cpus))
    if team.accelerators_max > 0 and spec.accelerators > 0:
        count = min(count, int((team.accelerators_max - acc + EPS) // spec.accelerators))
    return max(0, count)
