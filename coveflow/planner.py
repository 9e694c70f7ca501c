"""The planner: pure functions from a state and a time to starts, holds, stops and lacks.

It walks deadline jobs in arrival order, then best-effort ones; work within a team's guarantee
comes first. What cannot start now gets a planned start that holds its room on a machine.
"""

from __future__ import annotations

import math
from bisect import insort
from dataclasses import dataclass, field

from .model import Job, Machine, Spec
from .settings import Team, Tuning

EPS = 1e-6
SLACK = 0.8  # part of a guess that a planned end must keep before the deadline
TIGHT = 0.25  # free part of the fleet's CPUs below which it counts as full


@dataclass(slots=True)
class Start:
    job: str
    machine: str
    count: int


@dataclass(slots=True)
class Hold:
    """Room on a machine kept for a job from a planned start to its guessed end."""

    start: float
    end: float
    cpus: float
    ram_gb: float
    accelerators: float
    job: str


@dataclass(slots=True)
class Lack:
    """Tasks that the machines that are up cannot start in time."""

    spec: Spec
    count: int
    urgent: bool
    waited: float  # s since the job came


@dataclass(slots=True)
class Plan:
    starts: list[Start] = field(default_factory=list)
    holds: dict[str, list[Hold]] = field(default_factory=dict)
    stops: list[str] = field(default_factory=list)  # jobs to stop whole
    lacks: list[Lack] = field(default_factory=list)


@dataclass(slots=True)
class Room:
    """What a machine has free now, and what it gets back or owes later."""

    machine: Machine
    cpus: float
    ram_gb: float
    accelerators: float
    slots: int
    releases: list[tuple[float, float, float, float]] = field(default_factory=list)
    holds: list[Hold] = field(default_factory=list)

    def fit(self, spec: Spec) -> int:
        return max(0, min(self.slots, fit(self.cpus, self.ram_gb, self.accelerators, spec)))

    def fit_at(self, spec: Spec, start: float, end: float, skip: str) -> int:
        """How many tasks fit from `start` to `end`, leaving other jobs' holds their room."""
        most = self._fit_point(spec, start, skip)
        for hold in self.holds:
            if most <= 0:
                return 0
            if hold.job != skip and start < hold.start < end:
                most = min(most, self._fit_point(spec, hold.start, skip))
        return min(most, self.slots)

    def _fit_point(self, spec: Spec, at: float, skip: str) -> int:
        cpus, ram, acc = self.cpus, self.ram_gb, self.accelerators
        for when, r_cpus, r_ram, r_acc in self.releases:
            if when > at:
                break
            cpus += r_cpus
            ram += r_ram
            acc += r_acc
        for hold in self.holds:
            if hold.job != skip and hold.start <= at < hold.end:
                cpus -= hold.cpus
                ram -= hold.ram_gb
                acc -= hold.accelerators
        return fit(cpus, ram, acc, spec)

    def take(self, spec: Spec, count: int) -> None:
        self.cpus -= spec.cpus * count
        self.ram_gb -= spec.ram_gb * count
        self.accelerators -= spec.accelerators * count
        self.slots -= count


