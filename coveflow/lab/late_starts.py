"""Counts task starts after the job's cancellation was confirmed to its user, by cause.

The protocol allows them within `cancel_s`, since a command in flight may still start a task.
"""

from __future__ import annotations

import math
from collections import Counter

FETCHING = "fetching"  # the machine had the command before the confirmation and fetched the image
IN_FLIGHT = "in flight"  # the answer with the command was created before the confirmation
CREATED_AFTER = "told after"  # created after it, by a node that may not have known the cancellation
CAUSES = (FETCHING, IN_FLIGHT, CREATED_AFTER)

Attempt = tuple[str, int, int]  # job, task and number
NEVER = (-math.inf, -math.inf)


class LateStarts:
    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()
        self.runs: dict[
            Attempt, tuple[float, float]
        ] = {}  # when created, and received by a machine

    def record_run_order(self, attempt: Attempt, created_at: float, received_at: float) -> None:
        """Record the attempt's run command: when its answer was created and received."""
        self.runs.setdefault(attempt, (created_at, received_at))

    def record_start(self, attempt: Attempt, confirmed_at: float) -> None:
        """Count the start of an attempt whose cancellation was confirmed at `confirmed_at`."""
        created_at, received_at = self.runs.get(attempt, NEVER)
        if received_at <= confirmed_at:
            self.counts[FETCHING] += 1
        elif created_at <= confirmed_at:
            self.counts[IN_FLIGHT] += 1
        else:
            self.counts[CREATED_AFTER] += 1
