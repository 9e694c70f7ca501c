"""The operators' further troubles, each with others at once, every team at its limit."""

import pytest

from coveflow.lab import worlds
from coveflow.lab.further import FURTHER, further
from coveflow.lab.troubles import ACTIONS

SEEDS = range(16)  # each sort is the first one twice


def test_each_trouble_is_drawn_on_one_to_five_nodes():
    cases = [further(seed) for seed in range(200)]
    assert cases == [further(seed) for seed in range(200)]
    assert {case.name for case in cases} == set(FURTHER)
    assert {case.nodes for case in cases} == {1, 2, 3, 4, 5}
    drawn = {trouble.what for case in cases for trouble in case.troubles}
    assert drawn <= set(ACTIONS)
    assert drawn >= {
        "mute", "late commands", "kept reports", "close looks", "cancel at end", "odd requests",
        "lost answers", "sever",
    }  # fmt: skip


@pytest.mark.parametrize("seed", SEEDS)
def test_no_rule_breaks_and_all_ends_where_further_troubles_meet(seed):
    told = worlds.play(further(seed))
    assert not told.broken and not told.unfinished and not told.failures
