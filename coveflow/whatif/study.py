"""Parallel simulation runs of one recorded workload, and the ranges of their results."""

from __future__ import annotations

import contextlib
import math
import multiprocessing
import os
import statistics
from collections import defaultdict
from collections.abc import Callable, Iterable, Iterator
from concurrent.futures import ProcessPoolExecutor, as_completed
from dataclasses import dataclass, field
from typing import Any

import numpy as np
import pyarrow as pa

from coveflow.whatif.changes import Changes
from coveflow.whatif.replay import Replay
from coveflow.whatif.simulate import JobEnd, Outcome, simulate

LOW, HIGH = 5.0, 95.0  # percentiles that bound a range over the runs
INTERVAL_Z = 1.96  # z score of the 95% interval of a probability

_shared: dict[str, Any] = {}


@dataclass(frozen=True)
class Range:
    """Median, 5th and 95th percentile over the runs."""

    median: float
    low: float
    high: float

    def contains(self, value: float) -> bool:
        return self.low - 1e-9 <= value <= self.high + 1e-9

    def __format__(self, spec: str) -> str:
        spec = spec or ".1f"
        if math.isnan(self.median):
            return "-"
        if f"{self.low:{spec}}" == f"{self.high:{spec}}":
            return f"{self.median:{spec}}"
        return f"{self.median:{spec}} ({self.low:{spec}} to {self.high:{spec}})"


def range_of(values: Iterable[float]) -> Range:
    """Range of the known values; NaN if there are none."""
    found = [v for v in values if v is not None and not math.isnan(v)]
    if not found:
        return Range(math.nan, math.nan, math.nan)
    low, median, high = np.percentile(found, [LOW, 50.0, HIGH])
    return Range(float(median), float(low), float(high))


def probability(hits: int, runs: int) -> tuple[float, float, float]:
    """Estimated probability and its 95% Wilson score interval."""
    if not runs:
        return (math.nan, 0.0, 1.0)
    p, z = hits / runs, INTERVAL_Z
    scale = 1 + z * z / runs
    middle = (p + z * z / (2 * runs)) / scale
    half = z * math.sqrt(p * (1 - p) / runs + z * z / (4 * runs * runs)) / scale
    return (p, max(0.0, middle - half), min(1.0, middle + half))


@dataclass
class ClassView:
    """One class over the runs; `in_time` is the share of its jobs with a deadline."""

    name: str
    jobs: Range
    in_time: Range
    took_s: Range  # median over the class's jobs
    took_p95_s: Range
    wait_s: Range  # median s until a job's first task runs
    last_end_s: Range  # when its last job ended
    undone: Range


@dataclass
class JobView:
    """One job over the runs."""

    id: str
    workload: str
    at: float
    deadline_s: float | None
    added: bool
    recorded_s: float | None  # s it took in the trace
    took_s: Range
    late_share: float  # share of runs in which it was late or did not end
    undone: int  # number of runs in which it did not end
    held: int
    waits: dict[str, float]  # mean s by reason


