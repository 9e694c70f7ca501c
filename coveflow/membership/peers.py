"""What controllers exchange: pings with what each knows, and relayed reports."""

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
from coveflow.logs import Log, Seldom
from coveflow.net.http import Client, Refused, Unavailable
from coveflow.settings import Member, Settings
from coveflow.state.keys import view_of

log = Log("coveflow.peers")

NEVER = (1e9, 0, -1)  # of a machine that a peer did not tell of
LOST_TOGETHER_S = 2.5  # s within which silences began together: two pings of far nodes and a bit
LOST_S = 1.0  # s of it, after which the others doubt this node too and send it no worker
PING, RELAY, CARRY = "/ping", "/relay", "/carry"


class Peer(msgspec.Struct, eq=False):
    member: Member
    client: Client
    answered: float = -1e9  # when the newest answered ping was sent
    boot: str = ""
    epoch: int = 0
    leading: bool = False
    store_age: float = 1e9
    refuses: bool = False  # the last thing sent there was refused, at once
    hears: dict[str, tuple[float, int, int]] = {}  # age, tenure and counter of reports it took


class Info(msgspec.Struct):
    """What a node tells another of itself, in answer to a ping or with a batch."""

    name: str
    boot: str
    epoch: int
    leading: bool
    store_age: float
    view: dict[str, Any]
    view_rev: int
    hears: dict[str, tuple[float, int, int]]
    counts: dict[str, list[int]]
    # What it confirmed to users lately, with times of day; an older build tells it otherwise, and
    # such a word counts as unknown.
    cancelled: dict[str, float] | None = None
    word: dict[str, Any] | None = None


def read_cancelled(jobs: dict[str, float]) -> dict[str, float]:
    """A word's cancellations; ValueError where a job or a time is none."""
    for job, at in jobs.items():
        if not wire.JOB_ID.fullmatch(job) or not math.isfinite(at):
            raise ValueError(f"no cancellation: {job!r} at {at}")
    return jobs


