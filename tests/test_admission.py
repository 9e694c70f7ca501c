"""Admission control: order of submissions, and refusals with Retry-After."""

import asyncio
from functools import partial

from hypothesis import given
from hypothesis import strategies as st

from coveflow import constants as c
from coveflow.core import admission
from coveflow.net.http import TokenBucket
from tests.test_front import make_front

FLOWS = st.tuples(st.sampled_from("abcd"), st.sampled_from(["x", "y", "z"]))


def is_new(names: set[int], entry) -> bool:
    fits = entry[2] not in names
    names.add(entry[2])
    return fits


@given(st.lists(st.tuples(FLOWS, st.integers(0, 3)), max_size=60), st.integers(1, 8))
def test_no_entry_is_lost_and_each_class_keeps_its_order(rows, most):
    queue, taken = admission.FairQueue(), []
    for i, (flow, name) in enumerate(rows):
        queue.add(flow, (flow, i, name))
    while queue:
        batch = queue.take(most, partial(is_new, set()))
        assert batch and len(batch) <= most
        assert len({name for _, _, name in batch}) == len(batch)
        taken += batch
    assert len(taken) == len(rows)
    for flow in {flow for flow, _ in rows}:
        indices = [i for of, i, _ in taken if of == flow]
        assert indices == sorted(indices)


@given(st.integers(1, 500), st.integers(1, 5))
def test_a_flooding_team_delays_only_itself(many, few):
    queue = admission.FairQueue()
    for i in range(many):
        queue.add(("a", "x"), ("a", i))
    for i in range(few):
        queue.add(("b", f"class-{i}"), ("b", i))
    first = queue.take(2 * few + 1)
    assert sum(team == "b" for team, _ in first) == few


def test_a_full_queue_accepts_a_team_below_its_share():
    assert admission.admits(9, 9, 1, 10) and not admission.admits(10, 10, 1, 10)
    assert admission.admits(10, 0, 2, 10) and admission.admits(14, 4, 2, 10)
    assert not admission.admits(15, 5, 2, 10) and not admission.admits(20, 0, 2, 10)
    assert admission.retry_after_s(30, 10.0, 0.0) == 3
    assert admission.retry_after_s(10**6, 10.0, 1.0) == c.RETRY_AFTER_MAX_S
    assert admission.retry_after_s(0, 10.0, 0.5) == 1


def test_excess_submissions_are_refused_with_retry_after():
    """Users retry after 5 s without an answer; one team's flood must not shut out another team."""
    f = make_front()
    f.store.changes = TokenBucket(4.0, lambda: 0.0)
    refused: list[int] = []

    async def hang(*_):
        await asyncio.sleep(3600)

    f.store.commit_with_retry = hang

    async def send(name: str, team: str) -> None:
        try:
            await f.jobs.accept(name, {}, (team, "x"))
        except Exception as error:
            refused.append((team, error.after_s))

    async def run() -> None:
        tasks = [asyncio.create_task(send(f"j-{i}", "a")) for i in range(100)]
        await asyncio.sleep(0)
        tasks += [asyncio.create_task(send("j-200", "b"))]
        await asyncio.sleep(0.01)
        assert f.jobs.submissions.waiting.waiting_of("b") == 1  # queued, not refused
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    asyncio.run(run())
    assert len(refused) > 60 and {team for team, _ in refused} == {"a"}
    assert all(3 <= after <= 6 for _, after in refused)
