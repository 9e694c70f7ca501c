"""Tests the task execution API on a lab under faults, and measures its latencies.

`run_history` submits tasks while faults drawn from a seed are injected, polls every node repeatedly
and checks that each task has one final state, which every node reports from then on, that each
idempotency key has one task, and that the workers' history keeps the protocol's rules.
`measure_latencies` measures nodes that store many tasks.
"""

from __future__ import annotations

import asyncio
import random
import time
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any

import aiohttp
from hdrh.histogram import HdrHistogram

from coveflow.client import RequestRejected, RetriesExhausted
from coveflow.lab import faults as fl
from coveflow.lab import workload
from coveflow.lab.cluster import Cluster, LabError
from coveflow.lab.workload_run import WorkloadRun
from coveflow.taskclient import FINAL, TaskClient

SUBMIT_S = 7.0  # s in which tasks are submitted and faults start
FINISH_TIMEOUT_S = 60.0  # s after which every task must be finished
POLL_INTERVAL_S = 0.25  # s between two rounds of polling
LAST_ROUNDS = 3  # final polls of every node, when all tasks are finished
KINDS = ("leader", "node", "outage", "refuse", "machine", "hang", "cut", "slow")
TEAM = "mapping"


@dataclass
class HistoryResult:
    """Result of a run; `wrong` lists the violations."""

    seed: int
    tasks: int = 0
    answers: int = 0
    faults: list[str] = field(default_factory=list)
    ends: dict[str, int] = field(default_factory=dict)
    wrong: list[str] = field(default_factory=list)


def draw_faults(seed: int) -> list[fl.Fault]:
    """Three to five faults that start while tasks are submitted; determined by the seed."""
    rng = random.Random(seed)
    found = []
    for _ in range(rng.randint(3, 5)):
        at, for_s = rng.uniform(0.5, SUBMIT_S), rng.uniform(0.5, 3.0)
        host = f"host-{rng.randrange(3)}"
        match rng.choice(KINDS):
            case "leader":
                fault = fl.Fault(at, "kill", ("leader",))
            case "node":
                fault = fl.Fault(at, "kill", (host,))
            case "outage":
                fault = fl.Fault(at, "outage", ("state",), for_s)
            case "refuse":
                fault = fl.Fault(at, "refuse", (host,), for_s)
            case "machine":
                fault = fl.Fault(at, "machines", ("kill",))
            case "hang":
                fault = fl.Fault(at, "machines", ("hang",), for_s)
            case "cut":
                mode = rng.choice(fl.MODES)
                fault = fl.Fault(at, "cut", (host, rng.choice(("state", "workers"))), for_s, mode)
            case _:
                fault = fl.Fault(at, "slow", ("state",), for_s, options={"by": 0.3})
        found.append(replace(fault, options=fl.DEFAULT_OPTIONS | fault.options))
    return sorted(found, key=lambda fault: fault.at)


