"""`coveflow lab timeline` and `suspect`: fault detection in logs, and a detector comparison."""

from __future__ import annotations

import json
from pathlib import Path

import click
from rich.console import Console
from rich.table import Table

from coveflow.cli.errors import UserError
from coveflow.lab import timeline as tl

COLUMNS = (
    "doubt", "verdict", "view", "read", "decision", "first_report", "last_machine", "gap",
    "left", "lost", "returned",
)  # fmt: skip


@click.command()
@click.argument("logs", nargs=-1, required=True, type=click.Path(exists=True, path_type=Path))
@click.option(
    "--day", metavar="FILE:NAME", help="The site file and the day in it whose faults were injected."
)
@click.option(
    "--least", type=float, default=0.0, help="Fail if a class or team is served less than this."
)
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")
def timeline(logs: tuple[Path, ...], day: str | None, least: float, as_json: bool) -> None:
    """Show for each fault the first suspicion (doubt), verdict, view, decision, and its cost.

    LOGS are log files at level `info`, or folders of a lab's logs. Times are in s after the fault.
    "served" is the share of the accepted and not cancelled jobs that were done, shown with the
    shares started and in time. "largest" is the tenth of a class's jobs with the most CPUs. Exit
    status 1 if a class, a team or a class's largest jobs are served less than `--least`, or its
    largest jobs begin after 240 s.
    """
    faults: list[tuple[float, str]] = []
    if day is not None:
        file, _, name = day.rpartition(":")
        try:
            faults = tl.faults_of_day(Path(file), name)
        except (OSError, ValueError, KeyError) as error:
            raise UserError(f"--day {day}: {error}") from error
    events = tl.read(logs)
    if not events:
        raise UserError("the logs have no line of a controller; was LOG_LEVEL set to error?")
    report = tl.report(events, faults)
    served = tl.service_shares(events)
    underserved = tl.underserved(served, least)
    if as_json:
        print(json.dumps(report | {"under_least": underserved}))
        raise SystemExit(1 if underserved else 0)
    console = Console()
    table = Table(box=None)
    for title in ("at", "fault", *COLUMNS):
        table.add_column(title.replace("_", " "), justify="left" if title == "fault" else "right")
    for row in report["faults"]:
        cells = ["" if row[key] is None else f"{row[key]:g}" for key in COLUMNS]
        table.add_row(f"{row['at']:g}", row["fault"], *cells)
    console.print(table)
    shares = Table(box=None)
    for title in ("class or team", "jobs", "started", "served", "cancelled", "in time", "begun by"):
        shares.add_column(title)
    for name, s in served.items():
        shares.add_row(
            name, str(s.jobs), f"{s.started / max(1, s.jobs):.2f}", f"{s.served:.2f}",
            str(s.cancelled), f"{s.in_time / s.due:.2f}" if s.due else "", f"{s.begin_s:g} s",
        )  # fmt: skip
    console.print(shares)
    console.print(
        f"left the view {report['left']} times; {report['lost']} attempts lost to leases;"
        f" {report['returned']} machines returned as silent"
    )
    if underserved:
        console.print(f"served less than {least:g}, or begun too late: {', '.join(underserved)}")
        raise SystemExit(1)


@click.command()
@click.option("--hours", type=float, default=1000.0, show_default=True, help="Virtual hours.")
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")
def suspect(hours: float, seed: int, as_json: bool) -> None:
    """Compare detectors on the same simulated intervals: wrong suspicions, verdicts, delays."""
    from coveflow.lab import detector_comparison as su

    found = su.measure(hours, seed)
    if as_json:
        print(json.dumps(found))
        return
    console = Console()
    table = Table(box=None)
    for title in ("detector", "conditions", "wrong doubts/h", "wrong verdicts", "p50 s", "p99 s"):
        table.add_column(title, justify="left" if title in ("detector", "conditions") else "right")
    for row in found["doubts"] + found["verdicts"]:
        verdicts = row["extra"].get("wrong_verdicts")
        table.add_row(
            row["detector"], row["conditions"],
            "" if verdicts is not None else f"{row['wrong_doubts_per_hour']:.4g}",
            "" if verdicts is None else f"{verdicts:g} in {row['hours']:g} h",
            f"{row['p50_s']:.2f}", f"{row['p99_s']:.2f}",
        )  # fmt: skip
    console.print(table)
