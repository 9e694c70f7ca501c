"""The one owner of a node's state: a queue of commands, worked in batches.

On every node it holds the inbox: the view, the live members and the accepted jobs. On the
leader it also holds the fleet and all attempts. Nothing else changes any of it. What a
command decides takes effect outside (orders, answers) only after the store has committed it.
"""

from __future__ import annotations

import asyncio
import heapq
import itertools
import logging
import math
from collections import OrderedDict
from collections.abc import Callable
from typing import Any

import msgspec

from coveflow import constants as c
from coveflow import wire
from coveflow.core import demand, fleet, planner, scene
from coveflow.core.estimates import Predictor
from coveflow.core.model import (
    Flavor,
    Job,
    Listed,
    Machine,
    Order,
    Placement,
    Report,
    Spec,
    unranges,
)
from coveflow.daemon.commands import (
    CHUNK,
    FLOOR,
    HISTORY,
    JOB,
    MACHINE,
    MAIL,
    MEMBER,
    OLD,
    REPLY,
    SLOT,
    TYPES,
    VIEW,
    Accepted,
    CloudList,
    Command,
    End,
    Heard,
    Held,
    InboxRows,
    Lead,
    Prices,
    Refused,
    Rented,
    Returned,
    Settled,
    Tick,
    Txn,
    View,
    Vouched,
)
from coveflow.net.meters import Meters
from coveflow.settings import Settings, Tuning
from coveflow.state.records import Records, Unreadable

log = logging.getLogger("coveflow.owner")

