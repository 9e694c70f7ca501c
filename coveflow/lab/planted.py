"""Bugs planted in the daemon's own code; the model check must find each of them."""

from __future__ import annotations

import contextlib
from collections.abc import Callable, Iterator
from typing import Any

from coveflow.core.cancellations import Cancellations
from coveflow.daemon import owner as o
from coveflow.daemon.commands import PendingAnswer
from coveflow.daemon.inbox import Inbox
from coveflow.daemon.leader_state import LeaderState
from coveflow.daemon.machine_manager import MachineManager
from coveflow.daemon.report_answers import ReportAnswers
from coveflow.lab import stepwise_model as mc
from coveflow.state import keys as sk

SILENT_S = 3.0  # s of silence after which the buggy leader considers a machine gone


@contextlib.contextmanager
def _patched(owner: Any, name: str, new: Any) -> Iterator[None]:
    old = getattr(owner, name)
    setattr(owner, name, new)
    try:
        yield
    finally:
        setattr(owner, name, old)


def missing_guards() -> contextlib.AbstractContextManager[None]:
    """Commits without guards on the view and on the slots they overwrite."""
    real = mc.SteppedStore.commit

    async def commit(self: Any, guards: Any, writes: Any, grant: int | None = None) -> Any:
        kept = {k: r for k, r in guards.items() if k != sk.VIEW and not k.startswith(sk.SLOT)}
        return await real(self, kept, writes, grant)

    return _patched(mc.SteppedStore, "commit", commit)


def reused_attempt_number() -> contextlib.AbstractContextManager[None]:
    """Reuses the number of an ended attempt."""
    real = LeaderState.end

    def end(self: LeaderState, p: Any, done: bool, why: str, saved: bool = False) -> None:
        job = self.jobs[p.job]
        last_number = job.last_attempt_number
        real(self, p, done, why, saved)
        job.last_attempt_number = last_number

    return _patched(LeaderState, "end", end)


@contextlib.contextmanager
def clear_before_commit() -> Iterator[None]:
    """Clears an ended attempt on the machine before its end is committed."""
    real = ReportAnswers.orders

    def orders(self: ReportAnswers, m: Any, report: Any, peek: bool = False) -> Any:
        uncommitted, m.uncommitted_ends = m.uncommitted_ends, set()
        try:
            return real(self, m, report, peek)
        finally:
            m.uncommitted_ends = uncommitted

    def answer_at_once(self: ReportAnswers, m: Any, report: Any, reply: Any, *_: Any) -> None:
        self.answer(m, PendingAnswer(report, reply, 0.0, False))

    with (
        _patched(ReportAnswers, "orders", orders),
        _patched(ReportAnswers, "answer_or_hold", answer_at_once),
    ):
        yield


def stale_view_accepted() -> contextlib.AbstractContextManager[None]:
    """A deposed leader adopts the newer view's revision as its own and continues."""

    def rows(self: o.Owner, command: Any) -> None:
        self.inbox.apply(command)
        if self.leading:
            self.state.rev = self.inbox.view.rev

    return _patched(o.Owner, "_inbox_rows", rows)


def silence_as_loss() -> contextlib.AbstractContextManager[None]:
    """Ends all attempts on a machine that is silent for a short time."""

    def silent(self: MachineManager, now: float) -> list[str]:
        for m in self.state.machines.values():
            if m.placements and now - m.last_report_at >= SILENT_S:
                self.state.end_all_attempts(m, "it is silent")
        return []

    return _patched(MachineManager, "_silent", silent)


@contextlib.contextmanager
def two_leaders() -> Iterator[None]:
    """A deposed leader does not step down, and answers with the newest epoch it knows."""
    real = mc.Model._boot

    def boot(self: mc.Model, name: str) -> Any:
        node = real(self, name)
        inbox = node.owner.inbox
        node.owner.context.encode_answer = lambda epoch, orders: (
            max(epoch, inbox.view.epoch),
            orders,
        )
        return node

    with (
        _patched(o.Owner, "step_down", lambda self, why: None),
        _patched(mc.Model, "_boot", boot),
    ):
        yield


def attempts_end_with_leader() -> contextlib.AbstractContextManager[None]:
    """A new leader ends all attempts that its predecessor had started."""
    real = o.restore

    def restore(state: LeaderState, inbox: Any, rows: Any, now: float) -> int:
        rev = real(state, inbox, rows, now)
        for m in list(state.machines.values()):
            state.end_all_attempts(m, "its leader is gone")
        return rev

    return _patched(o, "restore", restore)


def usage_excludes_silent() -> contextlib.AbstractContextManager[None]:
    """Attempts on a silent machine do not count against their team's limit."""

    def usage(self: LeaderState) -> dict[str, tuple[float, float]]:
        used: dict[str, tuple[float, float]] = {}
        now = self.context.clock()
        for m in self.machines.values():
            if now - m.last_report_at >= SILENT_S:
                continue
            for p in m.placements.values():
                spec = self.jobs[p.job].spec
                cpus, acc = used.get(spec.team, (0.0, 0.0))
                used[spec.team] = (cpus + spec.cpus, acc + spec.accelerators)
        return used

    return _patched(LeaderState, "usage", usage)


@contextlib.contextmanager
def stops_ignore_peers() -> Iterator[None]:
    """Stop orders ignore cancellations that are known from peers; lease renewals rely on them."""
    with (
        _patched(Inbox, "stops", lambda self, report: []),
        _patched(Inbox, "cancelled", lambda self, job: False),
        _patched(Inbox, "apply_peer_cancellations", lambda self, jobs: None),
    ):
        yield


def confirmation_not_shared() -> contextlib.AbstractContextManager[None]:
    """A node that confirms a cancellation to a user does not report it to its peers."""
    return _patched(Cancellations, "confirm", lambda self, job, cancelled, now: None)


def new_process_trusted() -> contextlib.AbstractContextManager[None]:
    """A peer's first list counts as complete, whatever an earlier process of it confirmed."""
    real = Cancellations.record_peer_list

    def record(self: Cancellations, name: str, *more: Any) -> Any:
        news = real(self, name, *more)
        self.peers[name].whole = True
        return news

    return _patched(Cancellations, "record_peer_list", record)


def lease_ignored() -> contextlib.AbstractContextManager[None]:
    """Renews leases until `cancel_s` itself, as if they ended with the answer."""
    real = Cancellations.__init__

    def init(self: Cancellations, members: Any, cancel_s: float, lease_s: float) -> None:
        real(self, members, cancel_s, 0.0)

    return _patched(Cancellations, "__init__", init)


PLANTED: dict[str, Callable[[], contextlib.AbstractContextManager[None]]] = {
    "dropped guard": missing_guards,
    "reused try": reused_attempt_number,
    "clear before commit": clear_before_commit,
    "stale view accepted": stale_view_accepted,
    "doubt used as verdict": silence_as_loss,
    "two leaders answering run": two_leaders,
    "hold mistaken for life": attempts_end_with_leader,
    "usage freed early": usage_excludes_silent,
}
# Bugs in the handling of cancellations, found on paths that begin with one.
PLANTED_CANCELLED: dict[str, Callable[[], contextlib.AbstractContextManager[None]]] = {
    "stops by the store's word alone": stops_ignore_peers,
    "confirmed and not told to peers": confirmation_not_shared,
    "any process of a peer trusted": new_process_trusted,
    "lease left out of the limit": lease_ignored,
}
