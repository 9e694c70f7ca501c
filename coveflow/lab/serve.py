"""Serves the simulated services over TCP: the state service, and the cloud with its workers.

`cluster` starts `python -m coveflow.lab.serve state|fleet PLAN` once for each; PLAN is a CBOR file
with the ports to use. All workers run in one process, since the tasks of a gang have to find each
other; each worker has its own port and connections.
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
from coveflow.lab.runner import TaskRun
from coveflow.lab.store import ConditionFailed, Malformed, RateLimit, RevisionCompacted, Store
from coveflow.lab.truth import INF, GroundTruth
from coveflow.lab.worker import Attempt, Key, Worker
from coveflow.lab.workload import run_times
from coveflow.tes import models as tm
from coveflow.wire import remote
from coveflow.wire import runner as wr

LOCAL = "127.0.0.1"
ANSWER_S = 4.0  # how long a worker waits for an answer, as the protocol states
NEXT_NODE_S = 1.0  # delay before a worker tries the next node
EARLY_REPORT_S = 0.5  # minimum interval between two reports that are sent early because of changes
HUNG_POLL_S = 0.02  # interval of the checks whether a hung machine has resumed
RESULT_RETRY_S = 0.5  # delay between attempts to send a task's result
LIST_BYTES = 512 * 1024  # maximum size of one page of a listing

clock = time.monotonic  # the same clock in all processes of this machine


async def listen(handler: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]], port: int):
    """Serve on loopback; returns the port and the runner, which has to be kept alive."""
    runner = web.ServerRunner(web.Server(handler, access_log=None))
    await runner.setup()
    site = web.TCPSite(runner, LOCAL, port, reuse_address=True)
    await site.start()
    return runner.addresses[0][1], runner


def cbor(body: bytes, status: int = 200) -> web.Response:
    return web.Response(status=status, body=body, content_type="application/cbor")


def attempt_row(kind: str, at: float, worker: Worker, attempt: Attempt) -> dict[str, Any]:
    """The row of the history for an event of an attempt on a machine."""
    return {
        "at": at, "kind": kind, "job": attempt.job, "task": attempt.task,
        "number": attempt.number, "machine": worker.name, "type": worker.flavor.name,
        "zone": worker.zone, "spot": worker.spot, "why": attempt.why,
    }  # fmt: skip


class StateServer:
    """The state service, with one port per controller, so that each can be refused separately."""

    def __init__(self, site: sites.Site) -> None:
        s = site.state
        self.store = Store(s["rps"], s["write-rps"], s["value-kb"], int(s["txn-ops"]))
        self.down_until = 0.0
        self.refused: dict[str, float] = {}  # node: until
        self.slow_until, self.slow_s = 0.0, 0.0
        self.late_until, self.late_s = 0.0, 0.0
        self.changed = asyncio.Event()

    def fill(self, tasks: int, nodes: list[str]) -> None:
        """Add records of finished tasks of the task API, as they exist after a long operation."""
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
        except ConditionFailed as conflict:
            return cbor(remote.txn_body(conflict.rev, conflict.keys), 409)
        except (Malformed, wire.Malformed, KeyError, ValueError) as error:
            return cbor(wire.error_answer(str(error)), 400)
        except RevisionCompacted:
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
                remote.item_body(path[len(wire.STORE_PATH) + 1 :], row.value, row.rev, row.lease)
            )
        if path == wire.LEASES_PATH and method == "POST":
            return cbor(
                remote.lease_answer(
                    store.grant_lease(remote.read_lease_duration(await request.read()), clock())
                )
            )
        if path.startswith(wire.LEASES_PATH + "/"):
            number = path[len(wire.LEASES_PATH) + 1 :].removesuffix("/renew")
            if method == "POST":
                accepted = store.renew_lease(int(number), clock())
                return web.Response(status=200 if accepted else 404)
            if method == "DELETE":
                store.end_lease(int(number))
                self._notify_watches()
                return web.Response()
        return web.Response(status=404)

    async def _commit(self, body: bytes) -> web.StreamResponse:
        guards, writes = remote.read_txn(body)
        if writes and not self.store.write_limit.take(len(writes), clock()):
            return web.Response(status=429)
        if clock() < self.late_until and writes:
            # Applied late and answered with 503: the sender has to find out the outcome itself.
            asyncio.get_running_loop().call_later(self.late_s, self._commit_late, guards, writes)
            await asyncio.sleep(self.late_s + ANSWER_S)
            return web.Response(status=503)
        rev = self.store.commit(guards, writes, clock())
        if writes:
            self._notify_watches()
        return cbor(remote.txn_body(rev))

    def _commit_late(
        self, guards: dict[str, int], writes: dict[str, tuple[Any, int | None]]
    ) -> None:
        with contextlib.suppress(ConditionFailed, Malformed):
            self.store.commit(guards, writes, clock())
            self._notify_watches()

    def _notify_watches(self) -> None:
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
                self.store.renew_all_leases(now)
            rev = self.store.rev
            self.store.expire_leases(now)
            if self.store.rev != rev:
                self._notify_watches()


class FleetServer:
    """The cloud, its workers, the links of the whole lab, and the control interface of the lab."""

    def __init__(self, site: sites.Site, plan: dict[str, Any]) -> None:
        self.site, self.plan = site, plan
        limits = site.limits
        self.truth = GroundTruth(run_times(site), limits.gang_peer_s, limits.gang_wait_s)
        self.cloud = Cloud(
            site.flavors, site.capacity, site.cloud["list-lag-s"], site.seed,
            names=plan.get("names", "n"),
        )  # fmt: skip
        self.rate = RateLimit(site.cloud["rps"], 2.0)
        self.down_until = 0.0
        self.random = random.Random(site.seed)
        self.workers: dict[str, Worker] = {}
        self.wake_events: dict[str, asyncio.Event] = {}
        self.not_hung: dict[str, asyncio.Event] = {}
        self.runners: dict[str, web.ServerRunner] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        self.links: dict[str, Link] = {}
        self.history = open(plan["history"], "a", encoding="utf-8")  # noqa: SIM115
        self.session: aiohttp.ClientSession | None = None
        self.runs: dict[tuple[str, Key], TaskRun] = {}
        self.last_node: dict[str, str] = {}  # the node that last answered each machine
        self.cloud.on_rent = self._rented
        self.cloud.on_gone = self._removed

    # --- history -----------------------------------------------------------------------

    def note(self, kind: str, at: float, worker: Worker, attempt: Attempt) -> None:
        row = attempt_row(kind, at, worker, attempt)
        self.history.write(json.dumps(row) + "\n")
        if attempt.job in self.truth.documents:
            if kind == "running":
                self._spawn(self._run_document(worker, attempt.key))
            elif kind == "off":
                self._end_run(worker.name, attempt.key)

    # --- tasks that are real processes -----------------------------------------------------

    async def _fetch_documents(self, worker: Worker, node: str, orders: list[Order]) -> None:
        """Fetch the documents of jobs that were not uploaded here: those of the task API."""
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
        """Run an attempt; the worker reports its end only after a controller stored its result."""
        job, task, number = key
        folder = Path(self.plan["tasks"]) / f"{job}-{task}-{number}-{worker.name}"
        document = tm.read_document(self.truth.documents[job])
        size = self.truth.specs[job].tasks
        images = IMAGES | self.site.images
        run = self.runs[worker.name, key] = TaskRun(job, task, document, folder, images, size)
        try:
            result = await run.execute()
            while (worker.name, key) in self.runs:
                node = self.last_node.get(worker.name, self.plan["nodes"][0])
                status, _ = await self._ask(
                    worker.zone, node, "POST", wr.RESULT_PATH, wr.result_body(result)
                )
                if status == 200:
                    worker.finish(key, clock())
                    self.wake_changed()
                if status in (200, 400, 410):
                    break  # 410: the job was cancelled, and a stop order follows
                await asyncio.sleep(RESULT_RETRY_S)
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
        self.wake_events[host.name] = asyncio.Event()
        self.not_hung[host.name] = asyncio.Event()
        self.not_hung[host.name].set()
        port, runner = await listen(self._commands(worker), 0)
        self.runners[host.name] = runner
        worker.address = host.address = f"{LOCAL}:{port}"
        self.workers[host.name] = worker
        await self._run_worker(worker)

    def _removed(self, host: Host, now: float) -> None:
        worker = self.workers.pop(host.name, None)
        if worker is None:
            return
        worker.terminate(now)
        self.wake_events[host.name].set()
        self.wake_changed()
        runner = self.runners.pop(host.name, None)
        if runner is not None:
            self._spawn(runner.cleanup())

    def wake_changed(self) -> None:
        """Wake the workers whose tasks changed: the end of a gang affects several machines."""
        touched, self.truth.changed_workers = self.truth.changed_workers, {}
        for worker in touched:
            if worker.name in self.wake_events:
                self.wake_events[worker.name].set()

    def _commands(self, worker: Worker):
        async def handle(request: web.BaseRequest) -> web.StreamResponse:
            await self.not_hung[worker.name].wait()  # a hung machine answers after it resumes
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
                accepted = worker.receive_commands({"epoch": epoch, "tenure": tenure}, orders, now)
                self.wake_changed()
                return cbor(remote.report_body(worker.report(now)), 200 if accepted else 409)
            return web.Response(status=404)

        return handle

    async def _run_worker(self, worker: Worker) -> None:
        """Send reports, apply orders and process internal events until the machine is gone."""
        nodes = list(self.plan["nodes"])
        node = self.random.choice(nodes)
        wake = self.wake_events[worker.name]
        due = clock() + self.random.uniform(0, self.site.limits.report_s)
        earliest = -INF  # no report is sent early because of changes before this time
        while worker.alive:
            await self._wait_for_report(worker, wake, due, earliest)
            if not worker.alive:
                return
            sent = clock()
            report = worker.report(sent)
            status, body = await self._post(worker, node, remote.report_body(report))
            now = clock()
            if not worker.alive:
                return
            wait = NEXT_NODE_S
            if status == 200:
                try:
                    epoch, _, orders = remote.read_orders(body)
                except wire.Malformed:
                    epoch, orders = None, []
                await self._fetch_documents(worker, node, orders)
                now = clock()
                self.last_node[worker.name] = node
                worker.receive_answer(report.tenure, sent, epoch, orders, now)
                self.wake_changed()
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
            earliest = due if wait is not None else sent + EARLY_REPORT_S

    async def _wait_for_report(
        self, worker: Worker, wake: asyncio.Event, due: float, earliest: float
    ) -> None:
        """Process internal events until the next report is due; changes make it due earlier."""
        while worker.alive:
            now = clock()
            if worker.hung_at is None:
                worker.advance(now)
                self._advance_gangs(now)
                if worker.changed:
                    due = min(due, max(earliest, now))
                if now >= due:
                    return
            at = min(due, worker.next_at())
            with contextlib.suppress(TimeoutError):
                least = 0.001 if worker.hung_at is None else HUNG_POLL_S
                await asyncio.wait_for(wake.wait(), max(least, min(at - now, 1.0)))
            wake.clear()

    def _advance_gangs(self, now: float) -> None:
        if self.truth.next_at() <= now:
            self.truth.advance(now)
            self.wake_changed()

    async def _gang_timer(self) -> None:
        while True:
            await asyncio.sleep(0.02)
            self._advance_gangs(clock())

    async def _post(self, worker: Worker, node: str, body: bytes) -> tuple[int, bytes]:
        return await self._ask(worker.zone, node, "POST", wire.REPORT_PATH, body)

    async def _ask(
        self, zone: str, node: str, method: str, path: str, body: bytes | None
    ) -> tuple[int, bytes]:
        """Send a request over the zone's link to the node; returns status (0: none) and body."""
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
                return cbor(remote.flavors_body(self.cloud.current_flavors()))
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
                self.cloud.return_machines(wire.read_hosts(await request.read()), now)
                return web.Response()
        except (wire.Malformed, ValueError) as error:
            return cbor(wire.error_answer(str(error)), 400)
        return web.Response(status=404)

    # --- the control interface of the lab ----------------------------------------------

    async def serve_lab(self, request: web.BaseRequest) -> web.StreamResponse:
        body = wire.unpack(await request.read()) if request.method == "POST" else {}
        if request.path == "/lab/upload":
            self.truth.upload(msgspec.convert(body["spec"], Spec))
            if body.get("broken"):
                self.truth.failing_jobs.add(body["spec"]["id"])
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
                await self.links[name].set_mode(order.get("mode", "hold"))
            self._spawn(self._reopen_links(order["links"], for_s))
        elif kind == "delay":
            for name in order["links"]:
                await self.links[name].set_mode("open", order["by_s"])
            self._spawn(self._reopen_links(order["links"], for_s))
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
            worker.reclaim_at, worker.changed = now + notice, True
            self.wake_events[worker.name].set()
            self._spawn(self._reclaim(worker.name, notice))
        elif kind == "hang":
            worker.hang(now)
            self.not_hung[worker.name].clear()
            self._spawn(self._run_later(for_s, lambda: self._resume(worker)))
        elif kind == "sick":
            worker.sick = True
            self._spawn(self._run_later(for_s, lambda: setattr(worker, "sick", False)))
        elif kind == "slow":
            worker.slow *= order.get("factor", 2.0)
            self._spawn(
                self._run_later(
                    for_s, lambda: setattr(worker, "slow", worker.slow / order["factor"])
                )
            )

    def _resume(self, worker: Worker) -> None:
        worker.resume(clock())
        self.not_hung[worker.name].set()

    async def _run_later(self, after_s: float, action: Callable[[], Any]) -> None:
        await asyncio.sleep(after_s)
        action()
        self.wake_changed()

    async def _reclaim(self, name: str, notice_s: float) -> None:
        await asyncio.sleep(notice_s)
        self.cloud.reclaim(name, clock())

    async def _reopen_links(self, links: list[str], after_s: float) -> None:
        await asyncio.sleep(after_s)
        for name in links:
            await self.links[name].set_mode("open")

    async def run(self) -> None:
        self.session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
        for name, port, target in self.plan["links"]:
            self.links[name] = Link(name, (LOCAL, target), port)
            await self.links[name].start()
        for (flavor, zone, spot), count in self.site.up.items():
            self.cloud.start_machines(flavor, zone, spot, count, clock())
        self._spawn(self._gang_timer())
        while True:
            await asyncio.sleep(1.0)
            self.history.flush()
            if self.random.random() < 0.1:
                self.cloud.drift()


async def serve(role: str, plan: dict[str, Any]) -> None:
    site = sites.load(Path(plan["site"]))
    listeners = []
    if role == "state":
        state = StateServer(site)
        if plan.get("filled"):
            state.fill(plan["filled"], plan["nodes"])
        for who, port in plan["state"].items():
            listeners.append(await listen(state.handler(who), port))
        await state.run()
    else:
        fleet = FleetServer(site, plan)
        listeners.append(await listen(fleet.serve_cloud, plan["cloud"]))
        listeners.append(await listen(fleet.serve_lab, plan["lab"]))
        await fleet.run()


if __name__ == "__main__":
    asyncio.run(serve(sys.argv[1], wire.unpack(Path(sys.argv[2]).read_bytes())))
