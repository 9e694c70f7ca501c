"""Counts of done tasks, which must not decrease from one answer to a later one."""

from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from coveflow.daemon.owner import Owner
from coveflow.daemon.task_counts import ZERO_COUNT, TaskCount, TaskCounts
from coveflow.lab import worlds
from coveflow.lab.further import further
from coveflow.lab.virtual import World
from tests.whole import FAULT_S, play

__all__ = ["play"]  # the fixture

JOBS = ["j-1", "j-2", "j-3"]
ROWS = st.dictionaries(st.sampled_from(JOBS), st.tuples(st.integers(0, 50), st.integers(0, 9)))


@given(st.lists(ROWS, max_size=8))
def test_done_is_the_highest_received_and_running_the_newest(received):
    counts = TaskCounts()
    for rows in received:
        counts.update(rows)
    for job in JOBS:
        of_job = [rows[job] for rows in received if job in rows]
        if not of_job:
            assert counts.get(job) == ZERO_COUNT
            continue
        assert counts.get(job) == TaskCount(max(done for done, _ in of_job), of_job[-1][1])


def test_counts_of_finished_jobs_are_dropped():
    counts = TaskCounts()
    counts.update({"j-1": (3, 1), "j-2": (4, 0, 2)})
    counts.retain({"j-2"})
    assert counts.get("j-1") == ZERO_COUNT
    assert counts.get("j-2") == TaskCount(4, 0, 2)


# --- uncommitted ends -----------------------------------------------------------


def uncommitted(owner: Owner) -> Counter[str]:
    """Per job, the number of done tasks whose end is not committed."""
    ends = [end for ends in owner.state.ends.values() for end in ends]
    if owner.commits.in_flight is not None:
        ends += [end for _, end in owner.commits.in_flight.ends]
    return Counter(end.placement.job for end in ends if end.done)


def reported_before_commit(world: World) -> int:
    """Count samples, with a slow store, in which the reported done count exceeds the committed."""
    world.slow(1.0, 6.0)
    found = waited = 0
    while world.now < FAULT_S + 6.0:
        world.run(world.now + 0.1)
        owner = world.node(world.leader()).owner
        waiting = uncommitted(owner)
        waited += waiting.total()
        for name, job in owner.state.jobs.items():
            found += owner.task_counts.get(name).done > len(job.done) - waiting[name]
    assert waited
    return found


def test_only_committed_ends_are_reported(play):
    world, _ = play(zones={"host-0": "north"}, machines=3, run_s=3.0)
    assert not reported_before_commit(world)


def test_ends_reported_before_the_commit_are_detected(play, monkeypatch):
    count = Owner._publish_counts

    def count_uncommitted(self):
        for job in self.state.jobs.values():
            job.done_committed = len(job.done)
        count(self)

    monkeypatch.setattr(Owner, "_publish_counts", count_uncommitted)
    world, _ = play(zones={"host-0": "north"}, machines=3, run_s=3.0)
    assert reported_before_commit(world)


# --- a new leader --------------------------------------------------------------------------

SEED = 18  # polls a node that has not heard the new leader yet


def test_reported_done_counts_survive_a_leader_change():
    assert worlds.play(further(SEED)).done_fell == 0


def test_counts_lost_with_a_leader_are_detected(monkeypatch):
    original = Owner._inbox_rows

    def reset_counts(self, command):
        before = self.inbox.view
        original(self, command)
        if self.inbox.view.leader != before.leader:
            self.task_counts = TaskCounts()

    monkeypatch.setattr(Owner, "_inbox_rows", reset_counts)
    assert worlds.play(further(SEED)).done_fell > 0
