"""Communication between controllers: pings that carry each node's status, and relayed reports.

A node's status arrives in the response to a ping or to a batch of reports. It feeds the failure
detector (`FailureDetector`), the view, the cancellation ledger and the task counts.
"""

from __future__ import annotations

import asyncio
import math
import uuid
from collections.abc import Awaitable, Callable, Iterable
from typing import Any

import aiohttp
import msgspec
from aiohttp import web

from coveflow import constants as c
from coveflow import wire
from coveflow.core.failure_detector import FailureDetector
from coveflow.logs import Log, LogThrottle
from coveflow.net.http import Client, ConnectionRefused, Unavailable
from coveflow.settings import Member, Settings
from coveflow.state.keys import decode_view

log = Log("coveflow.peers")

NO_REPORT = (1e9, 0, -1)  # age, tenure and counter for a machine that a peer has no report of
# Peers whose silences began within this time (s) fell silent together: two ping intervals between
# nodes that do not lead, and a margin.
SIMULTANEOUS_SILENCE_S = 2.5
# s of silence from all peers that count as isolation; by then the others suspect this node too and
# redirect no workers to it.
ISOLATION_S = 1.0
PING_PATH, RELAY_PATH, BATCH_PATH = "/ping", "/relay", "/carry"


class Peer(msgspec.Struct, eq=False):
    member: Member
    client: Client
    answered_at: float = -1e9  # send time of the newest request that was answered with its status
    boot: str = ""
    epoch: int = 0
    leading: bool = False
    store_age: float = 1e9
    refuses_connections: bool = False  # whether it refused the connection of the last request
    # Newest report that it received, by machine: age, tenure and counter.
    hears: dict[str, tuple[float, int, int]] = {}


class PeerStatus(msgspec.Struct):
    """A node's status, sent in response to a ping or to a batch of reports."""

    name: str
    boot: str
    epoch: int
    leading: bool
    store_age: float
    view: dict[str, Any]
    view_rev: int
    hears: dict[str, tuple[float, int, int]]
    counts: dict[str, list[int]]
    # Cancellations that it recently confirmed to users, with wall-clock times. Older builds send
    # them in another form; these statuses count as unknown here.
    cancelled: dict[str, float] | None = None
    word: dict[str, Any] | None = None


def validate_cancelled(jobs: dict[str, float]) -> dict[str, float]:
    """Validate the cancellations of a status; ValueError for a bad job id or time."""
    for job, at in jobs.items():
        if not wire.JOB_ID.fullmatch(job) or not math.isfinite(at):
            raise ValueError(f"invalid cancellation: {job!r} at {at}")
    return jobs


def read_peer_status(data: Any) -> PeerStatus:
    """Decode a node's status; Malformed unless all of it is valid."""
    try:
        info = msgspec.convert(data, PeerStatus)
        view = decode_view(info.view, info.view_rev)
        if info.cancelled is not None:
            validate_cancelled(info.cancelled)
    except (msgspec.ValidationError, TypeError, ValueError, OverflowError) as error:
        raise wire.Malformed(str(error)) from error
    ages = [info.store_age, *(age for age, _, _ in info.hears.values())]
    if not all(map(math.isfinite, ages)):
        raise wire.Malformed("an age is not a finite number")
    if not all(0 <= n < wire.COUNTER_LIMIT for n in (info.epoch, info.view_rev, view.epoch)):
        raise wire.Malformed("an epoch or revision is out of range")
    return info


