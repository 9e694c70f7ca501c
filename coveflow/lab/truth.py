"""The simulated facts about jobs that the scheduler can't see.

These are the run times of tasks, the saved progress, the finished tasks and the state of gangs.
"""

from __future__ import annotations

import math
import zlib
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import numpy as np

from coveflow.core.model import Spec

if TYPE_CHECKING:
    from coveflow.lab.worker import Attempt, Worker

INF = math.inf


class GroundTruth:
    """Jobs as uploaded by their users, and the true state of their tasks.

    `draw(spec)` returns the run times of a job's tasks, in seconds of work on a machine of speed 1;
    a gang has one for all its tasks. Checkpoints are stored outside the machines.
    """

    def __init__(self, draw: Callable[[Spec], list[float]], peer_s: float, wait_s: float) -> None:
        self.draw = draw
        self.peer_s, self.wait_s = peer_s, wait_s
        self.specs: dict[str, Spec] = {}
        self.lengths: dict[str, list[float]] = {}
        self.saved: dict[tuple[str, int], float] = {}  # seconds of work; gangs under task -1
        self.done: set[tuple[str, int]] = set()
        self.gangs: dict[tuple[str, int], Gang] = {}
        # Machines whose tasks changed without an order. A dict, since a set of objects would make
        # the order of iteration vary between runs.
        self.changed_workers: dict[Worker, None] = {}
        # Documents of the jobs whose tasks are real processes, with unknown run times.
        self.documents: dict[str, bytes] = {}
        self.failing_jobs: set[str] = set()  # faulty jobs, whose tasks fail on every machine

    def upload(self, spec: Spec) -> None:
        """Store the user's description of a job, from where workers fetch it."""
        if spec.id not in self.specs:
            self.specs[spec.id] = spec

    def run_time_s(self, job: str, task: int) -> float:
        if job in self.documents:
            return INF
        lengths = self.lengths.get(job)
        if lengths is None:
            lengths = self.lengths[job] = self.draw(self.specs[job])
        return lengths[0 if self.specs[job].kind == "gang" else task]

    def remaining_s(self, job: str, task: int) -> float:
        """Seconds of work that remain if the task starts now from its last checkpoint."""
        if self.specs[job].kind == "service":
            return INF
        key = (job, -1 if self.specs[job].kind == "gang" else task)
        return max(0.0, self.run_time_s(job, task) - self.saved.get(key, 0.0))

    def save_progress(self, job: str, task: int, progress: float) -> None:
        """Save progress outside the machine; saved progress never decreases."""
        key = (job, -1 if self.specs[job].kind == "gang" else task)
        self.saved[key] = max(self.saved.get(key, 0.0), progress)

    def save_last_checkpoint(self, job: str, task: int, progress: float) -> None:
        """Save the last periodic checkpoint of an attempt that was lost at `progress`."""
        every = self.specs[job].checkpoint_s
        if every > 0:
            self.save_progress(job, task, math.floor(progress / every) * every)

    def is_complete(self, job: str) -> bool:
        spec = self.specs[job]
        return all((job, task) in self.done for task in range(spec.tasks))

    # --- gangs -------------------------------------------------------------------------

    def gang(self, job: str, number: int) -> Gang:
        key = (job, number)
        if key not in self.gangs:
            self.gangs[key] = Gang(self, self.specs[job], number)
        return self.gangs[key]

    def next_at(self) -> float:
        return min((gang.next_at() for gang in self.gangs.values()), default=INF)

    def advance(self, now: float) -> None:
        for key, gang in list(self.gangs.items()):
            gang.advance(now)
            if not gang.members and (gang.is_over or gang.started_at is None):
                del self.gangs[key]


