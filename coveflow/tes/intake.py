"""Accepting tasks: a job, its document and its place in the listings, in one transaction.

Submissions that wait at the same time share a transaction, and with it the write of this node's
page. What a commit guards: that the job's id is new (accepted and final records), that each
document is there as it was seen, and that the page is the one that was added to. An unsure commit
is settled by its own guards, never assumed.
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

SUBMIT_S = 2.5  # s a submission may spend on the store before the client is told to come back
QUEUE = 64  # submissions that wait for their commit; more are told at once
ROOTS_KEPT = 5_000  # documents whose revision is remembered, so that equal ones cost nothing
TRIES = 4  # times a submission is prepared anew, as documents came or went meanwhile


class Stale(Exception):
    """A document is not as it was seen."""


@dataclass(eq=False)
class Submission:
    entry: ix.Entry
    record: dict[str, Any]
    guards: dict[str, int]
    writes: dict[str, Any]
    size: int
    future: asyncio.Future[int | None] = field(
        default_factory=lambda: asyncio.get_running_loop().create_future()
    )


class Intake:
    def __init__(
        self,
        book: ledger.Ledger,
        store: Store,
        txn_ops: int,
        clock: Callable[[], float],
        put: Callable[[cm.InboxRows], None],
    ) -> None:
        self.book, self.store, self.txn_ops, self.clock, self.put = (
            book, store, txn_ops, clock, put
        )  # fmt: skip
        self.roots: OrderedDict[str, int] = OrderedDict()
        self.waiting: list[Submission] = []
        self.batching: asyncio.Task[None] | None = None
        self.sure = True  # whether this node's newest page is as the last commit left it
        # A commit guards every part of the documents it writes, beside a few keys of its own.
        self.parts_most = 4 * txn_ops - 8

    async def accept(self, entry: ix.Entry, record: dict[str, Any], cut: documents.Cut) -> bool:
        """Commit the task; False if its id is known already. Raises Busy or Unavailable."""
        if not self.book.ready:
            raise Unavailable("the index is being read")
        if len(self.waiting) >= QUEUE:
            raise ledger.Busy(1.0)
        self.book.changes.take(3.0 + len(cut.parts) - 1)
        deadline = self.clock() + SUBMIT_S
        for _ in range(TRIES):
            guards, writes = await self.document(cut, deadline)
            guards |= {sk.JOB + entry.id: 0, sk.FINAL_RECORD + entry.id: 0}
            writes[sk.JOB + entry.id] = record
            size = sum(records.encoded_size(key, value) for key, value in writes.items())
            one = Submission(entry, record, guards, writes, size)
            self.waiting.append(one)
            if self.batching is None or self.batching.done():
                self.batching = asyncio.create_task(self._batch())
            try:
                rev = await one.future
            except Stale:
                continue
            if rev is None:
                return False
            if len(self.roots) > ROOTS_KEPT:
                self.roots.popitem(last=False)
            self.put(cm.InboxRows([(sk.JOB + entry.id, record, rev)]))
            return True
        raise Unavailable("documents came and went while the task was being accepted")

    # --- documents -----------------------------------------------------------------------

    async def document(
        self, cut: documents.Cut, deadline: float
    ) -> tuple[dict[str, int], dict[str, Any]]:
        """What the transaction that first refers to a document guards and writes for it.

        The parts of a long one are written before, as they do not fit; its root, without which
        they are nothing, goes with the reference. The collector removes a root first.
        """
        root = cut.key(0)
        rev = self.roots.get(cut.hash, 0)
        if not rev and len(cut.parts) > 1:
            _, rev = await self.store.get(root)
        if rev:
            return {root: rev}, {}
        guards = {root: 0}
        if len(cut.parts) > 1:
            guards |= await self._parts(cut, deadline)
        return guards, {root: cut.root()}

    async def _parts(self, cut: documents.Cut, deadline: float) -> dict[str, int]:
        """Write all parts but the first; the revision of each."""
        found: dict[str, int] = {}
        per_txn = max(1, min(self.txn_ops // 2, c.TXN_BYTES // max(1, len(cut.parts[0]))))
        for low in range(1, len(cut.parts), per_txn):
            left = {
                cut.key(i): {"data": cut.parts[i]}
                for i in range(low, min(low + per_txn, len(cut.parts)))
            }
            while left:
                try:
                    rev = await self.store.commit_with_retry(dict.fromkeys(left, 0), left, deadline)
                    found |= dict.fromkeys(left, rev)
                    break
                except Conflict as conflict:
                    # An earlier try, or another task, wrote the same content.
                    for key in conflict.failed or list(left):
                        _, rev = await self.store.get(key)
                        if rev:
                            found[key] = rev
                            left.pop(key, None)
        return found

    async def know_root(self, name: str) -> None:
        """A root seems to be there already: learn its revision, so that it is only guarded."""
        _, rev = await self.store.get(documents.key(name))
        if rev:
            self.roots[name] = rev
            self.roots.move_to_end(name)
        else:
            self.roots.pop(name, None)

    # --- transactions --------------------------------------------------------------------

    async def _batch(self) -> None:
        while self.waiting:
            batch: list[Submission] = []
            try:
                if not self.sure:
                    await self.book.reread()
                    self.sure = True
                batch, guards, writes, key, rows = self._fill()
                rev = await self.store.commit_with_retry(guards, writes, self.clock() + SUBMIT_S)
            except Conflict as conflict:
                await self._conflict(batch, set(conflict.failed))
            except Exception as error:
                failure = error if isinstance(error, Unavailable) else Unavailable(str(error))
                if failure is not error:
                    log.exception("tasks could not be written")
                # Whether it applied is not known: the page is read again before the next one.
                self.sure = False
                for one in batch or self._all():
                    if not one.future.done():
                        one.future.set_exception(failure)
            else:
                self.book.apply([(key, {"rows": rows}, rev)])
                for one in batch:
                    for name in one.writes:
                        if name.startswith(documents.DOC):
                            self.roots[name[len(documents.DOC) :]] = rev
                    if not one.future.done():
                        one.future.set_result(rev)

    def _all(self) -> list[Submission]:
        batch, self.waiting = self.waiting, []
        return batch

    def _fill(
        self,
    ) -> tuple[list[Submission], dict[str, int], dict[str, Any], str, list[list[Any]]]:
        """As many waiting submissions as fit a transaction and this node's page."""
        me = self.book.settings.name
        number, rows = self.book.heads[me], list(self.book.own)
        key = ledger.page_key(me, number)
        # A page has room for the ends of its tasks, which the leader adds when it is full: one that
        # was filled without it could not be written any more.
        size = records.encoded_size(key, {"rows": rows}) + ix.FINAL_BYTES * len(rows)
        guards: dict[str, int] = {}
        writes: dict[str, Any] = {}
        batch: list[Submission] = []
        total = 0
        while self.waiting:
            one = self.waiting[0]
            row = ix.rows_of([one.entry])
            width = records.encoded_size("", row) + ix.FINAL_BYTES
            if not batch and (size + width > self.book.page_bytes or key in self.book.gone):
                # The page is full: the next one begins.
                number, rows = number + 1, []
                key = ledger.page_key(me, number)
                size = records.encoded_size(key, {"rows": rows})
            new = {k: v for k, v in one.writes.items() if k not in writes}
            if batch and (
                size + width > self.book.page_bytes
                or len(writes) + len(new) + 1 > self.txn_ops
                or len(guards | one.guards) + 1 > 4 * self.txn_ops
                or total + one.size + size + width > c.TXN_BYTES
                or any(guards.get(k, rev) != rev for k, rev in one.guards.items())
            ):
                break
            self.waiting.pop(0)
            batch.append(one)
            guards |= one.guards
            writes |= new
            total += one.size
            rows += row
            size += width
        guards[key] = self.book.pages.get(key, 0)
        writes[key] = {"rows": rows}
        return batch, guards, writes, key, rows

    async def _conflict(self, batch: list[Submission], failed: set[str]) -> None:
        """Nothing was applied. Those at fault are told; the others go again."""
        again: list[Submission] = []
        for one in batch:
            mine = {sk.JOB + one.entry.id, sk.FINAL_RECORD + one.entry.id} & failed
            stale = [k for k in one.guards if k.startswith(documents.DOC) and k in failed]
            if mine:
                if not one.future.done():
                    one.future.set_result(None)
            elif stale:
                try:
                    for key in stale:
                        await self.know_root(key[len(documents.DOC) :].split("/")[0])
                except Unavailable as error:
                    if not one.future.done():
                        one.future.set_exception(error)
                    continue
                if not one.future.done():
                    one.future.set_exception(Stale())
            else:
                again.append(one)
        if any(key.startswith(ledger.LOG) for key in failed) or not failed:
            self.sure = False
        self.waiting = again + self.waiting
