"""What the leader tidies: news of ends into pages, tasks past their retention, their documents.

Every transaction guards the view, so only the leader in force removes anything. A page is first
replaced by a list of what it leaves behind, which takes its tasks out of every listing at once;
what the list names is removed after, and the list last: a leader that ends midway leaves the rest
to the next. A document goes only if no task has it, and the transaction that removes its root
guards the newest page of every node and that none has a newer one: a task accepted meanwhile makes
it fail.
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
from coveflow.tes.ledger import Busy, Ledger, logs_of, page_of

log = Log("coveflow.tes")

EVERY_S = 15.0  # s between two rounds
FOLD_AT = 32  # news of ends that wait before they are folded into pages
PAGES_A_ROUND = 20  # pages looked at in one round, so that a round stays short
BUSY_S = 1.0  # s to wait where the budget's part is used up


class Collector:
    def __init__(
        self, ledger: Ledger, store: Store, owner: Owner, txn_ops: int, retention_s: float,
        wall: Callable[[], float],
    ) -> None:  # fmt: skip
        self.ledger, self.store, self.owner = ledger, store, owner
        self.txn_ops, self.retention_s, self.wall = txn_ops, retention_s, wall

    async def run(self) -> None:
        while True:
            await asyncio.sleep(EVERY_S)
            if not (self.owner.leading and self.ledger.ready):
                continue
            try:
                await self.round()
            except (Unavailable, Conflict, Busy) as error:
                log.debug("round of tidying ended early", why=error)
            except ValueError:
                log.exception("the store refused a round of tidying")

    async def round(self) -> None:
        """One round; raises Unavailable, Conflict or Busy where it cannot go on now."""
        if len(self.ledger.ends) >= FOLD_AT:
            await self.fold()
        for key in list(self.ledger.gone)[:PAGES_A_ROUND]:
            await self.remove(key)
        for key in self._due()[:PAGES_A_ROUND]:
            await self.retire(key)

    def _full(self, key: str) -> bool:
        """No more tasks are added to the page."""
        node, number = page_of(key)
        return number < self.ledger.heads.get(node, 0)

    def _guards(self) -> dict[str, int]:
        return {sk.VIEW: self.owner.state.rev}

    async def _commit(self, guards: dict[str, int], writes: dict[str, Any]) -> int:
        """Only as the leader that began this, and within the interface's part of the budget."""
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

    # --- news of ends --------------------------------------------------------------------

    async def fold(self) -> None:
        """Write final states into full pages, and remove the news that says nothing more."""
        news: dict[str, dict[str, list[Any]]] = {}
        for key in list(self.ledger.ends):
            value, _ = await self.store.get(key)
            if value is not None:
                news[key] = {row[0]: row for row in value["rows"]}
        told = {task: row for rows in news.values() for task, row in rows.items()}
        # Tasks whose ends no page has yet: in pages that are not full, or not heard of here.
        needed = set(self.ledger.index.early)
        for key in [k for k in self.ledger.pages if k not in self.ledger.ended]:
            if key not in self.ledger.gone:
                needed |= await self._fold_page(key, told)
        done = [key for key, rows in news.items() if not needed & rows.keys()]
        for low in range(0, len(done), self.txn_ops):
            keys = done[low : low + self.txn_ops]
            guards = {key: self.ledger.ends[key] for key in keys if key in self.ledger.ends}
            await self._commit(self._guards() | guards, dict.fromkeys(guards))

    async def _fold_page(self, key: str, told: dict[str, list[Any]]) -> set[str]:
        """Write the ends into the page if it is full; its tasks whose ends it has not."""
        value, rev = await self.store.get(key)
        if value is None or "rows" not in value:
            return set()
        entries = ix.entries_of(value["rows"])
        if self._full(key):
            known = [
                entry._replace(state=told[entry.id][1], ended_ms=told[entry.id][2])
                if not entry.state and entry.id in told else entry
                for entry in entries
            ]  # fmt: skip
            if known != entries:
                rows = ix.rows_of(known)
                await self._commit(self._guards() | {key: rev}, {key: {"rows": rows}})
            entries = known
        return {entry.id for entry in entries if not entry.state}

    # --- retention -----------------------------------------------------------------------

    def _due(self) -> list[str]:
        """Full pages whose last task ended longer ago than tasks are kept."""
        limit = int((self.wall() - self.retention_s) * 1000)
        return [k for k, at in self.ledger.ended.items() if at <= limit and self._full(k)]

    async def retire(self, key: str) -> None:
        """Take the page's tasks out of all listings."""
        value, rev = await self.store.get(key)
        if value is None or "rows" not in value:
            return
        rows = [[e.id, e.doc] for e in ix.entries_of(value["rows"])]
        await self._commit(self._guards() | {key: rev}, {key: {"gone": rows}})
        log.info("tasks past their retention", page=key, tasks=len(rows))

    async def remove(self, key: str) -> None:
        """Remove what a retired page's tasks left: logs, records, documents, then the page."""
        rows = self.ledger.gone.get(key)
        if rows is None:
            return
        tasks = [row[0] for row in rows]
        for low in range(0, len(tasks), self.txn_ops // 2):
            await self._remove_tasks(tasks[low : low + self.txn_ops // 2])
        for task in tasks:
            self.owner.inbox.terminal.pop(task, None)
        newest, still = self.ledger.newest(), self.ledger.index.documents()
        for name in dict.fromkeys(row[1] for row in rows):
            if newest != self.ledger.newest():
                # Tasks came meanwhile, and may have it. A look at all tasks is not made for less.
                newest, still = self.ledger.newest(), self.ledger.index.documents()
            if name not in still:
                await self._remove_document(name, newest)
        rev = self.ledger.pages.get(key, 0)
        if rev:
            await self._commit(self._guards() | {key: rev}, {key: None})

    async def _remove_tasks(self, tasks: list[str]) -> None:
        """Logs before the records that name them, so that none is left if this ends midway."""
        keys = [sk.FINAL_RECORD + task for task in tasks]
        found = await asyncio.gather(*(self.store.get(key) for key in keys))
        for record, _ in found:
            for name in logs_of(record or {}):
                await self._remove_document(name, {})  # no other task ever has it
        guards = {key: rev for key, (_, rev) in zip(keys, found, strict=True) if rev}
        if guards:
            await self._commit(self._guards() | guards, dict.fromkeys(guards))

    async def _remove_document(self, name: str, newest: dict[str, int]) -> None:
        """Its root first, guarded against every task that could come to have it; then the rest."""
        root = documents.key(name)
        value, rev = await self.store.get(root)
        if value is None:
            return
        await self._commit(self._guards() | newest | {root: rev}, {root: None})
        for low in range(1, value["n"], self.txn_ops // 2):
            parts = range(low, min(low + self.txn_ops // 2, value["n"]))
            keys = [documents.key(name, i) for i in parts]
            rows = await asyncio.gather(*(self.store.get(key) for key in keys))
            left = {k: r for k, (_, r) in zip(keys, rows, strict=True) if r}
            if left:
                # Someone who writes the document anew has a root by now, or guards these parts.
                await self._commit(self._guards() | left | {root: 0}, dict.fromkeys(left))
