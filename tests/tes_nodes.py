"""The task API of several controllers in one process, over the lab's model of the state service.

A node's store client can lose the answer of a commit that was applied (`lost_answers`), refuse
requests (`down`), or run another node's step before a commit (`before_commit`).
"""

from __future__ import annotations

import asyncio
import copy

import msgspec

from coveflow import settings as s
from coveflow.daemon import commands as cm
from coveflow.daemon import owner as o
from coveflow.daemon.user_api import UserApi
from coveflow.lab.store import ConditionFailed
from coveflow.lab.store import Store as Model
from coveflow.membership.peers import Peers
from coveflow.net.http import TokenBucket, Unavailable, UnknownOutcome
from coveflow.state import keys as sk
from coveflow.state.store import Conflict
from coveflow.tes.access import Client
from coveflow.tes.collector import Collector
from coveflow.tes.ledger import Ledger
from coveflow.tes.service import Service
from tests.samples import flavor
from tests.world import node_settings

TXN_OPS = 12


class Clock:
    def __init__(self) -> None:
        self.now = 1_000_000.0

    def __call__(self) -> float:
        return self.now


class ModelStore:
    """A node's client of the store model; stands in for `state.store.Store`."""

    def __init__(self, model: Model, clock: Clock) -> None:
        self.model, self.clock = model, clock
        self.requests, self.changes = TokenBucket(1e6, clock), TokenBucket(1e6, clock)
        self.down = False
        self.lost_answers = 0  # number of further commits whose answers are lost
        self.before_commit = lambda guards, writes: None
        self.contact_at = clock()

    def pace_s(self, least_s: float, part: float) -> float:
        return least_s

    async def get(self, key):
        await self._before_request()
        row = self.model.get(key)
        return (None, 0) if row is None else (copy.deepcopy(row.value), row.rev)

    async def page(self, prefix, after, most):
        await self._before_request()
        rows, more = self.model.list(prefix, after or "", most)
        return [(k, copy.deepcopy(r.value), r.rev) for k, r in rows], more, self.model.rev

    async def commit(self, guards, writes):
        await self._before_request()
        self.before_commit(guards, writes)
        try:
            rev = self.model.commit(
                guards, {k: (copy.deepcopy(v), None) for k, v in writes.items()}, self.clock()
            )
        except ConditionFailed as failed:
            raise Conflict(failed.keys) from None
        if writes and self.lost_answers:
            self.lost_answers -= 1
            raise UnknownOutcome("no answer")
        return rev

    async def commit_with_retry(self, guards, writes, deadline=None):
        assert set(writes) <= set(guards)
        return await self.commit(guards, writes)

    async def _before_request(self):
        await asyncio.sleep(0)
        if self.down:
            raise Unavailable("down")


class Node:
    """One controller's owner, front, ledger, service and collector."""

    def __init__(self, name: str, model: Model, clock: Clock, **tes) -> None:
        settings = node_settings(name, [{"name": "blue", "cpus_max": 64.0}, {"name": "green"}])
        members = [s.Member(other, "north", "127.0.0.1:9") for other in ("a", "b") if other != name]
        settings = msgspec.structs.replace(settings, members=members)
        self.tes = s.Tes(**({"port": 1, "part": 1.0} | tes))
        self.store = ModelStore(model, clock)
        self.owner = o.Owner(settings, s.Tuning(), clock, clock)
        self.owner.inbox.flavors["m8"] = flavor()
        peers = Peers(settings, None, clock, dict, None)
        self.front = UserApi(settings, self.owner, self.store, peers, clock, clock, None)
        self.ledger = Ledger(settings, self.tes, self.store, clock, clock)
        self.service = Service(
            settings, self.tes, self.owner, self.store, self.front.jobs, self.ledger, clock, clock
        )
        self.collector = Collector(
            self.ledger, self.store, self.owner, TXN_OPS, self.tes.retention_h * 3600.0, clock
        )
        self.applied_rev = 0

    async def load(self) -> None:
        """Load the index at start, as the ledger's loop does."""
        self.applied_rev = await self.ledger._load()
        self.follow()

    def follow(self) -> None:
        """Apply the changes that both watches would have delivered by now."""
        model = self.store.model
        rows = [e for e in model.events("", self.applied_rev) if e[0].startswith(("ti/", "in/"))]
        self.ledger.apply([e for e in rows if e[0].startswith("ti/")])
        self.owner.process_batch([cm.InboxRows([e for e in rows if e[0].startswith("in/")])])
        self.applied_rev = model.rev
        self.drain()

    def drain(self) -> None:
        """Process the owner's queue."""
        while not self.owner.queue.empty():
            self.owner.process_batch([self.owner.queue.get_nowait()])

    def lead(self) -> None:
        """Commit a view with this node as leader, as membership does."""
        row = self.store.model.get(sk.VIEW)
        epoch = (row.value["epoch"] if row else 0) + 1
        value = {"epoch": epoch, "leader": self.front.settings.name, "members": ["a", "b"]}
        rev = self.store.model.commit({}, {sk.VIEW: (value, None)}, 0.0)
        self.owner.process_batch([cm.InboxRows([(sk.VIEW, value, rev)])])
        rows = [
            (k, r.value, r.rev) for k, r in self.store.model.list(sk.LEADER_STATE, "", 10**6)[0]
        ]
        self.owner.process_batch([cm.StartLeading(epoch, rev, rows)])
        assert self.owner.leading

    def finish(self, task: str, status: str = "done", **more) -> None:
        """Commit a job's final record and end record, as the leader's `Commits` does."""
        model = self.store.model
        row = model.get(sk.JOB + task)
        record = {
            "status": status, "done": 1, "rider": row.value["rider"],
            "outcome": row.value.get("outcome") or {}, **more,
        }  # fmt: skip
        end_record = self.ledger.end_record_rows(f"1-{model.rev}", {task: record})
        writes = {sk.FINAL_RECORD + task: record, sk.JOB + task: None} | end_record
        model.commit({sk.JOB + task: row.rev}, {k: (v, None) for k, v in writes.items()}, 0.0)


BLUE = Client("blue", "blue", frozenset({"submit", "read", "cancel"}))
GREEN = Client("green", "green", frozenset({"submit", "read", "cancel"}))
AUDITOR = Client("auditor", "", frozenset({"read-all"}))


def nodes(value_kb: float = 8.0, **tes) -> tuple[Node, Node, Clock]:
    clock = Clock()
    model = Model(1e9, 1e9, value_kb, TXN_OPS)
    return Node("a", model, clock, **tes), Node("b", model, clock, **tes), clock


def body(**fields) -> bytes:
    return msgspec.json.encode(
        {"executors": [{"image": "alpine", "command": ["/bin/true"]}]} | fields
    )


def run(coroutine):
    return asyncio.run(asyncio.wait_for(coroutine, 30.0))
