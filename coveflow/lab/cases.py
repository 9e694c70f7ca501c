"""Draws test cases from a seed, by kind: which faults occur, when, and on which hosts."""

from __future__ import annotations

import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass


@dataclass(frozen=True)
class InjectedFault:
    """A fault injected at a time, in s from the case's begin.

    In `who`, "leader" is the leader at that time, and "led" the leader at the time of the first
    fault that names it.
    """

    at: float
    what: str  # a key of `lab.fault_actions.ACTIONS`
    who: tuple[str, ...] = ()
    for_s: float = 0.0  # s until the host is back, or the fault is over


@dataclass(frozen=True)
class Case:
    kind: str
    seed: int
    name: str
    nodes: int = 5
    machines: int = 5  # in each zone
    faults: tuple[InjectedFault, ...] = ()
    zones: int = 2
    run_s: float = 5.0  # s that a task runs
    begin_s: float = 12.0  # s into the world at which faults begin; the load is steady by then
    jobs_until_s: float = 34.0  # s until which a job is submitted every second
    polls: bool = False  # whether users poll their jobs
    shapes: bool = False  # mix of gangs, checkpoints, few long tasks and large images
    limit: float = 0.0  # share of all CPUs that each of two teams may use; 0: one team, no limit


# --- process ends and quick restarts -----------------------------------------------------


def _end_leader(r: random.Random, names: list[str]) -> list[InjectedFault]:
    return [InjectedFault(0.0, "end", ("leader",), r.choice([0.05, 0.1, 0.3, 1.0]))]


def _end_all(r: random.Random, names: list[str]) -> list[InjectedFault]:
    return [InjectedFault(0.0, "end", (name,), r.uniform(0.1, 0.5)) for name in names]


def _end_repeatedly(r: random.Random, names: list[str]) -> list[InjectedFault]:
    who = (r.choice(["led", *names]),)
    times = itertools.accumulate(r.uniform(0.4, 1.2) for _ in range(10))
    return [InjectedFault(at, "end", who, r.uniform(0.05, 0.3)) for at in times]


def _rolling_ends(r: random.Random, names: list[str]) -> list[InjectedFault]:
    step = r.uniform(0.3, 1.5)
    return [InjectedFault(i * step, "end", (n,), r.uniform(0.05, 0.5)) for i, n in enumerate(names)]


def _mixed_faults(r: random.Random, names: list[str]) -> list[InjectedFault]:
    """Process ends combined with faults of the store, the network or other nodes."""
    found = [
        InjectedFault(
            r.uniform(0.0, 4.0), "end", (r.choice(["leader", *names]),), r.uniform(0.05, 1.0)
        )
        for _ in range(r.randint(2, 6))
    ]
    for what in r.sample(["outage", "refuse", "late", "freeze", "all"], r.randint(1, 3)):
        at = r.uniform(0.0, 3.0)
        if what == "all":
            found += [InjectedFault(at, "end", (name,), r.uniform(0.1, 0.5)) for name in names]
        else:
            who = (r.choice(["leader", *names]),)
            found.append(InjectedFault(at, what, who, r.uniform(0.5, 4.0)))
    return found


def _late_requests(r: random.Random, names: list[str]) -> list[InjectedFault]:
    """Requests of the ended process reach the store while the next process is running."""
    who, back = (r.choice(["leader", *names]),), r.uniform(0.05, 0.4)
    return [
        InjectedFault(0.0, "late", who, back + r.uniform(0.1, 1.5)),
        InjectedFault(r.uniform(0.0, 0.3), "end", who, back),
        InjectedFault(r.uniform(0.3, 2.5), "end", who, r.uniform(0.05, 0.3)),
    ]


ENDS: dict[str, Callable[[random.Random, list[str]], list[InjectedFault]]] = {
    "one": _end_leader, "all": _end_all, "again": _end_repeatedly, "roll": _rolling_ends,
    "late": _late_requests, "mixed": _mixed_faults,
}  # fmt: skip


