"""Slopes of each role's resource use, the tables built from them, and the scale run."""

import asyncio
import json
from dataclasses import replace
from pathlib import Path

import pytest
from click.testing import CliRunner
from hypothesis import given
from hypothesis import strategies as st

from coveflow.cli.lab import lab
from coveflow.lab import capacity, scale, scale_run, slopes
from coveflow.lab.scale import Load, LoadLimitError, Reading, Traffic

DOCS = Path(__file__).parent.parent / "docs"
SMALL = Load(machines=20, running=500, starts=50.0)


def reading(load: Load, leader: float, book: int = 0) -> Reading:
    return Reading(
        load=load, machines=load.machines, running=float(load.running), starts=load.starts,
        cores={"leader": leader, "follower": leader / 4},
        traffic={"worker to follower": Traffic(4.0, 400.0, 40.0), "leader to state": Traffic(1.0)},
        book_bytes=book, record_bytes=0,
    )  # fmt: skip


# --- fits ----------------------------------------------------------------------------------


@given(st.floats(1e-6, 1e-2), st.floats(0.01, 0.5))
def test_fit_recovers_slope_of_linear_figure(slope, at_zero):
    rows = [
        reading(load, at_zero + slope * load.machines)
        for load in slopes.loads("machines")
    ]  # fmt: skip
    found = slopes.fit("leader", "cores", "machines", rows)
    assert found.slope == pytest.approx(slope, rel=1e-6)
    assert found.at_zero == pytest.approx(at_zero, rel=1e-3, abs=1e-6)
    assert found.is_linear and found.residual < 1e-6


def test_quadratic_figure_is_not_linear():
    rows = [reading(load, 1e-8 * load.machines**2) for load in slopes.loads("machines")]
    assert not slopes.fit("leader", "cores", "machines", rows).is_linear


def test_constant_figure_has_zero_slope():
    rows = [reading(load, 0.3) for load in slopes.loads("teams")]
    found = slopes.fit("leader", "cores", "teams", rows)
    assert (found.slope, found.at_zero) == (0.0, pytest.approx(0.3))


def test_each_sweep_has_four_points_and_changes_one_variable():
    for variable in slopes.SWEEPS:
        loads = list(slopes.loads(variable))
        assert len(loads) >= 4
        assert len({getattr(load, variable) for load in loads}) == len(loads)
        for load in loads:
            load.check()
            assert replace(load, **{variable: getattr(slopes.BASE, variable)}) == slopes.BASE


def test_worker_figures_are_per_worker():
    found = slopes.figures("worker", reading(replace(slopes.BASE, machines=4), 0.1))
    assert found == {"messages": 1.0, "bytes": 110.0}


# --- predictions ---------------------------------------------------------------------------


def leader_readings(variable: str, cost: float) -> list[Reading]:
    """Readings of a leader whose cores grow by `cost` per unit of the variable above the base."""
    base = getattr(slopes.BASE, variable)
    return [
        reading(load, 0.2 + cost * (getattr(load, variable) - base))
        for load in slopes.loads(variable)
    ]


def test_effects_of_variables_are_additive():
    found = slopes.fit_all(
        "leader",
        {
            "machines": leader_readings("machines", 1e-4),
            "starts": leader_readings("starts", 1e-3),
        },
    )
    load = replace(slopes.BASE, machines=5500, starts=1200.0)
    [cores] = [it for it in capacity.predict(found, load) if it.figure == "cores"]
    assert cores.parts == pytest.approx({"machines": 0.45, "starts": 1.1})
    assert cores.value == pytest.approx(0.2 + 0.45 + 1.1)


def test_tables_replace_marked_sections_and_missing_markers_are_an_error():
    begin = capacity.MARKER_BEGIN.format("loads")
    page = f"# Title\n\n{begin}\nold\n{capacity.MARKER_END}\n\nText.\n"
    made = capacity.replace_tables(page, {"loads": "| new |"})
    assert "| new |" in made and "old" not in made and made.endswith("Text.\n")
    assert capacity.replace_tables(made, {"loads": "| new |"}) == made
    with pytest.raises(KeyError):
        capacity.replace_tables(page, {"points": "| new |"})


def test_capacity_page_matches_its_readings():
    rows = json.loads((DOCS / "data" / "slopes.json").read_text(encoding="utf-8"))["readings"]
    sweeps = {name: [scale.from_row(row) for row in found] for name, found in rows.items()}
    page = (DOCS / "CAPACITY.md").read_text(encoding="utf-8")
    assert capacity.replace_tables(page, capacity.tables(sweeps)) == page


# --- measuring -----------------------------------------------------------------------------


def test_steady_load_is_measured_for_each_role():
    found = scale.measure(SMALL)
    assert found.machines == SMALL.machines
    assert found.starts == pytest.approx(SMALL.starts, rel=0.3)
    assert found.running >= SMALL.running
    assert 0.0 < found.cores["follower"] < found.cores["leader"] < 1.0
    assert found.book_bytes > 0 and found.record_bytes > 0
    per_s = slopes.figures("worker", found)["messages"]
    assert per_s >= 1 / 2.5 * 0.8  # reports every 2.5 s, with 25% jitter
    assert scale.from_row(json.loads(json.dumps(scale.to_row(found)))) == found


@pytest.mark.parametrize(
    "load, limit",
    [
        (Load(machines=10, running=100_000), "do not fit onto 10 machines"),
        (Load(machines=1, running=0, zones=2), "a machine in each zone"),
        (Load(teams=0), "a team"),
    ],
)
def test_load_beyond_limits_is_rejected(load, limit):
    with pytest.raises(LoadLimitError, match=limit):
        scale.measure(load)


@pytest.mark.parametrize(
    "command, limit",
    [
        (["scale", "slopes", "nobody"], "no such role"),
        (["scale", "slopes", "--variable", "colour"], "no such one"),
        (["scale", "slopes", "--at-once", "10000"], "half of this machine's memory"),
        (["scale", "run", "--machines", "1000000", "--running", "0"], "open files"),
    ],
)
def test_bad_input_is_rejected_before_anything_starts(command, limit, tmp_path, monkeypatch):
    monkeypatch.chdir(tmp_path)
    found = CliRunner().invoke(lab, command)
    assert found.exit_code != 0
    assert limit in found.output + str(found.exception)
    assert not list(tmp_path.iterdir())


# --- real processes ------------------------------------------------------------------------


def test_real_controllers_serve_hollow_workers(tmp_path, monkeypatch):
    monkeypatch.setattr(scale_run, "SETTLE_S", 8.0)
    load = Load(machines=20, running=0, starts=10.0)
    found = asyncio.run(scale_run.run(load, 12.0, tmp_path / "run"))
    assert not found.broken and not found.unfinished and not found.refused
    assert found.started_per_s == pytest.approx(load.starts, rel=0.5)
    assert len(found.leaders) == 1
    assert set(found.usage) == {"state", "fleet", *(f"host-{i}" for i in range(scale.NODES))}
    assert all(0.0 < it.cores < 1.0 and it.most_mb > 5.0 for it in found.usage.values())
