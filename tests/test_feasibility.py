"""Every accepted job can run, and every rejected job cannot.

An independent oracle enumerates all placements; a job that it accepts is run by the planner.
"""

import asyncio
import itertools
import math
from types import SimpleNamespace

import cbor2
import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from coveflow import constants as c
from coveflow.core import (
    estimates,
    feasibility,
    fleet,
    planner,
    planner_state,
    preemption,
    timeline,
)
from coveflow.core.feasibility import Infeasible, allowed_types, infeasible
from coveflow.core.model import Flavor, Job, Machine, Spec
from coveflow.lab import site as sites
from coveflow.lab.virtual import Request, World
from coveflow.lab.worlds import site
from coveflow.net.http import Unavailable
from coveflow.settings import Team, Tuning
from coveflow.state import keys as sk
from tests.samples import flavor, spec
from tests.test_front import FakeStore, make_front, store_job
from tests.test_wire import ARBITRARY_VALUES, VALID_SUBMISSION
from tests.whole import ZONES

WIDE = flavor("wide", cpus=4.0, ram_gb=8.0, cache_gb=20.0, zones=["a", "b"])
DEEP = flavor("deep", cpus=2.0, accelerators=2.0, ram_gb=16.0, cache_gb=60.0, zones=["b"])
NOWHERE = flavor("nowhere", cpus=64.0, zones=[])
TYPES = [WIDE, DEEP, NOWHERE]
TEAM = Team("blue", cpus_max=8.0, accelerators_max=4.0)


@pytest.mark.parametrize(
    ("changes", "why"),
    [
        ({}, None),
        ({"team": "nobody"}, Infeasible.TEAM),
        ({"cpus": 4.0}, None),
        ({"cpus": 4.1}, Infeasible.MACHINE),
        ({"ram_gb": 17.0}, Infeasible.MACHINE),
        ({"cpus": 3.0, "ram_gb": 9.0}, Infeasible.MACHINE),  # each fits one type, no type both
        ({"accelerators": 3.0}, Infeasible.MACHINE),
        ({"cpus": 0.0, "ram_gb": 0.0, "image_gb": 0.0}, None),
        ({"types": ["wide"], "accelerators": 1.0}, Infeasible.MACHINE),
        ({"types": ["gone"]}, Infeasible.MACHINE),
        ({"types": ["nowhere"]}, Infeasible.MACHINE),
        ({"types": ["gone", "wide"]}, None),
        ({"types": ["deep"], "zone": "a"}, Infeasible.ZONE),
        ({"types": ["deep"], "zone": "b", "one_zone": True, "kind": "gang"}, None),
        ({"zone": "c"}, Infeasible.ZONE),
        ({"zone": "a", "accelerators": 1.0}, Infeasible.ZONE),
        ({"image_gb": 60.0}, None),
        ({"image_gb": 60.1}, Infeasible.IMAGE),
        ({"image_gb": 30.0, "cpus": 3.0}, Infeasible.IMAGE),  # the type with the disk is too small
        ({"image_gb": 30.0, "zone": "a"}, Infeasible.IMAGE),
        ({"spread": True, "kind": "gang"}, None),
        ({"spread": True, "kind": "gang", "one_zone": True}, Infeasible.SPREAD),
        ({"spread": True, "kind": "gang", "one_zone": True, "tasks": 1}, None),
        ({"spread": True, "kind": "gang", "tasks": 2, "zone": "a"}, Infeasible.SPREAD),
        ({"spread": True, "kind": "service", "tasks": 2, "zone": "a"}, Infeasible.SPREAD),
        ({"spread": True, "kind": "gang", "types": ["deep"]}, Infeasible.SPREAD),
        ({"spread": True, "kind": "gang", "image_gb": 30.0}, Infeasible.SPREAD),
        # An array's tasks may run one after another.
        ({"spread": True, "tasks": 9, "zone": "a", "one_zone": True}, None),
        ({"spread": True, "tasks": 9, "types": ["deep"]}, None),
        ({"kind": "array", "tasks": 100_000, "cpus": 4.0}, None),
        ({"kind": "gang", "tasks": 8}, None),
        ({"kind": "gang", "tasks": 9}, Infeasible.LIMIT),
        ({"kind": "service", "tasks": 9}, Infeasible.LIMIT),
        ({"kind": "gang", "tasks": 5, "accelerators": 1.0}, Infeasible.LIMIT),
        ({"kind": "gang", "tasks": 80, "cpus": 0.1}, None),  # 80 times 0.1 is not quite 8
        ({"kind": "gang", "tasks": 100_000, "cpus": 0.0}, None),
    ],
)
def test_the_reason_of_a_rejection(changes, why):
    job = spec(**changes)
    assert infeasible(job, TEAM if job.team == TEAM.name else None, TYPES) is why


