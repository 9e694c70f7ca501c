"""What is known of whole zones: a zone that falls silent at once is one thing, not many machines.

Pure and without a clock. A verdict about a zone moves traffic, plans and rentals, and puts off
giving machines back; it proves nothing about any task.

A zone that is cut off goes on working inside. Controllers there renew leases for as long as their
newest contact with the store allows, and what runs ends, saves or goes on until then. Machines
given back meanwhile lose all of it, and come back cold if the cloud has them again at all: on a day
with a cut of 40 s half of a fleet went back after 17 s, 23 s before it would have been heard again.
"""

from __future__ import annotations

import math
from collections.abc import Mapping

import msgspec

from coveflow import constants as c

WHOLE = "whole"
CUT = "cut"  # silent as a whole; leases there may still be renewed
GONE = "gone"  # silent for so long that every lease there has ended
RETURNING = "returning"  # heard again; what is still silent in it gets time to come back


class Seen(msgspec.Struct):
    """What is heard of a zone at one moment."""

    machines: int = 0  # on record or heard, and not given back
    quiet: int = 0  # of these, silent for longer than a worker needs to find another controller
    last: float = -math.inf  # newest sign of life of a machine in it, by the caller's clock
    inside: int = 0  # controllers there that cannot be asked, and may keep leases alive

    @property
    def silent(self) -> bool:
        return self.machines >= c.ZONE_LEAST and self.quiet >= c.ZONE_QUIET * self.machines

    @property
    def heard(self) -> bool:
        return self.machines > 0 and self.quiet <= c.ZONE_HEARD * self.machines


class Zone(msgspec.Struct, eq=False):
    """The state of one zone, and since when (s of the caller's clock)."""

    state: str = WHOLE
    since: float = -math.inf
    cut_at: float = -math.inf  # the newest sign of life before it fell silent
    back_at: float = -math.inf  # when it was last heard again after a cut
    cuts: float = 0.0  # times it was cut lately, fading
    machines: int = 0  # of it when it was cut
    allowance: float = 0.0  # machines of it that may be given back by now, while it is gone


class Zones:
    """`dead_s`: s after a cut when no lease in the zone can live, whatever controllers there do."""

    def __init__(self, dead_s: float) -> None:
        self.dead_s = dead_s
        self.zones: dict[str, Zone] = {}
        self.looked = -math.inf

    def get(self, name: str) -> Zone:
        return self.zones.setdefault(name, Zone())

    def look(self, now: float, seen: Mapping[str, Seen]) -> list[tuple[str, Zone, str]]:
        """Go by what is heard now; zones that changed, with the state before."""
        changes = []
        for name, what in seen.items():
            zone = self.get(name)
            before = zone.state
            self._step(zone, what, self._others_heard(name, seen), now)
            if zone.state == GONE:
                # A zone's machines go back over a while, so that one heard again soon keeps most.
                zone.allowance += zone.machines / c.ZONE_RETURN_S * min(now - self.looked, 1.0)
            if zone.state != before:
                zone.since, zone.allowance = now, 0.0
                changes.append((name, zone, before))
        self.looked = now
        return changes

    def _others_heard(self, name: str, seen: Mapping[str, Seen]) -> bool:
        """Whether machines elsewhere are heard; if none is, it is the leader that is cut off."""
        others = [what for other, what in seen.items() if other != name and what.machines]
        machines = sum(what.machines for what in others)
        return machines > 0 and sum(w.quiet for w in others) <= c.ZONE_HEARD * machines

    def _step(self, zone: Zone, what: Seen, others: bool, now: float) -> None:
        if zone.state in (WHOLE, RETURNING):
            # Without a controller inside that cannot be asked nobody renews leases there: its
            # machines died, or somebody would tell of them.
            if what.silent and what.inside and others:
                faded = (now - zone.back_at) / c.DOUBT_FADE_S
                zone.cuts = max(0.0, zone.cuts - faded) + 1.0
                zone.state, zone.cut_at, zone.machines = CUT, what.last, what.machines
            elif zone.state == RETURNING and now - zone.back_at >= self.calm_s(zone):
                zone.state = WHOLE
        elif what.heard or (not what.machines and self._tried_again(zone, what, now)):
            zone.state, zone.back_at = RETURNING, now
        elif zone.state == CUT and now - zone.cut_at > self.dead_s:
            zone.state = GONE

    def _tried_again(self, zone: Zone, what: Seen, now: float) -> bool:
        """With no machine left there, its controllers tell; if none ever does, a rental will."""
        return not what.inside or now - zone.since > c.ZONE_CALM_MAX_S

    def calm_s(self, zone: Zone) -> float:
        """s for which a zone counts as returning: longer each time that it was cut again."""
        return min(c.ZONE_CALM_S * 2.0 ** max(0.0, zone.cuts - 1.0), c.ZONE_CALM_MAX_S)

    def cut_off(self) -> set[str]:
        """Zones in which nothing that is begun now would be heard of."""
        return {name for name, zone in self.zones.items() if zone.state in (CUT, GONE)}

    def put_off(self, name: str) -> bool:
        """Whether silent machines there are left alone: what runs on them may live."""
        return name in self.zones and self.zones[name].state == CUT

    def heard_again(self, name: str) -> float:
        """When the zone was last heard again: silence before that says nothing of a machine."""
        return self.zones[name].back_at if name in self.zones else -math.inf
