"""Whole controllers in virtual time for tests: a world with steady work, and what is read of it."""

import itertools
import logging

import pytest

from coveflow.lab import site as sites
from coveflow.lab.virtual import World
from coveflow.settings import Tuning
from tests.samples import spec

LAB = """(lab (seed 1) (zones north south) (controllers 5)
 (workers (report-s 2.5) (lease-s 15) (gang-wait-s 15) (gang-peer-s 3) (cancel-s 45))
 (state (rps 400) (write-rps 150) (value-kb 16) (txn-ops 32)) (cloud (rps 10) (list-lag-s 1))
 (type m8 (cpus 8) (ram-gb 32) (cache-gb 60) (fetch-gb-per-s 2) (price 0.4)
  (spot-price 0.1) (boot-s 3))
 (capacity m8 north (ordinary 5) (up 5)) (capacity m8 south (ordinary 5) (up 5))
 (team blue (cpus 0) (cpus-max 0)) (class tally (team blue)))"""
ZONES = {"host-0": "north", "host-1": "north", "host-2": "north", "host-3": "south",
         "host-4": "south"}  # fmt: skip
FAULT_S = 12.0  # s into the world at which things fail


class Lines(logging.Handler):
    """Events of the controllers' logs, with the world's time."""

    def __init__(self) -> None:
        super().__init__()
        self.world, self.rows = None, []

    def emit(self, record) -> None:
        self.rows.append((self.world.now, record.getMessage(), getattr(record, "fields", {})))

    def count(self, event: str, since: float = FAULT_S) -> int:
        return sum(what == event and at >= since for at, what, _ in self.rows)


@pytest.fixture
def play():
    """A world with steady work, played up to the fault; the log's lines beside it."""
    worlds, lines = [], Lines()
    logger = logging.getLogger("coveflow")
    level = logger.level
    logger.addHandler(lines)
    logger.setLevel(logging.INFO)

    def begin(zones=ZONES, jobs_until=34.0, machines=5, run_s=5.0, **more) -> World:
        text = LAB.replace("5) (up 5", f"{machines}) (up {machines}")
        world = World(sites.parse(text, "test"), zones, tuning=Tuning(homes=True), **more)
        worlds.append(world)
        lines.world, world.lines = world, lines
        for i in range(int(jobs_until - 3.0)):
            name, node = f"j-{i:06d}", list(zones)[i % len(zones)]
            job = spec(name, tasks=14, cpus=1.0, team="blue", workload="tally", expected_s=run_s)
            world.at(3.0 + i, lambda job=job, node=node: world.submit(job, node))
        world.run(FAULT_S)
        assert world.leader()
        return world, lines

    yield begin
    logger.removeHandler(lines)
    logger.setLevel(level)
    for world in worlds:
        world.close()


def gap(world: World, start: float, end: float) -> float:
    """Longest time in which no task began to run anywhere."""
    times = [at for at, kind, _ in world.told if kind == "running" and start <= at < end]
    times = [start, *times, end]
    return max(b - a for a, b in itertools.pairwise(times))


def lost(world: World) -> int:
    """Attempts that ended otherwise than done.

    Workers tell of their own ends; of those with a machine or its lease only the leaders tell.
    """
    off = sum(kind == "off" and row["why"] != "done" for _, kind, row in world.told)
    return off + sum(
        what == "attempt ended" and ("lease" in fields["why"] or "machine was" in fields["why"])
        for _, what, fields in world.lines.rows
    )


def all_done(world: World) -> bool:
    rows, _ = world.state.store.list("old/", "", 10**6)
    done = {key[4:] for key, row in rows if row.value["status"] == "done"}
    accepted = {job for job, (status, _) in world.answers.items() if status in (200, 201)}
    return bool(accepted) and accepted <= done


def finish(world: World) -> None:
    """Everything that was accepted comes to its end."""
    looked = [0.0]

    def over() -> bool:
        if world.now < looked[0] + 1.0 or world.now < 36.0:
            return False
        looked[0] = world.now
        return all_done(world)

    world.run(120.0, over)
    assert all_done(world)


def workers(place) -> bool:
    return place.name.startswith("workers")


def controller(place) -> bool:
    return place.name.startswith("host")
