"""What users are told, with a store that counts its requests."""

import asyncio
import gc

import cbor2
import msgspec
import pytest

from coveflow import constants as c
from coveflow.daemon import commands as cm
from coveflow.daemon import comparisons
from coveflow.daemon import owner as o
from coveflow.daemon.front import Front
from coveflow.membership.peers import Peers
from coveflow.net.http import Unavailable
from coveflow.state import keys as sk
from coveflow.state.store import Conflict
from tests.samples import spec
from tests.world import node_settings


class Keys:
    """A state service held in a dictionary."""

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
            raise Conflict(failed[:1])  # it need not name them all
        return 9


def front(store: Keys | None = None) -> Front:
    settings = node_settings("a", [{"name": "blue"}])
    owner = o.Owner(settings, o.Tuning(), lambda: 0.0, lambda: 0.0)
    peers = Peers(settings, None, lambda: 0.0, dict, None)
    return Front(settings, owner, store or Keys(), peers, lambda: 0.0, lambda: 0.0, None)


def know(f: Front, name: str, told: bool = True, cancel: float | None = None) -> None:
    """The store holds the job; this node may have been told of an older state."""
    record = {"spec": msgspec.to_builtins(spec(name)), "at": 0.0, "cancel": cancel}
    f.store.keys[sk.JOB + name] = (record, 5)
    f.owner.work([cm.InboxRows([(sk.JOB + name, {**record, "cancel": None}, 5 if told else 4)])])


def polls(f: Front, names: list[str]) -> list[str]:
    async def ask(name: str) -> str:
        try:
            found = await f.poll(name)
        except Unavailable:
            return "503"
        return cbor2.loads(found.body)["status"] if found.status == 200 else str(found.status)

    async def all_of_them() -> list[str]:
        return await asyncio.gather(*(ask(name) for name in names))

    return asyncio.run(all_of_them())


@pytest.fixture(autouse=True)
def quick(monkeypatch):
    monkeypatch.setattr(c, "POLL_PACE_S", 0.0)


def test_a_flood_of_polls_for_unknown_jobs_costs_few_requests():
    f = front()
    assert polls(f, [f"j-{i:06d}" for i in range(600)]) == ["404"] * 600
    assert f.store.requests < 600 / 4


def test_more_polls_than_can_wait_are_told_to_come_back_at_once(monkeypatch):
    monkeypatch.setattr(c, "POLL_QUEUE", 10)
    told = polls(front(), [f"j-{i:06d}" for i in range(30)])
    assert told.count("404") == 10 and told.count("503") == 20


def test_polls_tell_the_stores_word_where_this_node_lags():
    f = front()
    know(f, "j-1")
    know(f, "j-2", told=False, cancel=3.0)  # cancelled through another node
    f.store.keys[sk.FINAL_RECORD + "j-3"] = ({"status": "done", "done": 4}, 7)
    assert polls(f, ["j-1", "j-2", "j-3", "j-4"]) == ["queued", "cancelled", "done", "404"]
    f.store.down = True
    assert polls(f, ["j-1", "j-3", "j-4"]) == ["503", "done", "503"]


def test_an_answer_tells_what_was_compared_not_what_is_known_by_then():
    """A job that ended between the check and the answer must not be told as unknown."""
    f = front()
    know(f, "j-1")
    honest = f.store.commit

    async def commit(guards, writes):
        rev = await honest(guards, writes)
        del f.owner.inbox.accepted["j-1"]
        return rev

    f.store.commit = commit
    assert polls(f, ["j-1"]) == ["queued"]


def test_another_interfaces_job_is_neither_shown_nor_cancelled_here():
    async def go():
        f = front()
        record = {"spec": msgspec.to_builtins(spec("j-7")), "at": 0.0, "rider": {"team": "blue"}}
        f.store.keys[sk.JOB + "j-7"] = (record, 5)
        assert await f.jobs.status("j-7") is None
        assert (await f.abort("j-7")).status == 404
        assert f.store.keys[sk.JOB + "j-7"] == (record, 5)
        f.owner.inbox.remember_terminal("j-8", {"status": "done", "done": 1, "rider": {}})
        assert await f.jobs.status("j-8") is None

    asyncio.run(go())


def test_a_record_that_cannot_be_read_is_known_and_hides_no_other_job():
    """It ended each leader's lead as it began, and was a 500 to its user."""
    f = front()
    know(f, "j-1")
    f.store.keys[sk.JOB + "j-2"] = ({"spec": {"id": 7}}, 6)
    f.owner.inbox.view = sk.View(1, "a", ["a"], 1)
    f.owner.book.leading = 1
    bad = (sk.JOB + "j-2", {"spec": {"id": 7}}, 6)
    know(f, "j-3")
    f.owner.work([cm.InboxRows([bad, (sk.JOB + "j-4", f.store.keys[sk.JOB + "j-1"][0], 7)])])
    assert f.owner.leading == 1 and set(f.owner.inbox.accepted) >= {"j-1", "j-4"}
    assert polls(f, ["j-1", "j-2", "j-3"]) == ["queued"] * 3


def test_a_comparison_that_fails_for_polls_that_are_gone_is_told_to_nobody():
    """Each such poll left asyncio an exception that nobody retrieved: 40 lines in the log."""

    async def play() -> list[dict]:
        told: list[dict] = []
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, context: told.append(context))
        first, second = loop.create_future(), loop.create_future()
        comparisons._follow(first, second)
        first.set_exception(Unavailable("down"))
        first.exception()
        await asyncio.sleep(0)
        del first, second
        gc.collect()
        await asyncio.sleep(0)
        return told

    assert asyncio.run(play()) == []
