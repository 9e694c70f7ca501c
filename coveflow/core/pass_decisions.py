"""What one planning pass has decided so far, and what the rules still allow for each job.

A pass looks at a job more than once: for the floor of its class, in its ordinary turn, for
reservations, for preemption. The rules hold for the pass as a whole, so each of these steps takes
its limits from here and records here what it decides.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

from coveflow import constants as c
from coveflow.core.exclusions import only_fails
from coveflow.core.model import Job, Machine, Spec
from coveflow.core.planner_state import PlannerState, tasks_by_zone, zone_limits
from coveflow.core.timeline import EPS
from coveflow.settings import Team


def is_starved(job: Job, state: PlannerState) -> bool:
    """Whether the job has waited longer than FIRST_START_S without any start.

    Without overload no job waits that long, so the order of jobs is unaffected.
    """
    return not job.has_started and state.now - state.arrived_at[job.id] > c.FIRST_START_S


def first_share(spec: Spec) -> int:
    """Return how many tasks a job may start at first after a long wait."""
    return math.ceil(spec.tasks * c.FIRST_START_SHARE)


def count_within_limit(
    spec: Spec, count: int, usage: dict[str, tuple[float, float]], teams: dict[str, Team]
) -> int:
    """Return how many of `count` tasks the team's limit allows now."""
    team = teams.get(spec.team)
    if team is None:
        return 0
    cpus, acc = usage.get(spec.team, (0.0, 0.0))
    if team.cpus_max > 0 and spec.cpus > 0:
        count = min(count, int((team.cpus_max - cpus + EPS) // spec.cpus))
    if team.accelerators_max > 0 and spec.accelerators > 0:
        count = min(count, int((team.accelerators_max - acc + EPS) // spec.accelerators))
    return max(0, count)


class PassDecisions:
    """The starts and preemptions of one pass, and the limits on its further ones."""

    def __init__(self, state: PlannerState) -> None:
        self._state = state
        self._usage = dict(state.usage)
        self._started: dict[str, int] = {}  # tasks started in this pass, by job
        # Placed and started tasks by job and zone, for jobs that are bound to zones.
        self._tasks_by_zone: dict[str, dict[str, int]] = {}
        self._zones: frozenset[str] | None = None  # all zones; collected on first use
        self.retried: set[str] = set()  # jobs that try an excluded machine in this pass
        self.preempted: set[str] = set()  # jobs that start nothing more in this pass
        # Jobs with a start or a preemption in this pass. They are not preempted in it (again): the
        # starts would be stopped at once.
        self.not_preemptible: set[str] = set()

    def active(self, job: Job) -> int:
        """Return how many tasks of the job are on machines, or start in this pass."""
        return len(job.placed) + self._started.get(job.id, 0)

    def has_started(self, job: Job) -> bool:
        """Return whether any task of the job was ever started, also in this pass."""
        return job.has_started or job.id in self._started

    def tasks_by_zone(self, job: Job) -> dict[str, int]:
        """Count the job's tasks by zone, those started in this pass included.

        Empty if no constraint binds the job to zones. The caller must not change the result.
        """
        if not (job.spec.one_zone or job.spec.spread):
            return {}
        counts = self._tasks_by_zone.get(job.id)
        if counts is None:
            counts = self._tasks_by_zone[job.id] = tasks_by_zone(job, self._state)
        return counts

    def zone_limits(self, job: Job, most: int) -> dict[str, int]:
        """Return how many more tasks of the job each zone may take, at most `most`.

        A zone that is left out may take none.
        """
        if self._zones is None:
            offered = {zone for flavor in self._state.flavors for zone in flavor.zones}
            self._zones = frozenset(offered.union(m.zone for m in self._state.machines))
        return zone_limits(job.spec, self.tasks_by_zone(job), self._zones, most)

    def allowed(self, job: Job) -> int:
        """Return how many more tasks of the job the limits allow, wherever there is capacity.

        A job that waited too long for its first start gets a part of its tasks; otherwise it would
        take all capacity that becomes free from the jobs ranked after it. A job whose tasks only
        fail runs one task at a time: without this, 400 tasks kept occupying machines and fetching
        images until their user cancelled the job. A gang starts all its tasks or none.
        """
        spec, started = job.spec, self._started.get(job.id, 0)
        waiting = len(job.pending) - started
        count = count_within_limit(spec, waiting, self._usage, self._state.teams)
        if spec.kind == "gang":
            return 0 if count < spec.tasks or self.active(job) else count
        if only_fails(job):
            return min(count, max(0, 1 - self.active(job)))
        if is_starved(job, self._state):
            return min(count, max(0, first_share(spec) - started))
        return count

    def record_start(self, job: Job, machine: Machine, count: int) -> None:
        """Record that `count` tasks of the job start on the machine."""
        spec = job.spec
        self._started[job.id] = self._started.get(job.id, 0) + count
        self.not_preemptible.add(job.id)
        cpus, accelerators = self._usage.get(spec.team, (0.0, 0.0))
        self._usage[spec.team] = (
            cpus + spec.cpus * count,
            accelerators + spec.accelerators * count,
        )
        if spec.one_zone or spec.spread:
            counts = self.tasks_by_zone(job)
            counts[machine.zone] = counts.get(machine.zone, 0) + count

    def record_preemptions(self, names: Iterable[str]) -> None:
        """Record that all tasks of these jobs are stopped."""
        self.preempted.update(names)
        self.not_preemptible.update(names)
