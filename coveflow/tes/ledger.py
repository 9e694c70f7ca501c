"""The tasks' records in the state service: pages of listings, news of ends, and this node's copy.

| key | content | written by |
| `ti/log/NODE/N` | a page of tasks, or `gone` once they are collected | that node; the leader |
| `ti/end/EPOCH-N` | tasks that became final in one of the leader's transactions | the leader |
| `ti/secret` | what page tokens are signed with | the first node |
| `td/HASH...` | documents, see `documents` | the accepting node; removed by the leader |

A task is in its node's page by the very transaction that accepts its job, and its end is told by
the very transaction that writes the job's final record, so a listing that has all pages and all
news is whole. `Ledger` is the only one that changes the index, from rows of the store.
"""

from __future__ import annotations

import asyncio
import secrets
from collections.abc import Callable
from typing import Any

from coveflow import wire
from coveflow.logs import Log
from coveflow.net.http import TokenBucket, Unavailable
from coveflow.settings import Settings, Tes
from coveflow.state.store import Conflict, RevisionCompacted, Store
from coveflow.tes import index as ix
from coveflow.tes.mapping import final_state

log = Log("coveflow.tes")

INDEX = "ti/"
LOG = "ti/log/"
END = "ti/end/"
SECRET = "ti/secret"
WATCH_S = 10.0  # s a watch of the index waits
PACE_S = 0.1  # s between two watches, so that bursts share one answer
ROWS_MOST = 200  # rows of one read of the store: half a MiB of pages at the most
RETRY_S, RETRY_MOST_S = 0.25, 2.0  # s between tries while the store is away
CURRENT_S = 0.7  # s a listing waits for this node's copy to be current
CURRENT_LOOK_S = 0.03  # s between looks meanwhile
PAGE_PART = 0.85  # part of a value that a page fills, for its frame


def page_key(node: str, number: int) -> str:
    return f"{LOG}{node}/{number:08d}"


def page_of(key: str) -> tuple[str, int]:
    """Node and number of a page's key."""
    node, number = key[len(LOG) :].rsplit("/", 1)
    return node, int(number)


class Busy(Exception):
    """Beyond this interface's part of the state service's budgets."""

    def __init__(self, retry_s: float) -> None:
        super().__init__("the task interface's part of the state service's budget is used up")
        self.retry_s = retry_s


class Share:
    """The interface's part of this node's share of a budget: taken at once or refused."""

    def __init__(self, whole: TokenBucket, part: float, clock: Callable[[], float]) -> None:
        self.whole, self.part = whole, part
        self.bucket = TokenBucket(max(whole.rate * part, 0.1), clock, 2.0)

    def take(self, amount: float = 1.0) -> None:
        """Take it, or raise Busy with the time until it would be there."""
        bucket = self.bucket
        bucket.set_rate(max(self.whole.rate * self.part, 0.1), 2.0)
        # A larger amount than the burst is granted on credit, when the burst is full.
        need = min(amount, bucket.burst)
        if bucket.refill() < need:
            raise Busy((need - bucket.level) / bucket.rate)
        bucket.level -= amount


