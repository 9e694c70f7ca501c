"""Reports at the leader: from all sources, queued for the owner and answered once it replies."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from coveflow import constants as c
from coveflow import wire
from coveflow.core.arrivals import Arrivals
from coveflow.core.model import Report
from coveflow.daemon.commands import ReportReceived
from coveflow.daemon.malformed_input import MalformedInputLog
from coveflow.daemon.owner import Owner
from coveflow.membership.peers import Peers
from coveflow.membership.report_batches import BatchedAnswer, BatchReceiver


class ReportIntake:
    """Accepts reports of the leader's own workers, relayed reports and home nodes' batches."""

    def __init__(
        self,
        owner: Owner,
        peers: Peers,
        arrivals: Arrivals,
        unreadable: MalformedInputLog,
        clock: Callable[[], float],
    ) -> None:
        self.owner, self.peers, self.clock = owner, peers, clock
        self.arrivals, self.unreadable = arrivals, unreadable
        self.inlet = BatchReceiver(clock)
        self.pending_answers: set[asyncio.Task[None]] = set()

    def may_renew(self) -> bool:
        """Whether a lease renewed now ends before any unknown cancellation's deadline."""
        return self.owner.cancellations.may_renew(self.clock())

    async def answer(self, report: Report, patient: bool = True) -> bytes | None:
        """The owner's answer to the report; None if there is none before the worker's timeout.

        The answer to a `patient` report may be delayed until there is new work.
        """
        reply: asyncio.Future[bytes | None] = asyncio.get_running_loop().create_future()
        self.owner.put(ReportReceived(report, reply, patient))
        try:
            return await asyncio.wait_for(reply, c.REPORT_ANSWER_TIMEOUT_S)
        except TimeoutError:
            return None  # the worker's request has timed out by now

    def record_evidence(self, report: Report) -> None:
        """Record a redirected worker's report as evidence; the redirect was its answer."""
        no_reply = BatchedAnswer((report.machine, report.tenure, report.counter), [])
        self.owner.put(ReportReceived(report, no_reply, expects_answer=False))

    async def answer_relayed(self, body: bytes) -> bytes | None:
        """Answer a report relayed by another node; None if it can't be answered."""
        if not self.owner.leading or not self.may_renew():
            return None
        try:
            return await self.answer(wire.read_report(body))
        except wire.Malformed:
            return None

    async def answer_batch(self, _: str, body: bytes) -> tuple[int, bytes]:
        """Accept a home node's batch; returns status and body, with all answers ready for it."""
        if not self.owner.leading or not self.may_renew():
            return 503, b""
        try:
            data = wire.unpack(body)
            boot, bodies = str(data["boot"]), list(data["reports"])
            redirected = list(data.get("seen") or ())  # reports of workers that were redirected
        except (wire.Malformed, KeyError, TypeError):
            return 400, b""
        self.arrivals.record_batch(self.clock())
        for report in self.unreadable.decode_reports(bodies):
            key = (report.machine, report.tenure, report.counter)
            self.owner.put(ReportReceived(report, self.inlet.open_answer(boot, key)))
        for report in self.unreadable.decode_reports(redirected):
            self.record_evidence(report)
        await asyncio.sleep(0)  # lets the owner process them first
        answers = self.inlet.collect(boot)
        answer: dict[str, Any] = {"epoch": self.owner.leading, "answers": answers}
        if data.get("ask"):
            answer["info"] = self.peers.info()  # replaces a ping
        return 200, wire.pack(answer)

    def answer_pending(self, report: Report, answered: asyncio.Future[Any], patient: bool) -> None:
        """Answer a report that was waiting for the previous leader when this node became leader."""
        task = asyncio.get_running_loop().create_task(self._answer_into(report, answered, patient))
        self.pending_answers.add(task)
        task.add_done_callback(self.pending_answers.discard)

    async def _answer_into(
        self, report: Report, answered: asyncio.Future[Any], patient: bool
    ) -> None:
        answer = await self.answer(report, patient)
        if not answered.done() and answer is not None:
            answered.set_result(answer)