@dataclass
class Study:
    """The runs of one replay with its changes, and their evaluation."""

    replay: Replay
    changes: Changes
    outcomes: list[Outcome]
    jobs: list[JobView] = field(default_factory=list)
    classes: list[ClassView] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.outcomes.sort(key=lambda o: o.seed)
        self.jobs = self._jobs()
        self.classes = [self._class(name) for name in sorted(self._names())]

    def _names(self) -> set[str]:
        return {job.workload for outcome in self.outcomes for job in outcome.jobs}

    def recorded(self, job: str) -> float | None:
        """s the job took in the trace, if it ended as done there."""
        end = self.replay.ends.get(job)
        at = self._recorded_at().get(job)
        if end is None or at is None or end[0] != "done" or math.isnan(end[1]):
            return None
        return end[1] - at

    def _recorded_at(self) -> dict[str, float]:
        if not hasattr(self, "_arrival_times"):
            self._arrival_times = {a.spec.id: a.at for a in self.replay.arrivals}
        return self._arrival_times

    def _jobs(self) -> list[JobView]:
        runs: dict[str, list[JobEnd]] = defaultdict(list)
        for outcome in self.outcomes:
            for job in outcome.jobs:
                runs[job.id].append(job)
        return [self._job(name, found) for name, found in runs.items()]

    def _job(self, name: str, found: list[JobEnd]) -> JobView:
        first = found[0]
        waits: dict[str, float] = defaultdict(float)
        for job in found:
            for why, seconds in job.waits.items():
                waits[why] += seconds / len(found)
        late = sum(bool(job.late) for job in found) / len(found)
        return JobView(
            name, first.workload, first.at, first.deadline_s, first.added, self.recorded(name),
            range_of(job.took_s for job in found if job.took_s is not None), late,
            sum(job.finished is None for job in found), max(job.held for job in found), dict(waits),
        )  # fmt: skip

    def _class(self, name: str) -> ClassView:
        columns: dict[str, list[float]] = defaultdict(list)
        for outcome in self.outcomes:
            jobs = [job for job in outcome.jobs if job.workload == name]
            took = sorted(job.took_s for job in jobs if job.took_s is not None)
            judged = [job for job in jobs if job.deadline_s is not None]
            columns["jobs"].append(len(jobs))
            columns["undone"].append(len(jobs) - len(took))
            if judged:
                columns["in_time"].append(sum(not job.late for job in judged) / len(judged))
            if took:
                columns["took"].append(statistics.median(took))
                columns["p95"].append(float(np.percentile(took, 95)))
                columns["last"].append(max(j.finished for j in jobs if j.finished is not None))
            waits = [job.first_run - job.at for job in jobs if job.first_run is not None]
            if waits:
                columns["wait"].append(statistics.median(waits))
        return ClassView(
            name, range_of(columns["jobs"]), range_of(columns["in_time"]),
            range_of(columns["took"]), range_of(columns["p95"]), range_of(columns["wait"]),
            range_of(columns["last"]), range_of(columns["undone"]),
        )  # fmt: skip

    # --- results -----------------------------------------------------------------------

    def done_by(self, at: float, workload: str | None = None) -> tuple[int, int]:
        """Runs in which all jobs (of the class) submitted by `at` end by `at`, and all runs."""
        hits = 0
        for outcome in self.outcomes:
            hits += all(
                job.finished is not None and job.finished <= at
                for job in outcome.jobs
                if workload in (None, job.workload) and job.at <= at
            )
        return hits, len(self.outcomes)

    def relative_errors(self) -> list[float]:
        """Relative error of the median duration of each job that is done in runs and trace."""
        return [
            abs(job.took_s.median - job.recorded_s) / job.recorded_s
            for job in self.jobs
            if job.recorded_s and not math.isnan(job.took_s.median)
        ]

    def against(self, other: Replay) -> list[dict[str, Any]]:
        """Compare the predictions with a later trace: two figures per class.

        Each row has the class, the figure's name, the later trace's value, the predicted range
        and whether the value is inside.
        """
        later = Study(other, self.changes, []) if other is not self.replay else self
        rows = []
        for view in self.classes:
            actual = later.recorded_class(view.name)
            for name, predicted in (("took_s", view.took_s), ("last_end_s", view.last_end_s)):
                value = actual[name]
                if value is None or math.isnan(predicted.median):
                    continue
                rows.append(
                    {
                        "class": view.name, "figure": name, "came": value,
                        "foreseen": predicted.median, "low": predicted.low, "high": predicted.high,
                        "inside": predicted.contains(value),
                        "off": (predicted.median - value) / value,
                    }
                )  # fmt: skip
        return rows

    def became_late(self) -> list[JobView]:
        """Jobs late in at least half of the runs but not in the trace, the worst first."""
        found = []
        for job in self.jobs:
            if job.deadline_s is None or job.late_share < 0.5:
                continue
            if job.recorded_s is None or job.recorded_s <= job.deadline_s:
                found.append(job)
        return sorted(found, key=lambda job: (-job.late_share, -sum(job.waits.values())))

    def money(self) -> Range:
        return range_of(outcome.paid for outcome in self.outcomes)

    def broken(self) -> list[str]:
        return [f"seed {o.seed}: {text}" for o in self.outcomes for text in o.broken]

    def median_run(self) -> Outcome:
        """The run of median length, shown in the charts."""
        return sorted(self.outcomes, key=lambda o: o.length)[len(self.outcomes) // 2]

    def recorded_class(self, name: str) -> dict[str, float | None]:
        """The class's figures in the trace; None where the trace does not have them."""
        at, took, judged, in_time = self._recorded_at(), [], 0, 0
        for arrival in self.replay.arrivals:
            if arrival.spec.workload != name or arrival.cancelled is not None:
                continue
            seconds = self.recorded(arrival.spec.id)
            if seconds is not None:
                took.append(seconds)
            if arrival.spec.deadline_s is not None:
                judged += 1
                in_time += seconds is not None and seconds <= arrival.spec.deadline_s
        ends = [
            e[1] for j, e in self.replay.ends.items()
            if j in at and self._workload(j) == name and not math.isnan(e[1])
        ]  # fmt: skip
        return {
            "in_time": in_time / judged if judged else None,
            "took_s": statistics.median(took) if took else None,
            "last_end_s": max(ends) if ends else None,
        }

    def _workload(self, job: str) -> str:
        if not hasattr(self, "_workload_by_job"):
            self._workload_by_job = {a.spec.id: a.spec.workload for a in self.replay.arrivals}
        return self._workload_by_job[job]

    # --- files -------------------------------------------------------------------------

    def table(self) -> pa.Table:
        """One row per job and run; times in s after the trace's start."""
        rows = [
            {
                "seed": outcome.seed, "job": job.id, "class": job.workload, "team": job.team,
                "tasks": job.tasks, "submitted_s": job.at, "first_run_s": job.first_run,
                "finished_s": job.finished, "deadline_s": job.deadline_s, "late": job.late,
                "status": job.status, "held": job.held, "added": job.added,
                "recorded_s": self.recorded(job.id),
            }
            for outcome in self.outcomes
            for job in outcome.jobs
        ]  # fmt: skip
        schema = pa.schema(
            [
                ("seed", pa.int32()), ("job", pa.string()), ("class", pa.string()),
                ("team", pa.string()), ("tasks", pa.int32()), ("submitted_s", pa.float64()),
                ("first_run_s", pa.float64()), ("finished_s", pa.float64()),
                ("deadline_s", pa.float64()), ("late", pa.bool_()), ("status", pa.string()),
                ("held", pa.int32()), ("added", pa.bool_()), ("recorded_s", pa.float64()),
            ]
        )  # fmt: skip
        return pa.Table.from_pylist(rows, schema=schema)

    def summary(self) -> dict[str, Any]:
        """All results except the rows per job, as values for JSON."""

        def plain(value: Any) -> Any:
            if isinstance(value, Range):
                if math.isnan(value.median):
                    return None
                return {"median": value.median, "low": value.low, "high": value.high}
            return value

        errors = sorted(self.relative_errors())
        return {
            "changes": self.changes.source_forms,
            "runs": len(self.outcomes),
            "notes": self.replay.notes,
            "classes": [
                {key: plain(value) for key, value in vars(view).items()}
                | {"recorded": self.recorded_class(view.name)}
                for view in self.classes
            ],
            "money": plain(self.money()),
            "length_s": plain(range_of(o.length for o in self.outcomes)),
            "against_trace": {
                "jobs": len(errors),
                "median_error": float(np.median(errors)) if errors else None,
                "p95_error": float(np.percentile(errors, 95)) if errors else None,
            },
            "became_late": [
                {"job": j.id, "class": j.workload, "late_share": j.late_share, "waits": j.waits}
                for j in self.became_late()
            ],
            "broken": self.broken(),
        }


@contextlib.contextmanager
def _environment(name: str, value: str) -> Iterator[None]:
    """Set an environment variable for processes that are started in the meantime."""
    before = os.environ.get(name)
    os.environ[name] = value
    try:
        yield
    finally:
        if before is None:
            del os.environ[name]
        else:
            os.environ[name] = before


def _init_worker(replay: Replay, changes: Changes) -> None:
    _shared["replay"], _shared["changes"] = replay, changes


def _run_seed(seed: int, bars: bool) -> Outcome:
    return simulate(_shared["replay"], _shared["changes"], seed, bars)


def study(
    replay: Replay,
    changes: Changes,
    seeds: list[int],
    processes: int | None = None,
    on_outcome: Callable[[Outcome], None] = lambda outcome: None,
    bars: bool = True,
) -> Study:
    """Run the simulation once per seed, in parallel processes."""
    count = min(len(seeds), processes or os.cpu_count() or 1)
    if count <= 1:
        outcomes = []
        for seed in seeds:
            outcomes.append(simulate(replay, changes, seed, bars))
            on_outcome(outcomes[-1])
        return Study(replay, changes, outcomes)
    context = multiprocessing.get_context("spawn")
    outcomes = []
    # The planner iterates over sets of names: a fixed hash seed makes a run reproducible.
    with (
        _environment("PYTHONHASHSEED", "0"),
        ProcessPoolExecutor(count, context, _init_worker, (replay, changes)) as pool,
    ):
        waiting = [pool.submit(_run_seed, seed, bars) for seed in seeds]
        for future in as_completed(waiting):
            outcomes.append(future.result())
            on_outcome(outcomes[-1])
    return Study(replay, changes, outcomes)
