"""Planner decisions on worked examples."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from coveflow import constants as c
from coveflow.core import planner, planner_state, preemption
from coveflow.core.model import Job, Machine
from coveflow.settings import Team, Tuning
from tests.samples import flavor, spec

TUNING = Tuning()


def machine(name: str, **changes) -> Machine:
    m = Machine(name, "", flavor(**changes), "north", False)
    m.up = True
    return m


def job(name: str, accepted_at: float = 0.0, **changes) -> Job:
    j = Job(spec(name, **changes), accepted_at, 1)
    j.recompute_pending()
    return j


def state(jobs, machines, now=0.0, teams=None, usage=None) -> planner_state.PlannerState:
    teams = teams or {"blue": Team("blue")}
    used: dict[str, tuple[float, float]] = {}
    for m in machines:
        for p in m.placements.values():
            owner = next(j for j in jobs if j.id == p.job)
            cpus, acc = used.get(owner.spec.team, (0.0, 0.0))
            used[owner.spec.team] = (cpus + owner.spec.cpus, acc)
    return planner_state.PlannerState(
        jobs, machines, teams, usage or used, now, {j.id: j.accepted_at for j in jobs}
    )


def run(s: planner_state.PlannerState, predictions, **kwargs) -> planner.Plan:
    return planner.plan(s, TUNING, predictions, 200, **kwargs)


def started(plan: planner.Plan) -> dict[str, int]:
    counts: dict[str, int] = {}
    for start in plan.starts:
        counts[start.job] = counts.get(start.job, 0) + start.count
    return counts


def test_deadline_jobs_go_first_in_arrival_order_then_best_effort():
    jobs = [
        job("j-1", 0.0, tasks=8),
        job("j-2", 2.0, tasks=6, deadline_s=100.0),
        job("j-3", 1.0, tasks=6, deadline_s=100.0),
    ]
    plan = run(state(jobs, [machine("a")], now=3.0), {j.id: 30.0 for j in jobs})
    assert started(plan) == {"j-3": 6, "j-2": 2}


def test_best_effort_work_is_preempted_only_if_a_deadline_would_be_missed():
    """The paper's example: a running best-effort job is stopped only if waiting is too late."""
    best, urgent = job("j-1", tasks=8, priority=0), job("j-2", tasks=8, deadline_s=80.0)
    m = machine("a")
    for _ in range(8):
        best.place(m, 0.0).running_since = 0.0
    predictions = {"j-1": 40.0, "j-2": 30.0}
    # The running job ends at 40, so the urgent one can end at 70, before its deadline at 80.
    plan = run(state([best, urgent], [m], now=5.0), predictions)
    assert not plan.preempted_jobs and plan.reservations["m8", "north", False][
        0
    ].start == pytest.approx(40.0)
    # With a predicted end at 70, the urgent job would end at 100, after its deadline.
    plan = run(state([best, urgent], [m], now=5.0), predictions | {"j-1": 70.0})
    assert plan.preempted_jobs == ["j-1"]


def test_work_of_the_same_priority_is_not_stopped():
    first, second = job("j-1", tasks=8), job("j-2", tasks=8, deadline_s=40.0)
    m = machine("a")
    for _ in range(8):
        first.place(m, 0.0).running_since = 0.0
    assert (
        run(state([first, second], [m], now=5.0), {"j-1": 100.0, "j-2": 30.0}).preempted_jobs == []
    )


def test_a_team_reclaims_its_guarantee_from_a_team_that_borrowed_it():
    teams = {"blue": Team("blue", cpus=0.0), "red": Team("red", cpus=8.0)}
    guest, owner = job("j-1", tasks=8), job("j-2", tasks=8, team="red")
    m = machine("a")
    for _ in range(8):
        guest.place(m, 0.0).running_since = 0.0
    plan = run(state([guest, owner], [m], now=5.0, teams=teams), {"j-1": 100.0, "j-2": 30.0})
    assert plan.preempted_jobs == ["j-1"]


