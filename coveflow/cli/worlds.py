"""`coveflow lab worlds`: runs generated worlds: whole clusters simulated in virtual time."""

from __future__ import annotations

import json
from dataclasses import asdict

import click
from rich.console import Console
from rich.table import Table


@click.command()
@click.argument("kind")
@click.option("--count", type=click.IntRange(1), default=60, show_default=True, help="Worlds.")
@click.option("--first", type=int, default=0, show_default=True, help="Seed of the first world.")
@click.option("--at-once", type=click.IntRange(1), default=4, show_default=True)
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")
def worlds(kind: str, count: int, first: int, at_once: int, as_json: bool) -> None:
    """Run generated worlds of a KIND: ends, zones, nights, meetings, rushes, combined, further.

    Reports broken rules, periods without starts, and unfinished work.
    Exit status 1 if a rule is broken or accepted work never ends; `--first N --count 1` repeats
    one world.
    """
    from coveflow.lab import worlds as w

    if kind not in w.KINDS:
        raise click.BadParameter(f"{kind}: no such kind; one of: {', '.join(w.KINDS)}")
    console = Console(stderr=True)
    completed = 0

    def on_result(result: w.CaseResult) -> None:
        nonlocal completed
        completed += not result.plain
        if result.broken or result.unfinished or result.failures:
            problem = result.broken or f"{result.unfinished} jobs without an end"
            console.print(f"seed {result.seed} ({result.case}): {problem} {result.failures[:3]}")
        elif completed % 50 == 0 and not result.plain:
            console.print(f"{completed} of {count}")

    results = w.campaign(kind, range(first, first + count), at_once, on_result)
    rows = w.summary(results)
    bad = [asdict(t) for t in results if (t.broken or t.unfinished) and not t.plain]
    if as_json:
        print(json.dumps({"kind": kind, "worlds": count, "cases": rows, "bad": bad}))
    else:
        table = Table(box=None)
        for title in rows[0]:
            table.add_column(title.replace("_", " "), justify="right")
        for row in rows:
            table.add_row(*(f"{value}" for value in row.values()))
        Console().print(table)
    raise SystemExit(1 if bad else 0)
