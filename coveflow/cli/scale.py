"""`coveflow lab scale`: each role's resource use by load, the capacity page, scale runs."""

from __future__ import annotations

import json
from dataclasses import asdict
from pathlib import Path
from typing import Any

import click
from rich.console import Console
from rich.table import Table

from coveflow.cli.errors import UserError

SWEEP_PROCESS_MB = 600  # MB that a process may take under the largest load of the sweeps
MEMORY_SHARE = 0.5  # share of this machine's memory that sweeps may use


def _memory_mb() -> float:
    with open("/proc/meminfo") as file:
        return int(file.readline().split()[1]) / 1024


@click.group()
def scale() -> None:
    """Resource use of each role as the fleet grows: slopes, capacity page, real processes."""


@scale.command()
@click.argument("roles", nargs=-1)
@click.option(
    "--variable", "variables", multiple=True, help="Sweep only this variable; may be repeated."
)
@click.option("--at-once", type=click.IntRange(1), default=4, show_default=True)
@click.option("--json", "as_json", is_flag=True, help="Print readings and slopes as JSON.")
def slopes(roles: tuple[str, ...], variables: tuple[str, ...], at_once: int, as_json: bool) -> None:
    """Measure the resource use of ROLES (default: all) under load, on the daemon's own code.

    Runs in virtual time. Varies one variable of the load at a time, over at least four points,
    and fits a line.
    """
    from coveflow.lab import slopes as s
    from coveflow.lab.scale import Reading, to_row

    for role in roles:
        if role not in s.ROLES:
            raise click.BadParameter(f"{role}: no such role; one of: {', '.join(s.ROLES)}")
    for name in variables:
        if name not in s.SWEEPS:
            raise click.BadParameter(f"{name}: no such one; one of: {', '.join(s.SWEEPS)}")
    max_at_once = int(_memory_mb() * MEMORY_SHARE / SWEEP_PROCESS_MB)
    if at_once > max_at_once:
        raise click.BadParameter(
            f"{at_once} at once may take {at_once * SWEEP_PROCESS_MB} MB, over half of this"
            f" machine's memory; {max_at_once} fit"
        )
    console = Console(stderr=True)

    def on_reading(reading: Reading) -> None:
        console.print(
            f"{reading.machines} machines, {reading.running} running, {reading.starts:g} starts/s:"
            f" leader {reading.cores['leader']:.3f} cores"
        )

    sweeps = s.sweep(list(variables or s.SWEEPS), at_once, on_reading)
    found = [it for role in roles or s.ROLES for it in s.fit_all(role, sweeps)]
    if as_json:
        readings = {name: [to_row(it) for it in rows] for name, rows in sweeps.items()}
        print(json.dumps({"readings": readings, "slopes": [asdict(it) for it in found]}))
        return
    table = Table("role", "figure", "variable", "slope", "at zero", "largest residual", box=None)
    for it in found:
        note = "" if it.is_linear else " (no line)"
        table.add_row(
            it.role, it.figure, it.variable, f"{it.slope:.4g}", f"{it.at_zero:.4g}",
            f"{it.residual:.0%}{note}",
        )  # fmt: skip
    Console().print(table)


@scale.command()
@click.argument("readings", type=click.Path(exists=True, dir_okay=False))
@click.argument("page", type=click.Path(exists=True, dir_okay=False))
def page(readings: str, page: str) -> None:
    """Replace the tables of a capacity PAGE by those of the READINGS of `slopes --json`."""
    from coveflow.lab import capacity as pages

    text = Path(page).read_text(encoding="utf-8")
    try:
        made = pages.replace_tables(text, pages.tables(_read_sweeps(readings)))
    except KeyError as error:
        raise UserError(f"{page}: no markers for the table {error}") from error
    Path(page).write_text(made, encoding="utf-8")


def _load_faults(path: str | None) -> list[Any]:
    from coveflow.lab import faults

    return faults.load(Path(path)) if path else []


@scale.command("run")
@click.option("--machines", type=click.IntRange(1), default=1000, show_default=True)
@click.option("--starts", type=float, default=100.0, show_default=True, help="Tasks per second.")
@click.option("--running", type=click.IntRange(0), default=2000, show_default=True)
@click.option("--teams", type=click.IntRange(1), default=1, show_default=True)
@click.option("--zones", type=click.IntRange(1), default=2, show_default=True)
@click.option("--for", "for_s", type=click.FloatRange(15, 900), default=60.0, show_default=True)
@click.option(
    "--faults", type=click.Path(exists=True, dir_okay=False), help="A lab's fault script."
)
@click.option("--folder", type=click.Path(file_okay=False), default="scale-run", show_default=True)
@click.option(
    "--slopes",
    "readings",
    type=click.Path(exists=True, dir_okay=False),
    help="Readings of `slopes --json`, to show the use that they predict.",
)
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")
def scale_run(
    machines: int,
    starts: float,
    running: int,
    teams: int,
    zones: int,
    for_s: float,
    faults: str | None,
    folder: str,
    readings: str | None,
    as_json: bool,
) -> None:
    """Run real controllers and simulated workers, the workers in one process, on loopback.

    Exit status 1 if a rule is broken or accepted work never ends.
    """
    from coveflow.cli.lab import run_until_signal
    from coveflow.lab import scale_run as runs
    from coveflow.lab.scale import Load, LoadLimitError

    load = Load(machines, running, starts, teams=teams, zones=zones)
    console = Console(stderr=True)
    try:
        work = runs.run(load, for_s, Path(folder), _load_faults(faults), console.print)
        report = run_until_signal(work)
    except LoadLimitError as error:
        raise UserError(str(error)) from error
    if as_json:
        print(json.dumps(asdict(report)))
    else:
        _print_report(report, _predict_cores(readings, load))
    raise SystemExit(1 if report.broken or report.unfinished else 0)


def _predict_cores(readings: str | None, load: Any) -> dict[str, float]:
    """The cores that the slopes predict for each role under the load; empty without readings."""
    from coveflow.lab import capacity

    if readings is None:
        return {}
    found = capacity.predict(capacity.fit_roles(_read_sweeps(readings)), load)
    return {it.role: it.value for it in found if it.figure == "process"}


def _print_report(report: Any, predicted: dict[str, float]) -> None:
    print(
        f"{report.started_per_s:.0f} tasks started a second of {report.asked_per_s:.0f} asked,"
        f" over {report.measured_s:.0f} s; leaders: {', '.join(report.leaders)}"
    )
    print(f"from acceptance to start, s: {report.to_running}; submissions, ms: {report.submit_ms}")
    print(
        f"rules broken {len(report.broken)}, short jobs without an end {report.unfinished},"
        f" refused {report.refused}"
    )
    table = Table("process", "cores", "busiest", "MB", "cores by the slopes", box=None)
    for name, it in report.usage.items():
        role = "leader" if name in report.leaders else "follower"
        value = predicted.get(role) if name.startswith("host") else None
        table.add_row(
            name, f"{it.cores:.3f}", f"{it.peak_cores:.3f}", f"{it.most_mb:.0f}",
            "" if value is None else f"{value:.3f}",
        )  # fmt: skip
    Console().print(table)


def _read_sweeps(readings: str) -> dict[str, list[Any]]:
    from coveflow.lab.scale import from_row

    rows = json.loads(Path(readings).read_text(encoding="utf-8"))["readings"]
    return {name: [from_row(row) for row in found] for name, found in rows.items()}