def test_best_effort_work_uses_reserved_capacity_only_if_it_ends_before_the_reservation():
    running, urgent = job("j-1", tasks=4), job("j-2", tasks=8, deadline_s=60.0)
    short, long = job("j-3", 1.0, tasks=4), job("j-4", 1.0, tasks=4)
    urgent.spec = spec("j-2", tasks=1, cpus=8.0, deadline_s=60.0)
    urgent.recompute_pending()
    m = machine("a")
    for _ in range(4):
        running.place(m, 0.0).running_since = 0.0
    predictions = {"j-1": 20.0, "j-2": 30.0, "j-3": 10.0, "j-4": 50.0}
    plan = run(state([running, urgent, short, long], [m], now=5.0), predictions)
    assert started(plan) == {"j-3": 4}


def test_a_team_never_gets_more_than_its_limit():
    teams = {"blue": Team("blue", cpus_max=5.0)}
    jobs = [job("j-1", tasks=8, cpus=2.0)]
    assert started(run(state(jobs, [machine("a")], teams=teams), {"j-1": 9.0})) == {"j-1": 2}


def test_the_remaining_time_of_an_overrun_doubles_each_time():
    grown = [planner_state.remaining_run_time(0.0, 10.0, 12.0, t, 5.0) for t in range(4)]
    assert grown == [5.0, 10.0, 20.0, 40.0]
    assert planner_state.remaining_run_time(0.0, 10.0, 4.0, 0, 5.0) == 6.0


def test_gangs_start_whole_or_not_at_all():
    jobs = [job("j-1", kind="gang", tasks=9), job("j-2", 1.0, kind="gang", tasks=5)]
    assert started(run(state(jobs, [machine("a")]), {"j-1": 9.0, "j-2": 9.0})) == {"j-2": 5}


def test_value_falls_after_the_deadline():
    s = spec(deadline_s=100.0)
    values = [planner_state.deadline_value(s, 0.0, end, 1.0) for end in (50.0, 100.0, 150.0, 250.0)]
    assert values == [1.0, 1.0, 0.5, 0.0]


def test_each_preemption_makes_the_next_one_of_the_job_more_expensive():
    """Best-effort jobs were stopped at every arrival of a deadline job and made no progress."""
    victim = job("j-1", tasks=8, priority=0)
    m = machine("a")
    for _ in range(8):
        victim.place(m, 0.0).running_since = 0.0
    urgent = job("j-2", tasks=8, deadline_s=40.0)
    predictions = {"j-1": 100.0, "j-2": 30.0}
    assert run(state([victim, urgent], [m], now=5.0), predictions).preempted_jobs == ["j-1"]
    victim.preempted = 5
    assert run(state([victim, urgent], [m], now=5.0), predictions).preempted_jobs == []


def test_the_papers_preemption_example():
    """Section 4.1.3 without placement preferences: jobs 2 and 3 arrive at 10 and are due at 35.

    There are four machines; best-effort job 1 runs on two of them and is half done. If job 3 waits
    until job 1 ends at 20, it ends at 40; only stopping job 1 lets both meet their deadline.
    """
    machines = [machine(f"m{i}", cpus=1.0) for i in (1, 2, 3, 4)]
    first = job("j-1", 0.0, tasks=2, priority=0)
    for m in machines[1:3]:
        first.place(m, 0.0).running_since = 0.0
    second = job("j-2", 10.0, tasks=2, deadline_s=25.0)
    third = job("j-3", 10.0, tasks=2, deadline_s=25.0)
    predictions = {"j-1": 20.0, "j-2": 20.0, "j-3": 20.0}
    plan = run(state([first, second, third], machines, now=10.0), predictions)
    assert started(plan) == {"j-2": 2} and plan.preempted_jobs == ["j-1"]
    third.spec = spec("j-3", tasks=2, deadline_s=30.0)  # due at 40, so it can wait
    plan = run(state([first, second, third], machines, now=10.0), predictions)
    assert plan.preempted_jobs == []


