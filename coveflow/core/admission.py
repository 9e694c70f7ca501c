"""Admission control: the order in which submissions are written, and Retry-After for the rest.

The module does no I/O and reads no clock. Submissions are queued by team and class and dequeued by
deficit round-robin (Shreedhar and Varghese, 1995), with their cost in store writes, so that a team
that sends fifty times its share delays only its own submissions.
"""

from __future__ import annotations

import math
from collections import OrderedDict, deque
from collections.abc import Callable, Iterator
from typing import Generic, TypeVar

from coveflow import constants as c

T = TypeVar("T")
Flow = tuple[str, str]  # team and class


class FairQueue(Generic[T]):
    """Queues per team, and per class within a team; each turn of a team serves its next class."""

    def __init__(self) -> None:
        self.teams: OrderedDict[str, OrderedDict[str, deque[T]]] = OrderedDict()
        self.count = 0

    def __len__(self) -> int:
        return self.count

    def __iter__(self) -> Iterator[T]:
        for classes in self.teams.values():
            for waiting in classes.values():
                yield from waiting

    def add(self, flow: Flow, entry: T) -> None:
        team, workload = flow
        self.teams.setdefault(team, OrderedDict()).setdefault(workload, deque()).append(entry)
        self.count += 1

    def waiting_of(self, team: str) -> int:
        """Number of queued entries of the team."""
        return sum(map(len, self.teams.get(team, {}).values()))

    def take(self, max_entries: int, fits: Callable[[T], bool] = lambda entry: True) -> list[T]:
        """Dequeue the next entries, one per team and turn.

        `fits` tells whether an entry may join those already taken. An entry that does not fit keeps
        its place at the head of its class, and the class waits for it.
        """
        taken: list[T] = []
        skipped: set[Flow] = set()
        while len(taken) < max_entries:
            flow = next(
                ((t, w) for t, classes in self.teams.items() for w in classes
                 if (t, w) not in skipped), None,
            )  # fmt: skip
            if flow is None:
                return taken
            team, workload = flow
            waiting = self.teams[team][workload]
            if not fits(waiting[0]):
                skipped.add(flow)
                continue
            taken.append(waiting.popleft())
            self.count -= 1
            self._end_turn(team, workload)
        return taken

    def _end_turn(self, team: str, workload: str) -> None:
        classes = self.teams[team]
        if classes[workload]:
            classes.move_to_end(workload)
        else:
            del classes[workload]
        if classes:
            self.teams.move_to_end(team)
        else:
            del self.teams[team]


def admits(waiting: int, team_waiting: int, teams: int, limit: int) -> bool:
    """Whether a team may queue one more, given the total, its own count and the number of teams.

    A full queue still accepts a team that has less than its fair share of the limit queued, up to
    twice the limit: a flood from others must not shut it out.
    """
    if waiting < limit:
        return True
    return team_waiting < limit / max(1, teams) and waiting < 2 * limit


def retry_after_s(waiting: int, rate_per_s: float, jitter: float) -> int:
    """s after which to retry a refused submission: when the current queue will be written.

    `jitter` in 0 to 1 spreads the retries. The protocol honours at most 30 s.
    """
    wait = waiting / max(rate_per_s, 0.1)
    return max(1, min(c.RETRY_AFTER_MAX_S, math.ceil(wait * (1.0 + jitter))))