def test_a_limit_of_zero_means_no_limit():
    assert infeasible(spec(kind="gang", tasks=1000), Team("blue"), TYPES) is None


@pytest.mark.parametrize(
    ("changes", "types"),
    [
        ({}, None),
        ({"types": ["gone", "wide"]}, ["wide"]),
        ({"image_gb": 30.0}, ["deep", "nowhere"]),
        ({"image_gb": 30.0, "types": ["wide", "deep"]}, ["deep"]),
    ],
)
def test_types_that_are_unknown_or_cannot_hold_the_image_are_left_out(changes, types):
    assert allowed_types(spec(**changes), TYPES) == types


# --- independent oracle -----------------------------------------------------------------


def can_run(job: Spec, team: Team, types: list[Flavor]) -> bool:
    """Try every placement of the tasks that have to run together."""
    places = [
        (kind, zone)
        for kind in types
        for zone in kind.zones
        if (not job.types or kind.name in job.types) and (not job.zone or zone == job.zone)
        if kind.cpus >= job.cpus and kind.ram_gb >= job.ram_gb and kind.cache_gb >= job.image_gb
        if kind.accelerators >= job.accelerators
    ]
    together = job.tasks if job.kind in ("gang", "service") else 1
    if team.cpus_max and together * job.cpus > team.cpus_max:
        return False
    if team.accelerators_max and together * job.accelerators > team.accelerators_max:
        return False
    for chosen in itertools.product(places, repeat=together):
        zones = [zone for _, zone in chosen]
        if job.one_zone and len(set(zones)) > 1:
            continue
        if job.spread and any(zones.count(zone) > math.ceil(job.tasks / 2) for zone in zones):
            continue
        return True
    return False


def grid() -> list[Spec]:
    """Every combination of a few values of each field that a rejection may depend on."""
    fields = {
        "kind": ["array", "gang", "service"], "tasks": [1, 2, 3], "spread": [False, True],
        "one_zone": [False, True], "zone": [None, "a", "b", "c"],
        "types": [None, ["wide"], ["deep"], ["gone"]], "image_gb": [1.0, 30.0, 61.0],
        "cpus": [1.0, 3.0],
    }  # fmt: skip
    rows = itertools.product(*fields.values())
    return [spec(**dict(zip(fields, row, strict=True))) for row in rows]


def check_grid() -> None:
    for limit in (0.0, 5.0):
        team = Team("blue", cpus_max=limit)
        for job in grid():
            assert (infeasible(job, team, TYPES) is None) == can_run(job, team, TYPES), job


def test_exactly_the_jobs_without_any_placement_are_rejected():
    check_grid()


def _one_zone_forgotten(job: Spec, holding: list[Flavor]) -> bool:
    zones = {zone for kind in holding for zone in kind.zones if job.zone in (None, zone)}
    return job.spread and job.kind != "array" and job.tasks > 1 and len(zones) < 2


@pytest.mark.parametrize(
    ("name", "bug"),
    [
        ("_spread_fails", lambda job, holding: False),
        ("_spread_fails", _one_zone_forgotten),
        ("_spread_fails", lambda job, holding: (
            job.spread and job.kind != "array" and job.tasks > 1
            and (job.one_zone or job.zone is not None))),  # ignores types offered in one zone
        ("_min_concurrent_tasks", lambda job: job.tasks),  # rejects arrays that can run in parts
        ("_min_concurrent_tasks", lambda job: 1),
        ("_allowed_zones", lambda job, kind: set(kind.zones)),
        ("types_that_fit", lambda job, kinds: list(kinds)),  # ignores the image and the zone
        ("_over_limit", lambda job, team: False),
        ("fits_type", lambda job, kind: kind.cpus >= job.cpus),  # ignores the allowed types
    ],
)  # fmt: skip
def test_the_oracle_detects_a_wrong_rule(monkeypatch, name, bug):
    monkeypatch.setattr(feasibility, name, bug)
    with pytest.raises(AssertionError):
        check_grid()


