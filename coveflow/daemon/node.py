"""One controller: the owner, its clients, its servers, and the tasks that carry out effects."""

from __future__ import annotations

import asyncio
import time
import uuid
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

import aiohttp
import msgspec
from aiohttp import web

from coveflow import constants as c
from coveflow.core import fleet, overload
from coveflow.core.failure_detector import NodeStatus, SlowLeaderHandover, leadership_order
from coveflow.daemon import commands as cm
from coveflow.daemon import owner as o
from coveflow.daemon.agents import Agents
from coveflow.daemon.front import Front
from coveflow.daemon.operators import PATHS, Operators
from coveflow.daemon.tracing import Tracer
from coveflow.logs import Log
from coveflow.membership.leadership import Membership
from coveflow.membership.peers import BATCH_PATH, Peers
from coveflow.net.cloud import CloudClient, NoCapacity
from coveflow.net.http import Unavailable
from coveflow.net.machines import MachineClient
from coveflow.settings import Settings, Tuning, address
from coveflow.state import keys as sk
from coveflow.state.store import Conflict, Store

log = Log("coveflow.node")

TIMER_S = 0.05  # s between looks at what is due; well below every planning interval
TICK_S = 0.5  # s between checks of silence, cancellations and late machines
LOOK_S = 0.1  # s between looks at who is in doubt
QUIET_S = 0.25  # s between both on a node with no job and no machine: nothing is due by time alone
PACE_KEPT = 0.97  # part of its lateness a node still tells after one more timer: half in a second
LIST_S = 4.0  # s between reads of the cloud's machine list
PRICES_S = 45.0  # s between reads of the cloud's types, for spot prices
METERS_S = 10.0  # s between two lines of what the budgets are spent on
ISOLATED_S = 5.0  # s without any worker or peer that make a node hand over, where none was heard


