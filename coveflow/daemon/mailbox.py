"""Reports by the store's mailbox: of nodes that reach the store but not the leader.

Each node has one mail and the leader writes one reply to each, which hold what is newest. A mail
carries reports that wait for an answer and names machines whose leases the node keeps alive.
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
from coveflow.daemon.commands import Vouched
from coveflow.daemon.intake import Intake
from coveflow.daemon.owner import Owner
from coveflow.daemon.unreadable import Unreadable
from coveflow.logs import Log
from coveflow.net.http import Unavailable
from coveflow.settings import Settings
from coveflow.state import records
from coveflow.state.keys import MAIL, REPLY, VIEW
from coveflow.state.store import Conflict, Store

log = Log("coveflow.agents")


class Mail(msgspec.Struct):
    """A node's mail as the store keeps it."""

    boot: str  # the process that wrote it
    reports: dict[str, Any]  # rows of `wire.mail_report`, by machine; each is checked by itself
    alive: list[str]  # machines whose leases the node keeps alive
    number: int = 0  # counts the process's mails


class Answer(msgspec.Struct, array_like=True):
    """The leader's answer, good only for the very report that it names."""

    tenure: int
    counter: int
    orders: dict[str, Any]  # the answer's body, unpacked


class Replies(msgspec.Struct):
    """The leader's reply to a node's mail as the store keeps it."""

    boot: str  # the process whose mail it answers
    answers: dict[str, Answer]  # by machine


class Posted(msgspec.Struct, eq=False):
    """A report that waits for the leader's answer by mail."""

    report: Report
    row: list[Any]
    size: int  # bytes of the row in a mail
    future: asyncio.Future[bytes]
    has_end: bool  # it reports the end of a task
    written: bool = False  # a mail carries it, or none can


class Mailbox:
    """A node's side: writes the mails, and gives the answers in the replies to those who wait."""

    def __init__(
        self,
        settings: Settings,
        store: Store,
        boot: str,
        contacts: Contacts,
        unreadable: Unreadable,
        clock: Callable[[], float],
    ) -> None:
        """`boot` names this process; `contacts` knows the machines that are kept alive here."""
        self.key = MAIL + settings.name
        value_bytes = settings.params.state.value_kb * 1024
        self.room = int(value_bytes * c.MAIL_PART)  # bytes
        self.largest = int(value_bytes * c.MAIL_ALONE_PART)  # bytes of a report alone in a mail
        self.store, self.boot, self.clock = store, boot, clock
        self.contacts, self.unreadable = contacts, unreadable
        self.posted: dict[str, Posted] = {}
        self.writing: asyncio.Task[None] | None = None
        self.number = 0
        self.rev: int | None = None  # of this node's mail in the store; None: not known
        self.vouched_at = -1e9  # when a mail last named machines that are kept alive

    async def ask(self, report: Report, has_end: bool) -> bytes | None:
        """Pass the report to the leader; its answer to this very report, or None in that time."""
        machine, row = report.machine, wire.mail_report(report)
        size = records.encoded_size(machine, row)
        future: asyncio.Future[bytes] = asyncio.get_running_loop().create_future()
        post = self.posted[machine] = Posted(report, row, size, future, has_end)
        if self.writing is None or self.writing.done():
            self.writing = asyncio.create_task(self._write_all())
        try:
            return await asyncio.wait_for(future, c.MAIL_WAIT_S)
        except TimeoutError:
            return None
        finally:
            if self.posted.get(machine) is post:
                del self.posted[machine]

    def deliver(self, value: Any) -> None:
        """Give the leader's answers to the reports that wait; `value` is the store's record."""
        try:
            replies = msgspec.convert(value, Replies)
        except msgspec.ValidationError as error:
            self.unreadable.tell(error)
            return
        if replies.boot != self.boot:
            return
        for machine, answer in replies.answers.items():
            post = self.posted.get(machine)
            if post is None or post.future.done():
                continue
            if (post.report.tenure, post.report.counter) == (answer.tenure, answer.counter):
                post.future.set_result(wire.pack(answer.orders))

    async def _write_all(self) -> None:
        """Write mails until each waiting report was in one."""
        while any(not post.written for post in self.posted.values()):
            try:
                await self._write(self._next())
            except (Unavailable, Conflict) as error:
                log.debug("mail failed", why=error)
                self.rev = None
            await asyncio.sleep(c.MAIL_PACE_S)

    def _next(self) -> Mail:
        """The next mail: as many waiting reports as it has room for, those with ends first.

        One that no mail can carry is left out. The store refused such a mail, and what else was in
        it or waited was lost.
        """
        self.number += 1
        mail = Mail(self.boot, {}, self._alive(), self.number)
        size = len(mail.alive) * c.NAME_BYTES
        waiting = [entry for entry in self.posted.items() if not entry[1].written]
        for machine, post in sorted(waiting, key=lambda entry: not entry[1].has_end):
            if post.size <= self.largest:
                size += post.size
                if size > self.room and (mail.reports or mail.alive):
                    break
                mail.reports[machine] = post.row
            post.written = True
        return mail

    def _alive(self) -> list[str]:
        """Machines to vouch for with the next mail; none if that was done just now.

        Machines whose turn in the mail did not come for long were returned as silent.
        """
        now = self.clock()
        if now - self.vouched_at < c.MAIL_ALIVE_S:
            return []
        self.vouched_at = now
        most = self.room // (2 * c.NAME_BYTES)
        return list(self.contacts.locally_renewed(now, c.MAIL_ALIVE_S))[:most]

    async def _write(self, mail: Mail) -> None:
        """Guarded by the last mail's revision: one that the store carries out late, after newer
        ones or an earlier process's, would tell the leader again that old reports' machines live.
        """
        if self.rev is None:
            _, self.rev = await self.store.get(self.key)
        value = msgspec.structs.asdict(mail)
        give_up = self.clock() + c.MAIL_WAIT_S
        self.rev = await self.store.commit_with_retry(
            {self.key: self.rev}, {self.key: value}, give_up, proof=self.key
        )


