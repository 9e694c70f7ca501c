"""Why a job's tasks wait, in one word each, from what the planner sees. Pure."""

from __future__ import annotations

from coveflow.core.model import Flavor, Job, Machine
from coveflow.core.planner import under_limit
from coveflow.core.timeline import fit
from coveflow.settings import Team

NOBODY = "nobody leads"
HELD = "held for an operator: its class allows no repeat"
PAUSED = "paused after failures"
LIMIT = "its team is at its limit"
GANG = "no room for the whole gang at one time"
BOOTING = "machines for it are booting"
REFUSED = "the cloud has no more machines for it"
NOTHING = "no machine that it may use is up"
FULL = "machines it may use are full"
PLACED = "placed, its machine has not begun it"


def why_waits(
    job: Job,
    machines: list[Machine],
    teams: dict[str, Team],
    usage: dict[str, tuple[float, float]],
    flavors: dict[str, Flavor],
    closed: dict[tuple[str, str, bool], float],
    booting: set[tuple[str, str, bool]],
    now: float,
) -> str:
    """The first thing in the way of its next task; empty if nothing of it waits.

    `closed` has, by (type, zone, spot), until when a refusal counts; `booting` what was rented
    and is not up.
    """
    if not job.free:
        if job.held:
            return HELD
        fetching = any(not p.state or p.state == "pulling" for p in job.placed.values())
        return PLACED if fetching else ""
    spec = job.spec
    if job.not_before > now:
        return PAUSED
    need = spec.tasks if spec.kind == "gang" else 1
    if under_limit(spec, need, usage, teams) < need:
        return LIMIT
    kinds = {
        (f.name, zone, spot)
        for f in flavors.values()
        if (spec.types is None or f.name in spec.types)
        and fit(f.cpus, f.ram_gb, f.accelerators, spec)
        for zone in f.zones
        if spec.zone in (None, zone)
        for spot in ((False, True) if spec.spot else (False,))
    }
    usable = [
        m for m in machines
        if m.allowed(spec) and not m.draining and not m.returning
        and fit(m.flavor.cpus, m.flavor.ram_gb, m.flavor.accelerators, spec)
    ]  # fmt: skip
    if kinds & booting:
        return BOOTING
    if usable:
        if spec.kind == "gang" and sum(m.fits(spec) for m in usable):
            return GANG
        return FULL
    if kinds and all(closed.get(key, 0.0) > now for key in kinds):
        return REFUSED
    return NOTHING
