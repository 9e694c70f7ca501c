"""Classes with `repeat no`: a task that may have run is not retried without an operator."""

from collections import Counter

import pytest
from hypothesis import HealthCheck, Phase, given, settings
from hypothesis import strategies as st

from coveflow import settings as s
from coveflow.core import planner, planner_state
from coveflow.core.fleet import Fleet
from coveflow.core.model import Job, Machine
from coveflow.daemon.commands import HeldTasksDecision
from coveflow.lab.replies import Reply
from tests.samples import flavor, spec
from tests.test_world import FAULTS, add_faults
from tests.world import World

ONCE = s.parse_tuning("(coveflow (class once (repeat no)))")


def once(name, **changes):
    return spec(name, workload="once", **changes)


def world_of(seed, *specs, **settings):
    world = World(seed, tuning=ONCE, **settings)
    runs = Counter()

    def seen(kind, row):
        # Only running attempts count. Rejected, fetching and waiting ones had no effect, nor had
        # attempts whose result exists already.
        if kind == "running":
            runs[(row["job"], row["task"])] += 1

    world.observers.append(seen)
    for i, job in enumerate(specs):
        world.at(0.5 + i, lambda job=job: world.submit(job))
    return world, runs


def lose_a_machine(world, job="j-000001"):
    """Fail the first machine that runs a task of the job; return the tasks that ran there."""
    leader = world.leader()
    while not any(
        p.running_since for p in getattr(leader.state.jobs.get(job), "placed", {}).values()
    ):
        world.run(world.now + 0.1)
    first = next(p for p in leader.state.jobs[job].placed.values() if p.running_since is not None)
    worker = world.worker_links[first.machine].worker
    ran = {a.task for a in worker.tasks.values() if a.state == "running"}
    world.cloud.fail(first.machine, world.now)
    return ran


def release(world, job, again, tasks=None):
    answers = []
    world.leader().process_batch([HeldTasksDecision(job, tasks, again, Reply(answers.append))])
    world.run(world.now + 2.0)
    return answers


def test_a_lost_task_waits_for_an_operator_and_then_runs_again():
    world, runs = world_of(1, once("j-000001", tasks=12))
    ran = lose_a_machine(world)
    world.run(60.0)
    job = world.leader().state.jobs["j-000001"]
    assert job.held == ran and len(job.done) == 12 - len(ran) and not job.pending
    assert "j-000001" not in world.over, "the user must still see the job as queued"
    # A new leader restores the held tasks from the records.
    world.crash("a")
    world.at(3.0, lambda: world.elect("b"))
    world.run(90.0)
    assert world.leader().state.jobs["j-000001"].held == ran
    assert max(runs.values()) == 1
    assert release(world, "j-000001", True) == [
        {"job": "j-000001", "tasks": sorted(ran), "again": True}
    ]
    world.run(200.0)
    assert world.ended == {"j-000001": "done"}
    assert {task for (_, task), n in runs.items() if n == 2} == ran


def test_an_abandoned_task_never_runs_and_its_job_never_counts_as_done():
    world, runs = world_of(2, once("j-000001", tasks=12))
    ran = lose_a_machine(world)
    world.run(50.0)
    assert release(world, "j-000001", False)[0]["tasks"] == sorted(ran)
    assert "error" in release(world, "j-000001", True)[0], "no task of the job is held any more"
    world.crash("a")
    world.at(3.0, lambda: world.elect("b"))
    world.run(120.0)
    assert world.leader().state.jobs["j-000001"].given_up == ran
    assert max(runs.values()) == 1 and not world.over
    world.cancel("j-000001")
    world.run(130.0)
    assert world.ended == {"j-000001": "cancelled"}


def test_without_the_setting_lost_tasks_are_retried():
    world = World(1)
    world.at(0.5, lambda: world.submit(once("j-000001", tasks=12)))
    lose_a_machine(world)
    world.run(100.0)
    assert world.ended == {"j-000001": "done"}


