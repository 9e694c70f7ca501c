"""Generated worlds of whole nodes in virtual time, by kind: what is drawn, what is read of each.

A kind draws cases from a seed; `play` plays one on `lab.virtual` and tells which rule broke, for
how long nothing started, and whether all accepted work came to its end.
"""

from __future__ import annotations

import itertools
import logging
import random
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field
from typing import Any

from coveflow.core.model import Spec
from coveflow.lab import site as sites
from coveflow.lab.virtual import STATE, World
from coveflow.settings import Tuning

BEGIN_S = 12.0  # s into a world at which its first trouble comes; by then work is steady
JOBS_UNTIL_S = 34.0  # s until which a job is submitted every second
WINDOW_S = 10.0  # s after the first trouble in which starts are looked at
MOST_S = 150.0  # s by which everything that was accepted must have come to its end

SITE = """(lab (seed 1) (zones north south) (controllers {nodes})
 (workers (report-s 2.5) (lease-s 15) (gang-wait-s 15) (gang-peer-s 3) (cancel-s 45))
 (state (rps 400) (write-rps 150) (value-kb 16) (txn-ops 32)) (cloud (rps 10) (list-lag-s 1))
 (type m8 (cpus 8) (ram-gb 32) (cache-gb 60) (fetch-gb-per-s 2) (price 0.4)
  (spot-price 0.1) (boot-s 3))
 (capacity m8 north (ordinary {machines}) (up {machines}))
 (capacity m8 south (ordinary {machines}) (up {machines}))
 (team blue (cpus 0) (cpus-max 0)) (class tally (team blue)))"""


@dataclass(frozen=True)
class Trouble:
    """At a time, s from `BEGIN_S`: what is done to which controllers.

    "leader" is who leads then, "led" who led at the first trouble that names it.
    """

    at: float
    what: str  # end, outage, refuse, late, freeze
    who: tuple[str, ...] = ()
    for_s: float = 0.0  # until it is back, or over


@dataclass(frozen=True)
class Case:
    kind: str
    seed: int
    name: str
    nodes: int = 5
    machines: int = 5  # in each of two zones
    troubles: tuple[Trouble, ...] = ()


@dataclass
class Told:
    """What became of a case; times in s of the world's clock."""

    case: str
    seed: int
    broken: str = ""  # the rule, or "" if all held
    gap: float = 0.0  # longest time without a start in the window
    unfinished: int = 0  # accepted jobs without an end
    lost: int = 0  # attempts that ended otherwise than done
    failures: list[str] = field(default_factory=list)  # errors in the controllers' logs


# --- ends and quick returns --------------------------------------------------------------


def _one(r: random.Random, names: list[str]) -> list[Trouble]:
    return [Trouble(0.0, "end", ("leader",), r.choice([0.05, 0.1, 0.3, 1.0]))]


def _all(r: random.Random, names: list[str]) -> list[Trouble]:
    return [Trouble(0.0, "end", (name,), r.uniform(0.1, 0.5)) for name in names]


def _again(r: random.Random, names: list[str]) -> list[Trouble]:
    who = (r.choice(["led", *names]),)
    times = itertools.accumulate(r.uniform(0.4, 1.2) for _ in range(10))
    return [Trouble(at, "end", who, r.uniform(0.05, 0.3)) for at in times]


def _roll(r: random.Random, names: list[str]) -> list[Trouble]:
    step = r.uniform(0.3, 1.5)
    return [Trouble(i * step, "end", (n,), r.uniform(0.05, 0.5)) for i, n in enumerate(names)]


def _mixed(r: random.Random, names: list[str]) -> list[Trouble]:
    """Ends while the store, the ways between nodes, or another node are in trouble."""
    found = [
        Trouble(r.uniform(0.0, 4.0), "end", (r.choice(["leader", *names]),), r.uniform(0.05, 1.0))
        for _ in range(r.randint(2, 6))
    ]
    for what in r.sample(["outage", "refuse", "late", "freeze", "all"], r.randint(1, 3)):
        at = r.uniform(0.0, 3.0)
        if what == "all":
            found += [Trouble(at, "end", (name,), r.uniform(0.1, 0.5)) for name in names]
        else:
            who = (r.choice(["leader", *names]),)
            found.append(Trouble(at, what, who, r.uniform(0.5, 4.0)))
    return found


def _late(r: random.Random, names: list[str]) -> list[Trouble]:
    """What the ended process sent to the store arrives when the next one is at work."""
    who, back = (r.choice(["leader", *names]),), r.uniform(0.05, 0.4)
    return [
        Trouble(0.0, "late", who, back + r.uniform(0.1, 1.5)),
        Trouble(r.uniform(0.0, 0.3), "end", who, back),
        Trouble(r.uniform(0.3, 2.5), "end", who, r.uniform(0.05, 0.3)),
    ]


ENDS: dict[str, Callable[[random.Random, list[str]], list[Trouble]]] = {
    "one": _one, "all": _all, "again": _again, "roll": _roll, "late": _late, "mixed": _mixed,
}  # fmt: skip


def ends(seed: int) -> Case:
    """Sequences of ends and quick returns, of each sort in turn."""
    r = random.Random(f"ends-{seed}")
    name = list(ENDS)[seed % len(ENDS)]
    nodes = 5 if name in ("one", "all") else r.choice([2, 3, 5])
    names = [f"host-{i}" for i in range(nodes)]
    return Case("ends", seed, name, nodes, troubles=tuple(ENDS[name](r, names)))


