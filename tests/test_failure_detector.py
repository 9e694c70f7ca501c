"""Failure detection: what raises a suspicion, what must not, and when it is cleared."""

import itertools
import random

from hypothesis import given, settings
from hypothesis import strategies as st

from coveflow import constants as c
from coveflow.core import routing
from coveflow.core.failure_detector import (
    LATE_TIMERS,
    LINK_DOWN,
    NO_STORE,
    NO_WORKERS,
    SILENT_EVERYWHERE,
    AccrualDetector,
    FailureDetector,
    LeaveBackoff,
    NodeStatus,
    SlowLeaderHandover,
    leadership_order,
)

NODES = ("a", "b", "c", "d", "e")


def answer_times(seed: int, seconds: float, jitter: float, lost: float, until=None) -> list[float]:
    """Times at which the pings of one link were answered; none after `until`."""
    rng, at, seen = random.Random(seed), 0.0, []
    while at < seconds:
        at += c.PING_S * rng.uniform(1.0, 1.0 + jitter)
        late = 0.2 if rng.random() < lost else 0.0
        if until is None or at < until:
            seen.append(at + late + rng.uniform(0.001, 0.02))
    return seen


@settings(derandomize=True, max_examples=60, deadline=None)
@given(st.integers(0, 10**6), st.floats(0.0, 0.3), st.floats(0.0, 0.1))
def test_jitter_and_losses_raise_no_suspicion_and_silence_does_in_time(seed, jitter, lost):
    silent_from = 100.0
    seen = answer_times(seed, 110.0, jitter, lost, until=silent_from)
    link = AccrualDetector(c.PING_S, c.SUSPICION_MIN_DEVIATION_S)
    at, suspected_at = 0.0, None
    while at < 110.0 and suspected_at is None:
        at += 0.1
        while seen and seen[0] <= at:
            link.record(seen.pop(0))
        if link.level(at) >= c.SUSPICION_RAISE_LEVEL:
            suspected_at = at
    assert suspected_at is not None and silent_from < suspected_at < silent_from + 1.6


def test_a_longer_ping_interval_raises_no_suspicion():
    """Followers ping each other only every 0.9 s, so a change of leader raises the interval of a
    link. That caused four false suspicions in 40 s while a zone was cut off."""
    link = AccrualDetector(c.PING_S, c.SUSPICION_MIN_DEVIATION_S)
    for i in range(200):
        link.record(i * c.PING_S)
    late = 199 * c.PING_S + c.PING_FOLLOWER_S + 0.25
    assert link.level(late) >= c.SUSPICION_RAISE_LEVEL > link.level(late, c.PING_FOLLOWER_S)


def receive_statuses(detector: FailureDetector, at: float, statuses: dict[str, NodeStatus]) -> None:
    for name, status in statuses.items():
        detector.record_contact(name, at)
        fields = {f: getattr(status, f) for f in status.__struct_fields__}
        detector.record_status(name, fields, at)


def healthy_statuses(at: float, silent: tuple[str, ...] = ()) -> dict[str, NodeStatus]:
    """The status of every node but `a` when all hear each other, except the silent ones."""
    return {
        n: NodeStatus(workers=9, heard={m: 0.1 for m in NODES if m != n and m not in silent})
        for n in NODES[1:]
        if n not in silent
    }


def run_detector(
    statuses, seconds: float = 10.0, start: float = 0.0, detector=None
) -> FailureDetector:
    detector = detector or FailureDetector("a", NODES, c.PING_S, 0.0)
    steps = int(seconds / c.PING_S)
    for i in range(1, steps + 1):
        at = start + i * c.PING_S
        receive_statuses(detector, at, statuses(at))
        detector.update(at)
    return detector


def test_silent_node_and_failed_link_are_told_apart():
    detector = run_detector(healthy_statuses)
    run_detector(lambda at: healthy_statuses(at, silent=("c",)), 3.0, 10.0, detector)
    assert set(detector.suspicions("c")) == {SILENT_EVERYWHERE} and detector.trusted("b")
    other = run_detector(healthy_statuses)
    # The others still hear c; only this node does not.
    run_detector(
        lambda at: {n: w for n, w in healthy_statuses(at).items() if n != "c"}, 3.0, 10.0, other
    )
    assert (
        set(other.suspicions("c")) == {LINK_DOWN}
        and other.suspicions("c")[LINK_DOWN].reporter in NODES
    )


def test_status_of_a_suspected_node_is_no_evidence():
    """A paused process hears nobody; its outdated status must not incriminate others."""
    detector = run_detector(healthy_statuses)

    def with_late_timers(at):
        statuses = healthy_statuses(at)
        statuses["e"] = NodeStatus(pace_s=9.0, heard={n: 30.0 for n in NODES if n != "e"})
        return statuses

    run_detector(with_late_timers, 5.0, 10.0, detector)
    assert set(detector.suspicions("e")) == {LATE_TIMERS}
    assert all(detector.trusted(n) for n in "bcd")

    # When c falls silent, the claim of the suspected node that it still hears c is ignored.
    def without_c(at):
        statuses = {n: w for n, w in with_late_timers(at).items() if n != "c"}
        for n in "bd":
            statuses[n].heard = {m: 9.0 for m in NODES}
        statuses["e"].heard["c"] = 0.0
        return statuses

    run_detector(without_c, 3.0, 15.0, detector)
    assert SILENT_EVERYWHERE in detector.suspicions("c")


