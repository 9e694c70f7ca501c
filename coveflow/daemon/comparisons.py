"""What this node knows of jobs, compared with the store; requests share the transactions."""

from __future__ import annotations

import asyncio

import msgspec

from coveflow import constants as c
from coveflow.daemon.commands import Accepted
from coveflow.daemon.inbox import Inbox
from coveflow.net.http import Unavailable
from coveflow.state import keys as sk
from coveflow.state.store import Conflict, Store


class Comparison(msgspec.Struct, frozen=True):
    """The store's word on what this node knew of a job when it asked."""

    same: bool
    known: Accepted | None


Waiting = dict[str, asyncio.Future[Comparison]]


class Comparisons:
    """Transactions that only compare, for the requests of the same moment.

    One or two reads each let a flood of polls for unknown jobs use up the requests that submissions
    and the watch need.
    """

    def __init__(self, store: Store, inbox: Inbox, txn_ops: int) -> None:
        self.store, self.inbox = store, inbox
        self.most_guards = 2 * txn_ops  # half of the conditions that are allowed
        self.waiting: Waiting = {}  # by job: for the next transaction
        self.runner: asyncio.Task[None] | None = None

    async def compare(self, job: str) -> Comparison:
        """Whether the store, asked from now on, knows the job just as this node does.

        Raises Unavailable where the store does not answer, or too many requests wait.
        """
        future = self.waiting.get(job)
        if future is None:
            if len(self.waiting) >= c.POLL_QUEUE:
                raise Unavailable("too many polls")
            future = self.waiting[job] = asyncio.get_running_loop().create_future()
            if self.runner is None or self.runner.done():
                self.runner = asyncio.create_task(self._run())
        return await asyncio.shield(future)

    async def _run(self) -> None:
        while self.waiting:
            batch, known, guards = self._next_batch()
            try:
                changed = await self._changed(guards, set(batch))
            except Exception as error:
                failure = error if isinstance(error, Unavailable) else Unavailable(str(error))
                _fail(batch, failure)
                continue
            for job, future in batch.items():
                if changed and job not in changed:
                    self._again(job, future)
                elif not future.done():
                    future.set_result(Comparison(not changed, known[job]))
            await asyncio.sleep(self.store.pace_s(c.POLL_PACE_S, c.POLL_PART))

    def _next_batch(self) -> tuple[Waiting, dict[str, Accepted | None], dict[str, int]]:
        """Requests for one transaction, what is known of their jobs, and the guards of that."""
        guards: dict[str, int] = {}
        batch: Waiting = {}
        known: dict[str, Accepted | None] = {}
        for job, future in self.waiting.items():
            if len(guards) + 2 > self.most_guards and batch:
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

    async def _changed(self, guards: dict[str, int], jobs: set[str]) -> set[str]:
        """The jobs of which the store knows something else; it need not name every one."""
        try:
            await self.store.commit(guards, {})
        except Conflict as conflict:
            # One that names no key says of none that it is as known here.
            return {key.rsplit("/", 1)[1] for key in conflict.failed} or jobs
        return set()

    def _again(self, job: str, future: asyncio.Future[Comparison]) -> None:
        """Refused transactions need not name every key: the others are compared again."""
        other = self.waiting.setdefault(job, future)
        if other is not future:
            _follow(other, future)


def _fail(batch: Waiting, failure: Exception) -> None:
    for future in batch.values():
        if not future.done():
            future.set_exception(failure)
            future.exception()  # its request may be gone; nobody else must hear of it


def _follow(first: asyncio.Future[Comparison], second: asyncio.Future[Comparison]) -> None:
    """The second ends as the first does."""

    def copy(_: asyncio.Future[Comparison]) -> None:
        if second.done():
            return
        error = first.exception()
        if error is not None:
            second.set_exception(error)
            second.exception()  # its request may be gone; asyncio told of each such, 40 lines long
        else:
            second.set_result(first.result())

    first.add_done_callback(copy)