AMOUNTS = st.sampled_from([0.0, 0.1, 0.5, 1.0, 2.0, 3.0])
KINDS = st.builds(
    flavor,
    st.sampled_from(["x", "y", "z"]),
    cpus=st.sampled_from([1.0, 2.0, 4.0]),
    accelerators=st.sampled_from([0.0, 2.0]),
    ram_gb=st.sampled_from([1.0, 4.0]),
    cache_gb=st.sampled_from([1.0, 9.0]),
    zones=st.lists(st.sampled_from("abc"), max_size=3, unique=True),
)
JOBS = st.builds(
    spec,
    kind=st.sampled_from(["array", "gang", "service"]),
    tasks=st.integers(1, 4),
    cpus=AMOUNTS,
    accelerators=st.sampled_from([0.0, 0.0, 1.0]),
    ram_gb=AMOUNTS,
    image_gb=st.sampled_from([0.0, 2.0, 9.0, 10.0]),
    types=st.none() | st.lists(st.sampled_from("xyzg"), min_size=1, max_size=3),
    zone=st.none() | st.sampled_from("abc"),
    one_zone=st.booleans(),
    spread=st.booleans(),
)
TEAMS = st.builds(
    Team,
    st.just("blue"),
    cpus_max=st.sampled_from([0.0, 1.0, 4.0]),
    accelerators_max=st.sampled_from([0.0, 2.0]),
)


def runs(job: Spec, team: Team, kinds: list[Flavor]) -> bool:
    """Whether the planner completes the job, or starts all tasks of a service."""
    offers = [(kind, zone) for kind in kinds for zone in kind.zones] * job.tasks
    machines = {
        f"n-{i}": Machine(f"n-{i}", "", kind, zone, False, up=True)
        for i, (kind, zone) in enumerate(offers)
    }
    kept = Job(job, 0.0, 1)
    kept.recompute_pending()
    for turn in range(2 * job.tasks):
        state = planner_state.PlannerState(
            [kept], list(machines.values()), {team.name: team}, {}, 10.0 * turn, {job.id: 0.0},
            zone_by_machine={m.id: m.zone for m in machines.values()}, flavors=kinds,
        )  # fmt: skip
        for start in planner.plan(state, Tuning(), {job.id: 5.0}, 200).starts:
            for _ in range(start.count):
                kept.place(machines[start.machine], state.now)
        if job.kind == "service":
            return len(kept.placed) == job.tasks
        for task, placed in list(kept.placed.items()):
            del kept.placed[task]
            machines[placed.machine].placements.clear()
            machines[placed.machine].release(job)
            kept.mark_done(task)
    return kept.is_complete


@settings(derandomize=True, max_examples=300, deadline=None)
@given(JOBS, TEAMS, st.lists(KINDS, min_size=1, max_size=3, unique_by=lambda kind: kind.name))
def test_accepted_jobs_run_and_rejected_jobs_cannot(job, team, kinds):
    accepted = infeasible(job, team, kinds) is None
    assert accepted == can_run(job, team, kinds)
    if accepted:
        narrowed = msgspec.structs.replace(job, types=allowed_types(job, kinds))
        assert runs(narrowed, team, kinds)


# --- responses to users -----------------------------------------------------------------


class Writing(FakeStore):
    """A store that also accepts submissions."""

    def __init__(self) -> None:
        super().__init__()
        self.changes = SimpleNamespace(rate=50.0, refill=lambda: 50.0)

    async def commit_with_retry(self, guards, writes, deadline=None):
        self._called()
        self.keys |= {key: (value, 9) for key, value in writes.items()}
        return 9


def node(types: list[Flavor] = TYPES):
    frontend = make_front(Writing())
    frontend.teams = {"vision": TEAM}
    frontend.owner.inbox.flavors.update({kind.name: kind for kind in types})
    return frontend


def submit(frontend, body: bytes) -> int:
    try:
        return asyncio.run(frontend.submit(body)).status
    except Unavailable:
        return 503


FINE = VALID_SUBMISSION | {
    "flavors": ["deep"],
    "cpus": 1.0,
    "ram_gb": 1.0,
    "pieces": 4,
    "shape": "array",
}


def body(**changes) -> bytes:
    return cbor2.dumps(FINE | changes)