class MailReader:
    """The leader's side: takes in other nodes' mails and replies to them."""

    def __init__(
        self,
        settings: Settings,
        owner: Owner,
        store: Store,
        intake: Intake,
        unreadable: Unreadable,
    ) -> None:
        self.room = int(settings.params.state.value_kb * 1024 * c.REPLY_PART)  # bytes
        self.owner, self.store = owner, store
        self.intake, self.unreadable = intake, unreadable

    async def answer(self, member: str, value: Any) -> None:
        """Take in a member's mail, the store's record of it, and write the reply."""
        try:
            mail = msgspec.convert(value, Mail)
        except msgspec.ValidationError as error:
            self.unreadable.tell(error)
            return
        self.owner.put(Vouched(mail.alive))
        reports = self._reports(mail)
        tasks = [
            asyncio.create_task(self.intake.answer(report, patient=False)) for report in reports
        ]
        if not tasks:
            return
        await asyncio.wait(tasks, timeout=c.MAIL_REPLY_S)
        replies = Replies(mail.boot, self._ready(reports, tasks))
        try:
            await self.store.commit(
                {VIEW: self.owner.book.rev}, {REPLY + member: msgspec.to_builtins(replies)}
            )
        except (Unavailable, Conflict) as error:
            log.debug("reply failed", member=member, why=error)

    def _reports(self, mail: Mail) -> list[Report]:
        """The mail's reports, without those that can't be read."""
        reports = []
        for machine, row in mail.reports.items():
            try:
                reports.append(wire.read_mail_report(machine, row))
            except wire.Malformed as error:
                self.unreadable.tell(error)
        return reports

    def _ready(
        self, reports: list[Report], tasks: list[asyncio.Task[bytes | None]]
    ) -> dict[str, Answer]:
        """The answers that are there and have room; other workers' next reports ask again."""
        answers: dict[str, Answer] = {}
        size = 0
        for report, task in zip(reports, tasks, strict=True):
            if not task.done() or task.result() is None or not self.intake.may_renew():
                continue
            answer = Answer(report.tenure, report.counter, wire.unpack(task.result()))
            more = records.encoded_size(report.machine, answer)
            if size + more <= self.room:
                size += more
                answers[report.machine] = answer
        return answers
