"""Reports at the leader: put to the owner, wherever they come from, and answered when it says."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from coveflow import constants as c
from coveflow import wire
from coveflow.core.arrivals import Arrivals
from coveflow.core.model import Report
from coveflow.daemon.commands import Heard
from coveflow.daemon.owner import Owner
from coveflow.daemon.unreadable import Unreadable
from coveflow.membership.peers import Peers
from coveflow.membership.report_batches import BatchedAnswer, BatchReceiver


class Intake:
    """The leader's way in for reports: its own workers', relayed ones and homes' batches."""

    def __init__(
        self,
        owner: Owner,
        peers: Peers,
        arrivals: Arrivals,
        unreadable: Unreadable,
        clock: Callable[[], float],
    ) -> None:
        self.owner, self.peers, self.clock = owner, peers, clock
        self.arrivals, self.unreadable = arrivals, unreadable
        self.inlet = BatchReceiver(clock)
        self.adopting: set[asyncio.Task[None]] = set()

    def may_renew(self) -> bool:
        """Whether a lease renewed now still ends before any unknown cancellation's limit."""
        return self.owner.cancellations.may_renew(self.clock())

    async def answer(self, report: Report, patient: bool = True) -> bytes | None:
        """The owner's answer to the report; None if it gave none while the worker waits.

        A `patient` report may wait for new work.
        """
        reply: asyncio.Future[bytes | None] = asyncio.get_running_loop().create_future()
        self.owner.put(Heard(report, reply, patient))
        try:
            return await asyncio.wait_for(reply, c.ANSWER_S)
        except TimeoutError:
            return None  # the worker has given up by now

    def take_evidence(self, report: Report) -> None:
        """Take in a report that is evidence; its worker was redirected, which is answer enough."""
        unasked = BatchedAnswer((report.machine, report.tenure, report.counter), [])
        self.owner.put(Heard(report, unasked, asked=False))

    async def relayed(self, body: bytes) -> bytes | None:
        """Answer a report that another node could not redirect; None if it can't be answered."""
        if not self.owner.leading or not self.may_renew():
            return None
        try:
            return await self.answer(wire.read_report(body))
        except wire.Malformed:
            return None

    async def batch(self, _: str, body: bytes) -> tuple[int, bytes]:
        """Take in a home's batch; status and body, with all that is ready for that home."""
        if not self.owner.leading or not self.may_renew():
            return 503, b""
        try:
            data = wire.unpack(body)
            boot, bodies = str(data["boot"]), list(data["reports"])
            redirected = list(data.get("seen") or ())  # reports whose workers were sent elsewhere
        except (wire.Malformed, KeyError, TypeError):
            return 400, b""
        self.arrivals.record_batch(self.clock())
        for report in self.unreadable.readable(bodies):
            key = (report.machine, report.tenure, report.counter)
            self.owner.put(Heard(report, self.inlet.open_answer(boot, key)))
        for report in self.unreadable.readable(redirected):
            self.take_evidence(report)
        await asyncio.sleep(0)  # the owner works through them first
        answers = self.inlet.collect(boot)
        answer: dict[str, Any] = {"epoch": self.owner.leading, "answers": answers}
        if data.get("ask"):
            answer["info"] = self.peers.info()  # in a ping's place
        return 200, wire.pack(answer)

    def adopt(self, report: Report, answered: asyncio.Future[Any], patient: bool) -> None:
        """Answer a report that waited for another leader when this node took the lead."""
        task = asyncio.get_running_loop().create_task(self._give(report, answered, patient))
        self.adopting.add(task)
        task.add_done_callback(self.adopting.discard)

    async def _give(self, report: Report, answered: asyncio.Future[Any], patient: bool) -> None:
        answer = await self.answer(report, patient)
        if not answered.done() and answer is not None:
            answered.set_result(answer)
