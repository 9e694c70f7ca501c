"""The model check finds no broken rule in the real code, and finds each planted bug."""

import logging

import pytest

from coveflow.lab import modelcheck as mc
from coveflow.lab.planted import PLANTED, PLANTED_CANCELLED


@pytest.fixture(autouse=True)
def no_logging():
    logging.disable(logging.CRITICAL)
    yield
    logging.disable(logging.NOTSET)


@pytest.mark.parametrize("script", mc.SCRIPTS, ids=str)
@pytest.mark.parametrize("nodes", [2, 3])
def test_no_rule_breaks_in_any_order_to_a_short_depth(script, nodes):
    found = mc.search(mc.SCRIPTS[script], 3, nodes)
    assert not found.broken and found.whole and found.states > 200


def test_no_rule_breaks_on_long_paths():
    assert not mc.walks(300).broken
    assert not mc.walks(300, cancelled=True).broken


@pytest.mark.parametrize("bug", [*PLANTED, *PLANTED_CANCELLED], ids=str)
def test_a_planted_bug_is_found(bug):
    cancelled = bug in PLANTED_CANCELLED
    with (PLANTED | PLANTED_CANCELLED)[bug]():
        found = mc.walks(4000, cancelled=cancelled)
    assert found.broken, f"not found in {found.states} paths"
    # The bug is the cause: the same path breaks no rule on the real code.
    with mc.stepped():
        bounds = mc.CANCELLATION_BOUNDS if cancelled else mc.LONG_PATH_BOUNDS
        model = mc.Model(at_once=1 + (found.states - 1) % 2, bounds=bounds)
        for choice in found.path:
            if choice in model.choices():
                model.do(choice)
