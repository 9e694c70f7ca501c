"""Failure detection between nodes, from heartbeat intervals and the status that nodes report.

The module does no I/O and reads no clock: the caller passes the time. A suspicion is only a hint.
It influences which node is pinged, which nodes workers are sent to and which node should lead next;
a binding decision is always a conditional write on the membership view.

Silence is rated by an accrual detector (Hayashibara et al., "The phi accrual failure detector",
2004): the level is -log10 of the probability that a regular interval is at least this long, under a
normal distribution of the recent intervals on the same link.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable, Iterable, Mapping
from typing import Any

import msgspec

from coveflow import constants as c

# Reasons to suspect a node.
SILENT_EVERYWHERE = "silent"  # not heard here, nor by any trusted third node
LINK_DOWN = "link"  # not heard here, but a third node hears it
NO_STORE = "store"  # reports that the store does not answer it
NO_WORKERS = "workers"  # reports that no worker reaches it, though some should
LATE_TIMERS = "pace"  # reports that its timers fire late
RESTARTS = "ends"  # its process keeps restarting


class AccrualDetector:
    """Heartbeat intervals of one link, and how unusual the current silence is.

    `expected_s` is the first entry of the window, as a prior for the mean. `floor_s` is the minimum
    standard deviation, so that one lost packet on a steady link raises no suspicion.
    """

    __slots__ = ("_sum", "_sum2", "floor_s", "intervals", "last_seen")

    def __init__(self, expected_s: float, floor_s: float, window: int = c.SUSPICION_WINDOW) -> None:
        self.floor_s = floor_s
        self.last_seen: float | None = None
        self.intervals: deque[float] = deque([expected_s], maxlen=window)
        self._sum, self._sum2 = expected_s, expected_s * expected_s

    def record(self, at: float, count_interval: bool = True) -> None:
        """Record a heartbeat; with `count_interval` false its interval is left out of the window.

        Intervals that contain a failure are left out, as they are not regular.
        """
        last = self.last_seen
        if last is not None and at <= last:
            return
        self.last_seen = at
        if last is None or not count_interval:
            return
        interval, rows = at - last, self.intervals
        if len(rows) == rows.maxlen:
            old = rows[0]
            self._sum -= old
            self._sum2 -= old * old
        rows.append(interval)
        self._sum += interval
        self._sum2 += interval * interval

    def level(self, now: float, min_interval_s: float = 0.0) -> float:
        """The suspicion level, up to `SUSPICION_MAX_LEVEL`; 0 before the first heartbeat.

        `min_interval_s` is the current heartbeat interval of the link; the mean is taken to be at
        least that. Otherwise a link whose interval is raised is suspected until the window has been
        refilled.
        """
        if self.last_seen is None:
            return 0.0
        n = len(self.intervals)
        mean = self._sum / n
        deviation = max(self.floor_s, math.sqrt(max(0.0, self._sum2 / n - mean * mean)))
        mean = max(mean, min_interval_s)
        chance = 0.5 * math.erfc((now - self.last_seen - mean) / deviation / math.sqrt(2.0))
        return (
            c.SUSPICION_MAX_LEVEL if chance < 10.0**-c.SUSPICION_MAX_LEVEL else -math.log10(chance)
        )


class NodeStatus(msgspec.Struct):
    """What a node reports about itself in its pings; all optional, as older builds omit them."""

    pace_s: float = 0.0  # delay with which its timers fire
    store_s: float = 0.0  # age of its latest contact with the store
    workers: int = 0  # machines whose reports it took recently
    cut: bool = False  # no worker reaches it, though some should
    heard: dict[str, float] = {}  # age of the latest contact with each other node
    compute_s: float = 0.0  # recent minimum time of a reference computation; 0: unknown

    def in_range(self) -> bool:
        """Whether all values are valid.

        A negative worker count raises in `leadership_order`, which ended the node's timer task.
        """
        numbers = [self.pace_s, self.store_s, *self.heard.values()]
        return self.workers >= 0 and all(map(math.isfinite, numbers))


class Suspicion(msgspec.Struct):
    """One reason to suspect a node, since when and on whose evidence (s of the caller's clock)."""

    reason: str
    since: float
    reporter: str
    clear_since: float | None = None  # when the reason ceased; clearing is delayed


class NodeState(msgspec.Struct, eq=False):
    """The state kept about one other node."""

    detector: AccrualDetector
    status: NodeStatus = msgspec.field(default_factory=NodeStatus)
    status_at: float = -math.inf
    process: str = ""  # id of the process that was last heard
    restarts: float = 0.0  # count of its process ends, decaying over time
    restarted_at: float = -math.inf  # when the latest of them was noticed
    suspicions: dict[str, Suspicion] = {}
    recurrences: dict[str, float] = {}  # occurrences of each reason, decaying over time
    recurred_at: dict[str, float] = {}  # when an occurrence was last counted

    @property
    def silent(self) -> bool:
        """Whether it is suspected because it is not heard here."""
        return SILENT_EVERYWHERE in self.suspicions or LINK_DOWN in self.suspicions


class FailureDetector:
    """The suspicions that one node has about the others.

    Memory is bounded by the window of intervals per node and a few counters.
    """

    def __init__(self, me: str, others: Iterable[str], ping_s: float, began: float) -> None:
        self.me, self.started_at = me, began
        self.ping_s = ping_s
        # The current ping interval per node.
        self.ping_interval_s: Callable[[str], float] = lambda name: ping_s
        self.nodes = {
            name: NodeState(AccrualDetector(ping_s, c.SUSPICION_MIN_DEVIATION_S))
            for name in others
            if name != me
        }

    # --- evidence ----------------------------------------------------------------------

    def record_contact(self, name: str, at: float) -> None:
        """Record an answered ping, or any other message from the node."""
        node = self.nodes.get(name)
        if node is not None:
            node.detector.record(at, count_interval=not node.silent)

    def record_process(self, name: str, process: str, at: float) -> None:
        """Record the id of the node's process; a changed id shows that the former process ended."""
        node = self.nodes.get(name)
        if node is None or node.process == process:
            return
        if node.process:
            decay = (at - node.restarted_at) / c.SUSPICION_FORGET_S
            node.restarts = max(0.0, node.restarts - decay) + 1.0
            node.restarted_at = at
        node.process = process

    def record_status(self, name: str, status: Mapping[str, Any], at: float) -> None:
        """Record what the node reports about itself; an invalid status is ignored."""
        node = self.nodes.get(name)
        if node is None or at <= node.status_at:
            return
        try:
            read = msgspec.convert(status, NodeStatus, strict=False)
        except (msgspec.ValidationError, TypeError, OverflowError):
            return
        if read.in_range():
            node.status, node.status_at = read, at

    # --- evaluation --------------------------------------------------------------------

    def update(self, now: float) -> list[tuple[str, Suspicion, bool]]:
        """Raise and clear suspicions; returns the changes as (node, suspicion, whether raised)."""
        changes: list[tuple[str, Suspicion, bool]] = []
        levels = {
            name: s.detector.level(now, self.ping_interval_s(name))
            for name, s in self.nodes.items()
        }
        for name, node in self.nodes.items():
            reasons = self._current_reasons(name, node, levels, now)
            for reason, by in reasons.items():
                suspicion = node.suspicions.get(reason)
                if suspicion is None:
                    suspicion = node.suspicions[reason] = Suspicion(reason, now, by)
                    self._count_recurrence(node, reason, now)
                    changes.append((name, suspicion, True))
                suspicion.clear_since = None
            for reason, suspicion in list(node.suspicions.items()):
                if reason in reasons:
                    continue
                if suspicion.clear_since is None:
                    suspicion.clear_since = now
                if now - suspicion.clear_since >= self._clear_delay_s(node, reason):
                    del node.suspicions[reason]
                    changes.append((name, suspicion, False))
        return changes

    def _current_reasons(
        self, name: str, node: NodeState, levels: dict[str, float], now: float
    ) -> dict[str, str]:
        reasons: dict[str, str] = {}
        if levels[name] >= (c.SUSPICION_CLEAR_LEVEL if node.silent else c.SUSPICION_RAISE_LEVEL):
            third = self._heard_by_third_node(name, levels, now)
            reasons[LINK_DOWN if third else SILENT_EVERYWHERE] = third or self.me
            return reasons  # its earlier status is out of date
        if (
            node.restarts > c.SUSPICION_MAX_ENDS
            and now - node.restarted_at < c.SUSPICION_CLEAR_S * node.restarts
        ):
            reasons[RESTARTS] = self.me
        if now - node.status_at < c.NODE_STATUS_VALID_S:
            status, age = node.status, now - node.status_at
            if status.store_s + age > c.SUSPICION_STORE_S:
                reasons[NO_STORE] = name
            if status.cut:
                reasons[NO_WORKERS] = name
            if status.pace_s > c.SUSPICION_TIMER_LATE_S:
                reasons[LATE_TIMERS] = name
        return reasons

    def _heard_by_third_node(self, name: str, levels: dict[str, float], now: float) -> str:
        """A third node, not suspected itself, that heard the node more recently than this one."""
        silence = now - (self.nodes[name].detector.last_seen or now)
        for third, node in self.nodes.items():
            if (
                third == name
                or levels[third] >= c.SUSPICION_RAISE_LEVEL
                or LATE_TIMERS in node.suspicions
            ):
                continue  # the status of a suspected node is not evidence
            age = node.status.heard.get(name)
            if age is not None and age + now - node.status_at < silence - self.ping_s:
                return third
        return ""

    def _count_recurrence(self, node: NodeState, reason: str, now: float) -> None:
        decay = (now - node.recurred_at.get(reason, now)) / c.SUSPICION_FORGET_S
        node.recurrences[reason] = max(0.0, node.recurrences.get(reason, 0.0) - decay) + 1.0
        node.recurred_at[reason] = now

    def _clear_delay_s(self, node: NodeState, reason: str) -> float:
        """s without the reason before the suspicion is cleared: doubles with each recurrence."""
        return min(
            c.SUSPICION_CLEAR_S * 2.0 ** (node.recurrences.get(reason, 1.0) - 1.0),
            c.SUSPICION_CLEAR_MAX_S,
        )

    # --- queries -----------------------------------------------------------------------

    def suspicions(self, name: str) -> dict[str, Suspicion]:
        node = self.nodes.get(name)
        return node.suspicions if node is not None else {}

    def reachable(self, name: str) -> bool:
        """Whether the node was heard and is not suspected of silence; False if never heard."""
        node = self.nodes.get(name)
        return node is not None and node.detector.last_seen is not None and not node.silent

    def trusted(self, name: str) -> bool:
        return self.reachable(name) and not self.suspicions(name)

    def silent_since(self, name: str) -> float | None:
        """When the node became suspected of silence; None if it is not.

        A node that was never heard counts as silent since this process started.
        """
        if name == self.me:
            return None
        node = self.nodes.get(name)
        if node is None or node.detector.last_seen is None:
            return self.started_at
        found = [
            d.since
            for reason, d in self.suspicions(name).items()
            if reason in (SILENT_EVERYWHERE, LINK_DOWN)
        ]
        return min(found, default=None)

    def contact_ages(self, now: float) -> dict[str, float]:
        """Age of the latest contact with each node, for this node's own status."""
        return {
            name: now - s.detector.last_seen
            for name, s in self.nodes.items()
            if s.detector.last_seen is not None
        }

    def isolated(self, now: float) -> bool:
        """Whether no other node is heard any more, though some were."""
        heard = [name for name, s in self.nodes.items() if s.detector.last_seen is not None]
        return bool(heard) and not any(self.reachable(name) for name in heard)

    def status_of(self, name: str, now: float) -> NodeStatus | None:
        """The latest status of the node, unless it is out of date."""
        node = self.nodes.get(name)
        if node is None or now - node.status_at > c.NODE_STATUS_VALID_S:
            return None
        return node.status


def leadership_order(
    me: str, own_status: NodeStatus, members: Iterable[str], detector: FailureDetector, now: float
) -> list[str]:
    """Members in the order in which they should try to become leader: by health, then by name.

    Each node orders by its local knowledge. If two nodes disagree, both may try at the same time,
    and the conditional write on the view lets only one succeed.
    """

    def rank(name: str) -> tuple[int, int, int, str]:
        status = own_status if name == me else detector.status_of(name, now)
        if status is None:
            return (3, 0, 0, name)
        restarts = RESTARTS in detector.suspicions(name)
        problems = (
            status.cut
            + restarts
            + (status.store_s > c.SUSPICION_STORE_S)
            + (status.pace_s > c.SUSPICION_TIMER_LATE_S)
        )
        unreachable = name != me and not detector.reachable(name)
        # Worker counts differ little while reports are evenly spread, so only powers of two count.
        return (
            2 if unreachable else min(problems, 1),
            problems,
            -int(math.log2(status.workers + 1)),
            name,
        )

    return sorted(members, key=rank)


class LeaveBackoff:
    """Whether an isolated node stays out of the membership view, with exponential backoff.

    Without the backoff, a node cut off from everything but the store left the view, took a new
    lease and left again 42 times in 50 s, and each time the membership changed for all nodes.
    """

    def __init__(self) -> None:
        self.out = False
        self.recent_exits = 0
        self.clear_since: float | None = None
        self.rejoined_at = -math.inf

    def update(self, now: float, cut: bool) -> bool:
        """Whether to be out of the view; `cut`: whether the node is isolated now."""
        if self.out:
            if cut:
                self.clear_since = None
            elif self.clear_since is None:
                self.clear_since = now
            elif now - self.clear_since >= self._clear_delay_s():
                self.out, self.rejoined_at = False, now
        elif cut:
            self.out, self.clear_since = True, None
            self.recent_exits = (
                self.recent_exits + 1 if now - self.rejoined_at < c.SUSPICION_FORGET_S else 1
            )
        return self.out

    def _clear_delay_s(self) -> float:
        return min(c.LEAVE_BACKOFF_S * 2.0 ** (self.recent_exits - 1), c.LEAVE_BACKOFF_MAX_S)


class SlowLeaderHandover:
    """When a slow leader hands over to another node.

    A single pause does not suffice, and backoff keeps two nodes from passing the lead back and
    forth.
    """

    def __init__(self) -> None:
        self.slow_since: float | None = None
        self.handed_over_at = -math.inf
        self.recent_handovers = 0

    def should_hand_over(
        self, now: float, pace_s: float, best_peer_s: float | None, overloaded: bool = False
    ) -> bool:
        """Whether to hand over now.

        `pace_s` is the delay of this node's timers and `best_peer_s` the smallest delay among the
        other nodes (None: unknown). A leader that is late because of its own load does not hand
        over: its successor would have the same load and a cold in-memory state. With 4,800
        machines the leader changed every five seconds.
        """
        slower = (
            pace_s > c.SUSPICION_TIMER_LATE_S
            and best_peer_s is not None
            and best_peer_s * c.SLOW_LEADER_FACTOR < pace_s
        )
        slow = slower and not overloaded
        if not slow:
            self.slow_since = None
            return False
        if self.slow_since is None:
            self.slow_since = now
        min_gap_s = c.SLOW_LEADER_BACKOFF_S * 2.0 ** min(self.recent_handovers, 5)
        if now - self.slow_since < c.SLOW_LEADER_S or now - self.handed_over_at < min_gap_s:
            return False
        self.recent_handovers = (
            self.recent_handovers + 1 if now - self.handed_over_at < 2 * min_gap_s else 0
        )
        self.slow_since, self.handed_over_at = None, now
        return True
