"""Reports through a mailbox in the store, for nodes that reach the store but not the leader.

Each node has one mail key and the leader one reply key per node; both hold only the newest value. A
mail contains reports that wait for an answer, and machines whose leases the node keeps alive.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

import msgspec

from coveflow import constants as c
from coveflow import wire
from coveflow.core.contacts import Contacts
from coveflow.core.model import Report
from coveflow.daemon.commands import LeasesRenewedByPeer
from coveflow.daemon.malformed_input import MalformedInputLog
from coveflow.daemon.owner import Owner
from coveflow.daemon.report_intake import ReportIntake
from coveflow.logs import Log
from coveflow.net.http import Unavailable
from coveflow.settings import Settings
from coveflow.state import records
from coveflow.state.keys import MAIL, REPLY, VIEW
from coveflow.state.store import Conflict, Store

log = Log("coveflow.agents")


class Mail(msgspec.Struct):
    """A node's mail, as stored."""

    boot: str  # the process that wrote it
    reports: dict[str, Any]  # rows of `wire.mail_report_row` by machine, validated one by one
    alive: list[str]  # machines whose leases the node keeps alive
    number: int = 0  # sequence number within the process


class Answer(msgspec.Struct, array_like=True):
    """The leader's answer, valid only for the report with this session and counter."""

    tenure: int
    counter: int
    orders: dict[str, Any]  # the answer's body, unpacked


class Replies(msgspec.Struct):
    """The leader's reply to a node's mail, as stored."""

    boot: str  # the process whose mail it answers
    answers: dict[str, Answer]  # by machine
    number: int | None = None  # of the mail that it answers; None: by an earlier build


class PendingReport(msgspec.Struct, eq=False):
    """A report that waits for the leader's answer by mail."""

    report: Report
    row: list[Any]
    size: int  # bytes of the row in a mail
    future: asyncio.Future[bytes]
    has_end: bool  # it reports the end of a task
    written: bool = False  # it is in a mail, or too large for any
    mail: int = 0  # number of that mail


class Mailbox:
    """The follower's side: writes mails, and passes answers from replies to waiting reports."""

    def __init__(
        self,
        settings: Settings,
        store: Store,
        boot: str,
        contacts: Contacts,
        unreadable: MalformedInputLog,
        clock: Callable[[], float],
    ) -> None:
        """`boot` identifies this process; `contacts` holds the machines that it keeps alive."""
        self.key = MAIL + settings.name
        value_bytes = settings.params.state.max_value_kb * 1024
        self.max_bytes = int(value_bytes * c.MAIL_FILL_SHARE)  # bytes
        self.max_report_bytes = int(
            value_bytes * c.MAIL_SINGLE_FILL_SHARE
        )  # a larger report fits in no mail
        self.store, self.boot, self.clock = store, boot, clock
        self.contacts, self.unreadable = contacts, unreadable
        self.pending: dict[str, PendingReport] = {}
        self.writer: asyncio.Task[None] | None = None
        self.number = 0
        self.rev: int | None = None  # of this node's mail in the store; None: unknown
        self.vouched_at = -1e9  # when a mail last named machines that are kept alive

    async def ask(self, report: Report, has_end: bool) -> bytes | None:
        """Pass the report to the leader; returns its answer to this report, or None on timeout."""
        machine, row = report.machine, wire.mail_report_row(report)
        size = records.encoded_size(machine, row)
        future: asyncio.Future[bytes] = asyncio.get_running_loop().create_future()
        entry = self.pending[machine] = PendingReport(report, row, size, future, has_end)
        if self.writer is None or self.writer.done():
            self.writer = asyncio.create_task(self._write_all())
        try:
            return await asyncio.wait_for(future, c.MAIL_ANSWER_S)
        except TimeoutError:
            return None
        finally:
            if self.pending.get(machine) is entry:
                del self.pending[machine]

    def deliver(self, value: Any) -> None:
        """Pass the leader's answers to the waiting reports; `value` is the stored reply."""
        try:
            replies = msgspec.convert(value, Replies)
        except msgspec.ValidationError as error:
            self.unreadable.note(error)
            return
        if replies.boot != self.boot:
            return
        for machine, answer in replies.answers.items():
            entry = self.pending.get(machine)
            if entry is None or entry.future.done():
                continue
            # A machine that restarted in its session may use a counter twice, and a reply may be
            # read again, e.g. when the watch begins anew.
            if replies.number is not None and replies.number != entry.mail:
                continue
            if (entry.report.tenure, entry.report.counter) == (answer.tenure, answer.counter):
                entry.future.set_result(wire.pack(answer.orders))

    async def _write_all(self) -> None:
        """Write mails until each pending report has been in one."""
        while any(not entry.written for entry in self.pending.values()):
            try:
                await self._write(self._next_mail())
            except (Unavailable, Conflict) as error:
                log.debug("writing mail failed", why=error)
                self.rev = None
            await asyncio.sleep(c.MAIL_INTERVAL_S)

    def _next_mail(self) -> Mail:
        """Build the next mail: as many pending reports as fit, those with task ends first.

        A report too large for any mail is left out, as the store would reject the whole mail and
        the other reports in it, and those still pending, would be lost.
        """
        self.number += 1
        mail = Mail(self.boot, {}, self._machines_to_vouch_for(), self.number)
        size = len(mail.alive) * c.MACHINE_NAME_BYTES
        waiting = [item for item in self.pending.items() if not item[1].written]
        for machine, entry in sorted(waiting, key=lambda item: not item[1].has_end):
            if entry.size <= self.max_report_bytes:
                size += entry.size
                if size > self.max_bytes and (mail.reports or mail.alive):
                    break
                mail.reports[machine] = entry.row
            entry.written, entry.mail = True, self.number
        return mail

    def _machines_to_vouch_for(self) -> list[str]:
        """Machines to vouch for in the next mail; none if the last such list is recent.

        Without this list, machines whose reports waited long for a place in a mail were returned
        as silent.
        """
        now = self.clock()
        if now - self.vouched_at < c.MAIL_ALIVE_INTERVAL_S:
            return []
        self.vouched_at = now
        most = self.max_bytes // (2 * c.MACHINE_NAME_BYTES)
        return list(self.contacts.locally_renewed(now, c.MAIL_ALIVE_INTERVAL_S))[:most]

    async def _write(self, mail: Mail) -> None:
        """Write the mail, guarded by the revision of the last one.

        Without the guard, a write applied late, after newer mails or by an earlier process, would
        tell the leader again that the machines of old reports are alive.
        """
        if self.rev is None:
            _, self.rev = await self.store.get(self.key)
        value = msgspec.structs.asdict(mail)
        deadline = self.clock() + c.MAIL_ANSWER_S
        self.rev = await self.store.commit_with_retry(
            {self.key: self.rev}, {self.key: value}, deadline, proof=self.key
        )