def fit(cpus: float, ram: float, acc: float, spec: Spec) -> int:
    """How many tasks of the job fit into this much room."""
    most = math.inf
    if spec.cpus > 0:
        most = min(most, (cpus + EPS) // spec.cpus)
    if spec.ram_gb > 0:
        most = min(most, (ram + EPS) // spec.ram_gb)
    if spec.accelerators > 0:
        most = min(most, (acc + EPS) // spec.accelerators)
    return 1_000_000 if most == math.inf else max(0, int(most))


def value(spec: Spec, arrived: float, end: float, slope: float) -> float:
    """A deadline job's worth by its guessed end: 1 until the deadline, then falling to 0."""
    if spec.deadline_s is None:
        return 0.0
    late = end - (arrived + spec.deadline_s)
    if late <= 0:
        return 1.0
    return max(0.0, 1.0 - slope * late / max(spec.deadline_s, 1.0))


@dataclass(slots=True)
class State:
    """What the planner may see. Times are all on one clock."""

    jobs: list[Job]
    machines: list[Machine]
    teams: dict[str, Team]
    usage: dict[str, tuple[float, float]]  # cpus and accelerators of each team's placements
    now: float
    arrived: dict[str, float]  # arrival of each job on the planner's clock
    where: dict[str, str] = field(default_factory=dict)  # zone of every machine, heard or not


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


def rooms(state: State, tuning: Tuning, guesses: dict[str, float], slot_limit: int) -> list[Room]:
    by_id = {job.id: job for job in state.jobs}
    found = []
    for machine in state.machines:
        room = Room(
            machine,
            machine.cpus,
            machine.ram_gb,
            machine.accelerators,
            slot_limit - len(machine.placements),
        )
        for p in machine.placements.values():
            job = by_id.get(p.job)
            if job is None:
                continue
            guess = guesses.get(p.job, 60.0) * machine.speed
            left = (
                job.spec.save_s
                if p.stopping
                else remaining(p.since, guess, state.now, p.overrun, tuning.cycle_s)
            )
            insort(
                room.releases,
                (state.now + left, job.spec.cpus, job.spec.ram_gb, job.spec.accelerators),
            )
        found.append(room)
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
    """Guaranteed work, then deadline jobs that can still gain, then the rest; each by arrival."""

    def rank(job: Job) -> tuple[int, float]:
        arrived = state.arrived[job.id]
        if job.id in inside:
            return (0, arrived)
        if job.spec.deadline_s is not None:
            guess = guesses.get(job.id, 60.0)
            hopeless = value(job.spec, arrived, state.now + guess, tuning.slope) <= 0
            return (2 if hopeless else 1, arrived)
        return (2, arrived)

    return sorted(
        (j for j in state.jobs if j.cancelled is None and j.free and j.not_before <= state.now),
        key=rank,
    )


def plan(
    state: State,
    tuning: Tuning,
    guesses: dict[str, float],
    slot_limit: int,
    old_holds: dict[str, list[Hold]] | None = None,
) -> Plan:
    """One pass. With `old_holds` it is the cheap pass: no new holds and no stops."""
    result = Plan()
    full = old_holds is None
    all_rooms = rooms(state, tuning, guesses, slot_limit)
    if old_holds is not None:
        for room in all_rooms:
            room.holds = [h for h in old_holds.get(room.machine.id, []) if h.end > state.now]
    inside = guaranteed(state)
    usage = dict(state.usage)
    stopped: set[str] = set()
    for job in order(state, inside, tuning, guesses):
        spec = job.spec
        guess = guesses.get(job.id, 60.0)
        allowed = under_limit(spec, len(job.free), usage, state.teams)
        want = min(len(job.free), allowed)
        gang = spec.kind == "gang"
        if gang and (want < len(job.free) or job.placed):
            continue
        starts = _start_now(job, want, all_rooms, state, guess)
        got = sum(start.count for start in starts)
        if gang and got < spec.tasks:
            _undo(spec, starts, all_rooms)
            starts, got = [], 0
        result.starts += starts
        if got:
            cpus, acc = usage.get(spec.team, (0.0, 0.0))
            usage[spec.team] = (cpus + spec.cpus * got, acc + spec.accelerators * got)
        left = want - got
        if not left:
            continue
        deadline = spec.deadline_s is not None
        waited = state.now - state.arrived[job.id]
        planned, late = math.inf, left
        if full and (deadline or job.id in inside or waited > tuning.wait_s):
            planned, late = _hold(job, left, all_rooms, state, guess, tuning)
        urgent = deadline or job.id in inside
        if late:
            result.lacks.append(Lack(spec, late, urgent, waited))
        if full and urgent:
            chosen = _stops(job, left, planned, state, tuning, guesses, inside, stopped, all_rooms)
            stopped.update(chosen)
            result.stops += chosen
    if full:
        result.holds = {r.machine.id: r.holds for r in all_rooms if r.holds}
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


def _usable(machine: Machine, spec: Spec, now: float, guess: float) -> bool:
    if not machine.up or machine.returning or machine.draining or machine.suspect:
        return False
    # A machine with a spot notice takes only what it can still finish.
    return machine.ends_at is None or now + guess * machine.speed < machine.ends_at


def _start_now(
    job: Job, want: int, all_rooms: list[Room], state: State, guess: float
) -> list[Start]:
    """Choose machines for up to `want` tasks and take their room."""
    spec = job.spec
    options = []
    total = sum(room.machine.flavor.cpus for room in all_rooms)
    tight = sum(room.cpus for room in all_rooms) < TIGHT * total
    for room in all_rooms:
        m = room.machine
        if not _usable(m, spec, state.now, guess) or not m.allowed(spec):
            continue
        if m.id in job.bad_machines:
            continue
        count = room.fit(spec)
        if count and room.holds:
            end = state.now + guess * m.speed
            count = min(count, room.fit_at(spec, state.now, end, job.id))
        if count > 0:
            options.append((_preference(room, spec, tight), m.id, count, room))
    options.sort(key=lambda option: option[:2])
    zones = _zones(job, state)
    if spec.one_zone:
        options = _one_zone(options, zones, want, spec)
    cap = (spec.tasks + 1) // 2
    starts = []
    for _, machine_id, count, room in options:
        if want <= 0:
            break
        count = min(count, want)
        if spec.spread:
            zone = room.machine.zone
            count = min(count, cap - zones.get(zone, 0))
            if count <= 0:
                continue
            zones[zone] = zones.get(zone, 0) + count
        room.take(spec, count)
        want -= count
        starts.append(Start(job.id, machine_id, count))
    return starts


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


def _undo(spec: Spec, starts: list[Start], all_rooms: list[Room]) -> None:
    by_id = {room.machine.id: room for room in all_rooms}
    for start in starts:
        by_id[start.machine].take(spec, -start.count)


def _hold(
    job: Job, left: int, all_rooms: list[Room], state: State, guess: float, tuning: Tuning
) -> tuple[float, int]:
    """Plan the earliest starts of the rest and hold their room.

    Returns the last planned start, and how many tasks are planned too late for the deadline
    (with some slack, as guesses err) or not at all.
    """
    spec = job.spec
    moments: list[tuple[float, int]] = []
    limit = state.now + tuning.horizon_s
    for index, room in enumerate(all_rooms):
        m = room.machine
        if not _usable(m, spec, state.now, guess) or not m.allowed(spec):
            continue
        if m.id in job.bad_machines:
            continue
        times = {release[0] for release in room.releases} | {h.end for h in room.holds}
        moments += [(t, index) for t in times if t <= limit]
    moments.sort()
    due = state.arrived[job.id] + (spec.deadline_s or 0.0) - SLACK * guess
    late = 0
    for moment, index in moments:
        room = all_rooms[index]
        end = moment + guess * room.machine.speed
        count = min(left, room.fit_at(spec, moment, end, ""))
        if count <= 0:
            continue
        room.holds.append(
            Hold(
                moment,
                end,
                spec.cpus * count,
                spec.ram_gb * count,
                spec.accelerators * count,
                job.id,
            )
        )
        left -= count
        if spec.deadline_s is None or end > due:
            late += count
        if left <= 0:
            return moment, late
    return math.inf, late + left


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
    all_rooms: list[Room],
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
    where = {room.machine.id: room for room in all_rooms}
    over = {
        name: usage[0] > state.teams[name].cpus + EPS
        for name, usage in state.usage.items()
        if name in state.teams
    }
    pending_room = sum(
        1 for m in state.machines for p in m.placements.values() if p.stopping and m.allowed(spec)
    )
    if pending_room:
        return []  # room is on its way from earlier stops; see what it gives first
    options = []
    for victim in state.jobs:
        if victim.id == job.id or victim.id in stopped or not victim.placed:
            continue
        if not may_stop(victim, job, is_inside, victim.id in inside, over):
            continue
        freed = 0
        for p in victim.placed.values():
            room = where.get(p.machine)
            if room is not None and room.machine.allowed(spec):
                freed += 1
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
