"""Preemption: chooses running jobs to stop so that a waiting job can start now."""

from __future__ import annotations

import math
from collections import Counter

from coveflow.core.exclusions import is_excluded
from coveflow.core.model import Job, Spec, max_tasks_per_zone
from coveflow.core.pass_decisions import PassDecisions
from coveflow.core.planner_state import (
    CapacityView,
    Goal,
    PlannerState,
    PoolKey,
    pool_key,
    start_value,
)
from coveflow.core.timeline import EPS, MachineCapacity, Size, count_fitting, count_usable
from coveflow.settings import Tuning

PROTECTED_RUN_S = 35.0  # s; a start that is followed by a stop within 30 s does not count


def preemption_cost(
    job: Job, tuning: Tuning, now: float, arrived: float, goals: tuple[Goal, ...] = ()
) -> float:
    """Return the cost of stopping all of a job's tasks, in units of one best-effort task.

    Each earlier preemption multiplies the cost: a job that is stopped whenever more urgent work
    arrives makes no progress, and its image fetches and checkpoints are wasted. A job of a class
    with goals costs as much as a deadline job that has just started, since it would have to wait
    again; without this, such jobs preempted each other in turns.
    """
    count = len(job.placed) * tuning.stop_growth**job.preempted
    if job.spec.kind == "service" or (goals and job.spec.deadline_s is None):
        return count * tuning.stop_ratio
    if job.spec.deadline_s is None:
        return count
    # A job near or past its deadline has less value to lose, but the cost must not reach zero:
    # late jobs were then stopped in every pass, up to nine times.
    slack = arrived + job.spec.deadline_s - now
    part = max(0.0, min(1.0, slack / max(job.spec.deadline_s, 1.0)))
    return count * max(1.0, tuning.stop_ratio * part)


def may_preempt(
    victim: Job,
    job: Job,
    job_guaranteed: bool,
    victim_guaranteed: bool,
    over_guarantee: dict[str, bool],
) -> bool:
    """Apply the protocol's rules: a victim has lower priority, or a team reclaims its guarantee."""
    if victim.spec.priority < job.spec.priority:
        return not victim_guaranteed or victim.spec.team == job.spec.team
    return (
        job_guaranteed
        and not victim_guaranteed
        and victim.spec.team != job.spec.team
        and over_guarantee.get(victim.spec.team, False)
    )


def _teams_over_guarantee(spec: Spec, state: PlannerState) -> dict[str, bool]:
    """Return which teams exceed their guarantee of the resource the waiting job depends on."""
    over_guarantee = {}
    for name, (cpus, acc) in state.usage.items():
        team = state.teams.get(name)
        if team is not None:
            over_guarantee[name] = (
                acc > team.accelerators + EPS if spec.accelerators > 0 else cpus > team.cpus + EPS
            )
    return over_guarantee


def choose_victims(
    job: Job,
    left: int,
    planned: float,
    state: PlannerState,
    tuning: Tuning,
    predictions: dict[str, float],
    guaranteed_jobs: set[str],
    view: CapacityView,
    decisions: PassDecisions,
) -> list[str]:
    """Choose whole jobs to stop so that the rest of this job starts now instead of at `planned`.

    Jobs in zones that this one may not use are no victims.
    """
    spec = job.spec
    predicted_s = predictions.get(job.id, 60.0)
    is_guaranteed = job.id in guaranteed_jobs
    # Gain of an earlier start: the added deadline or goal value, or the guarantee that is met.
    gain = start_value(job, state, state.now, predicted_s, tuning.slope) - start_value(
        job, state, planned, predicted_s, tuning.slope
    )
    if is_guaranteed and planned > state.now + tuning.cycle_s:
        gain = gain + 1.0 if spec.workload in state.goals else max(gain, 1.0)
    if gain <= 0:
        return []
    over_guarantee = _teams_over_guarantee(spec, state)
    if view.attempts_by_job is None:
        view.attempts_by_job = _count_attempts(state, view)
    limits = decisions.zone_limits(job, left)
    usable_pools = {
        key
        for key, m in view.sample_machines.items()
        if m.allows(spec) and limits.get(m.zone, 0) > 0 and _may_use_pool(job, key, view)
    }
    if view.stopping_pools & usable_pools:
        return []  # earlier stops are still releasing capacity; wait for their result
    options = []
    for victim in state.jobs:
        if victim.id == job.id or not victim.placed:
            continue
        if victim.id in decisions.not_preemptible:
            continue
        if not victim.may_repeat:
            continue  # a job that must not run twice is never preempted
        if not may_preempt(
            victim, job, is_guaranteed, victim.id in guaranteed_jobs, over_guarantee
        ):
            continue
        waited = victim.spec.workload in state.goals and victim.spec.deadline_s is None
        if waited and any(
            p.running_since is None or state.now - p.running_since < PROTECTED_RUN_S
            for p in victim.placed.values()
        ):
            continue  # its start would be void and its wait in vain
        freed = sum(
            count
            for key, count in view.attempts_by_job.get(victim.id, {}).items()
            if key in usable_pools
        )
        freed_tasks = _count_freed_tasks(victim.spec, freed, spec)
        if not freed_tasks:
            continue
        cost = preemption_cost(
            victim,
            tuning,
            state.now,
            state.arrived_at[victim.id],
            state.goals.get(victim.spec.workload, ()),
        )
        options.append((cost / freed_tasks, cost, freed_tasks, victim.id))
    options.sort()
    if spec.kind == "gang":
        return _choose_victims_for_gang(spec, gain, options, state, tuning, view)
    chosen: list[str] = []
    need = left
    for _, cost, freed_tasks, victim_id in options:
        if need <= 0:
            break
        value = gain * min(need, freed_tasks) * tuning.stop_ratio
        if value <= cost * (1.0 + tuning.stop_margin):
            continue
        chosen.append(victim_id)
        need -= freed_tasks
    return chosen


