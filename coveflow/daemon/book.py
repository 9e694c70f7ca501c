"""All that a leader knows for as long as it leads: jobs, machines, attempts, what is to commit.

A book is begun when a node takes the lead and thrown away whole when it leaves it. Its methods are
the changes that more than one part makes; each part (reports, planning, machines, commits) owns
what only it needs.
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
from coveflow.daemon.around import Around
from coveflow.daemon.commands import Accepted, Drain, End, Held, Release
from coveflow.logs import Log
from coveflow.state.keys import SLOT
from coveflow.state.records import Records

log = Log("coveflow.owner")

# Ends that prove that an attempt did nothing.
NEVER_RAN = frozenset({"never started", "full", "busy", "unknown", "alone"})


class Book:
    def __init__(self, around: Around) -> None:
        self.around = around
        params, tuning = around.settings.params, around.tuning
        self.patience = 3 * params.workers.report_s + 1.0  # s; several reports may be lost
        self.leading = 0  # epoch this process leads; 0: it does not
        self.rev = 0  # revision of the view that says so
        self.since = 0.0
        self.jobs: dict[str, Job] = {}
        self.uses: OrderedDict[planner_state.AcceleratorUse, None] = (
            OrderedDict()
        )  # of accelerators, by recent jobs
        self.demand: dict[str, demand.DemandTracker] = {}  # for accelerators, by class
        self.coming: dict[str, demand.ArrivalTracker] = {}  # when jobs came, by class
        self.machines: dict[str, Machine] = {}
        self.unheard: set[str] = set()  # machines on record that did not report in this lead
        self.fleet = fleet.Fleet()
        self.predictor = Predictor(tuning.estimators, tuning.decay, tuning.recent)
        # What is to be committed.
        self.records = Records(SLOT, int(params.state.value_kb * 1024 * c.SLOT_PART))
        self.unsettled: dict[str, int] = {}
        self.ends: dict[str, list[End]] = {}
        self.dirty_jobs: dict[str, None] = {}
        self.dirty_chunks: dict[str, set[int]] = {}
        self.dirty_machines: dict[str, None] = {}
        self.gone: OrderedDict[str, float] = OrderedDict()
        self.held_due: dict[str, None] = {}  # jobs whose held tasks changed
        self.releases: dict[str, list[tuple[list[int], Release]]] = {}
        self.drains: dict[str, list[Drain]] = {}  # operators' words not yet committed
        self.drop: dict[str, None] = {}  # machines proven gone, record not removed yet
        # Answers that wait.
        self.held: dict[str, Held] = {}
        # Machines whose held answer may be ready. In the order they became so: a set of names has
        # another order in every process, and a replay with the same seed was another run.
        self.hot: dict[str, None] = {}
        # What is due.
        self.pass_due = False
        self.fleet_due = False
        self.arrivals = False  # a job came since the last full cycle
        self.passed_at = -math.inf
        self.plan = planner.Plan()  # of the last full cycle

    def tell(self, kind: str, **fields: Any) -> None:
        """An event for the recorder, if there is to be one."""
        trace = self.around.trace
        if trace is not None and self.leading:
            trace.emit(self.leading, kind, fields)

    # --- jobs and attempts -------------------------------------------------------------

    def adopt(self, entry: Accepted) -> None:
        """Take in an accepted job, or the news that its user cancelled it."""
        job = self.jobs.get(entry.spec.id)
        if job is None:
            job = self._add_job(entry)
        job.rev = max(job.rev, entry.rev)
        job.awaits_cancel_record = entry.told
        if entry.outcome:
            job.outcome = entry.outcome
            self._unhold(job)
        if entry.cancelled is not None and job.failed:
            # Its user cancelled it before the system's own end was committed: that word counts.
            job.cancelled, job.failed = entry.cancelled, ""
        if entry.cancelled is not None and job.cancelled is None:
            self._cancel(job, entry.cancelled)
        self.pass_due = True

    def _add_job(self, entry: Accepted) -> Job:
        spec = entry.spec
        repeat = self.around.tuning.repeats(spec.workload)
        if not repeat:
            # A spot machine may be taken at any time, and this work may not begin anew.
            spec = msgspec.structs.replace(spec, spot=False)
        job = Job(spec, entry.at, entry.rev, seen_at=self.around.clock(), may_repeat=repeat)
        job.rider = entry.rider
        job.recompute_pending()
        self.jobs[job.id] = job
        self.arrivals = True
        self._asked(job)
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
        """What the trace has of a job: all its user said, and when."""
        return {
            "job": job.id,
            "at": job.accepted_at,
            "spec": msgspec.to_builtins(job.spec),
            "cancelled": job.cancelled,
        }

    def stop(self, p: Placement, grace_s: float, why: str) -> None:
        """The attempt is to end; it goes on until a report proves that it did."""
        if not p.stopping:
            self.tell(
                "stopped", job=p.job, task=p.task, number=p.number, machine=p.machine, why=why
            )
        # Nobody has any use for what is cancelled, and time to save was once given to it anew.
        cancelled = self.jobs[p.job].cancelled is not None
        p.stopping, p.grace_s = True, 0.0 if cancelled else grace_s
        self.wake(p.machine)

    def _asked(self, job: Job) -> None:
        came = self.around.clock() - max(0.0, self.around.wall() - job.accepted_at)
        self.coming.setdefault(job.spec.workload, demand.ArrivalTracker()).add(came)
        use = planner_state.accelerator_use(job.spec)
        if use is None:
            return
        self.uses[use] = None
        self.uses.move_to_end(use)
        if len(self.uses) > c.USES_KEPT:
            self.uses.popitem(last=False)
        known = self.demand.setdefault(job.spec.workload, demand.DemandTracker())
        known.add(job.spec, came)

    def end(self, p: Placement, done: bool, why: str, saved: bool = False) -> None:
        """The attempt is proven gone. Its room is free; its task is, once that is committed."""
        m, job = self.machines[p.machine], self.jobs[p.job]
        self._free_room(p, m, job)
        self.ends.setdefault(m.id, []).append(End(p, done, self.around.clock()))
        self.unsettled[job.id] = self.unsettled.get(job.id, 0) + 1
        # Its own word is committed, so it had completed, whatever became of its machine since.
        done = done or self._told_its_end(job, p.task)
        if done:
            job.mark_done(p.task)
        else:
            # Numbers up to this one are spent: a cleared attempt must never be run again.
            job.last_attempt_number = max(job.last_attempt_number, p.number)
            self._hold(job, p, why)
        self._tell_end(p, done, why, saved)
        self._dirty_task(job, p.task)
        self.dirty_machines[m.id] = None
        if done and job.is_complete:
            self._completed(job)

    def _free_room(self, p: Placement, m: Machine, job: Job) -> None:
        del m.placements[p.key]
        m.release(job.spec)
        m.uncommitted_ends.add(p.key)
        job.attempts -= 1
        if job.placed.get(p.task) is p:
            del job.placed[p.task]
        # Whoever told it: ends in reports of machines that were sent to another node, and those by
        # a new session, left room unused until the next full cycle.
        self.pass_due = True

    def _tell_end(self, p: Placement, done: bool, why: str, saved: bool) -> None:
        if self.around.trace is not None:
            ran = 0.0 if p.running_since is None else self.around.clock() - p.running_since
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
        """A gang completes together, and falls apart together, whatever proved the end.

        Mates of a task that ended with its machine's lease once went on waiting for it.
        """
        job = self.jobs[p.job]
        if job.spec.kind != "gang":
            return
        if done:
            # All of them, not only those still placed: a mate whose machine's lease ran out
            # between the end and its report once was to run again, alone, and never could.
            job.pending.clear()
            for task in range(job.spec.tasks):
                job.mark_done(task)
                self._dirty_task(job, task)
            self._completed(job)
            return
        # The first ones to wait too long end by themselves, the others are stopped for that.
        self._stop_mates(job, p.number, fetching=why not in ("alone", "halted"))

    def fetched(self, p: Placement) -> None:
        """A gang's task has its image; if the gang fell apart meanwhile, that was what it was for.

        Stopped while it fetched it gave its fetch up, and a gang with one machine that needs longer
        than `gang_wait_s` began anew for ever.
        """
        job = self.jobs[p.job]
        if job.spec.kind == "gang" and len(job.placed) < job.spec.tasks and not job.done:
            self._stop_mates(job, p.number, fetching=False)

    def stop_broken_gangs(self) -> None:
        """After a take-over: gangs of which a part only is on record.

        The earlier leader ended between the commit of a task's end, or of a part of the gang's
        starts, and the rest. The others waited until `gang_wait_s` for mates that never came.
        """
        for job in self.jobs.values():
            if job.spec.kind == "gang" and 0 < len(job.placed) < job.spec.tasks and not job.done:
                self._stop_mates(job, max(p.number for p in job.placed.values()))

    def _stop_mates(self, job: Job, number: int, fetching: bool = True) -> None:
        """Stop what is left of a gang; `fetching`: also what has yet to get its image."""
        peer_s = self.around.settings.params.workers.gang_peer_s
        for mate in job.placed.values():
            if not fetching and mate.state == "pulling":
                continue
            if mate.number == number and not mate.stopping:
                self.stop(mate, max(job.spec.save_s, peer_s), "its gang fell apart")

    def _hold(self, job: Job, p: Placement, why: str) -> None:
        """A class that allows no repeat: what may have run waits for an operator's word.

        An attempt that was never told to its machine, was refused there, never started or never
        found its gang did nothing, so it may be made again like any other.
        """
        if (
            job.may_repeat
            or job.cancelled is not None
            or not p.run_may_have_been_sent
            or why in NEVER_RAN
        ):
            return
        job.held.add(p.task)
        self.held_due[job.id] = None
        self.dirty_jobs[job.id] = None
        log.warning(
            "task held", task=f"{p.job}/{p.task}", machine=p.machine, why=why,
            cure="coveflow held again, or give-up",
        )  # fmt: skip
        self.tell("held", job=p.job, task=p.task, number=p.number, machine=p.machine, why=why)
        self.fail_held(job)

    def _told_its_end(self, job: Job, task: int) -> bool:
        """Whether the task's own word on its end is committed; a gang ends when all have spoken."""
        if job.spec.kind == "gang":
            return len(job.outcome) == job.spec.tasks
        return str(task) in job.outcome

    def _unhold(self, job: Job) -> None:
        """The word of a lost attempt came in late: it had completed, and nothing is to be held."""
        told = [task for task in job.held if self._told_its_end(job, task)]
        for task in told:
            job.held.discard(task)
            job.mark_done(task)
            self.held_due[job.id] = None
            self._dirty_task(job, task)
        if told and not job.held and job.failed:
            job.cancelled, job.failed = None, ""

    def fail_held(self, job: Job) -> None:
        """Held work of another interface, whose users expect an end: the system ends it.

        Like a cancellation, so everything that ends cancelled work by evidence holds for it too.
        """
        if job.rider is None or not job.held or job.cancelled is not None:
            return
        tasks = ", ".join(map(str, sorted(job.held)[:5]))
        job.failed = f"task {tasks} may have run when it was lost, and its class allows no repeat"
        job.cancelled = self.around.wall()
        log.warning("job failed", job=job.id, why=job.failed)
        self.tell("failed", job=job.id, why=job.failed)
        for p in job.placed.values():
            self.stop(p, 0.0, "its job failed")
        self.dirty_jobs[job.id] = None

    def release(self, command: Release) -> None:
        """Answered once it is committed; until then the tasks are neither held nor free."""
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
        self.held_due[job.id] = None
        self.dirty_jobs[job.id] = None

    def lost(self, m: Machine, why: str) -> None:
        """All that was on the machine is proven gone."""
        for p in list(m.placements.values()):
            self.end(p, False, why)
            self.gang_ended(p, False)

    def _dirty_task(self, job: Job, task: int) -> None:
        self.dirty_jobs[job.id] = None
        if task in job.done:
            self.dirty_chunks.setdefault(job.id, set()).add(task // c.CHUNK_TASKS)

    def _completed(self, job: Job) -> None:
        if job.run_time_observed:
            return  # each mate of a gang reports its end, and the histories count it once
        job.run_time_observed = True
        log.info(
            "all tasks done",
            job=job.id,
            tasks=job.spec.tasks,
            after_s=self.around.wall() - job.accepted_at,
        )
        if job.run_count and job.spec.kind != "service":
            self.predictor.observe(job.spec, job.run_sum / job.run_count)

    def usage(self) -> dict[str, tuple[float, float]]:
        """Each team's use, counting every placement until it is proven gone."""
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

    def wake(self, machine: str) -> None:
        """There is something to tell this machine: an answer that waits for it goes out."""
        waiting = self.held.get(machine)
        if waiting is not None:
            waiting.until = 0.0
            self.hot[machine] = None

    def heard_lately(self, m: Machine, now: float) -> bool:
        """Only a machine that this leader hears may be given work; its tenure is known."""
        return m.up and m.counter >= 0 and now - m.last_report_at < self.patience

    def gauge(self) -> str:
        """The fleet at this moment, for the log."""
        now = self.around.clock()
        heard = [m for m in self.machines.values() if self.heard_lately(m, now)]
        total = sum(m.flavor.cpus for m in heard)
        free = sum(m.cpus for m in heard)
        waiting = sum(len(job.pending) for job in self.jobs.values() if job.cancelled is None)
        pulling = sum(p.state != "running" for m in heard for p in m.placements.values())
        scarce = ""
        for spot in (False, True):
            there = [m for m in heard if m.flavor.accelerators and m.spot == spot]
            if there:
                most = sum(m.flavor.accelerators for m in there)
                used = most - sum(m.accelerators for m in there)
                scarce += f"{used:g} of {most:g} {'spot ' if spot else ''}accelerators, "
        return (
            f"{len(heard)} of {len(self.machines)} machines heard, {scarce}{total - free:g} of"
            f" {total:g} CPUs in use, {waiting} tasks wait, {pulling} do not run yet"
        )
