"""The leader's transactions: built from what changed, settled by the store's word."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from coveflow import constants as c
from coveflow.core.model import Job, Machine, encode_ranges
from coveflow.daemon.around import Around
from coveflow.daemon.book import Book
from coveflow.daemon.commands import End, Release, Settled, Txn
from coveflow.daemon.inbox import Inbox
from coveflow.logs import Log
from coveflow.state.keys import (
    ATTEMPT_FLOOR,
    CHUNK,
    FINAL_RECORD,
    HELD,
    HISTORY,
    JOB,
    MACHINE,
    VIEW,
)
from coveflow.state.records import Draft, encoded_size

log = Log("coveflow.owner")


class Commits:
    def __init__(
        self,
        around: Around,
        inbox: Inbox,
        book: Book,
        step_down: Callable[[str], None],
    ) -> None:
        self.around, self.inbox, self.book = around, inbox, book
        self.step_down = step_down
        self.params = around.settings.params
        self.in_flight: Txn | None = None
        self.next_commit = 0.0
        self.history_rev = 0
        self.history_at = 0.0
        self.history_due = False
        self.told = 0  # ends told to another interface in this lead, failed transactions included

    def tick(self, now: float) -> None:
        if self.book.predictor.changed and now - self.history_at > c.HISTORY_WRITE_S:
            self.history_at, self.history_due = now, True

    def due(self, now: float) -> None:
        """Send the next transaction if none is under way and something changed."""
        if self.in_flight is not None or now < self.next_commit:
            return
        txn = self._build()
        if txn is not None:
            self.in_flight = txn
            self.next_commit = now + c.COMMIT_PACE_S
            self.around.effects("commit", txn)

    # --- building ----------------------------------------------------------------------

    def _build(self) -> Txn | None:
        """The next transaction: progress of jobs first, then machines, then finished jobs.

        A machine's record gives up an attempt only together with, or after, the job's record
        of that end; otherwise a new leader could lose a done task or reuse a number.
        """
        limit = self.params.state.txn_ops
        txn = Txn({VIEW: self.book.rev}, {})
        # Half of the changes and of the bytes at least stay for jobs that end.
        slots = max(1, min(c.SLOTS_TXN, limit // 2))
        draft = txn.draft = self.book.records.draft(slots, c.TXN_BYTES)
        finish: list[Job] = []
        if self._add_jobs(txn, draft, finish):
            self._add_machines(txn, draft)
            self._add_finished(txn, draft, finish, limit)
        for key, rev, value in draft.rows():
            txn.guards[key] = rev
            txn.writes[key] = value
        if self.history_due and len(txn.writes) < limit:
            self._add_history(txn)
        return txn if txn.writes else None

    def _add_history(self, txn: Txn) -> None:
        most = min(c.HISTORY_BYTES, int(self.params.state.value_kb * 1024 * 0.8))
        txn.guards[HISTORY] = self.history_rev
        txn.writes[HISTORY] = self.book.predictor.dump(most)
        txn.history = True
        self.history_due = False
        self.book.predictor.changed = False

    def _add_jobs(self, txn: Txn, draft: Draft, finish: list[Job]) -> bool:
        """Progress of jobs; whether all of it fits, without which no machine may follow."""
        book = self.book
        for name in list(book.dirty_jobs):
            job = book.jobs.get(name)
            if job is None:
                del book.dirty_jobs[name]
                continue
            if job.is_finished and not job.finishing:
                finish.append(job)
                if not book.unsettled.get(name):
                    continue  # all its ends are committed: the final record says the rest
            chunks = book.dirty_chunks.get(name, set())
            whole = (
                not job.last_attempt_number
                or book.records.values.get(ATTEMPT_FLOOR + name) == job.last_attempt_number
                or draft.add(ATTEMPT_FLOOR + name, job.last_attempt_number)
            ) and all(draft.add(f"{CHUNK}{name}/{i}", job.encode_chunk(i)) for i in sorted(chunks))
            # Before its machine's record gives the attempt up: a new leader must hold it too.
            held = name in book.held_due
            if held:
                whole = whole and draft.add(HELD + name, held_value(job))
            if not whole:
                return False
            txn.jobs.append((job, chunks))
            txn.done.append((job, len(job.done)))
            if held:
                del book.held_due[name]
                txn.held.append(job)
                txn.releases += [(job, *row) for row in book.releases.pop(name, [])]
            del book.dirty_jobs[name]
            book.dirty_chunks.pop(name, None)
        return True

    def _add_machines(self, txn: Txn, draft: Draft) -> None:
        book = self.book
        for name in list(book.dirty_machines):
            m = book.machines.get(name)
            if m is None:
                del book.dirty_machines[name]
                continue
            removing = name in book.drop
            if removing and MACHINE + name not in book.records:
                del book.dirty_machines[name]
                self._forget_machine(m)
                continue
            if not draft.add(MACHINE + name, None if removing else m.record()):
                break
            del book.dirty_machines[name]
            (txn.removed if removing else txn.machines).append(m)
            txn.drains += book.drains.pop(name, [])
            txn.placed += [p for p in m.placements.values() if not p.committed]
            txn.ends += [(m, end) for end in book.ends.pop(name, [])]

    def _add_finished(self, txn: Txn, draft: Draft, finish: list[Job], limit: int) -> None:
        riders = 0  # bytes of other interfaces' records
        for job in finish:
            if job.rider is not None:
                # Records of slots may fill a transaction but for a rest; riders go into that.
                first = not riders
                riders += encoded_size(job.id, final_record(job, "cancelled"))
                if riders > c.RIDERS_BYTES and not first:
                    break
            if len(draft.contents) + len(txn.writes) + 2 > limit - 1 - bool(self.around.finals):
                break
            # A final record guards the row of the cancellation, which is on its way: without it the
            # whole transaction failed, with starts that had nothing to do with it.
            if self.book.unsettled.get(job.id) or job.awaits_cancel_record:
                continue
            if not all(draft.add(item, None) for item in _items(job)):
                break
            self._add_final_record(txn, job)
        self._add_news_of_ends(txn)

    def _add_final_record(self, txn: Txn, job: Job) -> None:
        status = "done" if job.is_complete and job.cancelled is None else "cancelled"
        txn.guards[FINAL_RECORD + job.id] = 0
        txn.writes[FINAL_RECORD + job.id] = final_record(job, status)
        # Guarding the accepted record settles the race with a cancellation.
        txn.guards[JOB + job.id] = job.rev
        txn.writes[JOB + job.id] = None
        job.finishing = True
        txn.finished.append(job)
        self.book.dirty_jobs.pop(job.id, None)

    def _add_news_of_ends(self, txn: Txn) -> None:
        """For another interface, under a key of its own: nothing can collide."""
        if self.around.finals is None or not txn.finished:
            return
        ended = {job.id: txn.writes[FINAL_RECORD + job.id] for job in txn.finished}
        self.told += 1
        for key, value in self.around.finals(f"{self.book.leading}-{self.told}", ended).items():
            txn.guards[key] = 0
            txn.writes[key] = value

    # --- settling ----------------------------------------------------------------------

    def settled(self, command: Settled) -> None:
        if command.txn is not self.in_flight:
            return
        self.in_flight = None
        if command.rev is None:
            self._conflict(command.txn, command.conflict or [])
        else:
            self._applied(command.txn, command.rev)

    def _applied(self, txn: Txn, rev: int) -> None:
        book = self.book
        if txn.draft is not None:
            book.records.mark_committed(txn.draft, rev)
        if txn.history:
            self.history_rev = rev
        book.hot.update((m.id, None) for m in txn.machines)
        self._measure(txn)
        for p in txn.placed:
            p.committed = True
        for job, done in txn.done:
            job.done_committed = max(job.done_committed, done)
        for m, end in txn.ends:
            m.uncommitted_ends.discard(end.placement.key)
            self._settle_end(end)
        for job, tasks, command in txn.releases:
            self._released(job, tasks, command)
        for drain in txn.drains:
            if not drain.reply.done():
                drain.reply.set_result({"machine": drain.machine, "draining": drain.on})
        for m in txn.removed:
            self._forget_machine(m)
        for job in txn.finished:
            self._finished(job, txn.writes[FINAL_RECORD + job.id], rev)

    def _measure(self, txn: Txn) -> None:
        meters, now = self.around.meters, self.around.clock()
        for p in txn.placed:
            meters.record_duration("start committed", now - p.placed_at)
        for _, end in txn.ends:
            meters.record_duration("end committed", now - end.at)

    def _finished(self, job: Job, record: dict[str, Any], rev: int) -> None:
        """The job's final record is committed."""
        status = record["status"]
        log.info("job over", job=job.id, status=status)
        self.book.tell("over", job=job.id, status=status, done=len(job.done))
        self.book.jobs.pop(job.id, None)
        self.book.unsettled.pop(job.id, None)
        self.inbox.ended(job.id, record, rev)

    def _released(self, job: Job, tasks: list[int], command: Release) -> None:
        """An operator's word is committed: it counts, and the operator hears so."""
        for task in tasks:
            self.book.tell("released", job=job.id, task=task, again=command.again)
            if command.again and job.may_be_placed(task):
                job.pending.append(task)
        log.info("held tasks released", job=job.id, tasks=len(tasks), again=command.again)
        self.book.pass_due = True
        if not command.reply.done():
            command.reply.set_result({"job": job.id, "tasks": tasks, "again": command.again})

    def _forget_machine(self, m: Machine) -> None:
        self.book.machines.pop(m.id, None)
        self.book.drop.pop(m.id, None)
        for end in self.book.ends.pop(m.id, []):
            # On a machine that was never recorded an end has nothing to commit.
            self._settle_end(end)
            self.book.dirty_jobs[end.placement.job] = None
            self.book.pass_due = True

    def _settle_end(self, end: End) -> None:
        """The attempt's end is on record: its task may run again, and its job may be over."""
        book, task = self.book, end.placement.task
        job = book.jobs.get(end.placement.job)
        if job is None:
            return
        book.unsettled[job.id] -= 1
        if not end.done and job.may_be_placed(task):
            job.pending.append(task)
            book.pass_due = True
        if job.is_finished:
            book.dirty_jobs[job.id] = None

    def _conflict(self, txn: Txn, failed: list[str]) -> None:
        """Nothing of it was applied."""
        if VIEW in failed:
            self.step_down("the view has moved on")
            return
        if any(not key.startswith(JOB) for key in failed) or not failed:
            # A record only the leader writes is not as it left it: start again from the store.
            log.error("unexpected conflict", keys=failed)
            self.step_down("its records changed")
            self.around.effects("retake", None)
            return
        self._due_again(txn)
        # The accepted record's newer version (a cancellation) is on its way; read it at once.
        self.around.effects("reread", failed)
        self.next_commit = self.around.clock() + c.RETRY_S

    def _due_again(self, txn: Txn) -> None:
        """Everything in it is to be committed, with newer revisions."""
        book = self.book
        for job, chunks in txn.jobs:
            book.dirty_jobs[job.id] = None
            book.dirty_chunks.setdefault(job.id, set()).update(chunks)
        for job in txn.held:
            book.held_due[job.id] = None
        for job, tasks, command in txn.releases:
            book.releases.setdefault(job.id, []).append((tasks, command))
        for drain in txn.drains:
            book.drains.setdefault(drain.machine, []).append(drain)
        for m in txn.machines + txn.removed:
            book.dirty_machines[m.id] = None
        for m, end in txn.ends:
            book.ends.setdefault(m.id, []).append(end)
        for job in txn.finished:
            job.finishing = False
            book.dirty_jobs[job.id] = None
        if txn.history:
            book.predictor.changed = True


def final_record(job: Job, status: str) -> dict[str, Any]:
    """What the store keeps of a job for ever."""
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


def _items(job: Job) -> list[str]:
    """All items that the records may hold of a job."""
    return [
        ATTEMPT_FLOOR + job.id,
        HELD + job.id,
        *(f"{CHUNK}{job.id}/{index}" for index in sorted(job.done_bitmaps)),
    ]
