"""Tasks of the task execution API on a lab in trouble, and its latencies.

`history` submits tasks while faults drawn from a seed happen, asks every node again and again, and
judges: each task one final state, the same from every node for ever; one task for one key; and the
protocol's rules by the workers' own rows. `latencies` measures a node that knows many tasks.
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
from coveflow.lab.evening import Evening
from coveflow.taskclient import FINAL, TaskClient

SPAN_S = 7.0  # s in which tasks are submitted and faults begin
END_S = 60.0  # s after which every task must be over
ASK_S = 0.25  # s between two rounds of questions
LAST_ROUNDS = 3  # rounds of questions to every node when all is over
KINDS = ("leader", "node", "outage", "refuse", "machine", "hang", "cut", "slow")
TEAM = "mapping"


@dataclass
class Found:
    """What a run showed; `wrong` says what must not be."""

    seed: int
    tasks: int = 0
    answers: int = 0
    faults: list[str] = field(default_factory=list)
    ends: dict[str, int] = field(default_factory=dict)
    wrong: list[str] = field(default_factory=list)


def draw_faults(seed: int) -> list[fl.Fault]:
    """Three to five faults that begin within the span, the same for the same seed."""
    rng = random.Random(seed)
    found = []
    for _ in range(rng.randint(3, 5)):
        at, for_s = rng.uniform(0.5, SPAN_S), rng.uniform(0.5, 3.0)
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
        found.append(replace(fault, options=fl.OPTIONS | fault.options))
    return sorted(found, key=lambda fault: fault.at)


class History:
    """Everything that any node ever said of the tasks."""

    def __init__(self, cluster: Cluster, seed: int, tasks: int) -> None:
        self.cluster, self.found = cluster, Found(seed)
        self.rng, self.count = random.Random(seed + 1), tasks
        self.final: dict[str, tuple[str, str]] = {}  # state, and who first said so
        self.known: dict[str, str] = {}  # task by key
        self.cancelled: dict[str, float] = {}
        self.over: dict[str, asyncio.Event] = {}

    def say(self, task: str, state: str, who: str) -> None:
        self.found.answers += 1
        first = self.final.get(task)
        if first is not None and state != first[0]:
            self.found.wrong.append(f"{task} is {state} by {who}, but {first[0]} by {first[1]}")
        elif first is None and state in FINAL:
            self.final[task] = (state, who)
            self.over.setdefault(task, asyncio.Event()).set()
            if state == "CANCELED" and task not in self.cancelled:
                self.found.wrong.append(f"{task} is CANCELED and nobody asked for it")

    async def run(self) -> Found:
        async with aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0)) as session:
            client = TaskClient(session, self.cluster.task_urls(), self.cluster.tokens[TEAM])
            faults = draw_faults(self.found.seed)
            troubles = [asyncio.create_task(self._fault(session, f)) for f in faults]
            asking = asyncio.create_task(self._ask(client))
            work = [asyncio.create_task(self._task(client, i)) for i in range(self.count)]
            try:
                await asyncio.wait_for(asyncio.gather(*work), END_S)
            except TimeoutError:
                self.found.wrong.append(f"not all tasks are over after {END_S:g} s")
            for task in [*work, *troubles, asking]:
                task.cancel()
            ended = await asyncio.gather(*work, *troubles, asking, return_exceptions=True)
            for error in ended:
                if isinstance(error, Exception):
                    raise error
            await self._last(client)
            await asyncio.sleep(0.3)  # the workers' last rows
            await self.cluster.ask(session, "/lab/state")  # writes them out
        for state, _ in self.final.values():
            self.found.ends[state] = self.found.ends.get(state, 0) + 1
        self.found.tasks = len(self.known)
        broken = self.cluster.check(self.cluster.history([]))
        self.found.wrong += [f"{b.rule}: {b.text}" for b in broken]
        return self.found

    async def _fault(self, session: aiohttp.ClientSession, fault: fl.Fault) -> None:
        await asyncio.sleep(fault.at)
        try:
            self.found.faults.append(await fl.carry_out(self.cluster, session, fault))
        except (LabError, aiohttp.ClientError, OSError) as error:
            self.found.faults.append(f"{fault}: {error}")

    async def _task(self, client: TaskClient, number: int) -> None:
        rng = random.Random(self.found.seed * 1000 + number)
        await asyncio.sleep(rng.uniform(0.0, SPAN_S))
        key = f"k-{number}"
        code = rng.choice((0, 0, 0, 1))
        script = f"sleep {rng.uniform(0, 1):.2f}; exit {code}"
        task: dict[str, Any] = {
            "name": key, "executors": [{"image": "any", "command": ["sh", "-c", script]}]
        }  # fmt: skip
        if rng.random() < 0.2:
            task["resources"] = {"backend_parameters": {"class": "once"}}
        mine = TaskClient(client.session, client.urls, client.token)
        mine.node_index = rng.randrange(3)
        try:
            name = await mine.submit(task, key)
        except (RetriesExhausted, RequestRejected) as error:
            self.found.wrong.append(f"{key} not accepted: {error}")
            return
        self.known[key] = name
        if rng.random() < 0.3:
            # Submitted again elsewhere, as a client does whose answer was lost.
            again = TaskClient(client.session, client.urls, client.token)
            again.node_index = mine.node_index + 1
            other = await again.submit(task, key)
            if other != name:
                self.found.wrong.append(f"{key} is {name} and {other}")
        if rng.random() < 0.25:
            await asyncio.sleep(rng.uniform(0.0, 2.0))
            self.cancelled[name] = time.monotonic()
            await mine.cancel(name)
        await self.over.setdefault(name, asyncio.Event()).wait()

    async def _ask(self, client: TaskClient) -> None:
        """Ask a node about every task, and now and then for the list, over and over."""
        node = 0
        while True:
            await asyncio.sleep(ASK_S)
            node += 1
            await self._round(client, node)

    async def _round(self, client: TaskClient, node: int) -> None:
        """Ask one node; what it does not answer is asked again in later rounds."""
        names = [n for n in self.known.values() if n not in self.final]
        done = [n for n in self.known.values() if n in self.final]
        names += self.rng.sample(done, min(6, len(done)))
        answers = await asyncio.gather(
            *(client.request_once("GET", f"/tasks/{name}", node) for name in names)
        )
        for name, (status, found, _) in zip(names, answers, strict=True):
            if status == 200:
                self.say(name, found["state"], f"host-{node % 3}")
            elif status == 404:
                self.found.wrong.append(f"{name} is not known to host-{node % 3}")
        if node % 2:
            status, found, _ = await client.request_once("GET", "/tasks", node)
            for row in (found or {}).get("tasks", ()) if status == 200 else ():
                if row["id"] in self.known.values():
                    self.say(row["id"], row["state"], f"host-{node % 3}'s list")

    async def _last(self, client: TaskClient) -> None:
        """When all is over, every node says the same of every task, and lists each once."""
        names = set(self.known.values())
        for node in range(3 * LAST_ROUNDS):
            client.node_index = node
            for name in names:
                found = await client.get(name)
                self.say(name, found["state"], f"host-{node % 3} at the end")
            listed = [row["id"] async for row in client.list([], 7)]
            if len(listed) != len(set(listed)) or set(listed) != names:
                extra, missing = set(listed) - names, names - set(listed)
                self.found.wrong.append(
                    f"host-{node % 3} lists {len(listed)} tasks: {len(extra)} that no key has,"
                    f" {len(missing)} missing"
                )


async def history(site: Path, folder: Path, seed: int, tasks: int) -> Found:
    """Play one seed on a lab of its own."""
    rules = folder / "rules.scm"
    await asyncio.to_thread(_write, rules, "(coveflow (class once (repeat no)))")
    cluster = Cluster(site, folder, rules, tes="(part 0.8)")
    try:
        await cluster.start()
        return await History(cluster, seed, tasks).run()
    finally:
        await cluster.stop()


def _write(path: Path, text: str) -> None:
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(text, encoding="utf-8")


# --- latencies -------------------------------------------------------------------------------


async def latencies(
    site: Path, folder: Path, known: int, for_s: float, per_s: dict[str, float]
) -> dict[str, Any]:
    """Open-loop requests to a lab that knows so many tasks; ms from when each was due.

    `per_s`: rates of submit, get and list. Also what a node needs to begin, and its memory.
    """
    cluster = Cluster(site, folder, None, tes="(part 0.5)", filled=known)
    try:
        await cluster.start()
        async with aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0)) as session:
            client = TaskClient(session, cluster.task_urls(), cluster.tokens[TEAM])
            began = time.monotonic()
            while (await client.request_once("GET", "/tasks", 0))[0] != 200:  # noqa: ASYNC110
                await asyncio.sleep(0.05)
            cold_s = time.monotonic() - began
            some = [row["id"] for row in (await client.request("GET", "/tasks"))["tasks"]]
            some = some or [await client.submit(_quick("first"), "first")]
            result = await _load(client, some, for_s, per_s)
            memory = [_memory_mb(cluster, name) for name in cluster.nodes]
            state = await cluster.ask(session, "/state/lab/state")
        return {"known": known, "cold_s": round(cold_s, 2), "memory_mb": memory,
                "puts": state["puts"]} | result  # fmt: skip
    finally:
        await cluster.stop()


async def flood(site: Path, folder: Path, for_s: float, per_s: float) -> dict[str, Any]:
    """Native submissions' latencies with so many tasks a second beside them; 0: without any."""
    cluster = Cluster(site, folder, None, tes="")
    jobs = workload.draw(cluster.site, for_s)
    evening = Evening(cluster, jobs)
    try:
        await cluster.start()
        async with aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0)) as session:
            client = TaskClient(session, cluster.task_urls(), cluster.tokens[TEAM])
            playing = asyncio.create_task(evening.run(3 * for_s))
            tasks = await _load(client, [], for_s, {"submit": per_s})
            await playing
            await asyncio.sleep(0.3)  # the workers' last rows
            await cluster.ask(session, "/lab/state")  # writes them out
    finally:
        await cluster.stop()
    wrong = [f"{b.rule}: {b.text}" for b in evening.broken()]
    return {"native_ms": evening.latencies_ms(), "jobs": len(jobs), "tasks": tasks["submit"],
            "wrong": wrong}  # fmt: skip


def _quick(name: str) -> dict[str, Any]:
    return {"name": name, "executors": [{"image": "any", "command": ["true"]}]}


async def _load(
    client: TaskClient, some: list[str], for_s: float, per_s: dict[str, float]
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
            asked = client.request_once("POST", "/tasks", number, body=_quick(f"load-{number}"))
        elif kind == "get":
            asked = client.request_once("GET", f"/tasks/{rng.choice(some)}", number)
        else:
            query = [("page_size", "100"), ("name_prefix", "tile")]
            asked = client.request_once("GET", "/tasks", number, query=query)
        status, _, _ = await asked
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
