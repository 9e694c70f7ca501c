"""Single owner of a node's in-memory state: processes a queue of commands in batches.

Every node has an inbox: the view, the live members and the accepted jobs. The leader additionally
has a `LeaderState` (the fleet and all attempts) and the components that operate on it. Nothing
else modifies this state. The outcome of a command becomes visible outside (orders to workers,
answers to clients) only after the store has committed it.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable, Mapping, Sequence
from typing import Any

import msgspec

from coveflow import constants as c
from coveflow.core.cancellations import Cancellations
from coveflow.core.overload import BusyShare
from coveflow.daemon.commands import (
    AcceptedJob,
    CancellationConfirmed,
    CloudList,
    Command,
    CommitResult,
    DirectAnswer,
    DrainRequest,
    HeldTasksDecision,
    InboxRows,
    LeasesRenewedByPeer,
    MachinesRented,
    MachinesReturned,
    PeerCancellations,
    Prices,
    RentRefused,
    ReportReceived,
    StartLeading,
    Tick,
)
from coveflow.daemon.commits import Commits
from coveflow.daemon.context import NodeContext
from coveflow.daemon.direct_requests import DirectRequests
from coveflow.daemon.inbox import Inbox
from coveflow.daemon.leader_state import LeaderState
from coveflow.daemon.machine_manager import MachineManager, want_fields
from coveflow.daemon.planning import Planning
from coveflow.daemon.report_answers import ReportAnswers
from coveflow.daemon.reports import Reports, machine_fields
from coveflow.daemon.restore import restore
from coveflow.daemon.task_counts import TaskCounts
from coveflow.logs import Log
from coveflow.net.meters import Meters
from coveflow.settings import Settings, Tuning
from coveflow.state.keys import View
from coveflow.state.records import CorruptRecords
from coveflow.state.write_limits import WriteLimits

log = Log("coveflow.owner")


class Owner:
    def __init__(
        self,
        settings: Settings,
        tuning: Tuning,
        clock: Callable[[], float],
        wall: Callable[[], float],
    ) -> None:
        limits = WriteLimits(settings.params.state)
        self.context = NodeContext(settings, tuning, clock, wall, Meters(), limits)
        self.queue: asyncio.Queue[Command] = asyncio.Queue()
        workers = settings.params.workers
        self.cancellations = Cancellations(
            [member.name for member in settings.members if member.name != settings.name],
            workers.cancel_s, workers.lease_s,
        )  # fmt: skip
        self.inbox = Inbox(settings.name, self.cancellations)
        self.inbox.on_job = self._on_job
        self.inbox.on_mail = self._on_mail
        self.inbox.on_reply = lambda value: self.context.effects("reply", value)
        self.busy = BusyShare(clock())
        self.no_lead_before = -math.inf  # this node does not try to lead before this time
        self.task_counts = TaskCounts()  # task counts reported to users
        self._reset_leader_state()

    def _reset_leader_state(self) -> None:
        """Discard all leader state; a new leader restores it from the store."""
        context, inbox = self.context, self.inbox
        self.state = LeaderState(context)
        self.answers = ReportAnswers(context, inbox, self.state)
        self.reports = Reports(context, inbox, self.state, self.answers)
        self.commits = Commits(context, inbox, self.state, self.step_down)
        self.machine_manager = MachineManager(context, inbox, self.state)
        self.direct = DirectRequests(context, self.state)
        self.planning = Planning(context, inbox, self.state, self.machine_manager.adjust_fleet)
        # Done and running tasks by job, sent to peers; for jobs of another interface also the
        # number of placed tasks.
        self.counts: dict[str, tuple[int, ...]] = {}

    @property
    def leading(self) -> int:
        """The epoch in which this process is the leader; 0 if it is not."""
        return self.state.leading

    # --- interface for membership -----------------------------------------------------------

    @property
    def view(self) -> View:
        return self.inbox.view

    @property
    def members(self) -> dict[str, int]:
        return self.inbox.members

    def may_take_over(self, now: float) -> bool:
        return bool(self.inbox.flavors) and now >= self.no_lead_before

    async def apply_inbox_rows(self, rows: list[tuple[str, Any, int]], listed: int | None) -> None:
        applied = asyncio.get_running_loop().create_future()
        self.put(InboxRows(rows, listed, applied))
        await applied

    def lead(self, epoch: int, rev: int, rows: list[tuple[str, Any, int]]) -> None:
        self.put(StartLeading(epoch, rev, rows))

    def confirm_cancellation(self, job: str, cancelled: float) -> None:
        """Record that this node is about to confirm the job's cancellation to a user.

        `cancelled` is the time of day of the cancellation. The node applies it immediately, as its
        peers do: otherwise a leader that reports a cancellation written by another node keeps
        starting tasks of the job until its own watch delivers the row.
        """
        self.cancellations.confirm(job, cancelled, self.context.clock())
        entry = self.inbox.accepted.get(job)
        if entry is not None and entry.cancelled is None:
            self.put(CancellationConfirmed(job))

    # --- the queue ---------------------------------------------------------------------

    def put(self, command: Command) -> None:
        self.queue.put_nowait(command)

    async def run(self) -> None:
        while True:
            batch = [await self.queue.get()]
            while not self.queue.empty() and len(batch) < c.BATCH_COMMANDS:
                batch.append(self.queue.get_nowait())
            self.process_batch(batch)
            if len(batch) == c.BATCH_COMMANDS:
                # Let the lease renewal and completed answers run before the next batch.
                await asyncio.sleep(0)

    def process_batch(self, batch: list[Command]) -> None:
        """Apply a batch of commands, then run the work that became due."""
        began = self.context.clock()
        self._process_batch(batch)
        took = self.context.clock() - began
        reports = sum(isinstance(command, ReportReceived) for command in batch)
        self.busy.add_busy_time(self.context.batch_duration_s(reports, took))

    def _process_batch(self, batch: list[Command]) -> None:
        for command in batch:
            self._guarded(lambda command=command: self.apply(command), type(command).__name__)
        if self.leading:
            self._guarded(self.advance, "what was due")

    def _guarded(self, work: Callable[[], None], what: str) -> None:
        """Run `work`; on an exception keep the node running, but give up leadership.

        One bad message must neither stop the node nor leave a leader with partially updated state.
        """
        try:
            work()
        except Exception:
            log.exception("command failed", what=what)
            if self.leading:
                self.step_down("its state may be wrong")
                self.context.effects("retake", None)

    def apply(self, command: Command) -> None:
        match command:
            case ReportReceived():
                self.reports.receive(command)
            case InboxRows():
                self._inbox_rows(command)
            case StartLeading():
                self._start_leading(command)
            case CommitResult():
                self.commits.handle_result(command)
            case Prices():
                for flavor in command.flavors:
                    self.inbox.flavors[flavor.name] = flavor
            case LeasesRenewedByPeer():
                for name in command.machines:
                    if name in self.state.machines:
                        self.state.machines[name].last_vouched_at = self.context.clock()
            case PeerCancellations():
                self._apply_peer_cancellations(command)
            case CancellationConfirmed():
                self.inbox.apply_peer_cancellations([command.job])
            case HeldTasksDecision() | DrainRequest() if not self.leading:
                command.reply.set_result(None)
            case _:
                if self.leading:
                    self._apply_leader_command(command)

    def _apply_leader_command(self, command: Command) -> None:
        state, now = self.state, self.context.clock()
        match command:
            case Tick():
                self.tick()
            case DirectAnswer():
                self.direct.answered(command.request.machine, command.report is not None)
                if command.report is not None:
                    self.reports.receive_inspection(command.request.machine, command.report)
            case CloudList():
                self.machine_manager.apply_cloud_list(command.rows, now)
            case MachinesRented():
                state.fleet.record_rented(command.want, command.machines, now)
                state.rental_due = True
                state.tell("rented", **want_fields(command.want), machines=command.machines)
                log.info("rented", what=command.want.label(), machines=command.machines)
            case RentRefused():
                state.tell("refused", **want_fields(command.want))
                state.fleet.record_refused(command.want, now)
                state.rental_due = True
            case MachinesReturned():
                for machine in command.machines:
                    self.machine_manager.remove_machine(machine, "returned")
            case HeldTasksDecision():
                state.release(command)
            case DrainRequest():
                self.machine_manager.drain(command)

    # --- inbox -------------------------------------------------------------------------

    def _apply_peer_cancellations(self, command: PeerCancellations) -> None:
        now = self.context.clock()
        self.inbox.apply_peer_cancellations(
            self.cancellations.record_peer_list(
                command.name, command.process, command.jobs, command.sent, now
            )
        )

    def _inbox_rows(self, command: InboxRows) -> None:
        self.inbox.apply(command)
        view = self.inbox.view
        if self.leading and (view.epoch, view.leader) != (
            self.leading,
            self.context.settings.name,
        ):
            self.step_down("another view is in force")
        if command.applied is not None and not command.applied.done():
            command.applied.set_result(None)

    def _on_job(self, entry: AcceptedJob) -> None:
        if self.leading:
            self.state.apply_accepted(entry)

    def _on_mail(self, member: str, value: object) -> None:
        if self.leading:
            self.context.effects("mail", (member, value))

    # --- leadership --------------------------------------------------------------------

    def _start_leading(self, command: StartLeading) -> None:
        view = self.inbox.view
        if (view.epoch, view.leader) != (command.epoch, self.context.settings.name):
            log.info("epoch ended before leadership began", epoch=command.epoch)
            return
        self._reset_leader_state()
        state, now = self.state, self.context.clock()
        state.since = now
        try:
            self.commits.history_rev = restore(state, self.inbox, command.rows, now)
        except CorruptRecords:
            self.no_lead_before = now + c.UNREADABLE_RETRY_S
            raise
        # Set last: a leader with partial state would start tasks that are already running.
        state.leading, state.rev = command.epoch, command.rev
        waiting = sum(len(job.pending) for job in state.jobs.values() if job.cancelled is None)
        log.info(
            "leading", epoch=state.leading, jobs=len(state.jobs), machines=len(state.machines),
            waiting=waiting,
        )  # fmt: skip
        self._trace_initial_state()
        # Count now: polls before the first tick would otherwise report that nothing is done.
        self._publish_counts()
        self.context.effects("leading", state.leading)
        state.pass_due = True
        self.planning.next_pass = now + c.FIRST_PASS_DELAY_S

    def _trace_initial_state(self) -> None:
        """Trace the deployment and the restored state, from which a recorder starts."""
        state, settings = self.state, self.context.settings
        if self.context.trace is None:
            return
        self.context.trace.begin(state.leading)
        state.tell(
            "lead",
            node=settings.name,
            params=msgspec.to_builtins(settings.params),
            tuning=msgspec.to_builtins(self.context.tuning),
            types=[msgspec.to_builtins(f) for f in self.inbox.flavors.values()],
        )
        for job in state.jobs.values():
            state.tell("accepted", **state.accepted_fields(job), done=len(job.done))
            for task in sorted(job.held):
                state.tell("held", job=job.id, task=task, why="recorded")
        for m in state.machines.values():
            tasks = [[p.job, p.task, p.number] for p in m.placements.values()]
            state.tell("known", **machine_fields(m), tasks=tasks)

    def step_down(self, why: str) -> None:
        if not self.leading:
            return
        log.info("no longer leading", epoch=self.leading, why=why)
        pending_answers = list(self.state.pending_answers.values())
        unresolved = [row[1] for rows in self.state.releases.values() for row in rows]
        unresolved += [drain for rows in self.state.drains.values() for drain in rows]
        if self.commits.in_flight is not None:
            unresolved += [row[2] for row in self.commits.in_flight.releases]
            unresolved += self.commits.in_flight.drains
        if self.context.trace is not None:
            self.context.trace.end(self.leading, why)
        self._reset_leader_state()
        for command in unresolved:
            if not command.reply.done():
                command.reply.set_result(None)
        for pending in pending_answers:
            # This node may no longer answer; the worker tries the next one.
            pending.resolve(None)
        self.context.effects("stepped_down", why)

    # --- periodic and due work -------------------------------------------------------------------

    def advance(self) -> None:
        now = self.context.clock()
        self.planning.run_due(now)
        if self.state.rental_due:
            # If one machine type, zone or purchase kind refused, request the next one immediately.
            self.machine_manager.adjust_fleet(now)
        self.commits.send_due(now)
        self.answers.flush(now)

    def tick(self) -> None:
        now = self.context.clock()
        self.machine_manager.tick(now)
        self.direct.tick(now)
        self._publish_counts()
        self.commits.tick(now)

    def _publish_counts(self) -> None:
        """Update the task counts reported to users, here and (with the pings) by other nodes."""
        self.counts = {
            job.id: (
                job.done_committed,
                sum(1 for p in job.placed.values() if p.state == "running"),
                *((len(job.placed),) if job.rider is not None else ()),
            )
            for job in self.state.jobs.values()
        }
        self._update_task_counts(self.counts)

    def receive_counts(self, node: str, counts: Mapping[str, Sequence[int]]) -> None:
        """Take in a peer's counts; they are authoritative only if the peer is the leader."""
        if not self.leading and node == self.inbox.view.leader:
            self._update_task_counts(counts)

    def _update_task_counts(self, counts: Mapping[str, Sequence[int]]) -> None:
        self.task_counts.update(counts)
        self.task_counts.retain(self.inbox.accepted.keys() | counts.keys())
