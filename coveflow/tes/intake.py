"""Accepts tasks: commits the job, its document and its index row in one transaction.

Concurrent submissions share a transaction, and with it the write of this node's newest index page.
A commit guards that the job's id is new (accepted and final records), that each document is
unchanged since it was looked up, and that the page is the one the rows were added to. The outcome
of an unanswered commit is never assumed: the page is read again before the next commit.
"""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from coveflow import constants as c
from coveflow.daemon import commands as cm
from coveflow.logs import Log
from coveflow.net.http import Unavailable
from coveflow.state import keys as sk
from coveflow.state import records
from coveflow.state.store import Conflict, Store
from coveflow.tes import documents, ledger
from coveflow.tes import index as ix

log = Log("coveflow.tes")

SUBMIT_S = 2.5  # s a submission may spend on the store before the client is asked to retry
QUEUE_MAX = 64  # submissions that wait for a commit; further ones are refused at once with Busy
ROOTS_MAX = 5_000  # document roots whose revision is cached, so equal documents cost nothing
ATTEMPTS_MAX = 4  # attempts per submission, as its document may be written or removed concurrently


class StaleDocument(Exception):
    """A document was written or removed since its root was looked up."""


@dataclass(eq=False)
class Submission:
    """A task that waits for its commit; the future gives the revision, None for a known id."""

    entry: ix.Entry
    record: dict[str, Any]
    guards: dict[str, int]
    writes: dict[str, Any]
    size: int
    future: asyncio.Future[int | None] = field(
        default_factory=lambda: asyncio.get_running_loop().create_future()
    )


