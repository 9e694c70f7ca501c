"""Metrics of how the request budgets are used: counts and durations per logging interval."""

from __future__ import annotations

from collections import defaultdict


class Meters:
    """Counters and durations since the last summary. `add` is called often and must stay cheap."""

    def __init__(self) -> None:
        self.counts: defaultdict[str, float] = defaultdict(float)
        self.spans: defaultdict[str, list[float]] = defaultdict(lambda: [0, 0.0, 0.0])

    def add(self, name: str, amount: float = 1) -> None:
        self.counts[name] += amount

    def record_duration(self, name: str, seconds: float) -> None:
        """Record the duration of a wait or of work; the count, sum and maximum are kept."""
        entry = self.spans[name]
        entry[0] += 1
        entry[1] += seconds
        entry[2] = max(entry[2], seconds)

    def summary(self, seconds: float) -> str:
        """Format rates per second, and mean and maximum durations in ms; then reset."""
        parts = [f"{name} {count / seconds:.1f}/s" for name, count in sorted(self.counts.items())]
        parts += [
            f"{name} {entry[0] / seconds:.1f}/s of {1000 * entry[1] / entry[0]:.0f}"
            f" (most {1000 * entry[2]:.0f}) ms"
            for name, entry in sorted(self.spans.items())
        ]
        self.counts.clear()
        self.spans.clear()
        return ", ".join(parts)
