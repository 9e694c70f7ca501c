"""An evening of work on a lab: jobs at their times, users who poll, faults, and what came of it."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import aiohttp
import msgspec
from hdrh.histogram import HdrHistogram

from coveflow.client import Client, RequestRejected, RetriesExhausted
from coveflow.core.model import Spec
from coveflow.lab import faults as fl
from coveflow.lab.check import Violation
from coveflow.lab.cluster import Cluster

clock = time.monotonic


@dataclass
class Course:
    """One job's way through the evening; times in s of the lab's clock."""

    spec: Spec
    due: float  # when it was to be submitted
    accepted: float | None = None
    finished: float | None = None
    status: str = "waiting"
    done: int = 0
    running: int = 0

    @property
    def took_s(self) -> float | None:
        return None if self.finished is None else self.finished - self.due

    @property
    def late(self) -> bool | None:
        """Whether it missed its deadline; None without one, or while it may still meet it."""
        if self.spec.deadline_s is None or self.finished is None:
            return None
        return self.took_s > self.spec.deadline_s


@dataclass
class Evening:
    """Drives the jobs open-loop: a slow service delays no later submission.

    Latencies run from the moment a submission was due, not from when it was sent, so that a
    stall counts for every submission that it held up.
    """

    cluster: Cluster
    jobs: list[tuple[float, Spec]]
    faults: list[fl.Fault] = field(default_factory=list)
    poll_s: float = 1.0
    seen: Callable[[str], None] = lambda text: None
    courses: dict[str, Course] = field(default_factory=dict)
    rows: list[dict[str, Any]] = field(default_factory=list)
    latency: HdrHistogram = field(default_factory=lambda: HdrHistogram(1, 120_000_000, 3))
    refused: dict[str, str] = field(default_factory=dict)
    began: float = 0.0

    def _told(self, to: str, job: str, code: int, state: str) -> None:
        self.rows.append(
            {"at": clock(), "kind": "answer", "to": to, "job": job, "code": code, "state": state}
        )

    async def run(self, until_s: float) -> None:
        """Play until every job is over, or `until_s` after the start."""
        self.began = clock()
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as session:
            tasks = [
                asyncio.create_task(self._job(session, at, spec, i))
                for i, (at, spec) in enumerate(self.jobs)
            ]
            troubles = [asyncio.create_task(self._fault(session, f)) for f in self.faults]
            left = until_s
            if tasks:
                _, pending = await asyncio.wait(tasks, timeout=left)
                for task in pending:
                    task.cancel()
                await asyncio.gather(*tasks, return_exceptions=True)
            for task in troubles:
                task.cancel()
            await asyncio.gather(*troubles, return_exceptions=True)
            for task in tasks:
                if not task.cancelled() and task.exception() is not None:
                    raise task.exception()
        self._save()

    async def _fault(self, session: aiohttp.ClientSession, fault: fl.Fault) -> None:
        await asyncio.sleep(max(0.0, self.began + fault.at - clock()))
        self.seen(await fl.carry_out(self.cluster, session, fault))

    async def _job(self, session: aiohttp.ClientSession, at: float, spec: Spec, index: int) -> None:
        due = self.began + at
        await asyncio.sleep(max(0.0, due - clock()))
        course = self.courses[spec.id] = Course(spec, due)
        fronts = self.cluster.fronts()
        turn = index % len(fronts)
        client = Client(session, fronts[turn:] + fronts[:turn], self._told)
        await self.cluster.upload(session, spec)
        self.rows.append({"at": clock(), "kind": "submit", "job": spec.id, "spec": spec})
        try:
            await client.submit(spec)
        except (RequestRejected, RetriesExhausted) as error:
            course.status, self.refused[spec.id] = "refused", str(error)
            self.seen(f"{spec.id} refused: {error}")
            return
        course.accepted = clock()
        course.status = "queued"
        self.latency.record_value(max(1, int((course.accepted - due) * 1e6)))
        while course.finished is None:
            await asyncio.sleep(self.poll_s)
            state = await client.poll(spec.id)
            if state is None:
                continue
            course.status = state["status"]
            course.done = state.get("done", course.done)
            course.running = state.get("running", 0)
            if course.status in ("done", "cancelled"):
                course.finished = clock()

    async def cancel(self, session: aiohttp.ClientSession, job: str) -> None:
        self.rows.append({"at": clock(), "kind": "cancel", "job": job})
        await Client(session, self.cluster.fronts(), self._told).cancel(job)

    def _save(self) -> None:
        path = self.cluster.folder / "history-users.jsonl"
        with path.open("w", encoding="utf-8") as out:
            for row in self.rows:
                out.write(json.dumps(row, default=msgspec.to_builtins) + "\n")

    def broken(self) -> list[Violation]:
        """What the checker makes of the whole history."""
        return self.cluster.check(self.cluster.history(self.rows))

    def latencies_ms(self) -> dict[str, float]:
        """Of accepted submissions, in ms from when each was due."""
        if not self.latency.get_total_count():
            return {}
        at = {"p50": 50.0, "p90": 90.0, "p99": 99.0, "most": 100.0}
        return {name: self.latency.get_value_at_percentile(p) / 1000 for name, p in at.items()}

    def summary(self) -> dict[str, Any]:
        """Per class: jobs, done, share by the deadline, median and 95th percentile of s taken."""
        classes: dict[str, dict[str, Any]] = {}
        by_class: dict[str, list[Course]] = {}
        for course in self.courses.values():
            by_class.setdefault(course.spec.workload, []).append(course)
        for name, courses in sorted(by_class.items()):
            took = sorted(x.took_s for x in courses if x.took_s is not None)
            judged = [x for x in courses if x.spec.deadline_s is not None]
            in_time = sum(x.late is False for x in judged)
            classes[name] = {
                "jobs": len(courses),
                "done": sum(x.status == "done" for x in courses),
                "in_time": in_time / len(judged) if judged else None,
                "median_s": took[len(took) // 2] if took else None,
                "p95_s": took[min(len(took) - 1, int(0.95 * len(took)))] if took else None,
            }
        return {"classes": classes, "submit_ms": self.latencies_ms(), "refused": self.refused}
