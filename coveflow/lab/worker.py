"""Model of the worker on one rented machine: images, tasks, lease, session and fencing token."""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from coveflow.core.model import Flavor, Order, Report, TaskReport
from coveflow.lab.truth import GroundTruth

INF = math.inf
Key = tuple[str, int, int]


@dataclass
class Attempt:
    job: str
    task: int
    number: int
    state: str = "pulling"
    why: str | None = None
    kept: bool = False
    started_at: float | None = None
    ends: float = INF  # when its state next changes without an order
    base_progress: float = 0.0  # seconds of work done before it started
    saved_at: float = INF  # gang: when this task's part of the checkpoint is saved
    on_machine: bool = False  # occupies the machine: from the arrival of its image until it exits

    @property
    def key(self) -> Key:
        return (self.job, self.task, self.number)


@dataclass
class Limits:
    """The `workers` settings of the deployment, in seconds."""

    report_s: float
    lease_s: float
    gang_wait_s: float
    gang_peer_s: float
    cancel_s: float


class Worker:
    """Reports to a controller and runs tasks; the caller passes the time to each method.

    `next_at` returns the time of the next internal event. `slow` is the run time on this machine
    divided by the run time on a machine of speed 1. `note(kind, at, worker, attempt)` is called for
    each event that a checker needs: `on` and `off` when a task starts and stops occupying the
    machine, and `running` when it starts to run.
    """

    def __init__(
        self,
        name: str,
        address: str,
        flavor: Flavor,
        zone: str,
        spot: bool,
        limits: Limits,
        truth: GroundTruth,
        now: float,
        slow: float = 1.0,
        fetch_part: float = 1.0,
        note: Callable[[str, float, Worker, Attempt], None] = lambda *_: None,
    ) -> None:
        self.name, self.address, self.flavor = name, address, flavor
        self.zone, self.spot = zone, spot
        self.limits, self.truth, self.note = limits, truth, note
        self.slow = slow
        self.fetch_rate = flavor.fetch_gb_per_s * fetch_part
        self.tenure, self.counter, self.epoch = 1, 0, 0
        self.lease_renewed_at = now  # when the last answered report was sent or the session started
        self.reclaim_at = INF  # time of the reclaim that a spot notice announced
        self.tasks: dict[Key, Attempt] = {}
        self.images: OrderedDict[str, float] = OrderedDict()
        self.fetches: OrderedDict[str, float] = OrderedDict()  # GB left to fetch, by image
        self.fetched_at = now
        self.alive = True
        self.hung_at: float | None = None
        self.sick = False  # every task fails when it starts
        self.changed = False
        self.epoch_reported_at = -INF

    # --- time --------------------------------------------------------------------------

    def next_at(self) -> float:
        if not self.alive or self.hung_at is not None:
            return INF
        at = self.lease_renewed_at + self.limits.lease_s
        if self.fetches:
            at = min(at, self.fetched_at + min(self.fetches.values()) / self._rate_per_fetch())
        for attempt in self.tasks.values():
            if attempt.ends < at:
                at = attempt.ends
        return at

    def _rate_per_fetch(self) -> float:
        return self.fetch_rate / max(1, len(self.fetches))

    def advance(self, now: float) -> None:
        """Process all internal events that are due, in order of time."""
        while True:
            at = self.next_at()
            if at > now:
                break
            self._fetch(at)
            if at >= self.lease_renewed_at + self.limits.lease_s:
                self.expire_lease(at)
                continue
            for attempt in [a for a in self.tasks.values() if a.ends <= at]:
                self._handle_due(attempt, at)
        self._fetch(now)

    def _fetch(self, now: float) -> None:
        """Advance the image fetches, which share the rate; a complete image starts its tasks."""
        if self.hung_at is None and self.fetches:
            got = (now - self.fetched_at) * self._rate_per_fetch()
            for image in list(self.fetches):
                self.fetches[image] -= got
                if self.fetches[image] <= 1e-9:
                    del self.fetches[image]
                    self._add_image(image, now)
        self.fetched_at = now

    def _add_image(self, image: str, now: float) -> None:
        size = max(
            (self.truth.specs[a.job].image_gb for a in self.tasks.values() if
             self.truth.specs[a.job].image == image), default=0.0,
        )  # fmt: skip
        self.images[image] = size
        self.images.move_to_end(image)
        while sum(self.images.values()) > self.flavor.cache_gb and len(self.images) > 1:
            self.images.popitem(last=False)
        for attempt in list(self.tasks.values()):
            if attempt.state == "pulling" and self.truth.specs[attempt.job].image == image:
                self._image_ready(attempt, now)

    def _image_ready(self, attempt: Attempt, now: float) -> None:
        attempt.on_machine = True
        self.note("on", now, self, attempt)
        self.changed = True
        if (attempt.job, attempt.task) in self.truth.done:
            self.record_exit(attempt, "done", now)
        elif self.sick or attempt.job in self.truth.failing_jobs:
            self.record_exit(attempt, "error", now)
        elif self.truth.specs[attempt.job].kind == "gang":
            self.truth.gang(attempt.job, attempt.number).join(self, attempt, now)
        else:
            left = self.truth.remaining_s(attempt.job, attempt.task)
            attempt.base_progress = 0.0 if left == INF else (
                self.truth.run_time_s(attempt.job, attempt.task) - left
            )  # fmt: skip
            self.record_start(attempt, now)
            attempt.ends = now + left * self.slow

    def record_start(self, attempt: Attempt, now: float) -> None:
        attempt.state, attempt.started_at = "running", now
        self._mark_changed()
        self.note("running", now, self, attempt)

    def _handle_due(self, attempt: Attempt, now: float) -> None:
        if attempt.state == "waiting":
            self.record_exit(attempt, "alone", now)
            self.truth.gang(attempt.job, attempt.number).leave(attempt.task, now)
        elif attempt.state == "running":
            self.truth.done.add((attempt.job, attempt.task))
            self.record_exit(attempt, "done", now)
        elif attempt.state == "flushing":
            self.truth.save_progress(attempt.job, attempt.task, attempt.base_progress)
            attempt.kept = True
            self.record_exit(attempt, "halted", now)

    def finish(self, key: Key, now: float) -> None:
        """Record that the task's process exited and a controller has stored its result."""
        attempt = self.tasks.get(key)
        if attempt is None or attempt.state not in ("running", "flushing"):
            return
        if self.truth.specs[attempt.job].kind == "gang":
            self.truth.gang(attempt.job, attempt.number).finish_task(attempt.task, now)
            return
        self.truth.done.add((attempt.job, attempt.task))
        self.record_exit(attempt, "done", now)

    def record_exit(self, attempt: Attempt, why: str, now: float) -> None:
        attempt.state, attempt.why, attempt.ends = "exited", why, INF
        self._mark_changed()
        if attempt.on_machine:
            self._leave_machine(attempt, now)
        else:
            self._drop_unused_fetches()

    def _leave_machine(self, attempt: Attempt, now: float) -> None:
        if attempt.on_machine:
            attempt.on_machine = False
            self.note("off", now, self, attempt)

    def _mark_changed(self) -> None:
        self.changed = True
        self.truth.changed_workers[self] = None

    def _progress(self, attempt: Attempt, now: float) -> float:
        if attempt.started_at is None:
            return attempt.base_progress
        return attempt.base_progress + (now - attempt.started_at) / self.slow

    def expire_lease(self, now: float) -> None:
        """The lease expired: kill and forget all tasks and start a new session."""
        self._kill_all(now)
        self.tenure += 1
        self.lease_renewed_at = now
        self.changed = True

    def _kill_all(self, now: float) -> None:
        for attempt in list(self.tasks.values()):
            if attempt.state == "exited":
                continue
            if self.truth.specs[attempt.job].kind == "gang":
                self.truth.gang(attempt.job, attempt.number).leave(attempt.task, now)
            elif attempt.state in ("running", "flushing"):
                self.truth.save_last_checkpoint(
                    attempt.job, attempt.task, self._progress(attempt, now)
                )
            attempt.state, attempt.why, attempt.ends = "exited", "killed", INF
            self._leave_machine(attempt, now)
        self.tasks.clear()
        self.fetches.clear()

    # --- faults ------------------------------------------------------------------------

    def terminate(self, now: float) -> None:
        """End the machine and all its tasks: it was returned, reclaimed or has failed."""
        if self.alive:
            self.advance(now)
            self._kill_all(now)
            self.alive = False

    def hang(self, now: float) -> None:
        if self.hung_at is None and self.alive:
            self.advance(now)
            self.hung_at = now
            for attempt in list(self.tasks.values()):
                if attempt.state in ("waiting", "running") and (
                    self.truth.specs[attempt.job].kind == "gang"
                ):
                    self.truth.gang(attempt.job, attempt.number).leave(attempt.task, now)

    def resume(self, now: float) -> None:
        if self.hung_at is None:
            return
        pause = now - self.hung_at
        self.hung_at, self.fetched_at = None, now
        for attempt in self.tasks.values():
            attempt.ends += pause
            if attempt.started_at is not None:
                attempt.started_at += pause
        for attempt in [a for a in self.tasks.values() if a.state in ("running", "flushing")]:
            if self.truth.specs[attempt.job].kind == "gang" and not (
                self.truth.gang(attempt.job, attempt.number).has_member(self, attempt)
            ):
                # The other tasks of the gang timed out on this one and have exited. Without
                # this exit a gang with all its tasks on this machine would run forever.
                self.record_exit(attempt, "mates_gone", now)
        if now >= self.lease_renewed_at + self.limits.lease_s:
            # The worker notices the expiry only now, so its tasks ran until now.
            self.expire_lease(now)
        self.advance(now)

    # --- reports and orders --------------------------------------------------------------

    def report(self, now: float) -> Report:
        self.advance(now)
        self.counter += 1
        self.changed = False
        notice = None if self.reclaim_at == INF else max(0.0, self.reclaim_at - now)
        tasks = [
            TaskReport(a.job, a.task, a.number, a.state, a.why, a.kept) for a in self.tasks.values()
        ]
        return Report(
            self.name, self.address, self.flavor.name, self.zone, self.spot, self.tenure,
            self.counter, self.epoch, notice, tasks,
        )  # fmt: skip

    def receive_answer(
        self, tenure: int, sent: float, epoch: int | None, orders: list[Order], now: float
    ) -> bool:
        """Apply an answer to a report of session `tenure`; False if it has to be dropped."""
        self.advance(now)
        if not self.alive or tenure != self.tenure or epoch is None or epoch < self.epoch:
            return False
        self._accept_epoch(epoch, now)
        self.lease_renewed_at = max(self.lease_renewed_at, sent)
        self.apply_orders(orders, now)
        return True

    def receive_commands(self, body: dict[str, Any], orders: list[Order], now: float) -> bool:
        """Apply direct commands, which do not renew the lease.

        False if the token is old or the session is another one.
        """
        self.advance(now)
        if body["epoch"] < self.epoch or body["tenure"] != self.tenure:
            return False
        self._accept_epoch(body["epoch"], now)
        self.apply_orders(orders, now)
        return True

    def _accept_epoch(self, epoch: int, now: float) -> None:
        if epoch > self.epoch:
            self.epoch = epoch
            if now - self.epoch_reported_at >= self.limits.lease_s / 2:
                self.epoch_reported_at, self.changed = now, True

    def apply_orders(self, orders: list[Order], now: float) -> None:
        for order in orders:
            key = (order.job, order.task, order.number)
            attempt = self.tasks.get(key)
            if order.verb == "run" and attempt is None:
                self._run(key, now)
            elif order.verb == "stop" and attempt is not None:
                self._stop(attempt, order.grace_s, now)
            elif order.verb == "clear" and attempt is not None and attempt.state == "exited":
                del self.tasks[key]

    def _run(self, key: Key, now: float) -> None:
        attempt = self.tasks[key] = Attempt(*key)
        self.changed = True
        refusal = self._refusal(attempt)
        if refusal:
            attempt.state, attempt.why = "exited", refusal
            return
        spec = self.truth.specs[attempt.job]
        if spec.image in self.images or spec.image_gb <= 0:
            if spec.image in self.images:
                self.images.move_to_end(spec.image)
            self._image_ready(attempt, now)
        elif spec.image not in self.fetches:
            self._fetch(now)
            self.fetches[spec.image] = spec.image_gb

    def _refusal(self, attempt: Attempt) -> str:
        spec = self.truth.specs.get(attempt.job)
        if spec is None or not 0 <= attempt.task < spec.tasks:
            return "unknown"
        live = [a for a in self.tasks.values() if a.state != "exited" and a is not attempt]
        if any((a.job, a.task) == (attempt.job, attempt.task) for a in live):
            return "busy"
        specs = [self.truth.specs[a.job] for a in live] + [spec]
        room = self.flavor
        if (
            sum(s.cpus for s in specs) > room.cpus + 1e-6
            or sum(s.accelerators for s in specs) > room.accelerators + 1e-6
            or sum(s.ram_gb for s in specs) > room.ram_gb + 1e-6
        ):
            return "full"
        return ""

    def _stop(self, attempt: Attempt, grace_s: float, now: float) -> None:
        if attempt.state == "exited":
            return
        spec = self.truth.specs[attempt.job]
        if attempt.state == "flushing" and grace_s > 0:
            return
        if spec.kind == "gang" and attempt.state in ("running", "flushing"):
            self.truth.gang(attempt.job, attempt.number).stop_task(self, attempt, grace_s, now)
            return
        if attempt.state in ("running", "flushing") and spec.checkpoint_s > 0:
            if grace_s >= spec.save_s and attempt.state == "running":
                attempt.base_progress = self._progress(attempt, now)
                attempt.started_at = None
                attempt.state, attempt.ends = "flushing", now + spec.save_s
                self.changed = True
                return
            self.truth.save_last_checkpoint(attempt.job, attempt.task, self._progress(attempt, now))
        self.record_exit(attempt, "halted", now)
        if spec.kind == "gang":
            self.truth.gang(attempt.job, attempt.number).leave(attempt.task, now)

    def _drop_unused_fetches(self) -> None:
        wanted = {
            self.truth.specs[a.job].image for a in self.tasks.values() if a.state == "pulling"
        }
        for image in [i for i in self.fetches if i not in wanted]:
            del self.fetches[image]
