"""Protocol invariants under generated faults, and proof that the checks can fail."""

import pytest
from hypothesis import HealthCheck, Phase, given, settings
from hypothesis import strategies as st

from coveflow import constants as c
from coveflow.core import pass_decisions, placement
from coveflow.daemon import commands as cm
from coveflow.daemon.report_answers import ReportAnswers
from coveflow.lab.replies import Reply
from coveflow.state import keys as sk
from coveflow.state.records import Records
from tests.samples import spec
from tests.world import Broken, World

FAULTS = st.lists(
    st.tuples(
        st.floats(2.0, 70.0),
        st.sampled_from(
            [
                "crash",
                "crash_all",
                "take_over",
                "late_watch",
                "cut_node",
                "cut_worker",
                "store",
                "cancel",
                "sick",
                "vanish",
                "not_receiving",
                "duplicates",
                "restart",
            ]
        ),
        st.integers(0, 5),
        st.floats(1.0, 30.0),
    ),
    min_size=1,
    max_size=6,
)
SHAPES = st.lists(
    st.tuples(st.integers(1, 12), st.sampled_from([1.0, 2.0, 4.0]), st.integers(0, 6)),
    min_size=1,
    max_size=5,
)


def add_jobs(world: World, shapes) -> None:
    for i, (tasks, cpus, kind) in enumerate(shapes):
        name = f"j-{i:06d}"
        if kind >= 5:  # a gang: on whole machines in one zone, or on half machines anywhere
            bound = kind == 5
            gang = spec(
                name, kind="gang", tasks=min(tasks, 2 if bound else 4), cpus=2.0, one_zone=bound,
                accelerators=2.0 if bound else 1.0, priority=2, checkpoint_s=5.0, save_s=1.0,
            )  # fmt: skip
            world.at(0.5 + i, lambda j=gang: world.submit(j))
            continue
        job = spec(
            name, tasks=tasks, cpus=cpus, one_zone=kind == 1, spread=kind == 2,
            zone="north" if kind == 3 else None, deadline_s=60.0 if kind == 4 else None,
            priority=1 if kind == 4 else 0,
        )  # fmt: skip
        world.at(0.5 + i, lambda j=job: world.submit(j))


def add_faults(world: World, faults) -> None:
    for at, kind, index, length in faults:
        node = "abc"[index % 3]
        successor = "abc"[(index + 1) % 3]

        def act(kind=kind, node=node, successor=successor, index=index, length=length) -> None:
            workers = world.workers
            worker_faults = ("cut_worker", "sick", "vanish", "not_receiving", "restart")
            if not workers and kind in worker_faults:
                return  # all machines were idle and have been returned
            if kind == "crash":
                world.crash(node)
                world.at(3.0, lambda: world.elect(successor))
            elif kind == "crash_all":
                for name in "abc":
                    world.crash(name)
                world.at(9.0, lambda: world.elect(node))
            elif kind == "take_over":
                world.elect(node)  # the old leader has not noticed yet
            elif kind == "late_watch":
                world.watch_delayed_until[node] = world.now + length
                world.elect(successor)
            elif kind == "cut_node":
                world.cut_nodes[node] = world.now + length
                world.at(3.0, lambda: world.elect(successor))
            elif kind == "cut_worker":
                workers[index % len(workers)].cut_until = world.now + length
            elif kind == "sick":
                world.sick(workers[index % len(workers)], length)
            elif kind == "vanish":
                world.cloud.fail(workers[index % len(workers)].worker.name, world.now)
            elif kind == "not_receiving":
                name = workers[index % len(workers)].worker.name
                world.not_receiving_until[name] = world.now + length
            elif kind == "restart":
                world.restart_worker(workers[index % len(workers)], length < 15.0)
            elif kind == "duplicates":
                world.duplicates_until = world.now + length
            elif kind == "store":
                world.store_down_until = world.now + length
            elif kind == "cancel":
                world.cancel(f"j-{index:06d}")

        world.at(at, act)


