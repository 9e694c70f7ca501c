"""Concurrent faults: whole nodes in virtual time, checked against the protocol's rules."""

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
from coveflow.lab.cases import Case, InjectedFault
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

CANCEL_S = 45.0  # cancellation limit of the test site
REFUSED_S = 12.0  # s into the run at which the store refuses the leader
CANCELLED_AFTER_S = 0.6  # s from then until users cancel jobs at other nodes
DOWN_AFTER_S = 1.3  # s from then until the store fails for all, before another node can take over
OUTAGE_S = CANCEL_S + 12.0
KEPT = "j-000004"  # the job that is not cancelled


def jobs() -> list[Spec]:
    """Long jobs of each kind: plain, with checkpoints, a gang with checkpoints, a large image."""
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


class StoreRefusal:
    """The store refuses one node, others confirm cancellations, then it is down for all."""

    def __init__(self, seed: int = 1, zones: dict[str, str] = ZONES, late: bool = True) -> None:
        text = site(SIDES, len(zones), 5, 150.0)
        self.world = World(sites.parse(text, "test"), zones, seed, Tuning(homes=True))
        self.names = list(zones)
        for i, job in enumerate(jobs()):
            # The last jobs' runs are just committed or in an answer when the store refuses.
            at = 3.0 if i < 3 or not late else REFUSED_S - 0.35
            self.world.at(at, lambda job=job, i=i: self.world.submit(job, self.names[i % 3]))
        self.world.run(REFUSED_S)
        self.leader = self.world.leader()
        self.others = [name for name in self.names if name != self.leader]
        self.down_s = DOWN_AFTER_S
        self.refused = self.leader

    def cancel(self) -> None:
        for i, job in enumerate(jobs()):
            if job.id != KEPT:
                self.world.cancel(job.id, self.others[i % len(self.others)])

    def play(self, more: Callable[["StoreRefusal"], None] = lambda refusal: None) -> World:
        world = self.world
        world.state.refused[self.refused] = REFUSED_S + 14.0
        world.at(REFUSED_S + CANCELLED_AFTER_S, lambda: self.cancel())
        world.at(
            REFUSED_S + self.down_s,
            lambda: setattr(world.state, "down_until", REFUSED_S + self.down_s + OUTAGE_S),
        )
        more(self)
        world.run(REFUSED_S + self.down_s + OUTAGE_S + 25.0)
        cancelled = [
            j for j, known in world.checker.jobs.items() if known.final_state == "cancelled"
        ]
        assert len(cancelled) == 4 and not self.still_running()
        return world

    def still_running(self) -> list[tuple[str, int]]:
        return [key for key in self.world.checker.running if key[0] != KEPT]


def no_fault(refusal: StoreRefusal) -> None:
    pass


def home_refused(refusal: StoreRefusal) -> None:
    refusal.world.state.refused.clear()
    refusal.world.state.refused[refusal.others[-1]] = REFUSED_S + 14.0
    refusal.others.pop()


def two_nodes_refused(refusal: StoreRefusal) -> None:
    """A second node, home of many machines, is refused as well before the outage."""
    refusal.world.at(
        REFUSED_S + 0.3, lambda: refusal.world.state.refused.update({refusal.others[-1]: 40.0})
    )
    refusal.others.pop()


def confirming_nodes_crash(refusal: StoreRefusal) -> None:
    for i, name in enumerate(refusal.others):
        at = REFUSED_S + CANCELLED_AFTER_S + 0.05 + 0.02 * i
        refusal.world.at(at, lambda name=name: refusal.world.crash(name, 0.2))


def confirming_node_cut_from_the_leader(refusal: StoreRefusal) -> None:
    refusal.others = refusal.others[:1]
    ends = {refusal.leader, refusal.others[0]}
    refusal.world.cut(70.0, lambda a, b: {a.name, b.name} == ends)


def down_at_takeover(refusal: StoreRefusal) -> None:
    refusal.down_s = c.MEMBER_LEASE_S + 0.15


def down_while_new_leader_reads(refusal: StoreRefusal) -> None:
    refusal.down_s = c.MEMBER_LEASE_S + 0.25


def down_after_takeover(refusal: StoreRefusal) -> None:
    refusal.down_s = 5.0


def down_after_first_confirmation(refusal: StoreRefusal) -> None:
    """The outage begins as soon as the first cancellations are confirmed."""
    refusal.down_s = CANCELLED_AFTER_S + 0.02


def leader_frozen(refusal: StoreRefusal) -> None:
    refusal.world.at(REFUSED_S + 2.0, lambda: refusal.world.freeze(refusal.leader, 5.0))


def cloud_down(refusal: StoreRefusal) -> None:
    refusal.world.cut(80.0, lambda a, b: b.name == CLOUD, "refuse")


def store_up_for_half_a_second(refusal: StoreRefusal) -> None:
    def recover_briefly() -> None:
        state = refusal.world.state
        until, state.down_until = state.down_until, 0.0
        refusal.world.at(refusal.world.now + 0.5, lambda: setattr(state, "down_until", until))

    refusal.world.at(REFUSED_S + 15.0, recover_briefly)
    refusal.world.at(REFUSED_S + 30.0, recover_briefly)


