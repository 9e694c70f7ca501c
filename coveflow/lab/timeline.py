"""Reports from logs, for each fault, its detection, the takeover, the recovery and the cost.

Reads the controllers' log lines, from a bench's output (simulated time and node name before each
line) or from a lab's folder of logs, so that it works for simulated runs and for real processes.
"""

from __future__ import annotations

import math
import re
import tomllib
from collections import defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import asdict, dataclass, field
from datetime import datetime
from pathlib import Path
from typing import Any

LARGEST_SHARE = 0.1  # share of a class's jobs that count as its largest
FIRST_START_S = 240.0  # s within which the largest must start; a requirement of the users
WINDOW_S = 60.0  # s after a fault that its report covers at most; the next fault ends it
LEASE_EXPIRED_REASON = "the machine's lease ran out"
SILENT_REASON = "silent, or work on it does not end"

_SIM = re.compile(r"^\s*(\d+\.\d+) (\S+) (?=\d{4}-)")
_LINE = re.compile(r"^(\S+ \S+) [A-Z]+ \S+ (.*)$")
_FIELD = re.compile(r' ([a-z_]+)=("(?:[^"\\]|\\.)*"|\S*)')


@dataclass
class Event:
    at: float  # s since the start of the log
    node: str
    name: str
    fields: dict[str, str]


@dataclass
class FaultReport:
    """Effects of one fault; times in s after it, None: did not happen."""

    at: float
    fault: str
    doubt: float | None = None  # first suspicion of a node
    doubts: list[str] = field(default_factory=list)
    verdict: float | None = None  # a node takes over, or the leader hands over leadership
    view: float | None = None  # last node that logs the new view
    read: float | None = None  # a new leader has read the records
    decision: float | None = None  # the new leader's first placement
    first_report: float | None = None
    last_machine: float | None = None
    gap: float = 0.0  # longest time without a placement while tasks waited
    left: int = 0  # times a node left the view
    lost: int = 0  # attempts ended by lease expiry
    returned: int = 0  # machines returned to the cloud as silent


@dataclass
class ServiceShare:
    """Jobs of a class or a team: accepted, started, done, cancelled, and done by their deadline."""

    jobs: int = 0
    started: int = 0
    done: int = 0
    cancelled: int = 0
    due: int = 0
    in_time: int = 0
    begin_s: float = 0.0  # longest time from acceptance to the first placement or the log's end

    @property
    def served(self) -> float:
        """Share done of the jobs accepted and not cancelled; 1.0 where there are none."""
        live = self.jobs - self.cancelled
        return self.done / live if live else 1.0


def read(paths: Iterable[Path]) -> list[Event]:
    """Events sorted by time. Lines of other programs are skipped."""
    found: list[Event] = []
    for path in paths:
        files = sorted(path.glob("host-*.log")) if path.is_dir() else [path]
        for file in files:
            with file.open(encoding="utf-8", errors="replace") as lines:
                found += _events(lines, file.stem)
    found.sort(key=lambda event: event.at)
    if found and found[0].at > 1e8:  # wall-clock times: make them relative to the first line
        start = found[0].at
        for event in found:
            event.at -= start
    return found


def _events(lines: Iterable[str], name: str) -> Iterator[Event]:
    for line in lines:
        head = _SIM.match(line)
        match = _LINE.match(line[head.end() :] if head else line)
        if match is None:
            continue
        try:
            day = datetime.strptime(match[1], "%Y-%m-%d %H:%M:%S,%f").timestamp()
        except ValueError:
            continue
        at, node = (float(head[1]), head[2]) if head else (day, name)
        text = match[2]
        fields = {key: value.strip('"') for key, value in _FIELD.findall(text)}
        yield Event(at, node, _FIELD.sub("", text).strip(), fields)


