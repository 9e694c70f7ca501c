"""Two or three of the operators' meetings at once, with every team at its limit."""

import pytest

from coveflow.core import planner
from coveflow.core.model import Machine
from coveflow.lab import worlds
from coveflow.lab.combined import SORTS, combined

SEEDS = range(0, 60, 5)  # twelve of sixteen sorts are a first one


def test_cases_meet_at_limits_on_one_to_five_nodes():
    cases = [combined(seed) for seed in range(200)]
    assert cases == [combined(seed) for seed in range(200)]
    assert {case.nodes for case in cases} == {1, 2, 3, 4, 5}
    assert {case.name for case in cases} == set(SORTS)
    back = [t.for_s for case in cases for t in case.troubles if t.what == "end"]
    assert sum(for_s <= 1.0 for for_s in back) > len(back) / 2


@pytest.mark.parametrize("seed", SEEDS)
def test_no_rule_breaks_and_all_ends_where_meetings_meet(seed):
    told = worlds.play(combined(seed))
    assert not told.broken and not told.unfinished and not told.failures


def limits_are_forgotten(monkeypatch) -> None:
    monkeypatch.setattr(planner, "count_within_limit", lambda spec, count, usage, teams: count)


def zones_are_forgotten(monkeypatch) -> None:
    monkeypatch.setattr(Machine, "allows", lambda self, spec: True)


def one_team_never_starts(monkeypatch) -> None:
    honest = planner.choose_machines

    def start_now(job, *others):
        return [] if job.spec.team == "guest" else honest(job, *others)

    monkeypatch.setattr(planner, "choose_machines", start_now)


PLANTED = [
    (limits_are_forgotten, "quota"), (zones_are_forgotten, "wrong_place"),
    (one_team_never_starts, "waited"),
]  # fmt: skip


@pytest.mark.parametrize("plant, rule", PLANTED, ids=lambda it: getattr(it, "__name__", it))
def test_the_cases_notice_what_was_wrong(monkeypatch, plant, rule):
    plant(monkeypatch)
    assert worlds.play(combined(SEEDS[2])).broken.startswith(rule)
