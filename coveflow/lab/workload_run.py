"""Runs a workload on a lab: timed submissions, polling users and faults, with a summary."""

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
class JobRecord:
    """Progress of one job; times in s of the monotonic clock."""

    spec: Spec
    due: float  # scheduled time of submission
    accepted: float | None = None
    finished: float | None = None
    status: str = "waiting"
    done: int = 0
    running: int = 0

    @property
    def took_s(self) -> float | None:
        return None if self.finished is None else self.finished - self.due

    @property
    def missed_deadline(self) -> bool | None:
        """Whether it missed its deadline; None without one, or while it is unfinished."""
        if self.spec.deadline_s is None or self.finished is None:
            return None
        return self.took_s > self.spec.deadline_s


@dataclass
class WorkloadRun:
    """Submits the jobs open-loop: a slow service does not delay later submissions.

    Latencies are measured from the time a submission was due, not from when it was sent, so that
    a stall counts for every submission that it delayed (no coordinated omission).
    """

    cluster: Cluster
    jobs: list[tuple[float, Spec]]
    faults: list[fl.Fault] = field(default_factory=list)
    poll_s: float = 1.0
    on_message: Callable[[str], None] = lambda text: None
    records: dict[str, JobRecord] = field(default_factory=dict)
    rows: list[dict[str, Any]] = field(default_factory=list)
    latency: HdrHistogram = field(default_factory=lambda: HdrHistogram(1, 120_000_000, 3))
    refused: dict[str, str] = field(default_factory=dict)
    started_at: float = 0.0

    def _record_answer(self, to: str, job: str, code: int, state: str) -> None:
        self.rows.append(
            {"at": clock(), "kind": "answer", "to": to, "job": job, "code": code, "state": state}
        )

    async def run(self, until_s: float) -> None:
        """Run until every job is finished, or until `until_s` after the start."""
        self.started_at = clock()
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as session:
            tasks = [
                asyncio.create_task(self._job(session, at, spec, i))
                for i, (at, spec) in enumerate(self.jobs)
            ]
            fault_tasks = [asyncio.create_task(self._fault(session, f)) for f in self.faults]
            left = until_s
            if tasks:
                _, pending = await asyncio.wait(tasks, timeout=left)
                for task in pending:
                    task.cancel()
                await asyncio.gather(*tasks, return_exceptions=True)
            for task in fault_tasks:
                task.cancel()
            await asyncio.gather(*fault_tasks, return_exceptions=True)
            for task in tasks:
                if not task.cancelled() and task.exception() is not None:
                    raise task.exception()
        self._save()

    async def _fault(self, session: aiohttp.ClientSession, fault: fl.Fault) -> None:
        await asyncio.sleep(max(0.0, self.started_at + fault.at - clock()))
        self.on_message(await fl.apply_fault(self.cluster, session, fault))

    async def _job(self, session: aiohttp.ClientSession, at: float, spec: Spec, index: int) -> None:
        due = self.started_at + at
        await asyncio.sleep(max(0.0, due - clock()))
        record = self.records[spec.id] = JobRecord(spec, due)
        fronts = self.cluster.front_addresses()
        first_front = index % len(fronts)
        client = Client(session, fronts[first_front:] + fronts[:first_front], self._record_answer)
        await self.cluster.upload(session, spec)
        self.rows.append({"at": clock(), "kind": "submit", "job": spec.id, "spec": spec})
        try:
            await client.submit(spec)
        except (RequestRejected, RetriesExhausted) as error:
            record.status, self.refused[spec.id] = "refused", str(error)
            self.on_message(f"{spec.id} refused: {error}")
            return
        record.accepted = clock()
        record.status = "queued"
        self.latency.record_value(max(1, int((record.accepted - due) * 1e6)))
        while record.finished is None:
            await asyncio.sleep(self.poll_s)
            state = await client.poll(spec.id)
            if state is None:
                continue
            record.status = state["status"]
            record.done = state.get("done", record.done)
            record.running = state.get("running", 0)
            if record.status in ("done", "cancelled"):
                record.finished = clock()

    async def cancel(self, session: aiohttp.ClientSession, job: str) -> None:
        self.rows.append({"at": clock(), "kind": "cancel", "job": job})
        await Client(session, self.cluster.front_addresses(), self._record_answer).cancel(job)

    def _save(self) -> None:
        path = self.cluster.folder / "history-users.jsonl"
        with path.open("w", encoding="utf-8") as out:
            for row in self.rows:
                out.write(json.dumps(row, default=msgspec.to_builtins) + "\n")

    def broken_rules(self) -> list[Violation]:
        """Rules broken in the whole history of users and workers."""
        return self.cluster.check(self.cluster.history(self.rows))

    def latencies_ms(self) -> dict[str, float]:
        """Percentiles of accepted submissions, in ms from when each was due."""
        if not self.latency.get_total_count():
            return {}
        at = {"p50": 50.0, "p90": 90.0, "p99": 99.0, "most": 100.0}
        return {name: self.latency.get_value_at_percentile(p) / 1000 for name, p in at.items()}

    def summary(self) -> dict[str, Any]:
        """Per class: jobs, jobs done, share within the deadline, median and p95 duration in s."""
        classes: dict[str, dict[str, Any]] = {}
        by_class: dict[str, list[JobRecord]] = {}
        for record in self.records.values():
            by_class.setdefault(record.spec.workload, []).append(record)
        for name, records in sorted(by_class.items()):
            took = sorted(x.took_s for x in records if x.took_s is not None)
            with_deadline = [x for x in records if x.spec.deadline_s is not None]
            in_time = sum(x.missed_deadline is False for x in with_deadline)
            classes[name] = {
                "jobs": len(records),
                "done": sum(x.status == "done" for x in records),
                "in_time": in_time / len(with_deadline) if with_deadline else None,
                "median_s": took[len(took) // 2] if took else None,
                "p95_s": took[min(len(took) - 1, int(0.95 * len(took)))] if took else None,
            }
        return {"classes": classes, "submit_ms": self.latencies_ms(), "refused": self.refused}
