"""Explains why a job's tasks are waiting, from the planner's input. Pure."""

from __future__ import annotations

from coveflow.core.exclusions import is_excluded
from coveflow.core.model import Flavor, Job, Machine
from coveflow.core.pass_decisions import count_within_limit
from coveflow.core.timeline import count_fitting
from coveflow.settings import Team

NO_LEADER = "nobody leads"
HELD_FOR_OPERATOR = "held for an operator: its class allows no repeat"
PAUSED = "paused after failures"
TEAM_LIMIT = "its team is at its limit"
GANG_DOES_NOT_FIT = "no room for the whole gang at one time"
BOOTING = "machines for it are booting"
CLOUD_REFUSED = "the cloud has no more machines for it"
NO_MACHINE_UP = "no machine that it may use is up"
MACHINES_FULL = "machines it may use are full"
EXCLUDED = "the machines with room are left out after failures"
PLACED = "placed, its machine has not begun it"


def wait_reason(
    job: Job,
    machines: list[Machine],
    teams: dict[str, Team],
    usage: dict[str, tuple[float, float]],
    flavors: dict[str, Flavor],
    refused_until: dict[tuple[str, str, bool], float],
    booting: set[tuple[str, str, bool]],
    now: float,
) -> str:
    """Return the first reason why the next task cannot start; empty if no task is waiting.

    `refused_until` maps (type, zone, spot) to the time until which a refusal counts; `booting` has
    the (type, zone, spot) of rented machines that are not up yet.
    """
    if not job.pending:
        if job.held:
            return HELD_FOR_OPERATOR
        fetching = any(not p.state or p.state == "pulling" for p in job.placed.values())
        return PLACED if fetching else ""
    spec = job.spec
    if job.not_before > now:
        return PAUSED
    need = spec.tasks if spec.kind == "gang" else 1
    if count_within_limit(spec, need, usage, teams) < need:
        return TEAM_LIMIT
    kinds = {
        (f.name, zone, spot)
        for f in flavors.values()
        if (spec.types is None or f.name in spec.types)
        and count_fitting(f.cpus, f.ram_gb, f.accelerators, spec)
        for zone in f.zones
        if spec.zone in (None, zone)
        for spot in ((False, True) if spec.spot else (False,))
    }
    usable = [
        m for m in machines
        if m.allows(spec) and not m.draining and not m.returning
        and count_fitting(m.flavor.cpus, m.flavor.ram_gb, m.flavor.accelerators, spec)
    ]  # fmt: skip
    if kinds & booting:
        return BOOTING
    if usable:
        if spec.kind == "gang" and sum(m.fits(spec) for m in usable):
            return GANG_DOES_NOT_FIT
        with_room = [m for m in usable if m.fits(spec)]
        if with_room and all(is_excluded(job, m) for m in with_room):
            return EXCLUDED
        return MACHINES_FULL
    if kinds and all(refused_until.get(key, 0.0) > now for key in kinds):
        return CLOUD_REFUSED
    return NO_MACHINE_UP
