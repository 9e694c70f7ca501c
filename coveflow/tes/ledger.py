"""The task index in the state service: index pages, end records, and this node's copy of them.

| key | content | written by |
| `ti/log/NODE/N` | a page of tasks, or `gone` once they are retired | that node; the leader |
| `ti/end/EPOCH-N` | tasks that became final in one of the leader's transactions | the leader |
| `ti/secret` | the secret that signs page tokens and derives ids from keys | the first node |
| `td/HASH...` | documents, see `documents` | the accepting node; removed by the leader |

The transaction that accepts a job also writes the task's row in its node's page, and the
transaction that writes the job's final record also writes the end record. So a copy with all pages
and all end records is complete. Only `Ledger` changes the in-memory index, from rows of the store.
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

INDEX_PREFIX = "ti/"
PAGE_PREFIX = "ti/log/"
END_RECORD_PREFIX = "ti/end/"
SECRET_KEY = "ti/secret"
WATCH_S = 10.0  # s that a watch request for the index waits for changes
PACE_S = 0.1  # s between the starts of two watches, so that a burst of changes shares an answer
ROWS_MAX = 200  # rows per read of the store; at most half a MiB of pages
RETRY_S, RETRY_MAX_S = 0.25, 2.0  # s between retries while the store is unavailable, doubling
CURRENT_S = 0.7  # s a listing waits for this node's copy to be current
CURRENT_CHECK_S = 0.03  # s between checks while it waits
PAGE_FILL_SHARE = 0.85  # share of a value that a page may fill; the rest is left for its framing


def page_key(node: str, number: int) -> str:
    return f"{PAGE_PREFIX}{node}/{number:08d}"


def parse_page_key(key: str) -> tuple[str, int]:
    """Return the node and the number in a page's key."""
    node, number = key[len(PAGE_PREFIX) :].rsplit("/", 1)
    return node, int(number)


class Busy(Exception):
    """The task API's share of the state service's request budget is used up."""

    def __init__(self, retry_s: float) -> None:
        super().__init__("the task API's share of the state service's budget is used up")
        self.retry_s = retry_s


class BudgetShare:
    """The task API's share of this node's budget; requests beyond it fail without waiting."""

    def __init__(self, whole: TokenBucket, part: float, clock: Callable[[], float]) -> None:
        self.total, self.share = whole, part
        self.bucket = TokenBucket(max(whole.rate * part, 0.1), clock, 2.0)

    def take(self, amount: float = 1.0) -> None:
        """Consume tokens, or raise Busy with the time until enough are available."""
        bucket = self.bucket
        bucket.set_rate(max(self.total.rate * self.share, 0.1), 2.0)
        # An amount above the burst is granted once the bucket is full, and leaves it negative.
        need = min(amount, bucket.burst)
        if bucket.refill() < need:
            raise Busy((need - bucket.level) / bucket.rate)
        bucket.level -= amount


