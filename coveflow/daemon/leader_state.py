"""In-memory state of a leader: jobs, machines, attempts, and changes waiting to be committed.

It is created when a node becomes leader and discarded as a whole when it steps down. Its methods
are the state changes that several components share; each component (reports, planning, machines,
commits) owns the state that only it needs.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from typing import Any

import msgspec

from coveflow import constants as c
from coveflow.core import demand, fleet, planner, planner_state
from coveflow.core.estimates import Predictor
from coveflow.core.model import Job, Machine, Placement
from coveflow.daemon.commands import (
    AcceptedJob,
    AttemptEnd,
    DrainRequest,
    HeldTasksDecision,
    PendingAnswer,
)
from coveflow.daemon.context import NodeContext
from coveflow.logs import Log
from coveflow.state.keys import SLOT, machine_page
from coveflow.state.records import Records

log = Log("coveflow.owner")

# End reasons which prove that an attempt never ran.
NOT_STARTED_REASONS = frozenset({"never started", "full", "busy", "unknown", "alone"})


class LeaderState:
    def __init__(self, context: NodeContext) -> None:
        self.context = context
        self.limits, tuning = context.write_limits, context.tuning
        params = context.settings.params
        self.report_timeout_s = (
            3 * params.workers.report_s + 1.0
        )  # s; tolerates several lost reports
        self.leading = 0  # epoch in which this process leads; 0: not leader
        self.rev = 0  # revision of the view that names it leader
        self.since = 0.0  # when this process became leader
        self.jobs: dict[str, Job] = {}
        # Accelerator uses of recent jobs, the latest last.
        self.accelerator_uses: OrderedDict[planner_state.AcceleratorUse, None] = OrderedDict()
        self.demand: dict[str, demand.DemandTracker] = {}  # for accelerators, by class
        self.arrival_history: dict[str, demand.ArrivalTracker] = {}  # of jobs, by class
        self.machines: dict[str, Machine] = {}
        self.unheard: set[str] = set()  # recorded machines without a report in this epoch
        self.fleet = fleet.Fleet()
        self.predictor = Predictor(tuning.estimators, tuning.decay, tuning.recent)
        # Changes waiting to be committed.
        self.records = Records(SLOT, self.limits.item_bytes)
        self.unsettled: dict[str, int] = {}
        self.ends: dict[str, list[AttemptEnd]] = {}
        self.dirty_jobs: dict[str, None] = {}
        self.dirty_chunks: dict[str, set[int]] = {}
        self.dirty_machines: dict[str, None] = {}
        self.gone: OrderedDict[str, float] = OrderedDict()
        self.dirty_held: dict[str, None] = {}  # jobs whose held tasks changed
        self.releases: dict[str, list[tuple[list[int], HeldTasksDecision]]] = {}
        self.drains: dict[str, list[DrainRequest]] = {}  # operators' requests not yet committed
        self.machines_to_delete: dict[
            str, None
        ] = {}  # gone machines whose record is not deleted yet
        # Deferred answers to reports, by machine.
        self.pending_answers: dict[str, PendingAnswer] = {}
        # Machines whose deferred answer may be ready. A dict keeps insertion order: the iteration
        # order of a set of names differs between processes, so replays of a seed would diverge.
        self.answers_to_check: dict[str, None] = {}
        # Due work.
        self.pass_due = False
        self.rental_due = False
        self.new_jobs = False  # a job arrived since the last full cycle
        self.last_pass_at = -math.inf
        self.plan = planner.Plan()  # result of the last full cycle

    def tell(self, kind: str, **fields: Any) -> None:
        """Emit a trace event if tracing is enabled and this process leads."""
        trace = self.context.trace
        if trace is not None and self.leading:
            trace.emit(self.leading, kind, fields)

    def apply_write_limits(self) -> None:
        """Lay out the records by the limits of this moment; larger ones are written again."""
        self.records.slot_bytes = self.limits.item_bytes
        for item in self.records.larger_than_a_slot():
            found = machine_page(item)
            if found is not None and found[0] in self.machines:
                self.dirty_machines[found[0]] = None

    # --- jobs and attempts -------------------------------------------------------------

    def apply_accepted(self, entry: AcceptedJob) -> None:
        """Add an accepted job, or update a known one, e.g. with its cancellation."""
        job = self.jobs.get(entry.spec.id)
        if job is None:
            job = self._add_job(entry)
        job.rev = max(job.rev, entry.rev)
        job.awaits_cancel_record = entry.awaits_row
        if entry.outcome:
            job.outcome = entry.outcome
            self._release_completed(job)
        if entry.cancelled is not None and job.failed:
            # A user's cancellation before the commit of the job's failure takes precedence.
            job.cancelled, job.failed = entry.cancelled, ""
        if entry.cancelled is not None and job.cancelled is None:
            self._cancel(job, entry.cancelled)
        self.pass_due = True

    def _add_job(self, entry: AcceptedJob) -> Job:
        spec = entry.spec
        repeat = self.context.tuning.may_repeat(spec.workload)
        if not repeat:
            # Spot machines can be reclaimed at any time, and this job must not be restarted.
            spec = msgspec.structs.replace(spec, spot=False)
        job = Job(spec, entry.at, entry.rev, seen_at=self.context.clock(), may_repeat=repeat)
        job.rider = entry.rider
        job.recompute_pending()
        self.jobs[job.id] = job
        self.new_jobs = True
        self._record_demand(job)
        log.info(
            "job taken in",
            job=job.id,
            tasks=job.spec.tasks,
            workload=job.spec.workload,
            cpus=job.spec.cpus,
            spot=job.spec.spot,
            team=job.spec.team,
            due_s=job.spec.deadline_s,
        )
        self.tell("accepted", **self.accepted_fields(job))
        return job

    def _cancel(self, job: Job, at: float) -> None:
        job.cancelled = at
        log.info(
            "job cancelled", job=job.id, tasks_to_end=len(job.placed), waiting=len(job.pending)
        )
        self.tell("cancelled", job=job.id)
        for p in job.placed.values():
            self.stop(p, 0.0, "its user cancelled it")
        if job.is_finished:
            self.dirty_jobs[job.id] = None

    def accepted_fields(self, job: Job) -> dict[str, Any]:
        """Trace fields of a job: its specification, submission and cancellation times."""
        return {
            "job": job.id,
            "at": job.accepted_at,
            "spec": msgspec.to_builtins(job.spec),
            "cancelled": job.cancelled,
        }

    def stop(self, p: Placement, grace_s: float, why: str) -> None:
        """Request the end of an attempt; it counts as running until a report proves its end."""
        if not p.stopping:
            self.tell(
                "stopped", job=p.job, task=p.task, number=p.number, machine=p.machine, why=why
            )
        # A cancelled job needs no checkpoint: a later stop must not grant it time to save again.
        cancelled = self.jobs[p.job].cancelled is not None
        p.stopping, p.grace_s = True, 0.0 if cancelled else grace_s
        self.answer_soon(p.machine)

    def _record_demand(self, job: Job) -> None:
        arrived_at = self.context.clock() - max(0.0, self.context.wall() - job.accepted_at)
        self.arrival_history.setdefault(job.spec.workload, demand.ArrivalTracker()).add(arrived_at)
        use = planner_state.accelerator_use(job.spec)
        if use is None:
            return
        self.accelerator_uses[use] = None
        self.accelerator_uses.move_to_end(use)
        if len(self.accelerator_uses) > c.ACCELERATOR_USES_KEPT:
            self.accelerator_uses.popitem(last=False)
        class_demand = self.demand.setdefault(job.spec.workload, demand.DemandTracker())
        class_demand.add(job.spec, arrived_at)

    def end(self, p: Placement, done: bool, why: str, saved: bool = False) -> None:
        """Record a proven end: frees the resources now, and the task after the commit."""
        m, job = self.machines[p.machine], self.jobs[p.job]
        self._free_room(p, m, job)
        self.ends.setdefault(m.id, []).append(AttemptEnd(p, done, self.context.clock()))
        self.unsettled[job.id] = self.unsettled.get(job.id, 0) + 1
        # A committed outcome of the task means it completed, whatever happened to its machine.
        done = done or self._outcome_committed(job, p.task)
        if done:
            job.mark_done(p.task)
        else:
            # Attempt numbers up to this one are used up: a cleared attempt must never run again.
            job.last_attempt_number = max(job.last_attempt_number, p.number)
            self._hold_task(job, p, why)
        self._log_end(p, done, why, saved)
        self._mark_task_dirty(job, p.task)
        self.dirty_machines[m.id] = None
        if done and job.is_complete:
            self._job_completed(job)

    def _free_room(self, p: Placement, m: Machine, job: Job) -> None:
        del m.placements[p.key]
        m.release(job.spec)
        m.uncommitted_ends.add(p.key)
        job.attempts -= 1
        if job.placed.get(p.task) is p:
            del job.placed[p.task]
        # Required for every source of the end: after ends reported by redirected machines or
        # implied by a new session, resources stayed unused until the next full cycle.
        self.pass_due = True

    def _log_end(self, p: Placement, done: bool, why: str, saved: bool) -> None:
        if self.context.trace is not None:
            ran = 0.0 if p.running_since is None else self.context.clock() - p.running_since
            self.tell(
                "ended", job=p.job, task=p.task, number=p.number, machine=p.machine, done=done,
                why=why, saved=saved, ran_s=round(ran, 6),
            )  # fmt: skip
        if not done:
            log.info(
                "attempt ended",
                task=f"{p.job}/{p.task}", number=p.number, machine=p.machine, why=why,
            )  # fmt: skip
        else:
            log.debug("attempt done", job=p.job, task=p.task, number=p.number, machine=p.machine)

    def gang_ended(self, p: Placement, done: bool, why: str = "") -> None:
        """Complete or stop the whole gang after the end of one task, whatever proved the end.

        Otherwise peers of a task that ended with its machine's lease would keep waiting for it.
        """
        job = self.jobs[p.job]
        if job.spec.kind != "gang":
            return
        if done:
            # Mark all tasks done, not only the placed ones: if the lease of a peer's machine
            # expired between its end and its report, the peer would be restarted alone and
            # could never form a gang.
            job.pending.clear()
            for task in range(job.spec.tasks):
                job.mark_done(task)
                self._mark_task_dirty(job, task)
            self._job_completed(job)
            return
        # Tasks that wait too long for their peers exit by themselves; the others are stopped.
        self._stop_gang_peers(job, p.number, fetching=why not in ("alone", "halted"))

    def image_fetched(self, p: Placement) -> None:
        """Stop a gang's task that has fetched its image if its gang has broken up meanwhile.

        Stopping it during the fetch would discard the image, and a gang with one machine that
        fetches for longer than `gang_wait_s` would restart forever.
        """
        job = self.jobs[p.job]
        if job.spec.kind == "gang" and len(job.placed) < job.spec.tasks and not job.done:
            self._stop_gang_peers(job, p.number, fetching=False)

    def stop_broken_gangs(self) -> None:
        """After a takeover, stop gangs of which only some tasks are recorded as placed.

        The previous leader failed after committing one task's end, or some of the gang's starts.
        The remaining tasks would wait until `gang_wait_s` for peers that never start.
        """
        for job in self.jobs.values():
            if job.spec.kind == "gang" and 0 < len(job.placed) < job.spec.tasks and not job.done:
                self._stop_gang_peers(job, max(p.number for p in job.placed.values()))

    def _stop_gang_peers(self, job: Job, number: int, fetching: bool = True) -> None:
        """Stop the other tasks of a gang attempt; `fetching`: also those pulling their image."""
        peer_s = self.context.settings.params.workers.gang_peer_s
        for peer in job.placed.values():
            if not fetching and peer.state == "pulling":
                continue
            if peer.number == number and not peer.stopping:
                self.stop(peer, max(job.spec.save_s, peer_s), "its gang fell apart")

    def _hold_task(self, job: Job, p: Placement, why: str) -> None:
        """Hold a task that may have run and must not be repeated until an operator decides.

        An attempt that was never sent to its machine, was rejected there, never started or never
        found its gang did no work and may be repeated.
        """
        if (
            job.may_repeat
            or job.cancelled is not None
            or not p.run_may_have_been_sent
            or why in NOT_STARTED_REASONS
        ):
            return
        job.held.add(p.task)
        self.dirty_held[job.id] = None
        self.dirty_jobs[job.id] = None
        log.warning(
            "task held", task=f"{p.job}/{p.task}", machine=p.machine, why=why,
            cure="coveflow held again, or give-up",
        )  # fmt: skip
        self.tell("held", job=p.job, task=p.task, number=p.number, machine=p.machine, why=why)
        self.fail_held(job)

    def _outcome_committed(self, job: Job, task: int) -> bool:
        """Whether the task's own outcome is committed; a gang needs the outcomes of all tasks."""
        if job.spec.kind == "gang":
            return len(job.outcome) == job.spec.tasks
        return str(task) in job.outcome

    def _release_completed(self, job: Job) -> None:
        """Mark held tasks done whose outcome was committed late: their lost attempts completed."""
        completed = [task for task in job.held if self._outcome_committed(job, task)]
        for task in completed:
            job.held.discard(task)
            job.mark_done(task)
            self.dirty_held[job.id] = None
            self._mark_task_dirty(job, task)
        if completed and not job.held and job.failed:
            job.cancelled, job.failed = None, ""

    def fail_held(self, job: Job) -> None:
        """Fail a job of another interface that has held tasks: its users expect a final state.

        Implemented as a cancellation, so that the rules for proving the end of cancelled work
        apply to it as well.
        """
        if job.rider is None or not job.held or job.cancelled is not None:
            return
        tasks = ", ".join(map(str, sorted(job.held)[:5]))
        job.failed = f"task {tasks} may have run when it was lost, and its class allows no repeat"
        job.cancelled = self.context.wall()
        log.warning("job failed", job=job.id, why=job.failed)
        self.tell("failed", job=job.id, why=job.failed)
        for p in job.placed.values():
            self.stop(p, 0.0, "its job failed")
        self.dirty_jobs[job.id] = None

    def release(self, command: HeldTasksDecision) -> None:
        """Apply an operator's decision on held tasks; replied to after the commit.

        Until then the tasks are neither held nor free.
        """
        job = self.jobs.get(command.job)
        if job is None:
            command.reply.set_result({"error": f"{command.job} is not running here"})
            return
        tasks = sorted(job.held if command.tasks is None else job.held.intersection(command.tasks))
        if not tasks:
            command.reply.set_result({"error": f"{command.job} holds none of these tasks"})
            return
        job.held.difference_update(tasks)
        if not command.again:
            job.given_up.update(tasks)
        self.releases.setdefault(job.id, []).append((tasks, command))
        self.dirty_held[job.id] = None
        self.dirty_jobs[job.id] = None

    def end_all_attempts(self, m: Machine, why: str) -> None:
        """End all attempts on a machine, after proof that none of them runs any more."""
        for p in list(m.placements.values()):
            self.end(p, False, why)
            self.gang_ended(p, False)

    def _mark_task_dirty(self, job: Job, task: int) -> None:
        self.dirty_jobs[job.id] = None
        if task in job.done:
            self.dirty_chunks.setdefault(job.id, set()).add(task // c.CHUNK_TASKS)

    def _job_completed(self, job: Job) -> None:
        if job.run_time_observed:
            return  # every task of a gang reports its end, but the job counts once
        job.run_time_observed = True
        log.info(
            "all tasks done",
            job=job.id,
            tasks=job.spec.tasks,
            after_s=self.context.wall() - job.accepted_at,
        )
        if job.run_count and job.spec.kind != "service":
            self.predictor.observe(job.spec, job.run_sum / job.run_count)

    def usage(self) -> dict[str, tuple[float, float]]:
        """CPUs and accelerators in use by team, counting each attempt until its end is proven."""
        used: dict[str, tuple[float, float]] = {}
        for job in self.jobs.values():
            if job.attempts:
                spec = job.spec
                cpus, acc = used.get(spec.team, (0.0, 0.0))
                used[spec.team] = (
                    cpus + spec.cpus * job.attempts,
                    acc + spec.accelerators * job.attempts,
                )
        return used

    # --- machines ----------------------------------------------------------------------

    def answer_soon(self, machine: str) -> None:
        """Send the machine's deferred answer soon, since there is a new order for it."""
        pending = self.pending_answers.get(machine)
        if pending is not None:
            pending.deadline = 0.0
            self.answers_to_check[machine] = None

    def reported_recently(self, m: Machine, now: float) -> bool:
        """Whether the machine reported recently, so its session is known and it may get work."""
        return m.up and m.counter >= 0 and now - m.last_report_at < self.report_timeout_s

    def fleet_summary(self) -> str:
        """A summary of the fleet for the log."""
        now = self.context.clock()
        heard = [m for m in self.machines.values() if self.reported_recently(m, now)]
        total = sum(m.flavor.cpus for m in heard)
        free = sum(m.cpus for m in heard)
        waiting = sum(len(job.pending) for job in self.jobs.values() if job.cancelled is None)
        pulling = sum(p.state != "running" for m in heard for p in m.placements.values())
        scarce = ""
        for spot in (False, True):
            usable = [m for m in heard if m.flavor.accelerators and m.spot == spot]
            if usable:
                available = sum(m.flavor.accelerators for m in usable)
                used = available - sum(m.accelerators for m in usable)
                scarce += f"{used:g} of {available:g} {'spot ' if spot else ''}accelerators, "
        return (
            f"{len(heard)} of {len(self.machines)} machines heard, {scarce}{total - free:g} of"
            f" {total:g} CPUs in use, {waiting} tasks wait, {pulling} do not run yet"
        )
