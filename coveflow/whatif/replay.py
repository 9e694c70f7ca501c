"""What a trace says of an evening: arrivals, run times, machines, boots, losses, and what came.

Times are s after the trace's first event. What the trace does not know is named in `notes` and
drawn later; nothing is filled in silently.
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

FETCH_LEAST_S = 0.3  # s from told to running below which the image was there already
REPORT_S = 0.15  # s of that which are a change's way to the leader, about a third of half a second


@dataclass
class Arrival:
    at: float
    spec: Spec
    # s of work of each task on a machine of speed 1; None where the trace does not know it.
    lengths: list[float | None]
    ran: list[float]  # s a task without a known length ran at the least
    cancelled: float | None = None
    done_before: int = 0  # tasks done before the trace begins


@dataclass
class Up:
    """A machine that was there from the start, or came without a recorded request."""

    name: str
    type: str
    zone: str
    spot: bool
    at: float


@dataclass
class Replay:
    start: float  # time of day of the first event, s
    length: float
    params: Params
    tuning: Tuning
    nodes: list[str]
    flavors: list[Flavor]
    arrivals: list[Arrival]
    machines: list[Up]
    # By (type, zone, spot): s from request to first report of each machine; inf: it never came.
    boots: dict[tuple[str, str, bool], list[float]]
    names: dict[tuple[str, str, bool], list[str]]  # of rented machines, in order
    slow: dict[str, float]  # run time there over that of others, by machine
    fetch: dict[str, float]  # part of the nominal fetch rate, by machine
    cached: dict[str, list[str]]  # images that a machine had before the trace
    capacity: dict[tuple[str, str, bool], int]  # most that was there when a request was refused
    most: dict[tuple[str, str, bool], int]  # most that was there at all
    losses: list[tuple[float, str]]  # machines that went silent
    notices: list[tuple[float, str, float]]  # machines that the cloud took: at, which, notice in s
    drains: list[tuple[float, str, bool]]  # operators' words
    releases: list[tuple[float, str, int, bool]]  # operators' words on held tasks
    leads: list[tuple[float, float]]  # leaders lost: when, and when the next one led
    ends: dict[str, tuple[str, float]]  # final state of each job, and when
    placed: list[tuple[str, str, int, float, float]]  # machine, job, task, from, to: for pictures
    notes: list[str] = field(default_factory=list)


def load(folder: Path) -> Replay:
    """Read a trace; TraceError names what is wrong with it."""
    return build(list(read(folder)), str(folder))


def ordered(events: Iterable[Event], notes: list[str]) -> list[Event]:
    """Leaders' events in their order, with times that never run back.

    Within a lead times are steady; between two leads the time of day may step, and a later lead
    cannot have begun before the last event of the earlier one.
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
    notes: list[str] = []
    rows = ordered(events, notes)
    lead = next((e for e in rows if e.kind == "lead"), None)
    if lead is None:
        raise TraceError(f"{where}: no lead begins in this trace; record from an earlier moment")
    for gap in (e.fields for e in events if e.kind == "gap"):
        last = "?" if gap["last"] is None else gap["last"]
        notes.append(f"gap: events {gap['of']}/{gap['first']} to {last}: {gap['why']}")
    start = rows[0].at
    try:
        params = msgspec.convert(lead.fields["params"], Params, strict=False)
        tuning = msgspec.convert(lead.fields["tuning"], Tuning, strict=False)
        flavors = [msgspec.convert(row, Flavor) for row in lead.fields["types"]]
    except (KeyError, msgspec.ValidationError) as error:
        raise TraceError(f"{where}: lead {lead.epoch} has no settings: {error}") from error
    reader = _Reader(start, notes)
    for event in rows:
        reader.see(event)
    for event in events:
        if event.kind == "fill":
            reader.fill(event)
    return reader.result(params, tuning, flavors, rows[-1].at - start)


@dataclass
class _Run:
    """One attempt that ran: s from its first report as running to its end."""

    machine: str
    ran: float
    done: bool
    saved: bool
    # It ended unseen, while nobody led: at the least and at the most after so many s.
    least: float | None = None


