"""Reconstruction of a workload from a trace: arrivals, run times, machines, faults and results.

Times are in s after the trace's first event. Values that the trace does not contain are listed in
`notes` and drawn at random by the simulation; no value is filled in silently.
"""

from __future__ import annotations

import math
import statistics
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec

from coveflow.core.model import Flavor, Spec
from coveflow.settings import Params, Tuning
from coveflow.trace.files import RECORDER, Event, TraceError, read

CACHED_IMAGE_S = 0.3  # s from run order to running; below it the image was cached
REPORT_LATENCY_S = (
    0.15  # s of it until the report reaches the leader, about a third of half a second
)


@dataclass
class Arrival:
    """A submitted job."""

    at: float
    spec: Spec
    # Run time in s of each task on a machine of slowdown 1; None where the trace lacks it.
    lengths: list[float | None]
    ran: list[float]  # minimum run time in s of each task without a known length
    cancelled: float | None = None
    done_before: int = 0  # tasks done before the trace begins


@dataclass
class Up:
    """A machine that was up from the start, or appeared without a recorded request."""

    name: str
    type: str
    zone: str
    spot: bool
    at: float


@dataclass
class Replay:
    """The inputs and results of the recorded workload."""

    start: float  # time of day of the first event, s
    length: float
    params: Params
    tuning: Tuning
    nodes: list[str]
    flavors: list[Flavor]
    arrivals: list[Arrival]
    machines: list[Up]
    # By (type, zone, spot): s from request to first report of each machine; inf: never reported.
    boots: dict[tuple[str, str, bool], list[float]]
    names: dict[tuple[str, str, bool], list[str]]  # of rented machines, in order of rental
    slow: dict[str, float]  # slowdown by machine: run time there over the typical one
    fetch: dict[str, float]  # share of the nominal fetch rate, by machine
    cached: dict[str, list[str]]  # images cached before the trace, by machine
    capacity: dict[tuple[str, str, bool], int]  # count at a refused request
    peak: dict[tuple[str, str, bool], int]  # highest count in the trace
    losses: list[tuple[float, str]]  # silent machines: last report, name
    notices: list[tuple[float, str, float]]  # reclaimed by the cloud: at, name, notice in s
    drains: list[tuple[float, str, bool]]  # drain (true) or resume by an operator
    releases: list[tuple[float, str, int, bool]]  # operators' decisions on held tasks
    take_overs: list[tuple[float, float]]  # lost leaders: when, and when the next one led
    ends: dict[str, tuple[str, float]]  # final state of each job, and when
    placed: list[tuple[str, str, int, float, float]]  # machine, job, task, start, end; for charts
    notes: list[str] = field(default_factory=list)


def load(folder: Path) -> Replay:
    """Read a trace folder. Raises TraceError if the trace is unusable."""
    return build(list(read(folder)), str(folder))


def ordered(events: Iterable[Event], notes: list[str]) -> list[Event]:
    """Leaders' events in order, with times that never decrease.

    Within an epoch times come from a monotonic clock. Between two epochs the time of day may step
    back; as an epoch cannot begin before the last event of the earlier one, its events are shifted.
    """
    rows = sorted((e for e in events if e.epoch != RECORDER), key=lambda e: (e.epoch, e.number))
    shift, epoch, newest = 0.0, 0, -math.inf
    found = []
    for event in rows:
        if event.epoch != epoch:
            epoch = event.epoch
            shift = max(0.0, newest - event.at)
            if shift > 0.001:
                notes.append(f"the clock of lead {epoch} was {shift:.3f} s behind: put right")
        at = event.at + shift
        newest = max(newest, at)
        fields = event.fields
        if shift and event.kind == "accepted":
            fields = {**fields, "at": fields["at"] + shift}
        found.append(event._replace(at=at, fields=fields))
    return found


