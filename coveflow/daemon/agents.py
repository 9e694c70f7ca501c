"""Workers' reports as they come to a node by HTTP: taken here or redirected, and answered.

Which node should take a report is decided by `core.redirects`, how it gets to the leader by
`core.delivery`. Any 200 renews the worker's lease: none is given while a cancellation that is not
known here could be due before the lease ends.
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
from coveflow.daemon.intake import Intake
from coveflow.daemon.mailbox import Mailbox, MailReader
from coveflow.daemon.owner import Owner
from coveflow.daemon.unreadable import Unreadable
from coveflow.logs import Log
from coveflow.membership.peers import Peers
from coveflow.membership.report_batches import BatchSender
from coveflow.settings import Settings
from coveflow.state.store import Store

log = Log("coveflow.agents")


class Agents:
    """Answers workers' reports, and tells other nodes of the machines that it hears."""

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
        self.unreadable = Unreadable(clock)
        self.contacts = Contacts(workers.lease_s)
        self.arrivals = Arrivals(workers.report_s, clock())
        self.links = Connectivity(settings, inbox, peers, store)
        self.intake = Intake(owner, peers, self.arrivals, self.unreadable, clock)
        self.carrier = BatchSender(peers, lambda: inbox.view.leader, lambda: inbox.view.epoch)
        self.mailbox = Mailbox(settings, store, peers.boot, self.contacts, self.unreadable, clock)
        self.mail_reader = MailReader(settings, owner, store, self.intake, self.unreadable)
        self.forwarder = Forwarder(
            inbox, peers, self.links, self.carrier, self.mailbox, self.intake.may_renew, clock
        )

    async def handle(self, body: bytes) -> web.StreamResponse:
        """Answer a worker's report: 200, 421 to another node, 400, or 503 if it can't be now."""
        try:
            report = wire.read_report(body)
        except wire.Malformed as error:
            self.unreadable.tell(error)
            return web.Response(status=400, body=wire.error(str(error)))
        now, owner = self.clock(), self.owner
        owner.around.meters.add("reports")
        if not owner.cancellations.may_renew(now):
            return web.Response(status=503)
        contact = self.contacts.record(report, now)
        if contact is None:
            return await self._copy(report)
        self.arrivals.record_report(now)
        homes = owner.around.tuning.homes
        redirect = redirects.decide(report, contact, self.links, homes, now)
        if redirect is not None:
            return self._redirect(redirect, report, body)
        if owner.leading:
            return await self._lead(report)
        if homes:
            return await self.forwarder.by_home(report, body, contact, now)
        return await self.forwarder.by_follower(report, body, contact, now)

    async def _copy(self, report: Report) -> web.Response:
        """A late copy, or a machine that counts from the beginning: nothing here goes by it.

        It once took the answer from the report that waited, and told the leader by way of others
        that the machine is heard. A machine that is there after all goes back as silent.
        """
        if self.owner.leading:
            return await self._lead(report, patient=False)
        return self.forwarder.stops_only(report)

    async def _lead(self, report: Report, patient: bool = True) -> web.Response:
        """The answer of this node as the leader; 503 if there is none while the worker waits."""
        answer = await self.intake.answer(report, patient)
        return web.Response(status=503 if answer is None else 200, body=answer)

    def _redirect(self, redirect: Redirect, report: Report, body: bytes) -> web.Response:
        """Send the worker to another node; the leader hears of its report all the same."""
        if redirect.forwards_report:
            if self.owner.leading:
                self.intake.take_evidence(report)
            else:
                self.carrier.add_redirected(report.machine, body)
        return web.Response(status=421, body=wire.redirect_answer(redirect.node))

    def lead_begins(self) -> None:
        """This node leads now: what its own workers wait for, it decides itself."""
        for carried in self.carrier.waiting.values():
            self.intake.adopt(wire.read_report(carried.body), carried.future, patient=True)
        for post in self.mailbox.posted.values():
            # Little is left of the time that it waits. It once waited in vain, and the new leader
            # heard its machine with the next report only.
            self.intake.adopt(post.report, post.future, patient=False)

    # --- what this node hears ------------------------------------------------------------

    def workers(self) -> int:
        """Number of machines whose reports this node took within the last lease."""
        return self.contacts.count_workers(self.clock())

    def cut(self) -> bool:
        """Whether no worker reaches this node any more, though enough of them should."""
        now = self.clock()
        workers = self.contacts.count_workers(now)
        if self.arrivals.detect_cut(now, workers):
            log.warning("cut from workers", machines=workers)
        return self.arrivals.is_cut(now)

    def unheard(self) -> bool:
        """No report comes any more, of a worker or by a home, as far as the times before tell."""
        return self.arrivals.is_silent(self.clock())

    def hears(self) -> dict[str, AnsweredReport]:
        """Reports that this node answered itself, by machine, for the leader's check of silence."""
        now = self.clock()
        self.contacts.expire(now)
        found = self.contacts.answered_reports(now)
        if self.owner.leading and not self.links.store_fresh(now):
            # Without the store it may be deposed and not know: its workers are not silent.
            for m in self.owner.book.machines.values():
                if m.counter >= 0 and now - m.last_report_at < self.lease_s:
                    found[m.id] = AnsweredReport(now - m.last_report_at, *m.newest_report)
        return found