def test_the_cheap_pass_respects_reservations_of_the_last_full_pass():
    """It knows only the first reserved start in a pool, and keeps out jobs that run longer."""
    running, urgent = job("j-1", tasks=4), job("j-2", tasks=1, cpus=8.0, deadline_s=60.0)
    m = machine("a")
    for _ in range(4):
        running.place(m, 0.0).running_since = 0.0
    predictions = {"j-1": 20.0, "j-2": 30.0, "j-3": 10.0, "j-4": 50.0}
    reservations = run(state([running, urgent], [m], now=5.0), predictions).reservations
    short, long = job("j-3", 1.0, tasks=4), job("j-4", 1.0, tasks=4)
    plan = run(
        state([running, urgent, short, long], [m], now=6.0),
        predictions,
        previous_reservations=reservations,
    )
    assert started(plan) == {"j-3": 4}
    first = job("j-0", -1.0, tasks=4, deadline_s=60.0)  # ranked before the reserving job
    plan = run(state([first, running, urgent], [m], now=6.0), predictions | {"j-0": 50.0},
               previous_reservations=reservations)  # fmt: skip
    assert started(plan) == {"j-0": 4}


def test_long_best_effort_jobs_come_before_shorter_ones_of_about_the_same_age():
    """In arrival order alone, the last long jobs ended minutes after everything else."""
    short, long = job("j-1", 0.0, tasks=8), job("j-2", 20.0, tasks=8)
    predictions = {"j-1": 30.0, "j-2": 180.0}
    assert started(run(state([short, long], [machine("a")], now=25.0), predictions)) == {"j-2": 8}
    long.accepted_at, short.last_attempt_number = (
        200.0,
        1,
    )  # `short` started before; else it would rank first by age
    assert started(run(state([short, long], [machine("a")], now=205.0), predictions)) == {"j-1": 8}


def test_a_starved_large_job_starts_a_part_of_its_tasks():
    """A large array without a deadline never started while deadline work kept arriving."""
    large = job("j-0", 0.0, tasks=400, priority=0)
    urgent = [job(f"j-{i}", 145.0, tasks=8, priority=2, deadline_s=60.0) for i in range(1, 4)]
    predictions = {j.id: 30.0 for j in [large, *urgent]}
    machines = [machine(name) for name in "abcdefgh"]
    before = started(
        run(state([large, *urgent], machines[:2], now=c.FIRST_START_S - 1.0), predictions)
    )
    assert "j-0" not in before
    plan = started(run(state([large, *urgent], machines, now=c.FIRST_START_S + 1.0), predictions))
    assert plan["j-0"] == 50  # an eighth of the tasks
    large.last_attempt_number = 1  # once started, it gets only the floor of its class
    plan = started(
        run(state([large, *urgent], machines[:3], now=c.FIRST_START_S + 1.0), predictions)
    )
    assert plan["j-0"] == int(c.LONG_WAIT_SHARE * 24)


def test_the_floor_is_shared_by_starved_classes_and_includes_what_they_use():
    jobs = [
        job("j-0", 0.0, tasks=400, workload="sweep"),
        job("j-1", 0.0, tasks=4, workload="probe"),
        job("j-2", 0.0, tasks=400, workload="broken"),
        job("j-3", 140.0, tasks=400, workload="young"),
        job("j-4", 100.0, tasks=400, workload="urgent", deadline_s=500.0),
    ]
    jobs[2].errors = 3
    for j in jobs:
        j.last_attempt_number = 1
    now = state(jobs, [], now=c.FIRST_START_S + 10.0)
    found = planner.class_floors(now, jobs, {"j-4"}, 400.0)
    assert found == pytest.approx({"probe": 4.0, "sweep": 56.0})
    jobs[0].attempts = 50
    assert planner.class_floors(now, jobs, {"j-4"}, 400.0) == pytest.approx(
        {"probe": 4.0, "sweep": 6.0}
    )
    jobs[0].attempts = 60
    assert planner.class_floors(now, jobs, {"j-4"}, 400.0) == pytest.approx({"probe": 4.0})


WANTS = st.dictionaries(st.text("abcdef", min_size=1), st.floats(0, 100), min_size=1)


@given(WANTS, st.floats(0, 300))
def test_max_min_shares_everything_and_exceeds_no_demand(wants, total):
    shares = planner.max_min_shares(wants, total)
    assert all(shares[name] <= want + 1e-9 for name, want in wants.items())
    assert sum(shares.values()) == pytest.approx(min(total, sum(wants.values())))
    least = min((s for n, s in shares.items() if s < wants[n] - 1e-9), default=None)
    assert least is None or all(share <= least + 1e-6 for share in shares.values())


