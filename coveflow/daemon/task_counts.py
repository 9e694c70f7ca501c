"""How many tasks of each job are done and running, as this node tells users.

Only the leader counts; the others hear its counts with its pings. The protocol has them for
display, and still the count of done tasks must not fall from one answer to the next: a leader
counts only ends that are committed, and a node keeps the highest count that it heard.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class TaskCount:
    """Tasks of a job; `placed` is counted for another interface's jobs only."""

    done: int = 0
    running: int = 0
    placed: int = 0


UNKNOWN = TaskCount()


class TaskCounts:
    """The newest counts by job, of jobs that are accepted and not over."""

    def __init__(self) -> None:
        self._counts: dict[str, TaskCount] = {}

    def heard(self, counts: Mapping[str, Sequence[int]]) -> None:
        """Take in what the leader counts; it may name a part of the jobs."""
        for job, row in counts.items():
            count = TaskCount(*row[:3])
            before = self._counts.get(job, UNKNOWN)
            done = max(before.done, count.done)
            self._counts[job] = TaskCount(done, count.running, count.placed)

    def keep(self, jobs: Collection[str]) -> None:
        """Forget all jobs but these."""
        for job in [job for job in self._counts if job not in jobs]:
            del self._counts[job]

    def of(self, job: str) -> TaskCount:
        """As last heard, by any lead; zeros where nothing was heard."""
        return self._counts.get(job, UNKNOWN)
