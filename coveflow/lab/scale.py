"""Measures each role's resource use under a load, with the daemon's code in virtual time.

A load is held steady while the processor time of each host's event loop, its messages and their
bytes are counted. Other costs of a real process are not included: HTTP parsing, the kernel and
garbage collection. Of the workers, only protocol traffic counts: reports and their answers.
"""

from __future__ import annotations

import asyncio
import contextlib
import copy
import gc
import time
import tracemalloc
from collections import defaultdict
from collections.abc import Iterator
from dataclasses import asdict, dataclass, replace
from typing import Any

from coveflow import wire
from coveflow.core.model import Spec
from coveflow.daemon.leader_state import LeaderState
from coveflow.daemon.restore import restore
from coveflow.lab import site as sites
from coveflow.lab.virtual import FLEET, Request, SimulatedHost, World
from coveflow.settings import Tuning
from coveflow.state import keys as sk

NODES = 5
JOB_TASKS = 50  # tasks of each short job
LONG_TASKS = 500  # tasks of each long job
TASK_CPUS = 0.15  # small, so that any load fits onto a few machines
LONG_S = 3600.0  # s that tasks of long jobs run: beyond the measurement
SHORT_S = 5.0  # s that tasks of short jobs run
BEGIN_S = 4.0  # s of virtual time at which the load starts
STEADY_S = 16.0  # s from the full load to the measurement; idle machines are returned after 60 s
RAMP_PER_S = 2000.0  # tasks submitted a second until the full load is reached
WINDOW_S = 10.0  # s of measurement

SITE = """(lab (seed 1) (zones {zones}) (controllers {nodes})
 (workers (report-s 2.5) (lease-s 15) (gang-wait-s 15) (gang-peer-s 3) (cancel-s 45))
 (state (rps 20000) (write-rps 10000) (value-kb 16) (txn-ops 32))
 (cloud (rps 1000) (list-lag-s 1))
 (type m8 (cpus 8) (ram-gb 64) (cache-gb 60) (fetch-gb-per-s 2) (price 0.4)
  (spot-price 0.1) (boot-s 1))
 {capacity} {teams}
 (class long (team t0) (run-s {long} {long} {long}))
 (class short (team t0) (run-s {short} {short} {short})))"""


class LoadLimitError(ValueError):
    """The load exceeds what can be run; the text says which limit."""


@dataclass(frozen=True)
class Load:
    """A steady load. Rates are per second; `jobs` are polled by their users every 5 s."""

    machines: int = 1000
    running: int = 2000
    starts: float = 100.0
    waiting: int = 0
    teams: int = 1
    zones: int = 2
    jobs: float = 0.0

    def check(self) -> None:
        """Raises LoadLimitError if the tasks do not fit onto the machines."""
        tasks = self.running + self.starts * SHORT_S
        room = self.machines * int(8 / TASK_CPUS)
        if self.machines < self.zones or self.zones < 1 or self.teams < 1:
            raise LoadLimitError("a load needs a zone, a team, and a machine in each zone")
        if tasks > room:
            raise LoadLimitError(
                f"{tasks:.0f} tasks do not fit onto {self.machines} machines ({room})"
            )


@dataclass
class Traffic:
    """Messages and bytes per second."""

    messages: float = 0.0
    bytes_out: float = 0.0  # of requests
    bytes_in: float = 0.0  # of the answers


@dataclass
class Reading:
    """Measurements under a load, and the load as actually reached."""

    load: Load
    machines: int  # that reported to the leader recently
    running: float
    starts: float  # a second
    cores: dict[str, float]  # processor time per second by role
    traffic: dict[str, Traffic]  # from role to role
    book_bytes: int  # of the leader's in-memory state, rebuilt from its records
    record_bytes: int  # of the leader's records in the state service, packed


@dataclass
class _TrafficCount:
    messages: int = 0
    sent: int = 0
    answered: int = 0


