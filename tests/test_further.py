"""Further fault scenarios combined with others, with every team at its limit."""

import pytest

from coveflow.lab import worlds
from coveflow.lab.fault_actions import ACTIONS
from coveflow.lab.further import FURTHER_SCENARIOS, further

SEEDS = range(16)  # each scenario comes first twice


def test_all_scenarios_are_drawn_on_one_to_five_nodes():
    cases = [further(seed) for seed in range(200)]
    assert cases == [further(seed) for seed in range(200)]
    assert {case.name for case in cases} == set(FURTHER_SCENARIOS)
    assert {case.nodes for case in cases} == {1, 2, 3, 4, 5}
    drawn = {fault.what for case in cases for fault in case.faults}
    assert drawn <= set(ACTIONS)
    assert drawn >= {
        "mute", "late commands", "kept reports", "close looks", "cancel at end", "odd requests",
        "lost answers", "sever",
    }  # fmt: skip


@pytest.mark.parametrize("seed", SEEDS)
def test_no_rule_breaks_and_all_work_finishes_under_further_faults(seed):
    result = worlds.play(further(seed))
    assert not result.broken and not result.unfinished and not result.failures
