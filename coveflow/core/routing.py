"""Which node takes a machine's reports: rendezvous hashing over the healthy nodes.

See Thaler and Ravishankar, "Using name-based mappings to increase hit rates", 1998. Every node
computes the same result, and when a node leaves, only the machines assigned to it move.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from hashlib import blake2b


def weight(machine: str, node: str) -> int:
    """The rendezvous weight; independent of the process and its hash seed."""
    return int.from_bytes(blake2b(f"{machine}\0{node}".encode(), digest_size=8).digest(), "big")


def home(
    machine: str, zone: str, nodes: Mapping[str, str], exposed: frozenset[str] = frozenset()
) -> str:
    """The home node for the machine's reports, or "" if there is none; `nodes` maps names to zones.

    Nodes of the machine's own zone are preferred, so that during a partition between zones the
    reports still reach a node. Among these, the `exposed` ones are used last.
    """
    candidates = [name for name, node_zone in nodes.items() if node_zone == zone] or list(nodes)
    candidates = [name for name in candidates if name not in exposed] or candidates
    return max(candidates, key=lambda name: weight(machine, name), default="")


def exposed(names: Iterable[str], lost: Iterable[str]) -> frozenset[str]:
    """Nodes whose workers would try a lost node next if they failed over.

    A worker without an answer gives up after 4 s and tries the next node a second later, in an
    order that is the same for all workers. Two dead nodes in a row use up a lease of 10 or 12 s.
    """
    order, lost_names = sorted(names, key=lambda name: (len(name), name)), set(lost)
    after = zip(order, [*order[1:], *order[:1]], strict=True)
    return frozenset(name for name, following in after if following in lost_names)
