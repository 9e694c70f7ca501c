"""Handling of workers' reports that arrive by HTTP: each is answered here or redirected.

`core.redirects` decides which node should take a report, `core.delivery` how it reaches the leader.
Any 200 renews the worker's lease, so none is sent while a cancellation unknown to this node could
be due before that lease ends.
"""

from __future__ import annotations

from collections.abc import Callable

from aiohttp import web

from coveflow import wire
from coveflow.core import redirects
from coveflow.core.arrivals import Arrivals
from coveflow.core.contacts import AnsweredReport, Contacts
from coveflow.core.model import Report
from coveflow.core.redirects import Redirect
from coveflow.daemon.connectivity import Connectivity
from coveflow.daemon.forwarding import Forwarder
from coveflow.daemon.mailbox import Mailbox, MailReader
from coveflow.daemon.malformed_input import MalformedInputLog
from coveflow.daemon.owner import Owner
from coveflow.daemon.report_intake import ReportIntake
from coveflow.logs import Log
from coveflow.membership.peers import Peers
from coveflow.membership.report_batches import BatchSender
from coveflow.settings import Settings
from coveflow.state.store import Store

log = Log("coveflow.agents")


class ReportHandler:
    """Answers workers' reports, and publishes to other nodes which machines this node hears."""

    def __init__(
        self,
        settings: Settings,
        owner: Owner,
        peers: Peers,
        clock: Callable[[], float],
        store: Store,
    ) -> None:
        self.owner, self.clock, self.store = owner, clock, store
        workers, inbox = settings.params.workers, owner.inbox
        self.lease_s = workers.lease_s
        self.unreadable = MalformedInputLog(clock)
        self.contacts = Contacts(workers.lease_s)
        self.arrivals = Arrivals(workers.report_s, clock())
        self.connectivity = Connectivity(settings, inbox, peers, store)
        self.intake = ReportIntake(owner, peers, self.arrivals, self.unreadable, clock)
        self.carrier = BatchSender(peers, lambda: inbox.view.leader, lambda: inbox.view.epoch)
        self.mailbox = Mailbox(settings, store, peers.boot, self.contacts, self.unreadable, clock)
        self.mail_reader = MailReader(settings, owner, store, self.intake, self.unreadable)
        self.forwarder = Forwarder(
            inbox,
            peers,
            self.connectivity,
            self.carrier,
            self.mailbox,
            self.intake.may_renew,
            clock,
        )

    async def handle(self, body: bytes) -> web.StreamResponse:
        """Answer a worker's report: 200, 421 (redirect), 400, or 503 if there is no answer now."""
        try:
            report = wire.read_report(body)
        except wire.Malformed as error:
            self.unreadable.note(error)
            return web.Response(status=400, body=wire.error_answer(str(error)))
        now, owner = self.clock(), self.owner
        owner.context.meters.add("reports")
        if not owner.cancellations.may_renew(now):
            return web.Response(status=503)
        contact = self.contacts.record(report, now)
        if contact is None:
            return await self._answer_duplicate(report)
        self.arrivals.record_report(now)
        homes = owner.context.tuning.homes
        redirect = redirects.decide(report, contact, self.connectivity, homes, now)
        if redirect is not None:
            return self._redirect(redirect, report, body)
        if owner.leading:
            return await self._answer_as_leader(report)
        if homes:
            return await self.forwarder.by_home(report, body, contact, now)
        return await self.forwarder.by_follower(report, body, contact, now)

    async def _answer_duplicate(self, report: Report) -> web.Response:
        """Answer a delayed duplicate, or a machine whose counter restarted, without recording it.

        Otherwise it would take the answer of the report that waits, and make other nodes tell the
        leader that the machine is heard. A machine whose counter did restart
        is eventually returned as silent.
        """
        if self.owner.leading:
            return await self._answer_as_leader(report, patient=False)
        return self.forwarder.stops_only(report)

    async def _answer_as_leader(self, report: Report, patient: bool = True) -> web.Response:
        """Answer as the leader; 503 if there is no answer before the worker's timeout."""
        answer = await self.intake.answer(report, patient)
        return web.Response(status=503 if answer is None else 200, body=answer)

    def _redirect(self, redirect: Redirect, report: Report, body: bytes) -> web.Response:
        """Redirect the worker to another node; its report still reaches the leader as evidence."""
        if redirect.forwards_report:
            if self.owner.leading:
                self.intake.record_evidence(report)
            else:
                self.carrier.add_redirected(report.machine, body)
        return web.Response(status=421, body=wire.redirect_answer(redirect.node))

    def on_leadership_start(self) -> None:
        """Answer the reports that still wait for the previous leader."""
        for carried in self.carrier.waiting.values():
            self.intake.answer_pending(wire.read_report(carried.body), carried.future, patient=True)
        for pending in self.mailbox.pending.values():
            # Little of its waiting time is left. If it were left waiting, the new leader would hear
            # the machine only by its next report.
            self.intake.answer_pending(pending.report, pending.future, patient=False)

    # --- reports received by this node ---------------------------------------------------

    def workers(self) -> int:
        """Number of machines whose reports this node accepted within the last lease period."""
        return self.contacts.count_workers(self.clock())

    def cut_from_workers(self) -> bool:
        """Whether no worker reaches this node any more, although enough of them should."""
        now = self.clock()
        workers = self.contacts.count_workers(now)
        if self.arrivals.detect_cut(now, workers):
            log.warning("cut from workers", machines=workers)
        return self.arrivals.is_cut(now)

    def reports_stopped(self) -> bool:
        """Whether reports stopped arriving, directly and in batches, judged by past intervals."""
        return self.arrivals.is_silent(self.clock())

    def heard_reports(self) -> dict[str, AnsweredReport]:
        """Reports that this node answered itself, by machine, for the leader's silence check."""
        now = self.clock()
        self.contacts.expire(now)
        found = self.contacts.answered_reports(now)
        if self.owner.leading and not self.connectivity.store_fresh(now):
            # A leader without the store may have been deposed unknowingly: its workers are alive.
            for m in self.owner.state.machines.values():
                if m.counter >= 0 and now - m.last_report_at < self.lease_s:
                    found[m.id] = AnsweredReport(now - m.last_report_at, *m.newest_report)
        return found
