"""Checks before acceptance whether a job can ever run. Pure.

Machine types, their zones and the teams' limits are known in advance. Capacity is not published, so
a job is never rejected for needing many machines. An array may run one task at a time, so each
rule applies to a single task of it. The tasks of a gang or a service run all at once.
"""

from __future__ import annotations

from collections.abc import Iterable
from enum import StrEnum

from coveflow.core.model import Flavor, Spec
from coveflow.settings import Team

LIMIT_TOLERANCE = 1e-6  # CPUs or accelerators; tolerance, as sums of decimal fractions are inexact


class Infeasible(StrEnum):
    """Reason why a job can never run; the value is the text shown to the user."""

    TEAM = "unknown team"
    MACHINE = "a task fits no allowed machine type"
    ZONE = "no machine type that a task fits is offered in its zone"
    IMAGE = "the image is larger than the disk of every machine type that a task fits"
    SPREAD = "all its tasks run at once, at most half in one zone, and only one zone may have them"
    LIMIT = "more than the team's limit"


def fits_type(spec: Spec, flavor: Flavor) -> bool:
    """Whether the job allows the type and one task fits an empty machine of it."""
    return (
        (spec.types is None or flavor.name in spec.types)
        and flavor.cpus >= spec.cpus
        and flavor.accelerators >= spec.accelerators
        and flavor.ram_gb >= spec.ram_gb
    )


def fits_any_type(spec: Spec, flavors: Iterable[Flavor]) -> bool:
    """Whether a task fits an empty machine of some type and zone that the job allows."""
    return any(fits_type(spec, f) and _allowed_zones(spec, f) for f in flavors)


def types_that_fit(spec: Spec, flavors: Iterable[Flavor]) -> list[Flavor]:
    """Return the types that fit a task and its image in a zone that the job allows."""
    fitting = [f for f in flavors if fits_type(spec, f) and _allowed_zones(spec, f)]
    return [f for f in fitting if spec.image_gb <= f.cache_gb]


def infeasible(spec: Spec, team: Team | None, flavors: Iterable[Flavor]) -> Infeasible | None:
    """Return the reason why the job can never run; None if it can."""
    if team is None:
        return Infeasible.TEAM
    fitting = [f for f in flavors if fits_type(spec, f)]
    if not any(f.zones for f in fitting):
        return Infeasible.MACHINE
    if not any(_allowed_zones(spec, f) for f in fitting):
        return Infeasible.ZONE
    holding = types_that_fit(spec, fitting)
    if not holding:
        return Infeasible.IMAGE
    if _spread_fails(spec, holding):
        return Infeasible.SPREAD
    return Infeasible.LIMIT if _over_limit(spec, team) else None


def spread_is_impossible(spec: Spec, flavors: list[Flavor]) -> bool:
    """Whether a spread job can use only one zone, which may take only half of its tasks.

    Jobs like this accepted by older builds stay accepted but are not planned; otherwise machines
    are rented for them again and again.
    """
    return spec.spread and bool(flavors) and _spread_fails(spec, types_that_fit(spec, flavors))


def allowed_types(spec: Spec, flavors: Iterable[Flavor]) -> list[str] | None:
    """Return the job's machine types without unknown ones and those too small for its image.

    The planner does not check the image size itself. None means that every known type will do.
    """
    known = [f for f in flavors if spec.types is None or f.name in spec.types]
    holding = [f.name for f in known if spec.image_gb <= f.cache_gb]
    if spec.types is None and len(holding) == len(known):
        return None
    return holding


def _min_concurrent_tasks(spec: Spec) -> int:
    """Return how many of the job's tasks must at least run at the same time."""
    return 1 if spec.kind == "array" else spec.tasks


def _allowed_zones(spec: Spec, flavor: Flavor) -> set[str]:
    """Return the zones in which machines of the type may run the job's tasks."""
    return {zone for zone in flavor.zones if spec.zone in (None, zone)}


def _spread_fails(spec: Spec, holding: list[Flavor]) -> bool:
    """Whether a spread job would need more tasks in one zone than allowed.

    Two zones suffice, with at most half of the tasks, rounded up, in each. An array can run in one
    zone: half of its tasks at first, and the others as those end.
    """
    if not spec.spread or _min_concurrent_tasks(spec) <= 1:
        return False
    zones = {zone for flavor in holding for zone in _allowed_zones(spec, flavor)}
    return spec.one_zone or len(zones) < 2


def _over_limit(spec: Spec, team: Team) -> bool:
    """Whether the tasks that run at once exceed the team's limit; 0 means no limit."""
    count = _min_concurrent_tasks(spec)
    return any(
        most > 0 and each * count > most + LIMIT_TOLERANCE
        for each, most in (
            (spec.cpus, team.cpus_max),
            (spec.accelerators, team.accelerators_max),
        )
    )
