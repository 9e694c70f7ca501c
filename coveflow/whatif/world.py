"""Simulation in virtual time of controllers, state service, cloud and workers.

The controllers run the daemon's own `Owner`; the state service, the cloud and the workers are the
lab's models. This module simulates the network between them: messages take time, may be late,
lost or repeated, and nodes crash. The simulator runs it with few faults and fast; the tests inject
faults.
"""

from __future__ import annotations

import copy
import heapq
import itertools
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import msgspec

from coveflow import constants as c
from coveflow.core.model import Order, Report, Spec
from coveflow.core.planner import Plan
from coveflow.daemon import commands as cm
from coveflow.daemon import owner as o
from coveflow.lab.check import Checker
from coveflow.lab.cloud import Cloud, Host
from coveflow.lab.replies import Reply
from coveflow.lab.store import ConditionFailed, Malformed, RateLimit, Store
from coveflow.lab.truth import INF, GroundTruth
from coveflow.lab.worker import Attempt, Worker
from coveflow.settings import Settings, Tuning
from coveflow.state import keys as sk

REPORT_ANSWER_TIMEOUT_S = 4.0  # s until a worker's report times out, as the protocol says
NEXT_NODE_S = 1.0  # s until the worker then tries the next node
CHANGE_REPORT_S = 0.5  # minimum s between two reports that are sent early because of a change
TIMER_S = 0.05  # s between checks for due work, as in the daemon
TICK_S = 0.5  # s between checks for silent machines
LIST_INTERVAL_S = 4.0  # s between reads of the cloud's list of machines
TIMEOUT_CHECK_S = 0.5  # s between checks for reports that have timed out
ELECTION_S = 0.4  # s from the expiry of a dead member's lease until another member leads
PASS_BASE_S = 0.0003  # s of processor time of an empty planning pass
PASS_STEP_S = 1.1e-5  # s more per machine or bucket that a pass examines, at 457 machines


@dataclass(eq=False)
class WorkerLink:
    """A worker's connection to the controllers: its node, and the report that awaits an answer."""

    worker: Worker
    node: str
    due: float  # when the next report is due
    waiting: int = 0  # counter of the unanswered report; 0: none
    sent_at: float = -INF
    next_wake: float = INF  # the wake-up in effect; earlier scheduled ones are ignored
    skipped_at: float = -INF  # when a heartbeat was skipped
    cut_until: float = 0.0  # end of the partition from all nodes


@dataclass
class Network:
    """One-way delays in s; `lost` draws whether the answer to a report is lost."""

    latency: Callable[[], float] = lambda: 0.001
    store: Callable[[], float] = lambda: 0.004
    cloud: Callable[[], float] = lambda: 0.1
    lost: Callable[[], bool] = lambda: False


