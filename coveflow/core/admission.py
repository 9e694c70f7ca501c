"""Whose submission is written next, and when one that cannot be is to come again.

Pure and without a clock. Submissions wait by team and class and are taken by deficit round-robin
(Shreedhar and Varghese, 1995) with their cost in the store's changes, so that a team that sends
fifty times its share waits for itself and nobody else does.
"""

from __future__ import annotations

import math
from collections import OrderedDict, deque
from collections.abc import Callable, Iterator
from typing import Generic, TypeVar

from coveflow import constants as c

T = TypeVar("T")
Flow = tuple[str, str]  # team and class


class Queue(Generic[T]):
    """Entries by team, and within a team by class; each turn of a team serves its next class."""

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

    def of(self, team: str) -> int:
        """How many of the team's wait."""
        return sum(map(len, self.teams.get(team, {}).values()))

    def take(self, most: int, fits: Callable[[T], bool] = lambda entry: True) -> list[T]:
        """The next entries, one of a team at a time; `fits` tells which may go with the others.

        What does not fit keeps its place, and its class waits for it.
        """
        taken: list[T] = []
        passed: set[Flow] = set()
        while len(taken) < most:
            flow = next(
                ((t, w) for t, classes in self.teams.items() for w in classes
                 if (t, w) not in passed), None,
            )  # fmt: skip
            if flow is None:
                return taken
            team, workload = flow
            waiting = self.teams[team][workload]
            if not fits(waiting[0]):
                passed.add(flow)
                continue
            taken.append(waiting.popleft())
            self.count -= 1
            self._turn(team, workload)
        return taken

    def _turn(self, team: str, workload: str) -> None:
        classes = self.teams[team]
        if classes[workload]:
            classes.move_to_end(workload)
        else:
            del classes[workload]
        if classes:
            self.teams.move_to_end(team)
        else:
            del self.teams[team]


def admits(waiting: int, of_team: int, teams: int, bound: int) -> bool:
    """Whether one more of a team may wait, given how many wait and of how many teams.

    A queue that is full still has room for a team that has less than its part of it waiting: what
    others sent must not keep it out.
    """
    if waiting < bound:
        return True
    return of_team < bound / max(1, teams) and waiting < 2 * bound


def retry_after_s(waiting: int, per_s: float, spread: float) -> int:
    """s after which a refused submission should come again: when what waits now is written.

    `spread` in 0 to 1 keeps them from coming all at once. The protocol heeds 30 s at the most.
    """
    wait = waiting / max(per_s, 0.1)
    return max(1, min(c.RETRY_AFTER_MOST, math.ceil(wait * (1.0 + spread))))
