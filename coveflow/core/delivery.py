"""How a report accepted by a node reaches the leader, and the fallback if it does not.

The module does no I/O and reads no clock: the caller passes the time, in s. Decisions are recorded
in the machine's `Contact`.
"""

from __future__ import annotations

from enum import Enum, auto
from typing import Protocol

from coveflow import constants as c
from coveflow.core import redirects
from coveflow.core.contacts import Contact


class DeliveryPath(Enum):
    """How a node that is not the leader handles a report."""

    BATCH = auto()  # sent to the leader together with other reports
    RELAY = auto()  # sent to the leader on its own
    REDIRECT = auto()  # the worker is redirected to the leader
    MAILBOX = auto()  # left for the leader in the store
    KEEP_ALIVE = auto()  # answered here: renews the lease and stops cancelled work


class LeaderLink(Protocol):
    """What the deciding node currently knows about its connection to the leader."""

    def store_fresh(self, now: float) -> bool:
        """Whether the store answered this node recently."""

    def leader_is_member(self) -> bool:
        """Whether the leader is one of the live members."""

    def leader_answers(self) -> bool:
        """Whether the leader answered this node recently and claims to lead."""

    def leader_lost(self, now: float) -> bool:
        """Whether the leader has been silent for longer than its lease would last after a crash."""

    def refused(self, now: float) -> bool:
        """Whether the leader and all other nodes refuse connections while the store answers."""

    def isolated_from_nodes(self, now: float) -> bool:
        """Whether this node hears the store but no other node, not even one of its zone."""


def path_at_home(contact: Contact, link: LeaderLink, now: float) -> DeliveryPath:
    """The path of a report that just came to the machine's home node."""
    if link.leader_lost(now):
        # A dead leader's lease would have expired by now, so the link to it must be cut.
        if (
            link.isolated_from_nodes(now)
            and link.leader_is_member()
            and _redirect_unless_bounced(contact, now)
        ):
            return DeliveryPath.REDIRECT
        return fallback_path(link, now)
    if not link.refused(now):
        return DeliveryPath.BATCH
    return path_after_batch(contact, link, now, now)


def path_after_batch(
    contact: Contact, link: LeaderLink, accepted_at: float, now: float
) -> DeliveryPath:
    """The path of a report, accepted at `accepted_at`, that went unanswered in a batch."""
    if link.refused(now) and link.leader_is_member():
        # A firewall between the nodes refuses at once, so there is no need to wait until the
        # leader's lease has expired; with that wait nothing started for 6.5 s. If the other nodes
        # have died instead, the redirected workers are back here a second later.
        if _redirect_unless_bounced(contact, accepted_at):
            return DeliveryPath.REDIRECT
        if now - accepted_at < c.RELAY_TIMEOUT_S / 2:
            # The worker bounced. The mailbox also tells the leader that the worker is alive.
            return fallback_path(link, accepted_at)
    return DeliveryPath.KEEP_ALIVE


def path_at_follower(contact: Contact, link: LeaderLink, now: float) -> DeliveryPath:
    """The path of a report that just came, if machines have no homes.

    Then only the leader takes reports.
    """
    if not link.leader_answers():
        return fallback_path(link, now)
    if redirects.relays_after_bounce(contact, now):
        return DeliveryPath.RELAY
    contact.record_redirect(now)
    return DeliveryPath.REDIRECT


def path_after_relay(link: LeaderLink, accepted_at: float, now: float) -> DeliveryPath:
    """The path of a report, accepted at `accepted_at`, that went unanswered when relayed."""
    if now - accepted_at > c.RELAY_TIMEOUT_S / 2:
        # No time is left for the mailbox: the worker would give up on this node.
        return DeliveryPath.KEEP_ALIVE
    return fallback_path(link, accepted_at)


def fallback_path(link: LeaderLink, now: float) -> DeliveryPath:
    """The path of a report that cannot reach the leader directly."""
    return DeliveryPath.MAILBOX if link.store_fresh(now) else DeliveryPath.KEEP_ALIVE


def admit_to_mailbox(contact: Contact, has_end: bool, now: float) -> bool:
    """Whether a report goes into the mailbox; if so, recorded as the machine's latest there.

    The mailbox cannot take all reports of a zone, so other reports are rate-limited and those with
    the end of a task always pass. Queueing all of them left slots empty for ten seconds and delayed
    task ends.
    """
    if not has_end and now - contact.mailed_at < c.MAIL_MACHINE_INTERVAL_S:
        return False
    contact.mailed_at = now
    return True


def _redirect_unless_bounced(contact: Contact, now: float) -> bool:
    """Redirect the worker to the leader, unless it bounced off the last redirect."""
    if redirects.relays_after_bounce(contact, now):
        contact.start_relaying(now)
        return False
    contact.record_redirect(now)
    return True
