"""Processes that end and are back within a fraction of a second, whole nodes in virtual time.

Their old holds and member keys still live then, and what the former processes sent is on its way.
"""

import pytest

from coveflow.lab import cases, worlds
from coveflow.lab.virtual import STATE
from coveflow.state import keys as sk
from tests.whole import FAULT_S, ZONES, controller, finish, gap, lost, play

__all__ = ["play"]  # a fixture


def clean(lines) -> bool:
    return not [row for row in lines.rows if row[1] == "command failed"]


@pytest.mark.parametrize("back_s", [0.05, 0.3, 1.0])
def test_an_ended_leader_goes_on_where_it_was(play, back_s):
    world, lines = play()
    leader = world.leader()
    epoch = world.node(leader).owner.leading
    world.crash(leader, back_s)
    world.run(FAULT_S + 10.0)
    assert world.leader() == leader and world.node(leader).owner.leading > epoch
    assert gap(world, FAULT_S, FAULT_S + 10.0) <= back_s + 1.0
    finish(world)
    assert lost(world) == 0 and clean(lines)


@pytest.mark.parametrize("outage_s", [0.0, 2.0])
def test_all_end_at_once_and_are_back(play, outage_s):
    world, lines = play()
    if outage_s:
        with world.virtual():
            world.state.down_until = FAULT_S + outage_s
    for i, name in enumerate(ZONES):
        world.crash(name, 0.1 + 0.1 * i)
    world.run(FAULT_S + 10.0)
    assert gap(world, FAULT_S, FAULT_S + 10.0) <= outage_s + 2.5
    finish(world)
    assert lost(world) == 0 and clean(lines)


def test_a_member_key_that_an_ended_process_sent_late_changes_nothing(play):
    """Held back by the network, it hung the key on the dead process's hold: no member any more."""
    world, lines = play()
    name = next(n for n in ZONES if n != world.leader())
    held = []
    real = world.state.serve

    async def serve(who, request):
        if who == name and request.path == "/commit" and b"in/member/" in request.body and not held:
            held.append((who, request))
            return await real(who, type(request)("GET", "/store/none", {}, b""))  # no 200: retried
        return await real(who, request)

    world.state.serve = serve
    world.crash(name, 0.2)  # its first joining is the one that is held back
    world.run(FAULT_S + 0.5)
    assert held
    world.crash(name, 0.2)
    world.run(FAULT_S + 1.5)
    world.places[STATE].loop.create_task(real(*held[0]))
    finish(world)
    assert lines.count("no longer a member, though its lease lives") == 0
    assert all(name in world.node(other).owner.inbox.members for other in ZONES)


def test_a_node_that_is_no_member_any_more_comes_back(play):
    world, lines = play()
    name = next(n for n in ZONES if n != world.leader())
    with world.virtual():
        world.state.store.commit({}, {sk.MEMBER + name: (None, None)}, world.now)
    world.run(FAULT_S + 3.0)
    assert lines.count("no longer a member, though its lease lives") == 1
    assert name in world.node(world.leader()).owner.inbox.members
    finish(world)


def test_a_leader_that_keeps_ending_hands_over_and_its_workers_go_elsewhere(play):
    world, lines = play()
    bad = world.leader()
    for i in range(10):
        world.at(FAULT_S + 1.2 * i, lambda: world.crash(bad, 0.2))
    world.run(FAULT_S + 11.0)
    assert lines.count("handing over") == 1 and world.leader() not in ("", bad)
    assert gap(world, FAULT_S, FAULT_S + 11.0) <= 2.5
    others = [world.node(name).peers.suspicion for name in ZONES if name != bad]
    assert all("ends" in suspicion.suspicions(bad) for suspicion in others)
    finish(world)
    assert lost(world) == 0 and clean(lines)
    world.run(world.now + 30.0)  # the doubt goes by itself
    assert not any(suspicion.suspicions(bad) for suspicion in others)


def test_the_only_node_heard_of_leads_however_often_it_ended(play):
    """There is nobody to hand over to, so it may not wait for one for long."""
    world, lines = play(zones={"host-0": "north"}, jobs_until=30.0)
    for i in range(4):
        world.at(FAULT_S + 2.0 * i, lambda: world.crash("host-0", 0.2))
    world.run(FAULT_S + 9.0)
    assert world.leader() == "host-0" and lines.count("handing over") == 0
    assert gap(world, FAULT_S, FAULT_S + 9.0) <= 2.5
    finish(world)


def test_a_leader_that_ends_while_a_zone_is_cut_off_and_peers_refuse(play):
    world, lines = play()
    leader = world.leader()
    world.cut(6.0, lambda a, b: controller(a) and controller(b), "refuse")
    world.at(FAULT_S + 2.0, lambda: world.crash(leader, 0.3))
    world.run(FAULT_S + 12.0)
    assert gap(world, FAULT_S, FAULT_S + 12.0) <= 3.5
    finish(world)
    assert lost(world) == 0 and clean(lines)


def test_generated_sequences_of_ends_break_no_rule_and_leave_nothing_undone():
    """One of each sort; `coveflow lab worlds ends` plays a thousand."""
    told = [worlds.play(worlds.ends(seed)) for seed in range(len(cases.ENDS))]
    assert not [t for t in told if t.broken or t.unfinished or t.failures]
    assert max(t.gap for t in told if t.case != "mixed") <= 2.5
