"""Injects the faults that `lab.cases` draws into a world in virtual time."""

from __future__ import annotations

from collections.abc import Callable

from coveflow.lab.cases import MAX_COPY_DELAY_LEASES, InjectedFault
from coveflow.lab.virtual import CLOUD, STATE, SimulatedHost, World

COPIES_SHARE = 0.3  # share of the reports that are duplicated
LATE_COMMANDS_SHARE = 0.5  # share of the direct commands that are delayed
KEPT_SHARE = 0.3  # share of the reports that are kept for the next leader
BURST_CANCELS_SHARE = 0.2  # share of the accepted jobs that are cancelled at once
ENDS_CANCELLED_SHARE = 0.3  # share of the ending jobs that are cancelled at that moment
CANCELS_AT_ONCE = 3  # jobs that one "cancel" cancels

Action = Callable[[World, InjectedFault, list[str]], None]


def cause(world: World, fault: InjectedFault, first_leader: list[str]) -> None:
    """Injects the fault now.

    `first_leader` holds the leader at the first fault that names "led"; that fault fills it.
    """
    leader = world.leader() or next(iter(world.controllers))
    if "led" in fault.who and not first_leader:
        first_leader.append(leader)
    known = {"leader": leader, "led": first_leader[0] if first_leader else leader}
    ACTIONS[fault.what](world, fault, [known.get(name, name) for name in fault.who])


# --- network -------------------------------------------------------------------------------


def _cut(world: World, fault: InjectedFault, who: list[str]) -> None:
    """Cuts one zone off from all others: the leader's ("near") or another one ("far")."""
    leader_zone = world.controllers[world.leader() or next(iter(world.controllers))]
    far = next(zone for zone in reversed(world.site.zones) if zone != leader_zone)
    zone = far if fault.who == ("far",) else leader_zone
    world.cut(fault.for_s, lambda a, b: (a.zone == zone) != (b.zone == zone))


def _apart(world: World, fault: InjectedFault, who: list[str]) -> None:
    world.cut(fault.for_s, lambda a, b: bool(a.zone and b.zone) and a.zone != b.zone)


def _cloud(world: World, fault: InjectedFault, who: list[str]) -> None:
    world.cut(fault.for_s, lambda a, b: b.name == CLOUD, "refuse")


def _refuse(world: World, fault: InjectedFault, who: list[str]) -> None:
    """Controllers refuse connections from each other."""
    world.cut(fault.for_s, lambda a, b: a.node is not None and b.node is not None, "refuse")


def _late(world: World, fault: InjectedFault, who: list[str]) -> None:
    """Delays the controllers' requests to the state service."""
    world.cut(fault.for_s, lambda a, b: a.name in who and b.name == STATE)


def _sever(world: World, fault: InjectedFault, who: list[str]) -> None:
    """Cuts controllers off from the state service and each other, not from workers or users."""

    def between(a: SimulatedHost, b: SimulatedHost) -> bool:
        return a.name in who and (b.name == STATE or b.node is not None)

    world.cut(fault.for_s, between)


# --- controllers ---------------------------------------------------------------------------


def _end(world: World, fault: InjectedFault, who: list[str]) -> None:
    for name in who:
        if world.hosts[name].alive:
            world.crash(name, fault.for_s)


def _freeze(world: World, fault: InjectedFault, who: list[str]) -> None:
    for name in who:
        world.freeze(name, fault.for_s)


def _hand(world: World, fault: InjectedFault, who: list[str]) -> None:
    for name in who:
        world.hand_over(name)


# --- the state service ---------------------------------------------------------------------


def _outage(world: World, fault: InjectedFault, who: list[str]) -> None:
    world.state.down_until = world.now + fault.for_s


def _refused(world: World, fault: InjectedFault, who: list[str]) -> None:
    world.state.refused.update(dict.fromkeys(who, world.now + fault.for_s))


def _slow(world: World, fault: InjectedFault, who: list[str]) -> None:
    world.slow(float(fault.who[0]), fault.for_s)