def test_a_job_whose_tasks_only_fail_runs_one_task_at_a_time():
    broken = job("j-1", 0.0, tasks=8)
    broken.errors, broken.last_attempt_number = 1, 1
    assert started(run(state([broken], [machine("a")], now=5.0), {"j-1": 30.0})) == {"j-1": 1}
    broken.done = {0}  # a completed task shows that the machines were at fault
    assert started(run(state([broken], [machine("a")], now=5.0), {"j-1": 30.0})) == {"j-1": 8}


JOBS = st.lists(
    st.tuples(st.integers(1, 20), st.integers(0, 2), st.floats(0, 149), st.booleans()),
    min_size=1, max_size=6,
)  # fmt: skip


@given(JOBS, st.integers(1, 3))
def test_without_overload_plans_are_as_without_ageing(rows, count):
    """No job waits long enough to be ranked first by its age."""
    jobs = [
        job(f"j-{i}", at, tasks=tasks, priority=rank, deadline_s=60.0 if due else None)
        for i, (tasks, rank, at, due) in enumerate(rows)
    ]
    now = state(jobs, [machine(str(i)) for i in range(count)], now=149.0)
    predictions = {j.id: 30.0 for j in jobs}
    found = started(run(now, predictions))
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(c, "FIRST_START_S", 1e9)
        assert started(run(now, predictions)) == found


# --- accelerators, gangs and goals ---------------------------------------------------------

GPU = {"cpus": 12.0, "accelerators": 2.0, "ram_gb": 48.0}
GANG = {"kind": "gang", "cpus": 10.0, "accelerators": 2.0, "ram_gb": 38.0, "priority": 2}
USES = frozenset({planner_state.AcceleratorUse(5.0, 19.0)})


def vision(name: str, zone: str = "north") -> Machine:
    m = machine(name, **GPU)
    m.zone = zone
    return m


def test_a_team_guaranteed_accelerators_only_has_guaranteed_jobs():
    """Its CPUs were compared with a guarantee of 0 CPUs, so no job was within the guarantee."""
    teams = {"blue": Team("blue", accelerators=4.0)}
    jobs = [job("j-1", 0.0, tasks=2, **GANG), job("j-2", 1.0, tasks=1, **GANG),
            job("j-3", 2.0, tasks=3)]  # fmt: skip
    assert planner_state.jobs_within_guarantee(state(jobs, [], teams=teams)) == {"j-1"}


def test_gangs_do_not_block_each_other_with_partial_reservations():
    """Two gangs bound to one zone each reserved a machine in both zones, and neither started."""
    a, b = [vision(f"a{i}") for i in range(2)], [vision(f"b{i}", "south") for i in range(2)]
    running = [job(f"j-{i}", tasks=1, **GANG) for i in range(2)]
    running[0].place(a[0], 0.0).running_since = 0.0
    running[1].place(b[0], 0.0).running_since = 0.0
    gangs = [job(f"j-1{i}", tasks=2, one_zone=True, **GANG) for i in range(2)]
    predictions = {"j-0": 20.0, "j-1": 60.0, "j-10": 100.0, "j-11": 100.0}
    s = state(running + gangs, a + b, now=5.0)
    s.goals = {"sort": (planner_state.Goal(25.0, False),)}
    held = run(s, predictions).reservations
    assert [(h.job, h.count) for h in held["m8", "north", False]] == [("j-10", 2)]
    assert [(h.job, h.count) for h in held["m8", "south", False]] == [("j-11", 2)]


def test_work_without_accelerators_leaves_their_reserve_free():
    """Small tasks took two CPUs of each machine, so that no gang found a whole machine."""
    small, gang = job("j-1", tasks=20, cpus=2.0), job("j-2", 1.0, tasks=1, **GANG)
    s = state([small, gang], [vision("a")], now=2.0)
    s.accelerator_uses, s.flavors = USES, [flavor("v12", **GPU), flavor("m8")]
    assert started(run(s, {"j-1": 30.0, "j-2": 90.0})) == {"j-1": 1, "j-2": 1}


