"""Where two troubles meet: whole nodes in virtual time, judged by the protocol's rules."""

from collections.abc import Callable

import pytest

from coveflow import constants as c
from coveflow import wire
from coveflow.core.cancellations import Cancellations, PeerConfirmations
from coveflow.core.model import Spec
from coveflow.daemon import commands as cm
from coveflow.daemon.inbox import Inbox
from coveflow.daemon.user_jobs import UserJobs
from coveflow.lab import site as sites
from coveflow.lab import worlds
from coveflow.lab.cases import Case, Trouble
from coveflow.lab.virtual import CLOUD, FLEET, World
from coveflow.lab.worlds import site
from coveflow.membership.peers import Peers
from coveflow.settings import Tuning
from coveflow.state import keys as sk
from coveflow.state.store import Store
from tests.samples import spec as job_spec
from tests.whole import SIDES, ZONES, controller
from tests.world import LEASE_S
from tests.world import World as RoughWorld

CANCEL_S = 45.0  # of the worlds' site
REFUSED_S = 12.0  # s into the world at which the store refuses the leader
TOLD_S = 0.6  # s after that users cancel, at other nodes
DOWN_S = 1.3  # s after it the store is down for all: nobody could take the lead before that
OUTAGE_S = CANCEL_S + 12.0
KEPT = "j-000004"  # the job that nobody cancels


def jobs() -> list[Spec]:
    """Long work of every sort: plain, saving, a gang that saves, and an image that takes long."""
    plain = dict(
        workload="tally", team="blue", kind="array", priority=1, tasks=12, cpus=1.0,
        accelerators=0.0, ram_gb=1.0, image="img", image_gb=1.0, types=None, zone=None,
        one_zone=False, spread=False, spot=True, expected_s=150.0, checkpoint_s=0.0, save_s=0.0,
    )  # fmt: skip
    return [
        Spec(id="j-000000", **plain),
        Spec(id="j-000001", **plain | {"checkpoint_s": 10.0, "save_s": 6.0}),
        Spec(id="j-000002", **plain | {"kind": "gang", "tasks": 4, "checkpoint_s": 5.0,
                                       "save_s": 5.0}),
        Spec(id="j-000003", **plain | {"image": "large", "image_gb": 55.0}),
        Spec(id=KEPT, **plain),
    ]  # fmt: skip


class Gap:
    """The store refuses the leader alone, others confirm cancellations, then it is down for all."""

    def __init__(self, seed: int = 1, zones: dict[str, str] = ZONES, late: bool = True) -> None:
        text = site(SIDES, len(zones), 5, 150.0)
        self.world = World(sites.parse(text, "test"), zones, seed, Tuning(homes=True))
        self.names = list(zones)
        for i, job in enumerate(jobs()):
            # The last ones' runs are committed, or in an answer, when the store refuses.
            at = 3.0 if i < 3 or not late else REFUSED_S - 0.35
            self.world.at(at, lambda job=job, i=i: self.world.submit(job, self.names[i % 3]))
        self.world.run(REFUSED_S)
        self.leader = self.world.leader()
        self.others = [name for name in self.names if name != self.leader]
        self.down_s = DOWN_S
        self.refused = self.leader

    def cancel(self) -> None:
        for i, job in enumerate(jobs()):
            if job.id != KEPT:
                self.world.cancel(job.id, self.others[i % len(self.others)])

    def play(self, more: Callable[["Gap"], None] = lambda gap: None) -> World:
        world = self.world
        world.state.refused[self.refused] = REFUSED_S + 14.0
        world.at(REFUSED_S + TOLD_S, lambda: self.cancel())
        world.at(
            REFUSED_S + self.down_s,
            lambda: setattr(world.state, "down_until", REFUSED_S + self.down_s + OUTAGE_S),
        )
        more(self)
        world.run(REFUSED_S + self.down_s + OUTAGE_S + 25.0)
        told = [j for j, known in world.checker.jobs.items() if known.told == "cancelled"]
        assert len(told) == 4 and not self.left()
        return world

    def left(self) -> list[tuple[str, int]]:
        return [key for key in self.world.checker.live if key[0] != KEPT]


