"""One controller process: wires the owner to its clients, servers, background loops and effects.

The owner decides and emits effects; the node carries them out as tasks and puts their results back
on the owner's queue as commands.
"""

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
from coveflow.daemon.operators import OPERATOR_PATHS, OperatorApi
from coveflow.daemon.report_handler import ReportHandler
from coveflow.daemon.tracing import Tracer
from coveflow.daemon.user_api import UserApi
from coveflow.logs import Log
from coveflow.membership.leadership import Membership
from coveflow.membership.peers import BATCH_PATH, Peers
from coveflow.net.cloud import CloudClient, NoCapacity
from coveflow.net.http import Unavailable
from coveflow.net.machines import MachineClient
from coveflow.settings import Settings, Tuning, parse_address
from coveflow.state import keys as sk
from coveflow.state.store import Conflict, Store

log = Log("coveflow.node")

TIMER_S = 0.05  # s between timer runs on the leader; well below every planning interval
TICK_S = 0.5  # s between checks of silence, cancellations and late machines
SUSPICION_CHECK_S = 0.1  # s between failure detector checks, and between a follower's timer runs
IDLE_TIMER_S = 0.25  # s between timer runs on a node with no jobs and machines: no deadline is due
LATENESS_DECAY = 0.97  # factor per TIMER_S on the reported timer lateness: about half in a second
MACHINE_LIST_S = 4.0  # s between reads of the cloud's machine list
PRICE_REFRESH_S = 45.0  # s between reads of the cloud's machine types, for spot prices
METERS_LOG_S = 10.0  # s between log lines of what the request budgets are spent on
ISOLATION_TIMEOUT_S = 5.0  # s without workers and peers before hand-over, if no peer was ever heard


