"""The planner: pure functions from a state and a time to starts, holds, stops and lacks.

It walks deadline jobs in arrival order, then best-effort ones; work within a team's guarantee
comes first. What cannot start now gets a planned start that holds its room in a pool of machines.
"""

from __future__ import annotations

import math
from collections import Counter

import msgspec

from . import constants as c
from .model import Job, Machine, Spec
from .settings import Team, Tuning
from .timeline import EPS, Hold, Pool, Room, plan_starts, size_of

SLACK = 0.8  # part of a guess that a planned end must keep before the deadline
TIGHT = 0.25  # free part of the fleet's CPUs below which it counts as full

PoolKey = tuple[str, str, bool]  # type, zone, spot


class Start(msgspec.Struct, eq=False):
    job: str
    machine: str
    count: int


class Lack(msgspec.Struct, eq=False):
    """Tasks that the machines that are up cannot start in time."""

    spec: Spec
    count: int
    urgent: bool
    waited: float  # s since the job came


class Plan(msgspec.Struct, eq=False):
    starts: list[Start] = []
    holds: dict[PoolKey, list[Hold]] = {}
    stops: list[str] = []  # jobs to stop whole
    lacks: list[Lack] = []
    steps: int = 0  # machines and buckets looked at, for the log and the test of its bound


def value(spec: Spec, arrived: float, end: float, slope: float) -> float:
    """A deadline job's worth by its guessed end: 1 until the deadline, then falling to 0."""
    if spec.deadline_s is None:
        return 0.0
    late = end - (arrived + spec.deadline_s)
    if late <= 0:
        return 1.0
    return max(0.0, 1.0 - slope * late / max(spec.deadline_s, 1.0))


class State(msgspec.Struct, eq=False):
    """What the planner may see. Times are all on one clock."""

    jobs: list[Job]
    machines: list[Machine]
    teams: dict[str, Team]
    usage: dict[str, tuple[float, float]]  # cpus and accelerators of each team's placements
    now: float
    arrived: dict[str, float]  # arrival of each job on the planner's clock
    where: dict[str, str] = {}  # zone of every machine, heard or not


def remaining(
    placement_since: float | None, guess: float, now: float, overrun: int, cycle: float
) -> float:
    """Guessed time until an attempt ends; an overrun grows by 2^t cycles."""
    if placement_since is None:
        return guess
    left = placement_since + guess - now
    if left > 0:
        return left
    return cycle * (2.0 ** min(overrun, 12))


class Field(msgspec.Struct, eq=False):
    """All room there is, as one pass sees and fills it."""

    pools: dict[PoolKey, Pool]
    total: float = 0.0  # CPUs of the machines
    free: float = 0.0
    leaving: list[Room] = []  # machines with a spot notice
    claims: dict[PoolKey, float] = {}  # first hold of jobs walked so far
    victims: dict[str, Counter[PoolKey]] | None = None  # attempts by job and pool
    samples: dict[PoolKey, Machine] = {}
    stopping: set[PoolKey] = set()  # pools where room is on its way
    steps: int = 0

    @property
    def tight(self) -> bool:
        return self.free < TIGHT * self.total


def pool_key(machine: Machine) -> PoolKey:
    return (machine.flavor.name, machine.zone, machine.spot)


def survey(
    state: State, tuning: Tuning, guesses: dict[str, float], slot_limit: int, future: bool
) -> Field:
    """Pools and rooms of the machines; with their releases where a future is needed."""
    buckets = max(2, math.ceil(tuning.horizon_s / c.BUCKET_S))
    found = Field({})
    jobs = {job.id: job for job in state.jobs} if future else {}
    now, cycle = state.now, tuning.cycle_s
    for m in state.machines:
        if not m.up or m.returning or m.draining or m.suspect:
            continue
        size = (m.cpus, m.ram_gb, m.accelerators)
        room = Room(m, *size, slot_limit - len(m.placements), size)
        found.total += m.flavor.cpus
        found.free += m.cpus
        if m.ends_at is not None:
            found.leaving.append(room)
            continue
        key = pool_key(m)
        pool = found.pools.get(key)
        if pool is None:
            pool = found.pools[key] = Pool(now, buckets)
        pool.rooms.append(room)
        if not future:
            continue
        found.steps += 1
        for p in m.placements.values():
            job = jobs.get(p.job)
            if job is None:
                continue
            spec = job.spec
            left = (
                spec.save_s
                if p.stopping
                else remaining(p.since, guesses.get(p.job, 60.0) * m.speed, now, p.overrun, cycle)
            )
            bucket = math.ceil(left / c.BUCKET_S - EPS)
            room.releases.append((bucket, spec.cpus, spec.ram_gb, spec.accelerators))
        room.releases.sort()
    return found


