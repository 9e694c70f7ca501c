"""Detection of overload: whether a late process is overloaded or runs on a slow processor.

The module does no I/O and reads no clock: the caller passes the time. A leader that is late because
of overload gains nothing by handing over: its successor starts with the same load and cold state.
It starts new tasks only in slots whose previous task ends it has processed, so the load limits
itself.
"""

from __future__ import annotations

import math

from coveflow import constants as c


class BusyShare:
    """Share of recent time, 0 to 1, that the process spent on its own work."""

    __slots__ = ("_at", "_busy_s", "_share")

    def __init__(self, began: float) -> None:
        self._at = began
        self._busy_s = 0.0
        self._share = 0.0

    def add_busy_time(self, seconds: float) -> None:
        """Add time, in s, that the process spent on its work."""
        self._busy_s += seconds

    def update(self, now: float) -> float:
        """The share up to `now` (s); older time decays with time constant `BUSY_DECAY_S`."""
        elapsed = now - self._at
        if elapsed > 0.0:
            kept = math.exp(-elapsed / c.BUSY_DECAY_S)
            newest = min(1.0, self._busy_s / elapsed)
            self._share = self._share * kept + newest * (1.0 - kept)
            self._at, self._busy_s = now, 0.0
        return self._share


class ComputeSpeed:
    """Time that a reference computation takes here: the minimum of the latest samples, in s.

    The minimum, because any single run may be preempted. Comparing it between processes tells a
    slow processor from a process with too much work.
    """

    __slots__ = ("_samples",)

    def __init__(self) -> None:
        self._samples: list[float] = []

    def add_sample(self, seconds: float) -> None:
        """Add the duration of one run, in s."""
        self._samples.append(seconds)
        del self._samples[: -c.COMPUTE_SAMPLES]

    def best_s(self) -> float:
        """Minimum duration of the reference computation, in s; 0 while unknown."""
        return min(self._samples) if len(self._samples) == c.COMPUTE_SAMPLES else 0.0


def reference_computation() -> int:
    """The computation that `ComputeSpeed` times: about 0.1 ms on a current core."""
    total = 0
    for number in range(c.COMPUTE_STEPS):
        total += number & 7
    return total


def overloaded(share: float, own_s: float, others_s: float) -> bool:
    """Whether overload explains lateness: busy, and not much slower than the fastest other node.

    `own_s` and `others_s` are values of `ComputeSpeed.best_s`; 0 is unknown and is ignored.
    """
    slower = own_s > 0.0 and others_s > 0.0 and own_s >= c.SLOW_PROCESS_FACTOR * others_s
    return share >= c.BUSY_SHARE and not slower
