"""Random states for a planning pass, and the rules that every plan made from them must keep."""

from __future__ import annotations

import math
import random
from collections import Counter

from coveflow import constants as c
from coveflow.core import planner
from coveflow.core.exclusions import is_excluded, next_try_at
from coveflow.core.model import Job, Machine, Spec
from coveflow.core.placement import RESERVED_CAPACITY_WAIT_S
from coveflow.core.planner_state import (
    AcceleratorUse,
    ClassDemand,
    Goal,
    PlannerState,
)
from coveflow.settings import Team, Tuning
from tests.samples import flavor, spec

NOW = 1000.0  # s; time of the first pass
SLOTS = 12  # placements that a machine may have
ZONES = ("east", "north", "south")
FLAVORS = [
    flavor("m8", zones=list(ZONES)),
    flavor("m16", cpus=16.0, ram_gb=40.0, zones=list(ZONES)),
    flavor("v12", cpus=12.0, accelerators=2.0, ram_gb=48.0, zones=list(ZONES)),
]
# Ages of jobs in s: around and beyond every age limit of the planner.
AGES = (
    0.0, 5.0, Tuning().wait_s + 1.0, RESERVED_CAPACITY_WAIT_S + 1.0, c.FIRST_START_S - 1.0,
    c.FIRST_START_S + 1.0, 2 * c.FIRST_START_S, 800.0,
)  # fmt: skip
TOLERANCE = 1e-6  # CPUs, GB or accelerators
TEAMS = ("blue", "gold", "red")


class RuleBroken(AssertionError):
    """A plan that breaks a rule of a pass."""


def require(holds: bool, message: str) -> None:
    if not holds:
        raise RuleBroken(message)


# --- random states ---------------------------------------------------------------------------


def draw_machines(rng: random.Random) -> list[Machine]:
    found = []
    for i in range(rng.randint(2, 12)):
        one = Machine(f"n-{i:06d}", "", rng.choice(FLAVORS), rng.choice(ZONES), rng.random() < 0.3)
        one.up = True
        one.slowdown = rng.choice([0.9, 1.0, 1.2])
        if rng.random() < 0.5:
            one.images["img"] = 1.0
        if rng.random() < 0.1:
            one.ends_at = NOW + rng.choice([20.0, 100.0])
        if rng.random() < 0.1:
            one.answer_receipt.task_limit = rng.choice([1, 2])
        if rng.random() < 0.1:
            one.failures.last_at = NOW - 60.0
            one.failures.suspect(NOW - rng.choice([1.0, 60.0]))
        one.draining = rng.random() < 0.05
        found.append(one)
    return found


def draw_spec(rng: random.Random, name: str) -> Spec:
    accelerators = rng.choice([0.0, 0.0, 0.0, 1.0])
    kind = rng.choice(["array", "array", "array", "service", "gang"])
    bound = rng.random()
    return spec(
        name,
        kind=kind,
        workload=rng.choice(["sort", "sweep", "tally"]),
        team=rng.choice(TEAMS),
        priority=rng.randint(0, 3),
        tasks=rng.randint(2, 5) if kind == "gang" else rng.randint(1, 24),
        cpus=rng.choice([1.0, 2.0, 3.0, 4.0]),
        ram_gb=rng.choice([1.0, 6.0]),
        accelerators=accelerators,
        types=rng.choice([None, None, ["m8"], ["m16", "v12"]]) if not accelerators else None,
        zone=rng.choice(ZONES) if rng.random() < 0.1 else None,
        one_zone=bound < 0.4,
        spread=(0.35 < bound < 0.7 and kind == "array") or 0.4 <= bound < 0.6,
        spot=rng.random() < 0.6,
        checkpoint_s=rng.choice([0.0, 10.0]),
        save_s=rng.choice([0.0, 2.0]),
        deadline_s=rng.choice([None, None, None, 100.0, 900.0]),
    )


def draw_job(rng: random.Random, index: int, machines: list[Machine]) -> Job:
    """A job of which some tasks may be done, placed or failed; gangs may have lost some tasks."""
    made = draw_spec(rng, f"j-{index:06d}")
    job = Job(made, NOW - rng.choice(AGES), 1)
    if made.kind == "array" and rng.random() < 0.3:
        for task in range(rng.randint(0, made.tasks - 1)):
            job.mark_done(task)
    job.last_attempt_number = rng.choice([0, 1, 2])
    job.errors = rng.choice([0, 0, 0, 0, 2])
    job.preempted = rng.choice([0, 0, 1])
    for machine in rng.sample(machines, rng.choice([0, 0, 0, 1, len(machines)])):
        job.failures.record_failure(machine.id, 0.0, NOW - rng.choice([1.0, 60.0]))
    job.may_repeat = rng.random() < 0.9
    job.recompute_pending()
    zone_by_machine = {m.id: m.zone for m in machines}
    for _ in range(rng.choice([0, 0, 2, 8])):
        machine = rng.choice(machines)
        if job.pending and not placement_error(job, machine, zones_of(job, zone_by_machine)):
            placed = job.place(machine, NOW - 50.0)
            placed.running_since = rng.choice([None, NOW - 40.0])
            placed.committed = rng.random() < 0.5
            placed.stopping = rng.random() < 0.1
    return job


