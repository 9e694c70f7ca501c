"""Checks a lab's history against the rules of the protocol and lists the violations.

A history is a sequence of rows in order of time. Rows of workers record when a task started and
stopped occupying a machine; rows of users record requests and answers. The checker works during a
run as well as after it.
"""

from __future__ import annotations

import math
from bisect import bisect_left
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

from coveflow import constants as c
from coveflow.core.model import Flavor, Spec
from coveflow.lab.impossible import why_impossible
from coveflow.lab.late_starts import LateStarts
from coveflow.lab.waits import OpenJob, WaitDetector
from coveflow.settings import Team

# Time without an answer about a job, after all injected faults are over, that counts as forgotten.
UNANSWERED_S = 75.0
CLOCK_TOLERANCE_S = 0.1  # allows for clocks that drift by 0.05% over cancel_s, with a margin
BACKOFF_S = 90.0  # after a failure of a job, how long it is not expected to use free capacity
FORGOTTEN_S = 90.0  # how long all polls for a job may fail while most others are answered


@dataclass(frozen=True)
class Violation:
    """A violation of `rule`; `at` is in seconds of the history's clock."""

    rule: str
    at: float
    text: str


@dataclass
class _Job:
    spec: Spec | None = None
    accepted: bool = False
    cancel_requested: bool = False
    final_state: str = ""  # the final state in an answer to its user
    cancel_confirmed_at: float = math.inf  # when its cancellation was confirmed to its user
    accepted_at: float = math.inf  # when an answer first confirmed that it is accepted
    ended_at: float = math.inf  # when an answer first had a final state
    done: set[int] = field(default_factory=set)
    answered_at: float = 0.0  # when a request about it was last answered
    flaw: str = ""  # what the submission lacks, if it was malformed
    failed_at: float = -math.inf  # when one of its tasks last failed
    done_counts: list[tuple[float, int]] = field(default_factory=list)  # time and count, increasing


@dataclass
class _RunningTask:
    machine: str
    zone: str


