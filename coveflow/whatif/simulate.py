"""Simulation of a recorded workload, with or without changes.

The daemon's own scheduling code runs in virtual time.
"""

from __future__ import annotations

import gc
import math
import random
import string
from collections import defaultdict
from dataclasses import dataclass, field
from typing import Any

import msgspec
import numpy as np

from coveflow.core.model import Flavor, Spec
from coveflow.core.wait_reasons import NO_LEADER, wait_reason
from coveflow.daemon.commands import DrainRequest, HeldTasksDecision
from coveflow.lab.cloud import BootTimes, Cloud, FixedProperties
from coveflow.lab.replies import Reply
from coveflow.lab.store import Store
from coveflow.lab.truth import INF, GroundTruth
from coveflow.settings import Member, Services, Settings
from coveflow.whatif.changes import Changes
from coveflow.whatif.replay import Arrival, Replay
from coveflow.whatif.world import Network, World

SAMPLE_INTERVAL_S = 5.0  # s between samples of the queue and the fleet
STUCK_S = 1_800.0  # s without a task start or end after which a run is stuck and stops
MAX_DRAIN_S = 48 * 3_600.0  # s after the last arrival at which a run stops in any case
ADDED_JITTER_S = 30.0  # maximum s between an added job's arrival and the recorded one it follows
RESTART_S = 5.0  # s until a lost controller restarts
USER_RETRY_S = 1.0  # s after an outage within which users' retries arrive
UNKNOWN_SIGMA = 0.35  # log-normal sigma of run times for which only the owner's estimate is known
GC_THRESHOLD = 200_000  # garbage collection threshold: a run creates few reference cycles
FALLBACK_MEDIAN_S = 30.0  # median run time in s where there is no estimate either


@dataclass
class JobEnd:
    """Result of one job in one run; times in s after the start."""

    id: str
    workload: str
    team: str
    tasks: int
    at: float
    deadline_s: float | None
    first_run: float | None = None
    finished: float | None = None
    status: str = "queued"
    held: int = 0
    waits: dict[str, float] = field(default_factory=dict)  # s by reason
    added: bool = False  # created by a change of the arrivals

    @property
    def took_s(self) -> float | None:
        return None if self.finished is None else self.finished - self.at

    @property
    def late(self) -> bool | None:
        if self.deadline_s is None:
            return None
        return self.took_s is None or self.took_s > self.deadline_s


@dataclass
class Outcome:
    """Result of one run."""

    seed: int
    jobs: list[JobEnd]
    paid: float
    length: float
    refusals: int
    broken: list[str]
    samples: list[dict[str, Any]]  # at, machines, cpus, used; waiting tasks by class
    bars: list[tuple[str, str, int, float, float]]  # machine, job, task, start, end
    machines: dict[str, tuple[str, str, bool]]