class MeasuredWorld(World):
    """A world that counts messages by the roles of sender and receiver."""

    def __init__(self, *args: Any, **more: Any) -> None:
        self.counted: defaultdict[str, _TrafficCount] = defaultdict(_TrafficCount)
        super().__init__(*args, **more)

    def role(self, place: SimulatedHost | None) -> str:
        """Role of a host: leader, follower, state, cloud, worker or user."""
        if place is None or place.name.startswith("workers-"):
            return "worker"
        if place.name == FLEET:
            return "user"
        if place.node is None:
            return place.name
        return "leader" if place.name == self.leader() else "follower"

    def send(
        self, me: SimulatedHost, address: str, request: Request, future: asyncio.Future[Any]
    ) -> None:
        row = self.counted[f"{self.role(me)} to {self.role(self._host_of(address))}"]
        row.messages += 1
        row.sent += len(request.body)

        def answered(future: asyncio.Future[Any]) -> None:
            if not future.cancelled() and future.exception() is None:
                row.answered += len(future.result()[1])

        future.add_done_callback(answered)
        super().send(me, address, request, future)


class LoadJobs:
    """Generates a load's jobs, with the teams in turn."""

    def __init__(self, teams: int) -> None:
        self.teams = teams
        self.made = 0

    def spec(self, workload: str, expected_s: float, **more: Any) -> Spec:
        """The next job, an array of identical tasks."""
        number, self.made = self.made, self.made + 1
        fields: dict[str, Any] = {
            "id": f"j-{number:08d}", "workload": workload, "team": f"t{number % self.teams}",
            "kind": "array", "priority": 1, "tasks": JOB_TASKS, "cpus": TASK_CPUS,
            "accelerators": 0.0, "ram_gb": 0.1, "image": "img", "image_gb": 0.1, "types": None,
            "zone": None, "one_zone": False, "spread": False, "spot": False,
            "expected_s": expected_s, "checkpoint_s": 0.0, "save_s": 0.0, "deadline_s": None,
        }  # fmt: skip
        return Spec(**(fields | more))


@dataclass
class _Submissions:
    """Schedules the submission of a load's jobs in a world, at the nodes in turn."""

    world: World
    jobs: LoadJobs

    def submit_evenly(
        self, first: float, until: float, per_s: float, *what: Any, **more: Any
    ) -> None:
        """Submit `per_s` jobs a second between the two times."""
        for i in range(round((until - first) * per_s)):
            node = f"host-{self.jobs.made % NODES}"
            spec = self.jobs.spec(*what, **more)
            self.world.at(
                first + i / per_s, lambda spec=spec, node=node: self.world.submit(spec, node)
            )


def zones_of(load: Load) -> list[str]:
    """Names of the load's zones."""
    return [f"z{i}" for i in range(load.zones)]


def site_text(load: Load) -> str:
    """A site description with the load's machines, all running, and its teams."""
    zones = zones_of(load)
    counts = [len(range(i, load.machines, load.zones)) for i in range(load.zones)]
    return SITE.format(
        zones=" ".join(zones), nodes=NODES, long=LONG_S, short=SHORT_S,
        capacity=" ".join(
            f"(capacity m8 {zone} (ordinary {count}) (spot 0) (up {count}))"
            for zone, count in zip(zones, counts, strict=True)
        ),
        teams=" ".join(
            [*(f"(team t{i} (cpus 0) (cpus-max 0))" for i in range(load.teams)),
             f"(team limited (cpus 0) (cpus-max {TASK_CPUS}))"]
        ),
    )  # fmt: skip


def _world(load: Load) -> MeasuredWorld:
    zones = zones_of(load)
    nodes = {f"host-{i}": zones[i % load.zones] for i in range(NODES)}
    return MeasuredWorld(sites.parse(site_text(load), "scale"), nodes, tuning=Tuning(homes=True))


