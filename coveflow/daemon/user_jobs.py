"""Job operations for users: submission, status and cancellation."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec

from coveflow import constants as c
from coveflow.core import admission
from coveflow.core.feasibility import Infeasible, allowed_types
from coveflow.core.model import Spec
from coveflow.daemon import commands as cm
from coveflow.daemon import owner as o
from coveflow.daemon.comparisons import Comparisons
from coveflow.daemon.inbox import DECODE_ERRORS
from coveflow.daemon.submissions import Submissions
from coveflow.logs import Log
from coveflow.net.http import Unavailable
from coveflow.state import keys as sk
from coveflow.state.store import Conflict, Store

log = Log("coveflow.front")

Record = dict[str, Any]


class JobStatus(msgspec.Struct, frozen=True):
    """A job's state as shown to its user; `done` is None where the count is not known."""

    job: str
    status: str  # queued, running, done or cancelled
    done: int | None = None
    running: int = 0


class Created(msgspec.Struct, frozen=True):
    """The job was accepted by this request."""

    job: str


class Refused(msgspec.Struct, frozen=True):
    """The job can never run."""

    reason: str


class ForeignJob(Exception):
    """The job was submitted through another interface."""


def rider_of(found: cm.AcceptedJob | Record) -> Any:
    """The data that another interface stores with the job; None for a native job."""
    return found.rider if isinstance(found, cm.AcceptedJob) else found.get("rider")


