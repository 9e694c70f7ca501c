"""A small world in virtual time: a state service, a cloud, workers and several controllers.

Controllers are the real `Owner` with the real model and planner; only what crosses a network
is simulated: messages may be late, lost, repeated or held back, nodes crash, stores fail.
Every rule of the protocol that can be broken by scheduling is checked as it happens.
"""

from __future__ import annotations

import asyncio
import copy
import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import cbor2
import msgspec

from coveflow import settings as s
from coveflow.core.model import Report, Spec, TaskReport
from coveflow.daemon import commands as cm
from coveflow.daemon import owner as o
from tests.samples import flavor

LEASE_S, CANCEL_S, REPORT_S = 10.0, 40.0, 1.0
GANG_WAIT_S, GANG_PEER_S = 20.0, 5.0
VALUE_KB, TXN_OPS = 8.0, 12


class Broken(AssertionError):
    """A rule of the protocol was broken."""


def node_settings(name: str, teams: list[dict[str, Any]]) -> s.Settings:
    return s.parse(
        {
            "host_name": name,
            "area": "north",
            "front": "127.0.0.1:1",
            "cluster_listen": "127.0.0.1:2",
            "services": {"cloud": "127.0.0.1:3", "state": "127.0.0.1:4"},
            "params": {
                "zones": ["north", "south"],
                "teams": teams,
                "workers": {
                    "report_s": REPORT_S, "lease_s": LEASE_S, "gang_wait_s": GANG_WAIT_S,
                    "gang_peer_s": GANG_PEER_S, "cancel_s": CANCEL_S,
                },
                "state": {
                    "rps": 200.0, "write_rps": 100.0, "value_kb": VALUE_KB, "txn_ops": TXN_OPS,
                },
                "cloud": {"rps": 3.0},
            },
        }
    )  # fmt: skip


@dataclass
class Attempt:
    state: str
    changes_at: float
    why: str | None = None
    saved: bool = False
    lost_at: float | None = None  # gang: when a mate was first missed


@dataclass
class Worker:
    name: str
    zone: str
    tenure: int = 1
    counter: int = 0
    epoch: int = 0
    answered_sent: float = 0.0  # when its last answered report was sent
    node: str = "a"
    tasks: dict[tuple[str, int, int], Attempt] = field(default_factory=dict)
    cleared: set[tuple[str, int, int]] = field(default_factory=set)
    alive: bool = True
    cut_until: float = 0.0
    sick_until: float = 0.0  # it fails every task that it starts
    waiting_for: int = 0


