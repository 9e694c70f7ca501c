"""What is done to a world in virtual time, by the name of the trouble as `lab.cases` draws it."""

from __future__ import annotations

from collections.abc import Callable

from coveflow.lab.cases import LONG, Trouble
from coveflow.lab.virtual import CLOUD, STATE, Place, World

COPIES_PART = 0.3  # of the reports that arrive again
LATE_COMMANDS_PART = 0.5  # of the direct commands that are held up
KEPT_PART = 0.3  # of the reports that are kept for the next leader
LOOKED_CANCELS_PART = 0.2  # of the accepted jobs that are cancelled at once
ENDS_CANCELLED_PART = 0.3  # of the ending jobs that are cancelled at that moment
CANCELS_AT_ONCE = 3  # jobs that one trouble `cancel` calls off

Action = Callable[[World, Trouble, list[str]], None]


def cause(world: World, trouble: Trouble, led: list[str]) -> None:
    """Bring the trouble about now.

    `led` holds who led at the first trouble that names it, and is filled by that one.
    """
    leader = world.leader() or next(iter(world.controllers))
    if "led" in trouble.who and not led:
        led.append(leader)
    known = {"leader": leader, "led": led[0] if led else leader}
    ACTIONS[trouble.what](world, trouble, [known.get(name, name) for name in trouble.who])


# --- ways between hosts --------------------------------------------------------------------


def _cut(world: World, trouble: Trouble, who: list[str]) -> None:
    """One zone loses all others: the leader's ("near") or another one ("far")."""
    leader_zone = world.controllers[world.leader() or next(iter(world.controllers))]
    far = next(zone for zone in reversed(world.site.zones) if zone != leader_zone)
    zone = far if trouble.who == ("far",) else leader_zone
    world.cut(trouble.for_s, lambda a, b: (a.zone == zone) != (b.zone == zone))


def _apart(world: World, trouble: Trouble, who: list[str]) -> None:
    world.cut(trouble.for_s, lambda a, b: bool(a.zone and b.zone) and a.zone != b.zone)


def _cloud(world: World, trouble: Trouble, who: list[str]) -> None:
    world.cut(trouble.for_s, lambda a, b: b.name == CLOUD, "refuse")


def _refuse(world: World, trouble: Trouble, who: list[str]) -> None:
    """Controllers refuse each other."""
    world.cut(trouble.for_s, lambda a, b: a.node is not None and b.node is not None, "refuse")


def _late(world: World, trouble: Trouble, who: list[str]) -> None:
    """What they send to the state service is held back."""
    world.cut(trouble.for_s, lambda a, b: a.name in who and b.name == STATE)


def _sever(world: World, trouble: Trouble, who: list[str]) -> None:
    """They lose the state service and the other controllers, not workers or users."""

    def between(a: Place, b: Place) -> bool:
        return a.name in who and (b.name == STATE or b.node is not None)

    world.cut(trouble.for_s, between)


# --- controllers ---------------------------------------------------------------------------


def _end(world: World, trouble: Trouble, who: list[str]) -> None:
    for name in who:
        if world.places[name].alive:
            world.crash(name, trouble.for_s)


def _freeze(world: World, trouble: Trouble, who: list[str]) -> None:
    for name in who:
        world.freeze(name, trouble.for_s)


def _hand(world: World, trouble: Trouble, who: list[str]) -> None:
    for name in who:
        world.hand_over(name)


# --- the state service ---------------------------------------------------------------------


def _outage(world: World, trouble: Trouble, who: list[str]) -> None:
    world.state.down_until = world.now + trouble.for_s


def _refused(world: World, trouble: Trouble, who: list[str]) -> None:
    world.state.refused.update(dict.fromkeys(who, world.now + trouble.for_s))


def _slow(world: World, trouble: Trouble, who: list[str]) -> None:
    world.slow(float(trouble.who[0]), trouble.for_s)


def _late_writes(world: World, trouble: Trouble, who: list[str]) -> None:
    world.late_writes_until = world.now + trouble.for_s


def _lost_answers(world: World, trouble: Trouble, who: list[str]) -> None:
    world.lost_answers_until = world.now + trouble.for_s


# --- machines ------------------------------------------------------------------------------


def _copies(world: World, trouble: Trouble, who: list[str]) -> None:
    most_s = LONG * world.site.limits.lease_s
    world.fleet.copies = (COPIES_PART, most_s, world.now + trouble.for_s)


def _kept_reports(world: World, trouble: Trouble, who: list[str]) -> None:
    world.fleet.keep_reports(KEPT_PART)


def _late_commands(world: World, trouble: Trouble, who: list[str]) -> None:
    world.fleet.late_commands = (LATE_COMMANDS_PART, world.now + trouble.for_s)


def _busiest(world: World, amount: str) -> list[str]:
    """Living machines with the most tasks: "one", a "few", or all of the last "zone"."""
    workers = world.fleet.workers
    live = sorted(name for name, worker in workers.items() if worker.alive)
    count = {"one": 1, "few": 3}.get(amount, len(live))
    last = world.site.zones[-1]
    some = [name for name in live if count < len(live) or workers[name].zone == last]
    return sorted(some, key=lambda name: (-len(workers[name].tasks), name))[:count]


def _hang(world: World, trouble: Trouble, who: list[str]) -> None:
    for name in _busiest(world, trouble.who[0]):
        world.fleet.hang(name, trouble.for_s)


def _lost_messages(table: str) -> Action:
    """The machines in this table of the fleet's lose messages for a while."""

    def action(world: World, trouble: Trouble, who: list[str]) -> None:
        spell = (world.now, world.now + trouble.for_s)
        getattr(world.fleet, table).update(dict.fromkeys(_busiest(world, trouble.who[0]), spell))

    return action


def _reborn(world: World, trouble: Trouble, who: list[str]) -> None:
    """A machine restarts and counts from one, in its old session or the first."""
    workers = world.fleet.workers
    name = world.random.choice(sorted(name for name in workers if workers[name].alive))
    world.fleet.restart(name, 1 if trouble.who[0] == "first" else workers[name].tenure)


# --- users ---------------------------------------------------------------------------------


def _cancel(world: World, trouble: Trouble, who: list[str]) -> None:
    accepted = sorted(job for job, (status, _) in world.answers.items() if status in (200, 201))
    for job in world.random.sample(accepted, min(CANCELS_AT_ONCE, len(accepted))):
        world.cancel(job)


def _rush(world: World, trouble: Trouble, who: list[str]) -> None:
    world.rush(trouble.for_s)


def _close_looks(world: World, trouble: Trouble, who: list[str]) -> None:
    world.close_looks(trouble.for_s, LOOKED_CANCELS_PART)


def _cancel_at_end(world: World, trouble: Trouble, who: list[str]) -> None:
    world.cancel_at_end(ENDS_CANCELLED_PART, trouble.for_s)


def _odd_requests(world: World, trouble: Trouble, who: list[str]) -> None:
    world.odd_requests(trouble.for_s)


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
