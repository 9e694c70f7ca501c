"""What only the world knows of jobs: how long tasks run, what is saved, what is done; gangs."""

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


class Truth:
    """Jobs as their users uploaded them, and what became of their tasks.

    `draw(spec)` gives the run times of a job's tasks, in s of work on a machine of speed 1;
    gangs have one for all. Work saved by a checkpoint is kept outside the machines.
    """

    def __init__(self, draw: Callable[[Spec], list[float]], peer_s: float, wait_s: float) -> None:
        self.draw = draw
        self.peer_s, self.wait_s = peer_s, wait_s
        self.specs: dict[str, Spec] = {}
        self.lengths: dict[str, list[float]] = {}
        self.saved: dict[tuple[str, int], float] = {}  # s of work; gangs under task -1
        self.done: set[tuple[str, int]] = set()
        self.gangs: dict[tuple[str, int], Gang] = {}
        # Machines whose tasks changed by themselves; in order, as a set of objects has none.
        self.touched: dict[Worker, None] = {}
        # Jobs whose tasks are real processes: their documents. How long they run nobody knows.
        self.documents: dict[str, bytes] = {}
        self.broken: set[str] = set()  # jobs submitted with a mistake: they fail everywhere

    def upload(self, spec: Spec) -> None:
        """The user hands in the job's description; workers fetch it from here."""
        if spec.id not in self.specs:
            self.specs[spec.id] = spec

    def length(self, job: str, task: int) -> float:
        if job in self.documents:
            return INF
        lengths = self.lengths.get(job)
        if lengths is None:
            lengths = self.lengths[job] = self.draw(self.specs[job])
        return lengths[0 if self.specs[job].kind == "gang" else task]

    def left(self, job: str, task: int) -> float:
        """s of work that a start of the task has before it."""
        if self.specs[job].kind == "service":
            return INF
        key = (job, -1 if self.specs[job].kind == "gang" else task)
        return max(0.0, self.length(job, task) - self.saved.get(key, 0.0))

    def keep(self, job: str, task: int, progress: float) -> None:
        """Progress is safe outside the machine; it never falls."""
        key = (job, -1 if self.specs[job].kind == "gang" else task)
        self.saved[key] = max(self.saved.get(key, 0.0), progress)

    def fall_back(self, job: str, task: int, progress: float) -> None:
        """An attempt was lost at this progress: its last own checkpoint stays."""
        every = self.specs[job].checkpoint_s
        if every > 0:
            self.keep(job, task, math.floor(progress / every) * every)

    def complete(self, job: str) -> bool:
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
            if not gang.members and (gang.over or gang.began is None):
                del self.gangs[key]


@dataclass
class Gang:
    """One attempt of a gang: its tasks find each other by its number."""

    truth: Truth
    spec: Spec
    number: int
    members: dict[int, tuple[Worker, Attempt]] = field(default_factory=dict)
    began: float | None = None
    ends: float = INF
    slow: float = 1.0
    base: float = 0.0  # s of work done when it began
    lost_at: float = INF  # a task was first missed
    stop_at: float = INF  # the first stop that saves
    frozen: float = 0.0  # progress at that stop
    over: bool = False
    finished: set[int] = field(default_factory=set)  # tasks whose processes ended by themselves

    def finish(self, task: int, now: float) -> None:
        """A task's process ended; the gang completes with its last one."""
        self.finished.add(task)
        if len(self.finished) == self.spec.tasks:
            self.ends = now
            self.advance(now)

    def join(self, worker: Worker, attempt: Attempt, now: float) -> None:
        """The task has its image and waits for the others."""
        self.members[attempt.task] = (worker, attempt)
        attempt.state, attempt.ends = "waiting", now + self.truth.wait_s
        if len(self.members) < self.spec.tasks:
            return
        self.began = now
        self.slow = max(w.slow for w, _ in self.members.values())
        left = self.truth.left(self.spec.id, 0)
        self.base = 0.0 if left == INF else self.truth.length(self.spec.id, 0) - left
        self.ends = now + left * self.slow
        for w, a in self.members.values():
            w.starts(a, now)
            a.ends = INF  # the gang decides

    def progress(self, now: float) -> float:
        if self.began is None:
            return self.base
        if self.stop_at < INF:
            return self.frozen
        return self.base + (min(now, self.lost_at) - self.began) / self.slow

    def leave(self, task: int, now: float) -> None:
        """A task has disappeared: exited, killed, or its machine is gone or hangs."""
        if self.members.pop(task, None) is None or self.began is None or self.over:
            return
        if self.lost_at == INF:
            self.truth.fall_back(self.spec.id, 0, self.progress(now))
            self.lost_at = now

    def has(self, worker: Worker, attempt: Attempt) -> bool:
        return self.members.get(attempt.task) == (worker, attempt)

    def stopped(self, worker: Worker, attempt: Attempt, grace_s: float, now: float) -> None:
        saves = self.spec.checkpoint_s > 0 and grace_s >= self.spec.save_s
        if self.began is None or not saves or self.lost_at < INF or attempt.state == "flushing":
            worker.exits(attempt, "halted", now)
            self.leave(attempt.task, now)
            return
        if self.stop_at == INF:
            self.frozen, self.stop_at = self.progress(now), now
        attempt.state, attempt.ends = "flushing", INF
        attempt.flushed = now + self.spec.save_s
        worker.changed = True

    def next_at(self) -> float:
        if self.over or self.began is None:
            return INF
        if self.lost_at < INF:
            return self.lost_at + self.truth.peer_s * 0.75
        if self.stop_at < INF:
            saved = [a.flushed for _, a in self.members.values()]
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
            kept = all(a.flushed <= at for _, a in self.members.values())
            why = "halted" if kept else "mates_gone"
            if kept:
                self.truth.keep(self.spec.id, 0, self.frozen)
            else:
                self.truth.fall_back(self.spec.id, 0, self.frozen)
        else:
            why, kept = "done", False
            self.truth.done.update((self.spec.id, task) for task in range(self.spec.tasks))
        self.over = True
        for worker, attempt in list(self.members.values()):
            attempt.kept = kept
            worker.exits(attempt, why, at)
        self.members.clear()


def drawer(
    seed: int, laws: dict[str, tuple[float, float, float]], fallback_s: float = 30.0
) -> Callable[[Spec], list[float]]:
    """Run times by class: lognormal with (median, p95, most) in s, the same for the same seed."""

    def draw(spec: Spec) -> list[float]:
        law = laws.get(spec.workload)
        count = 1 if spec.kind == "gang" else spec.tasks
        if law is None:
            return [spec.expected_s or fallback_s] * count
        median, p95, most = law
        rng = np.random.default_rng([seed, zlib.crc32(spec.id.encode())])
        sigma = math.log(max(p95 / median, 1.0)) / 1.6449  # the normal's 95th percentile
        # A job's tasks are alike; most of the spread is between jobs.
        job = math.log(median) + rng.normal(0.0, sigma)
        tasks = np.exp(job + rng.normal(0.0, 0.12, count))
        return np.clip(tasks, 0.5, most).tolist()

    return draw
