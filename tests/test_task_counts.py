"""Counts of done tasks, which do not fall from one answer to a later one."""

from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from coveflow.daemon.owner import Owner
from coveflow.daemon.task_counts import UNKNOWN, TaskCount, TaskCounts
from coveflow.lab import worlds
from coveflow.lab.further import further
from coveflow.lab.virtual import World
from tests.whole import FAULT_S, play

__all__ = ["play"]  # the fixture

JOBS = ["j-1", "j-2", "j-3"]
ROWS = st.dictionaries(st.sampled_from(JOBS), st.tuples(st.integers(0, 50), st.integers(0, 9)))


@given(st.lists(ROWS, max_size=8))
def test_done_is_the_most_that_was_heard_and_running_the_newest(heard):
    counts = TaskCounts()
    for rows in heard:
        counts.heard(rows)
    for job in JOBS:
        of_job = [rows[job] for rows in heard if job in rows]
        if not of_job:
            assert counts.of(job) == UNKNOWN
            continue
        assert counts.of(job) == TaskCount(max(done for done, _ in of_job), of_job[-1][1])


def test_jobs_that_are_over_are_forgotten():
    counts = TaskCounts()
    counts.heard({"j-1": (3, 1), "j-2": (4, 0, 2)})
    counts.keep({"j-2"})
    assert counts.of("j-1") == UNKNOWN
    assert counts.of("j-2") == TaskCount(4, 0, 2)


# --- ends that are not committed -----------------------------------------------------------


def uncommitted(owner: Owner) -> Counter[str]:
    """By job, the tasks that are done and whose end is not on record."""
    ends = [end for ends in owner.book.ends.values() for end in ends]
    if owner.commits.in_flight is not None:
        ends += [end for _, end in owner.commits.in_flight.ends]
    return Counter(end.placement.job for end in ends if end.done)


def told_too_early(world: World) -> int:
    """Looks at which a job had more tasks told as done than were on record, store slow."""
    world.slow(1.0, 6.0)
    found = waited = 0
    while world.now < FAULT_S + 6.0:
        world.run(world.now + 0.1)
        owner = world.node(world.leader()).owner
        waiting = uncommitted(owner)
        waited += waiting.total()
        for name, job in owner.book.jobs.items():
            found += owner.task_counts.of(name).done > len(job.done) - waiting[name]
    assert waited
    return found


def test_only_committed_ends_are_told(play):
    world, _ = play(zones={"host-0": "north"}, machines=3, run_s=3.0)
    assert not told_too_early(world)


def test_ends_told_before_the_commit_are_noticed(play, monkeypatch):
    count = Owner._count

    def early(self):
        for job in self.book.jobs.values():
            job.done_committed = len(job.done)
        count(self)

    monkeypatch.setattr(Owner, "_count", early)
    world, _ = play(zones={"host-0": "north"}, machines=3, run_s=3.0)
    assert told_too_early(world)


# --- a new leader --------------------------------------------------------------------------

SEED = 18  # a node that has not heard the next leader yet is asked


def test_what_was_told_as_done_outlasts_the_leader():
    assert worlds.play(further(SEED)).done_fell == 0


def test_counts_that_end_with_the_lead_are_noticed(monkeypatch):
    take = Owner._inbox_rows

    def forget(self, command):
        before = self.inbox.view
        take(self, command)
        if self.inbox.view.leader != before.leader:
            self.task_counts = TaskCounts()

    monkeypatch.setattr(Owner, "_inbox_rows", forget)
    assert worlds.play(further(SEED)).done_fell > 0
