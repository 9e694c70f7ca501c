"""Garbage collection by the leader: compacts end records, removes expired tasks and documents.

Every transaction guards the view, so only the current leader removes anything. An expired page is
first replaced by a list of its tasks and documents, which takes the tasks out of every listing at
once. What the list names is removed next, and the list last, so that a new leader can finish the
work of one that stopped midway. A document is removed only if no task refers to it. The transaction
that removes its root guards the newest page of every node and the absence of a newer one, so it
fails if a task was accepted meanwhile.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from coveflow.daemon.owner import Owner
from coveflow.logs import Log
from coveflow.net.http import Unavailable
from coveflow.state import keys as sk
from coveflow.state.store import Conflict, Store
from coveflow.tes import documents
from coveflow.tes import index as ix
from coveflow.tes.ledger import Busy, Ledger, log_hashes, parse_page_key

log = Log("coveflow.tes")

ROUND_INTERVAL_S = 15.0  # s between two rounds
FOLD_AT = 32  # end records that accumulate before they are folded into pages
PAGES_PER_ROUND = 20  # pages retired, and pages removed, in one round, so that a round stays short
BUSY_S = 1.0  # longest wait in s for the request budget


class Collector:
    """Removes expired tasks while this node leads."""

    def __init__(
        self, ledger: Ledger, store: Store, owner: Owner, txn_ops: int, retention_s: float,
        wall: Callable[[], float],
    ) -> None:  # fmt: skip
        self.ledger, self.store, self.owner = ledger, store, owner
        self.txn_ops, self.retention_s, self.wall = txn_ops, retention_s, wall

    async def run(self) -> None:
        while True:
            await asyncio.sleep(ROUND_INTERVAL_S)
            if not (self.owner.leading and self.ledger.ready):
                continue
            try:
                await self.run_round()
            except (Unavailable, Conflict, Busy) as error:
                log.debug("collection round ended early", why=error)
            except ValueError:
                log.exception("the store rejected a transaction of the collection round")

    async def run_round(self) -> None:
        """Run one round. Raises Unavailable, Conflict or Busy if it has to stop early."""
        if len(self.ledger.end_record_revs) >= FOLD_AT:
            await self.fold_end_records()
        for key in list(self.ledger.retired)[:PAGES_PER_ROUND]:
            await self.remove_page(key)
        for key in self._expired_pages()[:PAGES_PER_ROUND]:
            await self.retire_page(key)

    def _is_full(self, key: str) -> bool:
        """Return whether the page receives no more tasks, as its node has a newer one."""
        node, number = parse_page_key(key)
        return number < self.ledger.newest_numbers.get(node, 0)

    def _view_guard(self) -> dict[str, int]:
        return {sk.VIEW: self.owner.state.rev}

    async def _commit(self, guards: dict[str, int], writes: dict[str, Any]) -> int:
        """Commit as the leader, waiting for the task API's share of the request budget."""
        if not self.owner.leading:
            raise Unavailable("another node leads")
        for _ in range(60):
            try:
                self.ledger.changes.take(len(writes))
                break
            except Busy as busy:
                await asyncio.sleep(min(busy.retry_s, BUSY_S))
        else:
            raise Busy(BUSY_S)
        rev = await self.store.commit_with_retry(guards, writes)
        self.ledger.apply([(key, value, rev) for key, value in writes.items()])
        return rev

    # --- end records ---------------------------------------------------------------------

    async def fold_end_records(self) -> None:
        """Write final states into full pages, and remove the end records made redundant."""
        end_records: dict[str, dict[str, list[Any]]] = {}
        for key in list(self.ledger.end_record_revs):
            value, _ = await self.store.get(key)
            if value is not None:
                end_records[key] = {row[0]: row for row in value["rows"]}
        ends = {task: row for rows in end_records.values() for task, row in rows.items()}
        # Tasks whose end is in no page yet: their page is not full, or not known to this node.
        needed = set(self.ledger.index.early_ends)
        for key in [k for k in self.ledger.page_revs if k not in self.ledger.finished_pages]:
            if key not in self.ledger.retired:
                needed |= await self._fold_page(key, ends)
        done = [key for key, rows in end_records.items() if not needed & rows.keys()]
        for low in range(0, len(done), self.txn_ops):
            keys = done[low : low + self.txn_ops]
            guards = {
                key: self.ledger.end_record_revs[key]
                for key in keys
                if key in self.ledger.end_record_revs
            }
            await self._commit(self._view_guard() | guards, dict.fromkeys(guards))

    async def _fold_page(self, key: str, ends: dict[str, list[Any]]) -> set[str]:
        """Write the ends into the page if it is full; return its tasks without a final state."""
        value, rev = await self.store.get(key)
        if value is None or "rows" not in value:
            return set()
        entries = ix.decode_rows(value["rows"])
        if self._is_full(key):
            updated = [
                entry._replace(state=ends[entry.id][1], ended_ms=ends[entry.id][2])
                if not entry.state and entry.id in ends else entry
                for entry in entries
            ]  # fmt: skip
            if updated != entries:
                rows = ix.encode_rows(updated)
                await self._commit(self._view_guard() | {key: rev}, {key: {"rows": rows}})
            entries = updated
        return {entry.id for entry in entries if not entry.state}

    # --- retention -----------------------------------------------------------------------

    def _expired_pages(self) -> list[str]:
        """Return the full pages whose last task ended before the retention period."""
        limit = int((self.wall() - self.retention_s) * 1000)
        return [
            k for k, at in self.ledger.finished_pages.items() if at <= limit and self._is_full(k)
        ]

    async def retire_page(self, key: str) -> None:
        """Replace the page by the list of its tasks and documents, which ends their listing."""
        value, rev = await self.store.get(key)
        if value is None or "rows" not in value:
            return
        rows = [[e.id, e.doc] for e in ix.decode_rows(value["rows"])]
        await self._commit(self._view_guard() | {key: rev}, {key: {"gone": rows}})
        log.info("tasks past their retention", page=key, tasks=len(rows))

    async def remove_page(self, key: str) -> None:
        """Remove the logs, final records and documents of a retired page, then the page."""
        rows = self.ledger.retired.get(key)
        if rows is None:
            return
        tasks = [row[0] for row in rows]
        for low in range(0, len(tasks), self.txn_ops // 2):
            await self._remove_tasks(tasks[low : low + self.txn_ops // 2])
        for task in tasks:
            self.owner.inbox.terminal.pop(task, None)
        newest, referenced = self.ledger.newest_page_guards(), self.ledger.index.documents()
        for name in dict.fromkeys(row[1] for row in rows):
            if newest != self.ledger.newest_page_guards():
                # New tasks may refer to the document. The scan of all tasks is expensive, so it is
                # repeated only in this case.
                newest, referenced = self.ledger.newest_page_guards(), self.ledger.index.documents()
            if name not in referenced:
                await self._remove_document(name, newest)
        rev = self.ledger.page_revs.get(key, 0)
        if rev:
            await self._commit(self._view_guard() | {key: rev}, {key: None})

    async def _remove_tasks(self, tasks: list[str]) -> None:
        """Remove logs, then the records that name them, so that an interruption leaks no log."""
        keys = [sk.FINAL_RECORD + task for task in tasks]
        found = await asyncio.gather(*(self.store.get(key) for key in keys))
        for record, _ in found:
            for name in log_hashes(record or {}):
                await self._remove_document(name, {})  # logs are never shared between tasks
        guards = {key: rev for key, (_, rev) in zip(keys, found, strict=True) if rev}
        if guards:
            await self._commit(self._view_guard() | guards, dict.fromkeys(guards))

    async def _remove_document(self, name: str, newest: dict[str, int]) -> None:
        """Remove the root, guarded against new tasks that refer to it, then the other parts."""
        root = documents.key(name)
        value, rev = await self.store.get(root)
        if value is None:
            return
        await self._commit(self._view_guard() | newest | {root: rev}, {root: None})
        for low in range(1, value["n"], self.txn_ops // 2):
            parts = range(low, min(low + self.txn_ops // 2, value["n"]))
            keys = [documents.key(name, i) for i in parts]
            rows = await asyncio.gather(*(self.store.get(key) for key in keys))
            left = {k: r for k, (_, r) in zip(keys, rows, strict=True) if r}
            if left:
                # A concurrent writer of the same document either has its root in place, which fails
                # this guard, or guards these parts and then fails itself.
                await self._commit(self._view_guard() | left | {root: 0}, dict.fromkeys(left))
