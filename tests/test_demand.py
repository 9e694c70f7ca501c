"""What is expected of a class by what it asked for lately."""

from coveflow.core.demand import Demand
from tests.samples import spec


def test_a_steady_stream_is_expected_to_go_on_and_a_single_rush_is_not():
    steady, rush = Demand(), Demand()
    for at in range(0, 120, 4):
        steady.add(spec(tasks=2), float(at))
    for at in range(30):
        rush.add(spec(tasks=50), 60.0 + at / 10)
    assert abs(steady.asked(120.0).tasks_per_s - 0.5) < 0.15
    assert rush.asked(120.0).tasks_per_s == 0.0
    assert steady.asked(400.0).tasks_per_s == 0.0