class Node:
    def __init__(
        self,
        settings: Settings,
        tuning: Tuning,
        session: Any = None,
        clock: Callable[[], float] = time.monotonic,
        wall: Callable[[], float] = time.time,
    ) -> None:
        """`session` and the clocks (s) are the lab's where it plays nodes in virtual time."""
        self.settings = settings
        self.clock, self.wall = clock, wall
        params = settings.params
        self.session = session or aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, keepalive_timeout=30.0),
            cookie_jar=aiohttp.DummyCookieJar(),
        )
        self.owner = o.Owner(settings, tuning, self.clock, self.wall)
        self.store = Store(
            self.session,
            settings.services.state,
            params.state,
            params.size,
            self.clock,
            self.owner.around.meters,
        )
        self.cloud = CloudClient(
            self.session,
            settings.services.cloud,
            params.cloud.rps,
            self.clock,
            self.owner.around.meters,
        )
        self.machines = MachineClient(self.session)
        self.peers = Peers(
            settings,
            self.session,
            self.clock,
            self.info,
            self.relayed,
            self.viewed,
            lambda: self.owner.inbox.view.leader,
            lambda *word: self.owner.put(cm.PeerWord(*word)),
            self.owner.hear_counts,
        )
        self.membership = Membership(
            settings,
            self.store,
            self.owner,
            self.clock,
            self.isolated,
            self.order,
            self.slow,
            self.peers.suspicion.reachable,
            self.wall,
            self.peers.boot,
        )
        self.agents = Agents(
            settings,
            self.owner,
            self.peers,
            self.clock,
            self.store,
        )
        self.front = Front(
            settings,
            self.owner,
            self.store,
            self.peers,
            self.clock,
            self.wall,
            self.agents.handle,
        )
        self.peers.handlers = dict.fromkeys(PATHS, Operators(self.owner).handle)
        self.peers.handlers[BATCH_PATH] = self.agents.intake.batch
        self.began = self.clock()
        self.lateness = SlowLeaderHandover()
        self.pace_s = 0.0  # how late this node's timers fire, fading
        self.compute_pace = overload.ComputeSpeed()
        if tuning.trace:
            self.owner.around.trace = Tracer(tuning.trace, self.clock, self.wall, self.peers.boot)
        self.membership.on_store_contact = self.owner.cancellations.record_store_contact
        self.owner.around.effects = self.effect
        self.owner.around.peer_hears = self.peers.hears
        self.owner.around.peers_known = self.peers.all_fresh
        self.owner.around.peer_fresh = self.peers.fresh
        self.tasks: set[asyncio.Task[None]] = set()
        self.lead_tasks: set[asyncio.Task[None]] = set()
        # What another interface does for as long as the node runs.
        self.loops: list[Callable[[], Coroutine[Any, Any, None]]] = []

    # --- what peers are told -------------------------------------------------------------

    def info(self) -> dict[str, Any]:
        now = self.clock()
        return {
            "name": self.settings.name,
            "boot": self.peers.boot,
            "epoch": self.owner.inbox.view.epoch,
            "view": sk.encode_view(self.owner.inbox.view),
            "view_rev": self.owner.inbox.view.rev,
            "leading": bool(self.owner.leading),
            "store_age": now - self.store.contact_at,
            "cancelled": (cancelled := self.owner.cancellations.recently_confirmed(now)),
            "cancels": list(cancelled),  # what builds before knew, and cannot do without
            "hears": self.agents.hears(),
            "counts": self.owner.counts if self.owner.leading else {},
            "word": msgspec.to_builtins(self.word()),
        }

    def word(self) -> NodeStatus:
        """What this node says of itself."""
        now = self.clock()
        return NodeStatus(
            pace_s=round(self.pace_s, 3),
            store_s=round(now - max(self.store.contact_at, self.began), 3),
            workers=self.agents.workers(),
            cut=self.agents.cut(),
            heard={
                name: round(age, 3) for name, age in self.peers.suspicion.contact_ages(now).items()
            },
            compute_s=self.compute_pace.best_s(),
        )

    def viewed(self, view: dict[str, Any], rev: int) -> None:
        """A peer's view; a newer one counts as if the store had told it."""
        if rev > self.owner.inbox.view.rev:
            self.owner.put(cm.InboxRows([(sk.VIEW, view, rev)]))

    async def relayed(self, body: bytes) -> bytes | None:
        return await self.agents.intake.relayed(body)

    def isolated(self) -> bool:
        """It has the store but neither workers nor peers, while others could do better."""
        now, suspicion = self.clock(), self.peers.suspicion
        others = any(name != self.settings.name for name in self.owner.inbox.members)
        if not others:
            return False
        if suspicion.isolated(now):
            return self.agents.unheard()
        # No peer was ever heard: this process began within the cut, or before the others.
        quiet = now - max(self.agents.arrivals.last_report_at, self.peers.last_contact_at)
        return quiet > ISOLATED_S and not any(map(suspicion.reachable, suspicion.nodes))

    def order(self) -> list[str]:
        """Members in the order in which they should lead, as far as this node knows."""
        now, me = self.clock(), self.settings.name
        members = self.owner.inbox.members
        return leadership_order(me, self.word(), members, self.peers.suspicion, now)

    def slow(self) -> bool:
        """Whether this leader is late with everything, while another node is not."""
        now, suspicion = self.clock(), self.peers.suspicion
        words = [
            suspicion.status_of(name, now)
            for name in self.owner.inbox.members
            if suspicion.reachable(name)
        ]
        best = min((word.pace_s for word in words if word is not None), default=None)
        return self.lateness.should_hand_over(now, self.pace_s, best, self._full_of_work(words))

    def _full_of_work(self, words: list[NodeStatus | None]) -> bool:
        """Whether its own work makes this node late, rather than a slow processor."""
        others = [word.compute_s for word in words if word is not None and word.compute_s > 0.0]
        share = self.owner.busy.update(self.clock())
        return overload.overloaded(share, self.compute_pace.best_s(), min(others, default=0.0))

    def _time_computing(self) -> None:
        began = self.clock()
        overload.reference_computation()
        self.compute_pace.add_sample(self.clock() - began)

    # --- effects -----------------------------------------------------------------------

    def effect(self, kind: str, data: Any) -> None:
        if kind == "commit":
            self._spawn(self._commit(data), leading=True)
        elif kind == "rent":
            self._spawn(self._rent(data), leading=True)
        elif kind == "return":
            for start in range(0, len(data), c.MAX_RETURN):
                self._spawn(self._return(data[start : start + c.MAX_RETURN]), leading=True)
        elif kind == "direct":
            self._spawn(self._direct(data), leading=True)
        elif kind == "reread":
            self._spawn(self._reread(data), leading=True)
        elif kind == "mail":
            self._spawn(self.agents.mail_reader.answer(*data), leading=True)
        elif kind == "reply":
            self.agents.mailbox.deliver(data)
        elif kind == "leading":
            self.agents.lead_begins()
        elif kind == "retake":
            self.membership.retake = True
        elif kind == "stepped_down":
            self.store.set_leading(False)
            for task in self.lead_tasks:
                task.cancel()

    def _spawn(self, work: Coroutine[Any, Any, None], leading: bool = False) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self._ended)
        if leading:
            self.lead_tasks.add(task)

    def _ended(self, task: asyncio.Task[None]) -> None:
        self.tasks.discard(task)
        self.lead_tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log.error("task failed", exc_info=task.exception())

    async def _commit(self, txn: cm.Txn) -> None:
        try:
            rev = await self.store.commit_with_retry(txn.guards, txn.writes, proof=txn.proof())
            self.owner.put(cm.Settled(txn, rev))
        except Conflict as conflict:
            self.owner.put(cm.Settled(txn, None, conflict.failed))
        except ValueError:
            log.exception("transaction refused")
            self.owner.put(cm.Settled(txn, None, ["refused"]))

    async def _still_leading(self) -> bool:
        """Whether the store still knows this node as leader, by its own word just now.

        A leader that was cut off from the store, and deposed meanwhile, once gave the whole
        fleet back because it heard no worker any more.
        """
        try:
            await self.store.commit({sk.VIEW: self.owner.book.rev}, {})
        except Conflict:
            return False
        return True

    async def _rent(self, want: fleet.RentalRequest) -> None:
        """Ask under one fresh name until it is answered; a name is never used twice."""
        name = f"{self.settings.name}-{uuid.uuid4().hex}"
        log.info("asking for machines", what=want.label())

        async def ask() -> cm.Rented | cm.Refused:
            try:
                return cm.Rented(
                    want,
                    await self.cloud.rent(name, want.flavor, want.zone, want.spot, want.count),
                )
            except NoCapacity:
                return cm.Refused(want)

        await self._of_the_cloud("rent", ask)

    async def _return(self, machines: list[str]) -> None:
        async def ask() -> cm.Returned:
            names = self.owner.keeper.still_returned(machines)
            if names:
                await self.cloud.return_machines(names)
            return cm.Returned(names)

        async def overdue() -> None:
            names = self.owner.keeper.overdue(machines)
            # Where nobody has the store nobody can take the lead from this node. Machines that hang
            # kept cancelled work past its user's limit, waiting for the end of an outage.
            if names and self.peers.all_fresh() and not self.peers.peer_reaches_store():
                await self.cloud.return_machines(names)
                log.info("returned without the store's word", machines=names)
                self.owner.put(cm.Returned(names))

        await self._of_the_cloud("return", ask, overdue)

    async def _of_the_cloud(
        self,
        what: str,
        ask: Callable[[], Awaitable[cm.Command]],
        unconfirmed: Callable[[], Awaitable[None]] | None = None,
    ) -> None:
        """Ask until it is answered and tell the owner; not at all once another node leads.

        `unconfirmed` does what cannot wait for the store to say who leads.
        """
        pause = c.RETRY_S
        while True:
            try:
                try:
                    if not await self._still_leading():
                        return
                except Unavailable:
                    if unconfirmed is not None:
                        await unconfirmed()
                    raise
                self.owner.put(await ask())
                return
            except Unavailable as error:
                log.debug("not asked of the cloud yet", what=what, why=error)
            await asyncio.sleep(pause)
            pause = min(pause * 2, c.RETRY_MAX_S)

    async def _direct(self, request: cm.DirectRequest) -> None:
        try:
            if request.stops:
                report = await self.machines.stop(
                    request.address, request.epoch, request.tenure, request.stops
                )
            else:
                report = await self.machines.inspect(request.address)
        except Unavailable as error:
            log.debug("no answer to a direct request", machine=request.machine, why=error)
            self.owner.put(cm.DirectAnswer(request, None))
        else:
            self.owner.put(cm.DirectAnswer(request, report))

    async def _reread(self, keys: list[str]) -> None:
        for key in keys:
            try:
                value, rev = await self.store.get(key)
            except Unavailable:
                continue  # the next conflict asks again
            if value is None:
                self.owner.put(cm.Settled(cm.Txn({}, {}), None))
                self.membership.retake = True
            else:
                self.owner.put(cm.InboxRows([(key, value, rev)]))

    # --- loops -------------------------------------------------------------------------

    def _pause(self) -> float:
        """s until the next look: longer where time alone makes nothing due."""
        owner = self.owner
        if not (owner.inbox.accepted or owner.book.machines or self.agents.workers()):
            return QUIET_S
        return TIMER_S if owner.leading else LOOK_S  # others have nothing due before

    async def _timer(self) -> None:
        ticked, looked, told, computed = 0.0, 0.0, self.clock(), 0.0
        while True:
            began = self.clock()
            pause = self._pause()
            await asyncio.sleep(pause)
            now = self.clock()
            late = now - began - pause
            self.pace_s = max(late, self.pace_s * PACE_KEPT ** (pause / TIMER_S))
            if now - looked >= LOOK_S:
                looked = now
                self.peers.update_suspicion()
            if now - computed >= c.COMPUTE_EVERY_S:
                computed = now
                self._time_computing()
            if now - told >= METERS_S:
                log.info(
                    "meters",
                    leading=bool(self.owner.leading),
                    jobs=len(self.owner.inbox.accepted),
                    fleet=self.owner.book.gauge(),
                    spent=self.owner.around.meters.summary(now - told),
                )
                told = now
            if now - ticked >= TICK_S:
                ticked = now
                self.owner.put(cm.Tick())
            elif self.owner.leading:
                self.owner.work([])

    async def _types(self) -> None:
        """Learn the machine types, and keep them in the store for outages of the cloud."""
        while True:
            try:
                if not self.owner.inbox.flavors:
                    await self._learn_types()
                elif self.owner.leading:
                    self.owner.put(cm.Prices(await self.cloud.flavors()))
                    await asyncio.sleep(PRICES_S)
            except (Unavailable, Conflict) as error:
                log.debug("types not read", why=error)
            await asyncio.sleep(0.3 if not self.owner.inbox.flavors else 1.0)

    async def _learn_types(self) -> None:
        """Ask the cloud and write its types down, in place of a record that holds none."""
        flavors = await self.cloud.flavors()
        if not flavors:
            # Once written, an empty list kept every node without types for good.
            return
        value = {"types": [msgspec.to_builtins(f) for f in flavors]}
        guards = {sk.TYPES: self.owner.inbox.types_rev}
        try:
            rev = await self.store.commit_with_retry(guards, {sk.TYPES: value}, self.clock() + 3.0)
        except ValueError as error:
            # More types than a value of the state service holds; they serve without the record.
            log.error("types not kept", count=len(flavors), why=error)
            self.owner.put(cm.Prices(flavors))
        else:
            self.owner.put(cm.InboxRows([(sk.TYPES, value, rev)]))

    async def _listing(self) -> None:
        while True:
            await asyncio.sleep(LIST_S)
            if not self.owner.leading:
                continue
            try:
                self.owner.put(cm.CloudList(await self.cloud.machines()))
            except Unavailable as error:
                log.debug("machine list not read", why=error)

    async def run(self) -> None:
        servers = []
        for where, handler in (
            (self.settings.front, self.front.handle),
            (self.settings.cluster_listen, self.peers.handle),
        ):
            runner = web.ServerRunner(web.Server(handler, access_log=None))
            await runner.setup()
            host, port = address(where)
            await web.TCPSite(runner, host, port, reuse_address=True, backlog=256).start()
            servers.append(runner)
        log.info(
            "serving",
            name=self.settings.name,
            zone=self.settings.zone,
            front=self.settings.front,
        )
        await self.work()

    async def work(self) -> None:
        """Everything a node does by itself, for as long as it runs."""
        loops = [
            self.owner.run(),
            self.membership.run_lease(),
            self.membership.run_inbox(),
            self._timer(),
            self._types(),
            self._listing(),
            self.agents.carrier.run(),
            *(self.peers.run(peer) for peer in self.peers.peers.values()),
            *(loop() for loop in self.loops),
        ]
        await asyncio.gather(*(self._forever(loop) for loop in loops))

    async def _forever(self, loop: Coroutine[Any, Any, None]) -> None:
        try:
            await loop
        except Exception:
            log.exception("a loop ended")
            raise
