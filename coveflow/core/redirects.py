"""Which node should take a worker's reports: this one, the machine's home, another or the leader.

A redirect (421) does not renew the lease. A worker that is back soon after a redirect cannot reach
the target, so this node relays its reports for a while. The module does no I/O and reads no clock:
the caller passes the time, in s. Decisions are recorded in the machine's `Contact`.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

import msgspec

from coveflow import constants as c
from coveflow.core import routing
from coveflow.core.contacts import NEVER, Contact
from coveflow.core.model import Report


class Redirect(msgspec.Struct, frozen=True):
    """An instruction to the worker to report to another node from now on."""

    node: str
    forwards_report: bool  # whether the redirected report is passed to the leader


class Nodes(Protocol):
    """What the deciding node currently knows about itself and the others."""

    name: str  # of the deciding node

    def cut_off(self, now: float) -> bool:
        """Whether it hears neither the store nor any other node."""

    def lost_zone_nodes(self) -> Sequence[str]:
        """Other nodes of its zone that fell silent at the same time as all others."""

    def home(self, machine: str, zone: str, now: float) -> str:
        """The node that should take the machine's reports; "" if there is none."""


def decide(
    report: Report, contact: Contact, nodes: Nodes, has_homes: bool, now: float
) -> Redirect | None:
    """Where to redirect the worker whose report just came; None: the report is accepted here.

    `has_homes`: whether machines have home nodes; otherwise only the leader takes reports.
    """
    if nodes.cut_off(now):
        node = untried_zone_node(report.machine, contact, nodes.lost_zone_nodes(), now)
        if node:
            contact.accepted_at = NEVER
            return Redirect(node, forwards_report=False)
    if has_homes:
        home = other_home(report, contact, nodes, now)
        if home:
            contact.record_redirect(now)
            return Redirect(home, forwards_report=True)
    contact.accepted_at = now
    return None


def untried_zone_node(machine: str, contact: Contact, zone_nodes: Sequence[str], now: float) -> str:
    """A node of the zone to which an isolated node redirects the worker; "" if all were tried.

    This node could renew the lease for as long as its knowledge of cancellations is recent enough,
    but in that half minute no task end of the worker is reported and nothing new starts. A zone's
    only controller, however, cannot tell whether its whole zone is cut off, and its workers would
    then reach nobody else. A worker that comes back is sent to the next node of the zone and stays
    once all were tried, so that two isolated nodes do not send workers to each other forever.
    """
    tried, since = contact.zone_nodes_tried, contact.zone_nodes_tried_since
    if not tried or now - since > c.RELAY_PERIOD_S:
        tried, since = (), now
    untried = [node for node in zone_nodes if node not in tried]
    if not untried:
        return ""
    node = max(untried, key=lambda name: routing.weight(machine, name))
    contact.zone_nodes_tried, contact.zone_nodes_tried_since = (*tried, node), since
    return node


def other_home(report: Report, contact: Contact, nodes: Nodes, now: float) -> str:
    """The machine's home node, if it is another one that the worker may reach; else ""."""
    if contact.relaying(now):
        return ""
    home = nodes.home(report.machine, report.zone, now)
    if home in ("", nodes.name):
        return ""
    if contact.bounced(now):
        contact.start_relaying(now)
        return ""
    return home


def relays_after_bounce(contact: Contact, now: float) -> bool:
    """Whether to relay the worker's reports instead of redirecting it, as it bounced recently."""
    if contact.relaying(now):
        return True
    if contact.bounced(now):
        contact.start_relaying(now)
        return True
    return False