def test_work_that_fits_no_other_machines_may_use_those_with_accelerators():
    """The reserve would otherwise starve a job bound to the type, even with no other users."""
    s = state([job("j-1", tasks=20, cpus=2.0, types=["v12"])], [vision("a")], now=2.0)
    s.machines[0].flavor = flavor("v12", **GPU)
    s.accelerator_uses, s.flavors = USES, [flavor("v12", **GPU), flavor("m8")]
    assert started(run(s, {"j-1": 30.0})) == {"j-1": 6}


def test_a_goal_is_worth_less_the_later_the_start():
    j = job("j-1", **GANG)
    s = state([j], [])
    s.goals = {"sort": (planner_state.Goal(20.0, False), planner_state.Goal(100.0, True))}
    at = [planner_state.start_value(j, s, start, 60.0, 1.0) for start in (0.0, 30.0, 60.0, 200.0)]
    assert at == [1.0, 0.75, 0.4, 0.0]


def test_jobs_are_stopped_only_if_the_whole_gang_then_fits():
    """The gang is bound to one zone: capacity for half of it, or in another zone, is useless."""
    late = {"tasks": 2, "cpus": 5.0, "accelerators": 1.0, "ram_gb": 18.0, "deadline_s": 10.0}
    north, south = [vision("a0"), vision("a1")], [vision("b0", "south"), vision("b1", "south")]
    victims = []
    for i, m in enumerate([*north, *south]):
        v = job(f"j-{i}", **late)
        for _ in range(2):
            v.place(m, 0.0).running_since = 0.0
        victims.append(v)
    keeper = job("j-8", tasks=1, **GANG)  # of the same priority: may not be stopped
    m = vision("b1x", "south")
    keeper.place(m, 0.0).running_since = 0.0
    gang = job("j-9", 20.0, tasks=2, one_zone=True, **GANG)
    predictions = dict.fromkeys(["j-0", "j-1", "j-2", "j-3", "j-8", "j-9"], 200.0)
    s = state([*victims, keeper, gang], [*north, *south, m], now=21.0)
    s.goals = {"sort": (planner_state.Goal(25.0, False),)}
    assert sorted(run(s, predictions).preempted_jobs) in (["j-0", "j-1"], ["j-2", "j-3"])
    four = job("j-9", 20.0, tasks=4, one_zone=True, **GANG)
    s = state([*victims, keeper, four], [*north, *south, m], now=21.0)
    s.goals = {"sort": (planner_state.Goal(25.0, False),)}
    assert run(s, predictions).preempted_jobs == []


def test_a_gang_takes_the_zone_where_all_its_machines_have_the_image():
    a, b = [vision(f"a{i}") for i in range(3)], [vision(f"b{i}", "south") for i in range(2)]
    for m in (a[0], b[0], b[1]):
        m.images["img"] = 5.0
    gang = job("j-1", tasks=2, one_zone=True, image_gb=5.0, **GANG)
    plan = run(state([gang], a + b), {"j-1": 60.0})
    assert sorted(start.machine for start in plan.starts) == ["b0", "b1"]


def test_cpus_of_accelerators_without_demand_are_open_to_all_jobs():
    """Reserved without any demand, a tenth of the fleet's CPUs stayed idle while work waited."""
    small = job("j-1", tasks=20, cpus=2.0)
    s = state([small], [vision("a")], now=2.0)
    s.accelerator_uses, s.flavors = USES, [flavor("v12", **GPU), flavor("m8")]
    assert started(run(s, {"j-1": 30.0})) == {"j-1": 6}
    s = state([job("j-1", tasks=20, cpus=2.0)], [vision("a")], now=2.0,
              teams={"blue": Team("blue", accelerators=2.0)})  # fmt: skip
    s.accelerator_uses, s.flavors = USES, [flavor("v12", **GPU), flavor("m8")]
    assert started(run(s, {"j-1": 30.0})) == {"j-1": 1}