class World:
    def __init__(self, seed: int, nodes: int = 3, machines: int = 4) -> None:
        self.random = random.Random(seed)
        self.now = 0.0
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.order = itertools.count()
        self.loop = asyncio.new_event_loop()
        self.store: dict[str, tuple[Any, int]] = {}
        self.rev = self.puts = 0
        self.store_down_until = 0.0
        self.teams = [{"name": "blue", "cpus_max": 24.0, "gpus": 2.0, "gpus_max": 6.0}]
        self.limits = {"blue": 24.0}
        self.acc_limits = {"blue": 6.0}
        self.specs: dict[str, Spec] = {}
        self.results: set[tuple[str, int]] = set()
        self.cancelled: dict[str, float] = {}
        self.told: dict[str, str] = {}
        self.starts = 0
        self.owners: dict[str, o.Owner | None] = {}
        self.cut_nodes: dict[str, float] = {}
        self.deaf: dict[str, float] = {}  # nodes whose watch is late, though they can write
        self.tamper: Callable[[World, str, o.Owner], None] = lambda world, name, owner: None
        self.tamper_txn: Callable[[cm.Txn], None] = lambda txn: None
        self.workers = {
            f"n-{i}": Worker(f"n-{i}", "north" if i % 2 else "south") for i in range(machines)
        }
        self.machine_no = machines
        types = {"types": [msgspec.to_builtins(flavor(accelerators=2.0))]}
        self.write({cm.TYPES: types}, {})
        for name in "abc"[:nodes]:
            self.boot(name)
        self.elect("a")
        for worker in self.workers.values():
            self.at(self.random.random(), lambda w=worker: self.report(w))
        self.every(0.25, self.step)

    # --- time ----------------------------------------------------------------------------

    def at(self, delay: float, action: Callable[[], None]) -> None:
        heapq.heappush(self.events, (self.now + delay, next(self.order), action))

    def every(self, period: float, action: Callable[[], None]) -> None:
        def again() -> None:
            action()
            self.at(period, again)

        self.at(period, again)

    def run(self, until: float) -> None:
        while self.events and self.events[0][0] <= until:
            self.now, _, action = heapq.heappop(self.events)
            action()
        self.now = until

    def latency(self) -> float:
        return self.random.choice([0.01, 0.02, 0.05, 0.3])

    # --- state service -------------------------------------------------------------------

    def write(self, writes: dict[str, Any], guards: dict[str, int]) -> int | list[str]:
        failed = [k for k, rev in guards.items() if self.store.get(k, (None, 0))[1] != rev]
        if failed:
            return failed
        self.rev += 1
        self.puts += len(writes)
        if len(writes) > TXN_OPS or len(msgspec.json.encode(writes)) > 64 * 1024:
            raise Broken("a transaction is over its limits")
        changed = []
        for key, value in writes.items():
            if len(msgspec.json.encode(value)) > VALUE_KB * 1024:
                raise Broken(f"{key} is over the value limit")
            if value is None:
                self.store.pop(key, None)
            else:
                self.store[key] = (cbor2.loads(cbor2.dumps(value)), self.rev)
                if key.startswith(cm.OLD):
                    self.final(key[len(cm.OLD) :], value["status"])
            if key.startswith(cm.INBOX):
                changed.append((key, copy.deepcopy(value), self.rev))
        if changed:
            for name in self.owners:
                self.at(self.latency(), lambda n=name: self.tell(n, changed))
        return self.rev

    def tell(self, name: str, rows: list[tuple[str, Any, int]]) -> None:
        """The inbox watch; a cut node is told when the cut is over."""
        cut = max(self.cut_nodes.get(name, 0.0), self.deaf.get(name, 0.0))
        if cut > self.now:
            self.at(cut - self.now + self.latency(), lambda: self.tell(name, rows))
            return
        owner = self.owners.get(name)
        if owner is not None:
            owner.work([cm.InboxRows(copy.deepcopy(rows))])

    def final(self, job: str, status: str) -> None:
        if self.told.get(job, status) != status:
            raise Broken(f"went_back: {job} was {self.told[job]}, now {status}")
        self.told[job] = status
        if status == "done":
            missing = [t for t in range(self.specs[job].tasks) if (job, t) not in self.results]
            if missing:
                raise Broken(f"not_done: {job} lacks {missing[:3]}")

    # --- controllers ---------------------------------------------------------------------

    def boot(self, name: str) -> None:
        owner = o.Owner(
            node_settings(name, self.teams), s.Tuning(), lambda: self.now, lambda: self.now
        )
        owner.around.effects = lambda kind, data: self.effect(name, owner, kind, data)
        self.owners[name] = owner
        self.tamper(self, name, owner)
        owner.work([cm.InboxRows(self.rows(cm.INBOX), listed=self.rev)])

    def rows(self, prefix: str) -> list[tuple[str, Any, int]]:
        return [
            (key, copy.deepcopy(value), rev)
            for key, (value, rev) in sorted(self.store.items())
            if key.startswith(prefix)
        ]

    def elect(self, name: str) -> None:
        """The node takes over, as membership does after the old leader's hold has ended."""
        owner = self.owners.get(name)
        if owner is None or self.store_down_until > self.now:
            return
        value, rev = self.store.get(cm.VIEW, ({"epoch": 0}, 0))
        new = {"epoch": value["epoch"] + 1, "leader": name, "members": [name]}
        done = self.write({cm.VIEW: new}, {cm.VIEW: rev})
        assert isinstance(done, int)
        owner.work([
            cm.InboxRows(self.rows(cm.INBOX), listed=self.rev),
            cm.Lead(new["epoch"], done, self.rows(cm.STATE)),
        ])  # fmt: skip

    def crash(self, name: str, back_s: float = 8.0) -> None:
        self.owners[name] = None
        self.at(back_s, lambda: self.boot(name))

    def effect(self, name: str, owner: o.Owner, kind: str, data: Any) -> None:
        if kind == "commit":
            self.tamper_txn(data)
            self.at(self.latency(), lambda: self.commit(name, owner, data, data.writes))
        elif kind == "return":
            epoch = owner.leading
            self.at(0.2, lambda: self.give_back(name, owner, list(data), epoch))
        elif kind == "rent":
            self.at(0.2, lambda: owner.work([cm.Refused(data)]))
        elif kind == "retake":
            self.at(0.5, lambda: self.elect(name))
        elif kind == "reread":
            rows = [(k, *self.store[k]) for k in data if k in self.store]
            owner.work([cm.InboxRows(copy.deepcopy(rows))])

    def commit(self, name: str, owner: o.Owner, txn: cm.Txn, writes: dict[str, Any]) -> None:
        """As `Store.sure_commit`: at most once, however often it is sent."""
        if self.store_down_until > self.now or self.cut_nodes.get(name, 0.0) > self.now:
            # Held back: it may be applied long after its sender is gone.
            later = max(self.store_down_until, self.cut_nodes.get(name, 0.0)) - self.now
            self.at(later + self.latency(), lambda: self.commit(name, owner, txn, writes))
            return
        outcome = self.write(writes, txn.guards)
        if self.random.random() < 0.1:
            copies = dict(txn.guards)  # a repeated copy arrives late and must change nothing
            self.at(self.random.random() * 5, lambda: self.write(writes, copies))

        def settle() -> None:
            if self.owners.get(name) is owner:
                if isinstance(outcome, int):
                    owner.work([cm.Settled(txn, outcome)])
                else:
                    owner.work([cm.Settled(txn, None, outcome)])

        self.at(self.latency(), settle)

    def give_back(self, name: str, owner: o.Owner, machines: list[str], epoch: int) -> None:
        """The node asks the store whether it still leads, then the cloud."""
        if self.owners.get(name) is not owner or self.cut_nodes.get(name, 0.0) > self.now:
            return
        # The real node asks the store with a transaction that only compares.
        if self.store[cm.VIEW][0]["epoch"] != epoch:
            return
        for machine in machines:
            worker = self.workers.pop(machine, None)
            if worker is not None:
                worker.alive = False
                self.machine_no += 1
                fresh = Worker(f"n-{self.machine_no}", worker.zone, answered_sent=self.now + 3)
                self.workers[fresh.name] = fresh
                self.at(3.0, lambda w=fresh: self.report(w))
        self.at(0.1, lambda: owner.work([cm.Returned(machines)]))

    def step(self) -> None:
        for owner in self.owners.values():
            if owner is not None:
                owner.work([cm.Tick()])
        for worker in list(self.workers.values()):
            self.advance(worker)
        self.gangs()
        self.check()

    # --- users ---------------------------------------------------------------------------

    def submit(self, spec: Spec) -> None:
        self.specs[spec.id] = spec
        record = {"spec": msgspec.to_builtins(spec), "at": self.now}
        self.write({cm.JOB + spec.id: record}, {cm.JOB + spec.id: 0, cm.OLD + spec.id: 0})

    def cancel(self, job: str) -> None:
        value, rev = self.store.get(cm.JOB + job, (None, 0))
        if value is not None and value.get("cancel") is None:
            self.write({cm.JOB + job: {**value, "cancel": self.now}}, {cm.JOB + job: rev})
            self.cancelled[job] = self.now
            self.told[job] = "cancelled"

    # --- workers -------------------------------------------------------------------------

    def report(self, worker: Worker) -> None:
        if not worker.alive:
            return
        self.advance(worker)
        worker.counter += 1
        sent, counter = self.now, worker.counter
        worker.waiting_for = counter
        report = Report(
            worker.name, "addr", "m8", worker.zone, False, worker.tenure, counter, worker.epoch,
            None,
            [
                TaskReport(*key, t.state, t.why, t.saved) for key, t in worker.tasks.items()
            ],
        )  # fmt: skip
        self.at(4.0, lambda: self.gave_up(worker, counter))
        delay = self.latency()
        if worker.cut_until > self.now:
            # A cut holds the packets back: the report arrives though nobody waits for it.
            delay += worker.cut_until - self.now
        target = worker.node
        self.at(delay, lambda: self.deliver(worker, report, sent, target))

    def gave_up(self, worker: Worker, counter: int) -> None:
        if worker.waiting_for == counter and worker.alive:
            worker.waiting_for = 0
            worker.node = self.random.choice(list(self.owners))
            self.at(1.0, lambda: self.report(worker))

    def deliver(self, worker: Worker, report: Report, sent: float, target: str) -> None:
        owner = self.owners.get(target)
        cut = self.cut_nodes.get(target, 0.0)
        if cut > self.now:
            self.at(cut - self.now + 0.01, lambda: self.deliver(worker, report, sent, target))
            return
        if owner is None:
            return
        if not owner.leading:
            leader = owner.inbox.view.leader
            self.at(0.02, lambda: self.redirected(worker, report.counter, leader))
            return
        reply: asyncio.Future[bytes | None] = self.loop.create_future()
        owner.work([cm.Heard(report, reply)])
        self.poll(worker, report, sent, reply)

    def poll(self, worker: Worker, report: Report, sent: float, reply: asyncio.Future) -> None:
        if not reply.done():
            if self.now - sent < 5.0:
                self.at(0.05, lambda: self.poll(worker, report, sent, reply))
            return
        body = reply.result()
        if body is None or self.random.random() < 0.03:
            return  # lost
        self.at(self.latency(), lambda: self.answered(worker, report, sent, body))

    def redirected(self, worker: Worker, counter: int, leader: str) -> None:
        if worker.waiting_for == counter:
            worker.waiting_for = 0
            worker.node = leader or "a"
            self.at(0.5, lambda: self.report(worker))

    def answered(self, worker: Worker, report: Report, sent: float, body: bytes) -> None:
        if (
            worker.waiting_for != report.counter
            or worker.tenure != report.tenure
            or worker.cut_until > self.now
            or not worker.alive
        ):
            return
        answer = cbor2.loads(body)
        worker.waiting_for = 0
        if answer["epoch"] >= worker.epoch:
            worker.epoch = answer["epoch"]
            worker.answered_sent = sent
            for order in answer["orders"]:
                self.obey(worker, order)
        self.at(max(0.5, REPORT_S * self.random.uniform(0.75, 1.25)), lambda: self.report(worker))

    def obey(self, worker: Worker, order: dict[str, Any]) -> None:
        job, _, task = order["piece"].partition("/")
        key = (job, int(task), order["try"])
        attempt = worker.tasks.get(key)
        if order["verb"] == "run" and attempt is None:
            if key in worker.cleared:
                raise Broken(f"run after clear: {key}")
            if any(k[:2] == key[:2] and a.state != "exited" for k, a in worker.tasks.items()):
                worker.tasks[key] = Attempt("exited", self.now, "busy")
                return
            self.starting(worker, key)
            worker.tasks[key] = Attempt("pulling", self.now + 1.0)
            if worker.sick_until > self.now:
                worker.tasks[key] = Attempt("exited", self.now, "error")
        elif order["verb"] == "stop" and attempt is not None and attempt.state != "exited":
            worker.tasks[key] = Attempt("exited", self.now, "halted")
        elif order["verb"] == "clear" and attempt is not None and attempt.state == "exited":
            del worker.tasks[key]
            worker.cleared.add(key)

    def advance(self, worker: Worker) -> None:
        if self.now - worker.answered_sent > LEASE_S:
            worker.tasks.clear()
            worker.cleared.clear()
            worker.tenure += 1
            worker.answered_sent = self.now
        for key, attempt in worker.tasks.items():
            gang = self.specs[key[0]].kind == "gang"
            if attempt.state == "pulling" and self.now >= attempt.changes_at:
                attempt.state = "waiting" if gang else "running"
                length = GANG_WAIT_S if gang else self.random.uniform(2.0, 12.0)
                attempt.changes_at = self.now + length
            elif attempt.state == "waiting" and self.now >= attempt.changes_at:
                attempt.state, attempt.why = "exited", "alone"
            elif not gang and attempt.state == "running" and self.now >= attempt.changes_at:
                attempt.state, attempt.why = "exited", "done"
                self.results.add(key[:2])

    def gangs(self) -> None:
        """Attempts whose tasks all wait start together, and end together."""
        found: dict[tuple[str, int], list[Attempt]] = {}
        for worker, key in self.live():
            if self.specs[key[0]].kind == "gang":
                found.setdefault((key[0], key[2]), []).append(worker.tasks[key])
        for (job, _), mates in found.items():
            whole = len(mates) == self.specs[job].tasks
            running = [mate for mate in mates if mate.state == "running"]
            if whole and all(mate.state == "waiting" for mate in mates):
                end = self.now + self.random.uniform(2.0, 12.0)
                for mate in mates:
                    mate.state, mate.changes_at = "running", end
            elif running and len(running) < self.specs[job].tasks:
                for mate in running:
                    if mate.lost_at is None:
                        mate.lost_at = self.now
                    if self.now - mate.lost_at > GANG_PEER_S:
                        mate.state, mate.why = "exited", "mates_gone"
            elif running and self.now >= running[0].changes_at:
                for mate in mates:
                    mate.state, mate.why = "exited", "done"
                self.results.update((job, task) for task in range(self.specs[job].tasks))

    # --- rules ---------------------------------------------------------------------------

    def live(self) -> list[tuple[Worker, tuple[str, int, int]]]:
        return [
            (w, key)
            for w in self.workers.values()
            for key, attempt in w.tasks.items()
            if attempt.state != "exited"
        ]

    def starting(self, worker: Worker, key: tuple[str, int, int]) -> None:
        self.starts += 1
        spec = self.specs[key[0]]
        for other in self.workers.values():
            self.advance(other)
        live = self.live()
        for other, k in live:
            if k[:2] == key[:2]:
                raise Broken(f"ran_twice: {key} on {worker.name} and {k} on {other.name}")
        if self.now - self.cancelled.get(key[0], self.now) > CANCEL_S:
            raise Broken(f"ran_cancelled: {key}")
        if spec.zone is not None and spec.zone != worker.zone:
            raise Broken(f"wrong_place: {key}")
        zones = [w.zone for w, k in live if k[0] == key[0]]
        if spec.one_zone and any(zone != worker.zone for zone in zones):
            raise Broken(f"wrong_place: {key} not in {zones}")
        if spec.spread and zones.count(worker.zone) + 1 > (spec.tasks + 1) // 2:
            raise Broken(f"wrong_place: {key} crowds {worker.zone}")

    def check(self) -> None:
        used: dict[str, float] = {}
        accelerators: dict[str, float] = {}
        for _, key in self.live():
            spec = self.specs[key[0]]
            used[spec.team] = used.get(spec.team, 0.0) + spec.cpus
            accelerators[spec.team] = accelerators.get(spec.team, 0.0) + spec.accelerators
            if self.now - self.cancelled.get(key[0], self.now) > CANCEL_S:
                raise Broken(f"ran_cancelled: {key} at {self.now}")
        for team, cpus in used.items():
            if cpus > self.limits[team] + 1e-6:
                raise Broken(f"quota: {team} uses {cpus}")
        for team, amount in accelerators.items():
            if amount > self.acc_limits[team] + 1e-6:
                raise Broken(f"quota: {team} uses {amount} accelerators")
