"""A scale run: real controllers on loopback beside hollow workers, which share one process.

Hollow workers speak the protocol and run no task processes. The load is the one of `lab.scale`, so
that what real processes spend can be put beside what the slopes predict. The run is bounded in
time, and in processes by the lab's own: the controllers, the state service, the fleet.
"""

from __future__ import annotations

import asyncio
import os
import resource
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

import aiohttp
from hdrh.histogram import HdrHistogram

from coveflow.core.model import Spec
from coveflow.lab import faults as fl
from coveflow.lab import scale
from coveflow.lab.check import Violation
from coveflow.lab.cluster import Cluster, clock
from coveflow.lab.evening import Evening

SETTLE_S = 20.0  # s in which the machines come up and a leader finds them
DRAIN_S = 30.0  # s after the last submission in which what is left may end
SAMPLE_S = 1.0  # s between looks at the processes
WORKER_FILES = 4  # open files of a hollow worker: its address, its connection, a link's two ends
WORKER_MB = 0.15  # MB of a hollow worker, a bound; 2,000 more of them took 0.045 MB each
NODE_MB = 120.0  # MB of a controller or stand-in, a bound; 106 was the most of any but the fleet
MEMORY_PART = 0.5  # of the machine's memory that may be used
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


@dataclass
class Usage:
    """What one process spends, over the measured time; also if it was started again in it."""

    spent_s: float = 0.0  # of processor time
    cores: float = 0.0
    peak_cores: float = 0.0  # in the busiest look
    most_mb: float = 0.0


@dataclass
class RunReport:
    """A scale run's figures; times in s, processor time in cores."""

    load: scale.Load
    measured_s: float
    asked_per_s: float
    started_per_s: float
    usage: dict[str, Usage]
    leaders: list[str]  # in the order in which each was seen to lead
    to_running: dict[str, float]  # percentiles of s from a job's acceptance to its task's start
    submit_ms: dict[str, float]
    unfinished: int
    refused: int
    broken: list[Violation] = field(default_factory=list)


def check_room(load: scale.Load) -> None:
    """Raises scale.Unfit where the run does not fit this machine; the text says which limit."""
    load.check()
    files, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if load.machines * WORKER_FILES > files:
        raise scale.Unfit(
            f"{load.machines} hollow workers in one process need {load.machines * WORKER_FILES}"
            f" open files, and {files} are allowed"
        )
    whole_mb = os.sysconf("SC_PHYS_PAGES") * PAGE_BYTES / 2**20
    need_mb = load.machines * WORKER_MB + (scale.NODES + 2) * NODE_MB
    if need_mb > MEMORY_PART * whole_mb:
        raise scale.Unfit(
            f"about {need_mb:.0f} MB are needed, over half of this machine's {whole_mb:.0f} MB"
        )


class _Sampler:
    """Looks at the lab's processes and at who leads, every second of the measured time."""

    def __init__(self, cluster: Cluster) -> None:
        self.cluster = cluster
        self.usage = {name: Usage() for name in cluster.children}
        self.leaders: list[str] = []

    async def run(self, for_s: float) -> None:
        began, ticks = clock(), self._ticks()
        last_at = began
        async with aiohttp.ClientSession() as session:
            while clock() < began + for_s:
                await asyncio.sleep(SAMPLE_S)
                leader = await self.cluster.leader(session)
                if leader is not None and self.leaders[-1:] != [leader]:
                    self.leaders.append(leader)
                now, before, ticks = clock(), ticks, self._ticks()
                for name, usage in self.usage.items():
                    spent = max(0, ticks.get(name, 0) - before.get(name, 0)) / TICKS_PER_S
                    usage.spent_s += spent
                    usage.peak_cores = max(usage.peak_cores, spent / (now - last_at))
                    usage.most_mb = max(usage.most_mb, self._memory_mb(name))
                last_at = now
        for usage in self.usage.values():
            usage.cores = usage.spent_s / (last_at - began)

    def _read(self, name: str, file: str) -> list[str]:
        """Fields of a file of the process, after its name; none while it is not there."""
        process = self.cluster.children[name].process
        if process is None:
            return []
        try:
            text = Path(f"/proc/{process.pid}/{file}").read_text(encoding="utf-8")
        except OSError:
            return []
        return text.rpartition(")")[2].split()

    def _ticks(self) -> dict[str, int]:
        """User and system time of each process."""
        rows = {name: self._read(name, "stat") for name in self.cluster.children}
        return {name: int(row[11]) + int(row[12]) for name, row in rows.items() if row}

    def _memory_mb(self, name: str) -> float:
        row = self._read(name, "statm")
        return int(row[1]) * PAGE_BYTES / 2**20 if row else 0.0


