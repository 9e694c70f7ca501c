"""Decides, from machine types and team limits, whether a submitted job can never run."""

from __future__ import annotations

from coveflow.core.model import Flavor, Spec
from coveflow.settings import Team


def why_impossible(spec: Spec, teams: dict[str, Team], flavors: list[Flavor]) -> str:
    """The reason why the job can never run; "" if it can.

    Implements the protocol's text, independently of the service's own admission.
    """
    team = teams.get(spec.team)
    if team is None:
        return f"no team {spec.team}"
    if not any(_fits(spec, flavor) for flavor in flavors):
        return "a task fits no allowed machine type"
    count = 1 if spec.kind == "array" else spec.tasks
    if team.cpus_max > 0 and count * spec.cpus > team.cpus_max:
        return f"needs {count * spec.cpus:g} CPUs of the team's {team.cpus_max:g}"
    if team.accelerators_max > 0 and count * spec.accelerators > team.accelerators_max:
        return f"needs {count * spec.accelerators:g} of {team.accelerators_max:g} accelerators"
    return ""


def _fits(spec: Spec, flavor: Flavor) -> bool:
    return (
        (spec.types is None or flavor.name in spec.types)
        and (spec.zone is None or spec.zone in flavor.zones)
        and spec.cpus <= flavor.cpus
        and spec.accelerators <= flavor.accelerators
        and spec.ram_gb <= flavor.ram_gb
    )
