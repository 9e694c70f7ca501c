"""A rolling upgrade on one state service and one fleet, with each build leading in turn.

    python -m tests.mixed_builds OLD_CHECKOUT [--folder DIR]

Three controllers of the older build take jobs, tasks of the task execution API, cancellations and
a drain. Two of them are replaced by this build while work runs; the leader is killed until each
build has led in the mixed cluster. Then the last one is replaced, and one is rolled back to the old
build. Prints the results as JSON; exit status 1 if a rule was broken, a job or task was lost or
changed its final state, or a build never led in the mixed cluster.
"""

import argparse
import asyncio
import collections
import json
import signal
import sys
import tempfile
from pathlib import Path

import aiohttp

from coveflow.cli.lab import lab_file
from coveflow.lab import faults, workload
from coveflow.lab.cluster import Cluster
from coveflow.lab.workload_run import WorkloadRun
from coveflow.taskclient import FINAL, TaskClient

NEW_CHECKOUT = Path(__file__).resolve().parent.parent
ARRIVALS_S = 60.0  # s in which jobs arrive
DEADLINE_S = 150.0  # s after which every job must be finished
SETTLE_S = 6.0  # s between two steps: time for a restart, an election and some work
TASKS = 6  # tasks of the task execution API submitted in each step
TEAM = "mapping"


class MixedCluster(Cluster):
    """A lab whose controllers run the sources of one of two checkouts."""

    def use_checkouts(self, old: Path) -> None:
        self.checkouts = {"old": old, "new": NEW_CHECKOUT}
        self.builds = dict.fromkeys((f"host-{i}" for i in range(self.site.controllers)), "old")

    async def _launch(self, name: str, command: list[str]) -> None:
        if name in self.builds:
            command = self._command(name, command[command.index("--tuning") :])
        await super()._launch(name, command)

    def _command(self, name: str, arguments: list[str]) -> list[str]:
        return [sys.executable, str(self.checkouts[self.builds[name]] / "run.py"), *arguments]

    def replace(self, name: str, build: str) -> None:
        """Kill the controller; the lab restarts it as the given build."""
        child = self.children[name]
        self.builds[name] = build
        child.command = self._command(name, child.command[child.command.index("--tuning") :])
        self.signal_node(name, signal.SIGKILL)


class Upgrade:
    """Runs the steps of the upgrade and records which builds led in each."""

    def __init__(self, cluster: MixedCluster, workload_run: WorkloadRun) -> None:
        self.cluster, self.workload_run = cluster, workload_run
        self.led: dict[str, set[str]] = collections.defaultdict(set)  # builds by step
        self.step = "old"
        self.tasks: dict[str, str] = {}  # the step in which each task was submitted
        self.final: dict[str, str] = {}
        self.wrong: list[str] = []

    async def watch_leaders(self, session: aiohttp.ClientSession) -> None:
        while True:
            leader = await self.cluster.leader(session)
            if leader is not None:
                self.led[self.step].add(self.cluster.builds[leader])
            await asyncio.sleep(0.2)

    async def _work_and_settle(self, session: aiohttp.ClientSession) -> None:
        """Submit this step's tasks, cancel one of them and a job, and wait SETTLE_S."""
        client = TaskClient(session, self.cluster.task_urls(), self.cluster.tokens[TEAM])
        executors = [{"image": "any", "command": ["sh", "-c", "sleep 1"]}]
        for number in range(TASKS):
            key = f"{self.step}-{number}"
            name = await client.submit({"name": key, "executors": executors}, key)
            self.tasks[name] = self.step
            if number == 0:
                await client.cancel(name)
        unfinished = [
            job for job, record in self.workload_run.records.items()
            if record.accepted is not None and record.finished is None
        ]  # fmt: skip
        if unfinished:
            await self.workload_run.cancel(session, unfinished[-1])
        await asyncio.sleep(SETTLE_S)

    async def run(self, session: aiohttp.ClientSession) -> None:
        nodes = list(self.cluster.nodes)
        drain = faults.Fault(0.0, "drain", ("busiest",))
        await self._work_and_settle(session)
        await faults.apply_fault(self.cluster, session, drain)
        self.step = "old beside new"
        for name in nodes[1:]:
            self.cluster.replace(name, "new")
            await self._work_and_settle(session)
        for chosen in (nodes[:1], nodes[1:], nodes[:1]):  # makes each build lead in turn
            for name in chosen:
                self.cluster.signal_node(name, signal.SIGKILL)
            await self._work_and_settle(session)
        self.step = "new"
        self.cluster.replace(nodes[0], "new")
        await self._work_and_settle(session)
        await faults.apply_fault(self.cluster, session, faults.Fault(0.0, "kill", ("leader",)))
        await self._work_and_settle(session)
        self.step = "one back to old"
        self.cluster.replace(nodes[1], "old")
        await self._work_and_settle(session)

    async def judge_tasks(self, session: aiohttp.ClientSession) -> None:
        """Check that every node knows every task, in the same final state, and lists it once."""
        for node, url in enumerate(self.cluster.task_urls()):
            client = TaskClient(session, [url], self.cluster.tokens[TEAM])
            for name in self.tasks:
                state = await client.wait(name)
                if state not in FINAL or self.final.setdefault(name, state) != state:
                    self.wrong.append(f"{name} is {state} at node {node}, {self.final.get(name)}")
            listed = [row["id"] async for row in client.list([], 50)]
            if sorted(listed) != sorted(self.tasks):
                self.wrong.append(f"node {node} lists {len(listed)} of {len(self.tasks)} tasks")


async def play(old: Path, folder: Path) -> dict:
    cluster = MixedCluster(lab_file("demo"), folder, tes="(part 0.8)")
    cluster.use_checkouts(old)
    workload_run = WorkloadRun(cluster, workload.draw(cluster.site, ARRIVALS_S))
    upgrade = Upgrade(cluster, workload_run)
    try:
        await cluster.start()
        async with aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0)) as session:
            watching = asyncio.create_task(upgrade.watch_leaders(session))
            work = asyncio.create_task(workload_run.run(DEADLINE_S))
            await upgrade.run(session)
            await work
            await asyncio.wait_for(upgrade.judge_tasks(session), DEADLINE_S)
            watching.cancel()
            await asyncio.sleep(0.3)  # for the workers' last history rows
            await cluster.ask(session, "/lab/state")  # flushes the history
    finally:
        await cluster.stop()
    states = collections.Counter(record.status for record in workload_run.records.values())
    ends = collections.Counter(upgrade.final.values())
    return {
        "jobs": dict(states),
        "tasks": dict(ends),
        "led": {step: sorted(builds) for step, builds in upgrade.led.items()},
        "restarts": cluster.restarts,
        "broken": [f"{broken.rule}: {broken.text}" for broken in workload_run.broken_rules()],
        "wrong": upgrade.wrong,
        "unfinished": [x for x, y in workload_run.records.items() if y.finished is None],
    }


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("old", type=Path, help="a checkout of the older build")
    parser.add_argument("--folder", type=Path, help="keep logs and history there")
    arguments = parser.parse_args()
    with tempfile.TemporaryDirectory(prefix="coveflow-") as scratch:
        found = asyncio.run(play(arguments.old.resolve(), arguments.folder or Path(scratch)))
    print(json.dumps(found, indent=1))
    both_led = found["led"].get("old beside new") == ["new", "old"]
    return int(bool(found["broken"] or found["wrong"] or found["unfinished"]) or not both_led)


if __name__ == "__main__":
    sys.exit(main())