def _may_use_pool(job: Job, key: PoolKey, view: CapacityView) -> bool:
    """Whether the job does not leave out all machines of the pool."""
    if not job.failures.failed_at:
        return True
    pool = view.pools.get(key)
    return pool is not None and any(not is_excluded(job, m.machine) for m in pool.capacities)


def _count_freed_tasks(victim: Spec, count: int, spec: Spec) -> int:
    """Return how many tasks of the waiting job can replace `count` tasks of the victim, at most.

    Accelerators count: by CPUs alone, a stop seemed to free accelerators that the victim did not
    use. Memory does not count: machines mostly have memory to spare, and treating it as full made
    a stop seem to free less, so that more jobs were stopped than needed. For a gang the result is
    at least one, since stopping several jobs with smaller tasks can free capacity together.
    """
    capacity = count_fitting(victim.cpus * count, math.inf, victim.accelerators * count, spec)
    if capacity == 0 and spec.kind == "gang" and count and (
        victim.accelerators > 0 or spec.accelerators <= 0
    ):  # fmt: skip
        return 1
    return capacity


def _choose_victims_for_gang(
    spec: Spec,
    gain: float,
    options: list[tuple[float, float, int, str]],
    state: PlannerState,
    tuning: Tuning,
    view: CapacityView,
) -> list[str]:
    """Choose cheap stops that free capacity for the whole gang, in one zone if it requires that.

    If even one task of the gang still had no place, the stopped work would be lost for nothing.
    """
    jobs = {job.id: job for job in state.jobs}
    size = view.size(spec)
    groups: dict[str, list[PoolKey]] = {}
    for key, pool in view.pools.items():
        if pool.capacities[0].machine.allows(spec):
            groups.setdefault(key[1] if spec.one_zone else "", []).append(key)
    best: tuple[float, list[str]] | None = None
    for keys in groups.values():
        capacities = {
            capacity.machine.id: capacity for key in keys for capacity in view.pools[key].capacities
        }
        free: dict[str, Size] = {
            name: (capacity.cpus, capacity.ram_gb, capacity.accelerators)
            for name, capacity in capacities.items()
        }
        fits = {name: capacity.count_fitting(size) for name, capacity in capacities.items()}
        have = _count_gang_tasks(spec, fits, capacities)
        if have >= spec.tasks:
            continue  # the capacity exists, but is reserved for jobs with a higher rank
        spent, chosen = 0.0, []
        for _, cost, _, victim_id in options:
            victim = jobs[victim_id]
            before = have
            for machine, count in Counter(p.machine for p in victim.placed.values()).items():
                if machine not in free:
                    continue
                cpus, ram, acc = free[machine]
                free[machine] = capacity = (
                    cpus + victim.spec.cpus * count,
                    ram + victim.spec.ram_gb * count,
                    acc + victim.spec.accelerators * count,
                )
                now_fits = count_usable(*capacity, size, capacities[machine].reserve)
                have += now_fits - fits[machine]
                fits[machine] = now_fits
            if spec.spread:
                have = _count_gang_tasks(spec, fits, capacities)
            if have > before:
                spent += cost
                chosen.append(victim_id)
            if have >= spec.tasks:
                break
        if have >= spec.tasks and (best is None or spent < best[0]):
            best = (spent, chosen)
    if best is None or gain * spec.tasks * tuning.stop_ratio <= best[0] * (1 + tuning.stop_margin):
        return []
    return best[1]


def _count_gang_tasks(
    spec: Spec, fits: dict[str, int], capacities: dict[str, MachineCapacity]
) -> int:
    """Return how many of the gang's tasks fit, within the limit per zone of a spread job."""
    if not spec.spread:
        return sum(fits.values())
    zones: dict[str, int] = {}
    for name, count in fits.items():
        zone = capacities[name].machine.zone
        zones[zone] = min(max_tasks_per_zone(spec), zones.get(zone, 0) + count)
    return sum(zones.values())


def _count_attempts(state: PlannerState, view: CapacityView) -> dict[str, Counter[PoolKey]]:
    """Count attempts by job and pool; also record the pools and those with stopping attempts."""
    counts: dict[str, Counter[PoolKey]] = {}
    for m in state.machines:
        key = pool_key(m)
        view.sample_machines[key] = m
        for p in m.placements.values():
            if p.stopping:
                view.stopping_pools.add(key)
            found = counts.get(p.job)
            if found is None:
                found = counts[p.job] = Counter()
            found[key] += 1
    return counts