def ends(seed: int) -> Case:
    """Sequences of process ends and quick restarts, each variant in turn."""
    r = random.Random(f"ends-{seed}")
    name = list(ENDS)[seed % len(ENDS)]
    nodes = 5 if name in ("one", "all") else r.choice([2, 3, 5])
    names = [f"host-{i}" for i in range(nodes)]
    return Case("ends", seed, name, nodes, faults=tuple(ENDS[name](r, names)))


# --- zones -------------------------------------------------------------------------------


def _cut(r: random.Random, for_s: float, who: str = "far") -> list[InjectedFault]:
    return [InjectedFault(0.0, "cut", (who,), for_s * r.uniform(0.9, 1.1))]


ZONES: dict[str, Callable[[random.Random, list[str]], list[InjectedFault]]] = {
    "cut 10 s": lambda r, names: _cut(r, 10.0),
    "cut 30 s": lambda r, names: _cut(r, 30.0),
    "cut 60 s": lambda r, names: _cut(r, 60.0),
    "with the leader": lambda r, names: _cut(r, 30.0, "near"),
    "flaps": lambda r, names: [
        InjectedFault(25.0 * i, "cut", ("far",), 20.0) for i in range(4)
    ],
    "cloud down": lambda r, names: [
        *_cut(r, 30.0), InjectedFault(10.0, "cloud", (), 40.0),
    ],
    "store down": lambda r, names: [
        *_cut(r, 30.0), InjectedFault(r.uniform(0, 20), "outage", (), 8.0),
    ],
    "take-over": lambda r, names: [
        *_cut(r, 30.0), InjectedFault(r.uniform(0, 20), "end", ("leader",)),
    ],
    "rolling": lambda r, names: [
        *_cut(r, 30.0), *(InjectedFault(3.0 * i, "end", (n,), 0.3) for i, n in enumerate(names)),
    ],
    "apart": lambda r, names: [InjectedFault(0.0, "apart", (), 30.0)],
}  # fmt: skip


def zones(seed: int) -> Case:
    """Zones that become unreachable and recover, each variant in turn."""
    r = random.Random(f"zones-{seed}")
    name = list(ZONES)[seed % len(ZONES)]
    names = [f"host-{i}" for i in range(5)]
    # Every other round of the variants uses three zones instead of two.
    count = 2 + seed // len(ZONES) % 2
    return Case(
        "zones", seed, name, 5, 10, tuple(ZONES[name](r, names)), count,
        run_s=r.uniform(10.0, 25.0), begin_s=25.0, jobs_until_s=100.0,
    )  # fmt: skip


# --- nights ------------------------------------------------------------------------------

MAX_COPY_DELAY_LEASES = 3.0  # leases (of 15 s) by which a duplicate is late at most


def _deaf(r: random.Random, names: list[str]) -> list[InjectedFault]:
    return [InjectedFault(0.0, "deaf", (r.choice(["one", "few"]),), r.uniform(20.0, 90.0))]


def _deaf_zone(r: random.Random, names: list[str]) -> list[InjectedFault]:
    return [InjectedFault(0.0, "deaf", ("zone",), r.uniform(10.0, 40.0))]


def _copies(r: random.Random, names: list[str]) -> list[InjectedFault]:
    return [InjectedFault(-4.0, "copies", (), r.uniform(30.0, 80.0))]


def _severed(r: random.Random, names: list[str]) -> list[InjectedFault]:
    who = (r.choice(["leader", *names]),)
    return [InjectedFault(0.0, "sever", who, r.uniform(3.0, 60.0))]


def _severed_two(r: random.Random, names: list[str]) -> list[InjectedFault]:
    return [InjectedFault(0.0, "sever", tuple(r.sample(names, 2)), r.uniform(5.0, 40.0))]


def _reborn(r: random.Random, names: list[str]) -> list[InjectedFault]:
    who = (r.choice(["old", "first"]),)
    return [InjectedFault(r.uniform(0.0, 10.0), "reborn", who) for _ in range(r.randint(1, 4))]


NIGHTS: dict[str, Callable[[random.Random, list[str]], list[InjectedFault]]] = {
    "deaf": _deaf, "deaf zone": _deaf_zone, "copies": _copies, "severed": _severed,
    "two severed": _severed_two, "reborn": _reborn,
}  # fmt: skip