@settings(
    max_examples=90,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
    phases=[Phase.explicit, Phase.generate],  # shrinking a simulation takes too long for CI
)
@given(st.integers(0, 10_000), SHAPES, FAULTS)
def test_no_rule_breaks_and_all_jobs_end_under_any_faults(seed, shapes, faults):
    world = World(seed)
    add_jobs(world, shapes)
    add_faults(world, faults)
    world.run(100.0)
    # All faults are over: there is one leader, and every accepted job must end.
    world.at(12.0, lambda: world.elect("b"))
    world.run(500.0)
    assert set(world.over) == set(world.submitted), "accepted jobs never ended"
    assert world.checker.starts


def provoke(seeds: int, tamper, cut_node: bool = True) -> None:
    """Run simulations with faults and a tampered controller until a rule breaks."""
    for seed in range(seeds):
        world = World(seed, tamper=tamper)
        add_jobs(world, [(12, 1.0, 0), (8, 2.0, 0), (9, 1.0, 2)])
        faults = [
            (4.0 + seed % 7, "cut_worker", seed % 4, 25.0),
            *([(6.0 + seed % 3, "cut_node", 0, 12.0)] if cut_node else []),
            (30.0, "crash", 1, 5.0),
        ]
        add_faults(world, faults)
        world.run(90.0)


def test_check_detects_a_placement_without_proof():
    def tamper(world, name, owner):
        honest = owner.tick

        def tick_without_proof():
            for m in list(owner.state.machines.values()):
                # Treats silence alone as a loss, without proof.
                if world.now - m.last_report_at > 4.0:
                    owner.machine_manager.remove_machine(m.id, "silent")
            honest()

        owner.tick = tick_without_proof

    # The unproven second placement shows as a second run, or earlier as use beyond the limits.
    with pytest.raises(Broken, match=r"ran_twice|quota|wrong_place"):
        provoke(30, tamper, cut_node=False)


def test_check_detects_a_gang_outside_its_zone(monkeypatch):
    def choose_any_zone(options, want, spec, spare, limits):
        return placement._take_options(options, want, spare, None)

    monkeypatch.setattr(placement, "_choose_for_gang", choose_any_zone)
    with pytest.raises(Broken, match="wrong_place"):
        for seed in range(20):
            world = World(seed)
            add_jobs(world, [(2, 1.0, 5), (2, 1.0, 5), (4, 1.0, 6)])
            world.run(40.0)


def test_check_detects_accelerators_over_the_limit(monkeypatch):
    honest = pass_decisions.count_within_limit
    monkeypatch.setattr(
        pass_decisions,
        "count_within_limit",
        lambda spec, count, usage, teams: honest(spec, count, {}, teams),
    )
    with pytest.raises(Broken, match="accelerators"):
        for seed in range(10):
            world = World(seed)
            add_jobs(world, [(4, 1.0, 6), (4, 1.0, 6), (2, 1.0, 5)])
            world.run(40.0)


def test_gang_tasks_stop_when_the_machine_of_one_is_lost():
    """When a lease expiry ended one task, the rest of the gang used to wait for its own timeout."""
    world = World(2)
    add_jobs(world, [(4, 1.0, 6)])
    world.run(2.5)
    leader = world.owners["a"]
    placed = list(leader.state.jobs["j-000000"].placed.values())
    assert len(placed) == 4
    lost = leader.state.machines[placed[0].machine]
    world.worker_links[lost.id].worker.expire_lease(world.now)
    world.run(6.0)
    assert all(p.stopping for p in placed if p.machine != lost.id)


