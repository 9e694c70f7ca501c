"""The model that the model check explores: controllers, machines and a job, one choice a step.

The nodes are the daemon's own `Owner` with its records and the membership's own take-over and
hand-over, driven step by step: the search decides whether each call to the state service is
applied, answered or lost. Reports, answers and transactions may be late or duplicated, member
leases end at any moment (also those of live nodes), processes crash, worker leases expire, and
machines are returned to the cloud.

Only choices advance the clock, so bounds are on steps, not on seconds.
"""

from __future__ import annotations

import contextlib
import copy
import hashlib
from collections.abc import Coroutine, Generator, Iterator
from dataclasses import dataclass, field, replace
from typing import Any

import cbor2

from coveflow import constants as c
from coveflow import settings as s
from coveflow.core.model import Flavor, Order, Report, Spec
from coveflow.daemon import commands as cm
from coveflow.daemon.owner import Owner
from coveflow.lab.check import Checker
from coveflow.lab.replies import Reply
from coveflow.lab.store import ConditionFailed, Store
from coveflow.lab.stored_attempts import stored_attempts
from coveflow.lab.truth import GroundTruth
from coveflow.lab.worker import Attempt, Limits, Worker
from coveflow.membership.leadership import Membership
from coveflow.net.http import UnknownOutcome
from coveflow.state import keys as sk
from coveflow.state import store as client
from coveflow.state.store import Conflict
from coveflow.state.transactions import Transaction

Choice = tuple[str, ...]
JOB = "j-000001"
LIMITS = Limits(report_s=1.0, lease_s=20.0, gang_wait_s=20.0, gang_peer_s=5.0, cancel_s=90.0)
STEP_S = 1.0  # s by which the choice "time" advances the clock
RUN_S = 1e6  # s a task runs; it ends earlier by the choice "finish"
SHORT_CANCEL_S = 45.0  # s; `cancel_s` of the cancellation model
WHILE_S = 14.0  # s of the choice "while"; less than a lease, so it can be renewed in time
# How often each choice may occur on one path.
BOUNDS = {"time": 8, "long": 1, "crash": 1, "hold": 2, "lose": 1, "again": 1, "late": 1,
          "hand": 1, "cancel": 1, "expire": 1, "word": 0, "while": 0}  # fmt: skip
# The same for the long random paths.
LONG_PATH_BOUNDS = {"time": 60, "long": 2, "crash": 2, "hold": 4, "lose": 3, "again": 3, "late": 3,
        "hand": 2, "cancel": 1, "expire": 2, "word": 0, "while": 0}  # fmt: skip
# For paths about cancellations, whose rules apply only after more than a lease.
CANCELLATION_BOUNDS = LONG_PATH_BOUNDS | {"word": 16, "while": 12, "long": 0, "time": 4}


class RuleBroken(AssertionError):
    """A rule of the protocol is broken; `path` reproduces it."""

    def __init__(self, text: str, path: list[Choice]) -> None:
        super().__init__(f"{text} after {len(path)} steps: {' '.join('.'.join(p) for p in path)}")
        self.text, self.path = text, path


class StoreCall:
    """A call to the state service that waits for the search to decide its outcome."""

    def __init__(self, kind: str, *args: Any) -> None:
        self.kind, self.args = kind, args

    def __await__(self) -> Generator[StoreCall, Any, Any]:
        return (yield self)


class SteppedStore(client.Store):
    """The store client with its own commit retries; the search decides about each request."""

    def __init__(self) -> None:
        self.clock = lambda: 0.0

    def set_leading(self, leading: bool) -> None:
        pass

    async def get(self, key: str) -> Any:
        return await StoreCall("get", key)

    async def list(self, prefix: str) -> Any:
        return await StoreCall("list", prefix)

    async def _commit_hedged(self, transaction: Transaction) -> Any:
        # Duplicated transactions are choices of the search.
        return await self.commit(transaction.guards, transaction.writes)

    async def commit(self, guards: Any, writes: Any, grant: int | None = None) -> Any:
        return await StoreCall("commit", dict(guards), cbor2.dumps(writes))


@dataclass(eq=False)
class PendingCall:
    """A node's coroutine suspended at a store call; `outcome` is set once the call is applied."""

    work: Coroutine[StoreCall, Any, Any]
    op: StoreCall
    outcome: Any = None
    applied: bool = False


