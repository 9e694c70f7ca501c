"""Which node takes a machine's reports: rendezvous hashing over the nodes that are in order.

Thaler and Ravishankar, "Using name-based mappings to increase hit rates", 1998: every node computes
the same answer, and when a node goes only the machines that were its own move.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from hashlib import blake2b


def weight(machine: str, node: str) -> int:
    """The same in every process, whatever its hash seed."""
    return int.from_bytes(blake2b(f"{machine}\0{node}".encode(), digest_size=8).digest(), "big")


def home(
    machine: str, zone: str, nodes: Mapping[str, str], exposed: frozenset[str] = frozenset()
) -> str:
    """The node for the machine's reports; `nodes` gives each one's zone. "" if there is none.

    Nodes of the machine's own zone come first, so that a cut between zones leaves the reports of
    each with a node that hears them. Among them the `exposed` come last.
    """
    near = [name for name, where in nodes.items() if where == zone] or list(nodes)
    near = [name for name in near if name not in exposed] or near
    return max(near, key=lambda name: weight(machine, name), default="")


def exposed(names: Iterable[str], gone: Iterable[str]) -> frozenset[str]:
    """Nodes whose workers, if they lost them, would ask one that is gone next.

    A worker that gets no answer gives it up after 4 s and asks the next node, in the order that all
    of them know, a second later. With two such nodes in a row a lease of 10 or 12 s is over.
    """
    order, lost = sorted(names, key=lambda name: (len(name), name)), set(gone)
    after = zip(order, [*order[1:], *order[:1]], strict=True)
    return frozenset(name for name, following in after if following in lost)