def guaranteed(state: State) -> set[str]:
    """Jobs that fit their team's guarantee together with the team's earlier unfinished jobs."""
    used: dict[str, tuple[float, float]] = {}
    inside: set[str] = set()
    for job in sorted(state.jobs, key=lambda j: state.arrived[j.id]):
        team = state.teams.get(job.spec.team)
        if team is None or (team.cpus <= 0 and team.accelerators <= 0) or job.cancelled is not None:
            continue
        cpus, acc = used.get(team.name, (0.0, 0.0))
        cpus += job.spec.cpus * job.spec.tasks
        acc += job.spec.accelerators * job.spec.tasks
        used[team.name] = (cpus, acc)
        if cpus <= team.cpus + EPS and (acc <= team.accelerators + EPS):
            inside.add(job.id)
    return inside


def order(state: State, inside: set[str], tuning: Tuning, guesses: dict[str, float]) -> list[Job]:
    """Guaranteed work, then deadline jobs that can still gain, then the rest.

    The first two by arrival; the rest by arrival less the guessed run time, as long ones have
    to start earlier to be over at the same time. In arrival order alone they ended the day.
    """

    def rank(job: Job) -> tuple[int, float]:
        arrived = state.arrived[job.id]
        if job.id in inside:
            return (0, arrived)
        guess = guesses.get(job.id, 60.0)
        if value(job.spec, arrived, state.now + guess, tuning.slope) > 0:
            return (1, arrived)  # only deadline jobs have a value
        return (2, arrived - guess)

    return sorted(
        (j for j in state.jobs if j.cancelled is None and j.free and j.not_before <= state.now),
        key=rank,
    )


def plan(
    state: State,
    tuning: Tuning,
    guesses: dict[str, float],
    slot_limit: int,
    old_holds: dict[PoolKey, list[Hold]] | None = None,
) -> Plan:
    """One pass. With `old_holds` it is the cheap pass: no new holds and no stops.

    The full pass knows each pool's future. The cheap one runs at every change and must not
    collect all guessed ends again: of the last full pass it keeps only when each job's first
    hold in a pool starts, and later jobs that would still run then stay out of that pool.
    """
    result = Plan()
    full = old_holds is None
    inside = guaranteed(state)
    todo = order(state, inside, tuning, guesses)
    if not todo:
        return result
    there = survey(state, tuning, guesses, slot_limit, full)
    first: dict[str, dict[PoolKey, float]] = {}
    for key, holds in (old_holds or {}).items():
        for hold in holds:
            if hold.end > state.now:
                claims = first.setdefault(hold.job, {})
                claims[key] = min(hold.start, claims.get(key, math.inf))
    usage = dict(state.usage)
    stopped: set[str] = set()
    for job in todo:
        spec = job.spec
        guess = guesses.get(job.id, 60.0)
        allowed = under_limit(spec, len(job.free), usage, state.teams)
        want = min(len(job.free), allowed)
        gang = spec.kind == "gang"
        if gang and (want < len(job.free) or job.placed):
            continue
        chosen = _start_now(job, want, there, state, guess) if want else []
        got = sum(count for _, count in chosen)
        if gang and got < spec.tasks:
            for room, count in chosen:
                room.take(spec, -count)
            chosen, got = [], 0
        for room, count in chosen:
            result.starts.append(Start(job.id, room.machine.id, count))
            there.free -= spec.cpus * count
            pool = there.pools.get(pool_key(room.machine))
            if pool is not None and full:
                pool.started(spec, count, state.now + guess * room.machine.speed)
        if got:
            cpus, acc = usage.get(spec.team, (0.0, 0.0))
            usage[spec.team] = (cpus + spec.cpus * got, acc + spec.accelerators * got)
        left = want - got
        if not left:
            continue
        for key, at in first.get(job.id, {}).items():
            there.claims[key] = min(at, there.claims.get(key, math.inf))
        deadline = spec.deadline_s is not None
        waited = state.now - state.arrived[job.id]
        planned, late = math.inf, left
        if full and (deadline or job.id in inside or waited > tuning.wait_s):
            planned, late = _hold(job, left, there, state, guess, tuning)
        urgent = deadline or job.id in inside
        if late:
            result.lacks.append(Lack(spec, late, urgent, waited))
        if full and urgent:
            victims = _stops(job, left, planned, state, tuning, guesses, inside, stopped, there)
            stopped.update(victims)
            result.stops += victims
    if full:
        result.holds = {key: pool.holds for key, pool in there.pools.items() if pool.holds}
    result.steps = there.steps
    return result


