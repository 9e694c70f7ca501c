"""The one owner of a node's state: a queue of commands, worked in batches.

On every node it holds the inbox: the view, the live members and the accepted jobs. On the
leader it also holds the book, all that is known of the fleet and of all attempts, and the parts
that work on it. Nothing else changes any of it. What a command decides takes effect outside
(orders, answers) only after the store has committed it.
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
from coveflow.daemon.around import Around
from coveflow.daemon.book import Book
from coveflow.daemon.commands import (
    Accepted,
    CloudList,
    Command,
    Confirmed,
    DirectAnswer,
    Drain,
    Heard,
    InboxRows,
    Lead,
    PeerWord,
    Prices,
    Refused,
    Release,
    Rented,
    Returned,
    Settled,
    Tick,
    Vouched,
)
from coveflow.daemon.commits import Commits
from coveflow.daemon.direct_requests import DirectRequests
from coveflow.daemon.inbox import Inbox
from coveflow.daemon.keeper import Keeper, want_fields
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

log = Log("coveflow.owner")


class Owner:
    def __init__(
        self,
        settings: Settings,
        tuning: Tuning,
        clock: Callable[[], float],
        wall: Callable[[], float],
    ) -> None:
        self.around = Around(settings, tuning, clock, wall, Meters())
        self.queue: asyncio.Queue[Command] = asyncio.Queue()
        workers = settings.params.workers
        self.cancellations = Cancellations(
            [member.name for member in settings.members if member.name != settings.name],
            workers.cancel_s, workers.lease_s,
        )  # fmt: skip
        self.inbox = Inbox(settings.name, self.cancellations)
        self.inbox.on_job = self._on_job
        self.inbox.on_mail = self._on_mail
        self.inbox.on_reply = lambda value: self.around.effects("reply", value)
        self.busy = BusyShare(clock())
        self.lead_after = -math.inf  # no try to lead before this
        self.task_counts = TaskCounts()  # what users are told
        self._new_book()

    def _new_book(self) -> None:
        """Nothing of an earlier lead is kept: the store is where it is known from."""
        around, inbox = self.around, self.inbox
        self.book = Book(around)
        self.answers = ReportAnswers(around, inbox, self.book)
        self.reports = Reports(around, inbox, self.book, self.answers)
        self.commits = Commits(around, inbox, self.book, self.step_down)
        self.keeper = Keeper(around, inbox, self.book)
        self.direct = DirectRequests(around, self.book)
        self.planning = Planning(around, inbox, self.book, self.keeper.rent)
        # Done and running tasks, for peers; of another interface's jobs also those placed.
        self.counts: dict[str, tuple[int, ...]] = {}

    @property
    def leading(self) -> int:
        """The epoch in which this process leads; 0 if it does not."""
        return self.book.leading

    # --- as membership sees it -----------------------------------------------------------

    @property
    def view(self) -> View:
        return self.inbox.view

    @property
    def members(self) -> dict[str, int]:
        return self.inbox.members

    def may_take_over(self, now: float) -> bool:
        return bool(self.inbox.flavors) and now >= self.lead_after

    async def apply_inbox_rows(self, rows: list[tuple[str, Any, int]], listed: int | None) -> None:
        applied = asyncio.get_running_loop().create_future()
        self.put(InboxRows(rows, listed, applied))
        await applied

    def lead(self, epoch: int, rev: int, rows: list[tuple[str, Any, int]]) -> None:
        self.put(Lead(epoch, rev, rows))

    def confirm(self, job: str, cancelled: float) -> None:
        """A user is about to be told here that the job was cancelled at that time of day.

        This node acts on it at once, as its peers do: a leader that told a poll of a cancellation
        which another node wrote went on to run the job until its own watch told it too.
        """
        self.cancellations.confirm(job, cancelled, self.around.clock())
        entry = self.inbox.accepted.get(job)
        if entry is not None and entry.cancelled is None:
            self.put(Confirmed(job))

    # --- the queue ---------------------------------------------------------------------

    def put(self, command: Command) -> None:
        self.queue.put_nowait(command)

    async def run(self) -> None:
        while True:
            batch = [await self.queue.get()]
            while not self.queue.empty() and len(batch) < c.BATCH_COMMANDS:
                batch.append(self.queue.get_nowait())
            self.work(batch)
            if len(batch) == c.BATCH_COMMANDS:
                # The lease's renewal and answers that are ready go before the next batch.
                await asyncio.sleep(0)

    def work(self, batch: list[Command]) -> None:
        """Apply a batch, then do what it made due."""
        began = self.around.clock()
        self._work(batch)
        took = self.around.clock() - began
        reports = sum(isinstance(command, Heard) for command in batch)
        self.busy.add_busy_time(self.around.batch_s(reports, took))

    def _work(self, batch: list[Command]) -> None:
        for command in batch:
            self._guarded(lambda command=command: self.apply(command), type(command).__name__)
        if self.leading:
            self._guarded(self.advance, "what was due")

    def _guarded(self, work: Callable[[], None], what: str) -> None:
        """One bad message must not end the node, nor leave a leader with half-changed state."""
        try:
            work()
        except Exception:
            log.exception("command failed", what=what)
            if self.leading:
                self.step_down("its state may be wrong")
                self.around.effects("retake", None)

    def apply(self, command: Command) -> None:
        match command:
            case Heard():
                self.reports.heard(command)
            case InboxRows():
                self._inbox_rows(command)
            case Lead():
                self._lead(command)
            case Settled():
                self.commits.settled(command)
            case Prices():
                for flavor in command.flavors:
                    self.inbox.flavors[flavor.name] = flavor
            case Vouched():
                for name in command.machines:
                    if name in self.book.machines:
                        self.book.machines[name].last_vouched_at = self.around.clock()
            case PeerWord():
                self._peer_word(command)
            case Confirmed():
                self.inbox.told_cancelled([command.job])
            case Release() | Drain() if not self.leading:
                command.reply.set_result(None)
            case _:
                if self.leading:
                    self._of_the_fleet(command)

    def _of_the_fleet(self, command: Command) -> None:
        book, now = self.book, self.around.clock()
        match command:
            case Tick():
                self.tick()
            case DirectAnswer():
                self.direct.answered(command.request.machine, command.report is not None)
                if command.report is not None:
                    self.reports.inspected(command.request.machine, command.report)
            case CloudList():
                self.keeper.listed(command.rows, now)
            case Rented():
                book.fleet.record_rented(command.want, command.machines, now)
                book.fleet_due = True
                book.tell("rented", **want_fields(command.want), machines=command.machines)
                log.info("rented", what=command.want.label(), machines=command.machines)
            case Refused():
                book.tell("refused", **want_fields(command.want))
                book.fleet.record_refused(command.want, now)
                book.fleet_due = True
            case Returned():
                for machine in command.machines:
                    self.keeper.gone(machine, "returned")
            case Release():
                book.release(command)
            case Drain():
                self.keeper.drain(command)

    # --- inbox -------------------------------------------------------------------------

    def _peer_word(self, command: PeerWord) -> None:
        now = self.around.clock()
        self.inbox.told_cancelled(
            self.cancellations.record_peer_list(
                command.name, command.process, command.jobs, command.sent, now
            )
        )

    def _inbox_rows(self, command: InboxRows) -> None:
        self.inbox.take(command)
        view = self.inbox.view
        if self.leading and (view.epoch, view.leader) != (
            self.leading,
            self.around.settings.name,
        ):
            self.step_down("another view is in force")
        if command.applied is not None and not command.applied.done():
            command.applied.set_result(None)

    def _on_job(self, entry: Accepted) -> None:
        if self.leading:
            self.book.adopt(entry)

    def _on_mail(self, member: str, value: object) -> None:
        if self.leading:
            self.around.effects("mail", (member, value))

    # --- leadership --------------------------------------------------------------------

    def _lead(self, command: Lead) -> None:
        view = self.inbox.view
        if (view.epoch, view.leader) != (command.epoch, self.around.settings.name):
            log.info("epoch over before it began", epoch=command.epoch)
            return
        self._new_book()
        book, now = self.book, self.around.clock()
        book.since = now
        try:
            self.commits.history_rev = restore(book, self.inbox, command.rows, now)
        except CorruptRecords:
            self.lead_after = now + c.UNREADABLE_S
            raise
        # Last of all: with a part of its state a leader would start again what it forgot.
        book.leading, book.rev = command.epoch, command.rev
        waiting = sum(len(job.pending) for job in book.jobs.values() if job.cancelled is None)
        log.info(
            "leading", epoch=book.leading, jobs=len(book.jobs), machines=len(book.machines),
            waiting=waiting,
        )  # fmt: skip
        self._trace_lead()
        # Polls that came before the first tick were told that nothing was done.
        self._count()
        self.around.effects("leading", book.leading)
        book.pass_due = True
        self.planning.next_pass = now + c.LEAD_PASS_S

    def _trace_lead(self) -> None:
        """A recorder starts from here: the deployment, and all that is known by now."""
        book, settings = self.book, self.around.settings
        if self.around.trace is None:
            return
        self.around.trace.begin(book.leading)
        book.tell(
            "lead",
            node=settings.name,
            params=msgspec.to_builtins(settings.params),
            tuning=msgspec.to_builtins(self.around.tuning),
            types=[msgspec.to_builtins(f) for f in self.inbox.flavors.values()],
        )
        for job in book.jobs.values():
            book.tell("accepted", **book.accepted_fields(job), done=len(job.done))
            for task in sorted(job.held):
                book.tell("held", job=job.id, task=task, why="recorded")
        for m in book.machines.values():
            tasks = [[p.job, p.task, p.number] for p in m.placements.values()]
            book.tell("known", **machine_fields(m), tasks=tasks)

    def step_down(self, why: str) -> None:
        if not self.leading:
            return
        log.info("no longer leading", epoch=self.leading, why=why)
        held = list(self.book.held.values())
        unsure = [row[1] for rows in self.book.releases.values() for row in rows]
        unsure += [drain for rows in self.book.drains.values() for drain in rows]
        if self.commits.in_flight is not None:
            unsure += [row[2] for row in self.commits.in_flight.releases]
            unsure += self.commits.in_flight.drains
        if self.around.trace is not None:
            self.around.trace.end(self.leading, why)
        self._new_book()
        for command in unsure:
            if not command.reply.done():
                command.reply.set_result(None)
        for waiting in held:
            # Not entitled any more: the worker tries the next node.
            waiting.give(None)
        self.around.effects("stepped_down", why)

    # --- what is due -------------------------------------------------------------------

    def advance(self) -> None:
        now = self.around.clock()
        self.planning.due(now)
        if self.book.fleet_due:
            # What one type, zone or kind refused is asked of the next at once.
            self.keeper.rent(now)
        self.commits.due(now)
        self.answers.flush(now)

    def tick(self) -> None:
        now = self.around.clock()
        self.keeper.tick(now)
        self.direct.tick(now)
        self._count()
        self.commits.tick(now)

    def _count(self) -> None:
        """What users are told of their jobs, by this node and, with its pings, by the others."""
        self.counts = {
            job.id: (
                job.done_committed,
                sum(1 for p in job.placed.values() if p.state == "running"),
                *((len(job.placed),) if job.rider is not None else ()),
            )
            for job in self.book.jobs.values()
        }
        self._show(self.counts)

    def hear_counts(self, node: str, counts: Mapping[str, Sequence[int]]) -> None:
        """A peer's counts, which are those of the fleet if it leads."""
        if not self.leading and node == self.inbox.view.leader:
            self._show(counts)

    def _show(self, counts: Mapping[str, Sequence[int]]) -> None:
        self.task_counts.update(counts)
        self.task_counts.retain(self.inbox.accepted.keys() | counts.keys())