def read_info(data: Any) -> Info:
    """A node's word of itself; Malformed unless all of it has a meaning."""
    try:
        info = msgspec.convert(data, Info)
        view = view_of(info.view, info.view_rev)
        if info.cancelled is not None:
            read_cancelled(info.cancelled)
    except (msgspec.ValidationError, TypeError, ValueError, OverflowError) as error:
        raise wire.Malformed(str(error)) from error
    ages = [info.store_age, *(age for age, _, _ in info.hears.values())]
    if not all(map(math.isfinite, ages)):
        raise wire.Malformed("an age is no number")
    if not all(0 <= n < wire.COUNTS for n in (info.epoch, info.view_rev, view.epoch)):
        raise wire.Malformed("epoch or revision")
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
        on_word: Callable[[str, str, dict[str, float] | None, float], None] = lambda *word: None,
        on_counts: Callable[[str, dict[str, list[int]]], None] = lambda node, counts: None,
    ) -> None:
        """`on_word` hears of cancellations: node, its process, which ones, when it was asked.

        `on_counts` hears of the tasks done and running of each job, as the node counts them.
        """
        self.settings, self.clock, self.info, self.relay = settings, clock, info, relay
        self.on_view, self.leader, self.on_word = on_view, leader, on_word
        self.on_counts = on_counts
        self.boot = uuid.uuid4().hex
        self.suspicion = FailureDetector(
            settings.name, (member.name for member in settings.members), c.PING_S, clock()
        )
        self.suspicion.ping_interval_s = self._every_s
        self.peers = {
            member.name: Peer(member, Client(session, member.address))
            for member in settings.members
            if member.name != settings.name
        }
        # Paths that operators' tools ask, and who answers: (path, body) to (status, body).
        self.asked_of: dict[str, Callable[[str, bytes], Awaitable[tuple[int, bytes]]]] = {}
        self.unreadable = Seldom()
        self.heard_at = clock()  # when any peer was last in contact, either way

    def get(self, name: str) -> Peer | None:
        return self.peers.get(name)

    def fresh(self, name: str) -> bool:
        peer = self.peers.get(name)
        return peer is not None and self.clock() - peer.answered < c.PEER_FRESH_S

    def hears(self, machine: str, within: float, newest: tuple[int, int] = (0, -1)) -> bool:
        """Whether some reachable peer had a report of the machine lately, newer than `newest`.

        A node that sees a late copy cannot know: it goes by session and number, as the caller does.
        """
        for name, peer in self.peers.items():
            age, tenure, counter = peer.hears.get(machine, NEVER)
            late = age + self.clock() - peer.answered >= within
            if not late and (tenure, counter) > newest and self.fresh(name):
                return True
        return False

    def all_fresh(self) -> bool:
        """Whether every other node answered just now."""
        return all(self.fresh(name) for name in self.peers)

    def refused(self) -> bool:
        """Whether all other nodes that were ever heard refuse this one, the last time it tried.

        One that ended refuses too, and all may have ended at once; so this is a doubt about one's
        own ways, and shows nothing about the others.
        """
        heard = [peer for peer in self.peers.values() if peer.boot]
        return bool(heard) and all(peer.refuses for peer in heard)

    def store_works(self) -> bool:
        """Whether some reachable peer had an answer from the state service just now."""
        return any(self.fresh(n) and p.store_age < c.PEER_FRESH_S for n, p in self.peers.items())

    def lost(self) -> bool:
        """Whether nothing is heard of any other node, none of which refuses, for a while."""
        now = self.clock()
        since = [self.suspicion.silent_since(name) for name in self.peers]
        if not self.suspicion.isolated(now) or any(peer.refuses for peer in self.peers.values()):
            return False
        return all(at is not None and now - at >= LOST_S for at in since)

    def lost_with_all(self, mates: Iterable[str]) -> list[str]:
        """Those of these that fell silent together with all others.

        Nodes of the same zone that were heard to the last show that it is not the zone that is cut,
        but this node's own ways. Mates that had ended before show nothing.
        """
        ages = self.suspicion.contact_ages(self.clock())
        first = min(ages.values(), default=0.0)
        return [mate for mate in mates if ages.get(mate, 1e9) - first < LOST_TOGETHER_S]

    def look(self) -> None:
        """Raise and drop doubts by what came in; each change is told in the log."""
        for name, doubt, there in self.suspicion.update(self.clock()):
            if there:
                log.info("doubt", node=name, why=doubt.reason, by=doubt.reporter)
            else:
                log.info("doubt over", node=name, why=doubt.reason)

    async def run(self, peer: Peer) -> None:
        # Only the answer counts as its word: a request may have been held back on its way.
        asks = wire.pack({"name": self.settings.name})
        while True:
            sent = self.clock()
            fresh_s = self._every_s(peer.member.name) - (sent - peer.answered)
            if fresh_s > 0.0:
                # A batch brought its word: pings were a fifth of all requests between nodes.
                await asyncio.sleep(fresh_s + 0.05)
                continue
            try:
                status, body = await peer.client.request(
                    "POST", PING, body=asks, timeout_s=c.PING_TIMEOUT_S
                )
                if status == 200:
                    self.heard(peer, wire.unpack(body), sent)
            except (Unavailable, wire.Malformed) as error:
                log.debug("ping failed", peer=peer.member.name, why=error)
                peer.refuses = isinstance(error, Refused)
            await asyncio.sleep(max(0.05, self._every_s(peer.member.name) - (self.clock() - sent)))

    def _every_s(self, name: str) -> float:
        """s between pings of the node: those that do not lead ask each other more rarely."""
        return c.PING_S if self.leader() in (name, self.settings.name) else c.PING_FAR_S

    def heard(self, peer: Peer, data: Any, sent: float) -> None:
        """The node's word, in answer to what was sent to it then; ignored where it can't be read.

        All of it is read before any of it counts: half a word once left a process that was new
        with the contact of the one before.
        """
        name = peer.member.name
        try:
            info = read_info(data)
        except wire.Malformed as error:
            self._unread(name, error)
            return
        if info.name != name:
            self._unread(name, f"{info.name} answers at its address")
            return
        peer.boot, peer.refuses = info.boot, False
        peer.epoch, peer.leading = info.epoch, info.leading
        peer.store_age = info.store_age
        # Before all that follows from it, so that no lease is renewed on the strength of a word
        # whose cancellations are not known yet.
        self.on_word(name, info.boot, info.cancelled, sent)
        # A leader that only the store refuses never learnt that it was deposed: workers stayed
        # with it, and the new leader gave the whole fleet back as silent.
        self.on_view(info.view, info.view_rev)
        peer.hears = info.hears
        self.on_counts(name, info.counts)
        peer.answered = max(peer.answered, sent)
        self.heard_at = now = self.clock()
        self.suspicion.record_contact(name, now)
        self.suspicion.record_process(name, info.boot, now)
        self.suspicion.record_status(name, info.word or {}, now)

    def _unread(self, name: str, why: object) -> None:
        count = self.unreadable.due(self.clock())
        if count:
            log.warning("words of nodes that can't be read", count=count, node=name, why=why)

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.method != "POST":
            return web.Response(status=404)
        body = await request.read()
        if request.path == PING:
            self.heard_at = self.clock()
            return web.Response(body=wire.pack(self.info()))
        if request.path in self.asked_of:
            status, answer = await self.asked_of[request.path](request.path, body)
            return web.Response(status=status, body=answer)
        if request.path == RELAY:
            answer = await self.relay(body)
            return web.Response(body=answer) if answer is not None else web.Response(status=503)
        return web.Response(status=404)