def test_arrays_leave_accelerators_to_expected_gangs():
    array = job("j-1", tasks=8, cpus=5.0, accelerators=1.0, ram_gb=18.0, deadline_s=400.0,
                spot=False, workload="clips")  # fmt: skip
    machines = [vision(f"a{i}") for i in range(4)]
    s = state([array], machines, now=1.0)
    s.goals = {"sort": (planner_state.Goal(25.0, False),)}
    assert started(run(s, {"j-1": 20.0})) == {"j-1": 8}
    array = job("j-1", tasks=8, cpus=5.0, accelerators=1.0, ram_gb=18.0, deadline_s=400.0,
                spot=False, workload="clips")  # fmt: skip
    s = state([array], [vision(f"a{i}") for i in range(4)], now=1.0)
    s.goals = {"sort": (planner_state.Goal(25.0, False),)}
    s.class_demands = [
        planner_state.ClassDemand(spec("j-0", **GANG), 0.1)
    ]  # 0.2 accelerators a second
    assert started(run(s, {"j-1": 20.0})) == {"j-1": 4}


def test_stopping_late_work_has_a_cost():
    """Stopping a late deadline job cost nothing, so such jobs were stopped up to nine times."""
    late = job("j-1", tasks=4, deadline_s=10.0)
    m = machine("a")
    for _ in range(4):
        late.place(m, 0.0).running_since = 0.0
    costs = []
    for late.preempted in range(3):
        costs.append(preemption.preemption_cost(late, TUNING, 50.0, 0.0))
    assert costs == [4.0, 16.0, 64.0]
    gang = job("j-2", tasks=1, **GANG)
    gang.place(vision("b"), 0.0)
    goals = (planner_state.Goal(25.0, False),)
    assert preemption.preemption_cost(gang, TUNING, 50.0, 0.0, goals) == TUNING.stop_ratio


def test_a_gang_that_has_just_started_is_not_stopped():
    """Its start would be void and its wait in vain."""
    teams = {"blue": Team("blue"), "red": Team("red", accelerators=2.0)}
    guest = job("j-1", tasks=1, **GANG)
    m = vision("a")
    guest.place(m, 0.0).running_since = 0.0
    predictions = {"j-1": 300.0, "j-2": 100.0}
    for now, stops in ((20.0, []), (60.0, ["j-1"])):
        owner = job("j-2", now - 5.0, tasks=1, team="red", **GANG)
        s = state([guest, owner], [m], now=now, teams=teams, usage={"blue": (10.0, 2.0)})
        s.goals = {"sort": (planner_state.Goal(15.0, False),)}
        assert run(s, predictions).preempted_jobs == stops


def test_memory_does_not_increase_the_number_of_stopped_jobs():
    """With memory counted as if it were full, a stop seemed to free half of what it does."""
    victims = [job(f"j-{i}", tasks=1, cpus=4.0, ram_gb=3.0, priority=0) for i in range(2)]
    m = machine("a", ram_gb=100.0)
    for v in victims:
        v.place(m, 0.0).running_since = 0.0
    urgent = job("j-9", tasks=2, cpus=2.0, ram_gb=3.0, deadline_s=40.0)
    predictions = {"j-0": 100.0, "j-1": 100.0, "j-9": 30.0}
    assert len(run(state([*victims, urgent], [m], now=5.0), predictions).preempted_jobs) == 1


def test_arrays_leave_the_unused_guarantee_of_another_team_free():
    """An array took all accelerators in the second before the guaranteed gangs arrived."""
    teams = {"blue": Team("blue", accelerators=2.0), "red": Team("red", accelerators=4.0)}
    array = job("j-1", tasks=8, cpus=5.0, accelerators=1.0, ram_gb=18.0, deadline_s=400.0)
    s = state([array], [vision(f"a{i}") for i in range(4)], now=1.0, teams=teams)
    assert started(run(s, {"j-1": 20.0})) == {"j-1": 4}
    gang = job("j-2", tasks=4, **GANG)  # a job that must start promptly may borrow it
    s = state([gang], [vision(f"a{i}") for i in range(4)], now=1.0, teams=teams)
    s.goals = {"sort": (planner_state.Goal(25.0, False),)}
    assert started(run(s, {"j-2": 20.0})) == {"j-2": 4}


