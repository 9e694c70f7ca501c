"""Reports at a node that does not lead: brought to the leader, or answered to keep leases alive."""

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
        links: Connectivity,
        carrier: BatchSender,
        mailbox: Mailbox,
        may_renew: Callable[[], bool],
        clock: Callable[[], float],
    ) -> None:
        self.inbox, self.peers, self.links = inbox, peers, links
        self.carrier, self.mailbox = carrier, mailbox
        self.may_renew, self.clock = may_renew, clock

    async def by_home(
        self, report: Report, body: bytes, contact: Contact, now: float
    ) -> web.Response:
        """Answer a report that came to the machine's home now."""
        way = delivery.path_at_home(contact, self.links, now)
        if way is DeliveryPath.BATCH:
            key = (report.machine, report.tenure, report.counter)
            answer = await self.carrier.ask(key, body, c.CARRY_WAIT_S)
            if answer is not None:
                return self._passed_on(answer)
            way = delivery.path_after_batch(contact, self.links, now, self.clock())
            if way is DeliveryPath.KEEP_ALIVE and not self.may_renew():
                return web.Response(status=503)
        return await self._answer_by(way, report, contact, now)

    def _passed_on(self, answer: bytes) -> web.Response:
        """The leader's answer, as far as this node knows no better.

        It waits for a batch on its way here, and meanwhile another node's word of a cancellation
        may have come: runs of the job were told by a node that knew. The leader takes one that was
        left out for one that was lost.
        """
        return web.Response(body=wire.without_runs(answer, self.inbox.cancelled))

    async def by_follower(
        self, report: Report, body: bytes, contact: Contact, now: float
    ) -> web.Response:
        """Answer a report that came now where machines have no homes: only the leader takes any."""
        way = delivery.path_at_follower(contact, self.links, now)
        if way is DeliveryPath.RELAY:
            answer = await self._relay(report, body)
            if answer is not None:
                return self._passed_on(answer)
            way = delivery.path_after_relay(self.links, now, self.clock())
        return await self._answer_by(way, report, contact, now)

    def stops_only(self, report: Report) -> web.Response:
        """Nothing but stops of cancelled work: all else is the leader's."""
        orders = self.inbox.stops(report)
        return web.Response(body=wire.orders_answer(self.inbox.view.epoch, orders))

    async def _relay(self, report: Report, body: bytes) -> bytes | None:
        """The leader's answer to the report, passed to it by itself; None if none came."""
        leader = self.peers.peers[self.links.leader]
        try:
            status, answer = await leader.client.request(
                "POST", RELAY_PATH, body=body, timeout_s=c.RELAY_TIMEOUT_S
            )
        except Unavailable as error:
            log.debug("relay failed", machine=report.machine, why=error)
            return None
        return answer if status == 200 else None

    async def _answer_by(
        self, way: DeliveryPath, report: Report, contact: Contact, now: float
    ) -> web.Response:
        """Answer a report by a way on which the leader itself does not answer."""
        if way is DeliveryPath.REDIRECT:
            return web.Response(status=421, body=wire.redirect_answer(self.links.leader))
        if way is DeliveryPath.MAILBOX:
            has_end = any(task.state == "exited" for task in report.tasks)
            if delivery.admit_to_mailbox(contact, has_end, now):
                answer = await self.mailbox.ask(report, has_end)
                if answer is not None:
                    return self._passed_on(answer)
        contact.locally_renewed_at = now
        return self.stops_only(report)
