"""Tracks the recent demand of job classes, to predict their next demand."""

from __future__ import annotations

import statistics
from collections import deque

from coveflow import constants as c
from coveflow.core.model import Spec
from coveflow.core.planner_state import ClassDemand


class DemandTracker:
    """Tasks of a class by arrival time, over the last minutes."""

    def __init__(self) -> None:
        self.spec: Spec | None = None
        self.arrivals: deque[tuple[float, int]] = deque()

    def add(self, spec: Spec, at: float) -> None:
        self.spec = spec
        self.arrivals.append((at, spec.tasks))

    def estimate(self, now: float) -> ClassDemand:
        """Estimate the demand as the median over equal time windows.

        The median ignores a single burst, which does not indicate a continuing rate.
        """
        while self.arrivals and now - self.arrivals[0][0] > c.DEMAND_PERIODS * c.DEMAND_PERIOD_S:
            self.arrivals.popleft()
        parts = [0] * c.DEMAND_PERIODS
        for at, tasks in self.arrivals:
            parts[min(max(0, int((now - at) // c.DEMAND_PERIOD_S)), c.DEMAND_PERIODS - 1)] += tasks
        assert self.spec is not None
        return ClassDemand(self.spec, statistics.median(parts) / c.DEMAND_PERIOD_S)


class ArrivalTracker:
    """Tells whether jobs of a class still arrive, from the intervals between recent arrivals."""

    def __init__(self) -> None:
        self.arrival_times: deque[float] = deque(maxlen=c.ARRIVALS_KEPT)

    def add(self, at: float) -> None:
        """Record an arrival, in s of the caller's clock; a new leader may add them in any order."""
        self.arrival_times.append(at)

    def is_active(self, now: float) -> bool:
        """Return False after several mean intervals without an arrival."""
        if len(self.arrival_times) < 2:
            return True
        first, last = min(self.arrival_times), max(self.arrival_times)
        usual = (last - first) / (len(self.arrival_times) - 1)
        return now - last <= max(c.ARRIVAL_GAP_MIN_S, c.ARRIVAL_GAP_FACTOR * usual)