class Draws:
    """Draws the values that the trace does not contain; the same ones for the same seed."""

    def __init__(self, replay: Replay, seed: int) -> None:
        self.rng = np.random.default_rng([seed, 101])
        self.known: dict[str, list[float]] = defaultdict(list)
        for arrival in replay.arrivals:
            self.known[arrival.spec.workload] += [v for v in arrival.lengths if v is not None]
        speeds = list(replay.slow.values())
        self.speed = (float(np.mean(speeds)), float(np.std(speeds))) if speeds else (1.0, 0.0)

    def lengths(self, arrival: Arrival, factor: float) -> list[float]:
        """Run time in s of each task; unknown ones are drawn from the job's others or its class."""
        own = [v for v in arrival.lengths if v is not None]
        pool = own if len(own) >= 3 else self.known[arrival.spec.workload]
        found: list[float] = []
        drawn: float | None = None
        for length, ran in zip(arrival.lengths, arrival.ran, strict=True):
            if length is None:
                if arrival.spec.kind != "gang" or drawn is None:
                    drawn = self._draw_length(pool, ran, arrival.spec)
                length = drawn
            found.append(length * factor)
        return found

    def _draw_length(self, pool: list[float], ran: float, spec: Spec) -> float:
        longer = [v for v in pool if v > ran]
        if longer:
            return float(self.rng.choice(longer))
        if pool:
            # It ran longer than all known tasks: the rest is estimated from a whole one.
            return ran + float(self.rng.choice(pool)) * 0.5
        median = spec.expected_s or FALLBACK_MEDIAN_S
        return max(ran, median * math.exp(self.rng.normal(0.0, UNKNOWN_SIGMA)))

    def slow(self) -> float:
        mean, std = self.speed
        return float(np.clip(self.rng.normal(mean, std), 0.7, 1.5)) if std else mean

    def arrivals(self, replay: Replay, changes: Changes) -> list[tuple[Arrival, bool]]:
        """The jobs of this run, and whether a change added them.

        An added job copies another recorded job of the class that the change covers, at a time
        near a recorded arrival. Their number is drawn: users submit independently, so the number
        of arrivals is Poisson distributed, and one recording determines its rate only
        up to a gamma distribution.
        """
        by_class: dict[str, list[Arrival]] = defaultdict(list)
        for arrival in replay.arrivals:
            by_class[arrival.spec.workload].append(arrival)
        rates = {
            name: float(self.rng.gamma(len(rows)) / len(rows)) for name, rows in by_class.items()
        }
        found: list[tuple[Arrival, bool]] = []
        number = 0
        for arrival in replay.arrivals:
            name = arrival.spec.workload
            factor, shift, rules = 1.0, 0.0, []
            for rule in changes.arrivals:
                if rule.covers(name, arrival.at):
                    factor, shift = factor * rule.factor, shift + rule.shift_s
                    rules.append(rule)
            count = 1 if factor == 1.0 else int(self.rng.poisson(factor * rates[name]))
            at = max(0.0, arrival.at + shift)
            if count:
                found.append((_copy_arrival(arrival, arrival.spec, at), False))
            like = [a for a in by_class[name] if all(r.covers(name, a.at) for r in rules)]
            for _ in range(count - 1):
                number += 1
                other = like[int(self.rng.integers(len(like)))]
                spec = msgspec.structs.replace(other.spec, id=f"{arrival.spec.id}9{number:07d}")
                moved_to = max(0.0, at + float(self.rng.uniform(-ADDED_JITTER_S, ADDED_JITTER_S)))
                found.append((_copy_arrival(other, spec, moved_to, fresh=True), True))
        return sorted(found, key=lambda row: (row[0].at, row[0].spec.id))


def _copy_arrival(arrival: Arrival, spec: Spec, at: float, fresh: bool = False) -> Arrival:
    cancelled = None
    if arrival.cancelled is not None:
        cancelled = at + max(0.0, arrival.cancelled - arrival.at)
    done = 0 if fresh else arrival.done_before
    if done:
        # The trace has the number of tasks done before it began, but not which ones.
        spec = msgspec.structs.replace(spec, tasks=max(1, spec.tasks - done))
    count = spec.tasks
    return Arrival(at, spec, arrival.lengths[-count:], arrival.ran[-count:], cancelled)


def flavors_of(replay: Replay, changes: Changes) -> list[Flavor]:
    """Machine types with the changed fields; a new type must have all required fields."""
    found = {f.name: f for f in replay.flavors}
    for name, fields in changes.types.items():
        if name in found:
            found[name] = msgspec.structs.replace(found[name], **fields)
        else:
            defaults = {"accelerators": 0.0, "cache_gb": 50.0, "fetch_gb_per_s": 1.0}
            found[name] = Flavor(name=name, zones=replay.params.zones, **(defaults | fields))
    return list(found.values())


