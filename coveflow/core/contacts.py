"""Records of the workers that report to a node, one per machine.

The module does no I/O and reads no clock: the caller passes the time, in s of the node's clock.
Records persist between reports and are removed only by `Contacts.expire`.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

import msgspec

from coveflow import constants as c
from coveflow.core.model import Report

NEVER = -1e9  # s; earlier than any other time


class Contact(msgspec.Struct, eq=False, gc=False):
    """The reports of one machine to this node and how they were handled. Times in s."""

    tenure: int  # of the latest report
    counter: int  # of the latest report
    reported_at: float  # when the latest report came
    accepted_at: float = NEVER  # latest report that was not redirected; reset by a redirect
    locally_renewed_at: float = NEVER  # latest report whose lease this node renewed itself
    redirected_at: float = NEVER
    relay_until: float = NEVER  # until then its reports are relayed, not redirected
    mailed_at: float = NEVER  # latest report that went into the mailbox
    zone_nodes_tried: tuple[str, ...] = ()  # nodes of this zone to which the worker was redirected
    zone_nodes_tried_since: float = NEVER

    def bounced(self, now: float) -> bool:
        """Whether the worker is back soon after a redirect, so it cannot reach the target."""
        return now - self.redirected_at < c.REDIRECT_RETURN_S

    def relaying(self, now: float) -> bool:
        """Whether its reports are relayed rather than redirected, because it bounced."""
        return now < self.relay_until

    def start_relaying(self, now: float) -> None:
        """Relay its reports for a while before trying a redirect again."""
        self.relay_until = now + c.RELAY_PERIOD_S

    def record_redirect(self, now: float) -> None:
        """Record that the worker is redirected to another node and no longer reports here."""
        self.redirected_at, self.accepted_at = now, NEVER


class AnsweredReport(NamedTuple):
    """A report that this node answered itself, as announced to the other nodes."""

    age_s: float
    tenure: int
    counter: int


class Contacts:
    """The records of all machines that reported here recently."""

    def __init__(self, lease_s: float) -> None:
        self.lease_s = lease_s
        # Longer than any time in a record matters. Records must expire so that a machine whose
        # counter restarts is not ignored forever.
        self.keep_s = max(2 * lease_s, c.RELAY_PERIOD_S)
        self.by_machine: dict[str, Contact] = {}
        self.expired_at = NEVER  # when records were last expired

    def record(self, report: Report, now: float) -> Contact | None:
        """Store the report as the machine's latest; returns its record, or None if not newer.

        A report that is not newer is a late duplicate, or its machine's counter has restarted; the
        record stays unchanged.
        """
        # If there are other nodes, their pings trigger this more often.
        if now - self.expired_at > self.lease_s:
            self.expire(now)
        contact = self.by_machine.get(report.machine)
        if contact is None:
            contact = Contact(report.tenure, report.counter, now)
            self.by_machine[report.machine] = contact
            return contact
        if (report.tenure, report.counter) <= (contact.tenure, contact.counter):
            return None
        contact.tenure, contact.counter, contact.reported_at = report.tenure, report.counter, now
        return contact

    def expire(self, now: float) -> None:
        """Remove the machines whose last report is so old that nothing in the record matters."""
        self.expired_at, contacts = now, self.by_machine
        for machine in [
            m for m, contact in contacts.items() if now - contact.reported_at > self.keep_s
        ]:
            del contacts[machine]

    def count_workers(self, now: float) -> int:
        """Number of machines whose reports this node accepted within the last lease."""
        oldest = now - self.lease_s
        return sum(contact.accepted_at >= oldest for contact in self.by_machine.values())

    def locally_renewed(self, now: float, within_s: float) -> Iterator[str]:
        """Machines whose leases this node renewed itself within the last `within_s`."""
        for machine, contact in self.by_machine.items():
            if now - contact.locally_renewed_at < within_s:
                yield machine

    def answered_reports(self, now: float) -> dict[str, AnsweredReport]:
        """Latest reports of the machines whose leases this node renewed itself."""
        oldest = now - self.lease_s
        return {
            machine: AnsweredReport(
                now - contact.locally_renewed_at, contact.tenure, contact.counter
            )
            for machine, contact in self.by_machine.items()
            if contact.locally_renewed_at >= oldest
        }
