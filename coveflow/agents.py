"""Workers' reports: answered by the leader, redirected, relayed or kept alive by the others."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from aiohttp import web

from . import constants as c
from . import wire
from .model import Order, Report
from .net import Unavailable
from .owner import Heard, Owner
from .peers import RELAY, Peers
from .settings import Settings

log = logging.getLogger("coveflow.agents")

RELAY_SPELL_S = 20.0  # s a bounced worker's reports are relayed before a redirect is tried again


class Agents:
    def __init__(
        self,
        settings: Settings,
        owner: Owner,
        peers: Peers,
        clock: Callable[[], float],
        store_known_at: Callable[[], float],
    ) -> None:
        self.settings, self.owner, self.peers, self.clock = settings, owner, peers, clock
        self.store_known_at = store_known_at
        self.redirected: dict[str, float] = {}
        self.relay_until: dict[str, float] = {}
        self.kept: dict[str, float] = {}  # machines this node keeps alive for the leader
        self.heard_at = clock()

    def may_keep_alive(self) -> bool:
        """Whether a lease renewed now still ends before any unknown cancellation's limit."""
        workers = self.settings.params.workers
        known = max(self.store_known_at(), self.peers.known_at())
        limit = workers.cancel_s - workers.lease_s - c.CONTACT_MARGIN_S
        return self.clock() - known < limit

    async def handle(self, body: bytes) -> web.StreamResponse:
        try:
            report = wire.read_report(body)
        except wire.Malformed as error:
            return web.Response(status=400, body=wire.error(str(error)))
        self.heard_at = now = self.clock()
        if not self.may_keep_alive():
            return web.Response(status=503)
        if self.owner.leading:
            answer = await self.lead(report)
            if answer is not None:
                return web.Response(body=answer)
            return web.Response(status=503)
        return await self._follow(report, body, now)

    async def lead(self, report: Report) -> bytes | None:
        reply: asyncio.Future[bytes | None] = asyncio.get_running_loop().create_future()
        self.owner.put(Heard(report, reply))
        return await reply

    async def relayed(self, body: bytes) -> bytes | None:
        """A report that another node could not redirect."""
        if not self.owner.leading or not self.may_keep_alive():
            return None
        try:
            return await self.lead(wire.read_report(body))
        except wire.Malformed:
            return None

    async def _follow(self, report: Report, body: bytes, now: float) -> web.StreamResponse:
        leader = self.owner.view.leader
        machine = report.machine
        peer = self.peers.get(leader)
        if peer is not None and self.peers.fresh(leader) and peer.leading:
            bounced = now - self.redirected.get(machine, -1e9) < c.BOUNCE_S
            if not bounced and now >= self.relay_until.get(machine, -1e9):
                self.redirected[machine] = now
                return web.Response(status=421, body=wire.redirect_answer(leader))
            # The worker was sent there and came back: it cannot reach the leader itself.
            if bounced and now >= self.relay_until.get(machine, -1e9):
                self.relay_until[machine] = now + RELAY_SPELL_S
            try:
                status, answer = await peer.client.request(
                    "POST", RELAY, body=body, timeout_s=c.RELAY_TIMEOUT_S
                )
                if status == 200:
                    return web.Response(body=answer)
            except Unavailable as error:
                log.debug("relay for %s: %s", machine, error)
        self.kept[machine] = now
        return web.Response(body=wire.orders_answer(self.owner.view.epoch, self._stops(report)))

    def _stops(self, report: Report) -> list[Order]:
        """Only stops, and only for jobs known to be cancelled: nothing else is this node's."""
        orders = []
        for t in report.tasks:
            if t.state == "exited":
                continue
            entry = self.owner.accepted.get(t.job)
            if (entry is not None and entry.cancelled is not None) or (
                t.job in self.peers.cancelled
                or self.owner.terminal.get(t.job, ("",))[0] == "cancelled"
            ):
                orders.append(Order("stop", t.job, t.task, t.number))
        return orders

    def hears(self) -> dict[str, float]:
        """Ages of the reports this node answered itself, for the leader's silence check."""
        now = self.clock()
        limit = self.settings.params.workers.lease_s
        for table in (self.kept, self.redirected):
            for name in [n for n, at in table.items() if now - at > limit]:
                del table[name]
        for name in [n for n, until in self.relay_until.items() if now > until + c.BOUNCE_S]:
            del self.relay_until[name]
        return {name: now - at for name, at in self.kept.items()}
