"""Submission floods on complete nodes: fairness between teams, and that all jobs finish."""

import itertools

from coveflow.core import admission
from coveflow.daemon.user_jobs import UserJobs
from coveflow.lab.worlds import unfinished
from tests.samples import spec
from tests.whole import FAULT_S, ZONES, lost, play

__all__ = ["play"]  # a fixture

FLOOD = 1200  # submissions of one team within 4 s: 60 a second at each node, which may write 15


def flood(world) -> None:
    """Submit the flood of a guest team while the other team keeps submitting one job a second."""
    names = list(ZONES)
    for i in range(FLOOD):
        name = f"j-9{i:06d}"
        job = spec(name, tasks=1, cpus=0.5, team="guest", workload="sweep", expected_s=2.0)
        at, node = FAULT_S + 4.0 * i / FLOOD, names[i % len(names)]
        world.at(at, lambda job=job, node=node: world.submit(job, node))


def waits(world) -> list[float]:
    """s that the other team's submissions take, from the start of the flood on."""
    return [world.answers[f"j-{i:06d}"][1] for i in range(int(FAULT_S) - 2, 28)]


def accepted(world) -> int:
    found = [row[0] for name, row in world.answers.items() if name.startswith("j-9")]
    return sum(status in (200, 201) for status in found)


def test_a_team_that_floods_all_nodes_delays_only_itself(play):
    world, lines = play(run_s=3.0)
    flood(world)
    world.run(FAULT_S + 20.0)
    assert max(waits(world)) < 0.6
    world.run(FAULT_S + 62.0)  # users give up after 60 s
    assert accepted(world) > 0.9 * FLOOD
    world.run(200.0, lambda: world.now % 5.0 < 0.01 and not unfinished(world))
    assert not unfinished(world)
    assert lost(world) == 0 and not [row for row in lines.rows if row[1] == "command failed"]


def test_a_fifo_queue_is_detected(play, monkeypatch):
    """Planted fault: one limit for all teams, so any team's next submission is refused."""
    monkeypatch.setattr(admission, "admits", lambda waiting, of, teams, bound: waiting < bound)
    monkeypatch.setattr(admission.FairQueue, "waiting_of", lambda self, team: 0)
    original = UserJobs.accept
    same_flow = ("", "")
    monkeypatch.setattr(UserJobs, "accept", lambda *args: original(*args[:3], same_flow))
    world, _ = play(run_s=3.0)
    flood(world)
    world.run(FAULT_S + 20.0)
    assert max(waits(world)) > 1.0


def test_task_ends_and_takeover_are_timely_during_a_flood(play):
    """Admission must neither starve the processing of task ends nor delay a leader takeover."""
    world, _ = play(run_s=3.0)
    flood(world)
    world.at(FAULT_S + 2.0, lambda: world.crash(world.leader(), 0.3))
    world.run(FAULT_S + 62.0)
    starts = [at for at, kind, _ in world.attempt_events if kind == "running"]
    during = [at for at in starts if FAULT_S < at < FAULT_S + 20.0]
    assert max(b - a for a, b in itertools.pairwise(during)) < 3.0
    world.run(200.0, lambda: world.now % 5.0 < 0.01 and not unfinished(world))
    assert not unfinished(world)
