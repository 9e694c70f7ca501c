"""Submissions on their way to the store: those that wait at the same time share a transaction."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from typing import Any

from coveflow import constants as c
from coveflow.core import admission
from coveflow.logs import Log
from coveflow.net.http import Unavailable
from coveflow.net.meters import Meters
from coveflow.state import keys as sk
from coveflow.state.store import Conflict, Store

log = Log("coveflow.front")


class TooMany(Unavailable):
    """More submissions than can be written in time; `after_s` is when to come again."""

    def __init__(self, after_s: int) -> None:
        super().__init__(f"too many submissions; again after {after_s} s")
        self.after_s = after_s


@dataclass(eq=False)
class Submission:
    """A job's record that is to be written; `revision` is None where the job is known already."""

    job: str
    record: Any
    revision: asyncio.Future[int | None]

    def settle(self, revision: int | None) -> None:
        if not self.revision.done():
            self.revision.set_result(revision)

    def fail(self, error: Exception) -> None:
        if not self.revision.done():
            self.revision.set_exception(error)


class Submissions:
    """Whoever waits longest of each team is written next; a queue that is full refuses."""

    def __init__(
        self, store: Store, txn_ops: int, clock: Callable[[], float], meters: Meters
    ) -> None:
        self.store, self.txn_ops, self.clock, self.meters = store, txn_ops, clock, meters
        self.waiting: admission.FairQueue[Submission] = admission.FairQueue()
        self.writer: asyncio.Task[None] | None = None

    async def write(self, job: str, record: Any, flow: admission.Flow) -> int | None:
        """Write the job's record with what else is waiting; None when the job is known already.

        Raises TooMany for what could not be written before its user gives it up: told at once.
        """
        rate = self.store.changes.rate
        bound = max(c.SUBMIT_LEAST, int(rate * c.SUBMIT_WAIT_S))
        waiting, teams = len(self.waiting), len(self.waiting.teams.keys() | {flow[0]})
        if not admission.admits(waiting, self.waiting.waiting_of(flow[0]), teams, bound):
            self.meters.add("submissions refused")
            raise TooMany(admission.retry_after_s(waiting, rate, random.random()))
        submission = Submission(job, record, asyncio.get_running_loop().create_future())
        self.waiting.add(flow, submission)
        if self.writer is None or self.writer.done():
            self.writer = asyncio.create_task(self._write_all())
        return await submission.revision

    async def _write_all(self) -> None:
        while self.waiting:
            records: dict[str, Any] = {}
            # Two submissions of one id at once: the second sees the first's outcome.
            batch = self.waiting.take(self._batch_size(), partial(_first_of_its_id, records))
            await self._write_batch(batch, records)

    def _batch_size(self) -> int:
        """No more than can be paid for at once: whoever comes meanwhile waits for the next batch.

        24 changes of a share of 15 a second took 1.6 s.
        """
        changes = self.store.changes
        size = max(int(changes.refill()), int(changes.rate * c.SUBMIT_BATCH_S), 1)
        return min(size, self.txn_ops, c.SUBMIT_BATCH_MOST)

    async def _write_batch(self, batch: list[Submission], records: dict[str, Any]) -> None:
        guards = {sk.JOB + job: 0 for job in records} | {
            sk.FINAL_RECORD + job: 0 for job in records
        }
        writes = {sk.JOB + job: record for job, record in records.items()}
        try:
            revision = await self.store.commit_with_retry(guards, writes, self.clock() + c.SUBMIT_S)
        except Conflict as conflict:
            self._settle_known(batch, {key.rsplit("/", 1)[1] for key in conflict.failed})
        except Exception as error:
            failure = error if isinstance(error, Unavailable) else Unavailable(str(error))
            if failure is not error:
                log.exception("submissions could not be written")
            for submission in batch:
                submission.fail(failure)
        else:
            for submission in batch:
                submission.settle(revision)

    def _settle_known(self, batch: list[Submission], known: set[str]) -> None:
        """The others go into the next batch: one conflict must not fail them."""
        for submission in batch:
            if submission.job in known or not known:
                submission.settle(None)
            else:
                self.waiting.add(("", ""), submission)


def _first_of_its_id(records: dict[str, Any], submission: Submission) -> bool:
    return records.setdefault(submission.job, submission.record) is submission.record