def test_reported_problems_clear_after_a_growing_delay():
    detector = run_detector(healthy_statuses)
    durations = []
    at = 10.0
    for _ in range(4):
        run_detector(
            lambda t: healthy_statuses(t) | {"b": NodeStatus(store_s=9.0, cut=True)},
            1.0,
            at,
            detector,
        )
        assert set(detector.suspicions("b")) == {NO_STORE, NO_WORKERS}
        at += 1.0
        began = at
        while detector.suspicions("b"):
            run_detector(healthy_statuses, c.PING_S, at, detector)
            at += c.PING_S
        durations.append(at - began)
    assert durations == sorted(durations) and durations[-1] >= 4 * durations[0]


def test_invalid_status_is_ignored():
    detector = run_detector(healthy_statuses)
    for status in ({"pace_s": "late"}, {"heard": 3}, {"unknown": 1}, {}):
        detector.record_status("b", status, 20.0 + len(status))
    detector.record_status("nobody", {"pace_s": 1.0}, 21.0)
    assert detector.update(21.0) is not None


def test_the_next_leader_is_reachable_and_healthy():
    detector = run_detector(
        lambda at: (
            healthy_statuses(at)
            | {"b": NodeStatus(cut=True), "c": NodeStatus(pace_s=3.0, workers=9)}
        )
    )
    order = leadership_order("a", NodeStatus(workers=1), NODES, detector, 10.0)
    assert order[:2] == ["d", "e"]  # most workers reach them
    assert order.index("a") == 2 and set(order[3:]) == {"b", "c"}


@settings(derandomize=True, max_examples=80, deadline=None)
@given(st.lists(st.tuples(st.floats(0.05, 3.0), st.booleans()), min_size=20, max_size=200))
def test_a_node_with_flapping_links_leaves_ever_more_rarely(steps):
    backoff, at, left, was_out = LeaveBackoff(), 0.0, [], False
    for wait, cut in steps:
        at += wait
        out = backoff.update(at, cut)
        if out and not was_out:
            left.append(at)
        was_out = out
    gaps = [b - a for a, b in itertools.pairwise(left)]
    # Out for at least the delay, doubled each time, so only a few exits a minute.
    assert all(gap >= c.LEAVE_BACKOFF_S * 2.0 ** min(i, 4) for i, gap in enumerate(gaps))


def test_two_slow_nodes_do_not_pass_the_lead_back_and_forth():
    """Each is ten times slower than the other by turns; handovers must become ever rarer."""
    handovers = []
    nodes = [SlowLeaderHandover(), SlowLeaderHandover()]
    for step in range(6000):
        at = step * 0.1
        turn = int(at / 5) % 2
        if nodes[turn].should_hand_over(at, 5.0, 0.01):
            handovers.append(at)
        nodes[1 - turn].should_hand_over(at, 0.01, 5.0)
    assert handovers and len(handovers) <= 14  # 120 turns in these 600 s
    handover = SlowLeaderHandover()
    # All nodes are slow, so a handover would not help.
    assert not any(handover.should_hand_over(i * 0.1, 5.0, 1.0) for i in range(600))


@settings(derandomize=True, max_examples=40, deadline=None)
@given(st.integers(2, 7), st.integers(0, 6))
def test_only_the_machines_of_a_removed_node_move(count, removed):
    nodes = {f"host-{i}": "north" if i % 2 else "south" for i in range(count)}
    left = {n: z for n, z in nodes.items() if n != f"host-{removed}"}
    machines = [(f"n-{i:06d}", "north" if i % 3 else "south") for i in range(300)]
    for name, zone in machines:
        before, now = routing.home(name, zone, nodes), routing.home(name, zone, left)
        assert before == now or before == f"host-{removed}" or zone not in left.values()
        assert nodes[before] == zone or zone not in nodes.values()


def test_nodes_before_a_lost_node_take_workers_last():
    """Workers that fail over from such a node try the lost one next: 5 s each of a 10 s lease.

    A node was down for 90 s, the process of the one before it was paused, and 52 machines lost 472
    attempts.
    """
    nodes = {f"host-{i}": "north" if i % 2 else "south" for i in range(5)}
    lost = routing.exposed(nodes, ["host-2", "host-0"])
    assert lost == {"host-1", "host-4"}
    left = {name: zone for name, zone in nodes.items() if name not in ("host-2", "host-0")}
    machines = [f"n-{i:06d}" for i in range(50)]
    assert {routing.home(name, "north", left, lost) for name in machines} == {"host-3"}
    # host-4 is the only node left in its zone.
    assert {routing.home(name, "south", left, lost) for name in machines} == {"host-4"}