def _basic_fault(r: random.Random, names: list[str]) -> InjectedFault:
    """One of the basic faults, which other kinds cover on their own."""
    at, who = r.uniform(-2.0, 12.0), (r.choice(["leader", *names]),)
    what = r.choice(["end", "outage", "refuse", "late", "freeze", "apart", "cancel"])
    for_s = r.uniform(0.05, 1.0) if what == "end" else r.uniform(1.0, 12.0)
    return InjectedFault(at, what, who, for_s)


def nights(seed: int) -> Case:
    """Faults of machines and the network, with odd seeds combined with two basic faults."""
    r = random.Random(f"nights-{seed}")
    name = list(NIGHTS)[seed // 2 % len(NIGHTS)]
    nodes = r.choice([3, 5])
    names = [f"host-{i}" for i in range(nodes)]
    faults = NIGHTS[name](r, names)
    if seed % 2:
        name += ", met"
        faults += [_basic_fault(r, names), _basic_fault(r, names)]
    return Case(
        "nights", seed, name, nodes, faults=tuple(faults), run_s=r.uniform(4.0, 25.0),
        polls=True,
    )  # fmt: skip


# --- meetings ------------------------------------------------------------------------------


def _any_node(r: random.Random, names: list[str]) -> str:
    return r.choice(["leader", *names])


def _unreached(r: random.Random, names: list[str]) -> list[InjectedFault]:
    """The leader ends while machines with work are unreachable, or receive nothing."""
    what = r.choice(["away", "deaf"])
    begin = r.uniform(-3.0, 0.5)
    return [
        InjectedFault(begin, what, (r.choice(["one", "few", "zone"]),), r.uniform(5.0, 22.0)),
        InjectedFault(0.0, "end", ("leader",), r.choice([0.1, 0.5, 8.0])),
        *([InjectedFault(r.uniform(0.0, 8.0), "cloud", (), 20.0)] if r.random() < 0.4 else []),
    ]


def _far_ends(r: random.Random, names: list[str]) -> list[InjectedFault]:
    """Tasks of one job end before and after leader changes."""
    times = [r.uniform(0.0, 12.0) for _ in range(3)]
    return [InjectedFault(at, "end", ("leader",), r.uniform(0.1, 6.0)) for at in times]


def _to_and_fro(r: random.Random, names: list[str]) -> list[InjectedFault]:
    """The leadership is handed over repeatedly, all nodes end, some restart at once."""
    found = [InjectedFault(0.4 * i * r.random(), "hand", ("leader",)) for i in range(4)]
    at = r.uniform(0.2, 2.5)
    ends = [
        InjectedFault(at + r.uniform(0.0, 0.4), "end", (n,), r.uniform(0.05, 5.0)) for n in names
    ]
    return [*found, *ends, InjectedFault(at + r.uniform(0.5, 2.0), "hand", ("leader",))]


def _cut_leader(r: random.Random, names: list[str]) -> list[InjectedFault]:
    return [
        InjectedFault(0.0, "sever", ("leader",), r.uniform(5.0, 45.0)),
        *(InjectedFault(r.uniform(0.5, 12.0), "cancel") for _ in range(3)),
    ]


def _old_reports(r: random.Random, names: list[str]) -> list[InjectedFault]:
    return [
        InjectedFault(-6.0, "copies", (), r.uniform(30.0, 60.0)),
        InjectedFault(r.uniform(0.0, 3.0), "end", (_any_node(r, names),), r.uniform(0.1, 5.0)),
        InjectedFault(r.uniform(0.0, 15.0), "reborn", (r.choice(["old", "first"]),)),
        InjectedFault(r.uniform(3.0, 15.0), "end", ("leader",), r.uniform(0.1, 5.0)),
    ]


def _store(r: random.Random, names: list[str]) -> list[InjectedFault]:
    """A slow store, or one refused to one node and then to all for longer than `cancel_s`."""
    cancels = [InjectedFault(r.uniform(0.0, 6.0), "cancel") for _ in range(3)]
    if r.random() < 0.4:
        return [InjectedFault(0.0, "slow", (r.choice(["0.2", "1", "2.5", "6"]),), 20.0), *cancels]
    down = r.uniform(0.3, 6.0)
    return [
        InjectedFault(0.0, "refused", (_any_node(r, names),), r.uniform(3.0, 16.0)),
        InjectedFault(r.uniform(0.1, down), "cancel"), *cancels,
        InjectedFault(down, "outage", (), r.uniform(45.0, 60.0)),
    ]  # fmt: skip


def _late_writes(r: random.Random, names: list[str]) -> list[InjectedFault]:
    return [
        InjectedFault(-2.0, "late writes", (), r.uniform(10.0, 25.0)),
        InjectedFault(r.uniform(0.0, 10.0), "end", (_any_node(r, names),), r.uniform(0.05, 1.0)),
        InjectedFault(r.uniform(0.0, 10.0), "cancel"),
    ]


def _held_up(r: random.Random, names: list[str]) -> list[InjectedFault]:
    """Machines are paused, and resume within their lease or just after it."""
    return [
        InjectedFault(
            r.uniform(0.0, 5.0), "hang", (r.choice(["one", "few"]),), r.uniform(3.0, 24.0)
        ),
        InjectedFault(r.uniform(0.0, 8.0), "cancel"),
        InjectedFault(r.uniform(0.0, 8.0), "end", (_any_node(r, names),), r.uniform(0.1, 2.0)),
    ]


MEETINGS: dict[str, Callable[[random.Random, list[str]], list[InjectedFault]]] = {
    "unreached": _unreached, "far ends": _far_ends, "to and fro": _to_and_fro,
    "cut leader": _cut_leader, "old reports": _old_reports, "store": _store,
    "late writes": _late_writes, "held up": _held_up,
}  # fmt: skip


def meetings(seed: int) -> Case:
    """Combinations of faults, each variant in turn; after each round two or three at once."""
    r = random.Random(f"meetings-{seed}")
    round_number, at = divmod(seed, len(MEETINGS) + 2)
    variants = [list(MEETINGS)[at]] if at < len(MEETINGS) else r.sample(list(MEETINGS), 2 + at % 2)
    nodes = r.choice([3, 5]) if round_number % 3 else r.choice([1, 2, 4])
    names = [f"host-{i}" for i in range(nodes)]
    faults: list[InjectedFault] = []
    for variant in variants:
        late = r.uniform(0.0, 4.0) if faults else 0.0
        faults += [
            InjectedFault(t.at + late, t.what, t.who, t.for_s) for t in MEETINGS[variant](r, names)
        ]
    name = " + ".join(variants) if len(variants) == 1 else "several"
    return Case(
        "meetings", seed, name, nodes, faults=tuple(faults), run_s=r.uniform(4.0, 30.0),
        polls=True, shapes=True,
    )  # fmt: skip


def rushes(seed: int) -> Case:
    """All users retry at once, also ids whose commit outcome is unknown, while a fault lasts."""
    r = random.Random(f"rushes-{seed}")
    nodes = r.choice([1, 2, 3, 5])
    names = [f"host-{i}" for i in range(nodes)]
    what = r.choice(["late writes", "slow", "outage", "refused", "end"])
    who = (r.choice(["0.2", "1", "2.5", "6"]),) if what == "slow" else (_any_node(r, names),)
    for_s = r.uniform(0.1, 1.0) if what == "end" else r.uniform(5.0, 15.0)
    faults = (
        InjectedFault(-3.0, "rush", (), 25.0), InjectedFault(0.0, what, who, for_s),
        *(InjectedFault(r.uniform(-3.0, 15.0), "cancel") for _ in range(3)),
        InjectedFault(r.uniform(0.0, 12.0), "end", (_any_node(r, names),), r.uniform(0.1, 1.0)),
    )  # fmt: skip
    return Case(
        "rushes", seed, what, nodes, faults=faults, run_s=r.uniform(4.0, 20.0), polls=True,
        shapes=True,
    )  # fmt: skip
