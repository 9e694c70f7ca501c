"""Runs real controllers on loopback with hollow workers, which share one process.

Hollow workers speak the protocol but run no task processes. The load is that of `lab.scale`, so
that the resource use of real processes can be compared with the slopes' predictions. The run is
bounded in time; its processes are the lab's: the controllers, the state service and the fleet.
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
from coveflow.lab.workload_run import WorkloadRun

SETTLE_S = 20.0  # s for the machines to start and report to a leader
DRAIN_S = 30.0  # s after the last submission for the remaining jobs to finish
SAMPLE_S = 1.0  # s between samples of the processes
WORKER_FILES = 4  # open files of a hollow worker: listener, connection, a link's two ends
WORKER_MB = 0.15  # upper bound of MB per hollow worker; 2,000 more took 0.045 MB each
NODE_MB = 120.0  # upper bound of MB per other process; 106 was the most, except for the fleet
MEMORY_PART = 0.5  # share of this machine's memory that a run may use
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


@dataclass
class Usage:
    """Resource use of one process over the measured time, including restarts."""

    spent_s: float = 0.0  # of processor time
    cores: float = 0.0
    peak_cores: float = 0.0  # in the busiest sample
    most_mb: float = 0.0


@dataclass
class RunReport:
    """Results of a scale run; times in s, processor time in cores."""

    load: scale.Load
    measured_s: float
    asked_per_s: float
    started_per_s: float
    usage: dict[str, Usage]
    leaders: list[str]  # in the order in which they led
    to_running: dict[str, float]  # percentiles of s from a job's acceptance to its task's start
    submit_ms: dict[str, float]
    unfinished: int
    refused: int
    broken: list[Violation] = field(default_factory=list)


def check_host_limits(load: scale.Load) -> None:
    """Raises LoadLimitError, naming the limit, if the run exceeds this machine's resources."""
    load.check()
    files, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if load.machines * WORKER_FILES > files:
        raise scale.LoadLimitError(
            f"{load.machines} hollow workers in one process need {load.machines * WORKER_FILES}"
            f" open files, and {files} are allowed"
        )
    whole_mb = os.sysconf("SC_PHYS_PAGES") * PAGE_BYTES / 2**20
    need_mb = load.machines * WORKER_MB + (scale.NODES + 2) * NODE_MB
    if need_mb > MEMORY_PART * whole_mb:
        raise scale.LoadLimitError(
            f"about {need_mb:.0f} MB are needed, over half of this machine's {whole_mb:.0f} MB"
        )


class _Sampler:
    """Samples the lab's processes and its leader every SAMPLE_S during the measurement."""

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
        """Fields of a /proc file of the process, after its name; empty if it does not run."""
        process = self.cluster.children[name].process
        if process is None:
            return []
        try:
            text = Path(f"/proc/{process.pid}/{file}").read_text(encoding="utf-8")
        except OSError:
            return []
        return text.rpartition(")")[2].split()

    def _ticks(self) -> dict[str, int]:
        """User and system time of each process, in clock ticks."""
        rows = {name: self._read(name, "stat") for name in self.cluster.children}
        return {name: int(row[11]) + int(row[12]) for name, row in rows.items() if row}

    def _memory_mb(self, name: str) -> float:
        row = self._read(name, "statm")
        return int(row[1]) * PAGE_BYTES / 2**20 if row else 0.0


def _specs(load: scale.Load, for_s: float) -> list[tuple[float, Spec]]:
    """Jobs of the load, each with its submission time in s from the start."""
    found: list[tuple[float, Spec]] = []
    jobs = scale.LoadJobs(load.teams)
    for i in range(load.running // scale.LONG_TASKS):
        at = i * scale.LONG_TASKS / scale.RAMP_PER_S
        found.append((at, jobs.spec("long", scale.LONG_S, tasks=scale.LONG_TASKS)))
    for i in range(round(for_s * load.starts / scale.JOB_TASKS)):
        found.append((i * scale.JOB_TASKS / load.starts, jobs.spec("short", scale.SHORT_S)))
    return found


def _start_delays(workload_run: WorkloadRun, rows: list[dict]) -> dict[str, float]:
    """Percentiles of the time from a job's acceptance to each of its tasks' first start."""
    times = HdrHistogram(1, 600_000, 3)
    started: set[tuple[str, int]] = set()
    for row in rows:
        if row["kind"] != "running" or (row["job"], row["task"]) in started:
            continue
        started.add((row["job"], row["task"]))
        record = workload_run.records.get(row["job"])
        if record is not None and record.accepted is not None:
            times.record_value(max(1, int((row["at"] - record.accepted) * 1000)))
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
    on_message: Callable[[str], None] = lambda text: None,
) -> RunReport:
    """Run the load for `for_s` on a lab in the folder. Raises LoadLimitError or LabError."""
    check_host_limits(load)
    cluster = Cluster(_site_file(load, folder), folder)
    try:
        await cluster.start()
        on_message(f"{load.machines} hollow workers are starting")
        await asyncio.sleep(SETTLE_S)
        ramp_s = load.running / scale.RAMP_PER_S
        workload_run = WorkloadRun(
            cluster, _specs(load, ramp_s + for_s), faults or [], poll_s=5.0, on_message=on_message
        )
        work = asyncio.create_task(workload_run.run(ramp_s + for_s + DRAIN_S))
        await asyncio.sleep(ramp_s + scale.SHORT_S)
        began, sampler = clock(), _Sampler(cluster)
        on_message("the full load is reached")
        await sampler.run(for_s - scale.SHORT_S)
        ended = clock()
        await work
        rows = cluster.history(workload_run.rows)
    finally:
        await cluster.stop()
    starts = sum(row["kind"] == "running" and began <= row["at"] < ended for row in rows)
    short = [it for it in workload_run.records.values() if it.spec.workload == "short"]
    return RunReport(
        load=load, measured_s=ended - began, asked_per_s=load.starts,
        started_per_s=starts / (ended - began), usage=sampler.usage, leaders=sampler.leaders,
        to_running=_start_delays(workload_run, rows), submit_ms=workload_run.latencies_ms(),
        unfinished=sum(it.status != "done" for it in short), refused=len(workload_run.refused),
        broken=workload_run.broken_rules(),
    )  # fmt: skip