def test_jobs_that_can_meet_their_deadline_come_before_late_ones():
    """In arrival order, one late job made the next ones late too, also in a class with a goal."""
    jobs = [
        job("j-1", 0.0, tasks=6, deadline_s=40.0),
        job("j-2", 10.0, tasks=6, deadline_s=100.0),
        job("j-3", 11.0, tasks=6, deadline_s=100.0),
    ]
    s = state(jobs, [machine("a")], now=20.0)
    s.goals = {"sort": (planner_state.Goal(60.0, False),)}
    assert started(run(s, dict.fromkeys(s.arrived_at, 15.0))) == {"j-1": 6, "j-2": 2}
    assert started(run(s, dict.fromkeys(s.arrived_at, 30.0))) == {"j-2": 6, "j-3": 2}


def zoned(name: str, zone: str) -> Machine:
    m = Machine(name, "", flavor(), zone, False)
    m.up = True
    return m


def bound_state(tasks: int, **kind) -> tuple[planner_state.PlannerState, Job]:
    """A job with 8 tasks on the only machine in the south, and another job.

    Two machines in the north are idle.
    """
    north, south = [zoned("n-1", "north"), zoned("n-2", "north")], zoned("s-1", "south")
    bound = job("j-1", tasks=tasks, **kind)
    for _ in range(8):
        bound.place(south, 0.0).running_since = 0.0
    found = state([bound, job("j-2", 60.0, tasks=16)], [*north, south], now=70.0)
    found.zone_by_machine = {m.id: m.zone for m in found.machines}
    found.flavors = [flavor()]
    return found, bound


@pytest.mark.parametrize("deadline_s", [None, 900.0])
def test_a_job_bound_to_a_full_zone_reserves_nothing_in_other_zones(deadline_s):
    """It reserved all capacity of the other zones, though it could never start there."""
    found, _ = bound_state(24, one_zone=True, deadline_s=deadline_s)
    predictions = {"j-1": 500.0, "j-2": 30.0}
    plan = run(found, predictions)
    assert started(plan) == {"j-2": 16}
    assert [(shortage.spec.id, shortage.usable_zones) for shortage in plan.shortages] == [
        ("j-1", {"south"})
    ]
    assert started(run(found, predictions, previous_reservations=plan.reservations)) == {"j-2": 16}


@pytest.mark.parametrize("deadline_s", [None, 900.0])
def test_a_spread_job_bound_to_a_full_zone_reserves_nothing_in_other_zones(deadline_s):
    """With both constraints only the share of each zone counted, so it reserved in all zones."""
    found, _ = bound_state(24, one_zone=True, spread=True, deadline_s=deadline_s)
    plan = run(found, {"j-1": 500.0, "j-2": 30.0})
    assert started(plan) == {"j-2": 16}
    assert [(shortage.spec.id, shortage.usable_zones) for shortage in plan.shortages] == [
        ("j-1", {"south"})
    ]


def test_a_job_bound_to_a_zone_reserves_capacity_that_becomes_free_there():
    found, _ = bound_state(12, one_zone=True, deadline_s=900.0)
    plan = run(found, {"j-1": 100.0, "j-2": 30.0})
    assert {key[1] for key in plan.reservations} == {"south"} and not plan.shortages[1:]
    assert sum(held.count for held in plan.reservations["m8", "south", False]) == 4


def test_a_spread_job_reserves_no_more_in_a_zone_than_it_may_use_there():
    found, _ = bound_state(16, spread=True, deadline_s=900.0)
    plan = run(found, {"j-1": 500.0, "j-2": 30.0})
    assert started(plan) == {"j-1": 8, "j-2": 8} and not plan.reservations


def test_no_work_is_stopped_in_a_zone_that_a_bound_job_may_not_use():
    found, bound = bound_state(24, one_zone=True, deadline_s=100.0, priority=3)
    low = job("j-3", tasks=16, priority=0)
    for m in found.machines[:2]:
        for _ in range(8):
            low.place(m, 0.0).running_since = 0.0
    found.jobs.append(low)
    found.arrived_at["j-3"] = 0.0
    assert run(found, {"j-1": 20.0, "j-2": 30.0, "j-3": 500.0}).preempted_jobs == []
    bound.placed.clear()  # without attempts it is not bound yet and may use the north
    found.machines[2].placements.clear()
    assert run(found, {"j-1": 20.0, "j-2": 30.0, "j-3": 500.0}).preempted_jobs == ["j-3"]