def nothing(gap: Gap) -> None:
    pass


def a_home(gap: Gap) -> None:
    gap.world.state.refused.clear()
    gap.world.state.refused[gap.others[-1]] = REFUSED_S + 14.0
    gap.others.pop()


def two_in_turn(gap: Gap) -> None:
    """Another is refused as well before the outage, and is a home of many."""
    gap.world.at(REFUSED_S + 0.3, lambda: gap.world.state.refused.update({gap.others[-1]: 40.0}))
    gap.others.pop()


def confirming_nodes_crash(gap: Gap) -> None:
    for i, name in enumerate(gap.others):
        at = REFUSED_S + TOLD_S + 0.05 + 0.02 * i
        gap.world.at(at, lambda name=name: gap.world.crash(name, 0.2))


def confirming_node_cut_from_the_leader(gap: Gap) -> None:
    gap.others = gap.others[:1]
    ends = {gap.leader, gap.others[0]}
    gap.world.cut(70.0, lambda a, b: {a.name, b.name} == ends)


def at_the_take_over(gap: Gap) -> None:
    gap.down_s = c.HOLD_LIFE_S + 0.15


def while_it_reads(gap: Gap) -> None:
    gap.down_s = c.HOLD_LIFE_S + 0.25


def after_the_take_over(gap: Gap) -> None:
    gap.down_s = 5.0


def before_all_else(gap: Gap) -> None:
    """The outage begins as soon as the first are told."""
    gap.down_s = TOLD_S + 0.02


def frozen(gap: Gap) -> None:
    gap.world.at(REFUSED_S + 2.0, lambda: gap.world.freeze(gap.leader, 5.0))


def cloud_down(gap: Gap) -> None:
    gap.world.cut(80.0, lambda a, b: b.name == CLOUD, "refuse")


def back_for_half_a_second(gap: Gap) -> None:
    def blink() -> None:
        state = gap.world.state
        until, state.down_until = state.down_until, 0.0
        gap.world.at(gap.world.now + 0.5, lambda: setattr(state, "down_until", until))

    gap.world.at(REFUSED_S + 15.0, blink)
    gap.world.at(REFUSED_S + 30.0, blink)


def sent_to_the_leader(gap: Gap) -> None:
    """Nodes refuse each other from the outage on: homes send their workers to the old leader."""
    gap.world.at(
        REFUSED_S + 8.0,
        lambda: gap.world.cut(30.0, lambda a, b: controller(a) and controller(b), "refuse"),
    )


def leader_ends(gap: Gap) -> None:
    gap.world.at(REFUSED_S + 6.0, lambda: gap.world.crash(gap.leader, 0.3))


MEETS = [
    nothing, a_home, two_in_turn, confirming_nodes_crash, confirming_node_cut_from_the_leader,
    before_all_else, at_the_take_over, while_it_reads, after_the_take_over, frozen, cloud_down,
    back_for_half_a_second, sent_to_the_leader, leader_ends,
]  # fmt: skip


@pytest.mark.parametrize("meets", MEETS, ids=lambda meets: meets.__name__)
def test_cancelled_work_is_gone_in_time_though_no_node_has_the_store(meets):
    """61 s after its cancellation it still ran, of 45: leaders acted by the store's word alone."""
    gap = Gap()
    try:
        world = gap.play(meets)
        # No answer left it to run, and no lease had to end for it where all could be heard.
        assert world.checker.gone_s < CANCEL_S - c.CONTACT_MARGIN_S + 0.5
        if meets in (nothing, a_home, cloud_down, back_for_half_a_second):
            assert world.checker.gone_s < 6.0
            assert len([key for key in world.checker.live if key[0] == KEPT]) == 12
    finally:
        gap.world.close()


