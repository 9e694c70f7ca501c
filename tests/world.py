"""The simulated cluster with message faults, and with protocol checks while it runs.

Messages are late, lost, duplicated or delayed. Controllers, planner and records are the daemon's
own and the rest are the lab's models, as in the simulator and the lab.
"""

from __future__ import annotations

import contextlib
import random
from collections.abc import Callable
from typing import Any

import cbor2

from coveflow import settings as s
from coveflow.core.model import Order, Report, Spec
from coveflow.daemon import commands as cm
from coveflow.daemon import owner as o
from coveflow.lab.cloud import BootTimes, Cloud
from coveflow.lab.store import Malformed, Store
from coveflow.lab.stored_attempts import stored_attempts
from coveflow.lab.truth import GroundTruth
from coveflow.state import keys as sk
from coveflow.whatif import world as w
from tests.samples import flavor

LEASE_S, CANCEL_S, REPORT_S = 10.0, 40.0, 1.0
GANG_WAIT_S, GANG_PEER_S = 20.0, 5.0
VALUE_KB, TXN_OPS = 8.0, 12
TEAM = {"name": "blue", "cpus_max": 24.0, "gpus": 2.0, "gpus_max": 6.0}


class Broken(AssertionError):
    """A protocol rule was broken."""


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


class World(w.World):
    """`limit` is the team's CPU limit, None for none. Run times are 2 to 12 s."""

    def __init__(
        self, seed: int, machines: int = 4, limit: float | None = 24.0, tuning=None, **settings: Any
    ) -> None:
        rng = random.Random(seed)
        team = TEAM | {"cpus_max": limit or 0.0}
        self.tamper: Callable[[World, str, o.Owner], None] = settings.pop(
            "tamper", lambda world, name, owner: None
        )
        self.tamper_txn: Callable[[cm.Txn], None] = lambda txn: None
        self.cleared: set[tuple[str, int, tuple[str, int, int]]] = set()
        machine_type = flavor(accelerators=2.0, boot_s=3.0)
        zones = ["south", "north"]
        cloud = Cloud(
            [machine_type],
            {(machine_type.name, zone, False): machines for zone in zones},
            lag_s=1.0, seed=seed, boots=BootTimes(quick=0, late=0, never=0),
        )  # fmt: skip

        def draw(spec: Spec) -> list[float]:
            return [rng.uniform(2.0, 12.0) for _ in range(spec.tasks)]

        def latency() -> float:
            return rng.choice([0.01, 0.02, 0.05, 0.3])

        super().__init__(
            settings_of=lambda name: node_settings(name, [team]),
            tuning=tuning or s.Tuning(),
            truth=GroundTruth(draw, GANG_PEER_S, GANG_WAIT_S),
            store=Store(1e9, 1e9, VALUE_KB, TXN_OPS),
            cloud=cloud,
            network=w.Network(latency, latency, lambda: 0.2, lambda: rng.random() < 0.03),
            names=("a", "b", "c"),
            random=rng.random,
            skip_idle_reports=False,
            **settings,
        )
        self.rng = rng
        self.not_receiving_until: dict[str, float] = {}  # receive nothing, until when
        self.duplicates_until = 0.0  # until then, late copies of reports go to any node
        for i in range(machines):
            cloud.start_machines(machine_type.name, zones[i % 2], False, 1, 0.0)
        self.elect("a")
        self.every(0.25, self._rules)
        self.run(0.0)

    @property
    def workers(self) -> list[w.WorkerLink]:
        return list(self.worker_links.values())

    @property
    def ended(self) -> dict[str, str]:
        return {job: status for job, (status, _) in self.over.items()}

    def booted(self, name: str, owner: o.Owner) -> None:
        self.tamper(self, name, owner)

    def _rules(self) -> None:
        for job, task in list(self.checker.running):
            self.checker._check_cancelled(job, task, self.now)
        if self.checker.violations:
            first = self.checker.violations[0]
            raise Broken(f"{first.rule}: {first.text} at {first.at:.2f}")

    def write(self, writes: dict[str, Any], guards: dict[str, int]) -> int | list[str]:
        # Encoded as on the wire, so that the store shares no objects with the writer.
        return super().write(cbor2.loads(cbor2.dumps(writes)), guards)

    def commit(self, name: str, owner: o.Owner, txn: cm.Txn) -> None:
        self.tamper_txn(txn)
        if self.rng.random() < 0.1:
            guards, writes = dict(txn.guards), dict(txn.writes)
            # A duplicate arrives late and must have no effect.
            self.at(2.0 + self.rng.random() * 5, lambda: self._write_late(writes, guards))
        super().commit(name, owner, txn)

    def _write_late(self, writes: dict[str, Any], guards: dict[str, int]) -> None:
        with contextlib.suppress(Malformed):  # the store's limits may have fallen meanwhile
            self.write(writes, guards)

    def deliver(self, link: w.WorkerLink, report: Report, sent: float, target: str) -> None:
        if self.now < self.duplicates_until and self.rng.random() < 0.3:
            node = self.rng.choice(self.names)
            late = self.rng.uniform(1.0, 3 * LEASE_S)
            self.at(late, lambda: super(World, self).deliver(link, report, sent, node))
        super().deliver(link, report, sent, target)

    def _redirected(self, link: w.WorkerLink, counter: int, leader: str) -> None:
        if self.now >= self.not_receiving_until.get(link.worker.name, 0.0):
            super()._redirected(link, counter, leader)

    def reached(self, link: w.WorkerLink) -> bool:
        not_receiving = self.now < self.not_receiving_until.get(link.worker.name, 0.0)
        return not not_receiving and super().reached(link)

    def restart_worker(self, link: w.WorkerLink, first: bool) -> None:
        """The worker restarts at once without tasks and counts its reports from one."""
        worker = link.worker
        worker._kill_all(self.now)
        worker.counter, worker.epoch, worker.lease_renewed_at = 0, 0, self.now
        worker.tenure = 1 if first else worker.tenure
        link.waiting = 0

    def answered(
        self, link: w.WorkerLink, report: Report, sent: float, epoch: int, orders: list[Order]
    ) -> None:
        worker = link.worker
        if self.now < self.not_receiving_until.get(worker.name, 0.0):
            return
        if (
            link.waiting == report.counter
            and worker.tenure == report.tenure
            and epoch >= worker.epoch  # an answer of an older epoch is dropped
        ):
            for order in orders:
                key = (worker.name, worker.tenure, (order.job, order.task, order.number))
                if order.verb == "clear":
                    self.cleared.add(key)
                    attempt = (worker.name, order.job, order.task, order.number)
                    if attempt in stored_attempts(self.rows(sk.SLOT)):
                        raise Broken(f"clear before the commit of its end: {key}")
                elif order.verb == "run" and key in self.cleared:
                    raise Broken(f"run after clear: {key}")
        super().answered(link, report, sent, epoch, orders)

    def sick(self, link: w.WorkerLink, for_s: float) -> None:
        """The worker fails every task that it starts, for `for_s` seconds."""
        link.worker.sick = True
        self.at(for_s, lambda: setattr(link.worker, "sick", False))
