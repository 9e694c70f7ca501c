"""Rules of a planning pass: they hold for all its decisions about a job together.

A pass visits a job more than once (for the floor of its class, in its ordinary turn, for
reservations and preemption), and the next pass runs before the starts of this one are committed.
"""

from collections.abc import Iterable

import pytest

from coveflow import constants as c
from coveflow.core import planner
from coveflow.core.model import Job, Machine
from coveflow.core.pass_decisions import PassDecisions
from coveflow.core.planner_state import AcceleratorUse, PlannerState, tasks_by_zone
from coveflow.settings import Team, Tuning
from tests.pass_rules import SLOTS, RuleBroken, apply_and_check, draw_state
from tests.samples import flavor, spec
from tests.test_limits_meetings import LONG_S, Scenario
from tests.test_limits_meetings import job as job_spec

STATES = 2400
PARTS = 4  # tests among which the states are divided
PASS_GAPS_S = (0.15, 5.0, 0.0)  # s from a pass to the next one
AGED_S = c.FIRST_START_S + 50.0  # s; beyond every age limit of the planner
PREDICTED_S = 30.0

SMALL = flavor("m8")
LARGE = flavor("m16", cpus=16.0, ram_gb=64.0)
ACCELERATED = flavor("v12", cpus=12.0, accelerators=2.0, ram_gb=48.0)


def machine(name: str, zone: str, kind=SMALL) -> Machine:
    found = Machine(name, "", kind, zone, False)
    found.up = True
    return found


def started_before(name: str, **changes) -> Job:
    """A job that has waited for AGED_S and whose earlier attempts have all ended."""
    found = Job(spec(name, **changes), 0.0, 1)
    found.last_attempt_number = 1
    found.recompute_pending()
    return found


def aged_state(jobs: list[Job], machines: list[Machine]) -> PlannerState:
    return PlannerState(
        jobs=jobs,
        machines=machines,
        teams={"blue": Team("blue")},
        usage={},
        now=AGED_S,
        arrived_at={job.id: job.accepted_at for job in jobs},
        zone_by_machine={m.id: m.zone for m in machines},
        flavors=[SMALL, LARGE, ACCELERATED],
    )


def run_pass(state: PlannerState, full: bool) -> planner.Plan:
    predictions = {job.id: PREDICTED_S for job in state.jobs}
    return planner.plan(state, Tuning(), predictions, 200, None if full else {})


def starts_by_zone(plan: planner.Plan, state: PlannerState, job: str) -> dict[str, int]:
    zones: dict[str, int] = {}
    for start in plan.starts:
        if start.job == job:
            zone = state.zone_by_machine[start.machine]
            zones[zone] = zones.get(zone, 0) + start.count
    return zones


# --- random states ---------------------------------------------------------------------------


def play_states(seeds: Iterable[int]) -> None:
    """Run three passes over each random state, without a commit in between.

    Raises RuleBroken.
    """
    for seed in seeds:
        state, predictions = draw_state(seed)
        reservations = {} if seed // PARTS % 2 else None  # begins with a cheap or a full pass
        for gap_s in PASS_GAPS_S:
            plan = planner.plan(state, Tuning(), predictions, SLOTS, reservations)
            apply_and_check(state, plan)
            reservations = plan.reservations if reservations is None else None
            state.now += gap_s


@pytest.mark.parametrize("part", range(PARTS))
def test_every_plan_keeps_the_rules_of_a_pass(part):
    play_states(range(part, STATES, PARTS))


def test_starts_that_the_next_turn_does_not_count_are_detected(monkeypatch):
    """Planted bug, the earlier fault: each turn sees only the tasks placed before the pass."""
    monkeypatch.setattr(
        PassDecisions, "tasks_by_zone", lambda self, job: tasks_by_zone(job, self._state)
    )
    with pytest.raises(RuleBroken):
        play_states(range(STATES))


# --- zones -----------------------------------------------------------------------------------


