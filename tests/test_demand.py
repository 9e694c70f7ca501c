"""Demand estimates of a class from its recent arrivals."""

from coveflow.core.demand import DemandTracker
from tests.samples import spec


def test_steady_arrivals_give_a_rate_and_a_single_burst_does_not():
    steady, rush = DemandTracker(), DemandTracker()
    for at in range(0, 120, 4):
        steady.add(spec(tasks=2), float(at))
    for at in range(30):
        rush.add(spec(tasks=50), 60.0 + at / 10)
    assert abs(steady.estimate(120.0).tasks_per_s - 0.5) < 0.15
    assert rush.estimate(120.0).tasks_per_s == 0.0
    assert steady.estimate(400.0).tasks_per_s == 0.0
