"""Combined fault scenarios with every team at its limit: no rule breaks and all work finishes."""

import pytest

from coveflow.core import pass_decisions, planner
from coveflow.core.model import Machine
from coveflow.lab import worlds
from coveflow.lab.combined import SCENARIOS, combined

SEEDS = range(0, 60, 5)  # twelve of the sixteen scenarios come first once


def test_cases_cover_all_scenarios_on_one_to_five_nodes():
    cases = [combined(seed) for seed in range(200)]
    assert cases == [combined(seed) for seed in range(200)]
    assert {case.nodes for case in cases} == {1, 2, 3, 4, 5}
    assert {case.name for case in cases} == set(SCENARIOS)
    back = [t.for_s for case in cases for t in case.faults if t.what == "end"]
    assert sum(for_s <= 1.0 for for_s in back) > len(back) / 2


@pytest.mark.parametrize("seed", SEEDS)
def test_no_rule_breaks_and_all_work_finishes_under_combined_faults(seed):
    result = worlds.play(combined(seed))
    assert not result.broken and not result.unfinished and not result.failures


def limits_ignored(monkeypatch) -> None:
    monkeypatch.setattr(
        pass_decisions, "count_within_limit", lambda spec, count, usage, teams: count
    )


def zones_ignored(monkeypatch) -> None:
    monkeypatch.setattr(Machine, "allows", lambda self, spec: True)


def one_team_never_starts(monkeypatch) -> None:
    real = planner.choose_machines

    def start_now(job, *other_args):
        return [] if job.spec.team == "guest" else real(job, *other_args)

    monkeypatch.setattr(planner, "choose_machines", start_now)


PLANTED = [
    (limits_ignored, "quota"), (zones_ignored, "wrong_place"),
    (one_team_never_starts, "waited"),
]  # fmt: skip


@pytest.mark.parametrize("plant, rule", PLANTED, ids=lambda it: getattr(it, "__name__", it))
def test_planted_bug_is_detected(monkeypatch, plant, rule):
    plant(monkeypatch)
    assert worlds.play(combined(SEEDS[2])).broken.startswith(rule)
