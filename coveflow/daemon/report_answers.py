"""The leader's answers to workers' reports: their orders, and how long they may be delayed."""

from __future__ import annotations

import asyncio
import heapq
import itertools

from coveflow import constants as c
from coveflow.core.model import Machine, Order, Report
from coveflow.daemon.around import Around
from coveflow.daemon.book import Book
from coveflow.daemon.commands import Held
from coveflow.daemon.inbox import Inbox
from coveflow.logs import Log, Seldom

log = Log("coveflow.owner")


class ReportAnswers:
    """Answers reports at once, or keeps them pending for a commit or new work."""

    def __init__(self, around: Around, inbox: Inbox, book: Book) -> None:
        self.around, self.inbox, self.book = around, inbox, book
        self.params = around.settings.params
        self.due: list[tuple[float, int, str]] = []  # deadlines of pending answers, a heap
        self.sequence = itertools.count()
        self.unplaced_log = Seldom()

    def answer_or_hold(
        self,
        m: Machine,
        report: Report,
        reply: asyncio.Future[bytes | None],
        for_commit: bool,
        now: float,
        patient: bool,
    ) -> None:
        pending = Held(report, reply, 0.0, for_commit, now)
        # The machine was silent until recently: its lease is about to end, so answer at once.
        urgent = now - m.resumed_at < self.book.patience
        if for_commit and not urgent:
            # Committing these ends often yields the next run for the same worker.
            pending.until = now + c.HOLD_ANSWER_S
        elif (
            patient
            and not urgent
            and not self.orders(m, report, peek=True)
            and self._has_free_capacity(m)
        ):
            pending.until = now + c.IDLE_ANSWER_PART * self.params.workers.report_s
        if pending.until > now:
            self.book.held[m.id] = pending
            heapq.heappush(self.due, (pending.until, next(self.sequence), m.id))
        else:
            self.answer(m, pending)

    def _has_free_capacity(self, m: Machine) -> bool:
        """Whether it has free capacity, so that work arriving soon can go in this answer."""
        return m.ends_at is None and not m.returning and m.cpus >= 0.5

    def answer(self, m: Machine, pending: Held) -> None:
        if not pending.waits():
            return
        orders = self.orders(m, pending.report)
        m.last_answered_at = self.around.clock()
        m.answer_receipt.record_answer(pending.report, orders, m.last_answered_at)
        pending.give(self.around.answer(self.book.leading, orders))

    def orders(self, m: Machine, report: Report, peek: bool = False) -> list[Order]:
        """Orders for the worker, given its report. `run` and `clear` are sent only this way."""
        orders: list[Order] = []
        present: set[tuple[str, int, int]] = set()
        for t in report.tasks:
            key = (t.job, t.task, t.number)
            present.add(key)
            p = m.placements.get(key)
            if t.state == "exited":
                # Clear an end only after its commit: until then the report is the only proof of it.
                if p is None and key not in m.uncommitted_ends:
                    orders.append(Order("clear", *key))
            elif p is None and self.inbox.cancelled(t.job):
                orders.append(Order("stop", *key))  # whichever leader started it
            elif p is None:
                if key not in m.uncommitted_ends and report.epoch == self.book.leading:
                    count = 0 if peek else self.unplaced_log.due(self.around.clock())
                    if count:
                        log.warning(
                            "tasks run without a placement", count=count, machine=m.id,
                            job=t.job, task=t.task, number=t.number,
                        )  # fmt: skip
                    orders.append(Order("stop", *key))
            elif p.stopping and (t.state != "flushing" or p.grace_s <= 0):
                orders.append(Order("stop", *key, grace_s=p.grace_s))
        for p in m.placements.values():
            if p.committed and not p.stopping and p.key not in present:
                job = self.book.jobs[p.job]
                if p.tenure != m.tenure or job.may_have_run_unreported(p):
                    continue
                if self.inbox.cancelled(p.job):
                    continue  # the in-memory state may learn of the cancellation later
                orders.append(Order("run", *p.key))
                if not peek:
                    if p.sent_with_report < 0:
                        self.book.tell(
                            "told", job=p.job, task=p.task, number=p.number, machine=m.id
                        )
                        waited = self.around.clock() - p.placed_at
                        self.around.meters.record_duration("placed to told", waited)
                    p.sent_with_report = report.counter
        return orders

    def flush(self, now: float) -> None:
        """Send pending answers that are ready or past their deadline, without a full scan."""
        book = self.book
        candidates, book.hot = book.hot, {}
        while self.due and self.due[0][0] <= now:
            candidates[heapq.heappop(self.due)[2]] = None
        for machine in candidates:
            pending = book.held.get(machine)
            if pending is None:
                continue
            m = book.machines.get(machine)
            if m is None or not pending.waits():
                del book.held[machine]
                pending.give(None)
                continue
            if pending.for_commit:
                # Wait for the planning pass after the commit of the ends: an answer sent before it
                # would leave the freed capacity unused until the following report.
                ready = (
                    not m.uncommitted_ends
                    and machine not in book.dirty_machines
                    and book.passed_at >= pending.since
                )
            else:
                ready = any(
                    p.committed
                    and not p.stopping
                    and p.sent_with_report < pending.report.counter
                    and not p.state
                    for p in m.placements.values()
                )
            if ready or now >= pending.until:
                del book.held[machine]
                self.answer(m, pending)
