"""Every node's copy of the store's inbox rows: the view, the live members and accepted jobs."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from typing import Any

import msgspec

from coveflow import constants as c
from coveflow.core import leases
from coveflow.core.cancellations import Cancellations
from coveflow.core.model import Flavor, Order, Report, Spec
from coveflow.daemon.commands import AcceptedJob, InboxRows, decode_accepted_job
from coveflow.logs import Log
from coveflow.state.keys import JOB, MAIL, MEMBER, REPLY, TYPES, VIEW, View, decode_view

log = Log("coveflow.owner")

# Exceptions raised when a bad record is decoded.
DECODE_ERRORS = (msgspec.ValidationError, KeyError, TypeError, ValueError, AttributeError)


class Inbox:
    """State derived from rows of the store, each newer than the previous one of its key."""

    def __init__(self, name: str, cancellations: Cancellations) -> None:
        self.name = name
        self.cancellations = cancellations  # from peers as well as from the store
        self.view = View()
        self.members: dict[str, int] = {}
        self.accepted: dict[str, AcceptedJob] = {}
        self.flavors: dict[str, Flavor] = {}
        self.types_rev = 0
        self.terminal: OrderedDict[str, dict[str, Any]] = OrderedDict()  # final records
        self.rev = -1
        self.removed: OrderedDict[str, int] = OrderedDict()  # last revision of finished jobs
        self.on_job: Callable[[AcceptedJob], None] = lambda entry: None
        self.on_mail: Callable[[str, Any], None] = lambda member, value: None
        self.on_reply: Callable[[Any], None] = lambda value: None

    def apply(self, command: InboxRows) -> None:
        if command.listed is not None:
            keys = {key for key, _, _ in command.rows}
            for name in [n for n in self.members if MEMBER + n not in keys]:
                del self.members[name]
            for job in [j for j in self.accepted if JOB + j not in keys]:
                del self.accepted[job]
            self.rev = command.listed
        for key, value, rev in command.rows:
            # Changes older than the listing are part of it; applied again they would undo it.
            if command.listed is not None or rev > self.rev:
                self._apply_row(key, value, rev)

    def _apply_row(self, key: str, value: Any, rev: int) -> None:
        if key == VIEW:
            if value is not None and rev > self.view.rev:
                try:
                    self.view = decode_view(value, rev)
                except DECODE_ERRORS as error:
                    # Skip it, so that other rows are not blocked; a leader's commits still guard
                    # the previous view.
                    log.error("view can't be decoded", why=error)
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
            self._apply_job_row(key[len(JOB) :], value, rev)
        elif value is not None and key.startswith(MAIL):
            if key[len(MAIL) :] != self.name:
                self.on_mail(key[len(MAIL) :], value)
        elif value is not None and key == REPLY + self.name:
            self.on_reply(value)

    def _types(self, value: Any) -> None:
        """Add the machine types of the record; a bad record must not block other rows."""
        try:
            flavors = [msgspec.convert(row, Flavor) for row in value["types"]]
        except DECODE_ERRORS as error:
            log.error("machine types can't be decoded", why=error)
            return
        for flavor in flavors:
            if not flavor.invalid_field():
                self.flavors.setdefault(flavor.name, flavor)

    def _apply_job_row(self, name: str, value: Any, rev: int) -> None:
        if value is None:
            known = self.accepted.get(name)
            if known is None or rev > known.rev:
                self.accepted.pop(name, None)
                # The reply to the transaction that wrote the job may arrive after this removal;
                # without this note the job would stay accepted until the next listing.
                self._note_removed(name, rev)
            return
        known = self.accepted.get(name)
        if known is not None and rev <= known.rev:
            return
        if rev <= self.removed.get(name, -1):
            # The watch may deliver a job's last change after its end was committed here; a job
            # added again that way would conflict with its own final record.
            return
        try:
            spec = known.spec if known is not None else msgspec.convert(value["spec"], Spec)
            entry = decode_accepted_job(spec, value, rev)
        except DECODE_ERRORS as error:
            # Polls answer it from the store; a bad record must not block other jobs.
            log.error("job record can't be decoded", job=name, why=error)
            return
        if entry.cancelled is None:
            # This row may be older than a cancellation already reported by a peer.
            entry.cancelled = self.cancellations.cancelled_at(name)
            entry.awaits_row = entry.cancelled is not None
        self.accepted[name] = entry
        self.on_job(entry)

    # --- cancellations -------------------------------------------------------------------

    def apply_peer_cancellations(self, jobs: list[str]) -> None:
        """Apply cancellations reported by peers, ahead of the rows of the store."""
        for name in jobs:
            entry = self.accepted.get(name)
            if entry is not None and entry.cancelled is None:
                cancelled = self.cancellations.cancelled_at(name)
                # Replaced, not modified: a poll in progress compares the entry for which it
                # queried the store.
                entry = self.accepted[name] = msgspec.structs.replace(
                    entry, cancelled=cancelled, awaits_row=True
                )
                self.on_job(entry)

    def cancelled(self, job: str) -> bool:
        """Whether the job is known to be cancelled, from any source."""
        entry = self.accepted.get(job)
        return (
            (entry is not None and entry.cancelled is not None)
            or job in self.cancellations
            or self.terminal.get(job, {}).get("status") == "cancelled"
        )

    def stops(self, report: Report) -> list[Order]:
        """Stop orders for reported tasks of cancelled jobs; every 200 answer must carry them."""
        return leases.stop_orders(report, self.cancelled)

    def cache_final_record(self, job: str, record: dict[str, Any]) -> None:
        """Cache a final record, which never changes, so that polls need not query the store."""
        self.terminal[job] = record
        if len(self.terminal) > c.TERMINAL_CACHE:
            self.terminal.popitem(last=False)

    def record_final(self, job: str, record: dict[str, Any], rev: int) -> None:
        """Record that this node committed the job's final record at that revision."""
        self.cache_final_record(job, record)
        self.accepted.pop(job, None)
        self._note_removed(job, rev)

    def _note_removed(self, job: str, rev: int) -> None:
        self.removed[job] = max(rev, self.removed.get(job, -1))
        if len(self.removed) > c.REMOVED_JOBS_KEPT:
            self.removed.popitem(last=False)