def draw_state(seed: int) -> tuple[PlannerState, dict[str, float]]:
    """A random state, and the predicted run times of its jobs."""
    rng = random.Random(seed)
    machines = draw_machines(rng)
    jobs = [draw_job(rng, i, machines) for i in range(rng.randint(1, 9))]
    teams = {
        name: Team(
            name,
            cpus=rng.choice([0.0, 8.0]),
            cpus_max=rng.choice([0.0, 0.0, 20.0, 40.0]),
            accelerators=rng.choice([0.0, 2.0]),
            accelerators_max=rng.choice([0.0, 4.0]),
        )
        for name in TEAMS
    }
    reported = [m for m in machines if rng.random() < 0.9]
    state = PlannerState(
        jobs=jobs,
        machines=reported,
        teams=teams,
        usage=usage_of(jobs),
        now=NOW,
        arrived_at={job.id: job.accepted_at for job in jobs},
        zone_by_machine={m.id: m.zone for m in machines},
        goals={"tally": (Goal(25.0, False),)} if rng.random() < 0.3 else {},
        accelerator_uses=frozenset({AcceleratorUse(4.0, 6.0)} if rng.random() < 0.5 else ()),
        flavors=FLAVORS,
        class_demands=[ClassDemand(spec("j-999999", accelerators=1.0), 0.05)]
        if rng.random() < 0.3
        else [],
    )
    return state, {job.id: rng.choice([5.0, 30.0, 200.0]) for job in jobs}


def usage_of(jobs: list[Job]) -> dict[str, tuple[float, float]]:
    used: dict[str, tuple[float, float]] = {}
    for job in jobs:
        cpus, accelerators = used.get(job.spec.team, (0.0, 0.0))
        used[job.spec.team] = (
            cpus + job.spec.cpus * job.attempts,
            accelerators + job.spec.accelerators * job.attempts,
        )
    return used


def zones_of(job: Job, zone_by_machine: dict[str, str]) -> Counter[str]:
    return Counter(zone_by_machine[p.machine] for p in job.placed.values())


# --- the rules -------------------------------------------------------------------------------


def placement_error(job: Job, machine: Machine, zones: Counter[str]) -> str:
    """Why a task of the job may not start on the machine, with its other tasks in `zones`."""
    made = job.spec
    if not machine.allows(made):
        return f"wrong_place: {made.id} on {machine.flavor.name}, {machine.zone}, {machine.spot}"
    if made.one_zone and any(n for zone, n in zones.items() if zone != machine.zone):
        return f"wrong_place: {made.id} in {machine.zone} beside {dict(zones)}"
    if made.spread and zones[machine.zone] >= (made.tasks + 1) // 2:
        return f"wrong_place: {made.id} crowds {machine.zone}"
    limit = min(SLOTS, machine.answer_receipt.task_limit or SLOTS)
    if not machine.fits(made) or len(machine.placements) >= limit:
        return f"{machine.id} has no room for {made.id}"
    return ""


def apply_and_check(state: PlannerState, plan: planner.Plan) -> None:
    """Apply the plan as the daemon does, one task after the other, and check each rule of a pass.

    Raises RuleBroken. Nothing is committed in between, as when the next pass runs at once.
    """
    jobs = {job.id: job for job in state.jobs}
    machines = {machine.id: machine for machine in state.machines}
    before = {job.id: StateBefore(job, state) for job in state.jobs}
    started = Counter()
    check_retries(plan, jobs, machines, state)
    for start in plan.starts:
        job, machine = jobs[start.job], machines[start.machine]
        require(not machine.draining, f"{job.id} on {machine.id}")
        started[job.id] += start.count
        for _ in range(start.count):
            require(bool(job.pending), f"more starts than waiting tasks of {job.id}")
            error = placement_error(job, machine, zones_of(job, state.zone_by_machine))
            require(not error, error)
            job.place(machine, state.now)
    check_limits(state, started, before)
    check_reservations(state, plan, jobs)
    check_shortages(state, plan, jobs)
    check_preemptions(plan, started, jobs, before)
    for name in plan.preempted_jobs:
        jobs[name].preempted += 1
        for placed in jobs[name].placed.values():
            placed.stopping = True
    state.usage = usage_of(state.jobs)