def redirected_to_old_leader(refusal: StoreRefusal) -> None:
    """Nodes refuse each other during the outage: homes redirect workers to the old leader."""
    refusal.world.at(
        REFUSED_S + 8.0,
        lambda: refusal.world.cut(30.0, lambda a, b: controller(a) and controller(b), "refuse"),
    )


def leader_crashes(refusal: StoreRefusal) -> None:
    refusal.world.at(REFUSED_S + 6.0, lambda: refusal.world.crash(refusal.leader, 0.3))


FAULTS = [
    no_fault, home_refused, two_nodes_refused, confirming_nodes_crash,
    confirming_node_cut_from_the_leader, down_after_first_confirmation, down_at_takeover,
    down_while_new_leader_reads, down_after_takeover, leader_frozen, cloud_down,
    store_up_for_half_a_second, redirected_to_old_leader, leader_crashes,
]  # fmt: skip


@pytest.mark.parametrize("fault", FAULTS, ids=lambda fault: fault.__name__)
def test_cancelled_work_ends_in_time_during_a_store_outage(fault):
    """With leaders that know only what the store said, work ran 61 s of the 45 s allowed."""
    refusal = StoreRefusal()
    try:
        world = refusal.play(fault)
        # No answer let the work run on, and no lease had to expire where all nodes are heard.
        assert world.checker.gone_s < CANCEL_S - c.CONTACT_MARGIN_S + 0.5
        if fault in (no_fault, home_refused, cloud_down, store_up_for_half_a_second):
            assert world.checker.gone_s < 6.0
            assert len([key for key in world.checker.running if key[0] == KEPT]) == 12
    finally:
        refusal.world.close()


def polled_elsewhere(refusal: StoreRefusal) -> None:
    """Cancellations are written without an announcement; users learn of them by polling."""
    world = refusal.world

    def write() -> None:
        store = world.state.store
        for job in jobs():
            row = store.get(sk.JOB + job.id)
            if job.id != KEPT:
                value = {**row.value, "cancel": world.now}
                store.commit({}, {sk.JOB + job.id: (value, None)}, world.now)
                world.checker.record({"at": world.now, "kind": "cancel", "job": job.id})

    def ask() -> None:
        for i, job in enumerate(jobs()):
            node, path = refusal.others[i % len(refusal.others)], f"{wire.WORK_PATH}/{job.id}"
            world.hosts[FLEET].loop.create_task(world._request(node, "GET", path, "poll", job.id))

    refusal.cancel = write
    world.at(REFUSED_S + CANCELLED_AFTER_S + 0.2, ask)


def test_a_cancellation_reported_by_a_poll_is_announced_to_peers():
    refusal = StoreRefusal()
    try:
        assert refusal.play(polled_elsewhere).checker.gone_s < 6.0
    finally:
        refusal.world.close()


def planted_store_alone(monkeypatch) -> None:
    """A leader uses only what it read from the store."""
    monkeypatch.setattr(Inbox, "apply_peer_cancellations", lambda self, jobs: None)
    monkeypatch.setattr(
        Inbox, "cancelled",
        lambda self, job: getattr(self.accepted.get(job), "cancelled", None) is not None,
    )  # fmt: skip


def planted_polls_announce_nothing(monkeypatch) -> None:
    monkeypatch.setattr(UserJobs, "_announce_cancellation", lambda self, name, cancelled: None)


def planted_limit_without_the_lease(monkeypatch) -> None:
    original = Cancellations.__init__

    def init(self, members, cancel_s, lease_s) -> None:
        original(self, members, cancel_s, 0.0)

    monkeypatch.setattr(Cancellations, "__init__", init)


def planted_trust_in_restarted_peers(monkeypatch) -> None:
    def told(self, name, process, jobs, sent, now):
        report = self.peers[name]
        report.process, report.whole, report.at = process, True, max(report.at, sent)
        return []

    monkeypatch.setattr(Cancellations, "record_peer_list", told)


PLANTED = [
    (planted_store_alone, no_fault),
    (planted_polls_announce_nothing, polled_elsewhere),
    (planted_limit_without_the_lease, confirming_node_cut_from_the_leader),
    (planted_trust_in_restarted_peers, confirming_nodes_crash),
]


@pytest.mark.parametrize("plant, fault", PLANTED, ids=lambda it: it.__name__)
def test_planted_faults_are_detected(monkeypatch, plant, fault):
    plant(monkeypatch)
    refusal = StoreRefusal()
    try:
        with pytest.raises(AssertionError, match=r"renewed|ran_cancelled"):
            refusal.play(fault)
    finally:
        refusal.world.close()


# --- rule 7 without the store ---------------------------------------------------------------


def machines_hang(refusal: StoreRefusal) -> None:
    """Machines with cancelled work hang during the outage, so that nothing there can end."""

    def hang() -> None:
        fleet = refusal.world.fleet
        for name in sorted(n for n, w in fleet.workers.items() if w.alive and w.tasks)[:3]:
            fleet.hang(name, 80.0)

    refusal.world.at(REFUSED_S + CANCELLED_AFTER_S - 0.05, hang)