class MailReader:
    """The leader's side: processes other nodes' mails and replies to them."""

    def __init__(
        self,
        settings: Settings,
        owner: Owner,
        store: Store,
        intake: ReportIntake,
        unreadable: MalformedInputLog,
    ) -> None:
        self.max_bytes = int(
            settings.params.state.max_value_kb * 1024 * c.MAIL_REPLY_FILL_SHARE
        )  # bytes
        self.owner, self.store = owner, store
        self.intake, self.unreadable = intake, unreadable

    async def answer(self, member: str, value: Any) -> None:
        """Process a member's mail (`value`, as stored) and write the reply."""
        try:
            mail = msgspec.convert(value, Mail)
        except msgspec.ValidationError as error:
            self.unreadable.note(error)
            return
        self.owner.put(LeasesRenewedByPeer(mail.alive))
        reports = self._readable_reports(mail)
        tasks = [
            asyncio.create_task(self.intake.answer(report, patient=False)) for report in reports
        ]
        if not tasks:
            return
        await asyncio.wait(tasks, timeout=c.MAIL_REPLY_INTERVAL_S)
        replies = Replies(mail.boot, self._ready_answers(reports, tasks), mail.number)
        try:
            await self.store.commit(
                {VIEW: self.owner.state.rev}, {REPLY + member: msgspec.to_builtins(replies)}
            )
        except (Unavailable, Conflict) as error:
            log.debug("writing mail reply failed", member=member, why=error)

    def _readable_reports(self, mail: Mail) -> list[Report]:
        """The mail's reports without those that can't be decoded."""
        reports = []
        for machine, row in mail.reports.items():
            try:
                reports.append(wire.read_mail_report(machine, row))
            except wire.Malformed as error:
                self.unreadable.note(error)
        return reports

    def _ready_answers(
        self, reports: list[Report], tasks: list[asyncio.Task[bytes | None]]
    ) -> dict[str, Answer]:
        """Answers that are ready and fit in the reply; other workers report again."""
        answers: dict[str, Answer] = {}
        size = 0
        for report, task in zip(reports, tasks, strict=True):
            if not task.done() or task.result() is None or not self.intake.may_renew():
                continue
            answer = Answer(report.tenure, report.counter, wire.unpack(task.result()))
            answer_bytes = records.encoded_size(report.machine, answer)
            if size + answer_bytes <= self.max_bytes:
                size += answer_bytes
                answers[report.machine] = answer
        return answers