class Node:
    def __init__(
        self,
        settings: Settings,
        tuning: Tuning,
        session: Any = None,
        clock: Callable[[], float] = time.monotonic,
        wall: Callable[[], float] = time.time,
    ) -> None:
        """The lab passes its own `session` and clocks (s) to run nodes in virtual time."""
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
            self.owner.context.meters,
        )
        self.cloud = CloudClient(
            self.session,
            settings.services.cloud,
            params.cloud.rps,
            self.clock,
            self.owner.context.meters,
        )
        self.machines = MachineClient(self.session)
        self.peers = Peers(
            settings,
            self.session,
            self.clock,
            self.info,
            self.on_relayed_report,
            self.on_peer_view,
            lambda: self.owner.inbox.view.leader,
            lambda *report: self.owner.put(cm.PeerCancellations(*report)),
            self.owner.receive_counts,
        )
        self.membership = Membership(
            settings,
            self.store,
            self.owner,
            self.clock,
            self.isolated,
            self.succession_order,
            self.slow,
            self.peers.suspicion.reachable,
            self.wall,
            self.peers.boot,
        )
        self.report_handler = ReportHandler(
            settings,
            self.owner,
            self.peers,
            self.clock,
            self.store,
        )
        self.user_api = UserApi(
            settings,
            self.owner,
            self.store,
            self.peers,
            self.clock,
            self.wall,
            self.report_handler.handle,
        )
        self.peers.handlers = dict.fromkeys(OPERATOR_PATHS, OperatorApi(self.owner).handle)
        self.peers.handlers[BATCH_PATH] = self.report_handler.intake.answer_batch
        self.started_at = self.clock()
        self.lateness = SlowLeaderHandover()
        self.timer_lateness_s = 0.0  # decaying maximum of timer lateness
        self.compute_pace = overload.ComputeSpeed()
        if tuning.trace:
            self.owner.context.trace = Tracer(tuning.trace, self.clock, self.wall, self.peers.boot)
        self.membership.on_store_contact = self.owner.cancellations.record_store_contact
        self.owner.context.effects = self.effect
        self.owner.context.peer_has_newer_report = self.peers.hears
        self.owner.context.all_peers_answer = self.peers.all_fresh
        self.owner.context.peer_answers = self.peers.fresh
        self.tasks: set[asyncio.Task[None]] = set()
        self.leader_tasks: set[asyncio.Task[None]] = set()
        # Loops of other interfaces that run for as long as the node does.
        self.loops: list[Callable[[], Coroutine[Any, Any, None]]] = []

    # --- status reported to peers --------------------------------------------------------

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
            "cancels": list(cancelled),  # required by older builds
            "hears": self.report_handler.heard_reports(),
            "counts": self.owner.counts if self.owner.leading else {},
            "word": msgspec.to_builtins(self.own_health()),
        }

    def own_health(self) -> NodeStatus:
        """The health that this node reports about itself."""
        now = self.clock()
        return NodeStatus(
            pace_s=round(self.timer_lateness_s, 3),
            store_s=round(now - max(self.store.contact_at, self.started_at), 3),
            workers=self.report_handler.workers(),
            cut=self.report_handler.cut_from_workers(),
            heard={
                name: round(age, 3) for name, age in self.peers.suspicion.contact_ages(now).items()
            },
            compute_s=self.compute_pace.best_s(),
        )

    def on_peer_view(self, view: dict[str, Any], rev: int) -> None:
        """Adopt a peer's view if it is newer, as if it had been read from the store."""
        if rev > self.owner.inbox.view.rev:
            self.owner.put(cm.InboxRows([(sk.VIEW, view, rev)]))

    async def on_relayed_report(self, body: bytes) -> bytes | None:
        return await self.report_handler.intake.answer_relayed(body)

    def isolated(self) -> bool:
        """Whether this node hears neither workers nor peers, while other members exist."""
        now, suspicion = self.clock(), self.peers.suspicion
        others = any(name != self.settings.name for name in self.owner.inbox.members)
        if not others:
            return False
        if suspicion.isolated(now):
            return self.report_handler.reports_stopped()
        # No peer was ever heard: this process started during the partition, or before the others.
        silent_s = now - max(
            self.report_handler.arrivals.last_report_at, self.peers.last_contact_at
        )
        return silent_s > ISOLATION_TIMEOUT_S and not any(map(suspicion.reachable, suspicion.nodes))

    def succession_order(self) -> list[str]:
        """Members in the order in which they should become leader, as this node judges them."""
        now, me = self.clock(), self.settings.name
        members = self.owner.inbox.members
        return leadership_order(me, self.own_health(), members, self.peers.suspicion, now)

    def slow(self) -> bool:
        """Whether this leader's timers fire late while another reachable node's do not."""
        now, suspicion = self.clock(), self.peers.suspicion
        peer_health = [
            suspicion.status_of(name, now)
            for name in self.owner.inbox.members
            if suspicion.reachable(name)
        ]
        best = min((health.pace_s for health in peer_health if health is not None), default=None)
        return self.lateness.should_hand_over(
            now, self.timer_lateness_s, best, self._overloaded_by_own_work(peer_health)
        )

    def _overloaded_by_own_work(self, peer_health: list[NodeStatus | None]) -> bool:
        """Whether lateness comes from this node's own workload rather than a slow processor."""
        others = [
            health.compute_s
            for health in peer_health
            if health is not None and health.compute_s > 0.0
        ]
        share = self.owner.busy.update(self.clock())
        return overload.overloaded(share, self.compute_pace.best_s(), min(others, default=0.0))

    def _measure_compute_time(self) -> None:
        began = self.clock()
        overload.reference_computation()
        self.compute_pace.add_sample(self.clock() - began)

    # --- effects -----------------------------------------------------------------------

    def effect(self, kind: str, data: Any) -> None:
        if kind == "commit":
            self._spawn(self._commit(data), leading=True)
        elif kind == "rent":
            self._spawn(self._rent_machines(data), leading=True)
        elif kind == "return":
            for start in range(0, len(data), c.MAX_RETURN):
                self._spawn(self._return_machines(data[start : start + c.MAX_RETURN]), leading=True)
        elif kind == "direct":
            self._spawn(self._send_direct_request(data), leading=True)
        elif kind == "reread":
            self._spawn(self._reread_keys(data), leading=True)
        elif kind == "mail":
            self._spawn(self.report_handler.mail_reader.answer(*data), leading=True)
        elif kind == "reply":
            self.report_handler.mailbox.deliver(data)
        elif kind == "leading":
            self.report_handler.on_leadership_start()
        elif kind == "retake":
            self.membership.retake = True
        elif kind == "stepped_down":
            self.store.set_leading(False)
            for task in self.leader_tasks:
                task.cancel()

    def _spawn(self, work: Coroutine[Any, Any, None], leading: bool = False) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self._on_task_done)
        if leading:
            self.leader_tasks.add(task)

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        self.tasks.discard(task)
        self.leader_tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log.error("background task failed", exc_info=task.exception())

    async def _commit(self, txn: cm.Txn) -> None:
        try:
            rev = await self.store.commit_with_retry(
                txn.guards, txn.writes, proof=txn.leader_only_key()
            )
            self.owner.put(cm.CommitResult(txn, rev))
        except Conflict as conflict:
            self.owner.put(cm.CommitResult(txn, None, conflict.failed))
        except ValueError:
            # Refused, or not even sent: whatever it is, the owner must not wait for it for ever.
            log.exception("transaction refused")
            self.owner.put(cm.CommitResult(txn, None, refused=True))

    async def _still_leading(self) -> bool:
        """Check with a guarded commit that this node still leads by the store's current view.

        Without this check, a leader that was partitioned from the store and deposed meanwhile
        returned the whole fleet to the cloud because it no longer heard any worker.
        """
        try:
            await self.store.commit({sk.VIEW: self.owner.state.rev}, {})
        except Conflict:
            return False
        return True

    async def _rent_machines(self, want: fleet.RentalRequest) -> None:
        """Request machines, retrying under one fresh rental name; a name is never reused."""
        name = f"{self.settings.name}-{uuid.uuid4().hex}"
        log.info("requesting machines from the cloud", what=want.label())

        async def request() -> cm.MachinesRented | cm.RentRefused:
            try:
                return cm.MachinesRented(
                    want,
                    await self.cloud.rent(name, want.flavor, want.zone, want.spot, want.count),
                )
            except NoCapacity:
                return cm.RentRefused(want)

        await self._retry_cloud_call("rent", request)

    async def _return_machines(self, machines: list[str]) -> None:
        async def request() -> cm.MachinesReturned:
            names = self.owner.machine_manager.still_to_return(machines)
            if names:
                await self.cloud.return_machines(names)
            return cm.MachinesReturned(names)

        async def return_overdue() -> None:
            names = self.owner.machine_manager.with_overdue_work(machines)
            # While no node reaches the store, no other node can become leader. Waiting for the end
            # of a store outage let hung machines keep cancelled work past the user's time limit.
            if names and self.peers.all_fresh() and not self.peers.peer_reaches_store():
                await self.cloud.return_machines(names)
                log.info(
                    "returned machines without confirming leadership in the store", machines=names
                )
                self.owner.put(cm.MachinesReturned(names))

        await self._retry_cloud_call("return", request, return_overdue)

    async def _retry_cloud_call(
        self,
        what: str,
        request: Callable[[], Awaitable[cm.Command]],
        unconfirmed: Callable[[], Awaitable[None]] | None = None,
    ) -> None:
        """Retry a cloud request until it is answered, and pass the result to the owner.

        Stops once another node leads. `unconfirmed` runs when the store cannot confirm leadership,
        for work that cannot wait for it.
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
                self.owner.put(await request())
                return
            except Unavailable as error:
                log.debug("cloud request failed; retrying", what=what, why=error)
            await asyncio.sleep(pause)
            pause = min(pause * 2, c.RETRY_MAX_S)

    async def _send_direct_request(self, request: cm.DirectRequest) -> None:
        try:
            if request.stops:
                report = await self.machines.stop(
                    request.address, request.epoch, request.tenure, request.stops
                )
            else:
                report = await self.machines.inspect(request.address)
        except Unavailable as error:
            log.debug("direct request failed", machine=request.machine, why=error)
            self.owner.put(cm.DirectAnswer(request, None))
        else:
            self.owner.put(cm.DirectAnswer(request, report))

    async def _reread_keys(self, keys: list[str]) -> None:
        for key in keys:
            try:
                value, rev = await self.store.get(key)
            except Unavailable:
                continue  # the next conflict triggers another read
            if value is None:
                self.owner.put(cm.CommitResult(cm.Txn({}, {}), None))
                self.membership.retake = True
            else:
                self.owner.put(cm.InboxRows([(key, value, rev)]))

    # --- loops -------------------------------------------------------------------------

    def _timer_interval_s(self) -> float:
        """Seconds until the next timer run; longer where no deadline can be due."""
        owner = self.owner
        if not (owner.inbox.accepted or owner.state.machines or self.report_handler.workers()):
            return IDLE_TIMER_S
        return TIMER_S if owner.leading else SUSPICION_CHECK_S  # followers have no earlier deadline

    async def _timer_loop(self) -> None:
        ticked_at, checked_at, logged_at, computed_at = 0.0, 0.0, self.clock(), 0.0
        while True:
            began = self.clock()
            pause = self._timer_interval_s()
            await asyncio.sleep(pause)
            now = self.clock()
            late = now - began - pause
            self.timer_lateness_s = max(
                late, self.timer_lateness_s * LATENESS_DECAY ** (pause / TIMER_S)
            )
            if now - checked_at >= SUSPICION_CHECK_S:
                checked_at = now
                self.peers.update_suspicion()
            if now - computed_at >= c.COMPUTE_INTERVAL_S:
                computed_at = now
                self._measure_compute_time()
            if now - logged_at >= METERS_LOG_S:
                log.info(
                    "meters",
                    leading=bool(self.owner.leading),
                    jobs=len(self.owner.inbox.accepted),
                    fleet=self.owner.state.fleet_summary(),
                    spent=self.owner.context.meters.summary(now - logged_at),
                )
                logged_at = now
            if now - ticked_at >= TICK_S:
                ticked_at = now
                self.owner.put(cm.Tick())
            elif self.owner.leading:
                self.owner.process_batch([])

    async def _machine_types_loop(self) -> None:
        """Read the machine types, and keep them in the store for cloud outages."""
        while True:
            try:
                if not self.owner.inbox.flavors:
                    await self._learn_types()
                elif self.owner.leading:
                    self.owner.put(cm.Prices(await self.cloud.flavors()))
                    await asyncio.sleep(PRICE_REFRESH_S)
            except (Unavailable, Conflict) as error:
                log.debug("machine types not read", why=error)
            await asyncio.sleep(0.3 if not self.owner.inbox.flavors else 1.0)

    async def _learn_types(self) -> None:
        """Read the cloud's machine types and store them in place of a record that holds none."""
        flavors = await self.cloud.flavors()
        if not flavors:
            # A stored empty list would leave every node without machine types permanently.
            return
        value = {"types": [msgspec.to_builtins(f) for f in flavors]}
        guards = {sk.TYPES: self.owner.inbox.types_rev}
        try:
            rev = await self.store.commit_with_retry(guards, {sk.TYPES: value}, self.clock() + 3.0)
        except ValueError as error:
            # The list exceeds the state service's value size limit; use it without storing it.
            log.error("machine types not stored", count=len(flavors), why=error)
            self.owner.put(cm.Prices(flavors))
        else:
            self.owner.put(cm.InboxRows([(sk.TYPES, value, rev)]))

    async def _machine_list_loop(self) -> None:
        while True:
            await asyncio.sleep(MACHINE_LIST_S)
            if not self.owner.leading:
                continue
            try:
                self.owner.put(cm.CloudList(await self.cloud.machines()))
            except Unavailable as error:
                log.debug("machine list not read", why=error)

    async def run(self) -> None:
        servers = []
        for where, handler in (
            (self.settings.front, self.user_api.handle),
            (self.settings.cluster_listen, self.peers.handle),
        ):
            runner = web.ServerRunner(web.Server(handler, access_log=None))
            await runner.setup()
            host, port = parse_address(where)
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
        """Run the node's background loops until one of them fails."""
        loops = [
            self.owner.run(),
            self.membership.run_lease(),
            self.membership.run_inbox(),
            self._timer_loop(),
            self._machine_types_loop(),
            self._machine_list_loop(),
            self.report_handler.carrier.run(),
            *(self.peers.run(peer) for peer in self.peers.peers.values()),
            *(loop() for loop in self.loops),
        ]
        await asyncio.gather(*(self._run_loop(loop) for loop in loops))

    async def _run_loop(self, loop: Coroutine[Any, Any, None]) -> None:
        try:
            await loop
        except Exception:
            log.exception("background loop failed")
            raise
