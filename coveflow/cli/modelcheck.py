"""`coveflow lab model-check`: searches all orders of a few events, on the daemon's own code."""

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
@click.option(
    "--depth", type=int, default=4, show_default=True, help="Steps searched exhaustively."
)
@click.option("--nodes", type=click.IntRange(2, 3), default=2, show_default=True)
@click.option("--walks", type=int, default=2000, show_default=True, help="Long random paths.")
@click.option("--seed", type=int, default=0, show_default=True)
@click.option(
    "--planted/--not-planted", default=True, help="Whether to check that planted bugs are found."
)
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")
def model_check(
    depth: int, nodes: int, walks: int, seed: int, planted: bool, as_json: bool
) -> None:
    """Check the rules in every order of calls, reports, ends and suspicions.

    Exit status 1 if a rule is broken on the real code, or a planted bug is not found.
    """
    from coveflow.lab import modelcheck as mc
    from coveflow.lab.planted import PLANTED, PLANTED_CANCELLED

    logging.disable(logging.CRITICAL)
    rows: list[dict[str, Any]] = []

    def add_row(what: str, started_at: float, result: mc.SearchResult, is_planted: bool) -> None:
        row = asdict(result) | {
            "what": what,
            "seconds": time.monotonic() - started_at,
            "planted": is_planted,
        }
        rows.append(row | {"good": bool(result.broken) is is_planted})

    for name, script in mc.SCRIPTS.items():
        started_at = time.monotonic()
        add_row(f"all orders, {name}", started_at, mc.search(script, depth, nodes), False)
    started_at = time.monotonic()
    add_row("random paths", started_at, mc.walks(walks, seed=seed, nodes=nodes), False)
    started_at = time.monotonic()
    paths = mc.walks(walks, seed=seed, nodes=nodes, cancelled=True)
    add_row("random paths with a cancellation", started_at, paths, False)
    bug_sets = [(PLANTED, False), (PLANTED_CANCELLED, True)] if planted else []
    for bugs, cancelled in bug_sets:
        for name, plant in bugs.items():
            started_at = time.monotonic()
            with plant():
                result = mc.walks(max(walks, 4000), seed=seed, cancelled=cancelled)
            add_row(f"planted: {name}", started_at, result, True)
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
