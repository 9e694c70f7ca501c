"""Hedged commits: at most one copy applies, and the caller learns the right outcome."""

import asyncio

from hypothesis import given
from hypothesis import strategies as st

from coveflow import constants as c
from coveflow.net.http import Unavailable, UnknownOutcome
from coveflow.settings import State
from coveflow.state.store import Conflict, Store


class SlowStore(Store):
    """An in-memory store; each copy has a request delay, a response delay and a fate."""

    def __init__(self, fates) -> None:
        super().__init__(None, "x:1", State(1000.0, 1000.0, 8.0, 24), 1, lambda: 0.0)
        self.fates, self.rows, self.rev, self.sent = list(fates), {}, 0, 0
        self.changes.level = self.hedge_budget.level = 1000.0

    async def _send(self, guards, writes, grant=None):
        request_s, response_s, fate = self.fates[self.sent % len(self.fates)]
        self.sent += 1
        await asyncio.sleep(request_s)
        if fate == "refused":
            raise Unavailable("503")
        failed = [k for k, rev in guards.items() if self.rows.get(k, (None, 0))[1] != rev]
        if not failed:
            self.rev += 1
            self.rows |= {key: (value, self.rev) for key, value in writes.items()}
        await asyncio.sleep(response_s)
        if fate == "lost":
            raise UnknownOutcome("no answer")
        if failed:
            raise Conflict(failed)
        return self.rev

    async def get(self, key):
        return self.rows.get(key, (None, 0))


def run_virtual(work):
    """Run the coroutine in virtual time; its result and the time it took."""
    loop = asyncio.new_event_loop()
    now = [0.0]
    loop.time = lambda: now[0]
    select = loop._selector.select

    def advance(timeout):
        now[0] += timeout or 0.0
        return select(0)

    loop._selector.select = advance
    try:
        return loop.run_until_complete(work), now[0]
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_until_complete(asyncio.sleep(0))
        loop.close()


TIMES = st.sampled_from([0.0, 0.005, 0.05, 0.1, 0.25, 1.0])
FATES = st.tuples(TIMES, TIMES, st.sampled_from(["answered", "answered", "refused", "lost"]))


@given(st.lists(FATES, min_size=1, max_size=6), st.booleans())
def test_a_commit_applies_once_or_reports_a_conflict(fates, key_exists):
    store = SlowStore([*fates, (0.0, 0.0, "answered")])
    if key_exists:
        store.rows["a"] = ("another's", 7)
        store.rev = 7

    async def work():
        try:
            return await store.commit_with_retry({"a": 0}, {"a": "mine"})
        except Conflict:
            return None

    rev, _ = run_virtual(work())
    assert (rev is None) is key_exists
    assert store.rows["a"] == (("another's", 7) if key_exists else ("mine", rev))


def test_a_late_response_is_hedged():
    for first in ((0.25, 0.0, "answered"), (0.0, 0.25, "answered"), (0.0, 1.0, "lost")):
        store = SlowStore([first, (0.005, 0.005, "answered")])
        rev, took = run_virtual(store.commit_with_retry({"a": 0}, {"a": 1}))
        assert rev == store.rows["a"][1] and took < c.COMMIT_HEDGE_DELAYS_S[0] + 0.05


def test_a_store_that_is_always_late_gets_few_extra_copies():
    store = SlowStore([(0.25, 0.0, "answered")])
    store.hedge_budget.level = 3.0

    async def work():
        for i in range(20):
            await store.commit_with_retry({f"k{i}": 0}, {f"k{i}": 1})

    run_virtual(work())
    assert store.sent == 23