class TaskIntake:
    """Batches the submissions of one node into transactions."""

    def __init__(
        self,
        task_ledger: ledger.Ledger,
        store: Store,
        txn_ops: int,
        clock: Callable[[], float],
        put: Callable[[cm.InboxRows], None],
    ) -> None:
        self.ledger, self.store, self.txn_ops, self.clock, self.put = (
            task_ledger, store, txn_ops, clock, put
        )  # fmt: skip
        self.roots: OrderedDict[str, int] = OrderedDict()
        self.waiting: list[Submission] = []
        self.batching: asyncio.Task[None] | None = None
        self.page_known = True  # whether this node's newest page is as the last commit left it
        # A commit guards every part of the documents it writes, and a few keys besides.
        self.parts_max = 4 * txn_ops - 8

    async def accept(
        self, entry: ix.Entry, record: dict[str, Any], packed: documents.PackedDocument
    ) -> bool:
        """Commit the task; False if its id is already in use. Raises Busy or Unavailable."""
        if not self.ledger.ready:
            raise Unavailable("the task index is still loading")
        if len(self.waiting) >= QUEUE_MAX:
            raise ledger.Busy(1.0)
        self.ledger.changes.take(3.0 + len(packed.parts) - 1)
        deadline = self.clock() + SUBMIT_S
        for _ in range(ATTEMPTS_MAX):
            guards, writes = await self.document_guards(packed, deadline)
            guards |= {sk.JOB + entry.id: 0, sk.FINAL_RECORD + entry.id: 0}
            writes[sk.JOB + entry.id] = record
            size = sum(records.encoded_size(key, value) for key, value in writes.items())
            submission = Submission(entry, record, guards, writes, size)
            self.waiting.append(submission)
            if self.batching is None or self.batching.done():
                self.batching = asyncio.create_task(self._commit_batches())
            try:
                rev = await submission.future
            except StaleDocument:
                continue
            if rev is None:
                return False
            if len(self.roots) > ROOTS_MAX:
                self.roots.popitem(last=False)
            self.put(cm.InboxRows([(sk.JOB + entry.id, record, rev)]))
            return True
        raise Unavailable("the task's document kept changing during the submission")

    # --- documents -----------------------------------------------------------------------

    async def document_guards(
        self, packed: documents.PackedDocument, deadline: float
    ) -> tuple[dict[str, int], dict[str, Any]]:
        """Return the guards and writes for a transaction that refers to the document.

        The parts of a long document do not fit into that transaction and are written before it. The
        root, which makes the parts reachable, is written with the reference. The collector removes
        the root first.
        """
        root = packed.key(0)
        rev = self.roots.get(packed.hash, 0)
        if not rev and len(packed.parts) > 1:
            _, rev = await self.store.get(root)
        if rev:
            return {root: rev}, {}
        guards = {root: 0}
        if len(packed.parts) > 1:
            guards |= await self._write_parts(packed, deadline)
        return guards, {root: packed.root()}

    async def _write_parts(
        self, packed: documents.PackedDocument, deadline: float
    ) -> dict[str, int]:
        """Write all parts but the first and return the revision of each."""
        found: dict[str, int] = {}
        per_txn = max(1, min(self.txn_ops // 2, c.TXN_BYTES // max(1, len(packed.parts[0]))))
        for low in range(1, len(packed.parts), per_txn):
            left = {
                packed.key(i): {"data": packed.parts[i]}
                for i in range(low, min(low + per_txn, len(packed.parts)))
            }
            while left:
                try:
                    rev = await self.store.commit_with_retry(dict.fromkeys(left, 0), left, deadline)
                    found |= dict.fromkeys(left, rev)
                    break
                except Conflict as conflict:
                    # An earlier attempt or another task wrote the same content.
                    for key in conflict.failed or list(left):
                        _, rev = await self.store.get(key)
                        if rev:
                            found[key] = rev
                            left.pop(key, None)
        return found

    async def refresh_root(self, name: str) -> None:
        """Read the revision of a root that may exist, so that it is guarded instead of written."""
        _, rev = await self.store.get(documents.key(name))
        if rev:
            self.roots[name] = rev
            self.roots.move_to_end(name)
        else:
            self.roots.pop(name, None)

    # --- transactions --------------------------------------------------------------------

    async def _commit_batches(self) -> None:
        while self.waiting:
            batch: list[Submission] = []
            try:
                if not self.page_known:
                    await self.ledger.reload_own_pages()
                    self.page_known = True
                batch, guards, writes, key, rows = self._fill_batch()
                rev = await self.store.commit_with_retry(guards, writes, self.clock() + SUBMIT_S)
            except Conflict as conflict:
                await self._resolve_conflict(batch, set(conflict.failed))
            except Exception as error:
                failure = error if isinstance(error, Unavailable) else Unavailable(str(error))
                if failure is not error:
                    log.exception("tasks could not be written")
                # The commit may have been applied: the page is read again before the next commit.
                self.page_known = False
                for submission in batch or self._take_waiting():
                    if not submission.future.done():
                        submission.future.set_exception(failure)
            else:
                self.ledger.apply([(key, {"rows": rows}, rev)])
                for submission in batch:
                    for name in submission.writes:
                        if name.startswith(documents.DOCUMENT_PREFIX):
                            self.roots[name[len(documents.DOCUMENT_PREFIX) :]] = rev
                    if not submission.future.done():
                        submission.future.set_result(rev)

    def _take_waiting(self) -> list[Submission]:
        batch, self.waiting = self.waiting, []
        return batch

    def _fill_batch(
        self,
    ) -> tuple[list[Submission], dict[str, int], dict[str, Any], str, list[list[Any]]]:
        """Take as many waiting submissions as fit a transaction and this node's page.

        Returns the batch, guards, writes, and the key and rows of the page.
        """
        node = self.ledger.settings.name
        number, rows = self.ledger.newest_numbers[node], list(self.ledger.own_rows)
        key = ledger.page_key(node, number)
        # The leader adds final states to a page once it is full. Space for them is reserved here;
        # without it the page would exceed the size of a value.
        size = records.encoded_size(key, {"rows": rows}) + ix.FINAL_BYTES * len(rows)
        guards: dict[str, int] = {}
        writes: dict[str, Any] = {}
        batch: list[Submission] = []
        total = 0
        while self.waiting:
            submission = self.waiting[0]
            row = ix.encode_rows([submission.entry])
            width = records.encoded_size("", row) + ix.FINAL_BYTES
            if not batch and (size + width > self.ledger.page_bytes or key in self.ledger.retired):
                # The page is full or retired: start the next one.
                number, rows = number + 1, []
                key = ledger.page_key(node, number)
                size = records.encoded_size(key, {"rows": rows})
            new = {k: v for k, v in submission.writes.items() if k not in writes}
            if batch and (
                size + width > self.ledger.page_bytes
                or len(writes) + len(new) + 1 > self.txn_ops
                or len(guards | submission.guards) + 1 > 4 * self.txn_ops
                or total + submission.size + size + width > c.TXN_BYTES
                or any(guards.get(k, rev) != rev for k, rev in submission.guards.items())
            ):
                break
            self.waiting.pop(0)
            batch.append(submission)
            guards |= submission.guards
            writes |= new
            total += submission.size
            rows += row
            size += width
        guards[key] = self.ledger.page_revs.get(key, 0)
        writes[key] = {"rows": rows}
        return batch, guards, writes, key, rows

    async def _resolve_conflict(self, batch: list[Submission], failed: set[str]) -> None:
        """Fail the submissions whose guards failed, and queue the others again.

        Nothing of the transaction was applied.
        """
        retried: list[Submission] = []
        for submission in batch:
            known_ids = {
                sk.JOB + submission.entry.id,
                sk.FINAL_RECORD + submission.entry.id,
            } & failed
            stale = [
                k
                for k in submission.guards
                if k.startswith(documents.DOCUMENT_PREFIX) and k in failed
            ]
            if known_ids:
                if not submission.future.done():
                    submission.future.set_result(None)
            elif stale:
                try:
                    for key in stale:
                        await self.refresh_root(key[len(documents.DOCUMENT_PREFIX) :].split("/")[0])
                except Unavailable as error:
                    if not submission.future.done():
                        submission.future.set_exception(error)
                    continue
                if not submission.future.done():
                    submission.future.set_exception(StaleDocument())
            else:
                retried.append(submission)
        if any(key.startswith(ledger.PAGE_PREFIX) for key in failed) or not failed:
            self.page_known = False
        self.waiting = retried + self.waiting