def _submit(world: World, load: Load) -> float:
    """Schedule the load's jobs; returns the time in s at which the load is steady."""
    jobs = _Submissions(world, LoadJobs(load.teams))
    ramp_s = (load.running + load.waiting) / RAMP_PER_S
    steady = BEGIN_S + ramp_s + STEADY_S
    until = steady + WINDOW_S
    ramp = RAMP_PER_S / LONG_TASKS
    running_s = BEGIN_S + load.running / RAMP_PER_S
    long = {"tasks": LONG_TASKS}
    jobs.submit_evenly(BEGIN_S, running_s, ramp, "long", LONG_S, **long)
    jobs.submit_evenly(running_s, BEGIN_S + ramp_s, ramp, "long", LONG_S, team="limited", **long)
    jobs.submit_evenly(BEGIN_S + ramp_s, until, load.starts / JOB_TASKS, "short", SHORT_S)
    # Jobs of one task, polled by their users.
    jobs.submit_evenly(BEGIN_S + ramp_s, until, load.jobs, "short", SHORT_S, tasks=1)
    return steady


def measure(load: Load) -> Reading:
    """Run the load until it is steady, then measure each role. Raises LoadLimitError."""
    load.check()
    with _world(load) as world:
        world.polls = load.jobs > 0.0
        steady = _submit(world, load)
        world.run(steady)
        world.counted.clear()
        leader, seen = world.leader(), len(world.attempt_events)
        spent = _processor_time(world, steady + WINDOW_S)
        if not leader or leader != world.leader():
            raise LoadLimitError("the leader changed while the load was measured")
        cores: defaultdict[str, list[float]] = defaultdict(list)
        for name, place in world.hosts.items():
            if place.node is not None:
                cores[world.role(place)].append(spent[name] / WINDOW_S)
        state = world.node(leader).owner.state
        return Reading(
            load=load,
            machines=sum(state.reported_recently(m, world.now) for m in state.machines.values()),
            running=sum(len(m.placements) for m in state.machines.values()),
            starts=sum(kind == "running" for _, kind, _ in world.attempt_events[seen:]) / WINDOW_S,
            cores={role: sum(shares) / len(shares) for role, shares in cores.items()},
            traffic={
                name: Traffic(
                    row.messages / WINDOW_S, row.sent / WINDOW_S, row.answered / WINDOW_S
                )
                for name, row in sorted(world.counted.items())
            },
            book_bytes=_book_bytes(world, leader),
            record_bytes=_record_bytes(world),
        )  # fmt: skip


@contextlib.contextmanager
def _no_collection() -> Iterator[None]:
    """Disable garbage collection, whose cost for all hosts would be charged to one host."""
    gc.collect()
    gc.disable()
    try:
        yield
    finally:
        gc.enable()


def _processor_time(world: World, until: float) -> dict[str, float]:
    """Processor time in s that each host uses until `until`.

    Event loop iterations are timed by the wall clock, which is cheap to read, and are scaled by the
    share of the time in which this process had a processor.
    """
    before = {name: place.loop.spent_s for name, place in world.hosts.items()}
    with _no_collection():
        real_before, process_before = time.perf_counter(), time.process_time()
        world.run(until)
        part = (time.process_time() - process_before) / (time.perf_counter() - real_before)
    return {
        name: (place.loop.spent_s - before[name]) * part
        for name, place in world.hosts.items()
        if name in before
    }


def _record_rows(world: World) -> list[tuple[str, Any, int]]:
    rows, _ = world.state.store.list(sk.LEADER_STATE, "", 10**6)
    return [(key, row.value, row.rev) for key, row in rows]


def _record_bytes(world: World) -> int:
    return sum(len(wire.pack(value)) for _, value, _ in _record_rows(world))


def _book_bytes(world: World, leader: str) -> int:
    """Memory of the leader's jobs, machines, placements and records, without the jobs' specs."""
    owner, rows = world.node(leader).owner, _record_rows(world)
    tracemalloc.start()
    state = LeaderState(owner.context)
    restore(state, owner.inbox, rows, world.now)
    # Idle machines have no record.
    idle = [m for name, m in owner.state.machines.items() if name not in state.machines]
    state.machines |= {m.id: copy.copy(m) for m in idle}
    found, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return found


def to_row(reading: Reading) -> dict[str, Any]:
    """A reading as plain data, for JSON."""
    return asdict(reading)


def from_row(row: dict[str, Any]) -> Reading:
    """The reading from plain data."""
    traffic = {name: Traffic(**it) for name, it in row["traffic"].items()}
    return replace(Reading(**row), load=Load(**row["load"]), traffic=traffic)