def faults_of_day(path: Path, day: str) -> list[tuple[float, str]]:
    """Faults of a named day of a site file, as (time, description)."""
    raw = tomllib.loads(path.read_text(encoding="utf-8"))
    for row in raw.get("day", []):
        if row.get("name") == day:
            return sorted((f["at_s"], _name(f)) for f in row.get("faults", []))
    raise ValueError(f"{path}: no day is named {day}")


def _name(fault: dict[str, Any]) -> str:
    more = [key for key in ("from_state", "from_workers", "busiest") if fault.get(key)]
    count = fault.get("count")
    return " ".join([fault["kind"], *more, *([f"x{count}"] if count else [])])


def silent_returns(events: list[Event]) -> list[float]:
    """Times at which the current leader returned machines to the cloud as silent.

    A deposed leader that resumes may log the same; it checks with the store first and returns none.
    """
    leader, found = "", []
    for e in events:
        if e.name == "leading":
            leader = e.node
        elif (
            e.name == "machine goes back"
            and e.fields.get("why") == SILENT_REASON
            and leader in ("", e.node)
        ):
            found.append(e.at)
    return found


def fault_reports(events: list[Event], faults: list[tuple[float, str]]) -> list[FaultReport]:
    """One report for each fault; without faults, for each change of leader."""
    if not faults:
        takeovers = [e.at for e in events if e.name == "taking over"][1:]
        faults = [(at - 1e-6, "the lead changes") for at in takeovers]
    reports: list[FaultReport] = []
    silent, waits = silent_returns(events), placement_waits(events)
    for i, (at, name) in enumerate(faults):
        later = [t for t, _ in faults[i + 1 :] if t > at]
        until = min([at + WINDOW_S, *later[:1]])
        reports.append(_fault_report([e for e in events if at <= e.at < until], at, name))
        reports[-1].returned = sum(at <= moment < until for moment in silent)
        # Only gaps that a placement ended count: time after the last task is no gap.
        gaps = [moment - max(since, at) for moment, since in waits if at <= moment < until]
        reports[-1].gap = round(max(gaps, default=0.0), 3)
    return reports


def placement_waits(events: list[Event]) -> list[tuple[float, float]]:
    """Each placement's time, and since when tasks had been waiting with none placed.

    A new leader logs how many tasks wait according to its records; until then none are counted.
    """
    found: list[tuple[float, float]] = []
    waiting = 0
    cancelled: set[str] = set()
    since = -1.0  # < 0: no task waits
    for e in events:
        job, tasks = e.fields.get("job", ""), int(e.fields.get("tasks", 0))
        if e.name == "leading":
            waiting = int(e.fields.get("waiting", 0))
        elif e.name == "job taken in":
            waiting += tasks
        elif e.name == "attempt ended":
            waiting += e.fields.get("task", "").partition("/")[0] not in cancelled
        elif e.name == "job cancelled":
            waiting -= int(e.fields.get("waiting", 0))
            cancelled.add(job)
        elif e.name == "tasks placed":
            waiting -= tasks
            found.append((e.at, since if since >= 0 else e.at))
            since = -1.0
        if waiting <= 0:
            since = -1.0
        elif since < 0:
            since = e.at
    return found


def _fault_report(events: list[Event], at: float, name: str) -> FaultReport:
    a = FaultReport(at, name)

    def set_once(key: str, event: Event) -> None:
        if getattr(a, key) is None:
            setattr(a, key, round(event.at - at, 3))

    for e in events:
        if e.name == "doubt":
            set_once("doubt", e)
            a.doubts.append(f"{e.fields.get('node')} {e.fields.get('why')} by {e.node}")
        elif e.name in ("taking over", "handing over"):
            set_once("verdict", e)
        elif e.name == "view" and a.verdict is not None:
            a.view = round(e.at - at, 3)
        elif e.name == "leading":
            set_once("read", e)
        elif e.name == "first report":
            set_once("first_report", e)
        elif e.name == "all machines heard":
            set_once("last_machine", e)
        elif e.name == "leaving the view":
            a.left += 1
        elif e.name == "attempt ended":
            a.lost += e.fields.get("why") == LEASE_EXPIRED_REASON
        elif e.name == "tasks placed" and a.read is not None:
            set_once("decision", e)
    return a


