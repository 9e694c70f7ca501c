"""`coveflow trace`: record, show, verify and merge the leader's events."""

from __future__ import annotations

import asyncio
import contextlib
import json
import sys
import time
from pathlib import Path
from typing import Any

import click
from rich.console import Console
from rich.table import Table

from coveflow import settings as s
from coveflow.cli.errors import UserError

PATH = click.Path(path_type=Path)


@click.group()
def trace() -> None:
    """Record, show, verify and merge the leader's events."""


@trace.command()
@click.option("--config", type=PATH, required=True, help="Settings of any controller (TOML).")
@click.option(
    "--out", type=PATH, required=True, help="Folder of the trace; an existing one is continued."
)
@click.option("--for", "for_s", type=float, help="Seconds to record; default: until Ctrl-C.")
def record(config: Path, out: Path, for_s: float | None) -> None:
    """Record the events of the current leader, across leader changes and restarts."""
    import aiohttp

    from coveflow.cli.lab import run_until_signal
    from coveflow.trace.files import TraceError
    from coveflow.trace.record import Recorder

    settings = s.load(config)

    async def run() -> Recorder:
        async with aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0)) as session:
            recorder = Recorder(settings, out, session)
            with contextlib.suppress(asyncio.CancelledError):
                await recorder.run(for_s)
            return recorder

    try:
        recorder = run_until_signal(run())
    except (TraceError, OSError) as error:
        raise UserError(str(error)) from error
    manifest = recorder.writer.manifest
    rows = sum(segment.rows for segment in manifest.segments)
    click.echo(f"{out}: {rows} events, {recorder.gap_count} gaps told by this run")


@trace.command()
@click.argument("folder", type=PATH)
@click.option("--job", help="Only this job.")
@click.option("--machine", help="Only this machine.")
@click.option("--kind", multiple=True, help="Only these kinds.")
@click.option("--most", default=200, show_default=True, help="Newest rows; 0: all.")
@click.option("--json", "as_json", is_flag=True, help="One JSON object a line.")
def show(
    folder: Path, job: str | None, machine: str | None, kind: tuple[str, ...], most: int,
    as_json: bool,
) -> None:  # fmt: skip
    """Show all events, or those of one job, machine or kind."""
    from coveflow.trace.files import TraceError, read

    rows = []
    try:
        for event in read(folder):
            f = event.fields
            if job is not None and f.get("job") != job:
                continue
            if machine is not None and f.get("machine") != machine:
                continue
            if kind and event.kind not in kind:
                continue
            rows.append(event)
    except TraceError as error:
        raise UserError(str(error)) from error
    if most:
        rows = rows[-most:]
    if as_json:
        for event in rows:
            row = {"epoch": event.epoch, "number": event.number, "at": event.at}
            click.echo(json.dumps(row | {"kind": event.kind, **event.fields}))
        return
    table = Table(box=None, header_style="bold", pad_edge=False)
    for name in ("time", "epoch", "event", "task", "machine", "more"):
        table.add_column(name, overflow="fold")
    for event in rows:
        table.add_row(*_row_cells(event))
    Console().print(table)


def _row_cells(event: Any) -> list[str]:
    f = dict(event.fields)
    at = time.strftime("%H:%M:%S", time.localtime(event.at)) + f"{event.at % 1:.3f}"[1:]
    task = str(f.pop("job", ""))
    if "task" in f:
        task += f"/{f.pop('task')}"
    if "number" in f:
        task += f" try {f.pop('number')}"
    machine = str(f.pop("machine", ""))
    spec = f.pop("spec", None)
    if spec:
        f = {k: spec[k] for k in ("workload", "team", "kind", "tasks", "cpus")} | f
    for large in ("params", "types", "tuning"):
        f.pop(large, None)
    more = " ".join(f"{k}={v}" for k, v in f.items() if v not in (None, [], ""))
    return [at, f"{event.epoch}/{event.number}", event.kind, task, machine, more]


@trace.command()
@click.argument("folder", type=PATH)
@click.option("--json", "as_json", is_flag=True)
def verify(folder: Path, as_json: bool) -> None:
    """Check a trace: checksums, order, a record of every gap. Exit status 1 if it is wrong."""
    from coveflow.trace.files import TraceError, verify

    try:
        result = verify(folder)
    except TraceError as error:
        raise UserError(str(error)) from error
    if as_json:
        row = {"rows": result.rows, "epochs": result.epochs, "gaps": result.gaps}
        click.echo(json.dumps(row | {"wrong": result.wrong}))
    else:
        events_by_epoch = ", ".join(f"{e}: {n}" for e, n in sorted(result.epochs.items()) if e)
        click.echo(f"{folder}: {result.rows} rows; events by lead {events_by_epoch or 'none'}")
        for gap in result.gaps:
            last = "?" if gap["last"] is None else gap["last"]
            click.echo(f"gap: {gap['of']}/{gap['first']} to {last}: {gap['why']}")
        for text in result.wrong:
            click.echo(f"wrong: {text}", err=True)
        if not result.wrong:
            click.echo("whole: nothing is doubled, and nothing is missing that is not told")
    sys.exit(1 if result.wrong else 0)


@trace.command()
@click.argument("folders", nargs=-1, required=True, type=PATH)
@click.option("--out", type=PATH, required=True, help="Folder of the new trace.")
def merge(folders: tuple[Path, ...], out: Path) -> None:
    """Merge several recorders' traces of one cluster into one trace with large segments."""
    from coveflow.trace.files import TraceError, merge

    try:
        rows = merge(folders, out)
    except TraceError as error:
        raise UserError(str(error)) from error
    click.echo(f"{out}: {rows} events")
