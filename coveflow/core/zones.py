"""Detection of zone outages: a zone that falls silent as a whole is one event, not many.

The module does no I/O and reads no clock. The state of a zone affects traffic, planning and
rentals, and defers the release of its machines; it proves nothing about any task.

A partitioned zone keeps working inside. Controllers there renew leases for as long as their latest
contact with the store allows, and until then tasks finish, save or continue. Releasing machines
meanwhile loses that work, and replacements start cold, if the cloud has capacity at all. Without
this module, a partition of 40 s caused half of a fleet to be released after 17 s, 23 s before it
would have been heard again.
"""

from __future__ import annotations

import math
from collections.abc import Mapping

import msgspec

from coveflow import constants as c

HEALTHY = "whole"
CUT = "cut"  # silent as a whole; controllers inside may still renew leases
GONE = "gone"  # silent for so long that every lease in it has expired
RETURNING = "returning"  # heard again; machines still silent get time to reconnect


class ZoneSample(msgspec.Struct):
    """What is known about the machines and controllers of a zone at one moment."""

    machines: int = 0  # recorded or heard, and not being released
    silent_machines: int = 0  # silent for longer than a worker needs to fail over
    last_heard: float = -math.inf  # latest contact with any of its machines, by the caller's clock
    lost_controllers: int = 0  # its controllers that cannot be reached and may renew leases

    @property
    def silent(self) -> bool:
        return (
            self.machines >= c.ZONE_MIN_MACHINES
            and self.silent_machines >= c.ZONE_UNREACHABLE_SHARE * self.machines
        )

    @property
    def heard(self) -> bool:
        return self.machines > 0 and self.silent_machines <= c.ZONE_REACHABLE_SHARE * self.machines


class Zone(msgspec.Struct, eq=False):
    """The state of one zone, and since when (s of the caller's clock)."""

    state: str = HEALTHY
    since: float = -math.inf
    cut_at: float = -math.inf  # latest contact before it fell silent
    heard_again_at: float = -math.inf  # when it was last heard again after a cut
    recent_cuts: float = 0.0  # count of its cuts, decaying over time
    machines_at_cut: int = 0  # its machines when it was cut
    release_allowance: float = 0.0  # machines that may be released by now, while it is GONE


class ZoneTracker:
    """The states of all zones.

    `leases_end_s`: s after a cut by which every lease in the zone has expired, whatever its
    controllers do.
    """

    def __init__(self, leases_end_s: float) -> None:
        self.leases_end_s = leases_end_s
        self.zones: dict[str, Zone] = {}
        self.updated_at = -math.inf

    def get(self, name: str) -> Zone:
        return self.zones.setdefault(name, Zone())

    def update(self, now: float, samples: Mapping[str, ZoneSample]) -> list[tuple[str, Zone, str]]:
        """Update all zones from samples; returns those that changed, with their former state."""
        changes = []
        for name, sample in samples.items():
            zone = self.get(name)
            old_state = zone.state
            self._advance(zone, sample, self._others_heard(name, samples), now)
            if zone.state == GONE:
                # Its machines are released gradually, so that a zone heard again soon keeps most.
                zone.release_allowance += (
                    zone.machines_at_cut / c.ZONE_RELEASE_S * min(now - self.updated_at, 1.0)
                )
            if zone.state != old_state:
                zone.since, zone.release_allowance = now, 0.0
                changes.append((name, zone, old_state))
        self.updated_at = now
        return changes

    def _others_heard(self, name: str, samples: Mapping[str, ZoneSample]) -> bool:
        """Whether machines in other zones are heard; if not, the leader itself is cut off."""
        others = [sample for other, sample in samples.items() if other != name and sample.machines]
        machines = sum(sample.machines for sample in others)
        return (
            machines > 0
            and sum(sample.silent_machines for sample in others)
            <= c.ZONE_REACHABLE_SHARE * machines
        )

    def _advance(self, zone: Zone, sample: ZoneSample, others_heard: bool, now: float) -> None:
        if zone.state in (HEALTHY, RETURNING):
            # If all controllers inside are reachable, none renews leases unnoticed: the machines
            # are dead, as a controller would report them otherwise.
            if sample.silent and sample.lost_controllers and others_heard:
                decay = (now - zone.heard_again_at) / c.SUSPICION_FORGET_S
                zone.recent_cuts = max(0.0, zone.recent_cuts - decay) + 1.0
                zone.state, zone.cut_at, zone.machines_at_cut = (
                    CUT,
                    sample.last_heard,
                    sample.machines,
                )
            elif zone.state == RETURNING and now - zone.heard_again_at >= self.return_s(zone):
                zone.state = HEALTHY
        elif sample.heard or (
            not sample.machines and self._usable_without_machines(zone, sample, now)
        ):
            zone.state, zone.heard_again_at = RETURNING, now
        elif zone.state == CUT and now - zone.cut_at > self.leases_end_s:
            zone.state = GONE

    def _usable_without_machines(self, zone: Zone, sample: ZoneSample, now: float) -> bool:
        """Whether a zone without machines counts as back.

        It does once its controllers are reachable, or after a delay, when a new rental will tell.
        """
        return not sample.lost_controllers or now - zone.since > c.ZONE_RECOVERY_MAX_S

    def return_s(self, zone: Zone) -> float:
        """s for which a zone counts as returning: doubles with each recent cut."""
        return min(
            c.ZONE_RECOVERY_S * 2.0 ** max(0.0, zone.recent_cuts - 1.0), c.ZONE_RECOVERY_MAX_S
        )

    def unreachable(self) -> set[str]:
        """Zones that would not report anything started there now."""
        return {name for name, zone in self.zones.items() if zone.state in (CUT, GONE)}

    def defers_release(self, name: str) -> bool:
        """Whether its silent machines are kept, as tasks on them may still run."""
        return name in self.zones and self.zones[name].state == CUT

    def heard_again_at(self, name: str) -> float:
        """When the zone was last heard again; earlier silence says nothing about a machine."""
        return self.zones[name].heard_again_at if name in self.zones else -math.inf
