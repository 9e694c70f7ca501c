"""A leader full of work keeps the lead and starts what it can; a slow processor hands on."""

import logging
import math

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from coveflow import constants as c
from coveflow.core import overload
from coveflow.core.failure_detector import SlowLeaderHandover
from coveflow.daemon.node import Node
from coveflow.lab import site as sites
from coveflow.lab.virtual import World
from coveflow.lab.worlds import site
from coveflow.settings import Tuning
from tests.samples import spec
from tests.whole import SIDES, ZONES, Lines

BUSY_AT = 6.0  # s into the world at which reports begin to cost the leader processor time
REPORT_S = 0.05  # s that each costs; the machines send three times as many as fit
COMMANDS = 2  # in a batch: as much of the time for a renewal as `BATCH_COMMANDS` in a real process


class FullWorld(World):
    """Short tasks for all machines, each of whose reports costs the leader processor time."""

    def __init__(self) -> None:
        text = site(SIDES, len(ZONES), 16, run_s=1.0)
        super().__init__(sites.parse(text, "test"), ZONES, tuning=Tuning(homes=True))
        self.lines = Lines()
        self.lines.world = self
        for i in range(60):
            job = spec(f"j-{i:06d}", tasks=300, cpus=1.0, team="blue", workload="tally")
            self.at(3.0 + i * 0.2, lambda job=job, i=i: self.submit(job, list(ZONES)[i % 5]))
        self.run(BUSY_AT)
        self.report_s = REPORT_S

    def starts(self, for_s: float) -> float:
        """Starts a second over the next seconds."""
        before = self.checker.starts
        self.run(self.now + for_s)
        return (self.checker.starts - before) / for_s

    def leases_lost(self) -> int:
        return sum(worker.tenure - 1 for worker in self.fleet.workers.values())


@pytest.fixture
def full(monkeypatch):
    monkeypatch.setattr(c, "BATCH_COMMANDS", COMMANDS)
    logger = logging.getLogger("coveflow")
    level = logger.level
    logger.setLevel(logging.INFO)
    with FullWorld() as world:
        logger.addHandler(world.lines)
        yield world
        logger.removeHandler(world.lines)
    logger.setLevel(level)


def test_a_leader_full_of_work_keeps_the_lead_and_its_rate(full):
    """At 4,800 machines it lost its lease, and each successor was as late within seconds."""
    leader = full.leader()
    full.starts(6.0)  # what had gathered before is worked through
    rates = [full.starts(10.0) for _ in range(6)]
    assert min(rates) >= 0.75 * max(rates)
    assert sum(rates[3:]) >= 0.9 * sum(rates[:3])
    assert full.leader() == leader
    assert not full.lines.count("handing over", BUSY_AT) and not full.lines.count(
        "taking over", BUSY_AT
    )
    assert full.leases_lost() == 0
    full.report_s = 0.0
    full.run(full.now + 2.0)
    assert full.starts(5.0) > 2.0 * max(rates)


def test_without_a_bound_on_batches_the_lead_changes_again_and_again(full, monkeypatch):
    monkeypatch.setattr(c, "BATCH_COMMANDS", 1_000_000)
    full.run(BUSY_AT + 30.0)
    assert full.lines.count("taking over", BUSY_AT) > 2


def late(world: World, monkeypatch, compute_s: dict[str, float]) -> None:
    """Timers of the leader fire late for 10 s; processors are as slow as told."""
    monkeypatch.setattr(Node, "_measure_compute_time", lambda node: None)
    for name, seconds in compute_s.items():
        for _ in range(c.COMPUTE_TRIES):
            world.node(name).compute_pace.add_sample(seconds)
    leader = world.node(world.leader())
    for step in range(100):
        at = world.now + 1.0 + 0.1 * step
        world.at(at, lambda: setattr(leader, "timer_lateness_s", 2.0))
    world.run(world.now + 12.0)


def test_lateness_of_its_own_work_hands_nothing_over(full, monkeypatch):
    late(full, monkeypatch, dict.fromkeys(ZONES, 1e-4))
    assert not full.lines.count("handing over", BUSY_AT)


def test_a_slow_processor_hands_over_though_busy(full, monkeypatch):
    compute_s = dict.fromkeys(ZONES, 1e-4) | {full.leader(): 3e-4}
    late(full, monkeypatch, compute_s)
    assert full.lines.count("handing over", BUSY_AT) == 1


def test_taken_for_sick_a_leader_full_of_work_hands_over(full, monkeypatch):
    monkeypatch.setattr(overload, "overloaded", lambda *_: False)
    late(full, monkeypatch, dict.fromkeys(ZONES, 1e-4))
    assert full.lines.count("handing over", BUSY_AT) >= 1


@given(st.floats(0.0, 1.0), st.floats(1e-6, 1.0), st.floats(1e-6, 1.0))
@settings(derandomize=True, max_examples=200, deadline=None)
def test_a_processor_slower_than_the_others_is_never_overload(share, own_s, others_s):
    told = overload.overloaded(share, own_s, others_s)
    assert not told or (share >= c.BUSY_SHARE and own_s < c.SICK_TIMES * others_s)
    # Unknown paces of older builds say nothing against it.
    assert overload.overloaded(share, 0.0, others_s) is (share >= c.BUSY_SHARE)
    assert overload.overloaded(share, own_s, 0.0) is (share >= c.BUSY_SHARE)


@given(st.lists(st.tuples(st.floats(0.01, 5.0), st.floats(0.0, 1.0)), min_size=1, max_size=40))
@settings(derandomize=True, max_examples=100, deadline=None)
def test_the_busy_share_lies_between_the_least_and_the_most_of_its_time(steps):
    busy, now = overload.BusyShare(0.0), 0.0
    for elapsed, part in steps:
        now += elapsed
        busy.add_busy_time(elapsed * part)
        share = busy.update(now)
        assert -1e-9 <= share <= max(part for _, part in steps) + 1e-9
    busy.add_busy_time(c.BUSY_FADE_S * 10.0)
    assert math.isclose(busy.update(now + c.BUSY_FADE_S * 10.0), 1.0, abs_tol=0.01)


def test_the_pace_of_computing_is_the_least_of_the_newest_tries():
    pace = overload.ComputeSpeed()
    for _ in range(c.COMPUTE_TRIES - 1):
        pace.add_sample(0.5)
    assert pace.best_s() == 0.0
    pace.add_sample(0.2)
    assert pace.best_s() == 0.2
    for _ in range(c.COMPUTE_TRIES):
        pace.add_sample(0.4)
    assert pace.best_s() == 0.4


def test_a_late_leader_with_little_work_still_hands_over():
    lateness = SlowLeaderHandover()
    handed = [at for at in range(100) if lateness.should_hand_over(at * 0.1, 5.0, 0.01, False)]
    assert len(handed) == 1
    assert not any(
        SlowLeaderHandover().should_hand_over(at * 0.1, 5.0, 0.01, True) for at in range(100)
    )
