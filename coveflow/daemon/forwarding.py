"""Reports at a follower: forwarded to the leader, or answered locally to keep leases alive."""

from __future__ import annotations

from collections.abc import Callable

from aiohttp import web

from coveflow import constants as c
from coveflow import wire
from coveflow.core import delivery
from coveflow.core.contacts import Contact
from coveflow.core.delivery import DeliveryPath
from coveflow.core.model import Report
from coveflow.daemon.connectivity import Connectivity
from coveflow.daemon.inbox import Inbox
from coveflow.daemon.mailbox import Mailbox
from coveflow.logs import Log
from coveflow.membership.peers import RELAY_PATH, Peers
from coveflow.membership.report_batches import BatchSender
from coveflow.net.http import Unavailable

log = Log("coveflow.agents")


class Forwarder:
    """Carries out what `core.delivery` decides, and answers the worker."""

    def __init__(
        self,
        inbox: Inbox,
        peers: Peers,
        connectivity: Connectivity,
        carrier: BatchSender,
        mailbox: Mailbox,
        may_renew: Callable[[], bool],
        clock: Callable[[], float],
    ) -> None:
        self.inbox, self.peers, self.connectivity = inbox, peers, connectivity
        self.carrier, self.mailbox = carrier, mailbox
        self.may_renew, self.clock = may_renew, clock

    async def by_home(
        self, report: Report, body: bytes, contact: Contact, now: float
    ) -> web.Response:
        """Answer a report received by the machine's home node."""
        way = delivery.path_at_home(contact, self.connectivity, now)
        if way is DeliveryPath.BATCH:
            key = (report.machine, report.tenure, report.counter)
            answer = await self.carrier.ask(key, body, c.REPORT_BATCH_ANSWER_S)
            if answer is not None:
                return self._without_cancelled_runs(answer)
            way = delivery.path_after_batch(contact, self.connectivity, now, self.clock())
            if way is DeliveryPath.KEEP_ALIVE and not self.may_renew():
                return web.Response(status=503)
        return await self._answer_without_leader(way, report, contact, now)

    def _without_cancelled_runs(self, answer: bytes) -> web.Response:
        """The leader's answer without runs of jobs that this node knows to be cancelled.

        While the answer is in transit, another node may announce a cancellation, and a node that
        knows of it must not order a run of that job. The leader treats an omitted run as lost.
        """
        return web.Response(body=wire.without_cancelled_runs(answer, self.inbox.cancelled))

    async def by_follower(
        self, report: Report, body: bytes, contact: Contact, now: float
    ) -> web.Response:
        """Answer a report where machines have no homes and only the leader accepts reports."""
        way = delivery.path_at_follower(contact, self.connectivity, now)
        if way is DeliveryPath.RELAY:
            answer = await self._relay(report, body)
            if answer is not None:
                return self._without_cancelled_runs(answer)
            way = delivery.path_after_relay(self.connectivity, now, self.clock())
        return await self._answer_without_leader(way, report, contact, now)

    def stops_only(self, report: Report) -> web.Response:
        """Order only stops of cancelled work; all other orders come from the leader."""
        orders = self.inbox.stops(report)
        return web.Response(body=wire.orders_answer(self.inbox.view.epoch, orders))

    async def _relay(self, report: Report, body: bytes) -> bytes | None:
        """Forward a single report to the leader; its answer, or None if it gave none."""
        leader = self.peers.peers[self.connectivity.leader]
        try:
            status, answer = await leader.client.request(
                "POST", RELAY_PATH, body=body, timeout_s=c.RELAY_TIMEOUT_S
            )
        except Unavailable as error:
            log.debug("relay failed", machine=report.machine, why=error)
            return None
        return answer if status == 200 else None

    async def _answer_without_leader(
        self, way: DeliveryPath, report: Report, contact: Contact, now: float
    ) -> web.Response:
        """Answer a report without a direct answer from the leader."""
        if way is DeliveryPath.REDIRECT:
            return web.Response(status=421, body=wire.redirect_answer(self.connectivity.leader))
        if way is DeliveryPath.MAILBOX:
            has_end = any(task.state == "exited" for task in report.tasks)
            if delivery.admit_to_mailbox(contact, has_end, now):
                answer = await self.mailbox.ask(report, has_end)
                if answer is not None:
                    return self._without_cancelled_runs(answer)
        contact.locally_renewed_at = now
        return self.stops_only(report)