class Ledger:
    """This node's copy of the task index, kept up to date from the store."""

    def __init__(
        self, settings: Settings, tes: Tes, store: Store, clock: Callable[[], float],
        wall: Callable[[], float],
    ) -> None:  # fmt: skip
        self.settings, self.store, self.clock, self.wall = settings, store, clock, wall
        self.nodes = sorted({settings.name, *(member.name for member in settings.members)})
        self.requests = BudgetShare(store.requests, tes.part, clock)
        self.changes = BudgetShare(store.changes, tes.part, clock)
        # Paces reads of the index; unlike the shares above, it waits for tokens.
        self.read_bucket = TokenBucket(max(1.0, store.requests.rate * tes.part), clock)
        self.page_bytes = int(settings.params.state.max_value_kb * 1024 * PAGE_FILL_SHARE)
        self.secret = b""
        self._reset()

    def _reset(self) -> None:
        """Discard the copy."""
        self.index = ix.Index()
        self.page_revs: dict[str, int] = {}  # revision of each page, retired ones included
        self.retired: dict[str, list[Any]] = {}  # retired pages: the tasks and documents to remove
        # Pages whose rows all have a final state: the time of the last end, in ms.
        self.finished_pages: dict[str, int] = {}
        # Number of each node's newest page.
        self.newest_numbers: dict[str, int] = dict.fromkeys(self.nodes, 0)
        self.own_rows: list[list[Any]] = []  # rows of this node's newest page
        self.end_record_revs: dict[str, int] = {}  # revision of each end record in the store
        self.ready = False

    # --- rows of the store -------------------------------------------------------------

    def apply(self, rows: list[tuple[str, Any, int]]) -> None:
        """Apply rows or changes of the store; page revisions older than the known are ignored."""
        for key, value, rev in rows:
            if key.startswith(PAGE_PREFIX):
                if rev > self.page_revs.get(key, 0):
                    self._apply_page(key, value, rev)
            elif key.startswith(END_RECORD_PREFIX):
                self._apply_end_record(key, value, rev)
            elif key == SECRET_KEY and value is not None:
                self.secret = bytes.fromhex(value["secret"])

    def _apply_page(self, key: str, value: Any, rev: int) -> None:
        node, number = parse_page_key(key)
        self.finished_pages.pop(key, None)
        if value is None:
            self.page_revs.pop(key, None)
            self.retired.pop(key, None)
            return
        self.page_revs[key] = rev
        if "gone" in value:
            for task, *_ in value["gone"]:
                self.index.remove(task)
            self.retired[key] = value["gone"]
        else:
            entries = ix.decode_rows(value["rows"])
            for entry in entries:
                self.index.add(entry)
            if all(entry.state for entry in entries):
                self.finished_pages[key] = max((entry.ended_ms for entry in entries), default=0)
        if number >= self.newest_numbers.get(node, 0):
            self.newest_numbers[node] = number
            if node == self.settings.name:
                self.own_rows = list(value.get("rows", ()))

    def _apply_end_record(self, key: str, value: Any, rev: int) -> None:
        if value is None:
            self.end_record_revs.pop(key, None)
            return
        self.end_record_revs[key] = rev
        for task, state, ended_ms in value["rows"]:
            self.index.set_final_state(task, state, ended_ms)

    def end_record_rows(self, number: str, ended: dict[str, dict[str, Any]]) -> dict[str, Any]:
        """Return the end record of these jobs, for the leader's transaction."""
        now = int(self.wall() * 1000)
        rows = [
            [job, str(final_state(record)), now]
            for job, record in ended.items()
            if record.get("rider") is not None
        ]
        return {f"{END_RECORD_PREFIX}{number}": {"rows": rows}} if rows else {}

    # --- following the store -------------------------------------------------------------

    async def run(self) -> None:
        """Load the index, then follow its changes; reload it after missed changes."""
        after: int | None = None
        pause = RETRY_S
        while True:
            try:
                if after is None:
                    after = await self._load()
                opened = self.clock()
                await self.read_bucket.take()
                after, events, _ = await self.store.watch(INDEX_PREFIX, after, WATCH_S)
                self.apply(events)
                pause = RETRY_S
                await asyncio.sleep(max(0.0, PACE_S - (self.clock() - opened)))
            except RevisionCompacted:
                after = None
            except (Unavailable, Conflict, wire.Malformed) as error:
                log.debug("index not followed", why=error)
                await asyncio.sleep(pause)
                pause = min(pause * 2, RETRY_MAX_S)

    async def _load(self) -> int:
        """Load the index in pages, as one answer with all of it would not fit into memory.

        Returns the revision from which to follow changes.
        """
        began = self.clock()
        self._reset()
        first: int | None = None
        after: str | None = None
        while True:
            await self.read_bucket.take()
            rows, more, rev = await self.store.page(INDEX_PREFIX, after, ROWS_MAX)
            first = rev if first is None else first
            self.apply(rows)
            if not more or not rows:
                break
            after = rows[-1][0]
            await asyncio.sleep(0)
        if not self.secret:
            await self._create_secret()
        self.ready = True
        log.info("index read", tasks=len(self.index), after_s=self.clock() - began)
        return first

    async def _create_secret(self) -> None:
        value = {"secret": secrets.token_hex(32)}
        try:
            rev = await self.store.commit_with_retry(
                {SECRET_KEY: 0}, {SECRET_KEY: value}, self.clock() + 3.0
            )
            self.apply([(SECRET_KEY, value, rev)])
        except Conflict:
            value, rev = await self.store.get(SECRET_KEY)
            self.apply([(SECRET_KEY, value, rev)])

    def newest_page_guards(self) -> dict[str, int]:
        """Return guards that fail once a node has accepted a task that is not in this copy."""
        guards: dict[str, int] = {}
        for node, number in self.newest_numbers.items():
            head = page_key(node, number)
            guards[head] = self.page_revs.get(head, 0)
            guards[page_key(node, number + 1)] = 0
        return guards

    async def wait_until_current(self) -> None:
        """Wait until this copy has every task accepted before the call. Raises Unavailable.

        A transaction without writes guards the newest page of every node and the absence of a newer
        one, so that a client sees its own tasks in a listing from any node.
        """
        ends = self.clock() + CURRENT_S
        while True:
            if self.ready:
                try:
                    await self.store.commit(self.newest_page_guards(), {})
                    return
                except Conflict:
                    pass  # the watch will deliver the missing pages
            if self.clock() > ends:
                raise Unavailable("this node's listing is not current yet")
            await asyncio.sleep(CURRENT_CHECK_S)

    # --- this node's newest page ---------------------------------------------------------

    async def reload_own_pages(self) -> None:
        """Read this node's newest pages again, after a commit with an unknown outcome."""
        number = self.newest_numbers[self.settings.name]
        while True:
            key = page_key(self.settings.name, number)
            value, rev = await self.store.get(key)
            if not rev:
                return
            self.apply([(key, value, rev)])
            number += 1


def log_hashes(record: dict[str, Any]) -> list[str]:
    """Return the hashes of a job's log documents, which no other job shares."""
    return [row[1] for row in (record.get("outcome") or {}).values() if row[1]]