@dataclass
class World:
    """A simulated cluster: an event queue, and the models and controllers that it drives."""

    settings_of: Callable[[str], Settings]
    tuning: Tuning
    truth: GroundTruth
    store: Store
    cloud: Cloud
    network: Network = field(default_factory=Network)
    names: tuple[str, ...] = ("a",)
    random: Callable[[], float] = lambda: 0.5  # for the phases of reports
    skip_idle_reports: bool = True  # skip heartbeats without effect, see `_may_skip_report`
    now: float = 0.0

    def __post_init__(self) -> None:
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.order = itertools.count()
        self.owners: dict[str, o.Owner | None] = {}
        self.worker_links: dict[str, WorkerLink] = {}
        self.cut_nodes: dict[str, float] = {}
        self.pending_direct: set[cm.DirectRequest] = set()  # direct requests without an answer yet
        # Nodes that can write but whose inbox watch is delayed, and until when.
        self.watch_delayed_until: dict[str, float] = {}
        self.store_down_until = self.cloud_down_until = 0.0
        self.write_budgets: dict[str, RateLimit] = {}
        self.next_gang_at = INF
        self.submitted: dict[str, Spec] = {}
        self.cancelled: dict[str, float] = {}
        self.over: dict[str, tuple[str, float]] = {}  # by job: final state, commit time
        self.observers: list[Callable[[str, dict[str, Any]], None]] = []
        settings = self.settings_of(self.names[0])
        self.params = settings.params
        self.checker = Checker(list(self.params.teams), self.params.workers.cancel_s)
        self.cloud.on_rent = self._on_rented
        self.cloud.on_gone = self._machine_gone
        types = [msgspec.to_builtins(f) for f in self.cloud.flavors.values()]
        self.write({sk.TYPES: {"types": types}}, {})
        for name in self.names:
            self.boot(name)
        self.every(TIMER_S, self._timer)
        self.every(TICK_S, self._tick)
        self.every(LIST_INTERVAL_S, self._list_machines)
        self.every(TIMEOUT_CHECK_S, self._time_out_reports)

    # --- time --------------------------------------------------------------------------

    def at(self, delay: float, action: Callable[[], None]) -> None:
        heapq.heappush(self.events, (self.now + delay, next(self.order), action))

    def every(self, period: float, action: Callable[[], None]) -> None:
        def again() -> None:
            action()
            self.at(period, again)

        self.at(period, again)

    def run(self, until: float, stop: Callable[[], bool] = lambda: False) -> None:
        """Process events until that time, or until `stop` returns true after an event."""
        events = self.events
        while events and events[0][0] <= until:
            self.now, _, action = heapq.heappop(events)
            action()
            if stop():
                return
        self.now = max(self.now, until)

    # --- state service -----------------------------------------------------------------

    def write(self, writes: dict[str, Any], guards: dict[str, int]) -> int | list[str]:
        """Commit; returns the new revision, or the keys whose guards failed."""
        try:
            rev = self.store.commit(
                guards, {key: (value, None) for key, value in writes.items()}, self.now
            )
        except ConditionFailed as conflict:
            return conflict.keys
        changed = []
        for key, value in writes.items():
            if key.startswith(sk.FINAL_RECORD) and value is not None:
                self._record_final_state(key[len(sk.FINAL_RECORD) :], value)
            if key.startswith(sk.INBOX):
                changed.append((key, value, rev))
        if changed:
            for name in self.owners:
                self.at(self.network.store(), lambda n=name: self.deliver_rows(n, changed))
        return rev

    def deliver_rows(self, name: str, rows: list[tuple[str, Any, int]]) -> None:
        """Deliver inbox changes to a node's watch, after the end of a partition or outage."""
        cut = max(
            self.cut_nodes.get(name, 0.0),
            self.watch_delayed_until.get(name, 0.0),
            self.store_down_until,
        )
        if cut > self.now:
            self.at(cut - self.now + self.network.store(), lambda: self.deliver_rows(name, rows))
            return
        owner = self.owners.get(name)
        if owner is not None:
            owner.process_batch([cm.InboxRows(list(rows))])

    def rows(self, prefix: str) -> list[tuple[str, Any, int]]:
        rows, _ = self.store.list(prefix, "", 1_000_000)
        return [(key, copy.deepcopy(row.value), row.rev) for key, row in rows]

    def _record_final_state(self, job: str, record: dict[str, Any]) -> None:
        status = record["status"]
        self.over.setdefault(job, (status, self.now))
        if record.get("rider") is None:  # other interfaces answer their own users
            self.checker.record(
                {"at": self.now, "kind": "answer", "to": "poll", "job": job, "code": 200,
                 "state": status}
            )  # fmt: skip
        self.notify_observers("over", job=job, status=status)

    def notify_observers(self, kind: str, **row: Any) -> None:
        for observer in self.observers:
            observer(kind, {"at": self.now, **row})

    # --- controllers -------------------------------------------------------------------

    def boot(self, name: str) -> None:
        owner = o.Owner(self.settings_of(name), self.tuning, lambda: self.now, lambda: self.now)
        owner.context.effects = lambda kind, data: self.effect(name, owner, kind, data)
        owner.context.encode_answer = lambda epoch, orders: (epoch, orders)
        owner.context.pass_duration_s = self.pass_s
        self.write_budgets[name] = RateLimit(self._write_rps())
        self.write_budgets[name].at = self.now
        self.owners[name] = owner
        self.booted(name, owner)
        owner.process_batch([cm.InboxRows(self.rows(sk.INBOX), listed=self.store.rev)])

    def booted(self, name: str, owner: o.Owner) -> None:
        """Hook for subclasses that observe or modify a controller."""

    def _write_rps(self) -> float:
        share = c.LEADER_SHARE if self.params.size > 1 else 1.0
        return self.params.state.write_rps * share

    def pass_s(self, plan: Plan, measured_s: float) -> float:
        """Duration of a planning pass on a controller with its share of a core."""
        return (PASS_BASE_S + PASS_STEP_S * plan.steps) / min(1.0, self.params.resources.cpu)

    def leader(self) -> o.Owner | None:
        found = [owner for owner in self.owners.values() if owner is not None and owner.leading]
        return max(found, key=lambda owner: owner.leading) if found else None

    def elect(self, name: str) -> None:
        """The node takes over, as membership does after the old leader's lease has expired."""
        owner = self.owners.get(name)
        if owner is None or self.store_down_until > self.now:
            return
        row = self.store.get(sk.VIEW)
        value, rev = (row.value, row.rev) if row is not None else ({"epoch": 0}, 0)
        new = {"epoch": value["epoch"] + 1, "leader": name, "members": [name]}
        done = self.write({sk.VIEW: new}, {sk.VIEW: rev})
        assert isinstance(done, int)
        owner.process_batch([
            cm.InboxRows(self.rows(sk.INBOX), listed=self.store.rev),
            cm.StartLeading(new["epoch"], done, self.rows(sk.LEADER_STATE)),
        ])  # fmt: skip

    def crash(self, name: str, back_s: float = 8.0) -> None:
        self.owners[name] = None
        if self.skip_idle_reports:
            # The crash resets the connections of workers that wait for an answer.
            for link in self.worker_links.values():
                if link.waiting and link.node == name:
                    self.at(
                        self.network.latency(),
                        lambda link=link, counter=link.waiting: self._on_refused(link, counter),
                    )
        self.at(back_s, lambda: self.boot(name))

    def lose_leader(self, back_s: float) -> None:
        """Crash the leader; another node leads once its lease expires, or itself once restarted."""
        leader = self.leader()
        if leader is None:
            return
        name = leader.context.settings.name
        self.crash(name, back_s)
        others = [n for n in self.names if n != name]
        successor = others[0] if others else name
        wait = c.MEMBER_LEASE_S + ELECTION_S if others else back_s + ELECTION_S
        self.at(wait, lambda: self.elect(successor))

    def effect(self, name: str, owner: o.Owner, kind: str, data: Any) -> None:
        if kind == "commit":
            wait = self._pacing_delay_s(name, len(data.writes))
            self.at(wait + self.network.store(), lambda: self.commit(name, owner, data))
        elif kind == "return":
            epoch = owner.leading
            self.at(
                self.network.cloud(), lambda: self.return_machines(name, owner, list(data), epoch)
            )
        elif kind == "rent":
            self.at(self.network.cloud(), lambda: self.rent(name, owner, data))
        elif kind == "direct":
            self.pending_direct.add(data)
            self.at(self.network.latency(), lambda: self._send_direct(name, owner, data))
            self.at(c.DIRECT_TIMEOUT_S, lambda: self._direct_timed_out(name, owner, data))
        elif kind == "retake":
            self.at(0.5, lambda: self.elect(name))
        elif kind == "reread":
            rows = []
            for key in data:
                row = self.store.get(key)
                if row is not None:
                    rows.append((key, copy.deepcopy(row.value), row.rev))
            owner.process_batch([cm.InboxRows(rows)])

    def _send_direct(self, name: str, owner: o.Owner, request: cm.DirectRequest) -> None:
        """A request to the machine's own address; a hung worker receives it when it resumes."""
        link = self.worker_links.get(request.machine)
        if link is None or not self.reached(link):
            return
        worker = link.worker
        if worker.hung_at is not None:
            self.at(TIMER_S, lambda: self._send_direct(name, owner, request))
            return
        body = {"epoch": request.epoch, "tenure": request.tenure}
        if request.stops:
            worker.receive_commands(body, request.stops, self.now)
        report = worker.report(self.now)
        self._reschedule_touched()
        self._schedule(link)
        self.at(
            self.network.latency(),
            lambda: self._on_direct_answer(name, owner, cm.DirectAnswer(request, report)),
        )

    def reached(self, link: WorkerLink) -> bool:
        """Whether a direct request reaches the machine."""
        return link.cut_until <= self.now and link.worker.alive

    def _direct_timed_out(self, name: str, owner: o.Owner, request: cm.DirectRequest) -> None:
        if request in self.pending_direct:
            self._on_direct_answer(name, owner, cm.DirectAnswer(request, None))

    def _on_direct_answer(self, name: str, owner: o.Owner, answer: cm.DirectAnswer) -> None:
        """Pass on the first answer, if the sender of the request still leads."""
        if answer.request not in self.pending_direct:
            return
        self.pending_direct.discard(answer.request)
        if self.owners.get(name) is owner and owner.leading == answer.request.epoch:
            owner.process_batch([answer])

    def _pacing_delay_s(self, name: str, writes: int) -> float:
        """s until this node's share of the write budget admits the writes, as its client waits."""
        rate = self.write_budgets[name]
        if rate.take(writes, self.now):
            return 0.0
        wait = (writes - rate.level) / rate.per_s
        rate.level -= writes
        return wait

    def commit(self, name: str, owner: o.Owner, txn: cm.Txn) -> None:
        """As the client's commit with retries: applied at most once, however often it is sent."""
        delayed_until = max(self.store_down_until, self.cut_nodes.get(name, 0.0))
        if delayed_until > self.now:
            # Delayed: it may be applied long after its sender has crashed.
            self.at(
                delayed_until - self.now + self.network.store(),
                lambda: self.commit(name, owner, txn),
            )
            return
        outcome: int | list[str] | None
        try:
            outcome = self.write(txn.writes, txn.guards)
        except Malformed:
            outcome = None

        def settle() -> None:
            if self.owners.get(name) is owner:
                if outcome is None:
                    owner.process_batch([cm.CommitResult(txn, None, refused=True)])
                elif isinstance(outcome, int):
                    owner.process_batch([cm.CommitResult(txn, outcome)])
                    self._report_skipped(txn)
                else:
                    owner.process_batch([cm.CommitResult(txn, None, outcome)])

        self.at(self.network.store(), settle)

    def _report_skipped(self, txn: cm.Txn) -> None:
        """Let machines with new work report now if their skipped heartbeat would be pending."""
        answer_wait_s = c.IDLE_ANSWER_SHARE * self.params.workers.report_s
        for p in txn.placed:
            link = self.worker_links.get(p.machine)
            if link is not None and not link.waiting and self.now - link.skipped_at < answer_wait_s:
                link.skipped_at = -INF
                link.due = self.now
                self._schedule(link)

    def _timer(self) -> None:
        for owner in self.owners.values():
            if owner is not None and owner.leading:
                owner.process_batch([])

    def _tick(self) -> None:
        for owner in self.owners.values():
            if owner is not None:
                owner.process_batch([cm.Tick()])

    def _list_machines(self) -> None:
        leader = self.leader()
        if leader is None or self.cloud_down_until > self.now:
            return
        rows, after = [], ""
        while True:
            page, more = self.cloud.list(after, c.LIST_PAGE, self.now)
            rows += page
            if not more:
                break
            after = page[-1].machine
        leader.process_batch([cm.CloudList(rows)])

    # --- cloud -------------------------------------------------------------------------

    def rent(self, name: str, owner: o.Owner, want: Any) -> None:
        if self.owners.get(name) is not owner or not owner.leading:
            return
        if self.cloud_down_until > self.now:
            later = self.cloud_down_until - self.now + self.network.cloud()
            self.at(later, lambda: self.rent(name, owner, want))
            return
        rental = f"r-{next(self.order)}"
        machines = self.cloud.rent(rental, want.flavor, want.zone, want.spot, want.count, self.now)
        answer = cm.MachinesRented(want, machines) if machines else cm.RentRefused(want)
        self.notify_observers("rent", want=want, machines=machines)
        self.at(self.network.cloud(), lambda: owner.process_batch([answer]))

    def return_machines(self, name: str, owner: o.Owner, machines: list[str], epoch: int) -> None:
        """The node checks in the store that it still leads before it calls the cloud."""
        if self.owners.get(name) is not owner or self.cut_nodes.get(name, 0.0) > self.now:
            return
        row = self.store.get(sk.VIEW)
        if row is None or row.value["epoch"] != epoch:
            return
        if self.cloud_down_until > self.now:
            later = self.cloud_down_until - self.now + self.network.cloud()
            self.at(later, lambda: self.return_machines(name, owner, machines, epoch))
            return
        machines = owner.machine_manager.still_to_return(machines)
        self.cloud.return_machines(machines, self.now)
        self.at(self.network.cloud(), lambda: owner.process_batch([cm.MachinesReturned(machines)]))

    def _on_rented(self, host: Host) -> None:
        if host.up < INF:
            self.at(max(0.0, host.up - self.now), lambda: self._machine_up(host))

    def _machine_up(self, host: Host) -> None:
        if host.gone < INF or host.failed < INF:
            return
        workers = self.params.workers
        worker = Worker(
            host.name, host.name, host.flavor, host.zone, host.spot, workers, self.truth,
            self.now, host.slow, host.fetch_part, self._on_attempt_event,
        )  # fmt: skip
        node = self.names[min(int(self.random() * len(self.names)), len(self.names) - 1)]
        link = WorkerLink(worker, node, self.now + self.random() * workers.report_s)
        self.worker_links[host.name] = link
        self.notify_observers(
            "up", machine=host.name, type=host.flavor.name, zone=host.zone, spot=host.spot
        )
        self._schedule(link)

    def _machine_gone(self, host: Host, now: float) -> None:
        link = self.worker_links.pop(host.name, None)
        if link is not None:
            link.worker.terminate(now)
            link.next_wake = INF
            self._reschedule_touched()
            self.notify_observers("gone", machine=host.name)

    # --- users -------------------------------------------------------------------------

    def submit(self, spec: Spec, rider: Any = None) -> None:
        """Accept a job at once, as `UserApi` does after its commit.

        `rider` is the extra record of another interface.
        """
        self.submitted[spec.id] = spec
        self.truth.upload(spec)
        self.checker.record({"at": self.now, "kind": "submit", "job": spec.id, "spec": spec})
        record = {"spec": msgspec.to_builtins(spec), "at": self.now}
        if rider is not None:
            record["rider"] = rider
        self.write({sk.JOB + spec.id: record}, {sk.JOB + spec.id: 0, sk.FINAL_RECORD + spec.id: 0})

    def cancel(self, job: str) -> None:
        row = self.store.get(sk.JOB + job)
        if row is None or row.value.get("cancel") is not None:
            return
        self.write({sk.JOB + job: {**row.value, "cancel": self.now}}, {sk.JOB + job: row.rev})
        self.cancelled[job] = self.now
        self.checker.record({"at": self.now, "kind": "cancel", "job": job})
        self.checker.record(
            {"at": self.now, "kind": "answer", "to": "cancel", "job": job, "code": 200,
             "state": "cancelled"}
        )  # fmt: skip

    # --- workers -----------------------------------------------------------------------

    def _on_attempt_event(self, kind: str, at: float, worker: Worker, attempt: Attempt) -> None:
        if kind != "running":
            self.checker.record({
                "at": at, "kind": kind, "job": attempt.job, "task": attempt.task,
                "machine": worker.name, "type": worker.flavor.name, "zone": worker.zone,
                "spot": worker.spot, "why": attempt.why,
            })  # fmt: skip
        for observer in self.observers:
            observer(
                kind,
                {"at": at, "machine": worker.name, "job": attempt.job, "task": attempt.task,
                 "number": attempt.number, "why": attempt.why},
            )  # fmt: skip

    def _schedule(self, link: WorkerLink) -> None:
        """Schedule the next time at which something happens at this worker."""
        worker = link.worker
        at = worker.next_at()
        if not link.waiting and worker.hung_at is None:
            due = link.due
            if worker.changed:
                due = min(due, max(self.now, link.sent_at + CHANGE_REPORT_S))
            at = min(at, due)
        if at == INF or at == link.next_wake:
            return
        link.next_wake = at = max(at, self.now)
        self.at(at - self.now, lambda: self._wake(link, at))

    def _wake(self, link: WorkerLink, at: float) -> None:
        if link.next_wake != at:
            return
        link.next_wake = INF
        worker = link.worker
        worker.advance(self.now)
        self._reschedule_touched()
        due = link.due
        if worker.changed:
            due = min(due, max(self.now, link.sent_at + CHANGE_REPORT_S))
        if not link.waiting and due <= self.now + 1e-9 and worker.hung_at is None:
            self.report(link)
        self._schedule(link)

    def _reschedule_touched(self) -> None:
        """Reschedule workers whose tasks changed with their gang, and the next event of gangs."""
        if self.truth.changed_workers:
            touched, self.truth.changed_workers = self.truth.changed_workers, {}
            for worker in touched:
                link = self.worker_links.get(worker.name)
                if link is not None:
                    self._schedule(link)
        if self.truth.gangs:
            at = self.truth.next_at()
            if at < INF and at != self.next_gang_at:
                self.next_gang_at = at
                self.at(max(0.0, at - self.now), lambda: self._advance_gangs(at))

    def _advance_gangs(self, at: float) -> None:
        if at == self.next_gang_at:
            self.next_gang_at = INF
            self.truth.advance(self.now)
            self._reschedule_touched()

    def _draw_report_delay(self) -> float:
        return self.params.workers.report_s * (0.75 + 0.5 * self.random())

    def report(self, link: WorkerLink) -> None:
        worker = link.worker
        if self.skip_idle_reports and self._may_skip_report(link):
            link.skipped_at = self.now
            link.due = self.now + self._draw_report_delay()
            return
        report = worker.report(self.now)
        link.waiting, link.sent_at = report.counter, self.now
        delay = self.network.latency()
        if link.cut_until > self.now:
            # A partition delays packets: the report arrives after its sender has given it up.
            delay += link.cut_until - self.now
        target = link.node
        self.at(delay, lambda: self.deliver(link, report, self.now - delay, target))

    def _may_skip_report(self, link: WorkerLink) -> bool:
        """Whether this heartbeat would carry no news and its answer no orders.

        Skipping it changes no decision: it reports no change, the leader has no order for the
        machine, and the next one is in time for both the lease and the leader's report timeout.
        Its answer would have waited a while for new work; `_report_skipped` makes up for that.
        """
        worker = link.worker
        if worker.changed or worker.reclaim_at < INF or link.cut_until > self.now:
            return False
        leader = self.owners.get(link.node)
        if leader is None or not leader.leading or worker.epoch != leader.leading:
            return False
        if self.now - link.sent_at > 2 * self.params.workers.report_s:
            return False
        m = leader.state.machines.get(worker.name)
        if m is None or m.returning or len(m.placements) != len(worker.tasks):
            return False
        if any(p.stopping or not p.committed or not p.state for p in m.placements.values()):
            return False
        return not m.uncommitted_ends

    def deliver(self, link: WorkerLink, report: Report, sent: float, target: str) -> None:
        owner = self.owners.get(target)
        cut = self.cut_nodes.get(target, 0.0)
        if cut > self.now:
            self.at(cut - self.now + 0.01, lambda: self.deliver(link, report, sent, target))
            return
        if owner is None:
            self.at(self.network.latency(), lambda: self._on_refused(link, report.counter))
            return
        if not owner.leading:
            leader = owner.inbox.view.leader
            if self.skip_idle_reports and self.owners.get(leader) is None:
                # As any member does while there is no leader: it renews the lease, and the worker
                # stays until there is a leader to redirect it to.
                epoch = owner.inbox.view.epoch
                self.at(
                    self.network.latency(),
                    lambda: self.answered(link, report, sent, epoch, []),
                )
                return
            self.at(self.network.latency(), lambda: self._redirected(link, report.counter, leader))
            return
        reply = Reply(lambda body: self._send_answer(link, report, sent, body))
        owner.process_batch([cm.ReportReceived(report, reply)])

    def _send_answer(self, link: WorkerLink, report: Report, sent: float, body: Any) -> None:
        if body is None or self.network.lost():
            return  # the worker times out, see `_time_out_reports`
        if self.now - sent < REPORT_ANSWER_TIMEOUT_S:
            self.at(self.network.latency(), lambda: self.answered(link, report, sent, *body))

    def _on_refused(self, link: WorkerLink, counter: int) -> None:
        """The connection was refused: the worker tries the next node."""
        if link.waiting == counter:
            link.waiting = 0
            at = self.names.index(link.node) if link.node in self.names else 0
            link.node = self.names[(at + 1) % len(self.names)]
            link.due = self.now + NEXT_NODE_S
            self._schedule(link)

    def _redirected(self, link: WorkerLink, counter: int, leader: str) -> None:
        if link.waiting == counter:
            link.waiting = 0
            link.node = leader or self.names[0]
            link.due = self.now + 0.5 * self.random()
            self._schedule(link)

    def answered(
        self, link: WorkerLink, report: Report, sent: float, epoch: int, orders: list[Order]
    ) -> None:
        worker = link.worker
        if link.waiting != report.counter or link.cut_until > self.now or not worker.alive:
            return
        link.waiting = 0
        worker.receive_answer(report.tenure, sent, epoch, orders, self.now)
        link.due = max(self.now, sent + self._draw_report_delay())
        self._reschedule_touched()
        self._schedule(link)

    def _time_out_reports(self) -> None:
        """Workers whose report has timed out try another node."""
        for link in list(self.worker_links.values()):
            if link.waiting and self.now - link.sent_at > REPORT_ANSWER_TIMEOUT_S:
                link.waiting = 0
                others = [name for name in self.names if self.owners.get(name) is not None]
                names = others or list(self.names)
                link.node = names[min(int(self.random() * len(names)), len(names) - 1)]
                link.due = self.now + NEXT_NODE_S
                self._schedule(link)
            elif link.next_wake == INF or link.next_wake < self.now - 1e-6:
                self._schedule(link)

    def __repr__(self) -> str:
        return f"World at {self.now:.1f} s, {len(self.worker_links)} machines"
