"""Predicts each role's resource use at the operators' size and writes docs/CAPACITY.md's tables.

A figure under a load is that of the base load plus, for each variable, its slope times the distance
from the base: effects are assumed to be additive. Figures that are not linear are marked.
"""

from __future__ import annotations

import re
from dataclasses import dataclass, fields

from coveflow.lab.scale import Load, Reading
from coveflow.lab.slopes import BASE, ROLES, Slope, fit_all, value_of

# The operators' stated load; peak jobs per second are ten times the daily mean (55,000 a day).
PEAK = Load(
    machines=5500, running=33_000, starts=1200.0, waiting=10_000, teams=130, zones=14, jobs=6.4
)
# Assumes a tenth of the peak's starts, the daily mean of jobs and no waiting tasks.
QUIET = Load(machines=5500, running=33_000, starts=120.0, waiting=0, teams=130, zones=14, jobs=0.64)

# s of processor time that a message costs a real process in HTTP parsing and the kernel, which the
# slopes leave out. Scale runs of 500, 1,000 and 2,000 hollow workers agree within 20%
# (docs/CAPACITY.md).
HTTP_S = 0.0004
SHARED_BY_WORKERS = (
    "running",
    "starts",
    "waiting",
    "jobs",
)  # variables that are divided among the workers

TITLES = {
    "cores": "event loop, cores", "process": "whole process, cores", "messages": "messages/s",
    "bytes": "bytes/s", "bytes in": "bytes in/s", "bytes out": "bytes out/s",
    "book bytes": "book, bytes", "record bytes": "records, bytes",
}  # fmt: skip
MARKER_BEGIN, MARKER_END = "<!-- made by coveflow lab scale page: {} -->", "<!-- end -->"


@dataclass(frozen=True)
class Prediction:
    """A predicted figure of a role; `parts` holds what each variable adds to the base."""

    role: str
    figure: str
    value: float
    parts: dict[str, float]
    is_linear: bool  # whether all slopes used are linear


def predict(slopes: list[Slope], load: Load) -> list[Prediction]:
    """Predict all figures that have slopes, under the load."""
    found: dict[tuple[str, str], list[Slope]] = {}
    for slope in slopes:
        found.setdefault((slope.role, slope.figure), []).append(slope)
    rows = [_predicted(role, figure, of, load) for (role, figure), of in found.items()]
    return [*rows, *_processes(rows)]


def _processes(rows: list[Prediction]) -> list[Prediction]:
    """Processor time of whole processes: event loop and cost per message."""
    by = {(row.role, row.figure): row for row in rows}
    found = []
    for role in ("leader", "follower"):
        loop, messages = by.get((role, "cores")), by.get((role, "messages"))
        if loop is not None and messages is not None:
            parts = {"event loop": loop.value, "messages": HTTP_S * messages.value}
            found.append(Prediction(role, "process", sum(parts.values()), parts, loop.is_linear))
    return found


def _predicted(role: str, figure: str, slopes: list[Slope], load: Load) -> Prediction:
    base = sum(s.at_zero + s.slope * getattr(BASE, s.variable) for s in slopes) / len(slopes)
    # A worker has its share of the tasks that the fleet runs and starts.
    part = BASE.machines / load.machines if role == "worker" else 1.0
    parts = {}
    for s in slopes:
        there = getattr(load, s.variable) * (part if s.variable in SHARED_BY_WORKERS else 1.0)
        parts[s.variable] = s.slope * (there - getattr(BASE, s.variable))
    straight = all(s.is_linear for s in slopes)
    return Prediction(role, figure, max(0.0, base + sum(parts.values())), parts, straight)


def fit_roles(sweeps: dict[str, list[Reading]]) -> list[Slope]:
    """Fit all figures of every role."""
    return [slope for role in ROLES for slope in fit_all(role, sweeps)]