def test_submissions_get_the_status_of_the_protocol():
    assert submit(node(), body()) == 201
    assert submit(node(), body(scatter=True, shape="gang")) == 422
    assert submit(node(), body(owner="nobody")) == 422
    assert submit(node(), body(pieces=0)) == 400
    assert submit(node(), b"\xff") == submit(node(), b"") == submit(node(), b"\x01") == 400
    # Without machine types a node cannot decide, but a malformed body is rejected regardless.
    assert submit(node([]), body()) == 503
    assert submit(node([]), body(pieces=0)) == 400


def test_a_body_over_the_limit_is_rejected_before_it_is_decoded():
    def told(size: int) -> int:
        request = Request("POST", "/work", {}, b"\x00" * size)
        return asyncio.run(node().handle(request)).status

    assert (told(c.MAX_BODY), told(c.MAX_BODY + 1)) == (400, 413)


@settings(derandomize=True, max_examples=200, deadline=None)
@given(
    st.sampled_from(sorted(FINE)),
    ARBITRARY_VALUES | st.sampled_from(["deep", "a", "b", 0, 9, 1e308, 5e-324]),
)
def test_any_junk_value_gets_a_status_of_the_protocol(name, junk):
    frontend = node()
    status = submit(frontend, body(**{name: junk}))
    assert status in (201, 400, 422)
    assert (status == 201) == bool(frontend.store.keys)


@pytest.mark.parametrize("wrong", [{"pieces": 0}, {"owner": "nobody"}, {"size_gb": 1e6}])
def test_a_known_id_is_looked_up_before_a_job_is_rejected(wrong):
    """An older build may have accepted it, or another node of which this one has not heard yet."""
    frontend = node()
    store_job(frontend, "j-000412", current=False)
    assert submit(frontend, body(**wrong)) == 200
    frontend.store.keys = {sk.FINAL_RECORD + "j-000412": ({"status": "done", "done": 4}, 9)}
    frontend.owner.inbox.accepted.clear()
    assert submit(frontend, body(**wrong)) == 200
    frontend = node()
    frontend.store.down = True
    assert submit(frontend, body(**wrong)) == 503


def test_the_record_names_only_types_that_can_run_the_job():
    frontend = node()
    assert submit(frontend, body(flavors=["gone", "wide", "deep", "deep"], size_gb=30.0)) == 201
    assert frontend.store.keys[sk.JOB + "j-000412"][0]["spec"]["types"] == ["deep"]


# --- whole controllers ------------------------------------------------------------------

LATE_S = 60.0
BOUND = {
    "j-000001": dict(kind="gang", spread=True, one_zone=True),
    "j-000002": dict(kind="gang", spread=True, zone="north"),
    "j-000003": dict(kind="service", spread=True, zone="south"),
    "j-000004": dict(kind="gang", image_gb=61.0),
    "j-000005": dict(kind="array", spread=True, zone="north", one_zone=True),
    "j-000006": dict(kind="gang", spread=True),
}


def play_bound_jobs() -> World:
    with World(sites.parse(site(("north", "south"), len(ZONES), 3), "test"), ZONES) as world:
        world.polls = True
        for name, changes in BOUND.items():
            job = spec(name, workload="tally", expected_s=5.0, **changes)
            world.at(4.0, lambda job=job: world.submit(job, "host-1"))
        world.run(LATE_S)
        assert not world.checker.violations
        return world


def check_bound_jobs(world: World) -> None:
    status = {name: world.answers[name][0] for name in BOUND}
    assert status == dict(zip(BOUND, [422, 422, 422, 422, 201, 201], strict=True))
    assert {world.checker.jobs[name].final_state for name in ("j-000005", "j-000006")} == {"done"}


def test_impossible_jobs_are_rejected_and_arrays_that_run_in_parts_end():
    check_bound_jobs(play_bound_jobs())


def test_without_the_spread_rule_impossible_jobs_wait_forever(monkeypatch):
    monkeypatch.setattr(feasibility, "_spread_fails", lambda job, holding: False)
    world = play_bound_jobs()
    for name in ("j-000001", "j-000002"):
        assert world.answers[name][0] == 201 and not world.checker.jobs[name].done
    with pytest.raises(AssertionError):
        check_bound_jobs(world)


# --- extreme values in a planning pass --------------------------------------------------

