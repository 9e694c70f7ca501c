"""Forwarding of worker reports to the leader in batches, and return of the leader's answers.

A worker reports to its home node, but only the leader decides. The response to a batch contains
all answers that are ready for that home node at the time, so an answer that is delayed at the
leader by a commit or by missing work does not delay others. When leadership changes, all pending
reports are sent to the new leader at once, so that it learns the state of most of the fleet
immediately, even if the old leader is gone.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

import msgspec

from coveflow import constants as c
from coveflow import wire
from coveflow.logs import Log
from coveflow.membership.peers import BATCH_PATH, Peer, Peers
from coveflow.net.http import ConnectionRefused, Unavailable

log = Log("coveflow.carry")

ReportKey = tuple[str, int, int]  # machine, tenure and counter of a report
# The leader's process and its epoch. The epoch matters because a process that lost leadership and
# regained it has no record of earlier reports.
Leadership = tuple[str, int]


class PendingReport(msgspec.Struct, eq=False):
    """A report that is waiting for the leader's answer."""

    key: ReportKey
    body: bytes
    future: asyncio.Future[bytes | None]
    sent_to: Leadership | None = None  # None: not sent, or the batch failed


class BatchAnswer(msgspec.Struct):
    """The leader's response to a batch: the answers ready for the home node, and its status."""

    epoch: int
    answers: list[tuple[str, int, int, bytes]]  # machine, tenure and counter of the report answered
    info: Any = None


def read_batch_answer(body: bytes) -> BatchAnswer:
    try:
        return msgspec.convert(wire.unpack(body), BatchAnswer)
    except (msgspec.ValidationError, TypeError, OverflowError) as error:
        raise wire.Malformed(str(error)) from error


class BatchSender:
    """The home node's side: pending reports, and the loop that sends them to the leader."""

    def __init__(self, peers: Peers, leader: Callable[[], str], epoch: Callable[[], int]) -> None:
        self.peers, self.leader, self.epoch = peers, leader, epoch
        self.waiting: dict[str, PendingReport] = {}
        self.observed: dict[str, bytes] = {}  # by machine: reports that were redirected elsewhere
        self.in_flight: set[asyncio.Task[None]] = set()
        self.work_available = asyncio.Event()

    async def ask(self, key: ReportKey, body: bytes, wait_s: float) -> bytes | None:
        """The leader's answer to exactly this report, or None if none arrives within `wait_s`."""
        previous = self.waiting.pop(key[0], None)
        if previous is not None and not previous.future.done():
            previous.future.set_result(None)  # the worker has abandoned that report
        future: asyncio.Future[bytes | None] = asyncio.get_running_loop().create_future()
        self.waiting[key[0]] = pending = PendingReport(key, body, future)
        self.work_available.set()
        try:
            return await asyncio.wait_for(future, wait_s)
        except TimeoutError:
            return None
        finally:
            if self.waiting.get(key[0]) is pending:
                del self.waiting[key[0]]

    def add_redirected(self, machine: str, body: bytes) -> None:
        """Pass on a report whose machine was redirected; the leader records it without answering.

        A machine that receives no answers goes from node to node, and each of them redirects it.
        Without these copies the leader received one report in 25 s from such a machine, and
        returned the machines of a zone with a one-way partition as silent.
        """
        if len(self.observed) < c.REPORT_BATCH_REDIRECTED:
            self.observed[machine] = body
            self.work_available.set()

    async def run(self) -> None:
        polled_at = 0.0
        while True:
            if not self.waiting and not self.observed:
                self.work_available.clear()
                await self.work_available.wait()
            peer = self.peers.get(self.leader())
            if (
                peer is not None
                and peer.refuses_connections
                and self.peers.all_refuse_connections()
            ):
                self._fail_pending()
            elif peer is not None and self._leader_reachable(peer):
                leadership = (peer.boot, self.epoch())
                new = [report for report in self.waiting.values() if report.sent_to != leadership]
                now = self.peers.clock()
                if new or self.observed or now - polled_at >= c.REPORT_BATCH_POLL_S:
                    polled_at = now
                    await self._wait_for_free_request()
                    self._start_batch(peer, leadership, next_batch(new))
            else:
                self.observed.clear()  # outdated by the time the leader is reachable again
            await asyncio.sleep(c.REPORT_BATCH_INTERVAL_S)

    def _fail_pending(self) -> None:
        """The leader is unreachable from here: end all waits now rather than at their timeouts."""
        for report in self.waiting.values():
            if not report.future.done():
                report.future.set_result(None)

    def _leader_reachable(self, peer: Peer) -> bool:
        """Whether the leader is reachable.

        A recent response suffices: suspicion is cleared only after a calm period, and a leader
        that just restarted needs the reports of its fleet before that.
        """
        return (
            self.peers.suspicion.reachable(peer.member.name)
            or self.peers.clock() - peer.answered_at < c.REPORT_BATCH_CONTACT_S
        )

    async def _wait_for_free_request(self) -> None:
        if len(self.in_flight) >= c.REPORT_BATCHES_IN_FLIGHT:
            await asyncio.wait(self.in_flight, return_when=asyncio.FIRST_COMPLETED)

    def _start_batch(self, peer: Peer, leadership: Leadership, batch: list[PendingReport]) -> None:
        for report in batch:
            report.sent_to = leadership
        task = asyncio.get_running_loop().create_task(self._send_batch(peer, leadership, batch))
        self.in_flight.add(task)
        task.add_done_callback(self.in_flight.discard)

    async def _send_batch(
        self, peer: Peer, leadership: Leadership, batch: list[PendingReport]
    ) -> None:
        sent = self.peers.clock()
        wants_status = sent - peer.answered_at >= c.PING_S * c.REPORT_BATCH_STATUS_PINGS
        observed, self.observed = list(self.observed.values()), {}
        body = {
            "boot": self.peers.boot,
            "reports": [report.body for report in batch],
            "ask": wants_status,
        }
        if observed:
            body["seen"] = observed
        try:
            status, reply = await peer.client.request(
                "POST", BATCH_PATH, body=wire.pack(body), timeout_s=c.REPORT_BATCH_TIMEOUT_S
            )
            if status != 200:
                raise Unavailable(f"batch: status {status}")
            batch_answer = read_batch_answer(reply)
            self._deliver_answers(batch_answer)
            if batch_answer.info is not None:
                self.peers.apply_status(peer, batch_answer.info, sent)
        except (Unavailable, wire.Malformed) as error:
            log.debug("batch not accepted", leader=peer.member.name, why=error)
            peer.refuses_connections = isinstance(error, ConnectionRefused)
            for report in batch:
                if report.sent_to == leadership:
                    report.sent_to = None  # safe to resend: a duplicate is answered, not reapplied

    def _deliver_answers(self, batch_answer: BatchAnswer) -> None:
        if batch_answer.epoch < self.epoch():
            return  # from a deposed leader: workers that know the newer epoch would discard it
        for machine, tenure, counter, answer in batch_answer.answers:
            pending = self.waiting.get(machine)
            # An answer is valid for its own report only: a run order that answers an older report
            # would reach the worker too late.
            if (
                pending is not None
                and pending.key == (machine, tenure, counter)
                and not pending.future.done()
            ):
                pending.future.set_result(answer)


