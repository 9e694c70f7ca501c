"""Direct requests of the leader to machines whose reports do not come.

A machine may reach no controller while requests to its own address reach it. Nothing but stops of
cancelled work is ever commanded this way (docs/notes/evidence.md); the rest is inspection.
"""

from __future__ import annotations

import msgspec

from coveflow import constants as c
from coveflow.core.model import Machine, Order
from coveflow.daemon.around import Around
from coveflow.daemon.book import Book
from coveflow.daemon.commands import DirectRequest


class Contact(msgspec.Struct, eq=False):
    """The direct requests to one machine since a report last came from it."""

    next_at: float = 0.0  # no request before
    pause_s: float = c.DIRECT_PAUSE_S
    under_way: bool = False


class Direct:
    def __init__(self, around: Around, book: Book) -> None:
        self.around, self.book = around, book
        self.contacts: dict[str, Contact] = {}
        workers = around.settings.params.workers
        self.lease_s = workers.lease_s
        # The latest that a report comes after the one before, if nothing is wrong.
        self.late_s = 1.25 * workers.report_s + c.DIRECT_LATE_S

    def tick(self, now: float) -> None:
        """Send the requests that are due; those with stops, and the longest due, first."""
        due: list[tuple[bool, float, str, DirectRequest]] = []
        for m in self.book.machines.values():
            quiet_s = now - max(m.last_report_at, m.answer_receipt.reported_at)
            if quiet_s <= self.late_s or m.id in self.book.drop:
                self.contacts.pop(m.id, None)
                continue
            stops = self._stops(m)
            if not stops and not self._doubtful(m, quiet_s, now):
                continue
            contact = self.contacts.setdefault(m.id, Contact())
            if m.address and not contact.under_way and now >= contact.next_at:
                request = DirectRequest(m.id, m.address, self.book.leading, m.tenure, stops)
                due.append((not stops, contact.next_at, m.id, request))
        for name in [name for name in self.contacts if name not in self.book.machines]:
            del self.contacts[name]
        room = c.DIRECT_AT_ONCE - sum(contact.under_way for contact in self.contacts.values())
        for _, _, name, request in sorted(due)[: max(0, room)]:
            self.contacts[name].under_way = True
            self.around.meters.add("direct requests")
            self.around.effects("direct", request)

    def answered(self, machine: str, reached: bool) -> None:
        contact = self.contacts.get(machine)
        if contact is None:
            return
        contact.under_way = False
        contact.next_at = self.around.clock() + contact.pause_s
        longer_s = min(2 * contact.pause_s, c.DIRECT_PAUSE_MAX_S)
        contact.pause_s = c.DIRECT_PAUSE_S if reached else longer_s

    def _stops(self, m: Machine) -> list[Order]:
        """Of cancelled jobs' tasks there: a stop of these does no harm however late it comes."""
        jobs = self.book.jobs
        return [
            Order("stop", *p.key)
            for p in m.placements.values()
            if jobs[p.job].cancelled is not None
        ]

    def _doubtful(self, m: Machine, quiet_s: float, now: float) -> bool:
        """Whether its session should be over, and nobody told lately that it is there."""
        return quiet_s > self.lease_s and now - m.last_vouched_at > self.lease_s / 2
