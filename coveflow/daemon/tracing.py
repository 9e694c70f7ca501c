"""The leader's decisions and evidence as numbered events, for a recorder that asks for them.

Off unless the operators' file says how many events to keep. Events of one lead are numbered from 1
without gaps, so a recorder sees what it missed. Times are the steady clock's, from the beginning of
the lead: the time of day may step.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Callable
from itertools import islice
from typing import Any

LEADS_KEPT = 3  # leads of this process whose events are still told; the last ones end a recording


class Tracer:
    """Keeps the newest `size` events of each of its last leads."""

    def __init__(
        self, size: int, clock: Callable[[], float], wall: Callable[[], float], boot: str
    ) -> None:
        self.size, self.clock, self.wall, self.boot = size, clock, wall, boot
        self.leads: OrderedDict[int, deque[list[Any]]] = OrderedDict()
        self.began: dict[int, tuple[float, float]] = {}  # steady and day time of a lead's begin
        self.last: dict[int, int] = {}  # number of the newest event
        self.over: set[int] = set()

    def begin(self, epoch: int) -> None:
        self.leads[epoch] = deque(maxlen=self.size)
        self.began[epoch] = (self.clock(), self.wall())
        self.last[epoch] = 0
        while len(self.leads) > LEADS_KEPT:
            oldest, _ = self.leads.popitem(last=False)
            del self.began[oldest], self.last[oldest]
            self.over.discard(oldest)

    def emit(self, epoch: int, kind: str, fields: dict[str, Any]) -> None:
        events = self.leads.get(epoch)
        if events is None:
            return
        self.last[epoch] = number = self.last[epoch] + 1
        events.append([number, round(self.clock() - self.began[epoch][0], 6), kind, fields])

    def end(self, epoch: int, why: str) -> None:
        self.emit(epoch, "left", {"why": why})
        self.over.add(epoch)

    def read(self, epoch: int | None, after: int, most: int) -> dict[str, Any]:
        """Events of a lead after a number; `epoch` None: of the newest.

        `began` is the time of day when the lead began, `leads` all that is still kept here:
        (epoch, number of the newest event, whether it is over).
        """
        if epoch is None and self.leads:
            epoch = next(reversed(self.leads))
        answer: dict[str, Any] = {
            "boot": self.boot,
            "leads": [[e, self.last[e], e in self.over] for e in self.leads],
            "epoch": epoch,
            "rows": [],
        }
        events = self.leads.get(epoch) if epoch is not None else None
        if events:
            first = events[0][0]
            answer["began"] = self.began[epoch][1]
            skip = max(0, after + 1 - first)
            answer["rows"] = list(islice(events, skip, skip + most))
        return answer
