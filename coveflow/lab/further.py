"""Draws cases of further fault scenarios, each combined with others, teams at their limits.

Cases are drawn from a seed as in `lab.combined`, whose scenarios are combined with those here:
machines that cannot send, delayed direct commands, reports delivered again to the next leader,
bursts of polls, cancellations at the end of a job, invalid requests, lost answers, and controllers
without state service and peers.
"""

from __future__ import annotations

import random

from coveflow.lab.cases import Case, InjectedFault
from coveflow.lab.combined import (
    BACK_S,
    LATE_S,
    LEASE_S,
    SCENARIOS,
    Draw,
    cancels,
    shorter_absence,
)  # fmt: skip


def _mute(r: random.Random, names: list[str]) -> list[InjectedFault]:
    """Machines cannot send while their work is cancelled, and one may also be paused."""
    amount, for_s = r.choice(["one", "few", "zone"]), r.uniform(5.0, 2.5 * LEASE_S)
    hangs = [InjectedFault(r.uniform(1.0, 8.0), "hang", ("one",), r.uniform(3.0, 24.0))]
    return [
        InjectedFault(0.0, "mute", (amount,), for_s),
        *cancels(r, 4, 10.0),
        *(hangs if r.random() < 0.5 else []),
    ]


def _late_commands(r: random.Random, names: list[str]) -> list[InjectedFault]:
    """Stop commands of an ended leader arrive after those of the next one."""
    return [
        InjectedFault(-1.0, "late commands", (), r.uniform(15.0, 40.0)),
        InjectedFault(-0.5, r.choice(["mute", "away", "deaf"]), ("few",), r.uniform(5.0, 20.0)),
        *cancels(r, 4, 8.0),
        InjectedFault(r.uniform(0.5, 8.0), "end", ("leader",), r.uniform(*BACK_S)),
    ]


def _kept_reports(r: random.Random, names: list[str]) -> list[InjectedFault]:
    """Reports are delivered again when the next leader starts, twice in a row."""
    first, second = r.uniform(1.0, 4.0), r.uniform(8.0, 14.0)
    return [
        InjectedFault(0.0, "kept reports"),
        InjectedFault(first, "end", ("leader",), r.uniform(*BACK_S)),
        InjectedFault(first + 2.0, "kept reports"),
        InjectedFault(second, r.choice(["end", "hand"]), ("leader",), r.uniform(*BACK_S)),
        *cancels(r, 2, 14.0),
    ]


def _close_looks(r: random.Random, names: list[str]) -> list[InjectedFault]:
    return [InjectedFault(-2.0, "close looks", (), r.uniform(10.0, 25.0)), *cancels(r, 3, 12.0)]


def _cancel_at_end(r: random.Random, names: list[str]) -> list[InjectedFault]:
    return [InjectedFault(-2.0, "cancel at end", (), r.uniform(10.0, 30.0))]


def _odd_requests(r: random.Random, names: list[str]) -> list[InjectedFault]:
    return [InjectedFault(-2.0, "odd requests", (), r.uniform(5.0, 20.0)), *cancels(r, 3, 12.0)]


def _lost_answers(r: random.Random, names: list[str]) -> list[InjectedFault]:
    return [
        InjectedFault(0.0, "lost answers", (), r.uniform(2.0, 8.0)),
        InjectedFault(
            r.uniform(0.0, 4.0), "end", (r.choice(["leader", *names]),), r.uniform(*BACK_S)
        ),
        *cancels(r, 3, 8.0),
    ]


def _severed(r: random.Random, names: list[str]) -> list[InjectedFault]:
    """Controllers are cut off from the state service and each other, not from workers or users."""
    who = tuple(r.sample(names, r.randint(1, max(1, len(names) - 1))))
    return [InjectedFault(0.0, "sever", who, r.uniform(3.0, 3.0 * LEASE_S)), *cancels(r, 4, 15.0)]


FURTHER_SCENARIOS: dict[str, Draw] = {
    "mute": _mute, "late commands": _late_commands, "kept reports": _kept_reports,
    "looked at": _close_looks, "cancelled at the end": _cancel_at_end, "odd": _odd_requests,
    "lost answers": _lost_answers, "severed": _severed,
}  # fmt: skip
ALL_SCENARIOS: dict[str, Draw] = SCENARIOS | FURTHER_SCENARIOS


def further(seed: int) -> Case:
    """A scenario of this module with one to three others; each comes first in turn."""
    r = random.Random(f"further-{seed}")
    first = list(FURTHER_SCENARIOS)[seed % len(FURTHER_SCENARIOS)]
    others = r.sample([name for name in ALL_SCENARIOS if name != first], r.choice([1, 1, 2, 3]))
    nodes = r.randint(1, 5)
    names = [f"host-{i}" for i in range(nodes)]
    faults: list[InjectedFault] = []
    for scenario in [first, *others]:
        late = r.uniform(*LATE_S) if faults else 0.0
        for t in ALL_SCENARIOS[scenario](r, names):
            faults.append(InjectedFault(t.at + late, t.what, t.who, shorter_absence(r, t)))
    return Case(
        "further", seed, first, nodes, faults=tuple(faults), zones=r.choice([2, 2, 3]),
        run_s=r.uniform(2.0, 30.0), polls=True, shapes=True, limit=r.choice([0.0, 0.3, 0.5]),
    )  # fmt: skip
