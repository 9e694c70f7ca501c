"""Keeps the leader's decisions and evidence as numbered events for a recorder that polls them.

Disabled unless the configuration sets how many events to keep. Events of an epoch are numbered from
1 without gaps, so a recorder detects events that it missed. Times are monotonic and relative to the
start of the epoch, because the time of day may step.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Callable
from itertools import islice
from typing import Any

# Epochs led by this process whose events stay readable, so that a recorder can read their end.
EPOCHS_KEPT = 3


class Tracer:
    """Keeps the newest `size` events of each of the last epochs led by this process."""

    def __init__(
        self, size: int, clock: Callable[[], float], wall: Callable[[], float], boot: str
    ) -> None:
        self.size, self.clock, self.wall, self.boot = size, clock, wall, boot
        self.epochs: OrderedDict[int, deque[list[Any]]] = OrderedDict()
        # Monotonic time and time of day of each epoch's start.
        self.began: dict[int, tuple[float, float]] = {}
        self.last_number: dict[int, int] = {}  # number of the newest event
        self.ended: set[int] = set()

    def begin(self, epoch: int) -> None:
        self.epochs[epoch] = deque(maxlen=self.size)
        self.began[epoch] = (self.clock(), self.wall())
        self.last_number[epoch] = 0
        while len(self.epochs) > EPOCHS_KEPT:
            oldest, _ = self.epochs.popitem(last=False)
            del self.began[oldest], self.last_number[oldest]
            self.ended.discard(oldest)

    def emit(self, epoch: int, kind: str, fields: dict[str, Any]) -> None:
        events = self.epochs.get(epoch)
        if events is None:
            return
        self.last_number[epoch] = number = self.last_number[epoch] + 1
        events.append([number, round(self.clock() - self.began[epoch][0], 6), kind, fields])

    def end(self, epoch: int, why: str) -> None:
        self.emit(epoch, "left", {"why": why})
        self.ended.add(epoch)

    def read(self, epoch: int | None, after: int, most: int) -> dict[str, Any]:
        """Up to `most` events of an epoch after number `after`; `epoch` None: the newest epoch.

        In the answer, `began` is the time of day when the epoch began, and `leads` lists the epochs
        that are kept: (epoch, number of the newest event, whether it has ended).
        """
        if epoch is None and self.epochs:
            epoch = next(reversed(self.epochs))
        answer: dict[str, Any] = {
            "boot": self.boot,
            "leads": [[e, self.last_number[e], e in self.ended] for e in self.epochs],
            "epoch": epoch,
            "rows": [],
        }
        events = self.epochs.get(epoch) if epoch is not None else None
        if events:
            first = events[0][0]
            answer["began"] = self.began[epoch][1]
            skip = max(0, after + 1 - first)
            answer["rows"] = list(islice(events, skip, skip + most))
        return answer