class Checker:
    def __init__(
        self,
        teams: list[Team],
        cancel_s: float,
        lease_s: float = math.inf,
        flavors: list[Flavor] | None = None,
    ) -> None:
        """With `lease_s`, also check every answer that renews a lease (docs/notes/evidence.md).

        With `flavors`, also check that every accepted job can run on some machine type.
        """
        self.teams = {team.name: team for team in teams}
        self.cancel_s = cancel_s
        self.known_before_s = cancel_s - lease_s - c.CONTACT_MARGIN_S
        self.gone_s = 0.0  # longest time from a confirmed cancellation to the end of a task
        self.jobs: dict[str, _Job] = {}
        self.running: dict[tuple[str, int], _RunningTask] = {}
        self.zones: dict[str, Counter[str]] = {}  # running tasks of a job by zone
        self.used: dict[str, list[float]] = {}  # CPUs and accelerators in use, by team
        self.polls: Counter[bool] = Counter()
        self.starts = 0
        self.flavors = flavors
        self.waits = WaitDetector(self.teams)
        self.late_starts = LateStarts()
        self.done_fell = 0  # polls that reported fewer done tasks than an earlier answer
        self.faults_over_at = math.inf  # when the last injected fault was over
        self.silent_s = 0.0  # longest time after that without an answer about a job
        self.violations: list[Violation] = []

    def check_history(self, rows: Iterable[dict[str, Any]]) -> list[Violation]:
        """Check a whole history, sorted by time, and return the violations."""
        at = 0.0
        for row in sorted(rows, key=lambda row: row["at"]):
            self.record(row)
            at = row["at"]
        return self.finish(at)

    def finish(self, at: float) -> list[Violation]:
        for name, entry in self.jobs.items():
            if entry.accepted and not entry.final_state:
                self._check_unanswered(entry, name, at)
        for job, task in list(self.running):
            self._check_cancelled(job, task, at)
        if not self.starts:
            self._add_violation("nothing_ran", at, "no task was started")
        return self.violations

    def _add_violation(self, rule: str, at: float, text: str) -> None:
        self.violations.append(Violation(rule, at, text))

    def _job(self, name: str) -> _Job:
        return self.jobs.setdefault(name, _Job())

    def record(self, row: dict[str, Any]) -> None:
        match row["kind"]:
            case "submit":
                entry = self._job(row["job"])
                entry.spec, entry.flaw = row["spec"], row.get("flaw", "")
            case "on":
                self._on(row)
            case "off":
                self._off(row)
            case "cancel":
                self._job(row["job"]).cancel_requested = True
            case "answer":
                self._answer(row)
            case "renewed":
                self._renewed(row)
            case "rooms":
                self._free_capacity(row)

    # --- workers -----------------------------------------------------------------------

    def _on(self, row: dict[str, Any]) -> None:
        job, task, at = row["job"], row["task"], row["at"]
        self.starts += 1
        entry = self._job(job)
        running = self.running.get((job, task))
        if running is not None:
            where = f"{row['machine']} and {running.machine}"
            self._add_violation("ran_twice", at, f"{job}/{task} is on {where}")
            return
        spec = entry.spec
        if spec is None:
            self._add_violation("invented", at, f"{job}/{task} runs and was never submitted")
            return
        self._check_cancelled(job, task, at)
        if at > entry.cancel_confirmed_at:
            self.late_starts.record_start(
                (job, task, row.get("number", 0)), entry.cancel_confirmed_at
            )
        zones = self.zones.setdefault(job, Counter())
        reason = ""
        if spec.types is not None and row["type"] not in spec.types:
            reason = f"on type {row['type']}"
        elif spec.zone is not None and spec.zone != row["zone"]:
            reason = f"in zone {row['zone']}"
        elif row["spot"] and not spec.spot:
            reason = "on a spot machine"
        elif spec.one_zone and any(n and zone != row["zone"] for zone, n in zones.items()):
            reason = f"in {row['zone']}, others in {sorted(z for z, n in zones.items() if n)}"
        elif spec.spread and zones[row["zone"]] + 1 > (spec.tasks + 1) // 2:
            reason = f"crowds zone {row['zone']}"
        if reason:
            self._add_violation("wrong_place", at, f"{job}/{task} {reason}")
        self.running[(job, task)] = _RunningTask(row["machine"], row["zone"])
        zones[row["zone"]] += 1
        self._use(spec, 1, at)

    def _use(self, spec: Spec, sign: int, at: float) -> None:
        used = self.used.setdefault(spec.team, [0.0, 0.0])
        used[0] += sign * spec.cpus
        used[1] += sign * spec.accelerators
        team = self.teams.get(spec.team)
        if team is None or sign < 0:
            return
        if team.cpus_max > 0 and used[0] > team.cpus_max + 1e-6:
            self._add_violation(
                "quota", at, f"{spec.team} uses {used[0]:g} CPUs of {team.cpus_max:g}"
            )
        if team.accelerators_max > 0 and used[1] > team.accelerators_max + 1e-6:
            self._add_violation("quota", at, f"{spec.team} uses {used[1]:g} accelerators")

    def _off(self, row: dict[str, Any]) -> None:
        job, task = row["job"], row["task"]
        entry = self._job(job)
        running = self.running.get((job, task))
        if row["why"] == "done":
            entry.done.add(task)
        elif row["why"] == "error":
            entry.failed_at = row["at"]
        if running is None or running.machine != row["machine"]:
            return
        self._check_cancelled(job, task, row["at"])
        self.gone_s = max(self.gone_s, row["at"] - entry.cancel_confirmed_at)
        del self.running[(job, task)]
        self.zones[job][running.zone] -= 1
        if entry.spec is not None:
            self._use(entry.spec, -1, row["at"])

    def _check_cancelled(self, job: str, task: int, at: float) -> None:
        since = self._job(job).cancel_confirmed_at
        if at > since + self.cancel_s:
            self._add_violation(
                "ran_cancelled", at, f"{job}/{task} {at - since:.1f} s after its cancellation"
            )

    def _renewed(self, row: dict[str, Any]) -> None:
        """Check the answer that a worker received to its report sent at `sent`.

        The answering node must know and apply the cancellations confirmed long enough before the
        report; otherwise the renewed lease may outlast the limit promised to users. This check
        fails well before a task actually exceeds the limit.
        """
        orders = {(verb, job, task) for verb, job, task in row["orders"]}
        created_at = row.get("made", row["at"])
        for job, task, number in row.get("runs", ()):
            self.late_starts.record_run_order((job, task, number), created_at, row["at"])
        for job in row.get("known", ()):
            self._add_violation(
                "renewed", row["at"], f"{job} is run on {row['machine']} and known to be cancelled"
            )
        confirmed_before = row["sent"] - self.known_before_s - CLOCK_TOLERANCE_S
        runs = [(job, task) for verb, job, task in orders if verb == "run"]
        for job, task in [*row["live"], *runs]:
            confirmed_at = self._job(job).cancel_confirmed_at
            if confirmed_at < confirmed_before and ("stop", job, task) not in orders:
                self._add_violation(
                    "renewed", row["at"],
                    f"{job}/{task} on {row['machine']} is left to run by an answer to a report "
                    f"{row['sent'] - confirmed_at:.1f} s after its cancellation",
                )  # fmt: skip

    # --- free capacity -----------------------------------------------------------------

    def _free_capacity(self, row: dict[str, Any]) -> None:
        """Process a sample of the free capacity of machines and of the placed tasks."""
        at = row["at"]
        placed: dict[tuple[str, int], Spec] = {}
        jobs = {
            name: OpenJob(entry.spec, entry.done)
            for name, entry in self.jobs.items()
            if entry.spec is not None
            and entry.accepted
            and not (entry.final_state or entry.cancel_requested)
            and at - entry.failed_at > BACKOFF_S
        }
        for job, task, zone in row["placed"]:
            spec = self._job(job).spec
            if spec is None:
                continue
            placed[job, task] = spec
            if job in jobs:
                jobs[job].placed[task] = zone
        for wait in self.waits.update(at, row["machines"], jobs, placed):
            self._add_violation(
                "waited", at, f"{wait.job} waits {wait.for_s:.0f} s beside room on {wait.machine}"
            )

    # --- users -------------------------------------------------------------------------

    def _answer(self, row: dict[str, Any]) -> None:
        """Check an answer: `code` is the HTTP status or 0, `state` the state in a 200 or 201."""
        job, code, at = row["job"], row["code"], row["at"]
        entry = self._job(job)
        # A poll sent before the user's submission was answered may get a late 404.
        early = code == 404 and row.get("sent", math.inf) <= entry.accepted_at
        if row["to"] == "poll" and not early:
            self._polled(entry, job, code, at)
        if code in (400, 422) and entry.accepted:
            self._add_violation("forgotten", at, f"{job} was accepted and now gets {code}")
        if code not in (200, 201):
            return
        if entry.flaw:
            self._add_violation("accepted_impossible", at, f"{job} gets {code}: {entry.flaw}")
            return
        if entry.spec is None:
            self._add_violation("invented", at, f"{job} gets {code} and was never submitted")
            return
        self._check_possible(entry, job, at)
        entry.accepted = True
        entry.accepted_at = min(entry.accepted_at, at)
        entry.answered_at = max(entry.answered_at, at)
        state = row["state"]
        # A request sent before the final answer was received may get an older state after it.
        if (
            entry.final_state
            and state != entry.final_state
            and row.get("sent", math.inf) > entry.ended_at
        ):
            self._add_violation("went_back", at, f"{job} was {entry.final_state}, now {state}")
        if state == "cancelled" and not entry.cancel_requested:
            self._add_violation("went_back", at, f"{job} is cancelled and nobody asked")
        self._check_done_count(entry, row)
        missing = entry.spec.tasks - len(entry.done)
        if state == "done" and missing and entry.final_state != "done":
            self._add_violation("not_done", at, f"{job} is called done, {missing} tasks are not")
        if state in ("done", "cancelled"):
            entry.final_state, entry.ended_at = state, min(entry.ended_at, at)
            if state == "cancelled":
                entry.cancel_confirmed_at = min(entry.cancel_confirmed_at, at)

    def _check_possible(self, entry: _Job, job: str, at: float) -> None:
        """Check that a newly accepted job can ever run."""
        if self.flavors is None or entry.accepted or entry.spec is None:
            return
        reason = why_impossible(entry.spec, self.teams, self.flavors)
        if reason:
            self._add_violation("accepted_impossible", at, f"{job} is accepted: {reason}")

    def _check_done_count(self, entry: _Job, row: dict[str, Any]) -> None:
        """Count a `done` lower than in an answer received before the request was sent.

        The counts are for display only, so this is not a violation.
        """
        done = row.get("done")
        if done is None:
            return
        before = bisect_left(entry.done_counts, (row.get("sent", math.inf), -1))
        if before and entry.done_counts[before - 1][1] > done:
            self.done_fell += 1
        if not entry.done_counts or done > entry.done_counts[-1][1]:
            entry.done_counts.append((row["at"], done))

    def _check_unanswered(self, entry: _Job, job: str, at: float) -> None:
        """Check that requests about the job were answered since the last injected fault.

        Unlike FORGOTTEN_S, this holds even if requests about other jobs fail too.
        """
        silent = at - max(entry.answered_at, self.faults_over_at)
        if silent > UNANSWERED_S:
            self._add_violation(
                "forgotten", at, f"no answer about {job} for {silent:.0f} s of calm"
            )
            entry.answered_at = at

    def _polled(self, entry: _Job, job: str, code: int, at: float) -> None:
        if code == 404 and entry.accepted:
            self._add_violation("forgotten", at, f"{job} was accepted and now gets 404")
        answered = code in (200, 404)
        if entry.accepted and at > self.faults_over_at:
            silent = at - max(entry.answered_at, self.faults_over_at)
            self.silent_s = max(self.silent_s, silent)
        if not answered and entry.accepted:
            self._check_unanswered(entry, job, at)
        self.polls[answered] += 1
        if answered or not entry.answered_at:
            entry.answered_at = at
        elif at - entry.answered_at > FORGOTTEN_S and self.polls[True] > self.polls[False]:
            self._add_violation(
                "forgotten", at, f"no poll for {job} for {at - entry.answered_at:.0f} s"
            )
            entry.answered_at = at