@dataclass
class Gang:
    """One attempt of a gang; its tasks find each other by the attempt number."""

    truth: GroundTruth
    spec: Spec
    number: int
    members: dict[int, tuple[Worker, Attempt]] = field(default_factory=dict)
    started_at: float | None = None
    ends: float = INF
    slow: float = 1.0
    base: float = 0.0  # seconds of work done when it started
    lost_at: float = INF  # when the first task disappeared
    stop_at: float = INF  # when the first stop with a checkpoint arrived
    progress_at_stop: float = 0.0  # progress at that stop
    is_over: bool = False
    finished: set[int] = field(default_factory=set)  # tasks whose processes exited

    def finish_task(self, task: int, now: float) -> None:
        """Record that a task's process exited; the gang completes with the last one."""
        self.finished.add(task)
        if len(self.finished) == self.spec.tasks:
            self.ends = now
            self.advance(now)

    def join(self, worker: Worker, attempt: Attempt, now: float) -> None:
        """Add a task that has its image; it waits for the others, and the last one starts all."""
        self.members[attempt.task] = (worker, attempt)
        attempt.state, attempt.ends = "waiting", now + self.truth.wait_s
        if len(self.members) < self.spec.tasks:
            return
        self.started_at = now
        self.slow = max(w.slow for w, _ in self.members.values())
        left = self.truth.remaining_s(self.spec.id, 0)
        self.base = 0.0 if left == INF else self.truth.run_time_s(self.spec.id, 0) - left
        self.ends = now + left * self.slow
        for w, a in self.members.values():
            w.record_start(a, now)
            a.ends = INF  # the gang ends its tasks

    def progress(self, now: float) -> float:
        if self.started_at is None:
            return self.base
        if self.stop_at < INF:
            return self.progress_at_stop
        return self.base + (min(now, self.lost_at) - self.started_at) / self.slow

    def leave(self, task: int, now: float) -> None:
        """Remove a task that exited or was killed, or whose machine is gone or hangs."""
        if self.members.pop(task, None) is None or self.started_at is None or self.is_over:
            return
        if self.lost_at == INF:
            self.truth.save_last_checkpoint(self.spec.id, 0, self.progress(now))
            self.lost_at = now

    def has_member(self, worker: Worker, attempt: Attempt) -> bool:
        return self.members.get(attempt.task) == (worker, attempt)

    def stop_task(self, worker: Worker, attempt: Attempt, grace_s: float, now: float) -> None:
        saves = self.spec.checkpoint_s > 0 and grace_s >= self.spec.save_s
        if (
            self.started_at is None
            or not saves
            or self.lost_at < INF
            or attempt.state == "flushing"
        ):
            worker.record_exit(attempt, "halted", now)
            self.leave(attempt.task, now)
            return
        if self.stop_at == INF:
            self.progress_at_stop, self.stop_at = self.progress(now), now
        attempt.state, attempt.ends = "flushing", INF
        attempt.saved_at = now + self.spec.save_s
        worker.changed = True

    def next_at(self) -> float:
        if self.is_over or self.started_at is None:
            return INF
        if self.lost_at < INF:
            return self.lost_at + self.truth.peer_s * 0.75
        if self.stop_at < INF:
            saved = [a.saved_at for _, a in self.members.values()]
            limit = self.stop_at + self.truth.peer_s
            return min(limit, max(saved)) if max(saved) < INF else limit
        return self.ends

    def advance(self, now: float) -> None:
        at = self.next_at()
        if at > now:
            return
        if self.lost_at < INF:
            why, kept = "mates_gone", False
        elif self.stop_at < INF:
            kept = all(a.saved_at <= at for _, a in self.members.values())
            why = "halted" if kept else "mates_gone"
            if kept:
                self.truth.save_progress(self.spec.id, 0, self.progress_at_stop)
            else:
                self.truth.save_last_checkpoint(self.spec.id, 0, self.progress_at_stop)
        else:
            why, kept = "done", False
            self.truth.done.update((self.spec.id, task) for task in range(self.spec.tasks))
        self.is_over = True
        for worker, attempt in list(self.members.values()):
            attempt.kept = kept
            worker.record_exit(attempt, why, at)
        self.members.clear()


def run_time_sampler(
    seed: int, laws: dict[str, tuple[float, float, float]], fallback_s: float = 30.0
) -> Callable[[Spec], list[float]]:
    """Return a function that draws run times by class, deterministic for a seed.

    They are lognormal with the (median, 95th percentile, maximum) in `laws`, in seconds.
    """

    def draw(spec: Spec) -> list[float]:
        law = laws.get(spec.workload)
        count = 1 if spec.kind == "gang" else spec.tasks
        if law is None:
            return [spec.expected_s or fallback_s] * count
        median, p95, most = law
        rng = np.random.default_rng([seed, zlib.crc32(spec.id.encode())])
        sigma = math.log(max(p95 / median, 1.0)) / 1.6449  # 95th percentile of the normal
        # Tasks of one job run for similar times; most of the variance is between jobs.
        job = math.log(median) + rng.normal(0.0, sigma)
        tasks = np.exp(job + rng.normal(0.0, 0.12, count))
        return np.clip(tasks, 0.5, most).tolist()

    return draw