class UserJobs:
    """Serves job requests with linearizable reads.

    Every answer reflects the store's state at some moment after the request arrived. Raises
    Unavailable where the store cannot be read; the user retries.
    """

    def __init__(
        self,
        owner: o.Owner,
        store: Store,
        txn_ops: int,
        clock: Callable[[], float],
        wall: Callable[[], float],
        refusal: Callable[[Spec], Infeasible | None],
    ) -> None:
        """`refusal` returns why a job can never run, or None."""
        self.owner, self.store = owner, store
        self.clock, self.wall, self.refusal = clock, wall, refusal
        self.submissions = Submissions(store, txn_ops, clock, owner.context.meters)
        self.comparisons = Comparisons(store, owner.inbox, txn_ops)

    # --- submissions -------------------------------------------------------------------

    async def submit(self, spec: Spec) -> Created | JobStatus | Refused:
        """Accept the job, or return the state of a job that was accepted before under this id."""
        inbox = self.owner.inbox
        if spec.id in inbox.terminal or spec.id in inbox.accepted:
            known = await self.status(spec.id)
            if known is not None:
                return known
        if not inbox.flavors:
            raise Unavailable("machine types are not known yet")
        refusal = self.refusal(spec)
        if refusal:
            # An accepted job is never refused, whatever a repeated submission contains.
            return await self.status(spec.id) or Refused(refusal)
        types = allowed_types(spec, inbox.flavors.values())
        spec = msgspec.structs.replace(spec, types=types)
        record = {"spec": msgspec.to_builtins(spec), "at": self.wall()}
        started_at = self.clock()
        accepted = await self.accept(spec.id, record, (spec.team, spec.workload))
        self.owner.context.meters.record_duration("submission committed", self.clock() - started_at)
        if accepted:
            log.info("job accepted", job=spec.id)
            return Created(spec.id)
        known = await self.status(spec.id)
        if known is None:
            raise Unavailable("the job's record disappeared while it was read")
        return known

    async def accept(self, name: str, record: Any, flow: admission.Flow = ("", "")) -> bool:
        """Commit the record; False if the job exists already. Raises TooManySubmissions."""
        rev = await self.submissions.write(name, record, flow)
        if rev is None:
            return False
        self.owner.put(cm.InboxRows([(sk.JOB + name, record, rev)]))
        return True

    # --- states ------------------------------------------------------------------------

    async def status(self, name: str) -> JobStatus | None:
        """The job's state according to the store, or None if it was never accepted."""
        found = await self.find(name)
        if found is None or rider_of(found) is not None:
            return None  # jobs of another interface are not visible here
        if not isinstance(found, cm.AcceptedJob):
            return JobStatus(name, found["status"], found["done"])
        count = self.owner.task_counts.get(name)
        if found.cancelled is not None:
            return JobStatus(name, "cancelled", count.done)
        status = "running" if count.running else "queued"
        return JobStatus(name, status, count.done, count.running)

    async def find(self, name: str) -> cm.AcceptedJob | Record | None:
        """Look a job up in the store: accepted, its final record, or None if never accepted."""
        final = self.owner.inbox.terminal.get(name)
        if final is not None:
            return final
        comparison = await self.comparisons.compare(name)
        if comparison.unchanged:
            return self._with_local_updates(name, comparison.known)
        return await self._read(name)

    async def _read(self, name: str) -> cm.AcceptedJob | Record | None:
        value, rev = await self.store.get(sk.JOB + name)
        if value is not None:
            try:
                found = cm.decode_accepted_job(msgspec.convert(value["spec"], Spec), value, rev)
            except DECODE_ERRORS:
                return self._state_of_unreadable(name, value)
            return self._with_local_updates(name, found)
        # A job moves from the active key to the final one, never back: this order misses none.
        value, _ = await self.store.get(sk.FINAL_RECORD + name)
        if value is not None:
            self.owner.inbox.cache_final_record(name, value)
        return value

    def _state_of_unreadable(self, name: str, value: Any) -> Record:
        """The state of a job whose record cannot be decoded: it was accepted nevertheless."""
        if isinstance(value, dict) and value.get("cancel") is not None:
            self._announce_cancellation(name, value["cancel"])
            return {"status": "cancelled", "done": 0}
        return {"status": "queued", "done": 0}

    def _with_local_updates(
        self, name: str, found: cm.AcceptedJob | None
    ) -> cm.AcceptedJob | Record | None:
        """Combine the store's answer with what this node told users while it was in transit.

        The base is the state that was compared, not what this node knows by now: otherwise a job
        that ended meanwhile would look unknown. But a user may already have been told that the job
        is finished, cancelled or accepted, and must not get an older state after that.
        """
        inbox = self.owner.inbox
        final = inbox.terminal.get(name)
        if final is not None:
            return final
        if found is None:
            found = inbox.accepted.get(name)
        since = self.owner.cancellations.cancelled_at(name)
        if found is not None and found.cancelled is None and since is not None:
            found = msgspec.structs.replace(found, cancelled=since)
        if found is not None and found.cancelled is not None:
            self._announce_cancellation(name, found.cancelled)
        return found

    def _announce_cancellation(self, name: str, cancelled: object) -> None:
        """Announce a cancellation to the peers before the user is told of it.

        The node that wrote the cancellation may not have announced it. A job with a final record
        needs no announcement: all its tasks were proven to have ended before.
        """
        at = cancelled if isinstance(cancelled, int | float) else self.wall()
        self.owner.confirm_cancellation(name, at)

    # --- cancellations -----------------------------------------------------------------

    async def request_cancel(self, name: str) -> JobStatus | None:
        """Cancel a native job; returns its state after that, or None if it was never accepted."""
        try:
            if await self.cancel(name, native=True):
                return JobStatus(name, "cancelled")
        except ForeignJob:
            return None
        found = await self.find(name)
        if isinstance(found, cm.AcceptedJob):
            # Accepted after the record was read, so the job is not cancelled: a 200 with "queued"
            # would hide that. The user repeats the request after this error.
            raise Unavailable("the job was accepted while it was being cancelled")
        return await self.status(name)

    async def cancel(self, name: str, native: bool = False) -> bool:
        """Commit the user's cancellation; False if the job is finished or was never accepted.

        With `native`, raises ForeignJob for a job of another interface, since that interface
        checks access rights that are not known here.
        """
        cancelled_at: Any = None

        def add_cancellation(record: Record) -> Record | None:
            nonlocal cancelled_at
            if native and record.get("rider") is not None:
                raise ForeignJob
            cancelled_at = record.get("cancel")
            if cancelled_at is not None:
                return None
            cancelled_at = self.wall()
            return {**record, "cancel": cancelled_at}

        if not await self._update_record(name, add_cancellation):
            return False
        # Peers must learn of the cancellation from this process before its user does.
        self.owner.confirm_cancellation(name, cancelled_at)
        log.info("job cancelled by its user", job=name)
        return True

    async def _update_record(self, name: str, change: Callable[[Record], Record | None]) -> bool:
        """Update an accepted job's record, retrying on conflicts; False if there is no record.

        `change` takes the stored record and returns the new one, or None if no change is needed.
        Raises Unavailable or Unsure if the store does not answer.
        """
        deadline = self.clock() + c.SUBMIT_STORE_TIMEOUT_S
        while True:
            value, rev = await self.store.get(sk.JOB + name)
            if value is None:
                return False
            new = change(value)
            if new is None:
                return True
            try:
                rev = await self.store.commit_with_retry(
                    {sk.JOB + name: rev}, {sk.JOB + name: new}, deadline
                )
            except Conflict:
                continue
            self.owner.put(cm.InboxRows([(sk.JOB + name, new, rev)]))
            return True