@dataclass(eq=False)
class Node:
    name: str
    owner: Owner
    membership: Membership
    seen: int  # revision up to which the watch has delivered
    process: str
    txn: PendingCall | None = None
    lead: PendingCall | None = None
    returns: list[str] = field(default_factory=list)
    awaiting_return: list[str] = field(default_factory=list)  # asked of the cloud, unanswered


class _DirectOwnerInterface:
    """The owner interface for membership; it calls the owner directly, without a queue."""

    def __init__(self, owner: Owner) -> None:
        self.owner = owner

    def __getattr__(self, name: str) -> Any:
        return getattr(self.owner, name)

    async def apply_inbox_rows(self, rows: Any, listed: int | None) -> None:
        self.owner.process_batch([cm.InboxRows(rows, listed)])

    def lead(self, epoch: int, rev: int, rows: Any) -> None:
        self.owner.process_batch([cm.StartLeading(epoch, rev, rows)])


@dataclass(eq=False)
class ReportInFlight:
    """A worker's report in flight, and its answer if there is one."""

    report: Report
    node: str
    at: float
    taken: bool = False
    answer: tuple[int, list[Order]] | None = None


class Model:
    """The model's state; `choices` lists the possible steps, `do` executes one."""

    def __init__(
        self,
        nodes: int = 2,
        machines: int = 2,
        tasks: int = 2,
        at_once: int = 2,
        bounds: dict[str, int] = BOUNDS,
    ) -> None:
        """`at_once`: tasks that the team's limit allows to run concurrently."""
        self.now = 0.0
        self.left = dict(bounds)
        # In the cancellation model, nodes renew leases only while their knowledge of
        # cancellations is recent.
        self.cancel_model = bounds["word"] > 0
        self.limits = replace(LIMITS, cancel_s=SHORT_CANCEL_S) if self.cancel_model else LIMITS
        self.path: list[Choice] = []
        team = s.Team(name="blue", cpus_max=2.0 * at_once)
        self.flavor = Flavor("m", 2.0, 0.0, 8.0, 20.0, 100.0, 1.0, 0.3, 1.0, ["north"])
        self.store = Store(1e9, 1e9, 16.0, 16)
        self.checker = Checker([team], self.limits.cancel_s, LIMITS.lease_s)
        self.boots = 0  # processes started so far, for their names
        self.cleared: set[tuple[Any, ...]] = set()
        self.runs: dict[tuple[str, int, int], str] = {}  # machine by attempt that was ordered
        spec = Spec(
            JOB, "tally", "blue", "array", 1, tasks, 2.0, 0.0, 1.0, "i", 0.0, None, None, False,
            False, False, RUN_S, 0.0, 0.0, None,
        )  # fmt: skip
        self.truth = GroundTruth(
            lambda sp: [RUN_S] * sp.tasks, LIMITS.gang_peer_s, LIMITS.gang_wait_s
        )
        self.truth.upload(spec)
        self.checker.record({"at": 0.0, "kind": "submit", "job": JOB, "spec": spec})
        names = [f"host-{i}" for i in range(nodes)]
        self.settings = {name: self._settings(name, team, names) for name in names}
        record = {"spec": _builtins(spec), "at": 0.0}
        members = {sk.MEMBER + name: {"zone": "north"} for name in names}
        types = {"types": [_builtins(self.flavor)]}
        self._write({sk.TYPES: types, sk.JOB + JOB: record, **members})
        self.workers = {
            f"n-{i}": Worker(
                f"n-{i}", f"n-{i}", self.flavor, "north", False, LIMITS, self.truth, 0.0,
                note=self._note,
            )
            for i in range(machines)
        }  # fmt: skip
        self.sent: dict[str, ReportInFlight] = {}
        self.late: list[ReportInFlight] = []  # given up by their workers, still in flight
        self.old: tuple[dict[str, int], bytes] | None = None  # a transaction that may arrive again
        self.nodes = {name: self._boot(name) for name in names}
        self.down: list[str] = []

    # --- parts -------------------------------------------------------------------------

    def _settings(self, name: str, team: s.Team, names: list[str]) -> s.Settings:
        return s.parse({
            "host_name": name, "area": "north", "front": "127.0.0.1:1",
            "cluster_listen": "127.0.0.1:2",
            "members": [
                {"host_name": other, "area": "north", "address": "127.0.0.1:2"}
                for other in names if other != name
            ],
            "services": {"cloud": "127.0.0.1:3", "state": "127.0.0.1:4"},
            "params": {
                "size": len(names), "zones": ["north"], "teams": [_builtins(team)],
                "workers": _builtins(self.limits),
                "state": {"rps": 1e6, "write_rps": 1e6, "value_kb": 16.0, "txn_ops": 16},
                "cloud": {"rps": 3.0},
            },
        })  # fmt: skip

    def _boot(self, name: str) -> Node:
        owner = Owner(self.settings[name], s.Tuning(), lambda: self.now, lambda: self.now)
        membership = Membership(
            self.settings[name], SteppedStore(), _DirectOwnerInterface(owner), lambda: self.now,  # type: ignore[arg-type]
            lambda: False, lambda: sorted(owner.inbox.members), lambda: False,
            lambda name: False, lambda: self.now, "",
        )  # fmt: skip
        membership.lease = 1
        membership.on_store_contact = owner.cancellations.record_store_contact
        self.boots += 1
        node = Node(name, owner, membership, self.store.rev, f"process-{self.boots}")
        owner.context.effects = lambda kind, data: self._effect(node, kind, data)
        owner.context.encode_answer = lambda epoch, orders: (epoch, orders)
        owner.context.pass_duration_s = lambda plan, measured_s: 0.0
        owner.process_batch([cm.InboxRows(self._rows(sk.INBOX), listed=self.store.rev)])
        owner.cancellations.record_store_contact(self.now)
        return node

    def _rows(self, prefix: str) -> list[tuple[str, Any, int]]:
        rows, _ = self.store.list(prefix, "", 10**6)
        return [(key, copy.deepcopy(row.value), row.rev) for key, row in rows]

    def _leader(self) -> str:
        """The leader by the stored view."""
        row = self.store.get(sk.VIEW)
        return "" if row is None else row.value["leader"]

    def _write(self, writes: dict[str, Any], guards: dict[str, int] | None = None) -> int:
        return self.store.commit(guards or {}, {k: (v, None) for k, v in writes.items()}, 0.0)

    def _effect(self, node: Node, kind: str, data: Any) -> None:
        if kind == "commit":
            node.txn = self._start(self._commit(node, data))
        elif kind == "return":
            node.returns += data
        elif kind == "retake":
            node.membership.retake = True
        elif kind == "reread":
            rows = [row for row in self._rows(sk.JOB) if row[0] in data]
            node.owner.process_batch([cm.InboxRows(rows)])

    async def _commit(self, node: Node, txn: cm.Txn) -> None:
        try:
            rev = await node.membership.store.commit_with_retry(
                txn.guards, txn.writes, proof=txn.leader_only_key()
            )
            node.owner.process_batch([cm.CommitResult(txn, rev)])
        except Conflict as conflict:
            node.owner.process_batch([cm.CommitResult(txn, None, conflict.failed)])

    def _start(self, work: Coroutine[StoreCall, Any, Any]) -> PendingCall | None:
        try:
            return PendingCall(work, work.send(None))
        except StopIteration:
            return None

    # --- choices -----------------------------------------------------------------------

    def choices(self) -> list[Choice]:
        found: list[Choice] = []
        left = self.left
        for name, node in self.nodes.items():
            for which in ("txn", "lead"):
                call = getattr(node, which)
                if call is None:
                    continue
                if not call.applied:
                    found.append(("apply", name, which))
                else:
                    found.append(("answer", name, which))
                    if call.op.kind == "commit" and left["lose"]:
                        found.append(("lose", name, which))
            if self.store.rev > node.seen:
                found.append(("watch", name))
            if left["word"]:
                if node.owner.cancellations.store_known_until < self.now:
                    found.append(("word", name, ""))  # the store reports no change
                found += [("word", name, other) for other in self.nodes if other != name]
            if self.cancel_model and left["cancel"] and self.store.get(sk.JOB + JOB) is not None:
                found.append(("cancel", name))
            if left["time"]:
                found.append(("time", name))
            if node.lead is None and node.membership._should_take_over():
                found.append(("lead", name))
            if node.lead is None and node.owner.leading and left["hand"]:
                found.append(("hand", name))
            if node.returns:
                found.append(("return", name))
            if node.awaiting_return:
                found.append(("gone", name))
            if left["crash"]:
                found.append(("crash", name))
            if left["hold"] and self.store.get(sk.MEMBER + name) is not None:
                found.append(("hold", name))
        for name in self.down:
            found.append(("boot", name))
        for name, worker in self.workers.items():
            if not worker.alive:
                continue
            sent = self.sent.get(name)
            if sent is None:
                found += [("report", name, node) for node in self.nodes]
            else:
                if not sent.taken:
                    found.append(("take", name))
                if sent.answer is not None:
                    found.append(("told", name))
                if left["late"]:
                    found.append(("late", name))
            if any(a.state == "running" for a in worker.tasks.values()):
                found.append(("finish", name))
            if left["expire"] and worker.tasks:
                found.append(("expire", name))
        if self.late:
            found.append(("arrive",))
        if self.old is not None and left["again"]:
            found.append(("again",))
        if not self.cancel_model and left["cancel"] and self.store.get(sk.JOB + JOB) is not None:
            found.append(("cancel", min(self.nodes, default="")))
        if left["long"]:
            found.append(("long",))
        if left["while"]:
            found.append(("while",))
        return found

    def do(self, choice: Choice) -> None:
        self.path.append(choice)
        if choice[0] in self.left:
            self.left[choice[0]] -= 1
        getattr(self, f"_do_{choice[0]}")(*choice[1:])
        for job, task in list(self.checker.running):
            self.checker._check_cancelled(job, task, self.now)
        if self.checker.violations:
            first = self.checker.violations[0]
            raise RuleBroken(f"{first.rule}: {first.text}", self.path)

    def _do_apply(self, name: str, which: str) -> None:
        call = getattr(self.nodes[name], which)
        kind, args = call.op.kind, call.op.args
        call.applied = True
        if kind == "get":
            row = self.store.get(args[0])
            call.outcome = (copy.deepcopy(row.value), row.rev) if row is not None else (None, 0)
        elif kind == "list":
            call.outcome = (self._rows(args[0]), self.store.rev)
        elif kind == "commit":
            try:
                call.outcome = self._write(cbor2.loads(args[1]), args[0])
                self.old = (args[0], args[1])
                if which == "txn" and self._leader() != name:
                    raise RuleBroken(f"a commit of {name}, which does not lead", self.path)
            except ConditionFailed as failed:
                call.outcome = Conflict(failed.keys)

    def _do_answer(self, name: str, which: str) -> None:
        node = self.nodes[name]
        call = getattr(node, which)
        # Cleared first, since resuming the coroutine may start the next transaction.
        setattr(node, which, None)
        self._resume(node, which, call, call.outcome)

    def _do_lose(self, name: str, which: str) -> None:
        node = self.nodes[name]
        call = getattr(node, which)
        setattr(node, which, None)
        self._resume(node, which, call, UnknownOutcome("no answer"))

    def _resume(self, node: Node, which: str, call: PendingCall, outcome: Any) -> None:
        try:
            if isinstance(outcome, Exception):
                op = call.work.throw(outcome)
            else:
                op = call.work.send(outcome)
        except StopIteration:
            return
        setattr(node, which, PendingCall(call.work, op))

    def _do_watch(self, name: str) -> None:
        node = self.nodes[name]
        events = self.store.events(sk.INBOX, node.seen)
        node.seen = self.store.rev
        node.owner.process_batch([cm.InboxRows(copy.deepcopy(events))])
        node.owner.cancellations.record_store_contact(self.now)

    def _do_word(self, name: str, other: str) -> None:
        """A node receives another's confirmed cancellations; `other` "": the store's changes."""
        if not other:
            self._do_watch(name)
            return
        peer = self.nodes[other]
        cancellations = cm.PeerCancellations(
            other, peer.process, peer.owner.cancellations.recently_confirmed(self.now), self.now
        )
        self.nodes[name].owner.process_batch([cancellations])

    def _do_time(self, name: str) -> None:
        self.now += STEP_S
        self.nodes[name].owner.process_batch([cm.Tick()])

    def _do_long(self) -> None:
        """Advances the clock by more than any lease and timeout."""
        self.now += LIMITS.lease_s + c.SILENT_MARGIN_S + 1.0
        for worker in self.workers.values():
            worker.advance(self.now)

    def _do_while(self) -> None:
        """Advances the clock by less than a lease; a few such steps exceed `cancel_s`."""
        self.now += WHILE_S
        for worker in self.workers.values():
            worker.advance(self.now)

    def _do_lead(self, name: str) -> None:
        node = self.nodes[name]
        node.lead = self._start(node.membership._take_over())

    def _do_hand(self, name: str) -> None:
        node = self.nodes[name]
        node.lead = self._start(
            _ignore_failures(node.membership._hand_over("chosen by the search"))
        )

    def _do_return(self, name: str) -> None:
        """The node checks at the store that it still leads, as before each call to the cloud."""
        node = self.nodes[name]
        machines, node.returns = node.returns, []
        row = self.store.get(sk.VIEW)
        if row is not None and row.rev == node.owner.state.rev and node.owner.leading:
            node.awaiting_return += machines

    def _do_gone(self, name: str) -> None:
        node = self.nodes[name]
        machines, node.awaiting_return = node.awaiting_return, []
        for machine in machines:
            self.workers[machine].terminate(self.now)
            self.sent.pop(machine, None)
        node.owner.process_batch([cm.MachinesReturned(machines)])

    def _do_crash(self, name: str) -> None:
        node = self.nodes.pop(name)
        for call in (node.txn, node.lead):
            if call is not None:
                if not call.applied and call.op.kind == "commit":
                    self.old = (call.op.args[0], call.op.args[1])  # it may still arrive
                call.work.close()
        self.down.append(name)
        for sent in self.sent.values():
            if sent.node == name and sent.taken:
                sent.answer = None

    def _do_boot(self, name: str) -> None:
        self.down.remove(name)
        self._write({sk.MEMBER + name: {"zone": "north"}})
        self.nodes[name] = self._boot(name)

    def _do_hold(self, name: str) -> None:
        """The node's member lease expires, whether the node is alive or not."""
        self._write({sk.MEMBER + name: None})

    def _do_report(self, name: str, node: str) -> None:
        worker = self.workers[name]
        self.sent[name] = ReportInFlight(worker.report(self.now), node, self.now)

    def _do_take(self, name: str) -> None:
        sent = self.sent[name]
        sent.taken = True
        node = self.nodes.get(sent.node)
        if node is None:
            del self.sent[name]  # refused
            return
        if self.cancel_model and not node.owner.cancellations.may_renew(self.now):
            del self.sent[name]  # 503
            return
        if not node.owner.leading:
            # A follower renews the lease and sends stop orders of cancelled jobs.
            inbox = node.owner.inbox
            sent.answer = (inbox.view.epoch, inbox.stops(sent.report))
            return

        def answered(body: Any) -> None:
            if body is not None:
                sent.answer = body
            elif self.sent.get(name) is sent:
                del self.sent[name]

        node.owner.process_batch([cm.ReportReceived(sent.report, Reply(answered), False)])

    def _do_told(self, name: str) -> None:
        worker, sent = self.workers[name], self.sent.pop(name)
        assert sent.answer is not None
        epoch, orders = sent.answer
        if worker.tenure == sent.report.tenure and epoch >= worker.epoch:
            self._judge(name, sent, orders)
            self._orders(worker, orders)
        worker.receive_answer(sent.report.tenure, sent.at, epoch, orders, self.now)

    def _judge(self, name: str, sent: ReportInFlight, orders: list[Order]) -> None:
        if self.cancel_model:
            self.checker.record({
                "kind": "renewed", "at": self.now, "sent": sent.at, "machine": name,
                "live": [(t.job, t.task) for t in sent.report.tasks if t.state != "exited"],
                "orders": [(order.verb, order.job, order.task) for order in orders],
            })  # fmt: skip

    def _orders(self, worker: Worker, orders: list[Order]) -> None:
        for order in orders:
            key = (worker.name, worker.tenure, order.job, order.task, order.number)
            if order.verb == "clear":
                self.cleared.add(key)
                attempt = (worker.name, order.job, order.task, order.number)
                if attempt in stored_attempts(self._rows(sk.SLOT)):
                    raise RuleBroken(f"clear before the commit of its end: {key}", self.path)
            elif order.verb == "run":
                if key in self.cleared:
                    raise RuleBroken(f"run after clear: {key}", self.path)
                before = self.runs.setdefault((order.job, order.task, order.number), worker.name)
                if before != worker.name:
                    raise RuleBroken(f"try reused: {key}, before on {before}", self.path)

    def _do_late(self, name: str) -> None:
        """The worker gives up waiting; the report may still arrive."""
        sent = self.sent.pop(name)
        if not sent.taken:
            self.late.append(sent)

    def _do_arrive(self) -> None:
        sent = self.late.pop(0)
        node = self.nodes.get(sent.node)
        if node is not None:
            node.owner.process_batch(
                [cm.ReportReceived(sent.report, Reply(lambda body: None), False)]
            )

    def _do_again(self) -> None:
        """A duplicate of an earlier transaction arrives."""
        assert self.old is not None
        with contextlib.suppress(ConditionFailed):
            self._write(cbor2.loads(self.old[1]), self.old[0])

    def _do_expire(self, name: str) -> None:
        self.workers[name].expire_lease(self.now)

    def _do_finish(self, name: str) -> None:
        worker = self.workers[name]
        attempt = next(a for a in worker.tasks.values() if a.state == "running")
        attempt.ends = self.now
        worker.advance(self.now)

    def _do_cancel(self, name: str) -> None:
        """The node commits the cancellation and confirms it to the user."""
        row = self.store.get(sk.JOB + JOB)
        assert row is not None
        self._write({sk.JOB + JOB: {**row.value, "cancel": self.now}}, {sk.JOB + JOB: row.rev})
        if name:
            self.nodes[name].owner.cancellations.confirm(JOB, self.now, self.now)
        for kind, more in (("cancel", {}), ("answer", {"to": "cancel", "code": 200,
                                                       "state": "cancelled"})):  # fmt: skip
            self.checker.record({"at": self.now, "kind": kind, "job": JOB, **more})

    def _note(self, kind: str, at: float, worker: Worker, attempt: Attempt) -> None:
        if kind != "running":
            self.checker.record({
                "at": at, "kind": kind, "job": attempt.job, "task": attempt.task,
                "machine": worker.name, "type": "m", "zone": "north", "spot": False,
                "why": attempt.why,
            })  # fmt: skip

    # --- state identity ----------------------------------------------------------------------

    def key(self) -> bytes:
        parts: list[Any] = [round(self.now, 3), sorted(self.left.items()), self.down]
        parts += [(k, row.value, row.rev) for k, row in self.store.list("", "", 10**6)[0]]
        for name, node in sorted(self.nodes.items()):
            state, inbox = node.owner.state, node.owner.inbox
            known = node.owner.cancellations
            parts.append([[word.process, word.first_heard_at, word.at, word.whole]
                          for word in known.peers.values()])  # fmt: skip
            parts.append([known.store_known_until, list(known.known), list(known.confirmed)])
            parts.append([
                name, node.seen, state.leading, state.rev, inbox.view.epoch, inbox.view.leader,
                sorted(inbox.members), state.records.seq, list(state.dirty_machines),
                list(state.dirty_jobs), node.returns, node.awaiting_return, state.pass_due,
                round(node.owner.planning.next_pass, 3), round(node.owner.commits.next_commit, 3),
                [[m.id, m.tenure, m.counter, m.epoch, m.up, m.returning, m.returning_for_silence,
                  sorted(m.uncommitted_ends),
                  [[*p.key, p.committed, p.stopping, p.sent_with_report, p.state]
                   for p in m.placements.values()]] for m in state.machines.values()],
                [[j.id, sorted(j.done), list(j.pending), j.last_attempt_number, j.cancelled]
                 for j in state.jobs.values()],
                [[w, call.op.kind, call.op.args, call.applied, str(call.outcome)]
                 for w in ("txn", "lead") if (call := getattr(node, w)) is not None],
            ])  # fmt: skip
        for name, worker in self.workers.items():
            parts.append([name, worker.alive, worker.tenure, worker.counter, worker.epoch,
                          worker.lease_renewed_at, [[*a.key, a.state, a.ends]
                                              for a in worker.tasks.values()]])  # fmt: skip
        for name, sent in sorted(self.sent.items()):
            parts.append([name, sent.report.counter, sent.node, sent.taken, str(sent.answer)])
        parts += [[sent.report.machine, sent.report.counter, sent.node] for sent in self.late]
        return hashlib.blake2b(repr(parts).encode(), digest_size=12).digest()


async def _ignore_failures(work: Coroutine[Any, Any, None]) -> None:
    """Ignores a failed hand-over: the search may choose it again."""
    with contextlib.suppress(Conflict, UnknownOutcome):
        await work


def _builtins(value: Any) -> Any:
    import msgspec

    return msgspec.to_builtins(value) if isinstance(value, msgspec.Struct) else vars(value)


@contextlib.contextmanager
def stepped() -> Iterator[None]:
    """Removes the pauses between retries: the search decides when a retry happens."""
    import coveflow.membership.leadership as lead

    class AsyncioWithoutPauses:
        """asyncio without pauses."""

        def __getattr__(self, name: str) -> Any:
            import asyncio

            return getattr(asyncio, name)

        @staticmethod
        async def sleep(_: float) -> None:
            return None

    real = client.asyncio, lead.asyncio
    client.asyncio = lead.asyncio = AsyncioWithoutPauses()  # type: ignore[assignment]
    try:
        yield
    finally:
        client.asyncio, lead.asyncio = real