class Ledger:
    def __init__(
        self, settings: Settings, tes: Tes, store: Store, clock: Callable[[], float],
        wall: Callable[[], float],
    ) -> None:  # fmt: skip
        self.settings, self.store, self.clock, self.wall = settings, store, clock, wall
        self.nodes = sorted({settings.name, *(member.name for member in settings.members)})
        self.requests = Share(store.requests, tes.part, clock)
        self.changes = Share(store.changes, tes.part, clock)
        self.reading = TokenBucket(
            max(1.0, store.requests.rate * tes.part), clock
        )  # waits its turn
        self.page_bytes = int(settings.params.state.value_kb * 1024 * PAGE_PART)
        self.secret = b""
        self._begin()

    def _begin(self) -> None:
        """Nothing is known."""
        self.index = ix.Index()
        self.pages: dict[str, int] = {}  # revisions of the pages that hold tasks or are gone
        self.gone: dict[str, list[Any]] = {}  # what pages leave behind that is to be removed
        self.ended: dict[str, int] = {}  # pages that have all their tasks' ends: the last, in ms
        self.heads: dict[str, int] = dict.fromkeys(self.nodes, 0)  # number of each newest page
        self.own: list[list[Any]] = []  # rows of this node's newest page
        self.ends: dict[str, int] = {}  # news of ends that is not in the pages yet
        self.ready = False

    # --- rows of the store -------------------------------------------------------------

    def apply(self, rows: list[tuple[str, Any, int]]) -> None:
        """Take in rows or changes of the store; older ones than are known change nothing."""
        for key, value, rev in rows:
            if key.startswith(LOG):
                if rev > self.pages.get(key, 0):
                    self._page(key, value, rev)
            elif key.startswith(END):
                self._end(key, value, rev)
            elif key == SECRET and value is not None:
                self.secret = bytes.fromhex(value["secret"])

    def _page(self, key: str, value: Any, rev: int) -> None:
        node, number = page_of(key)
        self.ended.pop(key, None)
        if value is None:
            self.pages.pop(key, None)
            self.gone.pop(key, None)
            return
        self.pages[key] = rev
        if "gone" in value:
            for task, *_ in value["gone"]:
                self.index.remove(task)
            self.gone[key] = value["gone"]
        else:
            entries = ix.entries_of(value["rows"])
            for entry in entries:
                self.index.add(entry)
            if all(entry.state for entry in entries):
                self.ended[key] = max((entry.ended_ms for entry in entries), default=0)
        if number >= self.heads.get(node, 0):
            self.heads[node] = number
            if node == self.settings.name:
                self.own = list(value.get("rows", ()))

    def _end(self, key: str, value: Any, rev: int) -> None:
        if value is None:
            self.ends.pop(key, None)
            return
        self.ends[key] = rev
        for task, state, ended_ms in value["rows"]:
            self.index.end(task, state, ended_ms)

    def finals(self, number: str, ended: dict[str, dict[str, Any]]) -> dict[str, Any]:
        """The keys that tell of these jobs' ends, for the leader's transaction."""
        now = int(self.wall() * 1000)
        rows = [
            [job, str(final_state(record)), now]
            for job, record in ended.items()
            if record.get("rider") is not None
        ]
        return {f"{END}{number}": {"rows": rows}} if rows else {}

    # --- following the store -------------------------------------------------------------

    async def run(self) -> None:
        """Read all, then follow the changes; begin again where changes were missed."""
        after: int | None = None
        pause = RETRY_S
        while True:
            try:
                if after is None:
                    after = await self._load()
                opened = self.clock()
                await self.reading.take()
                after, events, _ = await self.store.watch(INDEX, after, WATCH_S)
                self.apply(events)
                pause = RETRY_S
                await asyncio.sleep(max(0.0, PACE_S - (self.clock() - opened)))
            except RevisionCompacted:
                after = None
            except (Unavailable, Conflict, wire.Malformed) as error:
                log.debug("index not followed", why=error)
                await asyncio.sleep(pause)
                pause = min(pause * 2, RETRY_MOST_S)

    async def _load(self) -> int:
        """Read the whole index page by page: all at once would not fit into the node's memory."""
        began = self.clock()
        self._begin()
        first: int | None = None
        after: str | None = None
        while True:
            await self.reading.take()
            rows, more, rev = await self.store.page(INDEX, after, ROWS_MOST)
            first = rev if first is None else first
            self.apply(rows)
            if not more or not rows:
                break
            after = rows[-1][0]
            await asyncio.sleep(0)
        if not self.secret:
            await self._make_secret()
        self.ready = True
        log.info("index read", tasks=len(self.index), after_s=self.clock() - began)
        return first

    async def _make_secret(self) -> None:
        value = {"secret": secrets.token_hex(32)}
        try:
            rev = await self.store.commit_with_retry(
                {SECRET: 0}, {SECRET: value}, self.clock() + 3.0
            )
            self.apply([(SECRET, value, rev)])
        except Conflict:
            value, rev = await self.store.get(SECRET)
            self.apply([(SECRET, value, rev)])

    def newest(self) -> dict[str, int]:
        """Guards that hold while no node has accepted a task that this copy does not know."""
        guards: dict[str, int] = {}
        for node, number in self.heads.items():
            head = page_key(node, number)
            guards[head] = self.pages.get(head, 0)
            guards[page_key(node, number + 1)] = 0
        return guards

    async def current(self) -> None:
        """Wait until this copy has all that was accepted before now; Unavailable if it does not.

        One transaction without writes compares the newest page of every node, and that there is
        no newer one, so a client sees its own tasks in a listing of any node.
        """
        ends = self.clock() + CURRENT_S
        while True:
            if self.ready:
                try:
                    await self.store.commit(self.newest(), {})
                    return
                except Conflict:
                    pass  # the watch is about to tell
            if self.clock() > ends:
                raise Unavailable("this node's listing is not current yet")
            await asyncio.sleep(CURRENT_LOOK_S)

    # --- this node's newest page ---------------------------------------------------------

    async def reread(self) -> None:
        """What the store has of this node's newest pages, after a commit that is not sure."""
        number = self.heads[self.settings.name]
        while True:
            key = page_key(self.settings.name, number)
            value, rev = await self.store.get(key)
            if not rev:
                return
            self.apply([(key, value, rev)])
            number += 1


def logs_of(record: dict[str, Any]) -> list[str]:
    """Hashes of the documents with what a job's tasks told at their ends; no other has them."""
    return [row[1] for row in (record.get("outcome") or {}).values() if row[1]]
