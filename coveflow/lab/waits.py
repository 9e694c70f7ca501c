"""Detects jobs that wait although a machine has room and their team is below its limit.

The input are samples of the free capacity of each machine and of the placed tasks. A job waits
while one of its tasks is neither placed nor done and could be placed now; for a gang all tasks must
fit at once. Waiting times count only after the last injected fault is over.
"""

from __future__ import annotations

import math
from collections import Counter, deque
from collections.abc import Iterable
from dataclasses import dataclass, field

from coveflow.core.model import Spec
from coveflow.settings import Team

MAX_WAIT_S = 90.0  # the operators' limit on the time that a job may wait although there is room
# How long capacity must stay free to count as room: two reports of a worker, as the room is
# offered between them.
ROOM_LASTS_S = 6.0
# Within which a task's end is reported: the report interval is 2.5 s plus or minus 25%.
END_REPORTED_S = 3.0
EPS = 1e-6

Task = tuple[str, int]  # job and number
Usage = tuple[float, float]  # CPUs and accelerators


@dataclass(frozen=True)
class FreeCapacity:
    """The free capacity of a machine that is up and reachable."""

    name: str
    flavor: str
    zone: str
    spot: bool
    cpus: float
    accelerators: float
    ram_gb: float
    cache_gb: float

    def fits(self, spec: Spec) -> int:
        """How many tasks of the job fit now; 0 if the job may not run on this machine."""
        if (
            (spec.types is not None and self.flavor not in spec.types)
            or (spec.zone is not None and spec.zone != self.zone)
            or (self.spot and not spec.spot)
            or spec.image_gb > self.cache_gb
        ):
            return 0
        counts = [
            math.floor(free / need + EPS)
            for free, need in (
                (self.cpus, spec.cpus),
                (self.accelerators, spec.accelerators),
                (self.ram_gb, spec.ram_gb),
            )
            if need > 0
        ]
        return max(0, min(counts, default=spec.tasks))

    def minimum(self, other: FreeCapacity) -> FreeCapacity:
        """The capacity that was free in both samples."""
        return FreeCapacity(
            self.name, self.flavor, self.zone, self.spot, min(self.cpus, other.cpus),
            min(self.accelerators, other.accelerators), min(self.ram_gb, other.ram_gb),
            self.cache_gb,
        )  # fmt: skip


@dataclass
class OpenJob:
    """An accepted job that is neither finished nor being cancelled."""

    spec: Spec
    done: set[int]
    placed: dict[int, str] = field(default_factory=dict)  # zone of each task on a machine, by task


@dataclass(frozen=True)
class LongWait:
    """A job that waited too long, and a machine that had room for it."""

    job: str
    for_s: float
    machine: str


class WaitDetector:
    def __init__(self, teams: dict[str, Team]) -> None:
        self.teams = teams
        self.faults_over_at = math.inf  # when the last injected fault was over
        self.longest_s = 0.0
        self.since: dict[str, float] = {}  # since when each waiting job has waited
        self.samples: dict[str, deque[tuple[float, FreeCapacity]]] = {}
        # When each task was last seen on a machine.
        self.recent_tasks: dict[Task, tuple[float, Spec]] = {}

    def update(
        self,
        at: float,
        machines: Iterable[FreeCapacity],
        jobs: dict[str, OpenJob],
        placed: dict[Task, Spec],
    ) -> list[LongWait]:
        """Add a sample of the machines, the open jobs and all placed tasks.

        Returns the jobs that have waited for MAX_WAIT_S; their waiting time then starts again.
        """
        rooms, used = self._lasting_capacity(at, machines), self._team_usage(at, placed)
        if at < self.faults_over_at:
            self.since.clear()
            return []
        found: list[LongWait] = []
        waiting: dict[str, float] = {}
        for name, job in jobs.items():
            machine = self._room_for(job, rooms, used)
            if not machine:
                continue
            since = waiting[name] = self.since.get(name, at)
            self.longest_s = max(self.longest_s, at - since)
            if at - since >= MAX_WAIT_S:
                found.append(LongWait(name, at - since, machine))
                waiting[name] = at
        self.since = waiting
        return found

    def _lasting_capacity(self, at: float, machines: Iterable[FreeCapacity]) -> list[FreeCapacity]:
        """What has been free on each machine for ROOM_LASTS_S, so that it counts as room."""
        kept: dict[str, deque[tuple[float, FreeCapacity]]] = {}
        rooms: list[FreeCapacity] = []
        for machine in machines:
            samples = kept[machine.name] = self.samples.get(machine.name, deque())
            samples.append((at, machine))
            while len(samples) > 1 and samples[1][0] <= at - ROOM_LASTS_S:
                samples.popleft()
            if samples[0][0] > at - ROOM_LASTS_S:
                continue
            least = machine
            for _, sample in samples:
                least = least.minimum(sample)
            rooms.append(least)
        self.samples = kept
        return rooms

    def _team_usage(self, at: float, placed: dict[Task, Spec]) -> dict[str, Usage]:
        """The usage of each team; a task counts until a report has shown its end."""
        self.recent_tasks.update({task: (at, spec) for task, spec in placed.items()})
        self.recent_tasks = {
            task: (seen, spec)
            for task, (seen, spec) in self.recent_tasks.items()
            if at - seen < END_REPORTED_S
        }
        used: dict[str, Usage] = {}
        for _, spec in self.recent_tasks.values():
            cpus, accelerators = used.get(spec.team, (0.0, 0.0))
            used[spec.team] = (cpus + spec.cpus, accelerators + spec.accelerators)
        return used

    def _room_for(self, job: OpenJob, rooms: list[FreeCapacity], used: dict[str, Usage]) -> str:
        """A machine with room for a task of the job; "" if there is none or no task waits."""
        spec = job.spec
        missing = spec.tasks - len(job.done | set(job.placed))
        if not missing or (spec.kind == "gang" and job.placed):
            return ""
        count = spec.tasks if spec.kind == "gang" else 1
        if not self._under_limit(spec, count, used):
            return ""
        free: Counter[str] = Counter()  # tasks that fit, by zone
        names: dict[str, str] = {}
        for room in rooms:
            fits = room.fits(spec)
            if fits:
                free[room.zone] += fits
                names.setdefault(room.zone, room.name)
        placed_by_zone = Counter(job.placed.values())
        if spec.one_zone:
            zones = [zone for zone in free if not placed_by_zone or placed_by_zone[zone]]
            fitting = max((free[zone] for zone in zones), default=0)
        elif spec.spread:
            zone_limit = (spec.tasks + 1) // 2
            zones = [zone for zone in free if placed_by_zone[zone] < zone_limit]
            fitting = sum(min(free[zone], zone_limit - placed_by_zone[zone]) for zone in zones)
        else:
            zones, fitting = list(free), sum(free.values())
        return names[zones[0]] if zones and fitting >= count else ""

    def _under_limit(self, spec: Spec, count: int, used: dict[str, Usage]) -> bool:
        team = self.teams.get(spec.team)
        if team is None:
            return False
        cpus, accelerators = used.get(spec.team, (0.0, 0.0))
        return not (
            (team.cpus_max > 0 and cpus + count * spec.cpus > team.cpus_max + EPS)
            or (
                team.accelerators_max > 0
                and accelerators + count * spec.accelerators > team.accelerators_max + EPS
            )
        )
