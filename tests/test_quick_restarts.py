"""Quick restarts of controllers, in virtual time.

When a process is back within a fraction of a second, its old lease and member key still exist, and
requests of its predecessor may still be in flight.
"""

import pytest

from coveflow.lab import cases, worlds
from coveflow.lab.virtual import STATE
from coveflow.state import keys as sk
from tests.whole import FAULT_S, ZONES, controller, finish, gap, lost, play

__all__ = ["play"]  # a fixture


def no_failed_commands(lines) -> bool:
    return not [row for row in lines.rows if row[1] == "command failed"]


@pytest.mark.parametrize("back_s", [0.05, 0.3, 1.0])
def test_a_restarted_leader_resumes_leadership(play, back_s):
    world, lines = play()
    leader = world.leader()
    epoch = world.node(leader).owner.leading
    world.crash(leader, back_s)
    world.run(FAULT_S + 10.0)
    assert world.leader() == leader and world.node(leader).owner.leading > epoch
    assert gap(world, FAULT_S, FAULT_S + 10.0) <= back_s + 1.0
    finish(world)
    assert lost(world) == 0 and no_failed_commands(lines)


@pytest.mark.parametrize("outage_s", [0.0, 2.0])
def test_all_controllers_restart_at_once(play, outage_s):
    world, lines = play()
    if outage_s:
        with world.virtual():
            world.state.down_until = FAULT_S + outage_s
    for i, name in enumerate(ZONES):
        world.crash(name, 0.1 + 0.1 * i)
    world.run(FAULT_S + 10.0)
    assert gap(world, FAULT_S, FAULT_S + 10.0) <= outage_s + 2.5
    finish(world)
    assert lost(world) == 0 and no_failed_commands(lines)


def test_a_delayed_member_key_of_an_earlier_process_has_no_effect(play):
    """Such a write attached the key to the dead process's lease, and the node lost membership."""
    world, lines = play()
    name = next(n for n in ZONES if n != world.leader())
    held = []
    real = world.state.serve

    async def serve(who, request):
        if who == name and request.path == "/commit" and b"in/member/" in request.body and not held:
            held.append((who, request))
            # The response is not 200, so the write is retried.
            return await real(who, type(request)("GET", "/store/none", {}, b""))
        return await real(who, request)

    world.state.serve = serve
    world.crash(name, 0.2)  # the first join after this is delayed
    world.run(FAULT_S + 0.5)
    assert held
    world.crash(name, 0.2)
    world.run(FAULT_S + 1.5)
    world.hosts[STATE].loop.create_task(real(*held[0]))
    finish(world)
    assert lines.count("no longer a member, though its lease lives") == 0
    assert all(name in world.node(other).owner.inbox.members for other in ZONES)


def test_a_node_that_lost_membership_joins_again(play):
    world, lines = play()
    name = next(n for n in ZONES if n != world.leader())
    with world.virtual():
        world.state.store.commit({}, {sk.MEMBER + name: (None, None)}, world.now)
    world.run(FAULT_S + 3.0)
    assert lines.count("no longer a member, though its lease lives") == 1
    assert name in world.node(world.leader()).owner.inbox.members
    finish(world)


def test_a_leader_that_restarts_repeatedly_hands_over_and_is_suspected(play):
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
    assert lost(world) == 0 and no_failed_commands(lines)
    world.run(world.now + 30.0)  # the suspicion expires
    assert not any(suspicion.suspicions(bad) for suspicion in others)


def test_the_only_reachable_node_leads_however_often_it_restarts(play):
    """There is no successor, so the node must not wait long for one."""
    world, lines = play(zones={"host-0": "north"}, jobs_until=30.0)
    for i in range(4):
        world.at(FAULT_S + 2.0 * i, lambda: world.crash("host-0", 0.2))
    world.run(FAULT_S + 9.0)
    assert world.leader() == "host-0" and lines.count("handing over") == 0
    assert gap(world, FAULT_S, FAULT_S + 9.0) <= 2.5
    finish(world)


def test_a_leader_restarts_while_peers_refuse_connections(play):
    world, lines = play()
    leader = world.leader()
    world.cut(6.0, lambda a, b: controller(a) and controller(b), "refuse")
    world.at(FAULT_S + 2.0, lambda: world.crash(leader, 0.3))
    world.run(FAULT_S + 12.0)
    assert gap(world, FAULT_S, FAULT_S + 12.0) <= 3.5
    finish(world)
    assert lost(world) == 0 and no_failed_commands(lines)


def test_generated_restart_sequences_break_no_invariant_and_finish_all_work():
    """One of each kind; `coveflow lab worlds ends` runs a thousand."""
    records = [worlds.play(worlds.ends(seed)) for seed in range(len(cases.ENDS))]
    assert not [t for t in records if t.broken or t.unfinished or t.failures]
    assert max(t.gap for t in records if t.case != "mixed") <= 2.5
