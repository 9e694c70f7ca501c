"""Planner: pure functions from a state and a time to starts, reservations, stops and shortages.

A pass visits guaranteed jobs first, then jobs with a deadline or a start objective, then the rest.
A job that cannot start now gets a planned start, with a reservation in a pool of machines.
"""

from __future__ import annotations

import math

import msgspec

from coveflow import constants as c
from coveflow.core.exclusions import excluded_machines, only_fails
from coveflow.core.feasibility import spread_is_impossible
from coveflow.core.model import Job, Spec
from coveflow.core.pass_decisions import PassDecisions, is_starved
from coveflow.core.placement import DEADLINE_SLACK, choose_machines, reserve_starts
from coveflow.core.planner_state import (
    CapacityView,
    PlannerState,
    PoolKey,
    build_capacity_view,
    deadline_value,
    jobs_within_guarantee,
    pool_key,
    start_deadline,
)
from coveflow.core.preemption import choose_victims
from coveflow.core.timeline import EPS, Reservation
from coveflow.settings import Tuning


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
    excluded_machines: frozenset[str] = frozenset()  # machines that the job leaves out


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
      part of its tasks (see `PassDecisions.allowed`) and then loses this rank.
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


def class_floors(
    state: PlannerState, pending_jobs: list[Job], urgent: set[str], total: float
) -> dict[str, float]:
    """Return the CPUs that each starved class may take before all other jobs.

    A fraction of all CPUs is shared max-min fairly among the classes whose jobs have waited longer
    than FIRST_START_S, regardless of the value of other jobs. CPUs that a class already uses count
    towards its share. Jobs whose tasks only fail are excluded.
    """
    wants: dict[str, float] = {}
    for job in pending_jobs:
        spec = job.spec
        aged = state.now - state.arrived_at[job.id] > c.FIRST_START_S
        if aged and job.id not in urgent and not only_fails(job):
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
    guaranteed_jobs = jobs_within_guarantee(state)
    pending_jobs, urgent_jobs = rank_jobs(state, guaranteed_jobs, tuning, predictions)
    if not pending_jobs:
        return Plan()
    full = previous_reservations is None
    least = min(job.spec.cpus for job in pending_jobs)
    view = build_capacity_view(state, tuning, predictions, slot_limit, full, least)
    first = _first_reservations(previous_reservations or {}, state.now)
    planning = _PlanningPass(state, tuning, predictions, guaranteed_jobs, view, full, first)
    floors = class_floors(state, pending_jobs, urgent_jobs, view.total_cpus)
    if floors:
        for job in pending_jobs:
            if job.id not in urgent_jobs and not only_fails(job):
                planning.take_floor_turn(job, floors)
    for job in pending_jobs:
        planning.take_turn(job)
    return planning.finish()


def _first_reservations(
    reservations: dict[PoolKey, list[Reservation]], now: float
) -> dict[str, dict[tuple[PoolKey, bool], float]]:
    """Return when each job's first reservation in a pool starts, without those that are over."""
    first: dict[str, dict[tuple[PoolKey, bool], float]] = {}
    for pool, pool_reservations in reservations.items():
        for reservation in pool_reservations:
            if reservation.end > now:
                earliest = first.setdefault(reservation.job, {})
                key = (pool, reservation.size[2] > 0)
                earliest[key] = min(reservation.start, earliest.get(key, math.inf))
    return first


