"""Slopes of what each role spends: one variable of the load at a time, fitted by a line.

The base load is the same in every sweep. A line is fitted against the load as it really was, and
its residuals are told; where the largest is over `STRAIGHT` of the fitted value, the figure does
not grow with that variable alone, or not along a line.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, replace

import numpy as np

from coveflow.lab.scale import NODES, Load, Reading, measure

BASE = Load()
SWEEPS: dict[str, tuple[float, ...]] = {
    "machines": (500, 1000, 2000, 3500, 5500),
    "running": (2000, 5000, 10000, 20000),
    "starts": (50, 200, 400, 800, 1200),
    "waiting": (0, 5000, 15000, 30000),
    "teams": (1, 30, 75, 150),
    "zones": (2, 4, 8, 14),
    "jobs": (0, 2, 5, 10),
}
STRAIGHT = 0.1  # largest residual, by the fitted value, of what counts as a line
LEVEL = 1e-9  # part of a figure that a sweep must change it by; less is the fit's own rounding
ROLES = ("leader", "follower", "worker", "state", "cloud")


def figures(role: str, reading: Reading) -> dict[str, float]:
    """What the role spends under the load; processor in cores, the rest a second."""
    if role == "worker":
        mine = [it for name, it in reading.traffic.items() if name.startswith("worker to")]
        per = max(1, reading.machines)
        return {
            "messages": sum(it.messages for it in mine) / per,
            "bytes": sum(it.bytes_out + it.bytes_in for it in mine) / per,
        }
    if role in ("state", "cloud"):
        mine = [it for name, it in reading.traffic.items() if name.endswith(f"to {role}")]
        found = {
            "messages": sum(it.messages for it in mine),
            "bytes in": sum(it.bytes_out for it in mine),
            "bytes out": sum(it.bytes_in for it in mine),
        }
        return found | ({"record bytes": reading.record_bytes} if role == "state" else {})
    asked = [it for name, it in reading.traffic.items() if name.endswith(f"to {role}")]
    asks = [it for name, it in reading.traffic.items() if name.startswith(f"{role} to")]
    # Traffic is of all followers together.
    nodes = 1 if role == "leader" else NODES - 1
    found = {
        "cores": reading.cores[role],
        "messages": sum(it.messages for it in asked + asks) / nodes,
        "bytes in": sum([it.bytes_out for it in asked] + [it.bytes_in for it in asks]) / nodes,
        "bytes out": sum([it.bytes_in for it in asked] + [it.bytes_out for it in asks]) / nodes,
    }
    return found | ({"book bytes": reading.book_bytes} if role == "leader" else {})


def value_of(variable: str, reading: Reading) -> float:
    """The variable as it really was under the load."""
    if variable in ("machines", "running", "starts"):
        return float(getattr(reading, variable))
    return float(getattr(reading.load, variable))


@dataclass(frozen=True)
class Slope:
    """A figure of a role along one variable: `at_zero + slope * variable`."""

    role: str
    figure: str
    variable: str
    slope: float
    at_zero: float
    points: tuple[tuple[float, float], ...]  # variable and figure as measured
    residual: float  # the largest, as part of the fitted value

    @property
    def straight(self) -> bool:
        return self.residual <= STRAIGHT


def fitted(role: str, figure: str, variable: str, readings: list[Reading]) -> Slope:
    """The line through the readings of one sweep."""
    points = [(value_of(variable, r), figures(role, r)[figure]) for r in readings]
    x, y = (np.array(column) for column in zip(*points, strict=True))
    slope, at_zero = (float(it) for it in np.polyfit(x, y, 1))
    if abs(slope) * float(np.ptp(x)) < LEVEL * float(np.max(np.abs(y))):
        slope, at_zero = 0.0, float(np.mean(y))
    line = at_zero + slope * x
    scale = np.maximum(np.abs(line), 1e-12)
    residual = float(np.max(np.abs(y - line) / scale))
    return Slope(role, figure, variable, slope, at_zero, tuple(points), residual)


def all_fitted(role: str, sweeps: dict[str, list[Reading]]) -> list[Slope]:
    """Of each figure of the role along each variable that was swept."""
    return [
        fitted(role, figure, variable, readings)
        for variable, readings in sweeps.items()
        for figure in figures(role, readings[0])
    ]


def loads(variable: str) -> Iterator[Load]:
    """The base load with this variable's values."""
    for value in SWEEPS[variable]:
        kind = type(getattr(BASE, variable))
        yield replace(BASE, **{variable: kind(value)})


def sweep(
    variables: list[str], at_once: int, done: Callable[[Reading], None] = lambda reading: None
) -> dict[str, list[Reading]]:
    """Measure each variable's loads, some at once, each in a process of its own."""
    asked = [(variable, load) for variable in variables for load in loads(variable)]
    found: dict[str, list[Reading]] = {variable: [] for variable in variables}
    with ProcessPoolExecutor(at_once, max_tasks_per_child=1) as pool:
        readings = pool.map(measure, [load for _, load in asked])
        for (variable, _), reading in zip(asked, readings, strict=True):
            found[variable].append(reading)
            done(reading)
    return found