class _Reader:
    """Collects what the events say; one pass."""

    def __init__(self, start: float, notes: list[str]) -> None:
        self.start, self.notes = start, notes
        self.arrivals: dict[str, Arrival] = {}
        self.ends: dict[str, tuple[str, float]] = {}
        self.runs: dict[tuple[str, int], list[_Run]] = defaultdict(list)
        self.told: dict[tuple[str, int, int], float] = {}
        self.running: dict[tuple[str, int, int], tuple[float, str]] = {}
        self.begun: dict[tuple[str, str], float] = {}  # machine, image: s from told to running
        self.placed: list[tuple[str, str, int, float, float]] = []
        self.machines: dict[str, Up] = {}
        self.rented: dict[str, tuple[float, tuple[str, str, bool]]] = {}
        self.order: dict[tuple[str, str, bool], list[str]] = defaultdict(list)
        self.up_at: dict[str, float] = {}
        self.there: dict[tuple[str, str, bool], set[str]] = defaultdict(set)
        self.kinds: dict[str, tuple[str, str, bool]] = {}
        self.capacity: dict[tuple[str, str, bool], int] = {}
        self.most: dict[tuple[str, str, bool], int] = defaultdict(int)
        self.heard: dict[str, float] = {}
        self.losses: list[tuple[float, str]] = []
        self.notices: list[tuple[float, str, float]] = []
        self.drains: list[tuple[float, str, bool]] = []
        self.releases: list[tuple[float, str, int, bool]] = []
        self.leads: list[tuple[float, float]] = []
        self.nodes: list[str] = []
        self.last_at, self.left_at, self.epochs = 0.0, None, 0
        # Attempts that ran when the last leader was lost, until the next one says which it has.
        self.carried: set[tuple[str, int, int]] = set()
        self.lost_at = self.led_at = 0.0

    def see(self, event: Event) -> None:
        at, f = event.at - self.start, event.fields
        if self.carried and event.kind not in ("lead", "accepted", "held", "known"):
            self._gone()
        handle = getattr(self, f"_{event.kind}", None)
        if handle is not None:
            handle(at, f)
        machine = f.get("machine")
        if machine is not None and event.kind in ("running", "ended", "told", "up"):
            self.heard[machine] = at
        self.last_at = at

    # --- leads and jobs ----------------------------------------------------------------

    def _lead(self, at: float, f: dict[str, Any]) -> None:
        self.epochs += 1
        if f["node"] not in self.nodes:
            self.nodes.append(f["node"])
        if self.epochs > 1:
            lost = self.last_at if self.left_at is None else self.left_at
            self.leads.append((lost, at))
            self.lost_at, self.led_at, self.carried = lost, at, set(self.running)
        self.left_at = None

    def _gone(self) -> None:
        """Attempts that a new leader's records do not have ended before the old one was lost.

        The event of their end is lost with it; they count as done then, and a task that runs
        again shows that it was not.
        """
        for key in self.carried:
            since, machine = self.running.pop(key)
            # Began with the last thing that is known of the old lead: halfway to the new one.
            end = self.lost_at if self.lost_at > since else (since + self.led_at) / 2
            self.runs[key[:2]].append(_Run(machine, end - since, True, False))
            self.placed.append((machine, key[0], key[1], since, end))
        self.carried = set()

    def _left(self, at: float, f: dict[str, Any]) -> None:
        self.left_at = at

    def _accepted(self, at: float, f: dict[str, Any]) -> None:
        spec = msgspec.convert(f["spec"], Spec)
        if spec.id in self.arrivals:
            return
        # The node that accepted it has a clock of its own: never after the leader heard of it.
        came = min(f["at"] - self.start, at)
        if came < -0.001:
            self.notes.append(f"{spec.id} came {-came:.1f} s before the trace begins")
        done = f.get("done", 0) if came < 0 else 0
        self.arrivals[spec.id] = Arrival(
            max(0.0, came), spec, [None] * spec.tasks, [0.0] * spec.tasks, None, done
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
        """What the state service knew after a gap."""
        f = event.fields
        if "spec" in f:
            self._accepted(event.at - self.start, {"spec": f["spec"], "at": f["at"]} | f)
        elif f["job"] not in self.ends and f["job"] in self.arrivals:
            self.ends[f["job"]] = (f["status"], math.nan)
            self.notes.append(f"{f['job']} was {f['status']} after a gap; when is not known")

    # --- attempts ----------------------------------------------------------------------

    def _told(self, at: float, f: dict[str, Any]) -> None:
        self.told[(f["job"], f["task"], f["number"])] = at

    def _running(self, at: float, f: dict[str, Any]) -> None:
        key = (f["job"], f["task"], f["number"])
        # A new leader sees running what began under the earlier one: the first word counts.
        self.running.setdefault(key, (at, f["machine"]))
        arrival = self.arrivals.get(f["job"])
        if key in self.told and arrival is not None and arrival.spec.kind != "gang":
            image = (f["machine"], arrival.spec.image)
            self.begun.setdefault(image, at - self.told[key])

    def _ended(self, at: float, f: dict[str, Any]) -> None:
        key = (f["job"], f["task"], f["number"])
        since, machine = self.running.pop(key, (at, f["machine"]))
        runs = self.runs[key[:2]]
        if at > since:
            run = _Run(machine, at - since, f["done"], f["saved"])
            if f["done"] and f["ran_s"] <= 0 and self.lost_at > since:
                # This leader found it ended: it ran until some time after the last one was lost.
                run.least = self.lost_at - since
            runs.append(run)
            self.placed.append((machine, f["job"], f["task"], since, at))
        elif f["done"] and runs and not runs[-1].done:
            # It exits at once with a result: the attempt that was given up had completed.
            runs[-1].done, runs[-1].least = True, 0.0

    # --- machines ----------------------------------------------------------------------

    def _kind(self, f: dict[str, Any]) -> tuple[str, str, bool]:
        return (f["type"], f["zone"], f["spot"])

    def _appear(self, name: str, key: tuple[str, str, bool]) -> None:
        self.kinds[name] = key
        self.there[key].add(name)
        self.most[key] = max(self.most[key], len(self.there[key]))

    def _known(self, at: float, f: dict[str, Any]) -> None:
        for job, task, number in f["tasks"]:
            self.carried.discard((job, task, number))
        if f["machine"] not in self.kinds:
            self._appear(f["machine"], self._kind(f))
            self.machines[f["machine"]] = Up(f["machine"], *self._kind(f), at)

    def _up(self, at: float, f: dict[str, Any]) -> None:
        name, key = f["machine"], self._kind(f)
        self.up_at.setdefault(name, at)
        if name in self.rented or name in self.machines:
            return
        self._appear(name, key)
        # What counts is when the leader heard of it: before that nothing was placed there.
        self.machines[name] = Up(name, *key, at)

    def _rented(self, at: float, f: dict[str, Any]) -> None:
        key = self._kind(f)
        for name in f["machines"]:
            self.rented[name] = (at, key)
            self.order[key].append(name)
            self._appear(name, key)
        if len(f["machines"]) < f["count"]:
            self.capacity[key] = len(self.there[key])

    def _refused(self, at: float, f: dict[str, Any]) -> None:
        self.capacity[self._kind(f)] = len(self.there[self._kind(f)])

    def _returning(self, at: float, f: dict[str, Any]) -> None:
        name = f["machine"]
        if f["why"].startswith("silent") and name in self.kinds:
            self.losses.append((self.heard.get(name, at), name))

    def _returned(self, at: float, f: dict[str, Any]) -> None:
        key = self.kinds.get(f["machine"])
        if key is not None:
            self.there[key].discard(f["machine"])

    def _notice(self, at: float, f: dict[str, Any]) -> None:
        self.notices.append((at, f["machine"], f["in_s"]))

    def _drained(self, at: float, f: dict[str, Any]) -> None:
        if f["why"] == "an operator":
            self.drains.append((at, f["machine"], True))

    def _resumed(self, at: float, f: dict[str, Any]) -> None:
        self.drains.append((at, f["machine"], False))

    # --- what it adds up to ------------------------------------------------------------

    def _speeds(self) -> dict[str, float]:
        """Run time on each machine over the job's typical one; 1 where little was seen."""
        by_job: dict[str, list[float]] = defaultdict(list)
        for (job, _), runs in self.runs.items():
            by_job[job] += [r.ran for r in runs if r.done and len(runs) == 1 and r.least is None]
        typical = {job: statistics.median(v) for job, v in by_job.items() if len(v) >= 4}
        seen: dict[str, list[float]] = defaultdict(list)
        for (job, _), runs in self.runs.items():
            for run in runs:
                if run.done and len(runs) == 1 and run.least is None and job in typical:
                    seen[run.machine].append(run.ran / typical[job])
        # A few tasks say little of a machine: they count against eight that say nothing.
        return {
            machine: (8.0 + statistics.median(v) * len(v)) / (8.0 + len(v))
            for machine, v in seen.items()
        }

    def _lengths(self, slow: dict[str, float]) -> None:
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
                    # As long as the job's others, within what is known of its end.
                    like = statistics.median(known[job]) if known[job] else work
                    work = min(max(like, run.least / speed), work)
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

    def _images(self, flavors: dict[str, Flavor]) -> tuple[dict[str, float], dict[str, list[str]]]:
        sizes = {a.spec.image: a.spec.image_gb for a in self.arrivals.values()}
        parts: dict[str, list[float]] = defaultdict(list)
        cached: dict[str, list[str]] = defaultdict(list)
        for (machine, image), wait in self.begun.items():
            flavor = flavors.get(self.kinds.get(machine, ("", "", False))[0])
            if flavor is None or sizes[image] <= 0:
                continue
            nominal = sizes[image] / flavor.fetch_gb_per_s
            if nominal > 2 * FETCH_LEAST_S and wait < FETCH_LEAST_S:
                if machine in self.machines:
                    cached[machine].append(image)
            elif wait > REPORT_S:
                parts[machine].append(nominal / (wait - REPORT_S))
        fetch = {m: min(max(statistics.median(v), 0.5), 1.5) for m, v in parts.items()}
        return fetch, dict(cached)

    def result(
        self, params: Params, tuning: Tuning, flavors: list[Flavor], length: float
    ) -> Replay:
        slow = self._speeds()
        self._lengths(slow)
        fetch, cached = self._images({f.name: f for f in flavors})
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
        gone_idle = {name for _, name, _ in self.notices}
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
            most=dict(self.most),
            losses=[(at, name) for at, name in self.losses if name not in gone_idle],
            notices=self.notices,
            drains=self.drains,
            releases=self.releases,
            leads=self.leads,
            ends=self.ends,
            placed=self.placed,
            notes=self.notes,
        )
