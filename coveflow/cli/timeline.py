"""`coveflow lab timeline` and `suspect`: what logs say of faults, and how they are noticed."""

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
@click.option("--day", metavar="FILE:NAME", help="The site file and day whose faults it had.")
@click.option("--least", type=float, default=0.0, help="Fail where a class or team is served less.")
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")
def timeline(logs: tuple[Path, ...], day: str | None, least: float, as_json: bool) -> None:
    """For each fault: first doubt, verdict, view, decision, and what it cost.

    LOGS are printouts at `info`, or folders of a lab's logs. Times are s after the fault. Served
    is the part done of what was accepted and not cancelled; started and in time stand beside it.
    "largest" are the tenth of a class's jobs with the most CPUs. Exit status 1 where a class, a
    team or a class's largest are served less than `--least`, or the largest begin after 240 s.
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
        raise UserError("no line of a controller's log is in there; was LOG_LEVEL error?")
    told = tl.report(events, faults)
    served = tl.service_shares(events)
    low = tl.underserved(served, least)
    if as_json:
        print(json.dumps(told | {"under_least": low}))
        raise SystemExit(1 if low else 0)
    console = Console()
    table = Table(box=None)
    for title in ("at", "fault", *COLUMNS):
        table.add_column(title.replace("_", " "), justify="left" if title == "fault" else "right")
    for row in told["faults"]:
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
        f"left the view {told['left']} times; {told['lost']} attempts lost to leases;"
        f" {told['returned']} machines returned as silent"
    )
    if low:
        console.print(f"served less than {least:g}, or begun too late: {', '.join(low)}")
        raise SystemExit(1)


@click.command()
@click.option("--hours", type=float, default=1000.0, show_default=True, help="Virtual hours.")
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")
def suspect(hours: float, seed: int, as_json: bool) -> None:
    """Detectors on the same generated intervals: wrong doubts and verdicts, delays (simulated)."""
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
