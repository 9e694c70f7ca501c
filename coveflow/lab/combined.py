"""Meetings of the operators' list, two or three at once, with every team at its limit.

Cases are drawn from a seed: which meetings, when each begins, 1 to 5 controllers, and how long an
ended one stays away, mostly less than a second. The sorts of `lab.cases` are drawn from too.
"""

from __future__ import annotations

import random
from collections.abc import Callable

from coveflow.lab.cases import MEETINGS, Case, Trouble

Draw = Callable[[random.Random, list[str]], list[Trouble]]
LEASE_S = 15.0  # s; of the site of `lab.worlds`
BACK_S = (0.05, 1.0)  # s until an ended controller is back
LATE_S = (0.0, 6.0)  # s until the second and third meeting begin


def cancels(r: random.Random, count: int, most_s: float) -> list[Trouble]:
    return [Trouble(r.uniform(0.0, most_s), "cancel") for _ in range(count)]


def _limits(r: random.Random, names: list[str]) -> list[Trouble]:
    """Jobs are cancelled whose machines can't be asked, and the leader changes."""
    what = r.choice(["hang", "away", "deaf"])
    return [
        Trouble(0.0, what, (r.choice(["one", "few"]),), r.uniform(5.0, 24.0)),
        *cancels(r, 4, 8.0),
        Trouble(r.uniform(0.2, 8.0), "end", ("leader",), r.uniform(*BACK_S)),
    ]


def _all_away(r: random.Random, names: list[str]) -> list[Trouble]:
    away = LEASE_S * r.uniform(1.1, 1.6)
    return [
        *(Trouble(r.uniform(0.0, 0.5), "end", (name,), away) for name in names),
        *cancels(r, 2, 0.4),
    ]


def _ten_leaders(r: random.Random, names: list[str]) -> list[Trouble]:
    """Also inside an outage."""
    times = sorted(r.uniform(0.0, 60.0) for _ in range(10))
    found = [
        Trouble(at, r.choice(["end", "hand"]), ("leader",), r.uniform(*BACK_S)) for at in times
    ]
    return [*found, Trouble(r.uniform(0.0, 50.0), "outage", (), r.uniform(2.0, 15.0))]


def _cancelled_as_work_changes_hands(r: random.Random, names: list[str]) -> list[Trouble]:
    what = r.choice(["hand", "end", "refused", "freeze"])
    for_s = r.uniform(*BACK_S) if what == "end" else r.uniform(1.5, 8.0)
    return [Trouble(0.5, what, ("leader",), for_s), *cancels(r, 5, 3.0)]


def _zone_cut(r: random.Random, names: list[str]) -> list[Trouble]:
    return [
        Trouble(0.0, "cut", (r.choice(["far", "near"]),), LEASE_S * r.uniform(1.1, 2.5)),
        *cancels(r, 3, 20.0),
    ]


def _refused_then_out(r: random.Random, names: list[str]) -> list[Trouble]:
    return [
        Trouble(0.0, "refused", ("leader",), r.uniform(5.0, 15.0)),
        *(Trouble(r.uniform(0.0, 0.2), "cancel") for _ in range(3)),
        Trouble(1.0, "outage", (), r.uniform(46.0, 60.0)),
    ]


def _close_looks(r: random.Random, names: list[str]) -> list[Trouble]:
    return [Trouble(0.0, "rush", (), r.uniform(10.0, 25.0)), *cancels(r, 4, 12.0)]


def _at_the_end(r: random.Random, names: list[str]) -> list[Trouble]:
    """Cancellations and nothing else; with short tasks some meet the last one's end."""
    return cancels(r, 8, 15.0)


SORTS: dict[str, Draw] = MEETINGS | {
    "limits": _limits, "all away": _all_away, "ten leaders": _ten_leaders,
    "changing hands": _cancelled_as_work_changes_hands, "zone cut": _zone_cut,
    "refused, then out": _refused_then_out, "close looks": _close_looks, "at the end": _at_the_end,
}  # fmt: skip


def combined(seed: int) -> Case:
    """Two or three sorts of trouble at once; each sort is the first one in its turn."""
    r = random.Random(f"combined-{seed}")
    first = list(SORTS)[seed % len(SORTS)]
    others = [name for name in SORTS if name != first]
    sorts = [first, *r.sample(others, r.choice([1, 1, 2]))]
    nodes = r.randint(1, 5)
    names = [f"host-{i}" for i in range(nodes)]
    troubles: list[Trouble] = []
    for sort in sorts:
        late = r.uniform(*LATE_S) if troubles else 0.0
        troubles += [
            Trouble(t.at + late, t.what, t.who, shorter_absence(r, t))
            for t in SORTS[sort](r, names)
        ]
    return Case(
        "combined", seed, first, nodes, troubles=tuple(troubles), run_s=r.uniform(2.0, 30.0),
        polls=True, shapes=True, limit=r.choice([0.3, 0.4, 0.5]),
    )  # fmt: skip


def shorter_absence(r: random.Random, trouble: Trouble) -> float:
    """What ends for a moment is mostly back within a second, whatever its sort draws."""
    if trouble.what == "end" and trouble.for_s < LEASE_S and r.random() < 0.7:
        return r.uniform(*BACK_S)
    return trouble.for_s