def polled(gap: Gap) -> None:
    """Who wrote the cancellations told nobody; users hear of them by asking elsewhere."""
    world = gap.world

    def write() -> None:
        store = world.state.store
        for job in jobs():
            row = store.get(sk.JOB + job.id)
            if job.id != KEPT:
                value = {**row.value, "cancel": world.now}
                store.commit({}, {sk.JOB + job.id: (value, None)}, world.now)
                world.checker.see({"at": world.now, "kind": "cancel", "job": job.id})

    def ask() -> None:
        for i, job in enumerate(jobs()):
            node, path = gap.others[i % len(gap.others)], f"{wire.WORK}/{job.id}"
            world.places[FLEET].loop.create_task(world._asked(node, "GET", path, "poll", job.id))

    gap.cancel = write
    world.at(REFUSED_S + TOLD_S + 0.2, ask)


def test_what_a_poll_tells_is_told_to_the_peers():
    gap = Gap()
    try:
        assert gap.play(polled).checker.gone_s < 6.0
    finally:
        gap.world.close()


def planted_store_alone(monkeypatch) -> None:
    """As it was: a leader acts by what the store told it."""
    monkeypatch.setattr(Inbox, "told_cancelled", lambda self, jobs: None)
    monkeypatch.setattr(
        Inbox, "cancelled",
        lambda self, job: getattr(self.accepted.get(job), "cancelled", None) is not None,
    )  # fmt: skip


def planted_polls_tell_nobody(monkeypatch) -> None:
    monkeypatch.setattr(UserJobs, "_confirm", lambda self, name, cancelled: None)


def planted_limit_of_a_lease_too_much(monkeypatch) -> None:
    honest = Cancellations.__init__

    def init(self, members, cancel_s, lease_s) -> None:
        honest(self, members, cancel_s, 0.0)

    monkeypatch.setattr(Cancellations, "__init__", init)


def planted_trust_in_whoever_answers(monkeypatch) -> None:
    def told(self, name, process, jobs, sent, now):
        word = self.peers[name]
        word.process, word.whole, word.at = process, True, max(word.at, sent)
        return []

    monkeypatch.setattr(Cancellations, "record_peer_list", told)


PLANTED = [
    (planted_store_alone, nothing),
    (planted_polls_tell_nobody, polled),
    (planted_limit_of_a_lease_too_much, confirming_node_cut_from_the_leader),
    (planted_trust_in_whoever_answers, confirming_nodes_crash),
]


@pytest.mark.parametrize("plant, meets", PLANTED, ids=lambda it: it.__name__)
def test_the_gap_notices_what_was_wrong(monkeypatch, plant, meets):
    plant(monkeypatch)
    gap = Gap()
    try:
        with pytest.raises(AssertionError, match=r"renewed|ran_cancelled"):
            gap.play(meets)
    finally:
        gap.world.close()


# --- rule 7 without the store ---------------------------------------------------------------


def hung(gap: Gap) -> None:
    """Machines with cancelled work stand still through the outage: nothing there can end."""

    def hang() -> None:
        fleet = gap.world.fleet
        for name in sorted(n for n, w in fleet.workers.items() if w.alive and w.tasks)[:3]:
            fleet.hang(name, 80.0)

    gap.world.at(REFUSED_S + TOLD_S - 0.05, hang)


def test_machines_that_hang_with_cancelled_work_go_back_though_no_node_has_the_store(monkeypatch):
    """They waited for the store to say who leads, past the user's limit."""
    gap = Gap()
    try:
        world = gap.play(hung)
        assert CANCEL_S * c.CANCEL_RETURN_PART < world.checker.gone_s < CANCEL_S - 10.0
    finally:
        gap.world.close()
    monkeypatch.setattr(Peers, "all_fresh", lambda self: False)
    gap = Gap()
    try:
        with pytest.raises(AssertionError, match="ran_cancelled"):
            gap.play(hung)
    finally:
        gap.world.close()


# --- the leader ends just after a cancellation ----------------------------------------------


def long_world(machines: int = 4) -> RoughWorld:
    """One plain job whose tasks run for long, all of them on their machines."""
    world = RoughWorld(2, machines=machines, limit=None)
    world.truth.draw = lambda spec: [500.0] * spec.tasks
    world.at(0.5, lambda: world.submit(job_spec("j-000000", tasks=12, cpus=1.0)))
    world.run(4.0)
    assert len(world.checker.live) == 12
    return world


