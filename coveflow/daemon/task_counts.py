"""Numbers of done and running tasks of each job, as this node reports them to users.

Only the leader counts; other nodes receive its counts with its pings. The counts are for display
only, yet the number of done tasks must not decrease from one answer to the next: a leader counts
only committed ends, and a node keeps the highest number it has received.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class TaskCount:
    """Task counts of a job; `placed` is counted only for jobs of other interfaces."""

    done: int = 0
    running: int = 0
    placed: int = 0


ZERO_COUNT = TaskCount()


class TaskCounts:
    """The newest counts of active jobs."""

    def __init__(self) -> None:
        self._counts: dict[str, TaskCount] = {}

    def update(self, counts: Mapping[str, Sequence[int]]) -> None:
        """Merge counts from the leader, which may cover only some of the jobs."""
        for job, row in counts.items():
            count = TaskCount(*row[:3])
            previous = self._counts.get(job, ZERO_COUNT)
            done = max(previous.done, count.done)
            self._counts[job] = TaskCount(done, count.running, count.placed)

    def retain(self, jobs: Collection[str]) -> None:
        """Drop the counts of all jobs but these."""
        for job in [job for job in self._counts if job not in jobs]:
            del self._counts[job]

    def get(self, job: str) -> TaskCount:
        """The newest counts from any leader; zeros if there are none."""
        return self._counts.get(job, ZERO_COUNT)