@pytest.mark.parametrize("full", [True, False])
def test_an_array_bound_to_one_zone_starts_in_one_zone_after_a_long_wait(full):
    """Regression: the floor of its class started 2 tasks in the south, its turn 10 in the north."""
    job = started_before("j-1", tasks=12, cpus=4.0, one_zone=True)
    machines = [machine(f"n-{i}", "north", LARGE) for i in range(3)]
    machines += [machine(f"s-{i}", "south") for i in range(2)]
    state = aged_state([job], machines)
    # All in the zone that fits all of them, though the floor alone would fit either.
    assert starts_by_zone(run_pass(state, full), state, "j-1") == {"north": 12}


@pytest.mark.parametrize("full", [True, False])
def test_a_spread_array_keeps_its_share_of_each_zone_after_a_long_wait(full):
    """Regression: 6 of 8 tasks started in one zone, 2 for the floor and 4 in the job's turn."""
    job = started_before("j-1", tasks=8, cpus=1.0, spread=True)
    machines = [machine("n-1", "north", LARGE)]
    state = aged_state([job], machines)
    assert starts_by_zone(run_pass(state, full), state, "j-1") == {"north": 4}


@pytest.mark.parametrize("full", [True, False])
def test_shortages_count_all_starts_of_the_pass_by_zone(full):
    """Regression: they left out the starts for the floor, so that all zones seemed usable."""
    job = started_before("j-1", tasks=12, one_zone=True)
    other = started_before("j-2", tasks=14, workload="probe")
    large = machine("n-1", "north", LARGE)
    while other.pending:
        other.place(large, 0.0)
    plan = run_pass(aged_state([job, other], [large]), full)
    (shortage,) = plan.shortages
    assert shortage.tasks_by_zone == {"north": 2} and shortage.usable_zones == {"north"}


class LostMachineScenario(Scenario):
    """An array bound to one zone, alone on a machine in the south, with room for it in both zones.

    The south has room for two of its tasks and the north for three, as other work leaves it there.
    """

    def __init__(self) -> None:
        super().__init__(machines=3)
        self.bound = job_spec("j-000001", tasks=4, cpus=2.0, one_zone=True, spot=False)
        self._occupy("j-000010", 3.0, 130.0, zone="north", tasks=3, cpus=7.0)
        self._occupy("j-000011", 3.0, 130.0, zone="south", tasks=1, cpus=8.0)
        self._occupy("j-000012", 140.0, LONG_S, zone="north", tasks=3, cpus=5.0)
        self._occupy("j-000013", 140.0, LONG_S, zone="south", tasks=1, cpus=4.0)
        self.submit(20.0, self.bound, LONG_S)
        self.world.run(20.0 + AGED_S)

    def _occupy(self, name: str, at: float, run_s: float, **changes) -> None:
        self.submit(at, job_spec(name, workload="occupant", spot=False, **changes), run_s)

    def zones(self) -> list[str]:
        """Zones of the machines on which the bound job runs."""
        live = self.world.checker.running
        return [row.zone for (name, _), row in live.items() if name == self.bound.id]

    def is_placed_uncommitted(self) -> bool:
        state = self.state()
        job = state.jobs.get(self.bound.id) if state else None
        return job is not None and any(not p.committed for p in job.placed.values())


@pytest.mark.parametrize("trouble", ["", "commits take 2 s", "leader ends before the commit"])
def test_an_array_bound_to_one_zone_restarts_in_one_zone_after_its_machine_stopped(trouble):
    """Regression: with whole nodes, the review's case: two tasks restarted in each zone."""
    with LostMachineScenario() as scenario:
        world = scenario.world
        (lost,) = scenario.machines_of({scenario.bound.id})
        assert scenario.zones() == ["south"] * 4
        world.fleet.cloud.fail(lost, world.now)
        if trouble == "commits take 2 s":  # many passes run until the starts are committed
            world.slow(2.0, 40.0)
        elif trouble:
            world.when(scenario.is_placed_uncommitted, lambda: scenario.end_leader(6.0))
        world.run(world.now + 60.0)  # raises any violation
        zones = scenario.zones()
        assert len(set(zones)) == 1 and len(zones) >= 3, zones


# --- limits on how many start ----------------------------------------------------------------