def _specs(load: scale.Load, for_s: float) -> list[tuple[float, Spec]]:
    """Jobs of the load: when each is submitted, s from the begin of the work."""
    found: list[tuple[float, Spec]] = []
    jobs = scale.LoadJobs(load.teams)
    for i in range(load.running // scale.LONG_TASKS):
        at = i * scale.LONG_TASKS / scale.RAMP_PER_S
        found.append((at, jobs.spec("long", scale.LONG_S, tasks=scale.LONG_TASKS)))
    for i in range(round(for_s * load.starts / scale.JOB_TASKS)):
        found.append((i * scale.JOB_TASKS / load.starts, jobs.spec("short", scale.SHORT_S)))
    return found


def _to_running(evening: Evening, rows: list[dict]) -> dict[str, float]:
    """Percentiles of the time from a job's acceptance to each of its tasks' first start."""
    times = HdrHistogram(1, 600_000, 3)
    started: set[tuple[str, int]] = set()
    for row in rows:
        if row["kind"] != "running" or (row["job"], row["task"]) in started:
            continue
        started.add((row["job"], row["task"]))
        course = evening.courses.get(row["job"])
        if course is not None and course.accepted is not None:
            times.record_value(max(1, int((row["at"] - course.accepted) * 1000)))
    if not times.get_total_count():
        return {}
    marks = {"p50": 50.0, "p99": 99.0, "most": 100.0}
    return {name: times.get_value_at_percentile(at) / 1000 for name, at in marks.items()}


def _site_file(load: scale.Load, folder: Path) -> Path:
    folder.mkdir(parents=True, exist_ok=True)
    site = folder / "scale.scm"
    site.write_text(scale.site_text(load), encoding="utf-8")
    return site


async def run(
    load: scale.Load,
    for_s: float,
    folder: Path,
    faults: list[fl.Fault] | None = None,
    seen: Callable[[str], None] = lambda text: None,
) -> RunReport:
    """Play the load for so long on a lab in the folder. Raises Unfit, or the lab's LabError."""
    check_room(load)
    cluster = Cluster(_site_file(load, folder), folder)
    try:
        await cluster.start()
        seen(f"{load.machines} hollow workers come up")
        await asyncio.sleep(SETTLE_S)
        ramp_s = load.running / scale.RAMP_PER_S
        evening = Evening(
            cluster, _specs(load, ramp_s + for_s), faults or [], poll_s=5.0, seen=seen
        )
        work = asyncio.create_task(evening.run(ramp_s + for_s + DRAIN_S))
        await asyncio.sleep(ramp_s + scale.SHORT_S)
        began, sampler = clock(), _Sampler(cluster)
        seen("the load is there")
        await sampler.run(for_s - scale.SHORT_S)
        ended = clock()
        await work
        rows = cluster.history(evening.rows)
    finally:
        await cluster.stop()
    starts = sum(row["kind"] == "running" and began <= row["at"] < ended for row in rows)
    short = [it for it in evening.courses.values() if it.spec.workload == "short"]
    return RunReport(
        load=load, measured_s=ended - began, asked_per_s=load.starts,
        started_per_s=starts / (ended - began), usage=sampler.usage, leaders=sampler.leaders,
        to_running=_to_running(evening, rows), submit_ms=evening.latencies_ms(),
        unfinished=sum(it.status != "done" for it in short), refused=len(evening.refused),
        broken=evening.broken(),
    )  # fmt: skip
