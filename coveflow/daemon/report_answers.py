"""The leader's answers to workers' reports: their orders, and how long they may be delayed."""

from __future__ import annotations

import asyncio
import heapq
import itertools

from coveflow import constants as c
from coveflow.core.model import Machine, Order, Report
from coveflow.daemon.commands import PendingAnswer
from coveflow.daemon.context import NodeContext
from coveflow.daemon.inbox import Inbox
from coveflow.daemon.leader_state import LeaderState
from coveflow.logs import Log, LogThrottle

log = Log("coveflow.owner")


class ReportAnswers:
    """Answers reports at once, or keeps them pending for a commit or new work."""

    def __init__(self, context: NodeContext, inbox: Inbox, state: LeaderState) -> None:
        self.context, self.inbox, self.state = context, inbox, state
        self.params = context.settings.params
        self.due: list[tuple[float, int, str]] = []  # deadlines of pending answers, a heap
        self.sequence = itertools.count()
        self.unplaced_log = LogThrottle()

    def answer_or_hold(
        self,
        m: Machine,
        report: Report,
        reply: asyncio.Future[bytes | None],
        for_commit: bool,
        now: float,
        patient: bool,
    ) -> None:
        pending = PendingAnswer(report, reply, 0.0, for_commit, now)
        # The machine was silent until recently: its lease is about to end, so answer at once.
        urgent = now - m.resumed_at < self.state.report_timeout_s
        if for_commit and not urgent:
            # Committing these ends often yields the next run for the same worker.
            pending.deadline = now + c.ANSWER_COMMIT_WAIT_S
        elif (
            patient
            and not urgent
            and not self.orders(m, report, peek=True)
            and self._has_free_capacity(m)
        ):
            pending.deadline = now + c.IDLE_ANSWER_SHARE * self.params.workers.report_s
        if pending.deadline > now:
            self.state.pending_answers[m.id] = pending
            heapq.heappush(self.due, (pending.deadline, next(self.sequence), m.id))
        else:
            self.answer(m, pending)

    def _has_free_capacity(self, m: Machine) -> bool:
        """Whether it has free capacity, so that work arriving soon can go in this answer."""
        return m.ends_at is None and not m.returning and m.cpus >= 0.5

    def answer(self, m: Machine, pending: PendingAnswer) -> None:
        if not pending.is_awaited():
            return
        orders = self.orders(m, pending.report)
        m.last_answered_at = self.context.clock()
        m.answer_receipt.record_answer(pending.report, orders, m.last_answered_at)
        pending.resolve(self.context.encode_answer(self.state.leading, orders))

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
                if key not in m.uncommitted_ends and report.epoch == self.state.leading:
                    count = 0 if peek else self.unplaced_log.due(self.context.clock())
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
                job = self.state.jobs[p.job]
                if p.tenure != m.tenure or job.may_have_run_unreported(p):
                    continue
                if p.state:
                    continue  # it ran, so a late report can prove the end of this number
                if self.inbox.cancelled(p.job):
                    continue  # the in-memory state may learn of the cancellation later
                orders.append(Order("run", *p.key))
                if not peek:
                    if p.sent_with_report < 0:
                        self.state.tell(
                            "told", job=p.job, task=p.task, number=p.number, machine=m.id
                        )
                        waited = self.context.clock() - p.placed_at
                        self.context.meters.record_duration("placed to told", waited)
                    p.sent_again |= 0 <= p.sent_with_report < report.counter
                    p.sent_with_report = report.counter
        return orders

    def flush(self, now: float) -> None:
        """Send pending answers that are ready or past their deadline, without a full scan."""
        state = self.state
        candidates, state.answers_to_check = state.answers_to_check, {}
        while self.due and self.due[0][0] <= now:
            candidates[heapq.heappop(self.due)[2]] = None
        for machine in candidates:
            pending = state.pending_answers.get(machine)
            if pending is None:
                continue
            m = state.machines.get(machine)
            if m is None or not pending.is_awaited():
                del state.pending_answers[machine]
                pending.resolve(None)
                continue
            if pending.for_commit:
                # Wait for the planning pass after the commit of the ends: an answer sent before it
                # would leave the freed capacity unused until the following report.
                ready = (
                    not m.uncommitted_ends
                    and machine not in state.dirty_machines
                    and state.last_pass_at >= pending.received_at
                )
            else:
                ready = any(
                    p.committed
                    and not p.stopping
                    and p.sent_with_report < pending.report.counter
                    and not p.state
                    for p in m.placements.values()
                )
            if ready or now >= pending.deadline:
                del state.pending_answers[machine]
                self.answer(m, pending)
