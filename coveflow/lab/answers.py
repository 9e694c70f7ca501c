"""Checks the consistency of the answers to users, by when each was sent and received.

Two requests are ordered only if one was sent after the other's answer had been received; the later
one must not get an older state. Requests that overlap may get either state.
"""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass
from operator import attrgetter

FINAL = ("done", "cancelled")
UNKNOWN, ACCEPTED, ENDED = 0, 1, 2  # stages of a job, in their order


@dataclass(frozen=True)
class Answer:
    """One request and its answer; `code` is 0 if there was none. Times are in seconds."""

    sent: float
    received: float
    node: str
    job: str
    request: str  # poll, submit or cancel
    code: int
    state: str | None = None  # the job's state in an answer with 200 or 201
    done: int | None = None  # number of tasks done, if the answer has it

    def stage(self) -> int | None:
        """The job's stage according to this answer; None if the answer doesn't show it."""
        if self.code in (200, 201):
            return ENDED if self.state in FINAL else ACCEPTED
        return UNKNOWN if self.code in (400, 404, 422) else None

    def __str__(self) -> str:
        what = self.state or self.code
        return f"{self.node} {self.request} {self.sent:.3f}-{self.received:.3f} {what}"


@dataclass(frozen=True)
class StaleAnswer:
    """`later` was sent after `earlier` had been received, and shows an older state."""

    earlier: Answer
    later: Answer

    def __str__(self) -> str:
        return f"{self.earlier.job}: {self.earlier}, then {self.later}"


def _by_job(answers: Iterable[Answer]) -> dict[str, list[Answer]]:
    found: dict[str, list[Answer]] = defaultdict(list)
    for answer in answers:
        if answer.stage() is not None:
            found[answer.job].append(answer)
    return found


def stale_answers(answers: Iterable[Answer]) -> list[StaleAnswer]:
    """Answers with an older state than one that was received before their request was sent."""
    found = []
    for job_answers in _by_job(answers).values():
        received = sorted(job_answers, key=attrgetter("received"))
        newest: Answer | None = None
        at = 0
        for later in sorted(job_answers, key=attrgetter("sent")):
            while received[at].received < later.sent:
                if newest is None or received[at].stage() > newest.stage():  # type: ignore[operator]
                    newest = received[at]
                at += 1
            if newest is None:
                continue
            ended = newest.stage() == ENDED and later.state != newest.state
            if ended or later.stage() < newest.stage():  # type: ignore[operator]
                found.append(StaleAnswer(newest, later))
    return found


def contradictions(answers: Iterable[Answer]) -> list[str]:
    """Jobs that were reported both as done and as cancelled, in any order."""
    return [
        job
        for job, job_answers in _by_job(answers).items()
        if len({a.state for a in job_answers if a.state in FINAL}) > 1
    ]


def count_decreases(answers: Iterable[Answer]) -> int:
    """How often `done` was lower than in an answer received before the request was sent.

    The counts are for display only, so a decrease breaks no rule.
    """
    falls = 0
    for job_answers in _by_job(a for a in answers if a.done is not None).values():
        received = sorted(job_answers, key=attrgetter("received"))
        most, at = -math.inf, 0
        for later in sorted(job_answers, key=attrgetter("sent")):
            while received[at].received < later.sent:
                most = max(most, received[at].done or 0)
                at += 1
            falls += (later.done or 0) < most
    return falls