@settings(
    max_examples=50, deadline=None, derandomize=True, suppress_health_check=list(HealthCheck),
    phases=[Phase.explicit, Phase.generate],
)  # fmt: skip
@given(st.integers(0, 10_000), FAULTS)
def test_no_task_of_the_class_runs_twice_under_faults(seed, faults):
    """After crashes, partitions, lost leases and failovers, a second run needs an operator."""
    jobs = [
        once("j-000000", tasks=8), once("j-000001", tasks=5, cpus=2.0, deadline_s=20.0),
        once("j-000002", kind="gang", tasks=3, cpus=2.0, accelerators=1.0),
        spec("j-000003", tasks=12, cpus=2.0, deadline_s=15.0, priority=2),
    ]  # fmt: skip
    world, runs = world_of(seed, *jobs)
    add_faults(world, faults)
    world.run(100.0)
    world.at(12.0, lambda: world.elect("b"))
    world.run(300.0)
    assert not {key: n for key, n in runs.items() if n > 1 and key[0] != "j-000003"}
    leader = world.leader()
    for job in world.submitted:
        known = leader.state.jobs.get(job)
        assert job in world.over or known.held, "only a held task may keep a job from ending"


@pytest.mark.parametrize("repeat", [False, True])
def test_jobs_of_the_class_are_never_preempted(repeat):
    victim = Job(spec("j-1", tasks=8, priority=0), 0.0, 1, may_repeat=repeat)
    urgent = Job(spec("j-2", cpus=8.0, tasks=1, deadline_s=30.0, priority=2), 4.0, 1)
    m = Machine("m", "", flavor(), "north", False)
    m.up, m.counter = True, 1
    for job in (victim, urgent):
        job.recompute_pending()
    while victim.pending:
        p = victim.place(m, 0.0)
        p.running_since, p.state = 0.0, "running"
    jobs, teams = [victim, urgent], {"blue": s.Team("blue")}
    state = planner_state.PlannerState(
        jobs, [m], teams, {}, 10.0, {j.id: j.accepted_at for j in jobs}
    )
    plan = planner.plan(state, s.Tuning(), {"j-1": 500.0, "j-2": 10.0}, 200, None)
    assert plan.preempted_jobs == (["j-1"] if repeat else [])


@pytest.mark.parametrize("repeat", [False, True])
def test_jobs_of_the_class_are_never_moved_to_drain_a_machine(repeat):
    jobs = [
        Job(spec("j-1", tasks=1, checkpoint_s=5.0, save_s=1.0), 0.0, 1, may_repeat=repeat),
        Job(spec("j-2", tasks=1), 0.0, 1),
    ]
    machines = []
    for job, price in zip(jobs, (9.0, 0.1), strict=True):
        m = Machine(f"n-{job.id}", "", flavor(price=price), "north", False)
        m.up, m.counter = True, 1
        job.recompute_pending()
        p = job.place(m, 0.0)
        p.running_since, p.state = 0.0, "running"
        machines.append(m)
    table = {job.id: job for job in jobs}
    drained = Fleet().choose_drains(200.0, machines, [], lambda p: 60.0, table.__getitem__)
    assert drained == (["n-j-1"] if repeat else [])


def test_only_the_class_is_kept_off_spot_machines():
    world, _ = world_of(3, once("j-000001", spot=True), spec("j-000002", spot=True))
    world.run(3.0)
    jobs = world.leader().state.jobs
    assert not jobs["j-000001"].spec.spot and jobs["j-000002"].spec.spot


@pytest.mark.parametrize(
    ("text", "named"),
    [
        ("(coveflow (class once (repeat maybe)))", "maybe"),
        ("(coveflow (class once (again no)))", "again"),
        ("(coveflow (class once (repeat no)) (class once (repeat yes)))", "twice"),
        ("(coveflow (class once))", "class"),
    ],
)
def test_the_error_names_the_wrong_part_of_a_class_form(text, named):
    with pytest.raises(s.SettingsError, match=named):
        s.parse_tuning(text)


def test_a_follower_answers_none_to_a_release():
    world = World(1)
    answers = []
    world.owners["b"].process_batch([HeldTasksDecision("j-1", None, True, Reply(answers.append))])
    assert answers == [None]


@pytest.mark.parametrize("first", [False, True])
def test_a_new_leader_does_not_resend_attempts_lost_by_a_restarted_machine(first):
    """The machine restarted under its old session, and the new leader sent the attempts again."""
    world, runs = world_of(1, once("j-000001", tasks=12))
    leader = world.leader()
    while not runs:
        world.run(world.now + 0.1)
    task = next(iter(runs))[1]
    machine = leader.state.jobs["j-000001"].placed[task].machine
    world.restart_worker(world.worker_links[machine], first)
    world.crash("a")
    world.at(world.now + 1.0, lambda: world.elect("b"))
    world.run(world.now + 60.0)
    assert max(runs.values()) == 1
    assert task in world.leader().state.jobs["j-000001"].held
