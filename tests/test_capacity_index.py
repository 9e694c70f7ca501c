"""The capacity index gives the same starts as sorting all options, and examines few machines."""

from unittest import mock

import pytest
from hypothesis import Phase, given, settings
from hypothesis import strategies as st

from coveflow.core import capacity_index, placement, planner
from coveflow.core.model import Job, Machine
from coveflow.core.planner_state import PlannerState
from coveflow.settings import Team, Tuning
from tests.samples import flavor, spec

SLOTS = 20
FLAVORS = [flavor("m8"), flavor("m16", cpus=16.0, ram_gb=40.0, fetch_gb_per_s=2.0)]
IMAGES = ["img", "other"]


@st.composite
def machines(draw) -> list[Machine]:
    found = []
    for i in range(draw(st.integers(1, 12))):
        one = Machine(
            f"n-{i:06d}",
            "",
            draw(st.sampled_from(FLAVORS)),
            draw(st.sampled_from(["north", "south"])),
            draw(st.booleans()),
        )
        one.up = True
        one.slowdown = draw(st.sampled_from([0.9, 1.0, 1.04, 1.2]))
        one.images.update(dict.fromkeys(draw(st.sets(st.sampled_from(IMAGES))), 1.0))
        one.ends_at = draw(st.sampled_from([None, None, None, 20.0]))
        if draw(st.booleans()):
            other = Job(spec(f"j-{900 + i:06d}", cpus=draw(st.sampled_from([1.0, 3.0]))), 0.0, 1)
            other.recompute_pending()
            other.place(one, 0.0)
        found.append(one)
    return found


@st.composite
def jobs(draw) -> list[Job]:
    found = []
    for i in range(draw(st.integers(1, 8))):
        one = Job(
            spec(
                f"j-{i:06d}",
                tasks=draw(st.integers(1, 14)),
                cpus=draw(st.sampled_from([0.5, 1.0, 2.0, 5.0])),
                ram_gb=draw(st.sampled_from([1.0, 9.0])),
                image=draw(st.sampled_from(IMAGES)),
                zone=draw(st.sampled_from([None, None, "north"])),
                spot=draw(st.booleans()),
                spread=draw(st.booleans()),
                checkpoint_s=draw(st.sampled_from([0.0, 10.0])),
                deadline_s=draw(st.sampled_from([None, 60.0])),
            ),
            float(i),
            1,
        )
        one.recompute_pending()
        found.append(one)
    return found


def starts(planner_input: PlannerState, full: bool) -> list[tuple[str, str, int]]:
    predictions = {job.id: 15.0 for job in planner_input.jobs}
    plan = planner.plan(planner_input, Tuning(), predictions, SLOTS, None if full else {})
    return [(start.job, start.machine, start.count) for start in plan.starts]


def sorted_options(job, size, view, eligible, leaving, predicted_s):
    """Reference implementation: examines every machine for every job."""
    capacities = [capacity for key in eligible for capacity in view.pools[key].capacities]
    return placement._sorted_options(job, size, [*capacities, *leaving], view.tight, predicted_s)


def state(found: list[Job], fleet: list[Machine]) -> PlannerState:
    teams = {"blue": Team("blue")}
    return PlannerState(found, fleet, teams, {}, 10.0, {job.id: job.accepted_at for job in found})


@settings(
    derandomize=True, max_examples=120, deadline=None, phases=[Phase.explicit, Phase.generate]
)
@given(jobs(), machines(), st.booleans())
def test_index_gives_the_same_starts_as_sorting_all_options(found, fleet, full):
    planner_input = state(found, fleet)
    by_index = starts(planner_input, full)
    with mock.patch.object(placement, "_lazy_options", sorted_options):
        assert by_index == starts(planner_input, full)


def test_an_entry_that_is_not_moved_after_an_allocation_is_detected(monkeypatch):
    """Injected fault: the index does not move the entry of a machine whose CPUs were allocated."""
    monkeypatch.setattr(
        capacity_index.CapacityIndex,
        "allocate",
        lambda index, capacity, spec, count: capacity.allocate(spec, count),
    )
    with pytest.raises((AssertionError, ExceptionGroup)):
        test_index_gives_the_same_starts_as_sorting_all_options()


def test_a_job_examines_few_machines_beyond_those_it_takes():
    fleet = []
    for i in range(400):
        one = Machine(f"n-{i:06d}", "", FLAVORS[0], "north", False)
        one.up = True
        fleet.append(one)
    found = []
    for i in range(50):
        one = Job(spec(f"j-{i:06d}", tasks=4), float(i), 1)
        one.recompute_pending()
        found.append(one)
    plan = planner.plan(state(found, fleet), Tuning(), {}, SLOTS, {})
    assert sum(start.count for start in plan.starts) == 200
    assert plan.steps <= 100  # 20,000 if each job examines each machine