@pytest.mark.parametrize("full", [True, False])
def test_a_failing_job_runs_one_task_at_a_time_beside_the_floor_of_its_class(full):
    """Regression: where another job of its class had a floor, it started one task a visit."""
    waiting, failing = started_before("j-1", tasks=4), started_before("j-2", tasks=8)
    failing.errors = 2
    state = aged_state([failing, waiting], [machine("a", "north", LARGE), machine("b", "north")])
    counts = starts_by_zone(run_pass(state, full), state, "j-2")
    assert counts == {"north": 1}


@pytest.mark.parametrize("full", [True, False])
def test_a_failing_job_takes_nothing_of_the_floor_of_its_class(full):
    """Regression: it was left out where the floor is computed, but not where it is used."""
    waiting, failing = started_before("j-1", tasks=4), started_before("j-2", tasks=8)
    failing.errors = 2
    urgent = Job(spec("j-3", tasks=99, deadline_s=90.0, priority=3), AGED_S - 5.0, 1)
    urgent.recompute_pending()
    machines = [machine("a", "north", LARGE), machine("b", "north")]
    state = aged_state([failing, waiting, urgent], machines)
    plan = run_pass(state, full)
    assert starts_by_zone(plan, state, "j-1") == {"north": 3}
    assert starts_by_zone(plan, state, "j-2") == {}


@pytest.mark.parametrize("full", [True, False])
def test_a_job_with_a_start_for_its_floor_takes_no_capacity_kept_for_others(full):
    """Regression: only a job of which nothing runs may, and the floor's starts were not counted."""
    job, others = started_before("j-1", tasks=40), started_before("j-2", tasks=5, workload="probe")
    gang = started_before("j-3", kind="gang", tasks=1, cpus=10.0, accelerators=2.0, ram_gb=30.0)
    small, accelerated = machine("a", "north"), machine("b", "north", ACCELERATED)
    gang.not_before = AGED_S + 1.0  # its accelerators stay free for it
    while others.pending:
        others.place(small, 0.0)
    state = aged_state([job, others, gang], [small, accelerated])
    state.accelerator_uses = frozenset({AcceleratorUse(6.0, 24.0)})
    plan = run_pass(state, full)
    assert {start.machine for start in plan.starts} == {"a"}
    assert sum(start.count for start in plan.starts) == 3


# --- preemption ------------------------------------------------------------------------------


def preemption_state(victim_arrived_at: float) -> PlannerState:
    """A job that runs on one machine and may start on others, and one that may preempt it."""
    full = machine("a", "north")
    idle = [machine(f"b-{i}", "north", LARGE) for i in range(4)]
    victim = Job(spec("j-1", tasks=10, priority=0), victim_arrived_at, 1)
    victim.recompute_pending()
    while full.cpus >= 1.0:
        victim.place(full, 0.0).running_since = 0.0
    urgent = Job(
        spec("j-2", tasks=1, cpus=8.0, types=["m8"], priority=3, deadline_s=45.0), AGED_S - 5.0, 1
    )
    urgent.recompute_pending()
    state = aged_state([victim, urgent], [full, *idle])
    state.usage = {"blue": (8.0, 0.0)}
    return state


def plan_preemption(state: PlannerState) -> planner.Plan:
    return planner.plan(state, Tuning(), {"j-1": 500.0, "j-2": 30.0}, 200)


def test_a_job_that_starts_in_a_pass_is_not_preempted_in_it():
    """Regression: the floor's starts were stopped at once, with the rest of the job."""
    plan = plan_preemption(preemption_state(victim_arrived_at=0.0))
    assert {start.job for start in plan.starts} == {"j-1"} and not plan.preempted_jobs


def test_a_job_that_is_preempted_in_a_pass_starts_nothing_in_it():
    """Regression: its waiting tasks were started in its turn, and stopped at once."""
    plan = plan_preemption(preemption_state(victim_arrived_at=AGED_S - 40.0))
    assert plan.preempted_jobs == ["j-1"] and not plan.starts


# --- shortages -------------------------------------------------------------------------------


def test_a_shortage_knows_that_the_job_starts_in_the_same_pass():
    """Regression: the job counted as never started, and on-demand machines were rented for it."""
    job = Job(spec("j-1", tasks=80, cpus=4.0), 0.0, 1)
    job.recompute_pending()
    (shortage,) = run_pass(aged_state([job], [machine("a", "north")]), True).shortages
    assert shortage.has_started and shortage.count == 8
