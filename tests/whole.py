"""Test helpers for whole controllers in virtual time: a world under steady load."""

import logging

import pytest

from coveflow.lab import site as sites
from coveflow.lab.virtual import World
from coveflow.lab.worlds import gap, site, unfinished
from coveflow.settings import Tuning
from tests.samples import spec

__all__ = ["gap"]  # re-exported for the tests

SIDES = ("north", "south")
ZONES = {"host-0": "north", "host-1": "north", "host-2": "north", "host-3": "south",
         "host-4": "south"}  # fmt: skip
FAULT_S = 12.0  # s into the world at which tests inject faults


class Lines(logging.Handler):
    """Collects the controllers' log events with the world's time."""

    def __init__(self) -> None:
        super().__init__()
        self.world, self.rows = None, []

    def emit(self, record) -> None:
        self.rows.append((self.world.now, record.getMessage(), getattr(record, "fields", {})))

    def count(self, event: str, since: float = FAULT_S) -> int:
        return sum(what == event and at >= since for at, what, _ in self.rows)


@pytest.fixture
def play():
    """Returns a function that runs a world under steady load up to FAULT_S, and its log lines."""
    worlds, lines = [], Lines()
    logger = logging.getLogger("coveflow")
    level = logger.level
    logger.addHandler(lines)
    logger.setLevel(logging.INFO)

    def begin(zones=ZONES, jobs_until=34.0, machines=5, run_s=5.0, **more) -> World:
        text = site(SIDES, len(ZONES), machines)
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


def lost(world: World) -> int:
    """Number of attempts that ended without completing.

    Workers report their own ends; ends by a lost machine or lease are only in the leaders' logs.
    """
    off = sum(kind == "off" and row["why"] != "done" for _, kind, row in world.attempt_events)
    return off + sum(
        what == "attempt ended" and ("lease" in fields["why"] or "machine was" in fields["why"])
        for _, what, fields in world.lines.rows
    )


def finish(world: World) -> None:
    """Runs the world until all accepted jobs have finished, and asserts that they have."""
    checked_at = [0.0]

    def over() -> bool:
        if world.now < checked_at[0] + 1.0 or world.now < 36.0:
            return False
        checked_at[0] = world.now
        return bool(world.answers) and not unfinished(world)

    world.run(120.0, over)
    assert world.answers and not unfinished(world)


def workers(place) -> bool:
    return place.name.startswith("workers")


def controller(place) -> bool:
    return place.name.startswith("host")