def _late_writes(world: World, fault: InjectedFault, who: list[str]) -> None:
    world.late_writes_until = world.now + fault.for_s


def _lost_answers(world: World, fault: InjectedFault, who: list[str]) -> None:
    world.lost_answers_until = world.now + fault.for_s


# --- machines ------------------------------------------------------------------------------


def _copies(world: World, fault: InjectedFault, who: list[str]) -> None:
    most_s = MAX_COPY_DELAY_LEASES * world.site.limits.lease_s
    world.fleet.copies = (COPIES_SHARE, most_s, world.now + fault.for_s)


def _kept_reports(world: World, fault: InjectedFault, who: list[str]) -> None:
    world.fleet.keep_reports(KEPT_SHARE)


def _late_commands(world: World, fault: InjectedFault, who: list[str]) -> None:
    world.fleet.late_commands = (LATE_COMMANDS_SHARE, world.now + fault.for_s)


def _busiest(world: World, amount: str) -> list[str]:
    """Live machines with the most tasks: "one", a "few", or all of the last "zone"."""
    workers = world.fleet.workers
    live = sorted(name for name, worker in workers.items() if worker.alive)
    count = {"one": 1, "few": 3}.get(amount, len(live))
    last = world.site.zones[-1]
    some = [name for name in live if count < len(live) or workers[name].zone == last]
    return sorted(some, key=lambda name: (-len(workers[name].tasks), name))[:count]


def _hang(world: World, fault: InjectedFault, who: list[str]) -> None:
    for name in _busiest(world, fault.who[0]):
        world.fleet.hang(name, fault.for_s)


def _lost_messages(table: str) -> Action:
    """Adds the busiest machines to this table of the fleet's, so they lose messages."""

    def action(world: World, fault: InjectedFault, who: list[str]) -> None:
        period = (world.now, world.now + fault.for_s)
        getattr(world.fleet, table).update(dict.fromkeys(_busiest(world, fault.who[0]), period))

    return action


def _reborn(world: World, fault: InjectedFault, who: list[str]) -> None:
    """Restarts a machine: its report counter restarts, in its current session or the first."""
    workers = world.fleet.workers
    name = world.random.choice(sorted(name for name in workers if workers[name].alive))
    world.fleet.restart(name, 1 if fault.who[0] == "first" else workers[name].tenure)


# --- users ---------------------------------------------------------------------------------


def _cancel(world: World, fault: InjectedFault, who: list[str]) -> None:
    accepted = sorted(job for job, (status, _) in world.answers.items() if status in (200, 201))
    for job in world.random.sample(accepted, min(CANCELS_AT_ONCE, len(accepted))):
        world.cancel(job)


def _rush(world: World, fault: InjectedFault, who: list[str]) -> None:
    world.retry_all(fault.for_s)


def _close_looks(world: World, fault: InjectedFault, who: list[str]) -> None:
    world.poll_in_bursts(fault.for_s, BURST_CANCELS_SHARE)


def _cancel_at_end(world: World, fault: InjectedFault, who: list[str]) -> None:
    world.cancel_at_end(ENDS_CANCELLED_SHARE, fault.for_s)


def _odd_requests(world: World, fault: InjectedFault, who: list[str]) -> None:
    world.odd_requests(fault.for_s)


ACTIONS: dict[str, Action] = {
    "cut": _cut, "apart": _apart, "cloud": _cloud, "refuse": _refuse, "late": _late,
    "sever": _sever, "end": _end, "freeze": _freeze, "hand": _hand, "outage": _outage,
    "refused": _refused, "slow": _slow, "late writes": _late_writes,
    "lost answers": _lost_answers, "copies": _copies, "kept reports": _kept_reports,
    "late commands": _late_commands, "hang": _hang, "deaf": _lost_messages("deaf"),
    "away": _lost_messages("away"), "mute": _lost_messages("mute"), "reborn": _reborn,
    "cancel": _cancel, "rush": _rush, "close looks": _close_looks,
    "cancel at end": _cancel_at_end, "odd requests": _odd_requests,
}  # fmt: skip