KINDS: dict[str, Callable[[int], Case]] = {"ends": ends}


# --- playing -----------------------------------------------------------------------------


class _Errors(logging.Handler):
    def __init__(self) -> None:
        super().__init__(logging.ERROR)
        self.found: list[str] = []

    def emit(self, record: logging.LogRecord) -> None:
        self.found.append(record.getMessage())


def play(case: Case) -> Told:
    """Play the case to the end of all its work, or until a rule breaks."""
    zones = {f"host-{i}": "north" if i % 2 == 0 else "south" for i in range(case.nodes)}
    text = SITE.format(nodes=case.nodes, machines=case.machines)
    told = Told(case.name, case.seed)
    logger, errors = logging.getLogger("coveflow"), _Errors()
    level = logger.level
    logger.addHandler(errors)
    logger.setLevel(logging.ERROR)
    try:
        with World(sites.parse(text, case.kind), zones, case.seed, Tuning(homes=True)) as world:
            _work(world, list(zones), case.machines)
            led: list[str] = []
            for trouble in case.troubles:
                world.at(BEGIN_S + trouble.at, lambda t=trouble: _cause(world, t, led))
            try:
                world.run(max(BEGIN_S + WINDOW_S, JOBS_UNTIL_S + 1.0))
                while world.now < MOST_S and _unfinished(world):
                    world.run(world.now + 1.0)
            except AssertionError as error:
                told.broken = str(error)
            told.gap = _gap(world, BEGIN_S, BEGIN_S + WINDOW_S)
            told.unfinished = len(_unfinished(world))
            told.lost = sum(k == "off" and row["why"] != "done" for _, k, row in world.told)
    finally:
        logger.removeHandler(errors)
        logger.setLevel(level)
    told.failures = errors.found
    return told


def _work(world: World, names: list[str], machines: int) -> None:
    """More tasks than places from the third second on, so that every end could start another."""
    for i in range(int(JOBS_UNTIL_S - 3.0)):
        spec = Spec(
            id=f"j-{i:06d}", workload="tally", team="blue", kind="array", priority=1,
            tasks=3 * machines, cpus=1.0, accelerators=0.0, ram_gb=1.0, image="img", image_gb=1.0,
            types=None, zone=None, one_zone=False, spread=False, spot=True, expected_s=5.0,
            checkpoint_s=0.0, save_s=0.0, deadline_s=None,
        )  # fmt: skip
        node = names[i % len(names)]
        world.at(3.0 + i, lambda spec=spec, node=node: world.submit(spec, node))


def _cause(world: World, trouble: Trouble, led: list[str]) -> None:
    leader = world.leader() or next(iter(world.controllers))
    if "led" in trouble.who and not led:
        led.append(leader)
    known = {"leader": leader, "led": led[0] if led else leader}
    who = [known.get(name, name) for name in trouble.who]
    if trouble.what == "end":
        for name in who:
            if world.places[name].alive:
                world.crash(name, trouble.for_s)
    elif trouble.what == "outage":
        world.state.down_until = world.now + trouble.for_s
    elif trouble.what == "refuse":
        world.cut(trouble.for_s, lambda a, b: a.node is not None and b.node is not None, "refuse")
    elif trouble.what == "late":
        world.cut(trouble.for_s, lambda a, b: a.name in who and b.name == STATE)
    elif trouble.what == "freeze":
        for name in who:
            world.freeze(name, trouble.for_s)


def _gap(world: World, start: float, end: float) -> float:
    times = [at for at, kind, _ in world.told if kind == "running" and start <= at < end]
    return max(b - a for a, b in itertools.pairwise([start, *times, end]))


def _unfinished(world: World) -> set[str]:
    rows, _ = world.state.store.list("old/", "", 10**6)
    accepted = {job for job, (status, _) in world.answers.items() if status in (200, 201)}
    return accepted - {key[4:] for key, row in rows if row.value["status"] == "done"}


def _played(kind: str, seed: int) -> Told:
    return play(KINDS[kind](seed))


def campaign(
    kind: str, seeds: range, at_once: int, done: Callable[[Told], None] = lambda told: None
) -> list[Told]:
    """Play the seeds' cases, some at once, each in a process; `done` hears of each as it ends."""
    if at_once == 1:
        found = []
        for seed in seeds:
            found.append(_played(kind, seed))
            done(found[-1])
        return found
    with ProcessPoolExecutor(at_once) as pool:
        found = []
        for told in pool.map(_played, itertools.repeat(kind), seeds):
            found.append(told)
            done(told)
        return found


def summary(told: list[Told]) -> list[dict[str, Any]]:
    """By sort of case: worlds, broken rules, jobs without an end, and gaps (p50, p99, most; s)."""
    rows = []
    for name in dict.fromkeys(t.case for t in told):
        mine = [t for t in told if t.case == name]
        gaps = sorted(t.gap for t in mine)
        rows.append(
            {
                "case": name, "worlds": len(mine), "broken": sum(bool(t.broken) for t in mine),
                "unfinished": sum(t.unfinished for t in mine), "lost": sum(t.lost for t in mine),
                "errors": sum(len(t.failures) for t in mine),
                "gap_p50": round(gaps[len(gaps) // 2], 2),
                "gap_p99": round(gaps[min(len(gaps) - 1, int(len(gaps) * 0.99))], 2),
                "gap_most": round(gaps[-1], 2),
            }
        )  # fmt: skip
    return rows
