"""What every node knows from the store's inbox: the view, the live members, accepted jobs."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from typing import Any

import msgspec

from coveflow import constants as c
from coveflow.core import leases
from coveflow.core.cancellations import Cancellations
from coveflow.core.model import Flavor, Order, Report, Spec
from coveflow.daemon.commands import Accepted, InboxRows, accepted_of
from coveflow.logs import Log
from coveflow.state.keys import JOB, MAIL, MEMBER, REPLY, TYPES, VIEW, View, decode_view

log = Log("coveflow.owner")

# What reading a bad record raises.
UNREADABLE = (msgspec.ValidationError, KeyError, TypeError, ValueError, AttributeError)


class Inbox:
    """Changed by rows of the store only, each newer than the last of its key."""

    def __init__(self, name: str, cancellations: Cancellations) -> None:
        self.name = name
        self.cancellations = cancellations  # by whatever word, not the store's alone
        self.view = View()
        self.members: dict[str, int] = {}
        self.accepted: dict[str, Accepted] = {}
        self.flavors: dict[str, Flavor] = {}
        self.types_rev = 0
        self.terminal: OrderedDict[str, dict[str, Any]] = OrderedDict()  # final records
        self.rev = -1
        self.removed: OrderedDict[str, int] = OrderedDict()  # jobs over, by their last revision
        self.on_job: Callable[[Accepted], None] = lambda entry: None
        self.on_mail: Callable[[str, Any], None] = lambda member, value: None
        self.on_reply: Callable[[Any], None] = lambda value: None

    def take(self, command: InboxRows) -> None:
        if command.listed is not None:
            keys = {key for key, _, _ in command.rows}
            for name in [n for n in self.members if MEMBER + n not in keys]:
                del self.members[name]
            for job in [j for j in self.accepted if JOB + j not in keys]:
                del self.accepted[job]
            self.rev = command.listed
        for key, value, rev in command.rows:
            # Changes older than the listing are part of it; told again they would undo it.
            if command.listed is not None or rev > self.rev:
                self._row(key, value, rev)

    def _row(self, key: str, value: Any, rev: int) -> None:
        if key == VIEW:
            if value is not None and rev > self.view.rev:
                try:
                    self.view = decode_view(value, rev)
                except UNREADABLE as error:
                    # No other row may wait for it, and a leader's commits guard the one before.
                    log.error("view can't be read", why=error)
                    return
                log.info("view", epoch=self.view.epoch, leader=self.view.leader)
        elif key == TYPES:
            if value is not None and rev > self.types_rev:
                self.types_rev = rev
                self._types(value)
        elif key.startswith(MEMBER):
            name = key[len(MEMBER) :]
            if value is None:
                self.members.pop(name, None)
            else:
                self.members[name] = rev
        elif key.startswith(JOB):
            self._job_row(key[len(JOB) :], value, rev)
        elif value is not None and key.startswith(MAIL):
            if key[len(MAIL) :] != self.name:
                self.on_mail(key[len(MAIL) :], value)
        elif value is not None and key == REPLY + self.name:
            self.on_reply(value)

    def _types(self, value: Any) -> None:
        """Those machine types of the record that can be read; no other row may wait for them."""
        try:
            flavors = [msgspec.convert(row, Flavor) for row in value["types"]]
        except UNREADABLE as error:
            log.error("machine types can't be read", why=error)
            return
        for flavor in flavors:
            if not flavor.invalid_field():
                self.flavors.setdefault(flavor.name, flavor)

    def _job_row(self, name: str, value: Any, rev: int) -> None:
        if value is None:
            known = self.accepted.get(name)
            if known is None or rev > known.rev:
                self.accepted.pop(name, None)
                # The answer to the transaction that wrote it may come to this node only now: a job
                # taken in by that stayed among the accepted ones until the next listing.
                self._note_removed(name, rev)
            return
        known = self.accepted.get(name)
        if known is not None and rev <= known.rev:
            return
        if rev <= self.removed.get(name, -1):
            # The watch may tell a job's last change after its end was committed here; a job
            # taken in again that way once conflicted with its own final record.
            return
        try:
            spec = known.spec if known is not None else msgspec.convert(value["spec"], Spec)
            entry = accepted_of(spec, value, rev)
        except UNREADABLE as error:
            # It is known to its user by the store's word; no other job may wait for its sake.
            log.error("job record can't be read", job=name, why=error)
            return
        if entry.cancelled is None:
            # An older row came after the news.
            entry.cancelled = self.cancellations.cancelled_at(name)
            entry.told = entry.cancelled is not None
        self.accepted[name] = entry
        self.on_job(entry)

    # --- cancellations -------------------------------------------------------------------

    def told_cancelled(self, jobs: list[str]) -> None:
        """Peers told that these are cancelled; the store, whose word it was, will tell so too."""
        for name in jobs:
            entry = self.accepted.get(name)
            if entry is not None and entry.cancelled is None:
                cancelled = self.cancellations.cancelled_at(name)
                # A new one: a poll under way compares the one that it asked the store about.
                entry = self.accepted[name] = msgspec.structs.replace(
                    entry, cancelled=cancelled, told=True
                )
                self.on_job(entry)

    def cancelled(self, job: str) -> bool:
        """Whether the job is known to be cancelled, by whatever word."""
        entry = self.accepted.get(job)
        return (
            (entry is not None and entry.cancelled is not None)
            or job in self.cancellations
            or self.terminal.get(job, {}).get("status") == "cancelled"
        )

    def stops(self, report: Report) -> list[Order]:
        """Stops of all that the report names of cancelled jobs, which any 200 has to bring."""
        return leases.stop_orders(report, self.cancelled)

    def remember_terminal(self, job: str, record: dict[str, Any]) -> None:
        """A final state never changes, so it may be told without asking again."""
        self.terminal[job] = record
        if len(self.terminal) > c.TERMINAL_CACHE:
            self.terminal.popitem(last=False)

    def ended(self, job: str, record: dict[str, Any], rev: int) -> None:
        """This node committed the job's final state at that revision."""
        self.remember_terminal(job, record)
        self.accepted.pop(job, None)
        self._note_removed(job, rev)

    def _note_removed(self, job: str, rev: int) -> None:
        self.removed[job] = max(rev, self.removed.get(job, -1))
        if len(self.removed) > c.REMOVED_KEPT:
            self.removed.popitem(last=False)