class Run:
    """A simulated cluster set up from a replay and its changes; `play` runs it to its end."""

    def __init__(
        self,
        replay: Replay,
        changes: Changes,
        seed: int,
        bars: bool = False,
        why: bool = True,
    ) -> None:
        self.replay, self.changes, self.seed = replay, changes, seed
        self.keep_bars, self.why = bars, why
        self.random = random.Random(seed)
        self.draws = Draws(replay, seed)
        self.tuning = changes.new_tuning(replay.tuning)
        self.flavors = flavors_of(replay, changes)
        self.jobs: dict[str, JobEnd] = {}
        self.samples: list[dict[str, Any]] = []
        self.bars: list[tuple[str, str, int, float, float]] = []
        self.running: dict[tuple[str, int], tuple[str, float]] = {}
        self.last_progress_at = 0.0
        self.lengths: dict[str, list[float]] = {}
        self.world = self._build_world()
        self._schedule()

    # --- setting up --------------------------------------------------------------------

    def _settings(self, names: tuple[str, ...]) -> dict[str, Settings]:
        teams = [
            msgspec.structs.replace(team, **self.changes.teams.get(team.name, {}))
            for team in self.replay.params.teams
        ]
        params = msgspec.structs.replace(self.replay.params, teams=teams, size=len(names))
        members = [Member(name, params.zones[0], "") for name in names]
        services = Services("", "")
        return {
            name: Settings(name, params.zones[0], "", "", services, params, members)
            for name in names
        }

    def _build_world(self) -> World:
        replay, changes = self.replay, self.changes
        count = changes.controllers or max(len(replay.nodes), replay.params.size)
        names = tuple((replay.nodes + [f"node-{c}" for c in string.ascii_lowercase])[:count])
        settings = self._settings(names)
        workers, state = replay.params.workers, replay.params.state
        capacity = self._capacity()
        cloud = Cloud(
            self.flavors, capacity, replay.params.cloud.list_lag_s, self.seed,
            boots=BootTimes(), recorded=self._rental_source(), names="x",
        )  # fmt: skip
        self.rentals = {key: 0 for key in replay.names}
        # The nodes' write budgets already pace writes, so the store model has no rate limit.
        store = Store(1e12, 1e12, max(state.value_kb, 64.0), max(state.txn_ops, 1000))
        latency = self.random.uniform
        world = World(
            settings_of=settings.__getitem__,
            tuning=self.tuning,
            truth=GroundTruth(
                lambda spec: self.lengths[spec.id], workers.gang_peer_s, workers.gang_wait_s
            ),
            store=store,
            cloud=cloud,
            network=Network(
                lambda: latency(0.0005, 0.003), lambda: latency(0.002, 0.006), lambda: 0.06
            ),
            names=names,
            random=self.random.random,
        )
        for up in self._machines():
            key = (up.type, up.zone, up.spot)
            known = FixedProperties(up.name, None, self._slow(up.name), replay.fetch.get(up.name))
            cloud.reserve_place(key)
            world.at(up.at, lambda key=key, known=known: self._add_machine(key, known))
        return world

    def _capacity(self) -> dict[tuple[str, str, bool], int]:
        """Capacity at refused requests in the trace; unlimited where none was refused."""
        found: dict[tuple[str, str, bool], int] = {}
        for flavor in self.flavors:
            for zone in flavor.zones:
                for spot in (False, True):
                    key = (flavor.name, zone, spot)
                    found[key] = self.replay.capacity.get(key, 1_000_000)
        return found | self.changes.capacity

    def _machines(self):
        to_remove = {k: -n for k, n in self.changes.machines.items() if n < 0}
        for up in self.replay.machines:
            key = (up.type, up.zone, up.spot)
            if to_remove.get(key, 0) > 0:
                to_remove[key] -= 1
                continue
            yield up

    def _add_machine(self, key: tuple[str, str, bool], known: FixedProperties) -> None:
        world = self.world
        if key[0] not in world.cloud.flavors:
            return
        world.cloud.add_machine(key, known, world.now)
        host = world.cloud.hosts[known.name or ""]

        def fill() -> None:
            link = world.worker_links.get(host.name)
            if link is not None:
                link.due = world.now  # its recorded first report is its start here
                world._schedule(link)
                sizes = {a.spec.image: a.spec.image_gb for a in self.replay.arrivals}
                for image in self.replay.cached.get(host.name, ()):
                    link.worker.images[image] = sizes[image]

        world.at(0.0, fill)

    def _slow(self, name: str) -> float:
        return self.replay.slow.get(name) or self.draws.slow()

    def _rental_source(self):
        """Source of rented machines: the recorded ones in order, then drawn boot times."""

        def known(key: tuple[str, str, bool]) -> FixedProperties:
            number = self.rentals.get(key, 0)
            self.rentals[key] = number + 1
            names, boots = self.replay.names.get(key, []), self.replay.boots.get(key, [])
            factor = self._boot_factor(key[0])
            if number < len(names):
                name = names[number]
                return FixedProperties(name, boots[number] * factor, self._slow(name),
                             self.replay.fetch.get(name))  # fmt: skip
            if boots:
                boot = boots[int(self.draws.rng.integers(len(boots)))] * factor
                return FixedProperties(None, boot, self.draws.slow(), None)
            return FixedProperties(None, None, self.draws.slow(), None)

        return known

    def _boot_factor(self, name: str) -> float:
        """Factor by which a changed nominal boot time scales the recorded ones."""
        new = self.changes.types.get(name, {}).get("boot_s")
        old = next((f.boot_s for f in self.replay.flavors if f.name == name), None)
        return new / old if new is not None and old else 1.0

    # --- events ------------------------------------------------------------------------

    def _schedule(self) -> None:
        world, replay, changes = self.world, self.replay, self.changes
        world.observers.append(self._on_event)
        world.elect(world.names[0])
        factors = dict(changes.run_time)
        self.last_arrival = 0.0
        for arrival, added in self.draws.arrivals(replay, changes):
            spec = arrival.spec
            factor = factors.get(spec.workload, 1.0) * factors.get("all", 1.0)
            self.lengths[spec.id] = self.draws.lengths(arrival, factor)
            self.jobs[spec.id] = JobEnd(
                spec.id, spec.workload, spec.team, spec.tasks, arrival.at, spec.deadline_s,
                added=added,
            )  # fmt: skip
            self.last_arrival = max(self.last_arrival, arrival.at)
            world.at(arrival.at, lambda spec=spec: self._submit(spec))
            if arrival.cancelled is not None:
                cancelled = max(arrival.cancelled, arrival.at + 0.01)
                world.at(cancelled, lambda job=spec.id: self._cancel(job))
        for (name, zone, spot), count in changes.machines.items():
            for n in range(max(0, count)):
                known = FixedProperties(f"added-{name}-{zone}-{n}", None, self.draws.slow())
                key = (name, zone, spot)
                world.at(0.0, lambda key=key, known=known: self._add_machine(key, known))
        for at, name in [*replay.losses, *changes.losses]:
            world.at(at, lambda name=name: self._fail_machine(name))
        for at, name, notice in replay.notices:
            world.at(at, lambda name=name, notice=notice: self._notice(name, notice))
        for at, name, on in [*replay.drains, *((at, n, True) for at, n in changes.drains)]:
            world.at(at, lambda name=name, on=on: self._drain(name, on))
        for at, job, task, again in replay.releases:
            world.at(at, lambda decision=(job, [task], again): self._release(*decision))
        for lost, led in replay.take_overs:
            world.at(lost, lambda wait=led - lost: self._take_over(wait))
        for at, back in changes.lost_leaders:
            world.at(at, lambda back=back: world.lose_leader(back))
        for what, at, for_s in changes.outages:
            world.at(at, lambda what=what, for_s=for_s: self._outage(what, for_s))
        world.every(SAMPLE_INTERVAL_S, self._sample)

    def _submit(self, spec: Spec) -> None:
        down = self.world.store_down_until - self.world.now
        if down > 0:
            self.world.at(down + self.random.random() * USER_RETRY_S, lambda: self._submit(spec))
            return
        self.world.submit(spec)

    def _cancel(self, job: str) -> None:
        if job not in self.world.over:
            self.world.cancel(job)

    def _fail_machine(self, name: str) -> None:
        host = self.world.cloud.hosts.get(name)
        if host is not None and host.gone == INF and host.failed == INF:
            self.world.cloud.fail(name, self.world.now)

    def _notice(self, name: str, notice_s: float) -> None:
        link = self.world.worker_links.get(name)
        if link is not None:
            link.worker.reclaim_at = self.world.now + notice_s
            link.worker.changed = True
            self.world.at(notice_s, lambda: self.world.cloud.reclaim(name, self.world.now))

    def _drain(self, name: str, on: bool) -> None:
        leader = self.world.leader()
        if leader is not None:
            leader.process_batch([DrainRequest(name, on, Reply(lambda answer: None))])

    def _release(self, job: str, tasks: list[int], again: bool) -> None:
        leader = self.world.leader()
        if leader is not None:
            leader.process_batch([HeldTasksDecision(job, tasks, again, Reply(lambda answer: None))])

    def _take_over(self, wait: float) -> None:
        world = self.world
        leader = world.leader()
        if leader is None:
            return
        name = leader.context.settings.name
        others = [n for n in world.names if n != name and world.owners.get(n) is not None]
        successor = others[0] if others else name
        world.crash(name, min(RESTART_S, wait / 2) if successor == name else RESTART_S)
        world.at(wait, lambda: world.elect(successor))

    def _outage(self, what: str, for_s: float) -> None:
        until = self.world.now + for_s
        if what == "state":
            self.world.store_down_until = until
        else:
            self.world.cloud_down_until = until

    # --- observation -------------------------------------------------------------------

    def _on_event(self, kind: str, row: dict[str, Any]) -> None:
        if kind == "running":
            job = self.jobs[row["job"]]
            self.last_progress_at = self.world.now
            if job.first_run is None:
                job.first_run = row["at"]
            if self.keep_bars:
                self.running[(row["job"], row["task"])] = (row["machine"], row["at"])
        elif kind == "off":
            self.last_progress_at = self.world.now
            if self.keep_bars:
                started = self.running.pop((row["job"], row["task"]), None)
                if started is not None:
                    self.bars.append((started[0], row["job"], row["task"], started[1], row["at"]))
        elif kind == "over":
            job = self.jobs[row["job"]]
            job.status, job.finished = row["status"], row["at"]

    def _sample(self) -> None:
        world = self.world
        leader = world.leader()
        live = self.open_jobs()
        sample: dict[str, Any] = {"at": world.now, "machines": len(world.worker_links)}
        sample["cpus"] = sum(p.worker.flavor.cpus for p in world.worker_links.values())
        waiting: dict[str, int] = defaultdict(int)
        if leader is None:
            for job in live:
                job.waits[NO_LEADER] = job.waits.get(NO_LEADER, 0.0) + SAMPLE_INTERVAL_S
            # Only a leader knows the queue; without one the last sample is repeated.
            last = self.samples[-1] if self.samples else {"used": 0.0, "waiting": {}}
            used, waiting = last["used"], last["waiting"]
        else:
            state = leader.state
            used = sum(m.flavor.cpus - m.cpus for m in state.machines.values())
            for job in state.jobs.values():
                if job.pending and job.cancelled is None:
                    waiting[job.spec.workload] += len(job.pending)
            if self.why:
                self._sample_wait_reasons(leader)
        self.samples.append(sample | {"used": used, "waiting": dict(waiting)})

    def _sample_wait_reasons(self, leader: Any) -> None:
        state, now = leader.state, self.world.now
        machines = [m for m in state.machines.values() if state.reported_recently(m, now)]
        usage, teams = state.usage(), leader.planning.teams
        booting = {(b.flavor, b.zone, b.spot) for b in state.fleet.booting.values()}
        booting |= set(state.fleet.pending_requests)
        known: dict[Any, str] = {}
        for job in state.jobs.values():
            if job.cancelled is not None or (not job.pending and not job.held):
                continue
            spec = job.spec
            shape: Any = (
                spec.team, spec.kind, spec.cpus, spec.accelerators, spec.ram_gb, spec.spot,
                spec.zone, tuple(spec.types or ()), bool(job.pending), bool(job.held),
                spec.tasks if spec.kind == "gang" else 0,
            )  # fmt: skip
            if job.not_before > now:
                shape = job.id
            if shape not in known:
                known[shape] = wait_reason(
                    job, machines, teams, usage, leader.inbox.flavors, state.fleet.refused_until,
                    booting, now,
                )  # fmt: skip
            why = known[shape]
            if why:
                waits = self.jobs[job.id].waits
                waits[why] = waits.get(why, 0.0) + SAMPLE_INTERVAL_S

    def open_jobs(self) -> list[JobEnd]:
        now = self.world.now
        return [j for j in self.jobs.values() if j.finished is None and j.at <= now]

    # --- run ---------------------------------------------------------------------------

    def play(self) -> Outcome:
        world = self.world
        step = max(SAMPLE_INTERVAL_S, 30.0)
        while True:
            world.run(world.now + step)
            done = len(world.over) >= len(self.jobs)
            after = world.now - self.last_arrival
            stuck = after > 0 and world.now - self.last_progress_at > STUCK_S
            if done or stuck or after > MAX_DRAIN_S:
                break
        leader = world.leader()
        for job in self.jobs.values():
            known = leader.state.jobs.get(job.id) if leader is not None else None
            job.held = len(known.held) if known is not None else 0
        broken = [f"{b.rule} at {b.at:.1f} s: {b.text}" for b in world.checker.violations]
        if self.jobs:
            world.checker.finish(world.now)
        kinds = {h.name: (h.flavor.name, h.zone, h.spot) for h in world.cloud.hosts.values()}
        ends = [j.finished for j in self.jobs.values() if j.finished is not None]
        return Outcome(
            self.seed, list(self.jobs.values()), world.cloud.spent(max(ends, default=world.now)),
            max(ends, default=0.0), world.cloud.refusals, broken, self.samples, self.bars, kinds,
        )  # fmt: skip


def simulate(
    replay: Replay, changes: Changes, seed: int, bars: bool = False, why: bool = True
) -> Outcome:
    """Run the changed replay once; the result is the same for the same seed.

    `bars` keeps each task's time on its machine for the chart; `why` the reasons of waits.
    """
    before = gc.get_threshold()
    gc.set_threshold(GC_THRESHOLD, *before[1:])
    try:
        return Run(replay, changes, seed, bars, why).play()
    finally:
        gc.set_threshold(*before)
