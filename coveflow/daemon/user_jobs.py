"""What users ask of their jobs: to accept one, to tell its state, to cancel it."""

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
from coveflow.daemon.inbox import UNREADABLE
from coveflow.daemon.submissions import Submissions
from coveflow.logs import Log
from coveflow.net.http import Unavailable
from coveflow.state import keys as sk
from coveflow.state.store import Conflict, Store

log = Log("coveflow.front")

Record = dict[str, Any]


class JobStatus(msgspec.Struct, frozen=True):
    """A job's state for its user; counts only where they are known."""

    job: str
    status: str  # queued, running, done or cancelled
    done: int | None = None
    running: int = 0


class Created(msgspec.Struct, frozen=True):
    """The job is accepted now."""

    job: str


class Refused(msgspec.Struct, frozen=True):
    """The job can never run."""

    reason: str


class ForeignJob(Exception):
    """The job is another interface's."""


def rider_of(found: cm.Accepted | Record) -> Any:
    """What another interface keeps with the job; None for a native one."""
    return found.rider if isinstance(found, cm.Accepted) else found.get("rider")


class UserJobs:
    """Every answer is the store's word at some moment after its request came.

    Raises Unavailable where that word is not to be had: the user asks again.
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
        """`refusal` tells why a job can never run, or nothing."""
        self.owner, self.store = owner, store
        self.clock, self.wall, self.refusal = clock, wall, refusal
        self.submissions = Submissions(store, txn_ops, clock, owner.around.meters)
        self.comparisons = Comparisons(store, owner.inbox, txn_ops)

    # --- submissions -------------------------------------------------------------------

    async def submit(self, spec: Spec) -> Created | JobStatus | Refused:
        """Accept the job, or tell the state of one that is accepted already."""
        inbox = self.owner.inbox
        if spec.id in inbox.terminal or spec.id in inbox.accepted:
            known = await self.status(spec.id)
            if known is not None:
                return known
        if not inbox.flavors:
            raise Unavailable("machine types are not known yet")
        refusal = self.refusal(spec)
        if refusal:
            # An accepted id is never refused, whatever the repeated submission holds.
            return await self.status(spec.id) or Refused(refusal)
        types = allowed_types(spec, inbox.flavors.values())
        spec = msgspec.structs.replace(spec, types=types)
        record = {"spec": msgspec.to_builtins(spec), "at": self.wall()}
        began = self.clock()
        accepted = await self.accept(spec.id, record, (spec.team, spec.workload))
        self.owner.around.meters.record_duration("submission committed", self.clock() - began)
        if accepted:
            log.info("job accepted", job=spec.id)
            return Created(spec.id)
        known = await self.status(spec.id)
        if known is None:
            raise Unavailable("the job was there and is not")
        return known

    async def accept(self, name: str, record: Any, flow: admission.Flow = ("", "")) -> bool:
        """Commit the record; False when the job is known already. Raises TooMany."""
        rev = await self.submissions.write(name, record, flow)
        if rev is None:
            return False
        self.owner.put(cm.InboxRows([(sk.JOB + name, record, rev)]))
        return True

    # --- states ------------------------------------------------------------------------

    async def status(self, name: str) -> JobStatus | None:
        """The job's state by the store's word, or None if it was never accepted."""
        found = await self.find(name)
        if found is None or rider_of(found) is not None:
            return None  # another interface's jobs are none of this one's
        if not isinstance(found, cm.Accepted):
            return JobStatus(name, found["status"], found["done"])
        count = self.owner.task_counts.of(name)
        if found.cancelled is not None:
            return JobStatus(name, "cancelled", count.done)
        status = "running" if count.running else "queued"
        return JobStatus(name, status, count.done, count.running)

    async def find(self, name: str) -> cm.Accepted | Record | None:
        """A job by the store's word: accepted, its final record, or None if never accepted."""
        final = self.owner.inbox.terminal.get(name)
        if final is not None:
            return final
        comparison = await self.comparisons.compare(name)
        if comparison.same:
            return self._newest(name, comparison.known)
        return await self._read(name)

    async def _read(self, name: str) -> cm.Accepted | Record | None:
        value, rev = await self.store.get(sk.JOB + name)
        if value is not None:
            try:
                found = cm.accepted_of(msgspec.convert(value["spec"], Spec), value, rev)
            except UNREADABLE:
                return self._unreadable(name, value)
            return self._newest(name, found)
        # Jobs only ever move from the one key to the other, so this order misses none.
        value, _ = await self.store.get(sk.FINAL_RECORD + name)
        if value is not None:
            self.owner.inbox.remember_terminal(name, value)
        return value

    def _unreadable(self, name: str, value: Any) -> Record:
        """Accepted it is, whatever else its record holds."""
        if isinstance(value, dict) and value.get("cancel") is not None:
            self._confirm(name, value["cancel"])
            return {"status": "cancelled", "done": 0}
        return {"status": "queued", "done": 0}

    def _newest(self, name: str, found: cm.Accepted | None) -> cm.Accepted | Record | None:
        """What the store said, or what users were told here while its answer was on its way.

        What was compared counts, not what this node knows by now: a job that ended meanwhile is no
        unknown one. But a user may have the answer already that the job is over, is cancelled or
        was accepted, and an older one went back.
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
            self._confirm(name, found.cancelled)
        return found

    def _confirm(self, name: str, cancelled: object) -> None:
        """Peers must learn from this process what its user is about to be told.

        Whoever wrote the cancellation may have told nobody. One whose final record is written needs
        no word: all its tasks were proven gone before.
        """
        at = cancelled if isinstance(cancelled, int | float) else self.wall()
        self.owner.confirm(name, at)

    # --- cancellations -----------------------------------------------------------------

    async def request_cancel(self, name: str) -> JobStatus | None:
        """Cancel a native job; its state then, or None if it was never accepted."""
        try:
            if await self.cancel(name, native=True):
                return JobStatus(name, "cancelled")
        except ForeignJob:
            return None
        found = await self.find(name)
        if isinstance(found, cm.Accepted):
            # Accepted since the record was read. "queued" with 200 once answered the request to
            # cancel it, and nobody had; the user repeats it after this.
            raise Unavailable("the job was accepted meanwhile")
        return await self.status(name)

    async def cancel(self, name: str, native: bool = False) -> bool:
        """Commit that the user cancelled the job; False if it is over or was never accepted.

        Raises ForeignJob for another interface's job where only a native one is meant: that
        interface asks for rights which this one does not know.
        """
        cancelled_at: Any = None

        def mark(record: Record) -> Record | None:
            nonlocal cancelled_at
            if native and record.get("rider") is not None:
                raise ForeignJob
            cancelled_at = record.get("cancel")
            if cancelled_at is not None:
                return None
            cancelled_at = self.wall()
            return {**record, "cancel": cancelled_at}

        if not await self._amend(name, mark):
            return False
        # Peers must learn of it from this process before its user does.
        self.owner.confirm(name, cancelled_at)
        log.info("job cancelled by its user", job=name)
        return True

    async def _amend(self, name: str, change: Callable[[Record], Record | None]) -> bool:
        """Change an accepted job's record, whatever else changes it; False if it is not there.

        `change` takes the record as the store has it, and gives the new one, or None where it is
        as wanted already. Raises Unavailable or Unsure when the store's word does not come.
        """
        deadline = self.clock() + c.SUBMIT_S
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
