"""`coveflow lab model-check`: all orders of a few things, on the daemon's own code."""

from __future__ import annotations

import json
import logging
import time
from dataclasses import asdict
from typing import Any

import click
from rich.console import Console
from rich.table import Table


@click.command("model-check")
@click.option("--depth", type=int, default=4, show_default=True, help="Steps gone into wholly.")
@click.option("--nodes", type=click.IntRange(2, 3), default=2, show_default=True)
@click.option("--walks", type=int, default=2000, show_default=True, help="Random long paths.")
@click.option("--seed", type=int, default=0, show_default=True)
@click.option("--planted/--not-planted", default=True, help="Whether planted bugs are looked for.")
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")
def model_check(
    depth: int, nodes: int, walks: int, seed: int, planted: bool, as_json: bool
) -> None:
    """Do the rules hold in every order of calls, reports, ends and doubts?

    Exit status 1 where a rule breaks on the real code, or a planted bug is not found.
    """
    from coveflow.lab import modelcheck as mc
    from coveflow.lab.planted import PLANTED, PLANTED_CANCELLED

    logging.disable(logging.CRITICAL)
    rows: list[dict[str, Any]] = []

    def add(what: str, began: float, found: mc.SearchResult, bug: bool) -> None:
        row = asdict(found) | {"what": what, "seconds": time.monotonic() - began, "planted": bug}
        rows.append(row | {"good": bool(found.broken) is bug})

    for name, script in mc.SCRIPTS.items():
        began = time.monotonic()
        add(f"all orders, {name}", began, mc.search(script, depth, nodes), False)
    began = time.monotonic()
    add("random paths", began, mc.walks(walks, seed=seed, nodes=nodes), False)
    began = time.monotonic()
    paths = mc.walks(walks, seed=seed, nodes=nodes, cancelled=True)
    add("random paths with a cancellation", began, paths, False)
    plants = [(PLANTED, False), (PLANTED_CANCELLED, True)] if planted else []
    for bugs, cancelled in plants:
        for name, plant in bugs.items():
            began = time.monotonic()
            with plant():
                found = mc.walks(max(walks, 4000), seed=seed, cancelled=cancelled)
            add(f"planted: {name}", began, found, True)
    good = all(row["good"] for row in rows)
    if as_json:
        print(json.dumps({"good": good, "rows": rows}))
    else:
        table = Table(box=None)
        for title in ("what", "depth", "states or paths", "steps", "s", "rule broken"):
            table.add_column(title, overflow="fold")
        for row in rows:
            table.add_row(
                row["what"], str(row["depth"]), str(row["states"]), str(row["steps"]),
                f"{row['seconds']:.1f}", row["broken"] or "none",
            )  # fmt: skip
        Console().print(table)
        for row in rows:
            if row["broken"] and not row["planted"]:
                print("path:", " ".join(".".join(choice) for choice in row["path"]))
    raise SystemExit(0 if good else 1)