def test_hung_machines_with_cancelled_work_are_returned_during_a_store_outage(monkeypatch):
    """Waiting for the store to confirm the leader would exceed the user's time limit."""
    refusal = StoreRefusal()
    try:
        world = refusal.play(machines_hang)
        assert CANCEL_S * c.CANCEL_RETURN_SHARE < world.checker.gone_s < CANCEL_S - 10.0
    finally:
        refusal.world.close()
    monkeypatch.setattr(Peers, "all_fresh", lambda self: False)
    refusal = StoreRefusal()
    try:
        with pytest.raises(AssertionError, match="ran_cancelled"):
            refusal.play(machines_hang)
    finally:
        refusal.world.close()


# --- the leader crashes just after a cancellation -------------------------------------------


def long_world(machines: int = 4) -> RoughWorld:
    """One plain job with long tasks, all of them running."""
    world = RoughWorld(2, machines=machines, limit=None)
    world.truth.draw = lambda spec: [500.0] * spec.tasks
    world.at(0.5, lambda: world.submit(job_spec("j-000000", tasks=12, cpus=1.0)))
    world.run(4.0)
    assert len(world.checker.running) == 12
    return world


def test_a_new_leader_stops_what_was_cancelled_before_it_led():
    """Otherwise restored attempts of cancelled jobs run until their machines are returned."""
    world = long_world()
    world.cancel("j-000000")
    world.crash("a")
    world.at(2.0, lambda: world.elect("b"))
    returned = []
    world.observers.append(lambda kind, row: returned.append(kind) if kind == "gone" else None)
    world.run(4.0 + 2.0 + LEASE_S)
    assert not world.checker.running and not returned


def test_a_stop_of_cancelled_work_has_no_grace_period():
    world = long_world()
    leader = world.leader()
    world.cancel("j-000000")
    world.run(world.now + 0.3)
    p = next(p for m in leader.state.machines.values() for p in m.placements.values())
    leader.state.stop(p, 9.0, "its machine drains")
    assert p.grace_s == 0.0


# --- generated scenarios ----------------------------------------------------------------------


@pytest.mark.parametrize("seed", range(40))
def test_rules_hold_and_jobs_finish_under_concurrent_faults(seed):
    result = worlds.play(worlds.meetings(seed))
    assert not result.broken and not result.unfinished and not result.failures


@pytest.mark.parametrize("seed", range(12))
def test_rules_hold_when_all_users_retry_ids_with_unsure_commits(seed):
    result = worlds.play(worlds.rushes(seed))
    assert not result.broken and not result.unfinished and not result.failures


@pytest.mark.parametrize("seed", [363, 267, 125])
def test_seeds_that_once_failed(seed):
    """363: a poll that read the store before a cancellation was answered as running after it."""
    result = worlds.play(worlds.meetings(seed))
    assert not result.broken and not result.unfinished and not result.failures


def test_late_writes_break_a_rule_only_without_guards(monkeypatch):
    """Delayed transactions are applied late, and without their guards they break a rule."""
    original = Store._send

    async def unguarded(self, guards, writes, grant=None):
        kept = {k: r for k, r in guards.items() if not k.startswith((sk.VIEW, sk.SLOT))}
        return await original(self, kept, writes, grant)

    monkeypatch.setattr(Store, "_send", unguarded)
    late = [InjectedFault(-2.0, "late writes", (), 25.0)]
    ends = [InjectedFault(at, "end", ("leader",), 0.3) for at in (1.0, 6.0, 11.0)]
    results = [
        worlds.play(Case("meetings", seed, "test", 3, faults=(*late, *ends), run_s=8.0, polls=True))
        for seed in range(4)
    ]
    assert any(t.broken or t.unfinished or t.failures for t in results)
    monkeypatch.setattr(Store, "_send", original)
    for seed in range(4):
        case = Case("meetings", seed, "test", 3, faults=(*late, *ends), run_s=8.0, polls=True)
        result = worlds.play(case)
        assert not result.broken and not result.unfinished and not result.failures


def test_a_cancellation_from_a_peer_waits_for_its_row_before_the_final_record():
    """Guarded by the old row, the transaction would fail with all starts that it contains."""
    world = long_world()
    leader, name = world.leader(), "j-000009"
    world.submit(job_spec(name, tasks=40, cpus=8.0))
    world.run(world.now + 0.3)
    failed = []
    original = leader.commits._conflict
    leader.commits._conflict = lambda txn, keys: (failed.append(keys), original(txn, keys))
    leader.cancellations.peers["b"] = PeerConfirmations()
    world.watch_delayed_until["a"] = world.now + 3.0  # its watch is delayed, but it can write
    world.cancel(name)
    leader.process_batch([cm.PeerCancellations("b", "x", {name: world.now}, world.now)])
    assert leader.state.jobs[name].cancelled is not None
    world.run(world.now + 2.5)
    assert not failed and name not in world.over
    world.run(world.now + 3.0)
    assert not failed and world.over[name][0] == "cancelled"