def next_batch(new: list[PendingReport]) -> list[PendingReport]:
    """The longest prefix of the reports that fits in one request.

    The receiver rejects larger bodies, and would reject every retry too: a report of a machine
    with 64 CPUs takes several KiB, and 200 of them exceed the limit.
    """
    size = 0
    for i, report in enumerate(new):
        size += len(report.body)
        if size > c.REPORT_BATCH_BYTES and i:
            return new[:i]
    return new


class BatchedAnswer:
    """Stands in for the future of a batched report; the answer joins the home's next response."""

    __slots__ = ("answered", "key", "ready")

    def __init__(self, key: ReportKey, ready: list[list[Any]]) -> None:
        self.key, self.ready, self.answered = key, ready, False

    def done(self) -> bool:
        return self.answered

    def set_result(self, answer: bytes | None) -> None:
        self.answered = True
        if answer is not None:
            self.ready.append([*self.key, answer])


class BatchReceiver:
    """The leader's side: answers that are ready to return, by home process."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self.clock = clock
        self.ready: dict[str, list[list[Any]]] = {}
        self.polled_at: dict[str, float] = {}

    def open_answer(self, boot: str, key: ReportKey) -> BatchedAnswer:
        return BatchedAnswer(key, self.ready.setdefault(boot, []))

    def collect(self, boot: str) -> list[list[Any]]:
        """The answers ready for this home process; those of homes that stopped polling expire."""
        now = self.clock()
        self.polled_at[boot] = now
        for other in [b for b, at in self.polled_at.items() if now - at > c.REPORT_BATCH_ANSWER_S]:
            del self.polled_at[other]
            self.ready.pop(other, None)
        ready = self.ready.get(boot)
        if not ready:
            return []
        # The list object is kept because open answers still append to it.
        answers = ready[:]
        ready.clear()
        return answers
