"""User-facing answers, with a fake store that counts its requests."""

import asyncio
import gc

import cbor2
import msgspec
import pytest

from coveflow import constants as c
from coveflow.daemon import commands as cm
from coveflow.daemon import comparisons
from coveflow.daemon import owner as o
from coveflow.daemon.user_api import UserApi
from coveflow.membership.peers import Peers
from coveflow.net.http import Unavailable
from coveflow.state import keys as sk
from coveflow.state.store import Conflict
from tests.samples import spec
from tests.world import node_settings


class FakeStore:
    """A fake state service backed by a dictionary."""

    def __init__(self) -> None:
        self.keys: dict[str, tuple[dict, int]] = {}
        self.requests, self.down = 0, False
        self.contact_at = 0.0

    def _called(self) -> None:
        self.requests += 1
        if self.down:
            raise Unavailable("down")

    def pace_s(self, least_s, part):
        return least_s

    async def get(self, key):
        self._called()
        await asyncio.sleep(0)
        return self.keys.get(key, (None, 0))

    async def commit(self, guards, writes):
        self._called()
        await asyncio.sleep(0)
        assert not writes and len(guards) <= 48
        failed = [k for k, rev in guards.items() if self.keys.get(k, (None, 0))[1] != rev]
        if failed:
            raise Conflict(failed[:1])  # a conflict need not name all keys
        return 9


def make_front(store: FakeStore | None = None) -> UserApi:
    settings = node_settings("a", [{"name": "blue"}])
    owner = o.Owner(settings, o.Tuning(), lambda: 0.0, lambda: 0.0)
    peers = Peers(settings, None, lambda: 0.0, dict, None)
    return UserApi(settings, owner, store or FakeStore(), peers, lambda: 0.0, lambda: 0.0, None)


def store_job(f: UserApi, name: str, current: bool = True, cancel: float | None = None) -> None:
    """Store a job; with `current` False, this node knows only an older revision of it."""
    record = {"spec": msgspec.to_builtins(spec(name)), "at": 0.0, "cancel": cancel}
    f.store.keys[sk.JOB + name] = (record, 5)
    f.owner.process_batch(
        [cm.InboxRows([(sk.JOB + name, {**record, "cancel": None}, 5 if current else 4)])]
    )


def poll_jobs(f: UserApi, names: list[str]) -> list[str]:
    async def ask(name: str) -> str:
        try:
            found = await f.poll(name)
        except Unavailable:
            return "503"
        return cbor2.loads(found.body)["status"] if found.status == 200 else str(found.status)

    async def poll_all() -> list[str]:
        return await asyncio.gather(*(ask(name) for name in names))

    return asyncio.run(poll_all())


@pytest.fixture(autouse=True)
def no_poll_delay(monkeypatch):
    monkeypatch.setattr(c, "POLL_READ_INTERVAL_S", 0.0)


def test_a_flood_of_polls_for_unknown_jobs_costs_few_requests():
    f = make_front()
    assert poll_jobs(f, [f"j-{i:06d}" for i in range(600)]) == ["404"] * 600
    assert f.store.requests < 600 / 4


def test_polls_beyond_the_queue_limit_get_503_at_once(monkeypatch):
    monkeypatch.setattr(c, "POLL_QUEUE_MAX", 10)
    answers = poll_jobs(make_front(), [f"j-{i:06d}" for i in range(30)])
    assert answers.count("404") == 10 and answers.count("503") == 20


def test_polls_return_the_stored_state_where_this_node_lags():
    f = make_front()
    store_job(f, "j-1")
    store_job(f, "j-2", current=False, cancel=3.0)  # cancelled through another node
    f.store.keys[sk.FINAL_RECORD + "j-3"] = ({"status": "done", "done": 4}, 7)
    assert poll_jobs(f, ["j-1", "j-2", "j-3", "j-4"]) == ["queued", "cancelled", "done", "404"]
    f.store.down = True
    assert poll_jobs(f, ["j-1", "j-3", "j-4"]) == ["503", "done", "503"]


def test_an_answer_reflects_the_compared_state_not_a_later_one():
    """A job that ends between the comparison and the answer must not get 404."""
    f = make_front()
    store_job(f, "j-1")
    original = f.store.commit

    async def commit(guards, writes):
        rev = await original(guards, writes)
        del f.owner.inbox.accepted["j-1"]
        return rev

    f.store.commit = commit
    assert poll_jobs(f, ["j-1"]) == ["queued"]


def test_another_interfaces_job_is_neither_shown_nor_cancelled_here():
    async def go():
        f = make_front()
        record = {"spec": msgspec.to_builtins(spec("j-7")), "at": 0.0, "rider": {"team": "blue"}}
        f.store.keys[sk.JOB + "j-7"] = (record, 5)
        assert await f.jobs.status("j-7") is None
        assert (await f.abort("j-7")).status == 404
        assert f.store.keys[sk.JOB + "j-7"] == (record, 5)
        f.owner.inbox.cache_final_record("j-8", {"status": "done", "done": 1, "rider": {}})
        assert await f.jobs.status("j-8") is None

    asyncio.run(go())


def test_an_unreadable_record_counts_as_accepted_and_hides_no_other_job():
    """Such a record made every new leader fail at once, and its user's polls got 500."""
    f = make_front()
    store_job(f, "j-1")
    f.store.keys[sk.JOB + "j-2"] = ({"spec": {"id": 7}}, 6)
    f.owner.inbox.view = sk.View(1, "a", ["a"], 1)
    f.owner.state.leading = 1
    bad = (sk.JOB + "j-2", {"spec": {"id": 7}}, 6)
    store_job(f, "j-3")
    f.owner.process_batch(
        [cm.InboxRows([bad, (sk.JOB + "j-4", f.store.keys[sk.JOB + "j-1"][0], 7)])]
    )
    assert f.owner.leading == 1 and set(f.owner.inbox.accepted) >= {"j-1", "j-4"}
    assert poll_jobs(f, ["j-1", "j-2", "j-3"]) == ["queued"] * 3


def test_a_failed_comparison_of_finished_polls_logs_nothing():
    """Each such poll left an exception that was never retrieved: asyncio logs 40 lines for it."""

    async def play() -> list[dict]:
        logged: list[dict] = []
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, context: logged.append(context))
        first, second = loop.create_future(), loop.create_future()
        comparisons._copy_outcome(first, second)
        first.set_exception(Unavailable("down"))
        first.exception()
        await asyncio.sleep(0)
        del first, second
        gc.collect()
        await asyncio.sleep(0)
        return logged

    assert asyncio.run(play()) == []
