"""Validation of locally known job states against the store, batched across requests.

A transaction with guards and no writes confirms that the revisions known here are current.
"""

from __future__ import annotations

import asyncio

import msgspec

from coveflow import constants as c
from coveflow.daemon.commands import AcceptedJob
from coveflow.daemon.inbox import Inbox
from coveflow.net.http import Unavailable
from coveflow.state import keys as sk
from coveflow.state.store import Conflict, Store


class Comparison(msgspec.Struct, frozen=True):
    """Whether the store confirmed what this node knew of a job, and what that was."""

    unchanged: bool
    known: AcceptedJob | None


Waiting = dict[str, asyncio.Future[Comparison]]


class Comparisons:
    """Batches concurrent requests into guard-only transactions.

    With one or two reads per request, a flood of polls for unknown jobs would use up the request
    budget that submissions and the watch need.
    """

    def __init__(self, store: Store, inbox: Inbox, txn_ops: int) -> None:
        self.store, self.inbox = store, inbox
        self.max_guards = 2 * txn_ops  # half of the guards that a transaction may have
        self.waiting: Waiting = {}  # by job, for the next transaction
        self.runner: asyncio.Task[None] | None = None

    async def compare(self, job: str) -> Comparison:
        """Whether the store's state of the job, read after this call, equals this node's.

        Raises Unavailable if the store does not answer or too many requests wait.
        """
        future = self.waiting.get(job)
        if future is None:
            if len(self.waiting) >= c.POLL_QUEUE_MAX:
                raise Unavailable("too many polls")
            future = self.waiting[job] = asyncio.get_running_loop().create_future()
            if self.runner is None or self.runner.done():
                self.runner = asyncio.create_task(self._run())
        return await asyncio.shield(future)

    async def _run(self) -> None:
        while self.waiting:
            batch, known, guards = self._next_batch()
            try:
                changed = await self._changed_jobs(guards, set(batch))
            except Exception as error:
                failure = error if isinstance(error, Unavailable) else Unavailable(str(error))
                _fail_batch(batch, failure)
                continue
            for job, future in batch.items():
                if changed and job not in changed:
                    self._requeue(job, future)
                elif not future.done():
                    future.set_result(Comparison(not changed, known[job]))
            await asyncio.sleep(self.store.pace_s(c.POLL_READ_INTERVAL_S, c.POLL_REQUEST_SHARE))

    def _next_batch(self) -> tuple[Waiting, dict[str, AcceptedJob | None], dict[str, int]]:
        """Requests for one transaction, the known states of their jobs, and the matching guards."""
        guards: dict[str, int] = {}
        batch: Waiting = {}
        known: dict[str, AcceptedJob | None] = {}
        for job, future in self.waiting.items():
            if len(guards) + 2 > self.max_guards and batch:
                break
            entry = self.inbox.accepted.get(job)
            if entry is not None:
                guards[sk.JOB + job] = entry.rev
            else:
                guards |= {sk.JOB + job: 0, sk.FINAL_RECORD + job: 0}
            batch[job], known[job] = future, entry
        for job in batch:
            del self.waiting[job]
        return batch, known, guards

    async def _changed_jobs(self, guards: dict[str, int], jobs: set[str]) -> set[str]:
        """Jobs whose stored state differs from the known one; possibly not all of them."""
        try:
            await self.store.commit(guards, {})
        except Conflict as conflict:
            # A conflict that names no key confirms none of the jobs.
            return {key.rsplit("/", 1)[1] for key in conflict.failed} or jobs
        return set()

    def _requeue(self, job: str, future: asyncio.Future[Comparison]) -> None:
        """Compare the job again: a conflict need not name every key that differs."""
        other = self.waiting.setdefault(job, future)
        if other is not future:
            _copy_outcome(other, future)


def _fail_batch(batch: Waiting, failure: Exception) -> None:
    for future in batch.values():
        if not future.done():
            future.set_exception(failure)
            future.exception()  # marks it as retrieved: the request may have ended already


def _copy_outcome(first: asyncio.Future[Comparison], second: asyncio.Future[Comparison]) -> None:
    """Copy the outcome of the first future to the second."""

    def copy(_: asyncio.Future[Comparison]) -> None:
        if second.done():
            return
        error = first.exception()
        if error is not None:
            second.set_exception(error)
            # Marks it as retrieved: the request may have ended already, and asyncio logs about 40
            # lines for each exception that is never retrieved.
            second.exception()
        else:
            second.set_result(first.result())

    first.add_done_callback(copy)