def test_machine_that_fails_every_task_is_suspected_and_its_jobs_go_on():
    """Always free again, the machine attracted all work, and jobs backed off for up to a minute."""
    world = World(5, limit=None)
    add_jobs(world, [(12, 1.0, 0)] * 4)
    leader = world.owners["a"]
    while not leader.state.jobs or not leader.state.jobs["j-000000"].placed:
        world.run(world.now + 0.05)
    first = world.worker_links[leader.state.jobs["j-000000"].placed[0].machine]
    world.sick(first, 1000.0)
    world.run(60.0)
    assert set(world.over) == set(world.submitted)
    assert first not in world.workers  # it was returned to the cloud
    assert not any(m.failures.suspected for m in leader.state.machines.values())


def test_job_that_fails_everywhere_is_suspected_and_not_the_machines():
    """The job backs off longer each time; it must neither cost machines nor delay other jobs."""
    world = World(6)
    add_jobs(world, [(6, 1.0, 0)])
    for link in world.workers:
        world.sick(link, 20.0)
    world.run(20.0)
    job = world.owners["a"].state.jobs["j-000000"]
    assert job.errors and job.not_before > 15.0
    assert len(world.owners["a"].state.machines) >= 3
    world.run(200.0)
    assert world.ended == {"j-000000": "done"}


def two_leaders(seed: int, tamper_txn) -> None:
    """A node takes over unnoticed by the old leader, and each leader reaches half the workers."""
    world = World(seed, machines=6, limit=None)
    world.tamper_txn = tamper_txn
    add_jobs(world, [(60, 2.0, 0), (30, 1.0, 0)])

    def split() -> None:
        world.watch_delayed_until["a"] = world.now + 30.0
        world.elect("b")
        for index, link in enumerate(world.workers):
            link.node = "ab"[index % 2]

    world.at(5.0, split)
    world.run(60.0)


def test_deposed_leader_that_has_not_noticed_does_no_harm():
    for seed in range(10):
        two_leaders(seed, lambda txn: None)


def test_check_detects_commits_without_guards_on_view_and_slots():
    """Two leaders write to the same oldest slot, so its revision alone would stop most of them."""

    def unguarded(txn):
        for key in [k for k in txn.guards if k == sk.VIEW or k.startswith(sk.SLOT)]:
            del txn.guards[key]

    with pytest.raises(Broken):
        for seed in range(30):
            two_leaders(seed, unguarded)


def test_check_detects_a_clear_before_its_commit(monkeypatch):
    honest = ReportAnswers.orders

    def orders_before_commit(self, m, report, peek=False):
        uncommitted_ends, m.uncommitted_ends = m.uncommitted_ends, set()
        try:
            return honest(self, m, report, peek)
        finally:
            m.uncommitted_ends = uncommitted_ends

    def answer_at_once(self, m, report, reply, *_):
        self.answer(m, cm.PendingAnswer(report, reply, 0.0, False))

    monkeypatch.setattr(ReportAnswers, "orders", orders_before_commit)
    monkeypatch.setattr(ReportAnswers, "answer_or_hold", answer_at_once)
    with pytest.raises(Broken, match="clear before the commit"):
        provoke(60, lambda world, name, owner: None)


def test_node_that_cannot_read_its_records_does_not_lead():
    """A partial state would lead to placing again what runs on machines it failed to restore."""
    world = World(1)
    add_jobs(world, [(6, 1.0, 0)])
    world.run(4.0)
    for key, row in world.store.rows.items():
        if key.startswith(sk.SLOT):
            items = {
                item: [*state[:2], "?", *state[3:]] if item.startswith(sk.MACHINE) else state
                for item, state in row.value["items"].items()
            }
            row.value = {**row.value, "items": items}
    world.elect("b")
    assert world.owners["b"].leading == 0


def test_failed_command_makes_the_leader_reload_from_the_store():
    world = World(1)
    add_jobs(world, [(6, 1.0, 0)])
    world.run(2.0)
    leader = world.owners["a"]
    epoch = leader.leading
    leader.process_batch([cm.CloudList([None])])
    assert leader.leading == 0
    world.run(60.0)
    assert leader.leading > epoch and world.over