class Owner:
    def __init__(
        self,
        settings: Settings,
        tuning: Tuning,
        clock: Callable[[], float],
        wall: Callable[[], float],
    ) -> None:
        self.settings, self.tuning = settings, tuning
        self.clock, self.wall = clock, wall
        self.params = settings.params
        self.teams = {team.name: team for team in self.params.teams}
        self.goals = scene.goals_of(self.params.objectives)
        self.queue: asyncio.Queue[Command] = asyncio.Queue()
        self.meters = Meters()
        # Inbox, on every node.
        self.view = View()
        self.members: dict[str, int] = {}
        self.accepted: dict[str, Accepted] = {}
        self.flavors: dict[str, Flavor] = {}
        self.types_rev = 0
        self.terminal: OrderedDict[str, tuple[str, int]] = OrderedDict()
        self.inbox_rev = -1
        self.removed: OrderedDict[str, int] = OrderedDict()  # jobs over, by their last revision
        # Leader only.
        self.leading = 0  # epoch this process leads; 0: it does not
        self.lead_rev = 0
        self.lead_after = -math.inf  # no try to lead before this
        self.on_effects: Callable[[str, Any], None] = lambda kind, data: None
        self.peer_hears: Callable[[str, float], bool] = lambda machine, within: False
        self.peers_known: Callable[[], bool] = lambda: True
        self._clear_lead()

    def _clear_lead(self) -> None:
        self.jobs: dict[str, Job] = {}
        self.uses: OrderedDict[scene.Use, None] = OrderedDict()  # of accelerators, by recent jobs
        self.demand: dict[str, demand.Demand] = {}  # for accelerators, by class
        self.machines: dict[str, Machine] = {}
        self.unsettled: dict[str, int] = {}
        self.ends: dict[str, list[End]] = {}
        self.dirty_jobs: dict[str, None] = {}
        self.dirty_chunks: dict[str, set[int]] = {}
        self.dirty_machines: dict[str, None] = {}
        slot_bytes = int(self.params.state.value_kb * 1024 * c.SLOT_PART)
        self.records = Records(SLOT, slot_bytes)
        self.gone: OrderedDict[str, float] = OrderedDict()
        self.drop: dict[str, None] = {}  # machines proven gone, record not removed yet
        self.held: dict[str, Held] = {}
        self.hot: set[str] = set()  # machines whose held answer may be ready
        self.due: list[tuple[float, int, str]] = []  # ends of waiting, a heap
        self.due_no = itertools.count()
        self.in_flight: Txn | None = None
        self.next_commit = 0.0
        self.next_pass = 0.0
        self.next_cycle = self.next_full = 0.0
        self.last_cycle = self.last_regular = -math.inf
        self.fleet_due = False
        self.arrivals = False  # a job came since the last full cycle
        self.pass_due = False
        self.passed_at = -math.inf
        self.last_plan = planner.Plan()
        self.predictor = Predictor(self.tuning.estimators, self.tuning.decay, self.tuning.recent)
        self.history_rev = 0
        self.history_at = 0.0
        self.history_due = False
        self.lead_since = 0.0
        self.fleet = fleet.Fleet()
        self.listed_at = -math.inf
        self.counts: dict[str, tuple[int, int]] = {}

    # --- the queue ---------------------------------------------------------------------

    def put(self, command: Command) -> None:
        self.queue.put_nowait(command)

    async def run(self) -> None:
        while True:
            batch = [await self.queue.get()]
            while not self.queue.empty():
                batch.append(self.queue.get_nowait())
            self.work(batch)

    def work(self, batch: list[Command]) -> None:
        """Apply a batch, then do what it made due."""
        for command in batch:
            self._guarded(lambda command=command: self.apply(command), type(command).__name__)
        if self.leading:
            self._guarded(self.advance, "what was due")

    def _guarded(self, work: Callable[[], None], what: str) -> None:
        """One bad message must not end the node, nor leave a leader with half-changed state."""
        try:
            work()
        except Exception:
            log.exception("%s failed", what)
            if self.leading:
                self.step_down("its state may be wrong")
                self.on_effects("retake", None)

    def apply(self, command: Command) -> None:
        match command:
            case Heard():
                self._heard(command)
            case InboxRows():
                self._inbox(command)
                if command.applied is not None and not command.applied.done():
                    command.applied.set_result(None)
            case Lead():
                self._lead(command)
            case Tick():
                if self.leading:
                    self._tick()
            case Settled():
                if command.txn is self.in_flight:
                    self.in_flight = None
                    self._settled(command)
            case CloudList():
                if self.leading:
                    self._cloud_list(command.rows)
            case Rented():
                if self.leading:
                    self.fleet.rented(command.want, command.machines, self.clock())
                    self.fleet_due = True
                    log.info("rented %s: %s", command.want.label(), " ".join(command.machines))
            case Refused():
                if self.leading:
                    self.fleet.refused(command.want, self.clock())
                    self.fleet_due = True
            case Returned():
                if self.leading:
                    for machine in command.machines:
                        self._machine_gone(machine, "returned")
            case Vouched():
                for machine in command.machines:
                    if machine in self.machines:
                        self.machines[machine].vouched = self.clock()
            case Prices():
                for flavor in command.flavors:
                    self.flavors[flavor.name] = flavor

    # --- inbox -------------------------------------------------------------------------

    def _inbox(self, command: InboxRows) -> None:
        if command.listed is not None:
            keys = {key for key, _, _ in command.rows}
            for name in [n for n in self.members if MEMBER + n not in keys]:
                del self.members[name]
            for job in [j for j in self.accepted if JOB + j not in keys]:
                del self.accepted[job]
            self.inbox_rev = command.listed
        for key, value, rev in command.rows:
            # Changes older than the listing are part of it; told again they would undo it.
            if command.listed is not None or rev > self.inbox_rev:
                self._inbox_row(key, value, rev)
        if self.leading and (self.view.epoch, self.view.leader) != (
            self.leading,
            self.settings.name,
        ):
            self.step_down("another view is in force")

    def _inbox_row(self, key: str, value: Any, rev: int) -> None:
        if key == VIEW:
            if value is not None and rev > self.view.rev:
                self.view = View(value["epoch"], value["leader"], value["members"], rev)
                log.info("view: epoch %d, leader %s", self.view.epoch, self.view.leader)
        elif key == TYPES:
            if value is not None and rev > self.types_rev:
                self.types_rev = rev
                for row in value["types"]:
                    flavor = msgspec.convert(row, Flavor)
                    self.flavors.setdefault(flavor.name, flavor)
        elif key.startswith(MEMBER):
            name = key[len(MEMBER) :]
            if value is None:
                self.members.pop(name, None)
            else:
                self.members[name] = rev
        elif key.startswith(JOB):
            self._job_row(key[len(JOB) :], value, rev)
        elif value is not None and key.startswith(MAIL):
            if self.leading and key[len(MAIL) :] != self.settings.name:
                self.on_effects("mail", (key[len(MAIL) :], value))
        elif value is not None and key == REPLY + self.settings.name:
            self.on_effects("reply", value)

    def _job_row(self, name: str, value: Any, rev: int) -> None:
        if value is None:
            known = self.accepted.get(name)
            if known is None or rev > known.rev:
                self.accepted.pop(name, None)
            return
        known = self.accepted.get(name)
        if known is not None and rev <= known.rev:
            return
        if rev <= self.removed.get(name, -1):
            # The watch may tell a job's last change after its end was committed here; a job
            # taken in again that way once conflicted with its own final record.
            return
        spec = known.spec if known is not None else msgspec.convert(value["spec"], Spec)
        entry = Accepted(spec, value["at"], rev, value.get("cancel"))
        self.accepted[name] = entry
        if self.leading:
            self._adopt_job(entry)

    def remember_terminal(self, job: str, status: str, done: int) -> None:
        """A final state never changes, so it may be told without asking again."""
        self.terminal[job] = (status, done)
        if len(self.terminal) > c.TERMINAL_CACHE:
            self.terminal.popitem(last=False)

    # --- leadership --------------------------------------------------------------------

    def _lead(self, command: Lead) -> None:
        if (self.view.epoch, self.view.leader) != (command.epoch, self.settings.name):
            log.info("epoch %d is over before it began", command.epoch)
            return
        self._clear_lead()
        self.lead_since = now = self.clock()
        slots = []
        for key, value, rev in command.rows:
            if key == HISTORY:
                self.history_rev = rev
                self.predictor.load(value)
            else:
                slots.append((key, value, rev))
        try:
            self.records.load(slots)
        except Unreadable:
            self.lead_after = now + c.UNREADABLE_S
            raise
        for entry in self.accepted.values():
            self._adopt_job(entry)
        for item, value in self.records.values.items():
            kind, rest = item[:2], item[2:]
            if kind == FLOOR:
                job = self.jobs.get(rest)
                if job is not None:
                    job.floor = value
            elif kind == CHUNK:
                name, index = rest.rsplit("/", 1)
                job = self.jobs.get(name)
                if job is not None:
                    job.load_chunk(int(index), value)
        for item, value in self.records.values.items():
            if item.startswith(MACHINE):
                self._restore_machine(item[len(MACHINE) :], value, now)
        for job in self.jobs.values():
            job.refill()
            if job.over:
                self.dirty_jobs[job.id] = None
        # Last of all: with a part of its state a leader would start again what it forgot.
        self.leading, self.lead_rev = command.epoch, command.rev
        log.info(
            "leading epoch %d: %d jobs, %d machines recorded",
            self.leading,
            len(self.jobs),
            len(self.machines),
        )
        self.pass_due = True
        self.next_pass = now + min(1.0, self.params.workers.report_s)

    def _restore_machine(self, name: str, value: list[Any], now: float) -> None:
        owner, address, kind, zone, spot, tenure, tasks = value
        flavor = self.flavors.get(kind)
        if flavor is None:
            self.lead_after = now + c.UNREADABLE_S
            raise Unreadable(f"machine {name} has an unknown type")
        m = Machine(name, address, flavor, zone, spot)
        m.owner, m.tenure = owner, tenure
        m.heard = m.born = m.answered = now
        m.up = True
        self.machines[name] = m
        for job_id, rows in tasks.items():
            job = self.jobs.get(job_id)
            if job is None:
                log.error("machine %s records %s, which is over", name, job_id)
                continue
            for number, flat in rows:
                for task in unranges(flat):
                    p = Placement(
                        job_id, task, number, name, m.tenure, committed=True, placed_at=now
                    )
                    m.placements[p.key] = p
                    m.take(job.spec)
                    job.attempts += 1
                    if task not in job.done or task not in job.placed:
                        job.placed[task] = p

    def step_down(self, why: str) -> None:
        if not self.leading:
            return
        log.info("no longer leading epoch %d: %s", self.leading, why)
        held = list(self.held.values())
        self.leading = 0
        self._clear_lead()
        for waiting in held:
            # Not entitled any more: the worker tries the next node.
            if not waiting.reply.done():
                waiting.reply.set_result(None)
        self.on_effects("stepped_down", why)

    # --- jobs --------------------------------------------------------------------------

    def _adopt_job(self, entry: Accepted) -> None:
        job = self.jobs.get(entry.spec.id)
        if job is None:
            job = Job(entry.spec, entry.at, entry.rev, seen_at=self.clock())
            job.refill()
            self.jobs[job.id] = job
            self.arrivals = True
            use = scene.use_of(job.spec)
            if use is not None:
                self.uses[use] = None
                self.uses.move_to_end(use)
                if len(self.uses) > c.USES_KEPT:
                    self.uses.popitem(last=False)
                known = self.demand.setdefault(job.spec.workload, demand.Demand())
                known.add(job.spec, self.clock() - max(0.0, self.wall() - job.arrived))
            log.info(
                "job %s: %d tasks of %s (%g CPUs each%s) for %s",
                job.id,
                job.spec.tasks,
                job.spec.workload,
                job.spec.cpus,
                ", spot too" if job.spec.spot else "",
                job.spec.team,
            )
        job.rev = max(job.rev, entry.rev)
        if entry.cancelled is not None and job.cancelled is None:
            job.cancelled = entry.cancelled
            log.info("job %s: cancelled, %d tasks to end", job.id, len(job.placed))
            for p in job.placed.values():
                p.stopping, p.grace_s = True, 0.0
                self._wake(p.machine)
            if job.over:
                self.dirty_jobs[job.id] = None
        self.pass_due = True

    def _end(self, p: Placement, done: bool, why: str) -> None:
        """The attempt is proven gone. Its room is free; its task is, once that is committed."""
        m = self.machines[p.machine]
        job = self.jobs[p.job]
        del m.placements[p.key]
        m.give(job.spec)
        job.attempts -= 1
        m.clearing.add(p.key)
        self.ends.setdefault(m.id, []).append(End(p, done, self.clock()))
        self.unsettled[job.id] = self.unsettled.get(job.id, 0) + 1
        if job.placed.get(p.task) is p:
            del job.placed[p.task]
        if done:
            job.mark_done(p.task)
        else:
            # Numbers up to this one are spent: a cleared attempt must never be run again.
            job.floor = max(job.floor, p.number)
        self._dirty_task(job, p.task)
        self.dirty_machines[m.id] = None
        if not done:
            log.info("task %s/%d try %d on %s: %s", p.job, p.task, p.number, m.id, why)
        else:
            log.debug("task %s/%d try %d on %s: done", p.job, p.task, p.number, m.id)
        if done and job.complete:
            self._completed(job)

    def _dirty_task(self, job: Job, task: int) -> None:
        self.dirty_jobs[job.id] = None
        if task in job.done:
            self.dirty_chunks.setdefault(job.id, set()).add(task // c.CHUNK_TASKS)

    def _completed(self, job: Job) -> None:
        log.info(
            "job %s: all %d tasks done after %.1f s",
            job.id,
            job.spec.tasks,
            self.wall() - job.arrived,
        )
        if job.run_count and job.spec.kind != "service":
            self.predictor.observe(job.spec, job.run_sum / job.run_count)

    # --- reports -----------------------------------------------------------------------

    def _heard(self, command: Heard) -> None:
        report, reply = command.report, command.reply
        if reply.done():
            return
        if not self.leading:
            reply.set_result(None)
            return
        now = self.clock()
        m = self.machines.get(report.machine)
        if report.machine in self.gone:
            # A late report of a machine that was proven gone proves nothing any more.
            reply.set_result(None)
            return
        if m is None:
            flavor = self.flavors.get(report.type)
            if flavor is None:
                reply.set_result(None)
                return
            m = self.machines[report.machine] = Machine(
                report.machine, report.address, flavor, report.zone, report.spot
            )
            m.born = now
            m.owner = self.settings.name
            self.fleet.up(m.id, now)
            log.info("machine %s (%s, %s) is up", m.id, m.flavor.name, m.zone)
        if m.address != report.address:
            m.address = report.address
        m.up = True
        waiting = self.held.pop(m.id, None)
        if waiting is not None and not waiting.reply.done():
            # The worker gave that report up; an answer would not be read.
            waiting.reply.set_result(None)
        if (report.tenure, report.counter) <= (m.tenure, m.counter) and m.counter >= 0:
            # Late: its task list is as old as the report. It is answered, not believed.
            reply.set_result(wire.orders_answer(self.leading, []))
            return
        if report.tenure < m.tenure:
            reply.set_result(wire.orders_answer(self.leading, []))
            return
        if report.tenure > m.tenure:
            # A new tenure: the worker has killed and forgotten all it ran before.
            for p in list(m.placements.values()):
                self._end(p, False, "the machine's lease ran out")
                self._gang_ended(p, False)
            m.tenure = report.tenure
        m.counter, m.epoch, m.heard = report.counter, report.epoch, now
        if report.notice_s is not None:
            ends = now + report.notice_s
            if m.ends_at is None:
                log.info("machine %s will be taken in %.0f s", m.id, report.notice_s)
            m.ends_at = ends if m.ends_at is None else min(m.ends_at, ends)
        news = self._tasks(m, report, now)
        self._drain(m, now)
        self._answer_or_hold(m, report, reply, news, now, command.patient)

    def _tasks(self, m: Machine, report: Report, now: float) -> bool:
        """Take in the report's task list; whether it proves any end."""
        news = False
        seen: set[tuple[str, int, int]] = set()
        for t in report.tasks:
            key = (t.job, t.task, t.number)
            seen.add(key)
            p = m.placements.get(key)
            if p is None:
                continue
            if t.state == "exited":
                news = True
                self._exited(m, p, t.why or "", t.saved, now)
                continue
            p.state = t.state
            if t.state == "running" and p.since is None:
                p.since = now
        for p in [p for p in m.placements.values() if p.key not in seen]:
            # Absence proves that the run never started only if the worker has already taken
            # the current epoch (so no older leader's answer can still reach it) and this
            # report is newer than the one whose answer last carried the run.
            if p.stopping and report.epoch == self.leading and report.counter > p.sent:
                news = True
                self._end(p, False, "never started")
        return news

    def _exited(self, m: Machine, p: Placement, why: str, saved: bool, now: float) -> None:
        job = self.jobs[p.job]
        done = why == "done"
        # A task that went on from a checkpoint ran only part of its work here.
        fresh = job.spec.checkpoint_s <= 0 or p.number == 1
        if done and p.since is not None and fresh:
            run_s = max(now - p.since, 0.1)
            if job.run_count >= 5:
                # Only a job whose own tasks were seen says something about a machine's speed.
                m.speed_n += 1
                ratio = min(max(run_s * job.run_count / job.run_sum, 0.3), 4.0)
                m.speed += (ratio - m.speed) / min(m.speed_n + 4, 20)
            job.run_sum += run_s
            job.run_count += 1
        self._end(p, done, why)
        self._gang_ended(p, done)
        if done and p.placed_at > m.failed_at:
            m.failed_jobs.clear()  # it completes what it starts
        elif why == "error":
            self._failed(m, job, now)
        elif why in ("full", "busy", "unknown"):
            job.not_before = max(job.not_before, now + 1.0)

    def _failed(self, m: Machine, job: Job, now: float) -> None:
        """A task failed: blame the machine if it fails much, the job if it fails anywhere.

        A machine that fails every task at once is always free again and drew all the work to
        it; the jobs, counted out by their failures there, waited for up to a minute.
        """
        job.bad_machines.add(m.id)
        m.failed_at = now
        if not job.errors:
            m.failed_jobs[job.id] = m.failed_jobs.get(job.id, 0) + 1
        alone = bool(job.done) and m.failed_jobs.get(job.id, 0) >= c.SUSPECT_TASKS
        if not m.suspect and (len(m.failed_jobs) >= c.SUSPECT_JOBS or alone):
            m.suspect = True
            log.warning("machine %s: tasks of %d jobs failed", m.id, len(m.failed_jobs))
        blamed = self.machines
        sound = [name for name in job.bad_machines if name in blamed and not blamed[name].suspect]
        if job.done or now < job.not_before:
            return  # tasks that failed together count once
        if job.errors or len(sound) >= c.ERROR_MACHINES:
            job.errors += 1
            job.not_before = now + min(
                c.ERROR_BACKOFF_S * 2 ** min(job.errors, 10), c.ERROR_BACKOFF_MAX_S
            )
            if len(job.bad_machines) >= max(c.ERROR_MACHINES, len(self.machines) // 2):
                job.bad_machines.clear()  # it fails everywhere: no machine is to blame

    def _gang_ended(self, p: Placement, done: bool) -> None:
        """A gang completes together, and falls apart together, whatever proved the end.

        Mates of a task that ended with its machine's lease once went on waiting for it.
        """
        job = self.jobs[p.job]
        if job.spec.kind != "gang":
            return
        for mate in job.placed.values():
            if mate.number != p.number:
                continue
            if done:
                job.mark_done(mate.task)
                self._dirty_task(job, mate.task)
            elif not mate.stopping:
                mate.stopping = True
                mate.grace_s = max(job.spec.save_s, self.params.workers.gang_peer_s)
                self._wake(mate.machine)
        if done and job.complete:
            self._completed(job)

    def _drain(self, m: Machine, now: float) -> None:
        """Save what can be saved before the cloud takes a spot machine."""
        if m.ends_at is None:
            return
        for p in m.placements.values():
            job = self.jobs[p.job]
            if p.stopping or job.spec.checkpoint_s <= 0:
                continue
            # The notice may be half as long as announced, so saving starts by half time.
            if m.ends_at - now <= 2 * (job.spec.save_s + c.DRAIN_SPARE_S):
                p.stopping, p.grace_s = True, job.spec.save_s + 1.0

    # --- answers -----------------------------------------------------------------------

    def _wake(self, machine: str) -> None:
        waiting = self.held.get(machine)
        if waiting is not None:
            waiting.until = 0.0
            self.hot.add(machine)

    def _answer_or_hold(
        self,
        m: Machine,
        report: Report,
        reply: asyncio.Future[bytes | None],
        news: bool,
        now: float,
        patient: bool,
    ) -> None:
        held = Held(report, reply, 0.0, news, now)
        if news:
            # The commit of these ends will often bring the next run for the same worker.
            held.until = now + c.HOLD_ANSWER_S
            self.pass_due = True
        elif patient and not self._orders(m, report, peek=True) and self._may_wait(m):
            held.until = now + c.IDLE_ANSWER_PART * self.params.workers.report_s
        if held.until > now:
            self.held[m.id] = held
            heapq.heappush(self.due, (held.until, next(self.due_no), m.id))
        else:
            self._answer(m, held)

    def _may_wait(self, m: Machine) -> bool:
        """A machine with room may be sent work in this answer if some turns up soon."""
        return m.ends_at is None and not m.returning and m.cpus >= 0.5

    def _answer(self, m: Machine, held: Held) -> None:
        if held.reply.done():
            return
        orders = self._orders(m, held.report)
        m.answered = self.clock()
        held.reply.set_result(wire.orders_answer(self.leading, orders))

    def _orders(self, m: Machine, report: Report, peek: bool = False) -> list[Order]:
        """What the worker should do, given what it last said. `run` and `clear` go only here."""
        orders: list[Order] = []
        present: set[tuple[str, int, int]] = set()
        for t in report.tasks:
            key = (t.job, t.task, t.number)
            present.add(key)
            p = m.placements.get(key)
            if t.state == "exited":
                # An end is cleared only after its commit: the report is its only proof.
                if p is None and key not in m.clearing:
                    orders.append(Order("clear", *key))
            elif p is None:
                if key not in m.clearing and report.epoch == self.leading:
                    log.warning("machine %s runs %s/%d try %d unasked", m.id, *key)
                    orders.append(Order("stop", *key))
            elif p.stopping and (t.state != "flushing" or p.grace_s <= 0):
                orders.append(Order("stop", *key, grace_s=p.grace_s))
        for p in m.placements.values():
            if p.committed and not p.stopping and p.key not in present:
                if p.tenure != m.tenure or self.jobs[p.job].cancelled is not None:
                    continue
                orders.append(Order("run", *p.key))
                if not peek:
                    if p.sent < 0:
                        self.meters.span("placed to told", self.clock() - p.placed_at)
                    p.sent = report.counter
        return orders

    def _flush_held(self, now: float) -> None:
        """Answer what is ready or has waited long enough, without a look at the rest."""
        look, self.hot = self.hot, set()
        while self.due and self.due[0][0] <= now:
            look.add(heapq.heappop(self.due)[2])
        for machine in look:
            held = self.held.get(machine)
            if held is None:
                continue
            m = self.machines.get(machine)
            if held.reply.done() or m is None:
                del self.held[machine]
                if not held.reply.done():
                    held.reply.set_result(None)
                continue
            if held.for_commit:
                # With the ends goes the next run: an answer sent between the commit of an end
                # and the next pass left the room empty until the following report.
                ready = (
                    not m.clearing
                    and machine not in self.dirty_machines
                    and self.passed_at >= held.since
                )
            else:
                ready = any(
                    p.committed and not p.stopping and p.sent < held.report.counter and not p.state
                    for p in m.placements.values()
                )
            if ready or now >= held.until:
                del self.held[machine]
                self._answer(m, held)

    # --- what is due -------------------------------------------------------------------

    def advance(self) -> None:
        now = self.clock()
        if self.arrivals and now >= self.last_cycle + c.ARRIVAL_CYCLE_S:
            self.next_cycle = now
        if now >= self.next_cycle and now >= max(self.next_pass, self.next_full):
            self._pass(now, full=True)
        elif self.pass_due and now >= self.next_pass:
            self._pass(now, full=False)
        if self.fleet_due:
            # What one type, zone or kind refused is asked of the next at once.
            self._fleet(now)
        if self.in_flight is None and now >= self.next_commit:
            txn = self._build(now)
            if txn is not None:
                self.in_flight = txn
                self.next_commit = now + c.COMMIT_PACE_S
                self.on_effects("commit", txn)
        self._flush_held(now)

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

    def gauge(self) -> str:
        """The fleet at this moment, for the log."""
        now = self.clock()
        heard = [m for m in self.machines.values() if self._heard_lately(m, now)]
        total = sum(m.flavor.cpus for m in heard)
        free = sum(m.cpus for m in heard)
        waiting = sum(len(job.free) for job in self.jobs.values() if job.cancelled is None)
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

    def _guess(self, job: Job) -> None:
        """Guessed run time per task; a job's own finished tasks tell most."""
        if job.run_count >= 3:
            job.guess_s = job.run_sum / job.run_count
        elif job.guess_of != self.predictor.version:
            job.guess_of = self.predictor.version
            job.guess_s = self.predictor.guess(job.spec)

    def _pass(self, now: float, full: bool) -> None:
        self.pass_due = False
        started = self.clock()
        wall = self.wall()
        for job in self.jobs.values():
            self._guess(job)
        if full:
            if now >= self.last_regular + self.tuning.cycle_s:
                self.last_regular = now
                self._grow_overruns(now)
            self.next_cycle = now + self.tuning.cycle_s
            self.last_cycle, self.arrivals = now, False
        state = scene.State(
            jobs=list(self.jobs.values()),
            machines=[m for m in self.machines.values() if self._heard_lately(m, now)],
            teams=self.teams,
            usage=self.usage(),
            now=now,
            where={m.id: m.zone for m in self.machines.values()},
            arrived={job.id: now - max(0.0, wall - job.arrived) for job in self.jobs.values()},
            goals=self.goals,
            uses=frozenset(self.uses),
            flavors=list(self.flavors.values()),
            asked=[known.asked(now) for known in self.demand.values()],
        )
        guesses = {job.id: job.guess_s for job in self.jobs.values()}
        plan = planner.plan(
            state,
            self.tuning,
            guesses,
            c.MACHINE_PLACEMENTS,
            None if full else self.last_plan.holds,
        )
        if full:
            self.last_plan = plan
        for start in plan.starts:
            job, m = self.jobs[start.job], self.machines[start.machine]
            for _ in range(start.count):
                p = job.place(m, now)
                log.debug("task %s/%d try %d to %s", job.id, p.task, p.number, m.id)
            m.idle_since = None
            self.dirty_machines[m.id] = None
            log.info("job %s: %d tasks to %s", job.id, start.count, m.id)
        for name in plan.stops:
            job = self.jobs[name]
            log.info("job %s: stopped to free room for more urgent work", name)
            job.preempted += 1
            for p in job.placed.values():
                p.stopping, p.grace_s = True, job.spec.save_s + 1.0
                self._wake(p.machine)
        if full:
            self._fleet(now)
        self.passed_at = now
        self.hot.update(name for name, held in self.held.items() if held.for_commit)
        took = self.clock() - started
        self.meters.span("full pass" if full else "cheap pass", took)
        self.meters.add("planning steps", plan.steps)
        if full:
            # Cheap passes go on meanwhile: rooms that fall free wait for nothing else.
            self.next_full = now + c.PASS_PART * took
            self.next_pass = now + took + c.EVENT_PASS_S
        else:
            self.next_pass = now + max(c.EVENT_PASS_S, c.PASS_PART * took)

    def _heard_lately(self, m: Machine, now: float) -> bool:
        """Only a machine that this leader hears may be given work; its tenure is known."""
        return m.up and m.counter >= 0 and now - m.heard < 3 * self.params.workers.report_s + 1.0

    def _grow_overruns(self, now: float) -> None:
        for m in self.machines.values():
            for p in m.placements.values():
                guess = self.jobs[p.job].guess_s * m.speed
                if p.since is not None and now - p.since > guess:
                    p.overrun += 1

    def _fleet(self, now: float) -> None:
        self.fleet_due = False
        wants, returns = self.fleet.decide(
            now=now,
            machines=list(self.machines.values()),
            lacks=self.last_plan.lacks,
            flavors=list(self.flavors.values()),
            tuning=self.tuning,
            # After a take-over, machines that are up already have yet to report.
            settled=self.leading == 1 or now - self.lead_since > 3 * self.params.workers.report_s,
            prompt=lambda job: self.jobs[job].spec.workload in self.goals,
        )
        for want in wants:
            self.on_effects("rent", want)
        if returns:
            self._return(returns, "idle")
        drains = self.fleet.drains(
            now,
            list(self.machines.values()),
            self.last_plan.lacks,
            lambda p: scene.remaining(
                p.since, self.jobs[p.job].guess_s, now, p.overrun, self.tuning.cycle_s
            ),
            lambda name: self.jobs[name].spec,
        )
        for name in drains:
            m = self.machines[name]
            m.draining = True
            log.info("machine %s drains: %d tasks move", name, len(m.placements))
            for p in m.placements.values():
                p.stopping, p.grace_s = True, self.jobs[p.job].spec.save_s + 1.0
            self._wake(name)

    def _return(self, names: list[str], why: str) -> None:
        for name in names:
            m = self.machines.get(name)
            if m is not None:
                m.returning = True
            log.info("machine %s goes back: %s", name, why)
        self.on_effects("return", names)

    def _tick(self) -> None:
        now = self.clock()
        workers = self.params.workers
        patience = workers.lease_s + c.SILENT_MARGIN_S
        # A node that cannot be asked may be the old leader and still answer its workers, for
        # as long as its knowledge of cancellations lets it. They come here after that.
        unheard = patience
        if not self.peers_known():
            unheard += workers.cancel_s - workers.lease_s - c.CONTACT_MARGIN_S
        silent: list[str] = []
        for m in self.machines.values():
            if m.returning:
                continue
            quiet = now - max(m.heard, m.vouched)
            taken = m.ends_at is not None and now > m.ends_at and quiet > c.NOTICE_SILENT_S
            waits = patience if m.counter >= 0 else unheard
            if (quiet > waits or taken) and not self.peer_hears(m.id, workers.lease_s):
                silent.append(m.id)
                continue
            # Cancelled work whose end nothing proves must be gone before the user's limit.
            for p in m.placements.values():
                cancelled = self.jobs[p.job].cancelled
                if cancelled is not None and (
                    self.wall() - cancelled > workers.cancel_s * c.CANCEL_RETURN_PART
                ):
                    silent.append(m.id)
                    break
        if silent:
            self._return(silent, "silent, or work on it does not end")
        suspects = [
            m.id
            for m in self.machines.values()
            if m.suspect and not m.placements and not m.returning
        ]
        if suspects:
            self._return(suspects, "suspected faulty")
        late = self.fleet.overdue(now, {f.name: f for f in self.flavors.values()})
        if late:
            self._return(late, "never came up")
        self.counts = {
            job.id: (
                len(job.done),
                sum(1 for p in job.placed.values() if p.state == "running"),
            )
            for job in self.jobs.values()
        }
        if self.predictor.changed and now - self.history_at > c.HISTORY_WRITE_S:
            self.history_at, self.history_due = now, True

    def _machine_gone(self, name: str, why: str) -> None:
        """The cloud answered that the machine and everything on it are gone."""
        self.gone[name] = self.clock()
        if len(self.gone) > 5000:
            self.gone.popitem(last=False)
        self.fleet.gone(name)
        m = self.machines.get(name)
        if m is None:
            return
        waiting = self.held.pop(name, None)
        if waiting is not None and not waiting.reply.done():
            waiting.reply.set_result(None)
        for p in list(m.placements.values()):
            self._end(p, False, f"its machine was {why}")
            self._gang_ended(p, False)
        m.up = False
        self.drop[name] = None
        self.dirty_machines[name] = None
        self.pass_due = True

    def _cloud_list(self, rows: list[Listed]) -> None:
        now = self.clock()
        self.listed_at = now
        stray: list[str] = []
        for row in rows:
            if row.machine in self.gone:
                continue
            known = self.machines.get(row.machine)
            if row.state == "failed":
                if known is None or not known.returning:
                    stray.append(row.machine)
            elif known is None and not self.fleet.knows(row.machine):
                # Rented by an earlier leader, or by a request that took effect late.
                self.fleet.found(row, now)
        if stray:
            self._return(stray, "failed")

    # --- commits -----------------------------------------------------------------------

    def _build(self, now: float) -> Txn | None:
        """The next transaction: progress of jobs first, then machines, then finished jobs.

        A machine's record gives up an attempt only together with, or after, the job's record
        of that end; otherwise a new leader could lose a done task or reuse a number.
        """
        limit = self.params.state.txn_ops
        txn = Txn({VIEW: self.lead_rev}, {})
        # Half of the changes and of the bytes at least stay for jobs that end.
        draft = txn.draft = self.records.draft(max(1, min(c.SLOTS_TXN, limit // 2)), c.TXN_BYTES)
        whole = True
        finish: list[Job] = []
        for name in list(self.dirty_jobs):
            job = self.jobs.get(name)
            if job is None:
                del self.dirty_jobs[name]
                continue
            if job.over and not job.finishing:
                finish.append(job)
                if not self.unsettled.get(name):
                    continue  # all its ends are committed: the final record says the rest
            chunks = self.dirty_chunks.get(name, set())
            whole = (
                not job.floor
                or self.records.values.get(FLOOR + name) == job.floor
                or draft.add(FLOOR + name, job.floor)
            ) and all(draft.add(f"{CHUNK}{name}/{i}", job.chunk(i)) for i in sorted(chunks))
            if not whole:
                break
            txn.jobs.append((job, chunks))
            del self.dirty_jobs[name]
            self.dirty_chunks.pop(name, None)
        if whole:
            for name in list(self.dirty_machines):
                m = self.machines.get(name)
                if m is None:
                    del self.dirty_machines[name]
                    continue
                removing = name in self.drop
                if removing and MACHINE + name not in self.records:
                    del self.dirty_machines[name]
                    self._forget_machine(m)
                    continue
                if not draft.add(MACHINE + name, None if removing else m.record()):
                    break
                del self.dirty_machines[name]
                (txn.removed if removing else txn.machines).append(m)
                txn.placed += [p for p in m.placements.values() if not p.committed]
                txn.ends += [(m, end) for end in self.ends.pop(name, [])]
            for job in finish:
                if len(draft.contents) + len(txn.writes) + 2 > limit - 1:
                    break
                if self.unsettled.get(job.id):
                    continue
                if not all(draft.add(item, None) for item in self._items(job)):
                    break
                status = "done" if job.complete and job.cancelled is None else "cancelled"
                txn.guards[OLD + job.id] = 0
                txn.writes[OLD + job.id] = {"status": status, "done": len(job.done)}
                # Guarding the accepted record settles the race with a cancellation.
                txn.guards[JOB + job.id] = job.rev
                txn.writes[JOB + job.id] = None
                job.finishing = True
                txn.finished.append(job)
                self.dirty_jobs.pop(job.id, None)
        for key, rev, value in draft.rows():
            txn.guards[key] = rev
            txn.writes[key] = value
        if self.history_due and len(txn.writes) < limit:
            record = self.predictor.dump(
                min(c.HISTORY_BYTES, int(self.params.state.value_kb * 1024 * 0.8))
            )
            txn.guards[HISTORY] = self.history_rev
            txn.writes[HISTORY] = record
            txn.history = True
            self.history_due = False
            self.predictor.changed = False
        if not txn.writes:
            return None
        return txn

    def _items(self, job: Job) -> list[str]:
        """All items that the records may hold of a job."""
        return [FLOOR + job.id, *(f"{CHUNK}{job.id}/{index}" for index in sorted(job.bits))]

    def _settled(self, command: Settled) -> None:
        txn = command.txn
        if command.rev is None:
            self._conflict(txn, command.conflict or [])
            return
        rev = command.rev
        if txn.draft is not None:
            self.records.settled(txn.draft, rev)
        self.hot.update(m.id for m in txn.machines)
        now = self.clock()
        for p in txn.placed:
            self.meters.span("start committed", now - p.placed_at)
        for _, end in txn.ends:
            self.meters.span("end committed", now - end.at)
        if txn.history:
            self.history_rev = rev
        for p in txn.placed:
            p.committed = True
        for m, end in txn.ends:
            p = end.placement
            m.clearing.discard(p.key)
            job = self.jobs.get(p.job)
            if job is None:
                continue
            self.unsettled[job.id] -= 1
            if not end.done and p.task not in job.done and p.task not in job.placed:
                job.free.append(p.task)
                self.pass_due = True
            if job.over:
                self.dirty_jobs[job.id] = None
        for m in txn.removed:
            self._forget_machine(m)
        for job in txn.finished:
            status = txn.writes[OLD + job.id]["status"]
            self.remember_terminal(job.id, status, len(job.done))
            log.info("job %s: %s", job.id, status)
            self.jobs.pop(job.id, None)
            self.accepted.pop(job.id, None)
            self.removed[job.id] = rev
            if len(self.removed) > c.REMOVED_KEPT:
                self.removed.popitem(last=False)
            self.unsettled.pop(job.id, None)

    def _forget_machine(self, m: Machine) -> None:
        self.machines.pop(m.id, None)
        self.drop.pop(m.id, None)
        for end in self.ends.pop(m.id, []):
            self._settle_end(end)

    def _settle_end(self, end: End) -> None:
        """An end on a machine that was never recorded has nothing to commit."""
        job = self.jobs.get(end.placement.job)
        if job is None:
            return
        self.unsettled[job.id] -= 1
        if not end.done and end.placement.task not in job.done:
            job.free.append(end.placement.task)
        self.dirty_jobs[job.id] = None
        self.pass_due = True

    def _conflict(self, txn: Txn, failed: list[str]) -> None:
        """Nothing of it was applied. Everything in it is due again, with newer revisions."""
        if VIEW in failed:
            self.step_down("the view has moved on")
            return
        if any(not key.startswith(JOB) for key in failed) or not failed:
            # A record only the leader writes is not as it left it: start again from the store.
            log.error("unexpected conflict on %s", failed)
            self.step_down("its records changed")
            self.on_effects("retake", None)
            return
        for job, chunks in txn.jobs:
            self.dirty_jobs[job.id] = None
            self.dirty_chunks.setdefault(job.id, set()).update(chunks)
        for m in txn.machines + txn.removed:
            self.dirty_machines[m.id] = None
        for m, end in txn.ends:
            self.ends.setdefault(m.id, []).append(end)
        for job in txn.finished:
            job.finishing = False
            self.dirty_jobs[job.id] = None
        if txn.history:
            self.predictor.changed = True
        # The accepted record's newer version (a cancellation) is on its way; read it at once.
        self.on_effects("reread", [key for key in failed if key.startswith(JOB)])
        self.next_commit = self.clock() + c.RETRY_S
