"""Every order in which things can happen, for a few nodes, machines and tasks: do the rules hold?

A path is a list of choices (`choices.Model`), played from the start; states that were seen with
as many steps left are not gone into again. `search` goes into all of them to a depth, `walks` goes
far along random ones.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from typing import Any

from coveflow.lab.choices import CANCELLED, WIDE, Broken, Choice, Model, stepped

WALK = 160  # steps of a random path


@dataclass
class Found:
    states: int = 0
    steps: int = 0
    depth: int = 0
    whole: bool = True  # every state to that depth was gone into
    broken: str = ""
    path: list[Choice] = field(default_factory=list)


def start(script: list[Choice], nodes: int, **more: Any) -> Model:
    model = Model(nodes=nodes, **more)
    for choice in script:
        model.do(choice)
    return model


def search(script: list[Choice], depth: int, nodes: int = 2, most: int = 10**9) -> Found:
    """All orders of choices to the depth, from what the script leads to."""
    found = Found(depth=depth)
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
            except Broken as broken:
                found.broken, found.path = broken.text, broken.path
                return found
    return found


def walk(
    script: list[Choice], length: int, seed: int, nodes: int = 2, at_once: int = 2,
    bounds: dict[str, int] = WIDE,
) -> Found:  # fmt: skip
    """One long path of random choices; what may happen only once comes later or earlier."""
    rng = random.Random(seed)
    found = Found(depth=length)
    # Each path has a taste of its own; what moves the work on comes much more often than trouble.
    rare, time = rng.choice([0.02, 0.06, 0.15]), rng.choice([0.3, 0.6, 1.0])
    taste = dict.fromkeys(WIDE, rare) | {"time": time, "finish": rng.choice([0.05, 0.2])}
    if bounds is CANCELLED:
        # The store is seldom heard: its word would say all.
        taste |= {"word": 0.3, "while": 1.0, "watch": 0.03, "apply": 0.1, "lead": 0.03, "time": 0.2}
        taste |= {"report": 2.0, "take": 4.0, "told": 4.0}
    with stepped():
        try:
            model = start(script, nodes, at_once=at_once, bounds=bounds)
            for _ in range(length):
                choices = model.choices()
                if not choices:
                    break
                weights = [taste.get(choice[0], 1.0) for choice in choices]
                model.do(rng.choices(choices, weights)[0])
                found.steps += 1
        except Broken as broken:
            found.broken, found.path = broken.text, broken.path
    return found


def walks(
    count: int, length: int = WALK, seed: int = 0, nodes: int = 2, cancelled: bool = False
) -> Found:
    """Random paths until a rule breaks; every other one under a limit of one task at a time.

    `cancelled`: those that begin where a cancellation is known to some.
    """
    total = Found(depth=length, whole=False)
    scripts = list((SCRIPTS_CANCELLED if cancelled else SCRIPTS).values())
    bounds = CANCELLED if cancelled else WIDE
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
    """The node takes over undisturbed: the view, the inbox, the records."""
    return [("lead", name), *[("apply", name, "lead"), ("answer", name, "lead")] * 3]


def report(machine: str, node: str) -> list[Choice]:
    return [("report", machine, node), ("take", machine)]


SCRIPTS: dict[str, list[Choice]] = {
    "nothing placed": lead("host-0"),
    "placed, not told": [
        *lead("host-0"), *report("n-0", "host-0"), ("told", "n-0"),
        ("time", "host-0"), ("time", "host-0"),
    ],
    # The old leader hears one machine and the new one the other; nobody told the old one.
    "deposed, not told": [
        *lead("host-0"), *report("n-0", "host-0"), ("told", "n-0"),
        ("hold", "host-0"), ("watch", "host-1"), *lead("host-1"),
        *report("n-1", "host-1"), ("told", "n-1"),
    ],
}  # fmt: skip

# A task runs, host-0 leads and knows the word of host-1, where its user then cancels it.
TOLD: list[Choice] = [
    *lead("host-0"), *report("n-0", "host-0"), ("told", "n-0"),
    ("time", "host-0"), ("time", "host-0"),
    *[("apply", "host-0", "txn"), ("answer", "host-0", "txn")],
    *report("n-0", "host-0"), ("told", "n-0"),
    ("word", "host-0", "host-1"), ("word", "host-0", ""), ("cancel", "host-1"),
]  # fmt: skip
SCRIPTS_CANCELLED: dict[str, list[Choice]] = {
    "cancelled elsewhere": TOLD,
    "and the process ended": [
        *TOLD, ("crash", "host-1"), ("boot", "host-1"), ("word", "host-0", "host-1"),
    ],
}  # fmt: skip
