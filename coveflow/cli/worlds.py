"""`coveflow lab worlds`: generated worlds of whole nodes in virtual time."""

from __future__ import annotations

import json
from dataclasses import asdict

import click
from rich.console import Console
from rich.table import Table


@click.command()
@click.argument("kind")
@click.option("--count", type=click.IntRange(1), default=60, show_default=True, help="Worlds.")
@click.option("--first", type=int, default=0, show_default=True, help="The first one's seed.")
@click.option("--at-once", type=click.IntRange(1), default=4, show_default=True)
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")
def worlds(kind: str, count: int, first: int, at_once: int, as_json: bool) -> None:
    """Play generated worlds of a KIND: ends, zones, nights, meetings, rushes, combined, further.

    Told are broken rules, times without starts, and work undone.
    Exit status 1 where a rule breaks or accepted work has no end; `--first N --count 1` plays
    one again.
    """
    from coveflow.lab import worlds as w

    if kind not in w.KINDS:
        raise click.BadParameter(f"{kind}: no such kind; one of: {', '.join(w.KINDS)}")
    console = Console(stderr=True)
    seen = 0

    def done(told: w.CaseResult) -> None:
        nonlocal seen
        seen += not told.plain
        if told.broken or told.unfinished or told.failures:
            what = told.broken or f"{told.unfinished} jobs without an end"
            console.print(f"seed {told.seed} ({told.case}): {what} {told.failures[:3]}")
        elif seen % 50 == 0 and not told.plain:
            console.print(f"{seen} of {count}")

    told = w.campaign(kind, range(first, first + count), at_once, done)
    rows = w.summary(told)
    bad = [asdict(t) for t in told if (t.broken or t.unfinished) and not t.plain]
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