def test_a_new_leader_stops_what_was_cancelled_before_it_led():
    """Restored attempts of cancelled jobs ran on until their machines went back for that."""
    world = long_world()
    world.cancel("j-000000")
    world.crash("a")
    world.at(2.0, lambda: world.elect("b"))
    returned = []
    world.observers.append(lambda kind, row: returned.append(kind) if kind == "gone" else None)
    world.run(4.0 + 2.0 + LEASE_S)
    assert not world.checker.live and not returned


def test_a_stop_of_cancelled_work_gives_no_time_to_save_whoever_asks():
    world = long_world()
    leader = world.leader()
    world.cancel("j-000000")
    world.run(world.now + 0.3)
    p = next(p for m in leader.book.machines.values() for p in m.placements.values())
    leader.book.stop(p, 9.0, "its machine drains")
    assert p.grace_s == 0.0


# --- generated meetings -----------------------------------------------------------------------


@pytest.mark.parametrize("seed", range(40))
def test_no_rule_breaks_and_all_is_known_and_done_where_troubles_meet(seed):
    told = worlds.play(worlds.meetings(seed))
    assert not told.broken and not told.unfinished and not told.failures


@pytest.mark.parametrize("seed", range(12))
def test_all_users_retry_at_once_about_ids_whose_commits_are_unsure(seed):
    told = worlds.play(worlds.rushes(seed))
    assert not told.broken and not told.unfinished and not told.failures


@pytest.mark.parametrize("seed", [363, 267, 125])
def test_meetings_that_once_failed(seed):
    """363: a poll that asked the store before a cancellation was answered after it, as running."""
    told = worlds.play(worlds.meetings(seed))
    assert not told.broken and not told.unfinished and not told.failures


def test_a_late_write_that_overtakes_is_noticed_and_guards_keep_it_from_harm(monkeypatch):
    """The worlds' late transactions do arrive: without guards they break a rule."""
    honest = Store._send

    async def unguarded(self, guards, writes, grant=None):
        kept = {k: r for k, r in guards.items() if not k.startswith((sk.VIEW, sk.SLOT))}
        return await honest(self, kept, writes, grant)

    monkeypatch.setattr(Store, "_send", unguarded)
    late = [Trouble(-2.0, "late writes", (), 25.0)]
    ends = [Trouble(at, "end", ("leader",), 0.3) for at in (1.0, 6.0, 11.0)]
    told = [
        worlds.play(
            Case("meetings", seed, "test", 3, troubles=(*late, *ends), run_s=8.0, polls=True)
        )
        for seed in range(4)
    ]
    assert any(t.broken or t.unfinished or t.failures for t in told)
    monkeypatch.setattr(Store, "_send", honest)
    for seed in range(4):
        case = Case("meetings", seed, "test", 3, troubles=(*late, *ends), run_s=8.0, polls=True)
        told = worlds.play(case)
        assert not told.broken and not told.unfinished and not told.failures


def test_a_cancellation_told_by_a_peer_waits_for_its_row_before_the_final_record():
    """The transaction failed with all starts in it, as it guarded the row before."""
    world = long_world()
    leader, name = world.leader(), "j-000009"
    world.submit(job_spec(name, tasks=40, cpus=8.0))
    world.run(world.now + 0.3)
    failed = []
    honest = leader.commits._conflict
    leader.commits._conflict = lambda txn, keys: (failed.append(keys), honest(txn, keys))
    leader.cancellations.peers["b"] = PeerConfirmations()
    world.deaf["a"] = world.now + 3.0  # its watch is late, and it can write
    world.cancel(name)
    leader.work([cm.PeerWord("b", "x", {name: world.now}, world.now)])
    assert leader.book.jobs[name].cancelled is not None
    world.run(world.now + 2.5)
    assert not failed and name not in world.over
    world.run(world.now + 3.0)
    assert not failed and world.over[name][0] == "cancelled"
