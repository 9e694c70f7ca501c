"""Index of machine capacity for one planning pass, for jobs without accelerators.

It yields machines in the order in which a job prefers them. Examining every machine for every
waiting job made the cost of a pass grow with machines times jobs: a pass over 4,800 machines, a
tenth of them with free capacity, took more than a second. Machines are therefore grouped by the
preferred properties and sorted by free CPUs within each group, so that a job examines little more
than the machines it takes.
"""

from __future__ import annotations

import heapq
from bisect import bisect_left, insort
from collections.abc import Collection, Iterable, Iterator, Mapping
from typing import NamedTuple

from coveflow.core.model import Machine, Spec
from coveflow.core.timeline import EPS, MachineCapacity, Pool

PoolKey = tuple[str, str, bool]  # type, zone, spot
Entry = tuple[float, str, MachineCapacity]  # free CPUs, machine id, capacity


class GroupKey(NamedTuple):
    """Properties shared by the machines of a group."""

    pool: PoolKey
    slowness: float  # result of `slowness`
    idle: bool  # no attempt is placed on the machine


def slowness(machine: Machine) -> float:
    """Return how much slower than nominal the machine is, rounded to steps that matter."""
    return round(max(0.0, machine.slowdown - 1.0), 1)


class CapacityIndex:
    """Groups of machine capacities, each sorted by free CPUs and machine id."""

    def __init__(self, pools: Mapping[PoolKey, Pool]) -> None:
        self._groups: dict[GroupKey, list[Entry]] = {}
        self._group_of: dict[str, list[Entry]] = {}
        for key, pool in pools.items():
            for capacity in pool.capacities:
                machine = capacity.machine
                group = GroupKey(key, slowness(machine), not machine.placements)
                entries = self._groups.setdefault(group, [])
                entries.append((capacity.cpus, machine.id, capacity))
                self._group_of[machine.id] = entries
        for entries in self._groups.values():
            entries.sort()

    def preferred(
        self, pools: Collection[PoolKey], spec: Spec, tight: bool
    ) -> Iterator[MachineCapacity]:
        """Yield the capacities of these pools with enough free CPUs, the preferred ones first.

        The order is that of `placement.preference`. Nothing may be allocated during the iteration.
        """
        groups = {key: entries for key, entries in self._groups.items() if key.pool in pools}
        for slow in sorted({key.slowness for key in groups}):
            alike = {key: entries for key, entries in groups.items() if key.slowness == slow}
            for fetch in (False, True):
                for chosen in _groups_by_preference(alike, spec, tight):
                    for _, _, capacity in _entries_that_fit(chosen, spec):
                        if (spec.image not in capacity.machine.images) is fetch:
                            yield capacity

    def allocate(self, capacity: MachineCapacity, spec: Spec, count: int) -> None:
        """Allocate capacity to tasks of the job and keep the group sorted."""
        entries = self._group_of.get(capacity.machine.id)
        if entries is None:  # machines with a spot termination notice are not indexed
            capacity.allocate(spec, count)
            return
        del entries[bisect_left(entries, (capacity.cpus, capacity.machine.id))]
        capacity.allocate(spec, count)
        insort(entries, (capacity.cpus, capacity.machine.id, capacity))


def _groups_by_preference(
    groups: Mapping[GroupKey, list[Entry]], spec: Spec, tight: bool
) -> Iterator[list[list[Entry]]]:
    """Yield sets of groups of equal preference, in which only free CPUs decide, best first."""
    classes: dict[tuple[bool, ...], list[list[Entry]]] = {}
    for key, entries in groups.items():
        spot = key.pool[2]
        exposed = spot if spec.checkpoint_s <= 0 else not spot
        rank = (exposed,) if tight else (key.idle, not spot)
        classes.setdefault(rank, []).append(entries)
    for rank in sorted(classes):
        yield classes[rank]


def _entries_that_fit(groups: list[list[Entry]], spec: Spec) -> Iterable[Entry]:
    """Return the entries with enough free CPUs for a task, the fullest machines first."""
    least = (spec.cpus - EPS,)
    tails = [entries[bisect_left(entries, least) :] for entries in groups]
    return tails[0] if len(tails) == 1 else heapq.merge(*tails)
