"""How much a class of jobs asked for lately, as a guess of what it will ask for next."""

from __future__ import annotations

import statistics
from collections import deque

from coveflow import constants as c
from coveflow.core.model import Spec
from coveflow.core.scene import Asked


class Demand:
    """Tasks of a class by the time they came, over the last minutes."""

    def __init__(self) -> None:
        self.spec: Spec | None = None
        self.came: deque[tuple[float, int]] = deque()

    def add(self, spec: Spec, at: float) -> None:
        self.spec = spec
        self.came.append((at, spec.tasks))

    def asked(self, now: float) -> Asked:
        """The median of some equal parts of that time: a rush at one moment is not a rate."""
        while self.came and now - self.came[0][0] > c.ASKED_PARTS * c.ASKED_PART_S:
            self.came.popleft()
        parts = [0] * c.ASKED_PARTS
        for at, tasks in self.came:
            parts[min(max(0, int((now - at) // c.ASKED_PART_S)), c.ASKED_PARTS - 1)] += tasks
        assert self.spec is not None
        return Asked(self.spec, statistics.median(parts) / c.ASKED_PART_S)


class Coming:
    """Whether jobs of a class still come, by the times between those that came lately."""

    def __init__(self) -> None:
        self.at: deque[float] = deque(maxlen=c.COMING_KEPT)

    def add(self, at: float) -> None:
        """A job came at that time (s of the caller's clock); a new leader learns in any order."""
        self.at.append(at)

    def still(self, now: float) -> bool:
        """False once several of the usual times between two jobs have passed without one."""
        if len(self.at) < 2:
            return True
        first, last = min(self.at), max(self.at)
        usual = (last - first) / (len(self.at) - 1)
        return now - last <= max(c.COMING_LEAST_S, c.COMING_TIMES * usual)