def build(events: list[Event], where: str) -> Replay:
    """Reconstruct the workload from events; `where` names their source in errors."""
    notes: list[str] = []
    rows = ordered(events, notes)
    begin = next((e for e in rows if e.kind == "lead"), None)
    if begin is None:
        raise TraceError(f"{where}: no epoch begins in this trace; start recording earlier")
    for gap in (e.fields for e in events if e.kind == "gap"):
        last = "?" if gap["last"] is None else gap["last"]
        notes.append(f"gap: events {gap['of']}/{gap['first']} to {last}: {gap['why']}")
    start = rows[0].at
    try:
        params = msgspec.convert(begin.fields["params"], Params, strict=False)
        tuning = msgspec.convert(begin.fields["tuning"], Tuning, strict=False)
        flavors = [msgspec.convert(row, Flavor) for row in begin.fields["types"]]
    except (KeyError, msgspec.ValidationError) as error:
        raise TraceError(f"{where}: epoch {begin.epoch} has no valid settings: {error}") from error
    reader = _Reader(start, notes)
    for event in rows:
        reader.see(event)
    for event in events:
        if event.kind == "fill":
            reader.fill(event)
    return reader.result(params, tuning, flavors, rows[-1].at - start)


@dataclass
class _Run:
    """One attempt that ran; `ran` is in s from its first report as running to its end."""

    machine: str
    ran: float
    done: bool
    saved: bool
    # Set if it ended while there was no leader: `least` and `ran` are bounds of its run time.
    least: float | None = None


