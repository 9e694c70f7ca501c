"""Bugs planted on purpose in the daemon's own code: the model check has to find each of them."""

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
from coveflow.lab import choices as mc
from coveflow.state import keys as sk

SILENT_S = 3.0  # s after which a hasty leader believes that a machine is gone


@contextlib.contextmanager
def _patched(owner: Any, name: str, new: Any) -> Iterator[None]:
    old = getattr(owner, name)
    setattr(owner, name, new)
    try:
        yield
    finally:
        setattr(owner, name, old)


def dropped_guard() -> contextlib.AbstractContextManager[None]:
    """Commits do not compare the view, nor the slots they overwrite."""
    honest = mc.Calls.commit

    async def commit(self: Any, guards: Any, writes: Any, grant: int | None = None) -> Any:
        kept = {k: r for k, r in guards.items() if k != sk.VIEW and not k.startswith(sk.SLOT)}
        return await honest(self, kept, writes, grant)

    return _patched(mc.Calls, "commit", commit)


def reused_try() -> contextlib.AbstractContextManager[None]:
    """The number of an attempt that ended is given out again."""
    honest = LeaderState.end

    def end(self: LeaderState, p: Any, done: bool, why: str, saved: bool = False) -> None:
        job = self.jobs[p.job]
        floor = job.last_attempt_number
        honest(self, p, done, why, saved)
        job.last_attempt_number = floor

    return _patched(LeaderState, "end", end)


@contextlib.contextmanager
def clear_before_commit() -> Iterator[None]:
    """An end is cleared on the machine before the records know of it."""
    honest = ReportAnswers.orders

    def orders(self: ReportAnswers, m: Any, report: Any, peek: bool = False) -> Any:
        held, m.uncommitted_ends = m.uncommitted_ends, set()
        try:
            return honest(self, m, report, peek)
        finally:
            m.uncommitted_ends = held

    def at_once(self: ReportAnswers, m: Any, report: Any, reply: Any, *_: Any) -> None:
        self.answer(m, PendingAnswer(report, reply, 0.0, False))

    with (
        _patched(ReportAnswers, "orders", orders),
        _patched(ReportAnswers, "answer_or_hold", at_once),
    ):
        yield


def stale_view_accepted() -> contextlib.AbstractContextManager[None]:
    """A deposed leader takes the newer view's revision for its own and goes on."""

    def rows(self: o.Owner, command: Any) -> None:
        self.inbox.apply(command)
        if self.leading:
            self.state.rev = self.inbox.view.rev

    return _patched(o.Owner, "_inbox_rows", rows)


def doubt_as_verdict() -> contextlib.AbstractContextManager[None]:
    """What was on a machine that is silent for a while is taken for gone."""

    def silent(self: MachineManager, now: float) -> list[str]:
        for m in self.state.machines.values():
            if m.placements and now - m.last_report_at >= SILENT_S:
                self.state.end_all_attempts(m, "it is silent")
        return []

    return _patched(MachineManager, "_silent", silent)


@contextlib.contextmanager
def two_leaders() -> Iterator[None]:
    """A leader that was deposed does not stop, and answers with the newest epoch it knows."""
    honest = mc.Model._boot

    def boot(self: mc.Model, name: str) -> Any:
        node = honest(self, name)
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


def hold_as_life() -> contextlib.AbstractContextManager[None]:
    """A new leader takes the old one's end for the end of all that it had started."""
    honest = o.restore

    def restore(state: LeaderState, inbox: Any, rows: Any, now: float) -> int:
        rev = honest(state, inbox, rows, now)
        for m in list(state.machines.values()):
            state.end_all_attempts(m, "its leader is gone")
        return rev

    return _patched(o, "restore", restore)


def usage_freed_early() -> contextlib.AbstractContextManager[None]:
    """What is on a silent machine does not count against its team's limit."""

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
def store_word_alone() -> Iterator[None]:
    """Leases go by what peers tell of cancellations, and stops by what the store does."""
    with (
        _patched(Inbox, "stops", lambda self, report: []),
        _patched(Inbox, "cancelled", lambda self, job: False),
        _patched(Inbox, "apply_peer_cancellations", lambda self, jobs: None),
    ):
        yield


def confirmed_and_not_told() -> contextlib.AbstractContextManager[None]:
    """Whoever tells a user of a cancellation tells its peers nothing of it."""
    return _patched(Cancellations, "confirm", lambda self, job, cancelled, now: None)


def any_process_trusted() -> contextlib.AbstractContextManager[None]:
    """A peer's word counts from the first on, whatever an earlier process of it confirmed."""
    honest = Cancellations.record_peer_list

    def told(self: Cancellations, name: str, *more: Any) -> Any:
        news = honest(self, name, *more)
        self.peers[name].whole = True
        return news

    return _patched(Cancellations, "record_peer_list", told)


def lease_forgotten() -> contextlib.AbstractContextManager[None]:
    """Leases are renewed until cancel_s itself, as if they ended with the answer."""
    honest = Cancellations.__init__

    def init(self: Cancellations, members: Any, cancel_s: float, lease_s: float) -> None:
        honest(self, members, cancel_s, 0.0)

    return _patched(Cancellations, "__init__", init)


PLANTED: dict[str, Callable[[], contextlib.AbstractContextManager[None]]] = {
    "dropped guard": dropped_guard,
    "reused try": reused_try,
    "clear before commit": clear_before_commit,
    "stale view accepted": stale_view_accepted,
    "doubt used as verdict": doubt_as_verdict,
    "two leaders answering run": two_leaders,
    "hold mistaken for life": hold_as_life,
    "usage freed early": usage_freed_early,
}
# About cancellations: found on paths that begin with one.
PLANTED_CANCELLED: dict[str, Callable[[], contextlib.AbstractContextManager[None]]] = {
    "stops by the store's word alone": store_word_alone,
    "confirmed and not told to peers": confirmed_and_not_told,
    "any process of a peer trusted": any_process_trusted,
    "lease left out of the limit": lease_forgotten,
}