def _number(value: float) -> str:
    if abs(value) >= 1e6:
        return f"{value / 1e6:.1f}M"
    if abs(value) >= 1e4:
        return f"{value / 1e3:.0f}k"
    return f"{value:.3g}"


def _row(*cells: str) -> str:
    return "| " + " | ".join(cells) + " |"


def table_of_slopes(slopes: list[Slope]) -> str:
    """A row for each figure: its slope along each variable, with the largest residual."""
    variables = list(dict.fromkeys(s.variable for s in slopes))
    lines = [_row("role", "figure", *variables), _row(*["---"] * (len(variables) + 2))]
    for role, figure in dict.fromkeys((s.role, s.figure) for s in slopes):
        mine = {s.variable: s for s in slopes if (s.role, s.figure) == (role, figure)}
        cells = [
            f"{mine[v].slope:.3g} ({mine[v].residual:.0%})" if v in mine else "" for v in variables
        ]
        lines.append(_row(role, TITLES[figure], *cells))
    return "\n".join(lines)


def table_at_size(slopes: list[Slope]) -> str:
    """Each figure at the quiet and the peak load, and the variables that add most at the peak."""
    quiet = {(p.role, p.figure): p for p in predict(slopes, QUIET)}
    lines = [_row("role", "figure", "quiet", "peak", "most of it from"), _row(*["---"] * 5)]
    for peak in predict(slopes, PEAK):
        largest = sorted(peak.parts, key=lambda name: -peak.parts[name])[:2]
        why = ", ".join(f"{name} {_number(peak.parts[name])}" for name in largest)
        note = "" if peak.is_linear else " (not a line)"
        lines.append(
            _row(
                peak.role, TITLES[peak.figure], _number(quiet[peak.role, peak.figure].value),
                _number(peak.value) + note, why,
            )
        )  # fmt: skip
    return "\n".join(lines)


def table_of_points(sweeps: dict[str, list[Reading]]) -> str:
    """The measured processor time of the leader and a follower, a row per point."""
    lines = [
        _row("variable", "value", "machines", "running", "starts/s", "leader, cores",
             "follower, cores", "leader's book, bytes"),
        _row(*["---"] * 8),
    ]  # fmt: skip
    for variable, readings in sweeps.items():
        for it in readings:
            lines.append(
                _row(
                    variable, f"{value_of(variable, it):g}", str(it.machines),
                    f"{it.running:g}", f"{it.starts:.0f}", f"{it.cores['leader']:.3f}",
                    f"{it.cores['follower']:.3f}", _number(it.book_bytes),
                )
            )  # fmt: skip
    return "\n".join(lines)


def table_of_loads() -> str:
    """The values of the base, quiet and peak loads."""
    names = [field.name for field in fields(Load)]
    lines = [_row("load", *names), _row(*["---"] * (len(names) + 1))]
    for title, load in (("base of the sweeps", BASE), ("quiet", QUIET), ("peak", PEAK)):
        lines.append(_row(title, *(f"{getattr(load, name):g}" for name in names)))
    return "\n".join(lines)


def tables(sweeps: dict[str, list[Reading]]) -> dict[str, str]:
    """The page's tables by name."""
    slopes = fit_roles(sweeps)
    return {
        "loads": table_of_loads(),
        "at size": table_at_size(slopes),
        "slopes": table_of_slopes(slopes),
        "points": table_of_points(sweeps),
    }


def replace_tables(page: str, made: dict[str, str]) -> str:
    """The page with its tables replaced. Raises KeyError if a table's markers are missing."""
    for name, table in made.items():
        begin = MARKER_BEGIN.format(name)
        pattern = re.escape(begin) + r".*?" + re.escape(MARKER_END)
        page, count = re.subn(
            pattern,
            lambda _, b=begin, t=table: f"{b}\n\n{t}\n\n{MARKER_END}",
            page,
            flags=re.DOTALL,
        )
        if count != 1:
            raise KeyError(name)
    return page