class _Reader:
    """Collects the events' contents in one pass; the handler of an event kind is `_<kind>`."""

    def __init__(self, start: float, notes: list[str]) -> None:
        self.start, self.notes = start, notes
        self.arrivals: dict[str, Arrival] = {}
        self.ends: dict[str, tuple[str, float]] = {}
        self.runs: dict[tuple[str, int], list[_Run]] = defaultdict(list)
        self.run_ordered_at: dict[tuple[str, int, int], float] = {}
        self.running: dict[tuple[str, int, int], tuple[float, str]] = {}
        self.start_delays: dict[
            tuple[str, str], float
        ] = {}  # machine, image: s from run order to running
        self.placed: list[tuple[str, str, int, float, float]] = []
        self.machines: dict[str, Up] = {}
        self.rented: dict[str, tuple[float, tuple[str, str, bool]]] = {}
        self.order: dict[tuple[str, str, bool], list[str]] = defaultdict(list)
        self.up_at: dict[str, float] = {}
        self.present: dict[tuple[str, str, bool], set[str]] = defaultdict(set)
        self.machine_keys: dict[str, tuple[str, str, bool]] = {}
        self.capacity: dict[tuple[str, str, bool], int] = {}
        self.peak: dict[tuple[str, str, bool], int] = defaultdict(int)
        self.last_seen: dict[str, float] = {}
        self.losses: list[tuple[float, str]] = []
        self.notices: list[tuple[float, str, float]] = []
        self.drains: list[tuple[float, str, bool]] = []
        self.releases: list[tuple[float, str, int, bool]] = []
        self.take_overs: list[tuple[float, float]] = []
        self.nodes: list[str] = []
        self.last_at, self.left_at, self.epochs = 0.0, None, 0
        # Attempts that ran when the last leader was lost, until the next one lists those it has.
        self.carried_over: set[tuple[str, int, int]] = set()
        self.lost_at = self.led_at = 0.0

    def see(self, event: Event) -> None:
        at, f = event.at - self.start, event.fields
        if self.carried_over and event.kind not in ("lead", "accepted", "held", "known"):
            self._end_carried_over()
        handle = getattr(self, f"_{event.kind}", None)
        if handle is not None:
            handle(at, f)
        machine = f.get("machine")
        if machine is not None and event.kind in ("running", "ended", "told", "up"):
            self.last_seen[machine] = at
        self.last_at = at

    # --- epochs and jobs ---------------------------------------------------------------

    def _lead(self, at: float, f: dict[str, Any]) -> None:
        self.epochs += 1
        if f["node"] not in self.nodes:
            self.nodes.append(f["node"])
        if self.epochs > 1:
            lost = self.last_at if self.left_at is None else self.left_at
            self.take_overs.append((lost, at))
            self.lost_at, self.led_at, self.carried_over = lost, at, set(self.running)
        self.left_at = None

    def _end_carried_over(self) -> None:
        """End the attempts that are not in a new leader's records.

        They ended before the old leader was lost, and the events of their ends were lost with it.
        They count as done; if they were not, the task runs again later in the trace.
        """
        for key in self.carried_over:
            since, machine = self.running.pop(key)
            # An attempt that began with the old leader's last event ends halfway to the new one.
            end = self.lost_at if self.lost_at > since else (since + self.led_at) / 2
            self.runs[key[:2]].append(_Run(machine, end - since, True, False))
            self.placed.append((machine, key[0], key[1], since, end))
        self.carried_over = set()

    def _left(self, at: float, f: dict[str, Any]) -> None:
        self.left_at = at

    def _accepted(self, at: float, f: dict[str, Any]) -> None:
        spec = msgspec.convert(f["spec"], Spec)
        if spec.id in self.arrivals:
            return
        # The accepting node has its own clock; the job arrived no later than the leader saw it.
        arrived_at = min(f["at"] - self.start, at)
        if arrived_at < -0.001:
            self.notes.append(f"{spec.id} came {-arrived_at:.1f} s before the trace begins")
        done = f.get("done", 0) if arrived_at < 0 else 0
        self.arrivals[spec.id] = Arrival(
            max(0.0, arrived_at), spec, [None] * spec.tasks, [0.0] * spec.tasks, None, done
        )
        if f.get("cancelled") is not None:
            self._cancelled(at, {"job": spec.id})

    def _cancelled(self, at: float, f: dict[str, Any]) -> None:
        arrival = self.arrivals.get(f["job"])
        if arrival is not None and arrival.cancelled is None:
            arrival.cancelled = at

    def _over(self, at: float, f: dict[str, Any]) -> None:
        self.ends.setdefault(f["job"], (f["status"], at))

    def _released(self, at: float, f: dict[str, Any]) -> None:
        self.releases.append((at, f["job"], f["task"], f["again"]))

    def fill(self, event: Event) -> None:
        """Add a job or final state read from the state service after a gap."""
        f = event.fields
        if "spec" in f:
            self._accepted(event.at - self.start, {"spec": f["spec"], "at": f["at"]} | f)
        elif f["job"] not in self.ends and f["job"] in self.arrivals:
            self.ends[f["job"]] = (f["status"], math.nan)
            self.notes.append(f"{f['job']} was {f['status']} after a gap; when is not known")

    # --- attempts ----------------------------------------------------------------------

    def _told(self, at: float, f: dict[str, Any]) -> None:
        self.run_ordered_at[(f["job"], f["task"], f["number"])] = at

    def _running(self, at: float, f: dict[str, Any]) -> None:
        key = (f["job"], f["task"], f["number"])
        # A new leader reports attempts of the earlier one as running again: the first event counts.
        self.running.setdefault(key, (at, f["machine"]))
        arrival = self.arrivals.get(f["job"])
        if key in self.run_ordered_at and arrival is not None and arrival.spec.kind != "gang":
            image = (f["machine"], arrival.spec.image)
            self.start_delays.setdefault(image, at - self.run_ordered_at[key])

    def _ended(self, at: float, f: dict[str, Any]) -> None:
        key = (f["job"], f["task"], f["number"])
        since, machine = self.running.pop(key, (at, f["machine"]))
        runs = self.runs[key[:2]]
        if at > since:
            run = _Run(machine, at - since, f["done"], f["saved"])
            if f["done"] and f["ran_s"] <= 0 and self.lost_at > since:
                # It had ended when this leader took over: it ran past the loss of the last leader.
                run.least = self.lost_at - since
            runs.append(run)
            self.placed.append((machine, f["job"], f["task"], since, at))
        elif f["done"] and runs and not runs[-1].done:
            # It exited at once with a result: the earlier, abandoned attempt had completed.
            runs[-1].done, runs[-1].least = True, 0.0

    # --- machines ----------------------------------------------------------------------

    def _machine_key(self, f: dict[str, Any]) -> tuple[str, str, bool]:
        return (f["type"], f["zone"], f["spot"])

    def _add_present(self, name: str, key: tuple[str, str, bool]) -> None:
        self.machine_keys[name] = key
        self.present[key].add(name)
        self.peak[key] = max(self.peak[key], len(self.present[key]))

    def _known(self, at: float, f: dict[str, Any]) -> None:
        for job, task, number in f["tasks"]:
            self.carried_over.discard((job, task, number))
        if f["machine"] not in self.machine_keys:
            self._add_present(f["machine"], self._machine_key(f))
            self.machines[f["machine"]] = Up(f["machine"], *self._machine_key(f), at)

    def _up(self, at: float, f: dict[str, Any]) -> None:
        name, key = f["machine"], self._machine_key(f)
        self.up_at.setdefault(name, at)
        if name in self.rented or name in self.machines:
            return
        self._add_present(name, key)
        # Counted from when the leader learned of it: nothing was placed there before.
        self.machines[name] = Up(name, *key, at)

    def _rented(self, at: float, f: dict[str, Any]) -> None:
        key = self._machine_key(f)
        for name in f["machines"]:
            self.rented[name] = (at, key)
            self.order[key].append(name)
            self._add_present(name, key)
        if len(f["machines"]) < f["count"]:
            self.capacity[key] = len(self.present[key])

    def _refused(self, at: float, f: dict[str, Any]) -> None:
        self.capacity[self._machine_key(f)] = len(self.present[self._machine_key(f)])

    def _returning(self, at: float, f: dict[str, Any]) -> None:
        name = f["machine"]
        if f["why"].startswith("silent") and name in self.machine_keys:
            self.losses.append((self.last_seen.get(name, at), name))

    def _returned(self, at: float, f: dict[str, Any]) -> None:
        key = self.machine_keys.get(f["machine"])
        if key is not None:
            self.present[key].discard(f["machine"])

    def _notice(self, at: float, f: dict[str, Any]) -> None:
        self.notices.append((at, f["machine"], f["in_s"]))

    def _drained(self, at: float, f: dict[str, Any]) -> None:
        if f["why"] == "an operator":
            self.drains.append((at, f["machine"], True))

    def _resumed(self, at: float, f: dict[str, Any]) -> None:
        self.drains.append((at, f["machine"], False))

    # --- results -----------------------------------------------------------------------

    def _slowdowns(self) -> dict[str, float]:
        """Slowdown of each machine: run times over their jobs' medians, near 1 for few samples."""
        by_job: dict[str, list[float]] = defaultdict(list)
        for (job, _), runs in self.runs.items():
            by_job[job] += [r.ran for r in runs if r.done and len(runs) == 1 and r.least is None]
        typical = {job: statistics.median(v) for job, v in by_job.items() if len(v) >= 4}
        seen: dict[str, list[float]] = defaultdict(list)
        for (job, _), runs in self.runs.items():
            for run in runs:
                if run.done and len(runs) == 1 and run.least is None and job in typical:
                    seen[run.machine].append(run.ran / typical[job])
        # Few tasks say little about a machine: eight samples of 1 are added as a prior.
        return {
            machine: (8.0 + statistics.median(v) * len(v)) / (8.0 + len(v))
            for machine, v in seen.items()
        }

    def _compute_lengths(self, slow: dict[str, float]) -> None:
        known: dict[str, list[float]] = defaultdict(list)
        for (job, _), runs in self.runs.items():
            if len(runs) == 1 and runs[0].done and runs[0].least is None:
                known[job].append(runs[0].ran / slow.get(runs[0].machine, 1.0))
        for (job, task), runs in self.runs.items():
            arrival = self.arrivals.get(job)
            if arrival is None or task >= len(arrival.lengths):
                continue
            every, total, done = arrival.spec.checkpoint_s, 0.0, False
            for run in runs:
                speed = slow.get(run.machine, 1.0)
                work = run.ran / speed
                if run.least is not None:
                    # As long as the job's other tasks, within the bounds of its run time.
                    typical_s = statistics.median(known[job]) if known[job] else work
                    work = min(max(typical_s, run.least / speed), work)
                if run.done:
                    total += work
                    done = True
                elif run.saved:
                    total += work
                elif every > 0:
                    total += work // every * every
            if done:
                arrival.lengths[task] = max(total, 0.05)
            else:
                arrival.ran[task] = max(arrival.ran[task], total)
        for (job, task, _), (at, machine) in self.running.items():
            arrival = self.arrivals.get(job)
            if arrival is not None and task < len(arrival.ran):
                ran = (self.last_at - at) / slow.get(machine, 1.0)
                arrival.ran[task] = max(arrival.ran[task], ran)
        for arrival in self.arrivals.values():
            if arrival.spec.kind == "gang":
                known = [v for v in arrival.lengths if v is not None]
                arrival.lengths = [max(known) if known else None] * len(arrival.lengths)
                arrival.ran = [max(arrival.ran, default=0.0)] * len(arrival.ran)

    def _image_fetches(
        self, flavors: dict[str, Flavor]
    ) -> tuple[dict[str, float], dict[str, list[str]]]:
        sizes = {a.spec.image: a.spec.image_gb for a in self.arrivals.values()}
        parts: dict[str, list[float]] = defaultdict(list)
        cached: dict[str, list[str]] = defaultdict(list)
        for (machine, image), wait in self.start_delays.items():
            flavor = flavors.get(self.machine_keys.get(machine, ("", "", False))[0])
            if flavor is None or sizes[image] <= 0:
                continue
            nominal = sizes[image] / flavor.fetch_gb_per_s
            if nominal > 2 * CACHED_IMAGE_S and wait < CACHED_IMAGE_S:
                if machine in self.machines:
                    cached[machine].append(image)
            elif wait > REPORT_LATENCY_S:
                parts[machine].append(nominal / (wait - REPORT_LATENCY_S))
        fetch = {m: min(max(statistics.median(v), 0.5), 1.5) for m, v in parts.items()}
        return fetch, dict(cached)

    def result(
        self, params: Params, tuning: Tuning, flavors: list[Flavor], length: float
    ) -> Replay:
        slow = self._slowdowns()
        self._compute_lengths(slow)
        fetch, cached = self._image_fetches({f.name: f for f in flavors})
        boots: dict[tuple[str, str, bool], list[float]] = {}
        for key, names in self.order.items():
            boots[key] = [
                self.up_at[name] - self.rented[name][0] if name in self.up_at else math.inf
                for name in names
            ]
            if any(map(math.isinf, boots[key])):
                count = sum(map(math.isinf, boots[key]))
                self.notes.append(f"{count} of {len(names)} {key[0]} in {key[1]} never reported")
        unknown = sum(
            value is None
            for a in self.arrivals.values() if a.cancelled is None
            for value in a.lengths
        )  # fmt: skip
        if unknown:
            self.notes.append(
                f"{unknown} tasks never ended in the trace: their run times are drawn from their"
                " job's or class's, given how long they ran"
            )
        if self.running:
            self.notes.append(f"{len(self.running)} attempts run at the trace's end")
        noticed = {name for _, name, _ in self.notices}
        return Replay(
            start=self.start,
            length=length,
            params=params,
            tuning=tuning,
            nodes=self.nodes,
            flavors=flavors,
            arrivals=sorted(self.arrivals.values(), key=lambda a: (a.at, a.spec.id)),
            machines=sorted(self.machines.values(), key=lambda m: (m.at, m.name)),
            boots=boots,
            names=dict(self.order),
            slow=slow,
            fetch=fetch,
            cached=cached,
            capacity=self.capacity,
            peak=dict(self.peak),
            losses=[(at, name) for at, name in self.losses if name not in noticed],
            notices=self.notices,
            drains=self.drains,
            releases=self.releases,
            take_overs=self.take_overs,
            ends=self.ends,
            placed=self.placed,
            notes=self.notes,
        )