class _PlanningPass:
    """One pass over the ranked jobs."""

    def __init__(
        self,
        state: PlannerState,
        tuning: Tuning,
        predictions: dict[str, float],
        guaranteed_jobs: set[str],
        view: CapacityView,
        full: bool,
        first_reservations: dict[str, dict[tuple[PoolKey, bool], float]],
    ) -> None:
        self.state, self.tuning, self.predictions = state, tuning, predictions
        self.guaranteed_jobs, self.view, self.full = guaranteed_jobs, view, full
        self.first_reservations = first_reservations
        self.decisions = PassDecisions(state)
        self.result = Plan()

    def take_floor_turn(self, job: Job, floors: dict[str, float]) -> None:
        """Start tasks of the job within the floor of its class, and subtract them from it."""
        spec = job.spec
        floor_cpus = floors.get(spec.workload, 0.0)
        want = min(self.decisions.allowed(job), int(floor_cpus / max(spec.cpus, EPS)))
        if spec.kind == "gang" and want < spec.tasks:
            return
        floors[spec.workload] = floor_cpus - self._start(job, want) * spec.cpus

    def take_turn(self, job: Job) -> None:
        """Start tasks of the job, and plan for those that have to wait."""
        allowed = self.decisions.allowed(job)
        left = allowed - self._start(job, allowed)
        if left:
            self._plan_waiting_tasks(job, left)

    def finish(self) -> Plan:
        if self.full:
            self.result.reservations = {
                key: pool.reservations for key, pool in self.view.pools.items() if pool.reservations
            }
        self.result.steps = self.view.steps
        return self.result

    def _start(self, job: Job, want: int) -> int:
        """Start up to `want` tasks of the job; return how many."""
        if want <= 0 or job.id in self.decisions.preempted:
            return 0
        spec, view = job.spec, self.view
        predicted_s = self.predictions.get(job.id, 60.0)
        first_in_line = job.id in self.guaranteed_jobs or spec.workload in self.state.goals
        chosen = choose_machines(
            job, want, view, self.state, self.decisions, predicted_s, self.full, first_in_line
        )
        for capacity, count in chosen:
            machine = capacity.machine
            self.result.starts.append(Start(job.id, machine.id, count))
            self.decisions.record_start(job, machine, count)
            view.free_cpus -= spec.cpus * count
            pool = view.pools.get(pool_key(machine))
            if pool is not None and self.full:
                end = self.state.now + predicted_s * machine.slowdown
                pool.add_started(view.size(spec), count, end)
        return sum(count for _, count in chosen)

    def _plan_waiting_tasks(self, job: Job, left: int) -> None:
        """Reserve capacity for the job's other tasks; record a shortage; preempt other jobs."""
        spec, state, view = job.spec, self.state, self.view
        for key, at in self.first_reservations.get(job.id, {}).items():
            view.first_reservations[key] = min(at, view.first_reservations.get(key, math.inf))
        urgent = (
            spec.deadline_s is not None
            or job.id in self.guaranteed_jobs
            or spec.workload in state.goals
        )
        waited = state.now - state.arrived_at[job.id]
        planned, late = math.inf, left
        if self.full and (urgent or waited > self.tuning.wait_s):
            predicted_s = self.predictions.get(job.id, 60.0)
            due = _latest_start(job, state, predicted_s)
            planned, late = reserve_starts(job, left, view, state, self.decisions, predicted_s, due)
        if late:
            self.result.shortages.append(
                Shortage(
                    spec,
                    late,
                    urgent,
                    waited,
                    dict(self.decisions.tasks_by_zone(job)),
                    _usable_zones(job, left, self.decisions),
                    self.decisions.has_started(job),
                    excluded_machines(job),
                )
            )
        if self.full and urgent:
            victims = choose_victims(
                job,
                left,
                planned,
                state,
                self.tuning,
                self.predictions,
                self.guaranteed_jobs,
                view,
                self.decisions,
            )
            self.decisions.record_preemptions(victims)
            self.result.preempted_jobs += victims


def _latest_start(job: Job, state: PlannerState, predicted_s: float) -> float:
    """Return the time after which a planned start is late."""
    spec = job.spec
    if spec.deadline_s is not None:
        return state.arrived_at[job.id] + spec.deadline_s - (1.0 + DEADLINE_SLACK) * predicted_s
    due = start_deadline(job, state)
    # Without a due time, every task that has to wait counts as late.
    return -math.inf if due == math.inf else due


def _usable_zones(job: Job, left: int, decisions: PassDecisions) -> frozenset[str] | None:
    """Return the zones in which another machine could run the job; None if all could."""
    if not (job.spec.one_zone or job.spec.spread):
        return None
    limits = decisions.zone_limits(job, left)
    return frozenset(zone for zone, limit in limits.items() if limit > 0)
