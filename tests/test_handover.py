"""Hand-over and take-over: whole controllers under faults in virtual time.

Each case bounds the time without a start, and checks that no attempt is lost and that leadership
does not move back and forth.
"""

import pytest

from coveflow.lab.virtual import STATE
from tests.whole import FAULT_S, ZONES, controller, finish, gap, lost, play, workers

__all__ = ["play"]  # a fixture


def frozen(world, leader):
    world.freeze(leader, 20.0)


def crashed(world, leader):
    world.crash(leader, 8.0)


def no_workers(world, leader):
    world.cut(20.0, lambda a, b: a.name == leader and workers(b))


def no_state(world, leader):
    world.cut(20.0, lambda a, b: a.name == leader and b.name == STATE)


def no_peers(world, leader):
    world.cut(20.0, lambda a, b: a.name == leader and controller(b), "refuse")


def only_state(world, leader):
    world.cut(20.0, lambda a, b: a.name == leader and b.name != STATE)


def one_way(world, leader):
    """One-way partition: what the leader sends to workers and peers is delayed."""
    world.cut(20.0, lambda a, b: a.name == leader and b.name != STATE, one_way=True)


def peers_refuse_each_other(world, leader):
    world.cut(20.0, lambda a, b: controller(a) and controller(b), "refuse")


def zones_apart(world, leader):
    world.cut(20.0, lambda a, b: bool(a.zone and b.zone) and a.zone != b.zone)


def very_late_store(world, leader):
    world.slow_store[leader] = 0.6


def late_store(world, leader):
    world.slow_store[leader] = 0.25


def crash_with_frozen_successor(world, leader):
    world.crash(leader, 8.0)
    succession_order = world.node(leader).succession_order()
    world.freeze(next(name for name in succession_order if name != leader), 8.0)


# Fault, longest time without a start (s), and whether another node should lead at the end of it
# (None: either).
# The lease of a frozen or crashed leader lasts 1.6 s; a start needs a report after that.
CASES = [
    (frozen, 2.5, True),
    (crashed, 2.5, True),
    (no_workers, 2.5, False),
    (no_state, 2.5, True),
    (no_peers, 2.5, None),  # it hands over only if a single worker reports to it
    (only_state, 3.0, True),
    (one_way, 4.0, True),
    (peers_refuse_each_other, 3.0, False),
    (zones_apart, 2.5, False),
    (late_store, 2.5, False),
    (very_late_store, 4.0, False),
    (crash_with_frozen_successor, 4.0, True),
]


@pytest.mark.parametrize("fault, max_gap_s, moves", CASES, ids=[case[0].__name__ for case in CASES])
def test_work_continues_and_nothing_runs_twice(play, fault, max_gap_s, moves):
    world, lines = play()
    leader = world.leader()
    fault(world, leader)
    world.run(FAULT_S + 18.0)
    assert gap(world, FAULT_S, FAULT_S + 16.0) <= max_gap_s
    assert moves is None or (world.leader() != leader) is moves
    assert lines.count("taking over") <= 2
    assert lines.count("handing over") <= 1  # without damping, a node handed over 42 times in 50 s
    finish(world)
    assert lost(world) == 0
    assert not [row for row in lines.rows if row[1] == "command failed"]


def test_the_leader_in_the_smaller_of_two_partitioned_zones_keeps_leading(play):
    """Both zones reach the store, so leadership stays; the other zone's reports go by mail."""
    world, _ = play()
    while world.leader() not in ("host-3", "host-4"):
        world.crash(world.leader(), 3.0)
        world.run(world.now + 6.0)
    began = world.now
    zones_apart(world, world.leader())
    world.run(began + 18.0)
    assert gap(world, began, began + 10.0) <= 2.5
    finish(world)
    assert lost(world) == 0


def test_workers_leave_a_node_whose_next_node_is_down_for_long(play):
    world, _ = play()
    world.crash("host-1", 60.0)
    world.run(FAULT_S + 4.0)
    assert "host-0" in {world.fleet.last_node[name] for name in world.fleet.workers}
    world.run(FAULT_S + 20.0)
    assert "host-0" not in {world.fleet.last_node[name] for name in world.fleet.workers}
    finish(world)
    assert lost(world) == 0


def test_three_take_overs_within_ten_seconds(play):
    world, _ = play()
    for i in range(3):
        world.at(FAULT_S + 3.3 * i, lambda: world.crash(world.leader(), 8.0))
    world.run(FAULT_S + 11.0)
    assert gap(world, FAULT_S, FAULT_S + 11.0) <= 3.0
    finish(world)
    assert lost(world) == 0


def test_a_rolling_restart_of_all_nodes_in_an_outage_of_the_store(play):
    world, _ = play()
    with world.virtual():
        world.state.down_until = FAULT_S + 10.0
    for i, name in enumerate(ZONES):
        world.at(FAULT_S + 1.0 + 2.0 * i, lambda name=name: world.crash(name, 1.5))
    world.run(FAULT_S + 14.0)
    assert world.leader()
    finish(world)


def test_an_overloaded_leader_hands_over_once_and_another_keeps_leading(play):
    world, lines = play()
    slow = world.leader()
    for i in range(120):  # it runs for a tenth of the time
        world.at(FAULT_S + i, lambda: world.freeze(slow, 0.9))
    world.run(FAULT_S + 20.0)
    assert lines.count("handing over") == 1 and world.leader() not in ("", slow)
    assert gap(world, FAULT_S, FAULT_S + 18.0) <= 3.0
    finish(world)
    assert lost(world) == 0


def test_clocks_at_both_ends_of_their_bounds(play):
    drifts = {"host-0": (0.0005, 1.0), "host-1": (0.0, -1.0), "host-2": (0.0005, -1.0),
              "host-3": (0.0, 1.0), "host-4": (0.0005, 0.0)}  # fmt: skip
    world, _ = play(drifts=drifts)
    frozen(world, world.leader())
    finish(world)
    assert lost(world) == 0


def test_reports_are_spread_over_the_nodes_of_their_zones(play):
    world, _ = play(machines=40, jobs_until=20.0)
    took = {name: world.node(name).report_handler.workers() for name in ZONES}
    assert sum(took.values()) == 80 and min(took.values()) >= 4
    # All workers of a crashed node move to the next node at once, which redirects some of them.
    world.crash("host-3", 30.0)
    world.run(FAULT_S + 8.0)
    assert world.node("host-4").report_handler.workers() >= 40
    assert lost(world) == 0
