"""The stand-ins over TCP: a process for the state service, one for the cloud and its workers.

`python -m coveflow.lab.serve state|fleet PLAN` is started by `cluster`; PLAN is a CBOR file that
says which ports to use. Workers share a process because the tasks of a gang have to find each
other; each has a port and connections of its own.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import shutil
import sys
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import aiohttp
import msgspec
from aiohttp import web

from coveflow import wire
from coveflow.core.model import Order, Spec
from coveflow.lab import site as sites
from coveflow.lab.cloud import Cloud, Host
from coveflow.lab.links import Link
from coveflow.lab.runner import DEFAULT_IMAGES as IMAGES
from coveflow.lab.runner import Run
from coveflow.lab.store import Failed, Malformed, Rate, Store, TooOld
from coveflow.lab.truth import INF, Truth
from coveflow.lab.worker import Attempt, Key, Worker
from coveflow.lab.workload import run_times
from coveflow.tes import models as tm
from coveflow.wire import remote
from coveflow.wire import runner as wr

LOCAL = "127.0.0.1"
ANSWER_S = 4.0  # s a worker waits for an answer; the protocol's own number
NEXT_S = 1.0  # s until it tries the next node
CHANGE_S = 0.5  # s between two reports that changes bring forward
HUNG_LOOK_S = 0.02  # s between two looks whether a hung machine goes on
TELL_S = 0.5  # s between tries to tell how a task ended
LIST_BYTES = 512 * 1024  # bytes of one answer to a listing

clock = time.monotonic  # one clock for all processes of this machine


async def listen(handler: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]], port: int):
    """Serve on loopback; the port, and what has to be kept while it serves."""
    runner = web.ServerRunner(web.Server(handler, access_log=None))
    await runner.setup()
    site = web.TCPSite(runner, LOCAL, port, reuse_address=True)
    await site.start()
    return runner.addresses[0][1], runner


def cbor(body: bytes, status: int = 200) -> web.Response:
    return web.Response(status=status, body=body, content_type="application/cbor")


def noted(kind: str, at: float, worker: Worker, attempt: Attempt) -> dict[str, Any]:
    """A row of the history: what became of an attempt, and on which machine."""
    return {
        "at": at, "kind": kind, "job": attempt.job, "task": attempt.task,
        "number": attempt.number, "machine": worker.name, "type": worker.flavor.name,
        "zone": worker.zone, "spot": worker.spot, "why": attempt.why,
    }  # fmt: skip


class StateServer:
    """The state service: one port per controller, so that one of them can be refused alone."""

    def __init__(self, site: sites.Site) -> None:
        s = site.state
        self.store = Store(s["rps"], s["write-rps"], s["value-kb"], int(s["txn-ops"]))
        self.down_until = 0.0
        self.refused: dict[str, float] = {}  # node: until
        self.slow_until, self.slow_s = 0.0, 0.0
        self.late_until, self.late_s = 0.0, 0.0
        self.changed = asyncio.Event()

    def fill(self, tasks: int, nodes: list[str]) -> None:
        """Begin with so many tasks of the task API that are over, as a long service leaves them."""
        from coveflow.lab.prefilled_store import fill

        fill(self.store, tasks, nodes)

    def handler(self, who: str) -> Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]:
        async def handle(request: web.BaseRequest) -> web.StreamResponse:
            if request.path == "/lab/fault" and request.method == "POST":
                self.fault(wire.unpack(await request.read()))
                return web.Response()
            if request.path == "/lab/state":
                return cbor(wire.pack({"puts": self.store.puts, "rev": self.store.rev}))
            return await self.serve(who, request)

        return handle

    def fault(self, order: dict[str, Any]) -> None:
        until = clock() + order["for_s"]
        if order["kind"] == "outage":
            self.down_until = until
        elif order["kind"] == "refuse":
            self.refused[order["who"]] = until
        elif order["kind"] == "slow":
            self.slow_until, self.slow_s = until, order["by_s"]
        elif order["kind"] == "late":
            self.late_until, self.late_s = until, order["by_s"]

    def _down(self, who: str) -> bool:
        return clock() < max(self.down_until, self.refused.get(who, 0.0))

    async def serve(self, who: str, request: web.BaseRequest) -> web.StreamResponse:
        if self._down(who):
            return web.Response(status=503)
        if not self.store.requests.take(1, clock()):
            return web.Response(status=429)
        if clock() < self.slow_until:
            await asyncio.sleep(self.slow_s)
        try:
            return await self._route(who, request)
        except Failed as conflict:
            return cbor(remote.txn_body(conflict.rev, conflict.keys), 409)
        except (Malformed, wire.Malformed, KeyError, ValueError) as error:
            return cbor(wire.error_answer(str(error)), 400)
        except TooOld:
            return web.Response(status=410)

    async def _route(self, who: str, request: web.BaseRequest) -> web.StreamResponse:
        path, method, store = request.path, request.method, self.store
        if path == wire.COMMIT_PATH and method == "POST":
            return await self._commit(await request.read())
        if path == wire.CHANGES_PATH and method == "GET":
            return await self._watch(who, request.query)
        if path == wire.STORE_PATH and method == "GET":
            return self._list(request.query)
        if path.startswith(wire.STORE_PATH + "/") and method == "GET":
            row = store.get(path[len(wire.STORE_PATH) + 1 :])
            if row is None:
                return cbor(remote.txn_body(store.rev), 404)
            return cbor(
                remote.item_body(path[len(wire.STORE_PATH) + 1 :], row.value, row.rev, row.grant)
            )
        if path == wire.LEASES_PATH and method == "POST":
            return cbor(
                remote.lease_answer(
                    store.hold(remote.read_lease_duration(await request.read()), clock())
                )
            )
        if path.startswith(wire.LEASES_PATH + "/"):
            number = path[len(wire.LEASES_PATH) + 1 :].removesuffix("/renew")
            if method == "POST":
                good = store.renew(int(number), clock())
                return web.Response(status=200 if good else 404)
            if method == "DELETE":
                store.end(int(number))
                self._tell()
                return web.Response()
        return web.Response(status=404)

    async def _commit(self, body: bytes) -> web.StreamResponse:
        guards, writes = remote.read_txn(body)
        if writes and not self.store.changes.take(len(writes), clock()):
            return web.Response(status=429)
        if clock() < self.late_until and writes:
            # Applied late, and nobody is told: the sender has to find out.
            asyncio.get_running_loop().call_later(self.late_s, self._late, guards, writes)
            await asyncio.sleep(self.late_s + ANSWER_S)
            return web.Response(status=503)
        rev = self.store.commit(guards, writes, clock())
        if writes:
            self._tell()
        return cbor(remote.txn_body(rev))

    def _late(self, guards: dict[str, int], writes: dict[str, tuple[Any, int | None]]) -> None:
        with contextlib.suppress(Failed, Malformed):
            self.store.commit(guards, writes, clock())
            self._tell()

    def _tell(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()

    def _list(self, query: Any) -> web.StreamResponse:
        rows, more = self.store.list(
            query.get("starts", ""), query.get("after", ""), min(int(query.get("most", 1000)), 1000)
        )
        taken, size = [], 0
        for key, row in rows:
            size += len(msgspec.json.encode(row.value)) + len(key)
            if size > LIST_BYTES and taken:
                more = True
                break
            taken.append((key, row.value, row.rev))
        return cbor(remote.rows_body(taken, more, self.store.rev))

    async def _watch(self, who: str, query: Any) -> web.StreamResponse:
        prefix, after = query.get("starts", ""), int(query["after"])
        ends = clock() + min(int(query.get("hold_ms", 0)), 60_000) / 1000
        while True:
            if not self._down(who):
                events = self.store.events(prefix, after)
                if events or clock() >= ends:
                    return cbor(remote.events_body(self.store.rev, events))
            with contextlib.suppress(TimeoutError):
                wait = max(0.01, ends - clock()) if not self._down(who) else 0.1
                await asyncio.wait_for(self.changed.wait(), min(wait, 1.0))

    async def run(self) -> None:
        was_down = False
        while True:
            await asyncio.sleep(0.05)
            now = clock()
            if now < self.down_until:
                was_down = True
                continue
            if was_down:
                was_down = False
                self.store.after_outage(now)
            rev = self.store.rev
            self.store.expire(now)
            if self.store.rev != rev:
                self._tell()


class FleetServer:
    """The cloud, its workers, the links of the whole lab, and the lab's own orders."""

    def __init__(self, site: sites.Site, plan: dict[str, Any]) -> None:
        self.site, self.plan = site, plan
        limits = site.limits
        self.truth = Truth(run_times(site), limits.gang_peer_s, limits.gang_wait_s)
        self.cloud = Cloud(
            site.flavors, site.capacity, site.cloud["list-lag-s"], site.seed,
            names=plan.get("names", "n"),
        )  # fmt: skip
        self.rate = Rate(site.cloud["rps"], 2.0)
        self.down_until = 0.0
        self.random = random.Random(site.seed)
        self.workers: dict[str, Worker] = {}
        self.pokes: dict[str, asyncio.Event] = {}
        self.awake: dict[str, asyncio.Event] = {}
        self.runners: dict[str, web.ServerRunner] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        self.links: dict[str, Link] = {}
        self.history = open(plan["history"], "a", encoding="utf-8")  # noqa: SIM115
        self.session: aiohttp.ClientSession | None = None
        self.runs: dict[tuple[str, Key], Run] = {}
        self.at: dict[str, str] = {}  # the node that each machine reports to
        self.cloud.on_rent = self._rented
        self.cloud.on_gone = self._gone

    # --- history -----------------------------------------------------------------------

    def note(self, kind: str, at: float, worker: Worker, attempt: Attempt) -> None:
        row = noted(kind, at, worker, attempt)
        self.history.write(json.dumps(row) + "\n")
        if attempt.job in self.truth.documents:
            if kind == "running":
                self._spawn(self._run_document(worker, attempt.key))
            elif kind == "off":
                self._end_run(worker.name, attempt.key)

    # --- tasks that are real processes -----------------------------------------------------

    async def _learn(self, worker: Worker, node: str, orders: list[Order]) -> None:
        """Fetch the documents of jobs that nobody uploaded here: they are the task API's."""
        for job in {o.job for o in orders if o.verb == "run"} - set(self.truth.specs):
            status, body = await self._ask(worker.zone, node, "GET", wr.TASK_PATH + job, None)
            if status != 200:
                continue
            spec, document = wr.read_task(body)
            if job not in self.truth.specs:
                self.truth.documents[job] = document
                self.truth.upload(msgspec.convert(spec, Spec))
                row = {"at": clock(), "kind": "submit", "job": job, "spec": spec}
                self.history.write(json.dumps(row) + "\n")

    def _end_run(self, machine: str, key: Key) -> None:
        run = self.runs.pop((machine, key), None)
        if run is not None:
            run.kill()

    async def _run_document(self, worker: Worker, key: Key) -> None:
        """Run an attempt; its word is kept by a controller before the machine reports its end."""
        job, task, number = key
        folder = Path(self.plan["tasks"]) / f"{job}-{task}-{number}-{worker.name}"
        document = tm.read_document(self.truth.documents[job])
        size = self.truth.specs[job].tasks
        images = IMAGES | self.site.images
        run = self.runs[worker.name, key] = Run(job, task, document, folder, images, size)
        try:
            told = await run.go()
            while (worker.name, key) in self.runs:
                node = self.at.get(worker.name, self.plan["nodes"][0])
                status, _ = await self._ask(
                    worker.zone, node, "POST", wr.RESULT_PATH, wr.result_body(told)
                )
                if status == 200:
                    worker.finish(key, clock())
                    self.poke_changed()
                if status in (200, 400, 410):
                    break  # 410: it was cancelled, and a stop is on its way
                await asyncio.sleep(TELL_S)
        finally:
            if run.killed or (worker.name, key) not in self.runs:
                run.kill()
            await asyncio.to_thread(shutil.rmtree, folder, True)

    # --- machines ----------------------------------------------------------------------

    def _rented(self, host: Host) -> None:
        if host.up < INF:
            self._spawn(self._boot(host))

    def _spawn(self, work: Any) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _boot(self, host: Host) -> None:
        await asyncio.sleep(max(0.0, host.up - clock()))
        if host.gone < INF or host.failed < INF:
            return
        worker = Worker(
            host.name, "", host.flavor, host.zone, host.spot, self.site.limits, self.truth,
            clock(), host.slow, host.fetch_part, self.note,
        )  # fmt: skip
        self.pokes[host.name] = asyncio.Event()
        self.awake[host.name] = asyncio.Event()
        self.awake[host.name].set()
        port, runner = await listen(self._commands(worker), 0)
        self.runners[host.name] = runner
        worker.address = host.address = f"{LOCAL}:{port}"
        self.workers[host.name] = worker
        await self._live(worker)

    def _gone(self, host: Host, now: float) -> None:
        worker = self.workers.pop(host.name, None)
        if worker is None:
            return
        worker.die(now)
        self.pokes[host.name].set()
        self.poke_changed()
        runner = self.runners.pop(host.name, None)
        if runner is not None:
            self._spawn(runner.cleanup())

    def poke_changed(self) -> None:
        """Wake those whose tasks changed: a gang's end on one machine changes others."""
        touched, self.truth.touched = self.truth.touched, {}
        for worker in touched:
            if worker.name in self.pokes:
                self.pokes[worker.name].set()

    def _commands(self, worker: Worker):
        async def handle(request: web.BaseRequest) -> web.StreamResponse:
            await self.awake[worker.name].wait()  # a hung machine answers when it goes on
            now = clock()
            if request.path == wire.INSPECT_PATH and request.method == "GET":
                return cbor(remote.report_body(worker.report(now)))
            if request.path == wire.COMMANDS_PATH and request.method == "POST":
                try:
                    epoch, tenure, orders = remote.read_orders(await request.read())
                except (wire.Malformed, KeyError, TypeError):
                    return web.Response(status=400)
                if epoch is None or tenure is None:
                    return web.Response(status=400)
                good = worker.commanded({"epoch": epoch, "tenure": tenure}, orders, now)
                self.poke_changed()
                return cbor(remote.report_body(worker.report(now)), 200 if good else 409)
            return web.Response(status=404)

        return handle

    async def _live(self, worker: Worker) -> None:
        """Report, obey, and let happen what happens by itself, until the machine is gone."""
        nodes = list(self.plan["nodes"])
        node = self.random.choice(nodes)
        poke = self.pokes[worker.name]
        due = clock() + self.random.uniform(0, self.site.limits.report_s)
        soonest = -INF  # before which no change brings the next report forward
        while worker.alive:
            await self._until(worker, poke, due, soonest)
            if not worker.alive:
                return
            sent = clock()
            report = worker.report(sent)
            status, body = await self._post(worker, node, remote.report_body(report))
            now = clock()
            if not worker.alive:
                return
            wait = NEXT_S
            if status == 200:
                try:
                    epoch, _, orders = remote.read_orders(body)
                except wire.Malformed:
                    epoch, orders = None, []
                await self._learn(worker, node, orders)
                now = clock()
                self.at[worker.name] = node
                worker.answered(report.tenure, sent, epoch, orders, now)
                self.poke_changed()
                wait = None
            elif status == 421:
                to = remote.read_redirect(body)
                if to in nodes and to != node:
                    node, wait = to, self.random.uniform(0.0, 0.5)
                else:
                    node = nodes[(nodes.index(node) + 1) % len(nodes)]
            else:
                node = nodes[(nodes.index(node) + 1) % len(nodes)]
            every = self.site.limits.report_s * self.random.uniform(0.75, 1.25)
            due = now + wait if wait is not None else sent + every
            soonest = due if wait is not None else sent + CHANGE_S

    async def _until(self, worker: Worker, poke: asyncio.Event, due: float, soonest: float) -> None:
        """Sleep until the next report; changes bring it forward, internal events happen."""
        while worker.alive:
            now = clock()
            if worker.hung_at is None:
                worker.advance(now)
                self._gangs(now)
                if worker.changed:
                    due = min(due, max(soonest, now))
                if now >= due:
                    return
            at = min(due, worker.next_at())
            with contextlib.suppress(TimeoutError):
                least = 0.001 if worker.hung_at is None else HUNG_LOOK_S
                await asyncio.wait_for(poke.wait(), max(least, min(at - now, 1.0)))
            poke.clear()

    def _gangs(self, now: float) -> None:
        if self.truth.next_at() <= now:
            self.truth.advance(now)
            self.poke_changed()

    async def _gang_timer(self) -> None:
        while True:
            await asyncio.sleep(0.02)
            self._gangs(clock())

    async def _post(self, worker: Worker, node: str, body: bytes) -> tuple[int, bytes]:
        return await self._ask(worker.zone, node, "POST", wire.REPORT_PATH, body)

    async def _ask(
        self, zone: str, node: str, method: str, path: str, body: bytes | None
    ) -> tuple[int, bytes]:
        """Status (0: none) and body, over the zone's link to the node."""
        assert self.session is not None
        link = self.links[f"{zone}->{node}"]
        try:
            async with self.session.request(
                method,
                f"http://{LOCAL}:{link.port}{path}",
                data=body,
                timeout=aiohttp.ClientTimeout(total=ANSWER_S),
                allow_redirects=False,
            ) as response:
                return response.status, await response.read()
        except (aiohttp.ClientError, TimeoutError, OSError):
            return 0, b""

    # --- the cloud's interface ---------------------------------------------------------

    async def serve_cloud(self, request: web.BaseRequest) -> web.StreamResponse:
        now = clock()
        if now < self.down_until:
            return cbor(wire.error_answer("trouble"), 503)
        if not self.rate.take(1, now):
            return web.Response(status=429)
        path, method = request.path, request.method
        try:
            if path == wire.FLAVORS_PATH and method == "GET":
                return cbor(remote.flavors_body(self.cloud.priced()))
            if path == wire.RENTALS_PATH and method == "POST":
                names = self.cloud.rent(*remote.read_rental(await request.read()), now)
                if not names:
                    return cbor(wire.error_answer("no capacity"), 503)
                return cbor(remote.hosts_body(names))
            if path == wire.RENTALS_PATH and method == "GET":
                most = min(int(request.query.get("most", 500)), 500)
                rows, more = self.cloud.list(request.query.get("after", ""), most, now)
                return cbor(remote.list_body(rows, more))
            if path == wire.RETURN_PATH and method == "POST":
                self.cloud.give_back(wire.read_hosts(await request.read()), now)
                return web.Response()
        except (wire.Malformed, ValueError) as error:
            return cbor(wire.error_answer(str(error)), 400)
        return web.Response(status=404)

    # --- the lab's own interface -------------------------------------------------------

    async def serve_lab(self, request: web.BaseRequest) -> web.StreamResponse:
        body = wire.unpack(await request.read()) if request.method == "POST" else {}
        if request.path == "/lab/upload":
            self.truth.upload(msgspec.convert(body["spec"], Spec))
            if body.get("broken"):
                self.truth.broken.add(body["spec"]["id"])
            return web.Response()
        if request.path == "/lab/fault":
            await self.fault(body)
            return web.Response()
        if request.path == "/lab/state":
            return cbor(wire.pack(self.state()))
        return web.Response(status=404)

    def state(self) -> dict[str, Any]:
        now = clock()
        self.history.flush()
        return {
            "machines": [
                {
                    "name": w.name, "type": w.flavor.name, "zone": w.zone, "spot": w.spot,
                    "cpus": w.flavor.cpus, "hung": w.hung_at is not None, "slow": w.slow,
                    "tasks": [[a.job, a.task, a.state] for a in w.tasks.values()],
                }
                for w in self.workers.values()
            ],
            "done": len(self.truth.done),
            "paid": self.cloud.spent(now),
            "refusals": self.cloud.refusals,
        }  # fmt: skip

    async def fault(self, order: dict[str, Any]) -> None:
        now = clock()
        kind, for_s = order["kind"], order.get("for_s", 0.0)
        if kind == "cut":
            for name in order["links"]:
                await self.links[name].set(order.get("mode", "hold"))
            self._spawn(self._mend(order["links"], for_s))
        elif kind == "delay":
            for name in order["links"]:
                await self.links[name].set("open", order["by_s"])
            self._spawn(self._mend(order["links"], for_s))
        elif kind == "cloud-outage":
            self.down_until = now + for_s
        else:
            names = sorted(self.workers)
            chosen = order.get("machines") or self.random.sample(
                names, min(int(order.get("count", 1)), len(names))
            )
            for worker in [self.workers[n] for n in chosen if n in self.workers]:
                self._machine_fault(kind, worker, order, now)

    def _machine_fault(self, kind: str, worker: Worker, order: dict[str, Any], now: float) -> None:
        for_s = order.get("for_s", 0.0)
        if kind == "kill":
            self.cloud.fail(worker.name, now)
        elif kind == "take":
            notice = order.get("notice_s", 0.0)
            worker.taken_at, worker.changed = now + notice, True
            self.pokes[worker.name].set()
            self._spawn(self._take(worker.name, notice))
        elif kind == "hang":
            worker.hang(now)
            self.awake[worker.name].clear()
            self._spawn(self._later(for_s, lambda: self._resume(worker)))
        elif kind == "sick":
            worker.sick = True
            self._spawn(self._later(for_s, lambda: setattr(worker, "sick", False)))
        elif kind == "slow":
            worker.slow *= order.get("factor", 2.0)
            self._spawn(
                self._later(for_s, lambda: setattr(worker, "slow", worker.slow / order["factor"]))
            )

    def _resume(self, worker: Worker) -> None:
        worker.resume(clock())
        self.awake[worker.name].set()

    async def _later(self, after_s: float, action: Callable[[], Any]) -> None:
        await asyncio.sleep(after_s)
        action()
        self.poke_changed()

    async def _take(self, name: str, notice_s: float) -> None:
        await asyncio.sleep(notice_s)
        self.cloud.take(name, clock())

    async def _mend(self, links: list[str], after_s: float) -> None:
        await asyncio.sleep(after_s)
        for name in links:
            await self.links[name].set("open")

    async def run(self) -> None:
        self.session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
        for name, port, target in self.plan["links"]:
            self.links[name] = Link(name, (LOCAL, target), port)
            await self.links[name].start()
        for (flavor, zone, spot), count in self.site.up.items():
            self.cloud.begin(flavor, zone, spot, count, clock())
        self._spawn(self._gang_timer())
        while True:
            await asyncio.sleep(1.0)
            self.history.flush()
            if self.random.random() < 0.1:
                self.cloud.drift()


async def serve(role: str, plan: dict[str, Any]) -> None:
    site = sites.load(Path(plan["site"]))
    kept = []
    if role == "state":
        state = StateServer(site)
        if plan.get("filled"):
            state.fill(plan["filled"], plan["nodes"])
        for who, port in plan["state"].items():
            kept.append(await listen(state.handler(who), port))
        await state.run()
    else:
        fleet = FleetServer(site, plan)
        kept.append(await listen(fleet.serve_cloud, plan["cloud"]))
        kept.append(await listen(fleet.serve_lab, plan["lab"]))
        await fleet.run()


if __name__ == "__main__":
    asyncio.run(serve(sys.argv[1], wire.unpack(Path(sys.argv[2]).read_bytes())))
