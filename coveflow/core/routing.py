"""Which node takes a machine's reports: rendezvous hashing over the nodes that are in order.

Thaler and Ravishankar, "Using name-based mappings to increase hit rates", 1998: every node computes
the same answer, and when a node goes only the machines that were its own move.
"""

from __future__ import annotations

from collections.abc import Mapping
from hashlib import blake2b


def weight(machine: str, node: str) -> int:
    """The same in every process, whatever its hash seed."""
    return int.from_bytes(blake2b(f"{machine}\0{node}".encode(), digest_size=8).digest(), "big")


def home(machine: str, zone: str, nodes: Mapping[str, str]) -> str:
    """The node for the machine's reports; `nodes` gives each one's zone. "" if there is none.

    Nodes of the machine's own zone come first, so that a cut between zones leaves the reports of
    each with a node that hears them.
    """
    near = [name for name, where in nodes.items() if where == zone] or list(nodes)
    return max(near, key=lambda name: weight(machine, name), default="")
