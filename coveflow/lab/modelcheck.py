"""Model check of the protocol's rules over event orders of a few nodes, machines and tasks.

A path is a list of choices (`stepwise_model.Model`), replayed from the start. `search` explores all
paths to a depth, and skips states already explored with as many steps left; `walks` follows long
random paths.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from typing import Any

from coveflow.lab.stepwise_model import (
    CANCELLATION_BOUNDS,
    LONG_PATH_BOUNDS,
    Choice,
    Model,
    RuleBroken,
    stepped,
)

WALK_STEPS = 160  # steps of a random path


@dataclass
class SearchResult:
    states: int = 0
    steps: int = 0
    depth: int = 0
    whole: bool = True  # whether every state to that depth was explored
    broken: str = ""
    path: list[Choice] = field(default_factory=list)


def start(script: list[Choice], nodes: int, **more: Any) -> Model:
    model = Model(nodes=nodes, **more)
    for choice in script:
        model.do(choice)
    return model


def search(script: list[Choice], depth: int, nodes: int = 2, most: int = 10**9) -> SearchResult:
    """Explores all orders of choices to the depth, starting after the script's choices."""
    found = SearchResult(depth=depth)
    seen: dict[bytes, int] = {}
    stack: list[list[Choice]] = [[]]
    with stepped():
        while stack:
            path = stack.pop()
            try:
                model = start(script, nodes)
                for choice in path:
                    model.do(choice)
                found.steps += len(path)
                left = depth - len(path)
                key = model.key()
                if seen.get(key, -1) >= left:
                    continue
                seen[key] = left
                found.states = len(seen)
                if found.states >= most:
                    found.whole = False
                    return found
                if left:
                    stack += [[*path, choice] for choice in reversed(model.choices())]
            except RuleBroken as broken:
                found.broken, found.path = broken.text, broken.path
                return found
    return found


def walk(
    script: list[Choice], length: int, seed: int, nodes: int = 2, at_once: int = 2,
    bounds: dict[str, int] = LONG_PATH_BOUNDS,
) -> SearchResult:  # fmt: skip
    """Follows one long random path, with random frequencies of the choices."""
    rng = random.Random(seed)
    found = SearchResult(depth=length)
    # Each path draws its own weights; choices that advance the work outweigh the faults.
    fault_weight, time_weight = rng.choice([0.02, 0.06, 0.15]), rng.choice([0.3, 0.6, 1.0])
    odds = dict.fromkeys(LONG_PATH_BOUNDS, fault_weight) | {
        "time": time_weight, "finish": rng.choice([0.05, 0.2]),
    }  # fmt: skip
    if bounds is CANCELLATION_BOUNDS:
        # The store's changes arrive rarely, since they contain every cancellation.
        odds |= {"word": 0.3, "while": 1.0, "watch": 0.03, "apply": 0.1, "lead": 0.03, "time": 0.2}
        odds |= {"report": 2.0, "take": 4.0, "told": 4.0}
    with stepped():
        try:
            model = start(script, nodes, at_once=at_once, bounds=bounds)
            for _ in range(length):
                choices = model.choices()
                if not choices:
                    break
                weights = [odds.get(choice[0], 1.0) for choice in choices]
                model.do(rng.choices(choices, weights)[0])
                found.steps += 1
        except RuleBroken as broken:
            found.broken, found.path = broken.text, broken.path
    return found


def walks(
    count: int, length: int = WALK_STEPS, seed: int = 0, nodes: int = 2, cancelled: bool = False
) -> SearchResult:
    """Follows random paths until a rule breaks; every other one allows one task at a time.

    `cancelled`: paths that begin when a cancellation is known to some of the nodes.
    """
    total = SearchResult(depth=length, whole=False)
    scripts = list((SCRIPTS_CANCELLED if cancelled else SCRIPTS).values())
    bounds = CANCELLATION_BOUNDS if cancelled else LONG_PATH_BOUNDS
    for i in range(count):
        script = scripts[i // 2 % len(scripts)]
        found = walk(script, length, seed + i, nodes, at_once=1 + i % 2, bounds=bounds)
        total.states += 1
        total.steps += found.steps
        if found.broken:
            total.broken, total.path = found.broken, found.path
            break
    return total


def lead(name: str) -> list[Choice]:
    """The choices of an undisturbed take-over: the view, the inbox, the records."""
    return [("lead", name), *[("apply", name, "lead"), ("answer", name, "lead")] * 3]


def report(machine: str, node: str) -> list[Choice]:
    return [("report", machine, node), ("take", machine)]


SCRIPTS: dict[str, list[Choice]] = {
    "nothing placed": lead("host-0"),
    "placed, not told": [
        *lead("host-0"), *report("n-0", "host-0"), ("told", "n-0"),
        ("time", "host-0"), ("time", "host-0"),
    ],
    # One machine reports to the old leader, the other to the new one; the old leader
    # does not know yet that it was replaced.
    "deposed, not told": [
        *lead("host-0"), *report("n-0", "host-0"), ("told", "n-0"),
        ("hold", "host-0"), ("watch", "host-1"), *lead("host-1"),
        *report("n-1", "host-1"), ("told", "n-1"),
    ],
}  # fmt: skip

# A task runs; host-0 leads and has host-1's list of confirmed cancellations; then the user
# cancels the job at host-1.
CANCELLED_JOB: list[Choice] = [
    *lead("host-0"), *report("n-0", "host-0"), ("told", "n-0"),
    ("time", "host-0"), ("time", "host-0"),
    *[("apply", "host-0", "txn"), ("answer", "host-0", "txn")],
    *report("n-0", "host-0"), ("told", "n-0"),
    ("word", "host-0", "host-1"), ("word", "host-0", ""), ("cancel", "host-1"),
]  # fmt: skip
SCRIPTS_CANCELLED: dict[str, list[Choice]] = {
    "cancelled elsewhere": CANCELLED_JOB,
    "and the process ended": [
        *CANCELLED_JOB, ("crash", "host-1"), ("boot", "host-1"), ("word", "host-0", "host-1"),
    ],
}  # fmt: skip