def service_shares(events: list[Event]) -> dict[str, ServiceShare]:
    """Shares by class, by team (`team NAME`) and of each class's largest jobs (`largest NAME`).

    Unfinished jobs count as not done. The largest are the tenth of a class, at least one job, with
    the most CPUs over all tasks; jobs cancelled before their start are not among them.
    """
    jobs: dict[str, Event] = {}
    cancelled: set[str] = set()
    ended: dict[str, str] = {}
    done_after: dict[str, float] = {}
    accepted_at: dict[str, float] = {}
    started: dict[str, float] = {}
    for e in events:
        job = e.fields.get("job", "")
        if e.name == "job accepted":
            accepted_at.setdefault(job, e.at)
        elif e.name == "job taken in":
            jobs.setdefault(job, e)
            accepted_at.setdefault(job, e.at)
        elif e.name == "job over":
            ended.setdefault(job, e.fields.get("status", ""))
        elif e.name == "job cancelled":
            cancelled.add(job)
        elif e.name == "tasks placed":
            started.setdefault(job, e.at)
        elif e.name == "all tasks done":
            done_after.setdefault(job, float(e.fields.get("after_s", "inf")))
    # A leader may exit between writing the final record and logging it; without this the job would
    # count as waiting until the end of the log.
    for job in cancelled:
        ended.setdefault(job, "cancelled")
    end = events[-1].at if events else 0.0
    groups: dict[str, list[str]] = defaultdict(list)
    sizes: dict[str, list[tuple[float, str]]] = defaultdict(list)
    for job, taken in jobs.items():
        fields = taken.fields
        groups[fields.get("workload", "?")].append(job)
        groups[f"team {fields.get('team', '?')}"].append(job)
        if job in started or ended.get(job) != "cancelled":
            size = float(fields.get("tasks", 0)) * float(fields.get("cpus", 1))
            sizes[fields.get("workload", "?")].append((size, job))
    for name, found in sizes.items():
        least = sorted(found)[-math.ceil(len(found) * LARGEST_SHARE)][0]
        groups[f"largest {name}"] = [job for size, job in found if size >= least]
    shares: dict[str, ServiceShare] = {}
    for name, members in sorted(groups.items()):
        share = shares[name] = ServiceShare(jobs=len(members))
        for job in members:
            live = ended.get(job) != "cancelled"
            share.started += job in started
            share.done += ended.get(job) == "done"
            share.cancelled += not live
            if live or job in started:
                share.begin_s = max(
                    share.begin_s, round(started.get(job, end) - accepted_at[job], 1)
                )
            due = jobs[job].fields.get("due_s", "None")
            if due != "None" and live:
                share.due += 1
                share.in_time += done_after.get(job, float("inf")) <= float(due)
    return shares


def underserved(shares: dict[str, ServiceShare], least: float) -> list[str]:
    """Groups that fail the users' requirements: too few jobs done, or largest jobs started late."""
    return [
        name
        for name, share in shares.items()
        if share.served < least or (name.startswith("largest ") and share.begin_s > FIRST_START_S)
    ]


def report(events: list[Event], faults: list[tuple[float, str]]) -> dict[str, Any]:
    """All figures as plain data, for tables and JSON."""
    return {
        "faults": [asdict(a) for a in fault_reports(events, faults)],
        "served": {name: asdict(share) for name, share in service_shares(events).items()},
        "left": sum(e.name == "leaving the view" for e in events),
        "lost": sum(
            e.name == "attempt ended" and e.fields.get("why") == LEASE_EXPIRED_REASON
            for e in events
        ),
        "returned": len(silent_returns(events)),
    }
