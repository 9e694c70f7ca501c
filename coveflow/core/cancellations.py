"""The cancellations confirmed to users, and the time up to which this node knows all of them.

A 200 answer to a worker renews its lease, whichever node sends it. The invariant
(docs/notes/evidence.md): if a cancellation was confirmed to a user more than
`cancel_s - lease_s - margin` before a report is accepted, then the node that answers the report
knows it, and the answer contains stop orders for all tasks of the job in the report and no run
order for any. So older cancellations stop tasks by order, and newer ones by the end of the lease.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Iterable

import msgspec

from coveflow import constants as c


class PeerConfirmations(msgspec.Struct, eq=False):
    """What is known about the cancellations that one other member confirmed to users."""

    process: str = ""  # process id; a restarted process has lost what it confirmed
    first_heard_at: float = math.inf  # when this process was first heard
    at: float = -math.inf  # when the request for its latest list was sent
    whole: bool = False  # a store read since it was first heard covers all before


class Cancellations:
    """The cancellations known to this node.

    Times are in s of this node's clock, except cancellation times, which are times of day.
    """

    def __init__(self, members: Iterable[str], cancel_s: float, lease_s: float) -> None:
        self.max_age_s = cancel_s - lease_s - c.CONTACT_MARGIN_S
        self.retention_s = c.CANCEL_KEPT_FACTOR * cancel_s
        self.peers = {name: PeerConfirmations() for name in members}
        self.store_known_until = (
            -math.inf
        )  # everything committed before this was read from the store
        # By job: time of cancellation and when it was last heard of, least recent first.
        self.known: OrderedDict[str, tuple[float, float]] = OrderedDict()
        # The same for those confirmed to users by this process.
        self.confirmed: OrderedDict[str, tuple[float, float]] = OrderedDict()

    def __contains__(self, job: object) -> bool:
        return job in self.known

    def cancelled_at(self, job: str) -> float | None:
        """Time of day of the job's cancellation; None if it is not known to be cancelled."""
        entry = self.known.get(job)
        return None if entry is None else entry[0]

    # --- updates -------------------------------------------------------------------------

    def confirm(self, job: str, cancelled: float, now: float) -> None:
        """Record that a user is about to learn from this node that the job is cancelled.

        Answers to polls and repeated submissions count too: if the answer of the node that wrote
        the cancellation was lost, that node has confirmed nothing that it could announce to peers.
        """
        self._record(self.confirmed, job, cancelled, now)
        self._record(self.known, job, cancelled, now)

    def record_peer_list(
        self, name: str, process: str, jobs: dict[str, float] | None, sent: float, now: float
    ) -> list[str]:
        """Record a member's list, requested at `sent`; returns the jobs that are new here.

        `jobs` is None if the answer has no list (older build, invalid input); the member's
        confirmations are unknown from then on. If the previous list is so old that the member may
        have dropped entries since, the list is treated like that of a new process.
        """
        peer = self.peers.get(name)
        if peer is None:
            return []
        if jobs is None:
            self.peers[name] = PeerConfirmations()
            return []
        if peer.process != process or sent - peer.at > self.retention_s / 2:
            peer = self.peers[name] = PeerConfirmations(process, now)
        peer.at = max(peer.at, sent)
        new_jobs = [job for job in jobs if job not in self.known]
        for job, cancelled in jobs.items():
            self._record(self.known, job, cancelled, now)
        return new_jobs

    def record_store_contact(self, sent: float) -> None:
        """Record that everything committed before `sent` has been read from the store.

        This vouches only for processes first heard by then: the watch may have been opened before
        an earlier process of the same member confirmed its last cancellation.
        """
        self.store_known_until = max(self.store_known_until, sent)
        for peer in self.peers.values():
            if peer.process and peer.first_heard_at <= sent:
                peer.whole = True

    # --- queries -------------------------------------------------------------------------

    def known_until(self) -> float:
        """The time before which every cancellation confirmed to users is known here.

        Only members confirm cancellations, so lists from all of them are as good as a store read.
        If any member is unheard, restarted or unknown, only the store read counts.
        """
        peers = self.peers.values()
        if not peers or not all(peer.whole for peer in peers):
            return self.store_known_until
        return max(self.store_known_until, min(peer.at for peer in peers))

    def may_renew(self, now: float) -> bool:
        """Whether a lease renewed now expires before the deadline of any unknown cancellation."""
        return now - self.known_until() < self.max_age_s

    def recently_confirmed(self, now: float) -> dict[str, float]:
        """The cancellations this process recently confirmed to users, for the other nodes."""
        self._expire(now)
        return {job: cancelled for job, (cancelled, _) in self.confirmed.items()}

    @staticmethod
    def _record(
        table: OrderedDict[str, tuple[float, float]], job: str, cancelled: float, now: float
    ) -> None:
        previous = table.get(job)
        table[job] = (cancelled if previous is None else min(previous[0], cancelled), now)
        table.move_to_end(job)

    def _expire(self, now: float) -> None:
        """Remove old entries, whose tasks have all ended and which the leader has on record."""
        for table in (self.known, self.confirmed):
            while table and now - next(iter(table.values()))[1] > self.retention_s:
                table.popitem(last=False)
