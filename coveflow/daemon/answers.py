"""Answers of the leader to workers' reports: the orders they bring, and how long they may wait."""

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


class Answers:
    def __init__(self, around: Around, inbox: Inbox, book: Book) -> None:
        self.around, self.inbox, self.book = around, inbox, book
        self.params = around.settings.params
        self.due: list[tuple[float, int, str]] = []  # ends of waiting, a heap
        self.due_no = itertools.count()
        self.unasked = Seldom()

    def answer_or_hold(
        self,
        m: Machine,
        report: Report,
        reply: asyncio.Future[bytes | None],
        news: bool,
        now: float,
        patient: bool,
    ) -> None:
        held = Held(report, reply, 0.0, news, now)
        # Just heard again, its lease is about to end, and an answer that waits comes too late.
        hasty = now - m.resumed_at < self.book.patience
        if news and not hasty:
            # The commit of these ends will often bring the next run for the same worker.
            held.until = now + c.HOLD_ANSWER_S
        elif patient and not hasty and not self.orders(m, report, peek=True) and self._may_wait(m):
            held.until = now + c.IDLE_ANSWER_PART * self.params.workers.report_s
        if held.until > now:
            self.book.held[m.id] = held
            heapq.heappush(self.due, (held.until, next(self.due_no), m.id))
        else:
            self.answer(m, held)

    def _may_wait(self, m: Machine) -> bool:
        """A machine with room may be sent work in this answer if some turns up soon."""
        return m.ends_at is None and not m.returning and m.cpus >= 0.5

    def answer(self, m: Machine, held: Held) -> None:
        if not held.waits():
            return
        orders = self.orders(m, held.report)
        m.last_answered_at = self.around.clock()
        m.answer_receipt.record_answer(held.report, orders, m.last_answered_at)
        held.give(self.around.answer(self.book.leading, orders))

    def orders(self, m: Machine, report: Report, peek: bool = False) -> list[Order]:
        """What the worker should do, given what it last said. `run` and `clear` go only here."""
        orders: list[Order] = []
        present: set[tuple[str, int, int]] = set()
        for t in report.tasks:
            key = (t.job, t.task, t.number)
            present.add(key)
            p = m.placements.get(key)
            if t.state == "exited":
                # An end is cleared only after its commit: the report is its only proof.
                if p is None and key not in m.uncommitted_ends:
                    orders.append(Order("clear", *key))
            elif p is None and self.inbox.cancelled(t.job):
                orders.append(Order("stop", *key))  # whoever started it
            elif p is None:
                if key not in m.uncommitted_ends and report.epoch == self.book.leading:
                    count = 0 if peek else self.unasked.due(self.around.clock())
                    if count:
                        log.warning(
                            "tasks run unasked", count=count, machine=m.id, job=t.job, task=t.task,
                            number=t.number,
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
                    continue  # by whatever word: the book may hear of it a moment later
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
        """Answer what is ready or has waited long enough, without a look at the rest."""
        book = self.book
        look, book.hot = book.hot, {}
        while self.due and self.due[0][0] <= now:
            look[heapq.heappop(self.due)[2]] = None
        for machine in look:
            held = book.held.get(machine)
            if held is None:
                continue
            m = book.machines.get(machine)
            if m is None or not held.waits():
                del book.held[machine]
                held.give(None)
                continue
            if held.for_commit:
                # With the ends goes the next run: an answer sent between the commit of an end
                # and the next pass left the room empty until the following report.
                ready = (
                    not m.uncommitted_ends
                    and machine not in book.dirty_machines
                    and book.passed_at >= held.since
                )
            else:
                ready = any(
                    p.committed
                    and not p.stopping
                    and p.sent_with_report < held.report.counter
                    and not p.state
                    for p in m.placements.values()
                )
            if ready or now >= held.until:
                del book.held[machine]
                self.answer(m, held)