def under_limit(
    spec: Spec, count: int, usage: dict[str, tuple[float, float]], teams: dict[str, Team]
) -> int:
    """How many of the tasks the team's limit allows now."""
    team = teams.get(spec.team)
    if team is None:
        return 0
    cpus, acc = usage.get(spec.team, (0.0, 0.0))
    if team.cpus_max > 0 and spec.cpus > 0:
        count = min(count, int((team.cpus_max - cpus + EPS) // spec.cpus))
    if team.accelerators_max > 0 and spec.accelerators > 0:
        count = min(count, int((team.accelerators_max - acc + EPS) // spec.accelerators))
    return max(0, count)


def _start_now(
    job: Job, want: int, there: Field, state: State, guess: float
) -> list[tuple[Room, int]]:
    """Choose machines for up to `want` tasks and take their room."""
    spec = job.spec
    options: list[tuple[tuple, str, int, Room]] = []
    tight = there.tight
    spare: dict[PoolKey, int] = {}  # what the holds of other jobs leave to this one
    for key, pool in there.pools.items():
        if not pool.rooms[0].machine.allowed(spec):
            continue
        if state.now + guess > there.claims.get(key, math.inf):
            continue
        if pool.holds:
            there.steps += pool.buckets
            low, high = pool.span(state.now, state.now + guess)
            spare[key] = min(pool.available(size_of(spec))[low:high])
            if spare[key] <= 0:
                continue
        _options(job, pool.rooms, tight, options)
    leaving = [
        room
        for room in there.leaving
        # A machine with a spot notice takes only what it can still finish.
        if room.machine.allowed(spec)
        and state.now + guess * room.machine.speed < (room.machine.ends_at or 0.0)
    ]
    _options(job, leaving, tight, options)
    there.steps += len(options)
    options.sort(key=lambda option: option[:2])
    zones = _zones(job, state)
    if spec.one_zone:
        options = _one_zone(options, zones, want, spec)
    cap = (spec.tasks + 1) // 2
    chosen = []
    for _, _, count, room in options:
        if want <= 0:
            break
        count = min(count, want)
        key = pool_key(room.machine)
        if key in spare and room.machine.ends_at is None:
            count = min(count, spare[key])
        if spec.spread:
            count = min(count, cap - zones.get(room.machine.zone, 0))
        if count <= 0:
            continue
        if key in spare:
            spare[key] -= count
        if spec.spread:
            zones[room.machine.zone] = zones.get(room.machine.zone, 0) + count
        room.take(spec, count)
        want -= count
        chosen.append((room, count))
    return chosen


def _options(
    job: Job, rooms: list[Room], tight: bool, options: list[tuple[tuple, str, int, Room]]
) -> None:
    spec = job.spec
    cpus = spec.cpus - EPS
    for room in rooms:
        if room.cpus < cpus:
            continue
        count = room.fit(spec)
        if count > 0 and room.machine.id not in job.bad_machines:
            options.append((_preference(room, spec, tight), room.machine.id, count, room))


def _preference(room: Room, spec: Spec, tight: bool) -> tuple:
    """Which machine a task takes first.

    While the fleet is full, work that would lose everything keeps off machines the cloud may
    take back. With room to spare, work gathers on cheap, well-filled machines, so that the
    dear ones run empty and can be returned.
    """
    m = room.machine
    slow = round(max(0.0, m.speed - 1.0), 1)
    fetch = spec.image not in m.images
    if tight:
        exposed = m.spot if spec.checkpoint_s <= 0 else not m.spot
        return (slow, fetch, exposed, room.cpus)
    return (slow, fetch, not m.placements, not m.spot, room.cpus)


def _zones(job: Job, state: State) -> dict[str, int]:
    """Where the job's tasks are or may be, by zone."""
    if not (job.spec.one_zone or job.spec.spread):
        return {}
    # Silent machines count too: a job bound to one zone was once started in another while
    # its tasks sat on machines that could not be heard.
    where = state.where
    counts: dict[str, int] = {}
    for p in job.placed.values():
        zone = where.get(p.machine)
        if zone is not None:
            counts[zone] = counts.get(zone, 0) + 1
    return counts


def _one_zone(options: list, zones: dict[str, int], want: int, spec: Spec) -> list:
    """Options of the zone the job is bound to, or of the zone that fits most of it."""
    if zones:
        return [o for o in options if o[3].machine.zone in zones] if len(zones) == 1 else []
    totals: dict[str, int] = {}
    for option in options:
        zone = option[3].machine.zone
        totals[zone] = totals.get(zone, 0) + option[2]
    if not totals:
        return []
    best = max(totals, key=lambda zone: (min(totals[zone], want), zone))
    return [o for o in options if o[3].machine.zone == best]


def _hold(
    job: Job, left: int, there: Field, state: State, guess: float, tuning: Tuning
) -> tuple[float, int]:
    """Plan the earliest starts of the rest and hold their room.

    Returns the last planned start, and how many tasks are planned too late for the deadline
    (with some slack, as guesses err) or not at all.
    """
    spec = job.spec
    pools = [p for p in there.pools.values() if p.rooms[0].machine.allowed(spec)]
    buckets = max((pool.buckets for pool in pools), default=0)
    there.steps += buckets * len(pools)
    due = state.arrived[job.id] + (spec.deadline_s or 0.0) - SLACK * guess
    planned, late = state.now, 0
    for pool, hold in plan_starts(pools, spec, left, guess, job.id, buckets):
        pool.hold(hold)
        left -= hold.count
        planned = hold.start
        if spec.deadline_s is None or hold.end > due:
            late += hold.count
    return (math.inf, late + left) if left else (planned, late)


def stop_cost(job: Job, tuning: Tuning, now: float, arrived: float, guess: float) -> float:
    """What it costs to stop all of a job's tasks, in best-effort tasks.

    Each earlier stop multiplies it: a job that is stopped at every arrival of more urgent
    work makes no progress at all, and the room it keeps refilling is fetched and saved for
    nothing.
    """
    count = len(job.placed) * tuning.stop_growth**job.preempted
    if job.spec.kind == "service":
        return count * tuning.stop_ratio
    if job.spec.deadline_s is None:
        return count
    # A run that ends near or past its deadline has less to lose.
    slack = arrived + job.spec.deadline_s - now
    return count * tuning.stop_ratio * max(0.0, min(1.0, slack / max(job.spec.deadline_s, 1.0)))


def may_stop(
    victim: Job, job: Job, job_inside: bool, victim_inside: bool, over: dict[str, bool]
) -> bool:
    """The protocol's limits: lower priority, or to give a team its guarantee."""
    if victim.spec.priority < job.spec.priority:
        return not victim_inside or victim.spec.team == job.spec.team
    return (
        job_inside
        and not victim_inside
        and victim.spec.team != job.spec.team
        and over.get(victim.spec.team, False)
    )


def _stops(
    job: Job,
    left: int,
    planned: float,
    state: State,
    tuning: Tuning,
    guesses: dict[str, float],
    inside: set[str],
    stopped: set[str],
    there: Field,
) -> list[str]:
    """Whole jobs worth stopping so that the rest of this job starts now instead of later."""
    spec = job.spec
    guess = guesses.get(job.id, 60.0)
    arrived = state.arrived[job.id]
    is_inside = job.id in inside
    # A gain is what an earlier start is worth: deadline value, or a guarantee kept.
    now_value = value(spec, arrived, state.now + guess, tuning.slope)
    later_value = value(spec, arrived, planned + guess, tuning.slope)
    gain = now_value - later_value
    if is_inside and planned > state.now + tuning.cycle_s:
        gain = max(gain, 1.0)
    if gain <= 0:
        return []
    over = {
        name: usage[0] > state.teams[name].cpus + EPS
        for name, usage in state.usage.items()
        if name in state.teams
    }
    if there.victims is None:
        there.victims = _count_victims(state, there)
    usable = {key for key, m in there.samples.items() if m.allowed(spec)}
    if there.stopping & usable:
        return []  # room is on its way from earlier stops; see what it gives first
    options = []
    for victim in state.jobs:
        if victim.id == job.id or victim.id in stopped or not victim.placed:
            continue
        if not may_stop(victim, job, is_inside, victim.id in inside, over):
            continue
        freed = sum(
            count for key, count in there.victims.get(victim.id, {}).items() if key in usable
        )
        freed_tasks = int(freed * victim.spec.cpus // max(spec.cpus, EPS))
        if not freed_tasks:
            continue
        cost = stop_cost(
            victim, tuning, state.now, state.arrived[victim.id], guesses.get(victim.id, 60.0)
        )
        options.append((cost / freed_tasks, cost, freed_tasks, victim.id))
    options.sort()
    chosen: list[str] = []
    need = left
    for _, cost, freed_tasks, victim_id in options:
        if need <= 0:
            break
        worth = gain * min(need, freed_tasks) * tuning.stop_ratio
        if worth <= cost * (1.0 + tuning.stop_margin):
            continue
        chosen.append(victim_id)
        need -= freed_tasks
    return chosen


def _count_victims(state: State, there: Field) -> dict[str, Counter[PoolKey]]:
    counts: dict[str, Counter[PoolKey]] = {}
    for m in state.machines:
        key = pool_key(m)
        there.samples[key] = m
        for p in m.placements.values():
            if p.stopping:
                there.stopping.add(key)
            found = counts.get(p.job)
            if found is None:
                found = counts[p.job] = Counter()
            found[key] += 1
    return counts
