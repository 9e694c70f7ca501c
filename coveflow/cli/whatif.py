"""`coveflow whatif`: replays a recorded trace, with or without changes."""

from __future__ import annotations

import json
import sys
from pathlib import Path

import click
from rich.console import Console
from rich.progress import BarColumn, MofNCompleteColumn, Progress, TextColumn, TimeElapsedColumn
from rich.table import Table

from coveflow import forms
from coveflow.cli.errors import UserError

PATH = click.Path(path_type=Path)


@click.command()
@click.argument("trace", type=PATH)
@click.option("--change", type=PATH, help="Changes to apply (S-expressions).")
@click.option(
    "--seeds", default=8, show_default=True, help="Runs; each draws the unknown values anew."
)
@click.option("--first-seed", default=1, show_default=True)
@click.option("--by", "by", help="Ask what is done by then: HH:MM, or seconds after the start.")
@click.option("--class", "workload", help="With --by: only jobs of this class.")
@click.option("--against", type=PATH, help="Trace of what then happened, to compare with.")
@click.option("--out", type=PATH, help="Folder for report.html, summary.json, jobs.parquet.")
@click.option("--processes", type=int, help="Runs at the same time; default: one per core.")
@click.option("--json", "as_json", is_flag=True, help="Print the summary as JSON.")
def whatif(
    trace: Path, change: Path | None, seeds: int, first_seed: int, by: str | None,
    workload: str | None, against: Path | None, out: Path | None, processes: int | None,
    as_json: bool,
) -> None:  # fmt: skip
    """Replay TRACE, with or without changes; prints when jobs would have been done."""
    from coveflow.trace.files import TraceError
    from coveflow.whatif import changes as ch
    from coveflow.whatif import replay as rp
    from coveflow.whatif.report import Question, answer, write
    from coveflow.whatif.study import study

    if seeds < 1:
        raise UserError("--seeds takes a number of at least 1")
    console = Console(stderr=True)
    try:
        replay = rp.load(trace)
        actual = rp.load(against) if against is not None else None
    except TraceError as error:
        raise UserError(str(error)) from error
    changes = ch.load(change, replay.start) if change is not None else ch.Changes()
    question = None
    if by is not None:
        value: object = by if ":" in by else _parse_seconds(by)
        text = by if ":" in by else f"{by} s after the start"
        question = Question(ch.parse_time(value, "--by", replay.start), text, workload)
    columns = (
        TextColumn("{task.description}"), BarColumn(), MofNCompleteColumn(), TimeElapsedColumn(),
    )  # fmt: skip
    with Progress(*columns, console=console, transient=True) as progress:
        bar = progress.add_task("runs", total=seeds)
        found = study(
            replay, changes, list(range(first_seed, first_seed + seeds)), processes,
            lambda outcome: progress.advance(bar),
        )  # fmt: skip
    if out is not None:
        for path in write(found, question, str(trace), out):
            console.print(f"wrote {path}")
    if as_json:
        click.echo(json.dumps(found.summary()))
    else:
        if question is not None:
            click.echo(answer(found, question))
        _print_result(found, Console())
    for row in found.against(actual) if actual is not None else ():
        position = "inside" if row["inside"] else "outside"
        click.echo(
            f"{row['class']} {row['figure']}: came {row['came']:.1f}, foreseen"
            f" {row['foreseen']:.1f} ({row['low']:.1f} to {row['high']:.1f}),"
            f" off by {row['off']:+.1%}, {position} the range",
            err=as_json,
        )
    sys.exit(1 if found.broken() else 0)


def _parse_seconds(text: str) -> float:
    try:
        return float(text)
    except ValueError:
        raise forms.FormError(f"--by: {text} is neither seconds nor HH:MM") from None


def _print_result(found, console: Console) -> None:
    table = Table(box=None, header_style="bold", pad_edge=False)
    for name in ("class", "jobs", "by deadline", "(was)", "median s", "(was)", "wait s", "undone"):
        table.add_column(name, justify="left" if name == "class" else "right")
    for view in found.classes:
        was = found.recorded_class(view.name)
        table.add_row(
            view.name, f"{view.jobs:.0f}", f"{view.in_time:.0%}",
            "" if was["in_time"] is None else f"{was['in_time']:.0%}", f"{view.took_s:.1f}",
            "" if was["took_s"] is None else f"{was['took_s']:.1f}", f"{view.wait_s:.1f}",
            f"{view.undone:.0f}",
        )  # fmt: skip
    console.print(table)
    console.print(f"money: {found.money():.4f}")
    summary = found.summary()
    against = summary["against_trace"]
    if against["jobs"] and not found.changes.source_forms:
        console.print(
            f"against the trace: {against['jobs']} jobs, time taken off by"
            f" {against['median_error']:.1%} in the median, {against['p95_error']:.1%} at p95"
        )
    from coveflow.whatif.report import reasons

    late = found.became_late()
    for job in late[:10]:
        console.print(f"late: {job.id} ({job.workload}): {reasons(job)}")
    if len(late) > 10:
        console.print(f"and {len(late) - 10} more jobs became late; see --out")
    for text in summary["notes"]:
        console.print(f"note: {text}", style="dim")
    for text in found.broken():
        console.print(f"broken rule: {text}", style="bold red")
