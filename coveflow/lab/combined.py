"""Draws cases that combine two or three fault scenarios, with every team at its limit.

A seed determines the scenarios, when each begins, the number of controllers (1 to 5), and how long
an ended one stays away, mostly less than a second. Includes the scenarios of `lab.cases`.
"""

from __future__ import annotations

import random
from collections.abc import Callable

from coveflow.lab.cases import MEETINGS, Case, InjectedFault

Draw = Callable[[random.Random, list[str]], list[InjectedFault]]
LEASE_S = 15.0  # s; as in the site of `lab.worlds`
BACK_S = (0.05, 1.0)  # s until an ended controller restarts
LATE_S = (0.0, 6.0)  # s until the second and third scenario begin


def cancels(r: random.Random, count: int, most_s: float) -> list[InjectedFault]:
    return [InjectedFault(r.uniform(0.0, most_s), "cancel") for _ in range(count)]


def _limits(r: random.Random, names: list[str]) -> list[InjectedFault]:
    """Cancels jobs whose machines are unreachable, and the leader changes."""
    what = r.choice(["hang", "away", "deaf"])
    return [
        InjectedFault(0.0, what, (r.choice(["one", "few"]),), r.uniform(5.0, 24.0)),
        *cancels(r, 4, 8.0),
        InjectedFault(r.uniform(0.2, 8.0), "end", ("leader",), r.uniform(*BACK_S)),
    ]


def _all_away(r: random.Random, names: list[str]) -> list[InjectedFault]:
    away = LEASE_S * r.uniform(1.1, 1.6)
    return [
        *(InjectedFault(r.uniform(0.0, 0.5), "end", (name,), away) for name in names),
        *cancels(r, 2, 0.4),
    ]


def _ten_leaders(r: random.Random, names: list[str]) -> list[InjectedFault]:
    """Ten leader changes, some of them during an outage of the state service."""
    times = sorted(r.uniform(0.0, 60.0) for _ in range(10))
    found = [
        InjectedFault(at, r.choice(["end", "hand"]), ("leader",), r.uniform(*BACK_S))
        for at in times
    ]
    return [*found, InjectedFault(r.uniform(0.0, 50.0), "outage", (), r.uniform(2.0, 15.0))]


def _cancels_at_leader_change(r: random.Random, names: list[str]) -> list[InjectedFault]:
    what = r.choice(["hand", "end", "refused", "freeze"])
    for_s = r.uniform(*BACK_S) if what == "end" else r.uniform(1.5, 8.0)
    return [InjectedFault(0.5, what, ("leader",), for_s), *cancels(r, 5, 3.0)]


def _zone_cut(r: random.Random, names: list[str]) -> list[InjectedFault]:
    return [
        InjectedFault(0.0, "cut", (r.choice(["far", "near"]),), LEASE_S * r.uniform(1.1, 2.5)),
        *cancels(r, 3, 20.0),
    ]


def _refused_then_out(r: random.Random, names: list[str]) -> list[InjectedFault]:
    return [
        InjectedFault(0.0, "refused", ("leader",), r.uniform(5.0, 15.0)),
        *(InjectedFault(r.uniform(0.0, 0.2), "cancel") for _ in range(3)),
        InjectedFault(1.0, "outage", (), r.uniform(46.0, 60.0)),
    ]


def _close_looks(r: random.Random, names: list[str]) -> list[InjectedFault]:
    return [InjectedFault(0.0, "rush", (), r.uniform(10.0, 25.0)), *cancels(r, 4, 12.0)]


def _cancels_at_end(r: random.Random, names: list[str]) -> list[InjectedFault]:
    """Only cancellations; with short tasks some coincide with the end of a job's last task."""
    return cancels(r, 8, 15.0)


SCENARIOS: dict[str, Draw] = MEETINGS | {
    "limits": _limits, "all away": _all_away, "ten leaders": _ten_leaders,
    "changing hands": _cancels_at_leader_change, "zone cut": _zone_cut,
    "refused, then out": _refused_then_out, "close looks": _close_looks,
    "at the end": _cancels_at_end,
}  # fmt: skip


def combined(seed: int) -> Case:
    """Two or three scenarios at once; each scenario comes first in turn."""
    r = random.Random(f"combined-{seed}")
    first = list(SCENARIOS)[seed % len(SCENARIOS)]
    other_names = [name for name in SCENARIOS if name != first]
    scenarios = [first, *r.sample(other_names, r.choice([1, 1, 2]))]
    nodes = r.randint(1, 5)
    names = [f"host-{i}" for i in range(nodes)]
    faults: list[InjectedFault] = []
    for scenario in scenarios:
        late = r.uniform(*LATE_S) if faults else 0.0
        faults += [
            InjectedFault(t.at + late, t.what, t.who, shorter_absence(r, t))
            for t in SCENARIOS[scenario](r, names)
        ]
    return Case(
        "combined", seed, first, nodes, faults=tuple(faults), run_s=r.uniform(2.0, 30.0),
        polls=True, shapes=True, limit=r.choice([0.3, 0.4, 0.5]),
    )  # fmt: skip


def shorter_absence(r: random.Random, fault: InjectedFault) -> float:
    """Duration of the fault; ended processes mostly restart within a second, whatever was drawn."""
    if fault.what == "end" and fault.for_s < LEASE_S and r.random() < 0.7:
        return r.uniform(*BACK_S)
    return fault.for_s
