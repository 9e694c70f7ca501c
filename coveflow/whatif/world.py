"""Controllers, state service, cloud and workers in virtual time.

The controllers are the daemon's own `Owner` with everything in it; the rest are the lab's models.
Only what crosses a network is played here: messages take time, may be late, lost or repeated, and
nodes end. The simulator runs it calm and fast; the tests make it rough.
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
from coveflow.lab.store import ConditionFailed, RateLimit, Store
from coveflow.lab.truth import INF, GroundTruth
from coveflow.lab.worker import Attempt, Worker
from coveflow.settings import Settings, Tuning
from coveflow.state import keys as sk

ANSWER_S = 4.0  # s a worker waits for an answer; the protocol's own number
NEXT_S = 1.0  # s until it tries the next node
CHANGE_S = 0.5  # s between two reports that changes bring forward
TIMER_S = 0.05  # s between looks at what is due, as in the daemon
TICK_S = 0.5  # s between checks of silence
LIST_S = 4.0  # s between reads of the cloud's list
SWEEP_S = 0.5  # s between looks for answers that workers have given up
ELECTION_S = 0.4  # s from a dead member's end until another one leads
PASS_LEAST_S = 0.0003  # s of processor time of a pass with nothing in it, measured
PASS_STEP_S = 1.1e-5  # s of it per machine or bucket that a pass looks at, measured at 457 machines


@dataclass(eq=False)
class Post:
    """A worker in the world: the node it reports to and what it waits for."""

    worker: Worker
    node: str
    due: float  # its next report
    waiting: int = 0  # counter of the report that has no answer yet; 0: none
    sent: float = -INF
    next: float = INF  # the wake-up that counts
    skipped: float = -INF  # when a heartbeat was left out
    cut_until: float = 0.0


@dataclass
class Network:
    """Delays in s, one way; `lost` is the part of answers to reports that never arrive."""

    latency: Callable[[], float] = lambda: 0.001
    store: Callable[[], float] = lambda: 0.004
    cloud: Callable[[], float] = lambda: 0.1
    lost: Callable[[], bool] = lambda: False


@dataclass
class World:
    settings_of: Callable[[str], Settings]
    tuning: Tuning
    truth: GroundTruth
    store: Store
    cloud: Cloud
    network: Network = field(default_factory=Network)
    names: tuple[str, ...] = ("a",)
    random: Callable[[], float] = lambda: 0.5  # for phases of reports
    lean: bool = True  # heartbeats that bring nothing are left out, see `_idle`
    now: float = 0.0

    def __post_init__(self) -> None:
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.order = itertools.count()
        self.owners: dict[str, o.Owner | None] = {}
        self.posts: dict[str, Post] = {}
        self.cut_nodes: dict[str, float] = {}
        self.direct: set[cm.DirectRequest] = set()  # without an answer yet
        self.deaf: dict[str, float] = {}  # nodes whose watch is late, though they can write
        self.store_down_until = self.cloud_down_until = 0.0
        self.budget: dict[str, RateLimit] = {}
        self.gang_at = INF
        self.submitted: dict[str, Spec] = {}
        self.cancelled: dict[str, float] = {}
        self.over: dict[str, tuple[str, float]] = {}  # final state and when it was committed
        self.observers: list[Callable[[str, dict[str, Any]], None]] = []
        settings = self.settings_of(self.names[0])
        self.params = settings.params
        self.checker = Checker(list(self.params.teams), self.params.workers.cancel_s)
        self.cloud.on_rent = self._rented
        self.cloud.on_gone = self._machine_gone
        types = [msgspec.to_builtins(f) for f in self.cloud.flavors.values()]
        self.write({sk.TYPES: {"types": types}}, {})
        for name in self.names:
            self.boot(name)
        self.every(TIMER_S, self._timer)
        self.every(TICK_S, self._tick)
        self.every(LIST_S, self._list)
        self.every(SWEEP_S, self._sweep)

    # --- time --------------------------------------------------------------------------

    def at(self, delay: float, action: Callable[[], None]) -> None:
        heapq.heappush(self.events, (self.now + delay, next(self.order), action))

    def every(self, period: float, action: Callable[[], None]) -> None:
        def again() -> None:
            action()
            self.at(period, again)

        self.at(period, again)

    def run(self, until: float, stop: Callable[[], bool] = lambda: False) -> None:
        """Play until that time, or until `stop` says so at a tick."""
        events = self.events
        while events and events[0][0] <= until:
            self.now, _, action = heapq.heappop(events)
            action()
            if stop():
                return
        self.now = max(self.now, until)

    # --- state service -----------------------------------------------------------------

    def write(self, writes: dict[str, Any], guards: dict[str, int]) -> int | list[str]:
        """The new revision, or the keys whose guards failed."""
        try:
            rev = self.store.commit(
                guards, {key: (value, None) for key, value in writes.items()}, self.now
            )
        except ConditionFailed as conflict:
            return conflict.keys
        changed = []
        for key, value in writes.items():
            if key.startswith(sk.FINAL_RECORD) and value is not None:
                self._final(key[len(sk.FINAL_RECORD) :], value)
            if key.startswith(sk.INBOX):
                changed.append((key, value, rev))
        if changed:
            for name in self.owners:
                self.at(self.network.store(), lambda n=name: self.tell(n, changed))
        return rev

    def tell(self, name: str, rows: list[tuple[str, Any, int]]) -> None:
        """The inbox watch; a cut node is told when the cut is over."""
        cut = max(self.cut_nodes.get(name, 0.0), self.deaf.get(name, 0.0), self.store_down_until)
        if cut > self.now:
            self.at(cut - self.now + self.network.store(), lambda: self.tell(name, rows))
            return
        owner = self.owners.get(name)
        if owner is not None:
            owner.process_batch([cm.InboxRows(list(rows))])

    def rows(self, prefix: str) -> list[tuple[str, Any, int]]:
        rows, _ = self.store.list(prefix, "", 1_000_000)
        return [(key, copy.deepcopy(row.value), row.rev) for key, row in rows]

    def _final(self, job: str, record: dict[str, Any]) -> None:
        status = record["status"]
        self.over.setdefault(job, (status, self.now))
        if record.get("rider") is None:  # others are told by their own interface only
            self.checker.record(
                {"at": self.now, "kind": "answer", "to": "poll", "job": job, "code": 200,
                 "state": status}
            )  # fmt: skip
        self.told("over", job=job, status=status)

    def told(self, kind: str, **row: Any) -> None:
        for observer in self.observers:
            observer(kind, {"at": self.now, **row})

    # --- controllers -------------------------------------------------------------------

    def boot(self, name: str) -> None:
        owner = o.Owner(self.settings_of(name), self.tuning, lambda: self.now, lambda: self.now)
        owner.context.effects = lambda kind, data: self.effect(name, owner, kind, data)
        owner.context.encode_answer = lambda epoch, orders: (epoch, orders)
        owner.context.pass_duration_s = self.pass_s
        self.budget[name] = RateLimit(self._write_rps())
        self.budget[name].at = self.now
        self.owners[name] = owner
        self.booted(name, owner)
        owner.process_batch([cm.InboxRows(self.rows(sk.INBOX), listed=self.store.rev)])

    def booted(self, name: str, owner: o.Owner) -> None:
        """For those who watch or tamper with a controller."""

    def _write_rps(self) -> float:
        share = c.LEADER_SHARE if self.params.size > 1 else 1.0
        return self.params.state.write_rps * share

    def pass_s(self, plan: Plan, measured_s: float) -> float:
        """What a pass would take on a controller with its share of a core."""
        return (PASS_LEAST_S + PASS_STEP_S * plan.steps) / min(1.0, self.params.resources.cpu)

    def leader(self) -> o.Owner | None:
        found = [owner for owner in self.owners.values() if owner is not None and owner.leading]
        return max(found, key=lambda owner: owner.leading) if found else None

    def elect(self, name: str) -> None:
        """The node takes over, as membership does after the old leader's hold has ended."""
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
        if self.lean:
            # Its end resets the connections on which answers were waited for.
            for post in self.posts.values():
                if post.waiting and post.node == name:
                    self.at(
                        self.network.latency(),
                        lambda post=post, counter=post.waiting: self._refused(post, counter),
                    )
        self.at(back_s, lambda: self.boot(name))

    def lose_leader(self, back_s: float) -> None:
        """The leader ends; another node leads once its hold is over, or itself when back."""
        leader = self.leader()
        if leader is None:
            return
        name = leader.context.settings.name
        self.crash(name, back_s)
        others = [n for n in self.names if n != name]
        heir = others[0] if others else name
        wait = c.MEMBER_LEASE_S + ELECTION_S if others else back_s + ELECTION_S
        self.at(wait, lambda: self.elect(heir))

    def effect(self, name: str, owner: o.Owner, kind: str, data: Any) -> None:
        if kind == "commit":
            wait = self._paced(name, len(data.writes))
            self.at(wait + self.network.store(), lambda: self.commit(name, owner, data))
        elif kind == "return":
            epoch = owner.leading
            self.at(self.network.cloud(), lambda: self.give_back(name, owner, list(data), epoch))
        elif kind == "rent":
            self.at(self.network.cloud(), lambda: self.rent(name, owner, data))
        elif kind == "direct":
            self.direct.add(data)
            self.at(self.network.latency(), lambda: self._direct(name, owner, data))
            self.at(c.DIRECT_TIMEOUT_S, lambda: self._unanswered(name, owner, data))
        elif kind == "retake":
            self.at(0.5, lambda: self.elect(name))
        elif kind == "reread":
            rows = []
            for key in data:
                row = self.store.get(key)
                if row is not None:
                    rows.append((key, copy.deepcopy(row.value), row.rev))
            owner.process_batch([cm.InboxRows(rows)])

    def _direct(self, name: str, owner: o.Owner, request: cm.DirectRequest) -> None:
        """A request at the machine's own address; one that hangs gets it when it goes on."""
        post = self.posts.get(request.machine)
        if post is None or not self.reached(post):
            return
        worker = post.worker
        if worker.hung_at is not None:
            self.at(TIMER_S, lambda: self._direct(name, owner, request))
            return
        body = {"epoch": request.epoch, "tenure": request.tenure}
        if request.stops:
            worker.receive_commands(body, request.stops, self.now)
        report = worker.report(self.now)
        self._touched()
        self._schedule(post)
        self.at(
            self.network.latency(),
            lambda: self._answered_directly(name, owner, cm.DirectAnswer(request, report)),
        )

    def reached(self, post: Post) -> bool:
        """Whether a direct request comes to the machine."""
        return post.cut_until <= self.now and post.worker.alive

    def _unanswered(self, name: str, owner: o.Owner, request: cm.DirectRequest) -> None:
        if request in self.direct:
            self._answered_directly(name, owner, cm.DirectAnswer(request, None))

    def _answered_directly(self, name: str, owner: o.Owner, answer: cm.DirectAnswer) -> None:
        """The first that comes counts, if its sender still leads."""
        if answer.request not in self.direct:
            return
        self.direct.discard(answer.request)
        if self.owners.get(name) is owner and owner.leading == answer.request.epoch:
            owner.process_batch([answer])

    def _paced(self, name: str, writes: int) -> float:
        """s until this node's share of the changes allows them, as its client waits."""
        rate = self.budget[name]
        if rate.take(writes, self.now):
            return 0.0
        wait = (writes - rate.level) / rate.per_s
        rate.level -= writes
        return wait

    def commit(self, name: str, owner: o.Owner, txn: cm.Txn) -> None:
        """As the client's sure commit: at most once, however often it is sent."""
        held = max(self.store_down_until, self.cut_nodes.get(name, 0.0))
        if held > self.now:
            # Held back: it may be applied long after its sender is gone.
            self.at(held - self.now + self.network.store(), lambda: self.commit(name, owner, txn))
            return
        outcome = self.write(txn.writes, txn.guards)

        def settle() -> None:
            if self.owners.get(name) is owner:
                if isinstance(outcome, int):
                    owner.process_batch([cm.CommitResult(txn, outcome)])
                    self._settled(txn)
                else:
                    owner.process_batch([cm.CommitResult(txn, None, outcome)])

        self.at(self.network.store(), settle)

    def _settled(self, txn: cm.Txn) -> None:
        """New work for machines whose heartbeat was left out: its answer would be waiting."""
        held_s = c.IDLE_ANSWER_SHARE * self.params.workers.report_s
        for p in txn.placed:
            post = self.posts.get(p.machine)
            if post is not None and not post.waiting and self.now - post.skipped < held_s:
                post.skipped = -INF
                post.due = self.now
                self._schedule(post)

    def _timer(self) -> None:
        for owner in self.owners.values():
            if owner is not None and owner.leading:
                owner.process_batch([])

    def _tick(self) -> None:
        for owner in self.owners.values():
            if owner is not None:
                owner.process_batch([cm.Tick()])

    def _list(self) -> None:
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
        self.told("rent", want=want, machines=machines)
        self.at(self.network.cloud(), lambda: owner.process_batch([answer]))

    def give_back(self, name: str, owner: o.Owner, machines: list[str], epoch: int) -> None:
        """The node asks the store whether it still leads, then the cloud."""
        if self.owners.get(name) is not owner or self.cut_nodes.get(name, 0.0) > self.now:
            return
        row = self.store.get(sk.VIEW)
        if row is None or row.value["epoch"] != epoch:
            return
        if self.cloud_down_until > self.now:
            later = self.cloud_down_until - self.now + self.network.cloud()
            self.at(later, lambda: self.give_back(name, owner, machines, epoch))
            return
        machines = owner.machine_manager.still_to_return(machines)
        self.cloud.return_machines(machines, self.now)
        self.at(self.network.cloud(), lambda: owner.process_batch([cm.MachinesReturned(machines)]))

    def _rented(self, host: Host) -> None:
        if host.up < INF:
            self.at(max(0.0, host.up - self.now), lambda: self._machine_up(host))

    def _machine_up(self, host: Host) -> None:
        if host.gone < INF or host.failed < INF:
            return
        workers = self.params.workers
        worker = Worker(
            host.name, host.name, host.flavor, host.zone, host.spot, workers, self.truth,
            self.now, host.slow, host.fetch_part, self._note,
        )  # fmt: skip
        node = self.names[min(int(self.random() * len(self.names)), len(self.names) - 1)]
        post = Post(worker, node, self.now + self.random() * workers.report_s)
        self.posts[host.name] = post
        self.told("up", machine=host.name, type=host.flavor.name, zone=host.zone, spot=host.spot)
        self._schedule(post)

    def _machine_gone(self, host: Host, now: float) -> None:
        post = self.posts.pop(host.name, None)
        if post is not None:
            post.worker.terminate(now)
            post.next = INF
            self._touched()
            self.told("gone", machine=host.name)

    # --- users -------------------------------------------------------------------------

    def submit(self, spec: Spec, rider: Any = None) -> None:
        """Accepted at once, as `Front` does after its commit; a rider is another interface's."""
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

    def _note(self, kind: str, at: float, worker: Worker, attempt: Attempt) -> None:
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

    def _schedule(self, post: Post) -> None:
        """The next moment at which something happens at this worker."""
        worker = post.worker
        at = worker.next_at()
        if not post.waiting and worker.hung_at is None:
            due = post.due
            if worker.changed:
                due = min(due, max(self.now, post.sent + CHANGE_S))
            at = min(at, due)
        if at == INF or at == post.next:
            return
        post.next = at = max(at, self.now)
        self.at(at - self.now, lambda: self._wake(post, at))

    def _wake(self, post: Post, at: float) -> None:
        if post.next != at:
            return
        post.next = INF
        worker = post.worker
        worker.advance(self.now)
        self._touched()
        due = post.due
        if worker.changed:
            due = min(due, max(self.now, post.sent + CHANGE_S))
        if not post.waiting and due <= self.now + 1e-9 and worker.hung_at is None:
            self.report(post)
        self._schedule(post)

    def _touched(self) -> None:
        """Others whose tasks changed with a gang, and the gangs' own next moment."""
        if self.truth.changed_workers:
            touched, self.truth.changed_workers = self.truth.changed_workers, {}
            for worker in touched:
                post = self.posts.get(worker.name)
                if post is not None:
                    self._schedule(post)
        if self.truth.gangs:
            at = self.truth.next_at()
            if at < INF and at != self.gang_at:
                self.gang_at = at
                self.at(max(0.0, at - self.now), lambda: self._gangs(at))

    def _gangs(self, at: float) -> None:
        if at == self.gang_at:
            self.gang_at = INF
            self.truth.advance(self.now)
            self._touched()

    def _period(self) -> float:
        return self.params.workers.report_s * (0.75 + 0.5 * self.random())

    def report(self, post: Post) -> None:
        worker = post.worker
        if self.lean and self._idle(post):
            post.skipped = self.now
            post.due = self.now + self._period()
            return
        report = worker.report(self.now)
        post.waiting, post.sent = report.counter, self.now
        delay = self.network.latency()
        if post.cut_until > self.now:
            # A cut holds the packets back: the report arrives though nobody waits for it.
            delay += post.cut_until - self.now
        target = post.node
        self.at(delay, lambda: self.deliver(post, report, self.now - delay, target))

    def _idle(self, post: Post) -> bool:
        """Whether this heartbeat would bring nothing and take nothing back.

        Leaving it out changes no decision: its news would be empty, the leader has no order for
        the machine, and it goes out in time for both the lease and the leader's patience. Its
        answer would have waited a while for new work; `_settled` makes up for that.
        """
        worker = post.worker
        if worker.changed or worker.reclaim_at < INF or post.cut_until > self.now:
            return False
        leader = self.owners.get(post.node)
        if leader is None or not leader.leading or worker.epoch != leader.leading:
            return False
        if self.now - post.sent > 2 * self.params.workers.report_s:
            return False
        m = leader.state.machines.get(worker.name)
        if m is None or m.returning or len(m.placements) != len(worker.tasks):
            return False
        if any(p.stopping or not p.committed or not p.state for p in m.placements.values()):
            return False
        return not m.uncommitted_ends

    def deliver(self, post: Post, report: Report, sent: float, target: str) -> None:
        owner = self.owners.get(target)
        cut = self.cut_nodes.get(target, 0.0)
        if cut > self.now:
            self.at(cut - self.now + 0.01, lambda: self.deliver(post, report, sent, target))
            return
        if owner is None:
            self.at(self.network.latency(), lambda: self._refused(post, report.counter))
            return
        if not owner.leading:
            leader = owner.inbox.view.leader
            if self.lean and self.owners.get(leader) is None:
                # As any member does while the leader is away: it keeps the lease alive, and the
                # worker stays until there is somebody to send it to.
                epoch = owner.inbox.view.epoch
                self.at(
                    self.network.latency(),
                    lambda: self.answered(post, report, sent, epoch, []),
                )
                return
            self.at(self.network.latency(), lambda: self._redirected(post, report.counter, leader))
            return
        reply = Reply(lambda body: self._reply(post, report, sent, body))
        owner.process_batch([cm.ReportReceived(report, reply)])

    def _reply(self, post: Post, report: Report, sent: float, body: Any) -> None:
        if body is None or self.network.lost():
            return  # the worker gives it up, see `_sweep`
        if self.now - sent < ANSWER_S:
            self.at(self.network.latency(), lambda: self.answered(post, report, sent, *body))

    def _refused(self, post: Post, counter: int) -> None:
        """No connection: it tries the next node."""
        if post.waiting == counter:
            post.waiting = 0
            at = self.names.index(post.node) if post.node in self.names else 0
            post.node = self.names[(at + 1) % len(self.names)]
            post.due = self.now + NEXT_S
            self._schedule(post)

    def _redirected(self, post: Post, counter: int, leader: str) -> None:
        if post.waiting == counter:
            post.waiting = 0
            post.node = leader or self.names[0]
            post.due = self.now + 0.5 * self.random()
            self._schedule(post)

    def answered(
        self, post: Post, report: Report, sent: float, epoch: int, orders: list[Order]
    ) -> None:
        worker = post.worker
        if post.waiting != report.counter or post.cut_until > self.now or not worker.alive:
            return
        post.waiting = 0
        worker.receive_answer(report.tenure, sent, epoch, orders, self.now)
        post.due = max(self.now, sent + self._period())
        self._touched()
        self._schedule(post)

    def _sweep(self) -> None:
        """Workers that waited too long for an answer try the next node."""
        for post in list(self.posts.values()):
            if post.waiting and self.now - post.sent > ANSWER_S:
                post.waiting = 0
                others = [name for name in self.names if self.owners.get(name) is not None]
                names = others or list(self.names)
                post.node = names[min(int(self.random() * len(names)), len(names) - 1)]
                post.due = self.now + NEXT_S
                self._schedule(post)
            elif post.next == INF or post.next < self.now - 1e-6:
                self._schedule(post)

    def __repr__(self) -> str:
        return f"World at {self.now:.1f} s, {len(self.posts)} machines"