class Peers:
    def __init__(
        self,
        settings: Settings,
        session: aiohttp.ClientSession,
        clock: Callable[[], float],
        info: Callable[[], dict[str, Any]],
        relay: Callable[[bytes], Any],
        on_view: Callable[[dict[str, Any], int], None] = lambda view, rev: None,
        leader: Callable[[], str] = lambda: "",
        on_cancellations: Callable[
            [str, str, dict[str, float] | None, float], None
        ] = lambda *args: None,
        on_counts: Callable[[str, dict[str, list[int]]], None] = lambda node, counts: None,
    ) -> None:
        """Callbacks receive what the peers' statuses report.

        `on_cancellations` gets the node, its process id, the cancellations, and when the request
        was sent. `on_counts` gets the node and its counts of done and running tasks by job.
        """
        self.settings, self.clock, self.info, self.relay = settings, clock, info, relay
        self.on_view, self.leader, self.on_cancellations = on_view, leader, on_cancellations
        self.on_counts = on_counts
        self.boot = uuid.uuid4().hex
        self.suspicion = FailureDetector(
            settings.name, (member.name for member in settings.members), c.PING_S, clock()
        )
        self.suspicion.ping_interval_s = self._ping_interval_s
        self.peers = {
            member.name: Peer(member, Client(session, member.address))
            for member in settings.members
            if member.name != settings.name
        }
        # Handlers of further paths, such as those of operators' tools: (path, body) to (status,
        # body).
        self.handlers: dict[str, Callable[[str, bytes], Awaitable[tuple[int, bytes]]]] = {}
        self.unreadable = LogThrottle()
        self.last_contact_at = (
            clock()
        )  # time of the last contact with any peer, in either direction

    def get(self, name: str) -> Peer | None:
        return self.peers.get(name)

    def fresh(self, name: str) -> bool:
        peer = self.peers.get(name)
        return peer is not None and self.clock() - peer.answered_at < c.PEER_FRESH_S

    def hears(self, machine: str, within: float, newest: tuple[int, int] = (0, -1)) -> bool:
        """Whether a reachable peer has a report of the machine that is recent and after `newest`.

        Reports are ordered by session (tenure) and counter, since a node cannot tell whether a
        report that it received was delayed in the network.
        """
        for name, peer in self.peers.items():
            age, tenure, counter = peer.hears.get(machine, NO_REPORT)
            late = age + self.clock() - peer.answered_at >= within
            if not late and (tenure, counter) > newest and self.fresh(name):
                return True
        return False

    def all_fresh(self) -> bool:
        """Whether every other node has answered recently."""
        return all(self.fresh(name) for name in self.peers)

    def all_refuse_connections(self) -> bool:
        """Whether every peer that ever answered refused this node's last connection.

        The host of a stopped process refuses connections too, and all peers may have stopped at
        once. So this casts doubt on this node's own connectivity and proves nothing about peers.
        """
        heard = [peer for peer in self.peers.values() if peer.boot]
        return bool(heard) and all(peer.refuses_connections for peer in heard)

    def peer_reaches_store(self) -> bool:
        """Whether a reachable peer recently got a response from the state service."""
        return any(self.fresh(n) and p.store_age < c.PEER_FRESH_S for n, p in self.peers.items())

    def all_silent(self) -> bool:
        """Whether all peers have been silent for `ISOLATION_S` and none refuses connections."""
        now = self.clock()
        since = [self.suspicion.silent_since(name) for name in self.peers]
        if not self.suspicion.isolated(now) or any(
            peer.refuses_connections for peer in self.peers.values()
        ):
            return False
        return all(at is not None and now - at >= ISOLATION_S for at in since)

    def silent_with_all(self, names: Iterable[str]) -> list[str]:
        """Those of the named nodes that fell silent together with all others.

        If nodes of the same zone were heard up to the end, this node itself is cut off rather than
        its zone. Nodes that had stopped earlier are no evidence of that.
        """
        ages = self.suspicion.contact_ages(self.clock())
        first = min(ages.values(), default=0.0)
        return [name for name in names if ages.get(name, 1e9) - first < SIMULTANEOUS_SILENCE_S]

    def update_suspicion(self) -> None:
        """Update the failure detector from what was received, and log each change."""
        for name, doubt, raised in self.suspicion.update(self.clock()):
            if raised:
                log.info("doubt", node=name, why=doubt.reason, by=doubt.reporter)
            else:
                log.info("doubt over", node=name, why=doubt.reason)

    async def run(self, peer: Peer) -> None:
        # Only responses carry a status: a request may have been delayed in the network.
        request = wire.pack({"name": self.settings.name})
        while True:
            sent = self.clock()
            remaining_s = self._ping_interval_s(peer.member.name) - (sent - peer.answered_at)
            if remaining_s > 0.0:
                # The response to a batch brought its status already. Pings that repeated it made up
                # a fifth of all requests between nodes.
                await asyncio.sleep(remaining_s + 0.05)
                continue
            try:
                status, body = await peer.client.request(
                    "POST", PING_PATH, body=request, timeout_s=c.PING_TIMEOUT_S
                )
                if status == 200:
                    self.apply_status(peer, wire.unpack(body), sent)
            except (Unavailable, wire.Malformed) as error:
                log.debug("ping failed", peer=peer.member.name, why=error)
                peer.refuses_connections = isinstance(error, ConnectionRefused)
            await asyncio.sleep(
                max(0.05, self._ping_interval_s(peer.member.name) - (self.clock() - sent))
            )

    def _ping_interval_s(self, name: str) -> float:
        """Seconds between pings to the node; nodes that do not lead ping each other less often."""
        return c.PING_S if self.leader() in (name, self.settings.name) else c.PING_FOLLOWER_S

    def apply_status(self, peer: Peer, data: Any, sent: float) -> None:
        """Apply the status in the response to a request sent at `sent`; ignored if malformed.

        All of it is validated before any of it is applied: a partly applied status could combine a
        new process with the contact times of its predecessor.
        """
        name = peer.member.name
        try:
            info = read_peer_status(data)
        except wire.Malformed as error:
            self._log_unreadable(name, error)
            return
        if info.name != name:
            self._log_unreadable(name, f"{info.name} answers at its address")
            return
        peer.boot, peer.refuses_connections = info.boot, False
        peer.epoch, peer.leading = info.epoch, info.leading
        peer.store_age = info.store_age
        # Cancellations come first, so that no worker's lease is renewed on the strength of a status
        # whose cancellations are not applied yet.
        self.on_cancellations(name, info.boot, info.cancelled, sent)
        # A leader that cannot reach the state service learns only from peers that it was deposed.
        # Otherwise workers stay with it, and the new leader returns the whole fleet as silent.
        self.on_view(info.view, info.view_rev)
        peer.hears = info.hears
        self.on_counts(name, info.counts)
        peer.answered_at = max(peer.answered_at, sent)
        self.last_contact_at = now = self.clock()
        self.suspicion.record_contact(name, now)
        self.suspicion.record_process(name, info.boot, now)
        self.suspicion.record_status(name, info.word or {}, now)

    def _log_unreadable(self, name: str, why: object) -> None:
        count = self.unreadable.due(self.clock())
        if count:
            log.warning("words of nodes that can't be read", count=count, node=name, why=why)

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.method != "POST":
            return web.Response(status=404)
        body = await request.read()
        if request.path == PING_PATH:
            self.last_contact_at = self.clock()
            return web.Response(body=wire.pack(self.info()))
        if request.path in self.handlers:
            status, answer = await self.handlers[request.path](request.path, body)
            return web.Response(status=status, body=answer)
        if request.path == RELAY_PATH:
            answer = await self.relay(body)
            return web.Response(body=answer) if answer is not None else web.Response(status=503)
        return web.Response(status=404)
