"""Builds the leader's transactions from changed state and applies their results.

At most one transaction is in flight. Each one guards the view, so it fails once another node leads.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from coveflow import constants as c
from coveflow.core.machine_pages import machine_records
from coveflow.core.model import Job, Machine, encode_ranges
from coveflow.daemon.commands import AttemptEnd, CommitResult, HeldTasksDecision, Txn
from coveflow.daemon.context import NodeContext
from coveflow.daemon.inbox import Inbox
from coveflow.daemon.leader_state import LeaderState
from coveflow.logs import Log, LogThrottle
from coveflow.state.keys import (
    ATTEMPT_FLOOR,
    CHUNK,
    FINAL_RECORD,
    HELD,
    HISTORY,
    JOB,
    MACHINE,
    VIEW,
    page_item,
)
from coveflow.state.records import Draft, encoded_size

MACHINE_ITEM_FRAME_BYTES = 16  # bytes of an item's key beside the machine's name

log = Log("coveflow.owner")


class Commits:
    def __init__(
        self,
        context: NodeContext,
        inbox: Inbox,
        state: LeaderState,
        step_down: Callable[[str], None],
    ) -> None:
        self.context, self.inbox, self.state = context, inbox, state
        self.step_down = step_down
        self.limits = context.write_limits
        self.too_large_log = LogThrottle()
        self.refused_log = LogThrottle()
        self.in_flight: Txn | None = None
        self.next_commit = 0.0
        self.history_rev = 0
        self.history_at = 0.0
        self.history_due = False
        # Sent to another interface in this epoch, including those of failed transactions.
        self.notifications = 0

    def tick(self, now: float) -> None:
        if self.state.predictor.changed and now - self.history_at > c.HISTORY_WRITE_S:
            self.history_at, self.history_due = now, True
        if self.limits.raise_after_refusal(now):
            self.state.apply_write_limits()

    def send_due(self, now: float) -> None:
        """Send the next transaction if none is in flight and something changed."""
        if self.in_flight is not None or now < self.next_commit:
            return
        txn = self._build()
        if txn is not None:
            self.in_flight = txn
            self.next_commit = now + c.COMMIT_INTERVAL_S
            self.context.effects("commit", txn)

    # --- building ----------------------------------------------------------------------

    def _build(self) -> Txn | None:
        """Build the next transaction: progress of jobs first, then machines, then finished jobs.

        A machine's record drops an attempt only together with, or after, the job's record of its
        end; otherwise a new leader could lose a done task or reuse an attempt number.
        """
        limit = self.limits.txn_ops
        txn = Txn({VIEW: self.state.rev}, {})
        # At least half of the operations and bytes are reserved for jobs that end.
        slots = max(1, min(c.SLOTS_PER_TXN, limit // 2))
        draft = txn.draft = self.state.records.draft(slots, self.limits.txn_bytes)
        finish: list[Job] = []
        unwritable: set[str] = set()
        if self._add_jobs(txn, draft, finish, unwritable):
            self._add_machines(txn, draft, unwritable)
            self._add_finished(txn, draft, finish, limit)
        for key, rev, value in draft.rows():
            txn.guards[key] = rev
            txn.writes[key] = value
        if self.history_due and len(txn.writes) < limit:
            self._add_history(txn)
        return txn if txn.writes else None

    def _add_history(self, txn: Txn) -> None:
        max_bytes = min(c.HISTORY_BYTES, int(self.limits.value_bytes * 0.8))
        txn.guards[HISTORY] = self.history_rev
        txn.writes[HISTORY] = self.state.predictor.dump(max_bytes)
        txn.history = True
        self.history_due = False
        self.state.predictor.changed = False

    def _add_jobs(self, txn: Txn, draft: Draft, finish: list[Job], unwritable: set[str]) -> bool:
        """Add the progress of jobs; False if not all of it fits, so no machine may be added.

        Jobs with a record larger than any slot are left for later and added to `unwritable`.
        """
        state = self.state
        for name in list(state.dirty_jobs):
            job = state.jobs.get(name)
            if job is None:
                del state.dirty_jobs[name]
                continue
            if job.is_finished and not job.finishing:
                finish.append(job)
                if not state.unsettled.get(name):
                    continue  # all its ends are committed: the final record suffices
            chunks = state.dirty_chunks.get(name, set())
            # Written before the machine's record drops the attempt: a new leader must also hold
            # the task.
            held_changed = name in state.dirty_held
            if held_changed and not state.records.fits(HELD + name, held_value(job)):
                self._log_too_large(HELD + name)
                unwritable.add(name)
                continue
            fits = (
                not job.last_attempt_number
                or state.records.values.get(ATTEMPT_FLOOR + name) == job.last_attempt_number
                or draft.add(ATTEMPT_FLOOR + name, job.last_attempt_number)
            ) and self._add_chunks(draft, job, sorted(chunks))
            if held_changed:
                fits = fits and draft.add(HELD + name, held_value(job))
            if not fits:
                return False
            txn.jobs.append((job, chunks))
            txn.done.append((job, len(job.done)))
            if held_changed:
                del state.dirty_held[name]
                txn.held.append(job)
                txn.releases += [(job, *row) for row in state.releases.pop(name, [])]
            del state.dirty_jobs[name]
            state.dirty_chunks.pop(name, None)
        return True

    def _add_chunks(self, draft: Draft, job: Job, chunks: list[int]) -> bool:
        """Add chunks of done tasks; those that an earlier, full transaction wrote are left out.

        The last one is always written, as the job's progress counts once it is committed.
        """
        written = self.state.records.values
        for index in chunks:
            item, bitmap = f"{CHUNK}{job.id}/{index}", job.encode_chunk(index)
            if written.get(item) == bitmap and index != chunks[-1]:
                continue
            if not draft.add(item, bitmap):
                return False
        return True

    def _log_too_large(self, item: str) -> None:
        count = self.too_large_log.due(self.context.clock())
        if count:
            log.error("a record is larger than the state service allows", item=item, count=count)

    def _add_machines(self, txn: Txn, draft: Draft, unwritable: set[str]) -> None:
        state = self.state
        for name in list(state.dirty_machines):
            m = state.machines.get(name)
            if m is None:
                del state.dirty_machines[name]
                continue
            removing = name in state.machines_to_delete
            if removing and MACHINE + name not in state.records:
                del state.dirty_machines[name]
                self._forget_machine(m)
                continue
            if any(end.placement.job in unwritable for end in state.ends.get(name, ())):
                continue
            if not (_remove_machine(draft, m) if removing else self._add_machine(draft, m)):
                break
            del state.dirty_machines[name]
            (txn.removed if removing else txn.machines).append(m)
            txn.drains += state.drains.pop(name, [])
            txn.placed += [p for p in m.placements.values() if not p.committed]
            txn.ends += [(m, end) for end in state.ends.pop(name, [])]

    def _add_machine(self, draft: Draft, m: Machine) -> bool:
        """Add the records of a machine; False if not all of them fit.

        Each state in between is safe: an attempt is on a written page until its end is committed.
        """
        written = self.state.records
        max_bytes = written.slot_bytes - len(page_item(m.id, 0)) - MACHINE_ITEM_FRAME_BYTES
        records = machine_records(m, max_bytes)
        for page in range(m.pages, 0, -1):
            item = page_item(m.id, page)
            if written.values.get(item) != records[page] and not draft.add(item, records[page]):
                return False
        return draft.add(page_item(m.id, 0), records[0])

    def _add_finished(self, txn: Txn, draft: Draft, finish: list[Job], limit: int) -> None:
        riders = 0  # bytes of other interfaces' final records
        for job in finish:
            if job.rider is not None:
                # Slot records may fill most of a transaction; final records with riders have to
                # fit into the rest.
                first = not riders
                riders += encoded_size(job.id, final_record(job, "cancelled"))
                if riders > c.TXN_FINAL_RECORD_BYTES and not first:
                    break
            if len(draft.contents) + len(txn.writes) + 2 > limit - 1 - bool(
                self.context.final_record_rows
            ):
                break
            # A final record guards the accepted row, whose cancellation may not have arrived here
            # yet: with the old revision the whole transaction would fail, including unrelated
            # starts.
            if self.state.unsettled.get(job.id) or job.awaits_cancel_record:
                continue
            # The tombstones may open further slots.
            others = len(txn.writes) + 3 + bool(self.context.final_record_rows)
            draft.most_slots = min(draft.most_slots, limit - others)
            if not all(draft.add(item, None) for item in _record_keys(job)):
                break
            self._add_final_record(txn, job)
        self._add_final_notifications(txn)

    def _add_final_record(self, txn: Txn, job: Job) -> None:
        status = "done" if job.is_complete and job.cancelled is None else "cancelled"
        txn.guards[FINAL_RECORD + job.id] = 0
        txn.writes[FINAL_RECORD + job.id] = final_record(job, status)
        # Guarding the accepted record resolves the race with a concurrent cancellation.
        txn.guards[JOB + job.id] = job.rev
        txn.writes[JOB + job.id] = None
        job.finishing = True
        txn.finished.append(job)
        self.state.dirty_jobs.pop(job.id, None)

    def _add_final_notifications(self, txn: Txn) -> None:
        """Add the final records for another interface, under a key used only once."""
        if self.context.final_record_rows is None or not txn.finished:
            return
        ended = {job.id: txn.writes[FINAL_RECORD + job.id] for job in txn.finished}
        self.notifications += 1
        for key, value in self.context.final_record_rows(
            f"{self.state.leading}-{self.notifications}", ended
        ).items():
            txn.guards[key] = 0
            txn.writes[key] = value

    # --- settling ----------------------------------------------------------------------

    def handle_result(self, command: CommitResult) -> None:
        if command.txn is not self.in_flight:
            return
        self.in_flight = None
        if command.refused:
            self._refused(command.txn)
        elif command.rev is None:
            self._conflict(command.txn, command.conflict or [])
        else:
            self._applied(command.txn, command.rev)

    def _applied(self, txn: Txn, rev: int) -> None:
        state = self.state
        if txn.draft is not None:
            state.records.mark_committed(txn.draft, rev)
        if txn.history:
            self.history_rev = rev
        state.answers_to_check.update((m.id, None) for m in txn.machines)
        self._measure(txn)
        for p in txn.placed:
            p.committed = True
        for job, done in txn.done:
            job.done_committed = max(job.done_committed, done)
        for m, end in txn.ends:
            m.uncommitted_ends.discard(end.placement.key)
            self._end_committed(end)
        for job, tasks, command in txn.releases:
            self._apply_release(job, tasks, command)
        for drain in txn.drains:
            if not drain.reply.done():
                drain.reply.set_result({"machine": drain.machine, "draining": drain.on})
        for m in txn.removed:
            self._forget_machine(m)
        for job in txn.finished:
            self._job_finished(job, txn.writes[FINAL_RECORD + job.id], rev)

    def _measure(self, txn: Txn) -> None:
        meters, now = self.context.meters, self.context.clock()
        for p in txn.placed:
            meters.record_duration("start committed", now - p.placed_at)
        for _, end in txn.ends:
            meters.record_duration("end committed", now - end.at)

    def _job_finished(self, job: Job, record: dict[str, Any], rev: int) -> None:
        """Drop a job whose final record is committed."""
        status = record["status"]
        log.info("job over", job=job.id, status=status)
        self.state.tell("over", job=job.id, status=status, done=len(job.done))
        self.state.jobs.pop(job.id, None)
        self.state.unsettled.pop(job.id, None)
        self.inbox.record_final(job.id, record, rev)

    def _apply_release(self, job: Job, tasks: list[int], command: HeldTasksDecision) -> None:
        """Apply an operator's committed decision on held tasks and reply to the operator."""
        for task in tasks:
            self.state.tell("released", job=job.id, task=task, again=command.again)
            if command.again and job.may_be_placed(task):
                job.pending.append(task)
        log.info("held tasks released", job=job.id, tasks=len(tasks), again=command.again)
        self.state.pass_due = True
        if not command.reply.done():
            command.reply.set_result({"job": job.id, "tasks": tasks, "again": command.again})

    def _forget_machine(self, m: Machine) -> None:
        self.state.machines.pop(m.id, None)
        self.state.machines_to_delete.pop(m.id, None)
        for end in self.state.ends.pop(m.id, []):
            # An end on a machine that was never recorded needs no commit.
            self._end_committed(end)
            self.state.dirty_jobs[end.placement.job] = None
            self.state.pass_due = True

    def _end_committed(self, end: AttemptEnd) -> None:
        """Free the task of a committed end, and mark its job for a final record if it is over."""
        state, task = self.state, end.placement.task
        job = state.jobs.get(end.placement.job)
        if job is None:
            return
        state.unsettled[job.id] -= 1
        if not end.done and job.may_be_placed(task):
            job.pending.append(task)
            state.pass_due = True
        if job.is_finished:
            state.dirty_jobs[job.id] = None

    def _conflict(self, txn: Txn, failed: list[str]) -> None:
        """Handle a failed transaction, of which nothing was applied."""
        if VIEW in failed:
            self.step_down("the view has moved on")
            return
        if any(not key.startswith(JOB) for key in failed) or not failed:
            # A record that only the leader writes was changed: restart from the store.
            log.error("unexpected conflict", keys=failed)
            self.step_down("its records changed")
            self.context.effects("retake", None)
            return
        self._requeue(txn)
        # An accepted record has a newer version (a cancellation); read it at once rather than
        # wait for the watch.
        self.context.effects("reread", failed)
        self.next_commit = self.context.clock() + c.RETRY_S

    def _refused(self, txn: Txn) -> None:
        """Handle a transaction that the state service rejects for its size: write less at once."""
        now = self.context.clock()
        at_minimum = self.limits.at_minimum
        self.limits.refused(now)
        self._requeue(txn)
        self.state.apply_write_limits()
        self.next_commit = now + (c.REFUSED_RETRY_S if at_minimum else c.RETRY_S)
        self.context.meters.add("transactions refused for their size")
        count = self.refused_log.due(now)
        if count:
            log.error(
                "the state service refuses the size of transactions", count=count,
                value_bytes=self.limits.value_bytes, txn_ops=self.limits.txn_ops,
            )  # fmt: skip

    def _requeue(self, txn: Txn) -> None:
        """Mark everything in a failed transaction for another commit with newer revisions."""
        state = self.state
        for job, chunks in txn.jobs:
            state.dirty_jobs[job.id] = None
            state.dirty_chunks.setdefault(job.id, set()).update(chunks)
        for job in txn.held:
            state.dirty_held[job.id] = None
        for job, tasks, command in txn.releases:
            state.releases.setdefault(job.id, []).append((tasks, command))
        for drain in txn.drains:
            state.drains.setdefault(drain.machine, []).append(drain)
        for m in txn.machines + txn.removed:
            state.dirty_machines[m.id] = None
        for m, end in txn.ends:
            state.ends.setdefault(m.id, []).append(end)
        for job in txn.finished:
            job.finishing = False
            state.dirty_jobs[job.id] = None
        if txn.history:
            state.predictor.changed = True


def _remove_machine(draft: Draft, m: Machine) -> bool:
    """Add the removal of all records of a machine; its own goes last."""
    return all(draft.add(page_item(m.id, page), None) for page in range(m.pages, -1, -1))


def final_record(job: Job, status: str) -> dict[str, Any]:
    """The permanent record of a job that is over."""
    record: dict[str, Any] = {"status": status, "done": len(job.done)}
    if job.rider is not None:
        record |= {"rider": job.rider, "outcome": job.outcome}
        if job.failed:
            record["failed"] = job.failed
    return record


def held_value(job: Job) -> list[list[int]] | None:
    """A job's held and given-up tasks as ranges; None when there are none."""
    if not job.held and not job.given_up:
        return None
    return [encode_ranges(job.held), encode_ranges(job.given_up)]


def _record_keys(job: Job) -> list[str]:
    """All keys under which progress of a job may be recorded."""
    return [
        ATTEMPT_FLOOR + job.id,
        HELD + job.id,
        *(f"{CHUNK}{job.id}/{index}" for index in sorted(job.done_bitmaps)),
    ]