class TaskHistory:
    """Submits tasks, polls all nodes and records every task state that a node reports."""

    def __init__(self, cluster: Cluster, seed: int, tasks: int) -> None:
        self.cluster, self.found = cluster, HistoryResult(seed)
        self.rng, self.count = random.Random(seed + 1), tasks
        self.final: dict[str, tuple[str, str]] = {}  # state, and the node that first reported it
        self.known: dict[str, str] = {}  # task by idempotency key
        self.cancelled: dict[str, float] = {}
        self.finished_events: dict[str, asyncio.Event] = {}

    def record_state(self, task: str, state: str, who: str) -> None:
        self.found.answers += 1
        first = self.final.get(task)
        if first is not None and state != first[0]:
            self.found.wrong.append(f"{task} is {state} by {who}, but {first[0]} by {first[1]}")
        elif first is None and state in FINAL:
            self.final[task] = (state, who)
            self.finished_events.setdefault(task, asyncio.Event()).set()
            if state == "CANCELED" and task not in self.cancelled:
                self.found.wrong.append(f"{task} is CANCELED and nobody asked for it")

    async def run(self) -> HistoryResult:
        async with aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0)) as session:
            client = TaskClient(session, self.cluster.task_urls(), self.cluster.tokens[TEAM])
            faults = draw_faults(self.found.seed)
            fault_tasks = [asyncio.create_task(self._fault(session, f)) for f in faults]
            polling = asyncio.create_task(self._poll(client))
            work = [asyncio.create_task(self._task(client, i)) for i in range(self.count)]
            try:
                await asyncio.wait_for(asyncio.gather(*work), FINISH_TIMEOUT_S)
            except TimeoutError:
                self.found.wrong.append(f"not all tasks are over after {FINISH_TIMEOUT_S:g} s")
            for task in [*work, *fault_tasks, polling]:
                task.cancel()
            results = await asyncio.gather(*work, *fault_tasks, polling, return_exceptions=True)
            for error in results:
                if isinstance(error, Exception):
                    raise error
            await self._check_final_states(client)
            await asyncio.sleep(0.3)  # for the workers' last history rows
            await self.cluster.ask(session, "/lab/state")  # flushes the history
        for state, _ in self.final.values():
            self.found.ends[state] = self.found.ends.get(state, 0) + 1
        self.found.tasks = len(self.known)
        broken = self.cluster.check(self.cluster.history([]))
        self.found.wrong += [f"{b.rule}: {b.text}" for b in broken]
        return self.found

    async def _fault(self, session: aiohttp.ClientSession, fault: fl.Fault) -> None:
        await asyncio.sleep(fault.at)
        try:
            self.found.faults.append(await fl.apply_fault(self.cluster, session, fault))
        except (LabError, aiohttp.ClientError, OSError) as error:
            self.found.faults.append(f"{fault}: {error}")

    async def _task(self, client: TaskClient, number: int) -> None:
        rng = random.Random(self.found.seed * 1000 + number)
        await asyncio.sleep(rng.uniform(0.0, SUBMIT_S))
        key = f"k-{number}"
        code = rng.choice((0, 0, 0, 1))
        script = f"sleep {rng.uniform(0, 1):.2f}; exit {code}"
        task: dict[str, Any] = {
            "name": key, "executors": [{"image": "any", "command": ["sh", "-c", script]}]
        }  # fmt: skip
        if rng.random() < 0.2:
            task["resources"] = {"backend_parameters": {"class": "once"}}
        own_client = TaskClient(client.session, client.urls, client.token)
        own_client.node_index = rng.randrange(3)
        try:
            name = await own_client.submit(task, key)
        except (RetriesExhausted, RequestRejected) as error:
            self.found.wrong.append(f"{key} not accepted: {error}")
            return
        self.known[key] = name
        if rng.random() < 0.3:
            # Retried at another node, as by a client that lost the response.
            second_client = TaskClient(client.session, client.urls, client.token)
            second_client.node_index = own_client.node_index + 1
            other = await second_client.submit(task, key)
            if other != name:
                self.found.wrong.append(f"{key} is {name} and {other}")
        if rng.random() < 0.25:
            await asyncio.sleep(rng.uniform(0.0, 2.0))
            self.cancelled[name] = time.monotonic()
            await own_client.cancel(name)
        await self.finished_events.setdefault(name, asyncio.Event()).wait()

    async def _poll(self, client: TaskClient) -> None:
        """Poll the nodes in turn."""
        node = 0
        while True:
            await asyncio.sleep(POLL_INTERVAL_S)
            node += 1
            await self._poll_node(client, node)

    async def _poll_node(self, client: TaskClient, node: int) -> None:
        """Poll a node for unfinished and some finished tasks, and in odd rounds for its list.

        Requests without an answer are repeated in later rounds.
        """
        names = [n for n in self.known.values() if n not in self.final]
        done = [n for n in self.known.values() if n in self.final]
        names += self.rng.sample(done, min(6, len(done)))
        answers = await asyncio.gather(
            *(client.request_once("GET", f"/tasks/{name}", node) for name in names)
        )
        for name, (status, found, _) in zip(names, answers, strict=True):
            if status == 200:
                self.record_state(name, found["state"], f"host-{node % 3}")
            elif status == 404:
                self.found.wrong.append(f"{name} is not known to host-{node % 3}")
        if node % 2:
            status, found, _ = await client.request_once("GET", "/tasks", node)
            for row in (found or {}).get("tasks", ()) if status == 200 else ():
                if row["id"] in self.known.values():
                    self.record_state(row["id"], row["state"], f"host-{node % 3}'s list")

    async def _check_final_states(self, client: TaskClient) -> None:
        """Check that every node reports the same final states and lists each task once."""
        names = set(self.known.values())
        for node in range(3 * LAST_ROUNDS):
            client.node_index = node
            for name in names:
                found = await client.get(name)
                self.record_state(name, found["state"], f"host-{node % 3} at the end")
            listed = [row["id"] async for row in client.list([], 7)]
            if len(listed) != len(set(listed)) or set(listed) != names:
                extra, missing = set(listed) - names, names - set(listed)
                self.found.wrong.append(
                    f"host-{node % 3} lists {len(listed)} tasks: {len(extra)} that no key has,"
                    f" {len(missing)} missing"
                )


async def run_history(site: Path, folder: Path, seed: int, tasks: int) -> HistoryResult:
    """Run one seed on its own lab."""
    rules = folder / "rules.scm"
    await asyncio.to_thread(_write, rules, "(coveflow (class once (repeat no)))")
    cluster = Cluster(site, folder, rules, tes="(part 0.8)")
    try:
        await cluster.start()
        return await TaskHistory(cluster, seed, tasks).run()
    finally:
        await cluster.stop()