AMOUNTS_OF_A_MACHINE = ("cpus", "accelerators", "ram_gb")  # larger values fit no machine
NUMBERS = (*AMOUNTS_OF_A_MACHINE, "expected_s", "image_gb", "save_s", "deadline_s", "checkpoint_s")
EXTREMES = [
    {name: value}
    for name in NUMBERS
    for value in (0.0, 5e-324, 1e-12, 1.7e308)
    if value < 1.0 or name not in AMOUNTS_OF_A_MACHINE
]
PASS_MOST_STEPS = 20_000  # machines and buckets that a pass may examine for these few machines


def plan_extremes(changes: dict) -> None:
    """Run full and cheap passes over all kinds of such jobs, on machines that fill up."""
    kinds = [WIDE, flavor("acc", cpus=8.0, accelerators=4.0, zones=["a", "b"])]
    machines = {
        f"n-{i}": Machine(
            f"n-{i}", "", kinds[i % 2], "ab"[i // 2 % 2], False, up=True, slowdown=1.3
        )
        for i in range(8)
    }
    sorts = [("array", 100_000), ("gang", 3), ("gang", 100_000), ("service", 2)]
    shared = [{}, {"deadline_s": 60.0}, {"one_zone": True}, {"spread": True, "checkpoint_s": 9.0}]
    jobs: dict[str, Job] = {}
    for i, ((kind, tasks), more) in enumerate(itertools.product(sorts, shared)):
        made = spec(f"j-{i}", kind=kind, tasks=tasks, priority=i % 4, **more | changes)
        jobs[made.id] = Job(made, 0.0, 1)
        jobs[made.id].recompute_pending()
    predictor, team = estimates.Predictor(), Team("blue", cpus=4.0, cpus_max=1e4)
    uses = frozenset(
        filter(None, (planner_state.accelerator_use(job.spec) for job in jobs.values()))
    )
    holds = None
    for turn in range(4):
        state = planner_state.PlannerState(
            list(jobs.values()), list(machines.values()), {"blue": team}, {}, 5.0 * turn,
            dict.fromkeys(jobs, 0.0), zone_by_machine={m.id: m.zone for m in machines.values()},
            flavors=kinds, accelerator_uses=uses,
            class_demands=[planner_state.ClassDemand(job.spec, 1e5) for job in jobs.values()],
        )  # fmt: skip
        predictions = {name: predictor.predict(job.spec) for name, job in jobs.items()}
        plan = planner.plan(state, Tuning(), predictions, 200, holds if turn % 2 else None)
        holds = plan.reservations if not turn % 2 else holds
        assert plan.steps < PASS_MOST_STEPS
        for start in plan.starts:
            for _ in range(start.count):
                jobs[start.job].place(machines[start.machine], state.now).running_since = state.now
        for job in jobs.values():
            predictor.observe(job.spec, 7.0)
    assert all(math.isfinite(h.mean) for h in predictor.histories.values())
    fleet.Fleet().decide(
        now=20.0, machines=list(machines.values()), shortages=plan.shortages, flavors=kinds,
        tuning=Tuning(), fleet_known=True,
        is_prompt=lambda job: False, prompt_work_expected=False, excluded_zones=set(),
    )  # fmt: skip


def test_a_pass_completes_with_every_accepted_value():
    for changes in EXTREMES:
        plan_extremes(changes)


def test_without_bounds_such_values_make_a_pass_fail(monkeypatch):
    monkeypatch.setattr(Spec, "_bound", lambda self, name, least, most: None)
    ended = []
    for changes in EXTREMES:
        try:
            plan_extremes(changes)
        except (OverflowError, ValueError, AssertionError):
            ended.append(changes)
    assert {"cpus": 5e-324} in ended and {"expected_s": 5e-324} in ended


# --- jobs that need rented machines -----------------------------------------------------

RENTED_S = 45.0  # s until the job ends: best effort waits 8 s, a boot and the run take 10 s
SPREAD = dict(kind="gang", spread=True)
TINY = dict(kind="gang", tasks=500, cpus=0.01, ram_gb=0.01)  # 800 fit, 200 may be placed


def play_rented(changes: dict, north: int, south: int) -> None:
    """Few machines are up and used by other jobs, and no spot machine is available."""
    text = site(("north", "south"), len(ZONES), 6)
    for zone, up in {"north": north, "south": south}.items():
        text = text.replace(f"{zone} (ordinary 6) (spot 0) (up 6)",
                            f"{zone} (ordinary 6) (spot 0) (up {up})")  # fmt: skip
    with World(sites.parse(text, "test"), ZONES) as world:
        jobs = [spec("j-000001", workload="tally", expected_s=5.0, **changes)]
        jobs += [spec(f"j-1{i:05d}", workload="tally", expected_s=5.0) for i in range(8)]
        for i, job in enumerate(jobs):
            world.at(4.0 + 5.0 * i, lambda job=job: world.submit(job, "host-1"))
        ended = world.checker.jobs
        world.run(RENTED_S, lambda: "j-000001" in ended and bool(ended["j-000001"].done))
        assert not world.checker.violations and len(ended["j-000001"].done) == jobs[0].tasks


UNBOUND = timeline.ZoneLimit()
RENTED = [(SPREAD, 6, 0), (TINY, 1, 1), (SPREAD | {"deadline_s": 60.0}, 6, 0)]


@pytest.mark.parametrize("case", RENTED)
def test_machines_are_rented_where_the_job_can_use_them(case):
    play_rented(*case)


@pytest.mark.parametrize(
    ("case", "module", "name", "bug"),
    [
        (RENTED[0], fleet, "_fits_no_machine_up", lambda job, machines: False),
        (RENTED[0], fleet, "max_tasks_per_zone", lambda job: job.tasks),
        (RENTED[1], fleet, "count_placeable", timeline.count_fitting),
        (RENTED[2], timeline, "ZoneLimit", lambda *_: UNBOUND),
    ],
)
def test_a_wrong_rental_rule_is_detected(monkeypatch, case, module, name, bug):
    monkeypatch.setattr(module, name, bug)
    with pytest.raises(AssertionError):
        play_rented(*case)


def test_a_spread_service_gets_machines_in_the_zone_that_may_take_more_tasks():
    up = [Machine("n-1", "", flavor(), "north", False, up=True)]
    service = spec(kind="service", spread=True, tasks=4, spot=False)
    shortage = planner.Shortage(service, 2, False, 60.0, {"north": 2})
    wants, _ = fleet.Fleet().decide(
        now=60.0,
        machines=up,
        shortages=[shortage],
        flavors=[flavor()],
        tuning=Tuning(),
        fleet_known=True,
    )
    assert [want.zone for want in wants] == ["south"]


def stops_for(**changes) -> planner.Plan:
    """Plan a gang of 8 while 12 tasks of lower priority run on two machines in one zone."""
    up = [Machine(f"n-{i}", "", flavor(), "north", False, up=True) for i in range(2)]
    low = Job(spec("j-1", tasks=12, priority=0), 0.0, 1)
    low.recompute_pending()
    for i in range(12):
        low.place(up[i // 6], 0.0)
    made = spec("j-2", kind="gang", tasks=8, priority=3, deadline_s=60.0, **changes)
    gang = Job(made, 0.0, 1)
    gang.recompute_pending()
    state = planner_state.PlannerState(
        [low, gang], up, {"blue": Team("blue")}, {"blue": (12.0, 0.0)}, 10.0,
        {"j-1": 0.0, "j-2": 0.0}, zone_by_machine={m.id: m.zone for m in up}, flavors=[flavor()],
    )  # fmt: skip
    return planner.plan(state, Tuning(), {"j-1": 500.0, "j-2": 30.0}, 200)


def test_nothing_is_stopped_for_a_spread_gang_whose_other_half_fits_nowhere(monkeypatch):
    """Stopping victims in one zone does not help, as the zone already fits half of the gang."""
    assert stops_for().preempted_jobs == ["j-1"]
    plan = stops_for(spread=True)
    assert plan.preempted_jobs == [] and plan.shortages
    monkeypatch.setattr(
        preemption, "_count_gang_tasks", lambda job, fits, capacities: sum(fits.values())
    )
    assert stops_for(spread=True).preempted_jobs == ["j-1"]


def test_nothing_is_rented_for_impossible_jobs_accepted_by_older_builds(monkeypatch):
    plan = stops_for(spread=True, zone="north")
    assert not (plan.starts or plan.preempted_jobs or plan.shortages)
    monkeypatch.setattr(planner, "spread_is_impossible", lambda job, kinds: False)
    assert stops_for(spread=True, zone="north").shortages