def test_large_fleet_shares_writes_and_passes_cost_by_class():
    """One write per machine for each start and end exceeds the store's request budget, and a
    pass over every running task for every waiting job exceeds half a core."""
    world = World(3, machines=200, limit=None)
    add_jobs(world, [(400, 1.0, i % 5) for i in range(6)])
    world.run(25.0)
    world.crash("a")
    world.at(3.0, lambda: world.elect("b"))
    meters = [owner.context.meters for owner in world.owners.values() if owner is not None]
    world.run(120.0)
    assert set(world.over) == set(world.submitted)
    assert world.store.puts < 0.2 * 2 * world.checker.starts
    passes = sum(m.spans["full pass"][0] + m.spans["cheap pass"][0] for m in meters)
    buckets, pools = 120, 2
    assert passes > 10
    assert sum(m.counts["planning steps"] for m in meters) < passes * (200 + 6 * buckets * pools)


def tamper_load(monkeypatch, lose) -> None:
    """Every new leader loads its records with `lose` applied."""
    honest = Records.load

    def load(self, rows):
        honest(self, rows)
        lose(self)

    monkeypatch.setattr(Records, "load", load)


def test_check_detects_a_reader_that_misses_the_newest_slot(monkeypatch):
    def lose(records):
        newest = max((slot.seq for slot in records.slots.values()), default=0)
        for item in [i for i, slot in records.slot_of.items() if slot.seq == newest]:
            del records.values[item]

    tamper_load(monkeypatch, lose)
    with pytest.raises(Broken):
        provoke(30, lambda world, name, owner: None)


def test_check_detects_a_slot_overwritten_without_carrying_over(monkeypatch):
    def set_without_live(self, item, value, slot, size):
        honest(self, item, value, slot, size)
        slot.live.discard(item)

    honest = Records._set
    monkeypatch.setattr(Records, "_set", set_without_live)
    monkeypatch.setattr(c, "SLOTS_MIN", 2)
    monkeypatch.setattr(c, "SLOTS_SPARE_FACTOR", 0)
    monkeypatch.setattr(c, "SLOTS_PER_TXN", 1)
    with pytest.raises(Broken):
        provoke(30, lambda world, name, owner: None)


def test_gang_is_done_with_its_first_done_task_after_another_lease_expired():
    """The task was to run again alone; a gang never starts in part, so the job hung forever."""
    world = World(2)
    add_jobs(world, [(4, 1.0, 6)])
    leader = world.owners["a"]
    while not any(k == ("j-000000", t) for k in world.truth.done for t in range(4)):
        world.run(world.now + 0.05)
    victim = next(p for p in world.workers if any(a.job for a in p.worker.tasks.values()))
    victim.worker.expire_lease(world.now)
    world.run(60.0)
    assert world.ended == {"j-000000": "done"} and not leader.state.jobs


@pytest.mark.parametrize("drained", [True, False])
def test_drained_machine_takes_no_work_after_a_take_over(drained):
    world = World(4, limit=None)
    add_jobs(world, [(12, 1.0, 0)] * 3)
    world.run(1.5)
    answers = []
    leader = world.leader()
    # A full machine: it stays until its tasks, which cannot checkpoint, are done.
    name = max(leader.state.machines.values(), key=lambda m: len(m.placements)).id
    leader.process_batch([cm.DrainRequest(name, True, Reply(answers.append))])
    world.run(2.0)
    assert answers == [{"machine": name, "draining": True}]
    world.crash("a")
    world.at(2.0, lambda: world.elect("b"))
    world.run(4.5)
    assert world.leader().state.machines[name].draining
    if not drained:
        world.leader().process_batch([cm.DrainRequest(name, False, Reply(answers.append))])
    later_machines = set()  # machines that ran later work
    world.observers.append(
        lambda kind, row: (
            later_machines.add(row.get("machine")) if row.get("job") == "j-000009" else None
        )
    )
    world.submit(spec("j-000009", tasks=40, cpus=2.0))
    world.run(100.0)
    assert (name in later_machines) is not drained
    assert set(world.over) == set(world.submitted)