def _write(path: Path, text: str) -> None:
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(text, encoding="utf-8")


# --- latencies -------------------------------------------------------------------------------


async def measure_latencies(
    site: Path, folder: Path, known: int, for_s: float, per_s: dict[str, float]
) -> dict[str, Any]:
    """Open-loop requests to a lab that stores `known` tasks; latencies in ms from the due time.

    `per_s` holds the rates of submit, get and list. Also measures the time until a node lists its
    tasks and the memory of each node.
    """
    cluster = Cluster(site, folder, None, tes="(part 0.5)", finished_tasks=known)
    try:
        await cluster.start()
        async with aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0)) as session:
            client = TaskClient(session, cluster.task_urls(), cluster.tokens[TEAM])
            began = time.monotonic()
            while (await client.request_once("GET", "/tasks", 0))[0] != 200:  # noqa: ASYNC110
                await asyncio.sleep(0.05)
            cold_s = time.monotonic() - began
            known_tasks = [row["id"] for row in (await client.request("GET", "/tasks"))["tasks"]]
            known_tasks = known_tasks or [await client.submit(_short_task("first"), "first")]
            result = await _generate_load(client, known_tasks, for_s, per_s)
            memory = [_memory_mb(cluster, name) for name in cluster.nodes]
            state = await cluster.ask(session, "/state/lab/state")
        return {"known": known, "cold_s": round(cold_s, 2), "memory_mb": memory,
                "puts": state["puts"]} | result  # fmt: skip
    finally:
        await cluster.stop()


async def measure_flood(site: Path, folder: Path, for_s: float, per_s: float) -> dict[str, Any]:
    """Latencies of native submissions while `per_s` API tasks a second are submitted (0: none)."""
    cluster = Cluster(site, folder, None, tes="")
    jobs = workload.draw(cluster.site, for_s)
    workload_run = WorkloadRun(cluster, jobs)
    try:
        await cluster.start()
        async with aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0)) as session:
            client = TaskClient(session, cluster.task_urls(), cluster.tokens[TEAM])
            playing = asyncio.create_task(workload_run.run(3 * for_s))
            tasks = await _generate_load(client, [], for_s, {"submit": per_s})
            await playing
            await asyncio.sleep(0.3)  # for the workers' last history rows
            await cluster.ask(session, "/lab/state")  # flushes the history
    finally:
        await cluster.stop()
    wrong = [f"{b.rule}: {b.text}" for b in workload_run.broken_rules()]
    return {"native_ms": workload_run.latencies_ms(), "jobs": len(jobs), "tasks": tasks["submit"],
            "wrong": wrong}  # fmt: skip


def _short_task(name: str) -> dict[str, Any]:
    return {"name": name, "executors": [{"image": "any", "command": ["true"]}]}


async def _generate_load(
    client: TaskClient, known_tasks: list[str], for_s: float, per_s: dict[str, float]
) -> dict[str, Any]:
    rng = random.Random(1)
    waits = {kind: HdrHistogram(1, 60_000_000, 3) for kind in per_s}
    codes: dict[str, dict[int, int]] = {kind: {} for kind in per_s}
    due = []
    for kind, rate in per_s.items():
        at = 0.0
        while rate and (at := at + rng.expovariate(rate)) < for_s:
            due.append((at, kind))
    began = time.monotonic()

    async def one(at: float, kind: str, number: int) -> None:
        await asyncio.sleep(max(0.0, began + at - time.monotonic()))
        if kind == "submit":
            response = client.request_once(
                "POST", "/tasks", number, body=_short_task(f"load-{number}")
            )
        elif kind == "get":
            response = client.request_once("GET", f"/tasks/{rng.choice(known_tasks)}", number)
        else:
            query = [("page_size", "100"), ("name_prefix", "tile")]
            response = client.request_once("GET", "/tasks", number, query=query)
        status, _, _ = await response
        codes[kind][status] = codes[kind].get(status, 0) + 1
        if status == 200:
            waits[kind].record_value(max(1, int((time.monotonic() - began - at) * 1e6)))

    await asyncio.gather(*(one(at, kind, i) for i, (at, kind) in enumerate(sorted(due))))
    return {
        kind: {
            "per_s": round(codes[kind].get(200, 0) / for_s, 1),
            "codes": codes[kind],
            "p50_ms": waits[kind].get_value_at_percentile(50) / 1000,
            "p99_ms": waits[kind].get_value_at_percentile(99) / 1000,
        }
        for kind in per_s
    }


def _memory_mb(cluster: Cluster, name: str) -> float:
    """Resident memory of a controller, in MB."""
    process = cluster.children[name].process
    if process is None:
        return 0.0
    text = Path(f"/proc/{process.pid}/status").read_text(encoding="utf-8")
    kb = next(line.split()[1] for line in text.splitlines() if line.startswith("VmRSS"))
    return round(int(kb) / 1024, 1)