def check_retries(
    plan: planner.Plan, jobs: dict[str, Job], machines: dict[str, Machine], state: PlannerState
) -> None:
    """An excluded machine takes one task, or one gang, when its time has come."""
    by_machine: Counter[str] = Counter()
    by_job: Counter[str] = Counter()
    for start in plan.starts:
        job, machine = jobs[start.job], machines[start.machine]
        count = 1 if job.spec.kind == "gang" else start.count
        if not is_excluded(job, machine):
            continue
        at = next_try_at(job, machine, state.now, state.arrived_at[job.id])
        require(at <= state.now, f"{job.id} on {machine.id}, excluded until {at}")
        if machine.failures.suspected:
            by_machine[machine.id] += count
        if job.spec.kind != "gang":
            by_job[job.id] += count
    require(max(by_machine.values(), default=0) <= 1, f"retries: {by_machine}")
    require(max(by_job.values(), default=0) <= 1, f"retries: {by_job}")


class StateBefore:
    """What the rules need of a job as it was before the pass."""

    def __init__(self, job: Job, state: PlannerState) -> None:
        self.placed = len(job.placed)
        self.starved = (
            not job.has_started and state.now - state.arrived_at[job.id] > c.FIRST_START_S
        )


def check_limits(state: PlannerState, started: Counter, before: dict[str, StateBefore]) -> None:
    """Limits on how many tasks start: of teams, of gangs, and of single jobs."""
    used = usage_of(state.jobs)
    for name, (cpus, accelerators) in used.items():
        team, (cpus_before, accelerators_before) = state.teams[name], state.usage[name]
        if team.cpus_max > 0 and cpus > cpus_before:
            require(cpus <= team.cpus_max + TOLERANCE, f"quota: {name} uses {cpus} CPUs")
        if team.accelerators_max > 0 and accelerators > accelerators_before:
            require(
                accelerators <= team.accelerators_max + TOLERANCE,
                f"quota: {name} uses {accelerators} accelerators",
            )
    for job in state.jobs:
        count, old = started[job.id], before[job.id]
        if not count:
            continue
        if job.spec.kind == "gang":
            whole = count == job.spec.tasks and not old.placed
            require(whole, f"a part of gang {job.id} starts")
            continue
        if job.errors and not job.done:
            require(len(job.placed) <= 1, f"failing {job.id} runs {len(job.placed)} tasks")
        if old.starved:
            share = math.ceil(job.spec.tasks * c.FIRST_START_SHARE)
            require(count <= share, f"starved {job.id} starts {count} of {share} tasks")


def check_reservations(state: PlannerState, plan: planner.Plan, jobs: dict[str, Job]) -> None:
    """Reservations are for tasks that still wait, where these may start."""
    by_job: dict[str, Counter[str]] = {}
    for (type_name, zone, spot), reservations in plan.reservations.items():
        for held in reservations:
            made = jobs[held.job].spec
            allowed = (
                (made.types is None or type_name in made.types)
                and made.zone in (None, zone)
                and (made.spot or not spot)
            )
            require(allowed, f"{made.id} reserves {type_name} in {zone}")
            by_job.setdefault(held.job, Counter())[zone] += held.count
    for name, reserved in by_job.items():
        job, made = jobs[name], jobs[name].spec
        waiting = len(job.pending)
        require(sum(reserved.values()) <= waiting, f"{name} reserves {reserved} for {waiting}")
        there = zones_of(job, state.zone_by_machine)
        if made.one_zone:
            require(len(reserved + there) <= 1, f"{name} reserves {reserved} beside {there}")
        if made.spread:
            most = max((reserved + there).values())
            require(most <= (made.tasks + 1) // 2, f"{name} reserves {reserved} beside {there}")


def check_shortages(state: PlannerState, plan: planner.Plan, jobs: dict[str, Job]) -> None:
    """Shortages name tasks that still wait, and where the others are."""
    for shortage in plan.shortages:
        job, made = jobs[shortage.spec.id], shortage.spec
        require(shortage.count <= len(job.pending), f"{made.id} lacks {shortage.count}")
        require(shortage.has_started == job.has_started, f"{made.id} has started or not")
        if not (made.one_zone or made.spread):
            continue
        there = zones_of(job, state.zone_by_machine)
        require(shortage.tasks_by_zone == dict(there), f"{made.id}: {there}")
        for zone in shortage.usable_zones or ():
            bound = made.one_zone and any(other != zone for other in there)
            full = made.spread and there[zone] >= (made.tasks + 1) // 2
            require(not bound and not full, f"{made.id} may not use {zone} beside {there}")
    names = [shortage.spec.id for shortage in plan.shortages]
    require(len(names) == len(set(names)), "two shortages of one job")


def check_preemptions(
    plan: planner.Plan,
    started: Counter,
    jobs: dict[str, Job],
    before: dict[str, StateBefore],
) -> None:
    names = plan.preempted_jobs
    require(len(names) == len(set(names)), f"stopped twice: {names}")
    for name in names:
        require(jobs[name].may_repeat, f"{name} must not run twice and is preempted")
        require(before[name].placed > 0, f"{name} has no tasks and is preempted")
        require(not started[name], f"{name} is given starts and preempted in one pass")
