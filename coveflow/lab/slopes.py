"""Fits how each role's resource use grows with one variable of the load at a time.

The base load is the same in every sweep. A line is fitted against the load as actually reached, and
its largest residual is reported; where it is over `MAX_RESIDUAL` of the fitted value, the figure
does not depend on that variable alone, or not linearly.
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
MAX_RESIDUAL = 0.1  # largest residual, relative to the fitted value, of a linear figure
MIN_CHANGE = (
    1e-9  # least relative change of a figure in a sweep; a smaller one is rounding of the fit
)
ROLES = ("leader", "follower", "worker", "state", "cloud")


def figures(role: str, reading: Reading) -> dict[str, float]:
    """Figures of the role under the load: processor time in cores, traffic per second."""
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
    # The traffic is that of all followers together.
    nodes = 1 if role == "leader" else NODES - 1
    found = {
        "cores": reading.cores[role],
        "messages": sum(it.messages for it in asked + asks) / nodes,
        "bytes in": sum([it.bytes_out for it in asked] + [it.bytes_in for it in asks]) / nodes,
        "bytes out": sum([it.bytes_in for it in asked] + [it.bytes_out for it in asks]) / nodes,
    }
    return found | ({"book bytes": reading.book_bytes} if role == "leader" else {})


def value_of(variable: str, reading: Reading) -> float:
    """The variable as actually reached under the load."""
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
    residual: float  # the largest, relative to the fitted value

    @property
    def is_linear(self) -> bool:
        return self.residual <= MAX_RESIDUAL


def fit(role: str, figure: str, variable: str, readings: list[Reading]) -> Slope:
    """The line through the readings of one sweep."""
    points = [(value_of(variable, r), figures(role, r)[figure]) for r in readings]
    x, y = (np.array(column) for column in zip(*points, strict=True))
    slope, at_zero = (float(it) for it in np.polyfit(x, y, 1))
    if abs(slope) * float(np.ptp(x)) < MIN_CHANGE * float(np.max(np.abs(y))):
        slope, at_zero = 0.0, float(np.mean(y))
    line = at_zero + slope * x
    scale = np.maximum(np.abs(line), 1e-12)
    residual = float(np.max(np.abs(y - line) / scale))
    return Slope(role, figure, variable, slope, at_zero, tuple(points), residual)


def fit_all(role: str, sweeps: dict[str, list[Reading]]) -> list[Slope]:
    """The slopes of all figures of the role along all swept variables."""
    return [
        fit(role, figure, variable, readings)
        for variable, readings in sweeps.items()
        for figure in figures(role, readings[0])
    ]


def loads(variable: str) -> Iterator[Load]:
    """The base load with each of the variable's values."""
    for value in SWEEPS[variable]:
        kind = type(getattr(BASE, variable))
        yield replace(BASE, **{variable: kind(value)})


def sweep(
    variables: list[str], at_once: int, done: Callable[[Reading], None] = lambda reading: None
) -> dict[str, list[Reading]]:
    """Measure each variable's loads, `at_once` in parallel, each in its own process."""
    asked = [(variable, load) for variable in variables for load in loads(variable)]
    found: dict[str, list[Reading]] = {variable: [] for variable in variables}
    with ProcessPoolExecutor(at_once, max_tasks_per_child=1) as pool:
        readings = pool.map(measure, [load for _, load in asked])
        for (variable, _), reading in zip(asked, readings, strict=True):
            found[variable].append(reading)
            done(reading)
    return found
