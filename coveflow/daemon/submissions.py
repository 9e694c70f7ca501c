"""Group commit of submissions: those that wait at the same time share a store transaction."""

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
from coveflow.state.store import Conflict, Refused, Store

log = Log("coveflow.front")


class TooManySubmissions(Unavailable):
    """More submissions wait than can be written in time; retry after `after_s` seconds."""

    def __init__(self, after_s: int) -> None:
        super().__init__(f"too many submissions; retry after {after_s} s")
        self.after_s = after_s


@dataclass(eq=False)
class Submission:
    """A job's record to be written; `revision` resolves to None if the job exists already."""

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
    """A bounded queue, fair among teams and written to the store in batches."""

    def __init__(
        self, store: Store, txn_ops: int, clock: Callable[[], float], meters: Meters
    ) -> None:
        self.store, self.txn_ops, self.clock, self.meters = store, txn_ops, clock, meters
        self.waiting: admission.FairQueue[Submission] = admission.FairQueue()
        self.writer: asyncio.Task[None] | None = None
        self.batch_max = c.SUBMIT_BATCH_MAX  # smaller after a batch was refused for its size

    async def write(self, job: str, record: Any, flow: admission.Flow) -> int | None:
        """Write the job's record in a batch with others; None if the job exists already.

        Raises TooManySubmissions at once if the record could not be written before the user's
        request times out.
        """
        rate = self.store.changes.rate
        max_waiting = max(c.SUBMIT_QUEUE_MIN, int(rate * c.SUBMIT_QUEUE_S))
        waiting, teams = len(self.waiting), len(self.waiting.teams.keys() | {flow[0]})
        if not admission.admits(waiting, self.waiting.waiting_of(flow[0]), teams, max_waiting):
            self.meters.add("submissions refused")
            raise TooManySubmissions(admission.retry_after_s(waiting, rate, random.random()))
        submission = Submission(job, record, asyncio.get_running_loop().create_future())
        self.waiting.add(flow, submission)
        if self.writer is None or self.writer.done():
            self.writer = asyncio.create_task(self._write_all())
        return await submission.revision

    async def _write_all(self) -> None:
        while self.waiting:
            records: dict[str, Any] = {}
            # Of two concurrent submissions of one id, the second sees the outcome of the first.
            batch = self.waiting.take(self._batch_size(), partial(_first_for_job, records))
            await self._write_batch(batch, records)

    def _batch_size(self) -> int:
        """No more changes than the rate limit allows at once; later arrivals join the next batch.

        Larger batches delay all of their submissions: at 15 changes/s, a batch of 24 took 1.6 s.
        """
        changes = self.store.changes
        size = max(int(changes.refill()), int(changes.rate * c.SUBMIT_BATCH_S), 1)
        return min(size, self.txn_ops, self.batch_max)

    async def _write_batch(self, batch: list[Submission], records: dict[str, Any]) -> None:
        guards = {sk.JOB + job: 0 for job in records} | {
            sk.FINAL_RECORD + job: 0 for job in records
        }
        writes = {sk.JOB + job: record for job, record in records.items()}
        try:
            revision = await self.store.commit_with_retry(
                guards, writes, self.clock() + c.SUBMIT_STORE_TIMEOUT_S
            )
        except Conflict as conflict:
            self._settle_known(batch, {key.rsplit("/", 1)[1] for key in conflict.failed})
        except Refused as refusal:
            self._divide(batch, refusal)
        except Exception as error:
            failure = error if isinstance(error, Unavailable) else Unavailable(str(error))
            if failure is not error:
                log.exception("submissions could not be written")
            for submission in batch:
                submission.fail(failure)
        else:
            if len(batch) >= self.batch_max:
                self.batch_max = min(c.SUBMIT_BATCH_MAX, 2 * self.batch_max)
            for submission in batch:
                submission.settle(revision)

    def _divide(self, batch: list[Submission], refusal: Refused) -> None:
        """Write a batch that was refused for its size in smaller ones; fail a single submission."""
        log.warning("submissions refused", count=len(batch), why=refusal)
        if len(batch) == 1:
            batch[0].fail(Unavailable(str(refusal)))
            return
        self.batch_max = max(1, len(batch) // 2)
        for submission in batch:
            self.waiting.add(("", ""), submission)

    def _settle_known(self, batch: list[Submission], known: set[str]) -> None:
        """Settle submissions of jobs that exist; requeue the others, which did not conflict."""
        for submission in batch:
            if submission.job in known or not known:
                submission.settle(None)
            else:
                self.waiting.add(("", ""), submission)


def _first_for_job(records: dict[str, Any], submission: Submission) -> bool:
    return records.setdefault(submission.job, submission.record) is submission.record
