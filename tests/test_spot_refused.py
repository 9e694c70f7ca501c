"""When best-effort work gets on-demand machines because the cloud refuses all spot machines."""

import math

import pytest

from coveflow import constants as c
from coveflow.core import fleet as fl
from coveflow.core import placement
from coveflow.core.fleet import Fleet, RentalRequest
from coveflow.core.model import Machine
from coveflow.core.planner import Shortage
from coveflow.lab import free_capacity, worlds
from coveflow.lab import site as sites
from coveflow.lab.virtual import World
from coveflow.lab.worlds import site
from coveflow.settings import Tuning
from tests.samples import flavor, spec

M8 = flavor("m8", zones=["north"])
SPOT, ON_DEMAND = ("m8", "north", True), ("m8", "north", False)


def machine(name="n-1", spot=False):
    found = Machine(name, "", M8, "north", spot)
    found.up = True
    return found


def shortage(count=80, waited_s=300.0, has_started=True, **changes):
    job = spec(tasks=count, **({"expected_s": 30.0} | changes))
    return Shortage(job, count, urgent=False, waited_s=waited_s, has_started=has_started)


def play(shortages, until=120.0, machines=None, answers=lambda now, want: 0, fleet=None):
    """Run a decision each second; return the rentals with their times.

    `answers` gives the number of machines granted to a spot request.
    """
    fleet = fleet or Fleet()
    machines = [machine()] if machines is None else machines
    rented: list[tuple[float, RentalRequest]] = []
    for now in map(float, range(int(until))):
        wants, _ = fleet.decide(
            now=now, machines=machines,
            shortages=shortages(now) if callable(shortages) else shortages,
            flavors=[M8], tuning=Tuning(), fleet_known=True,
        )  # fmt: skip
        for want in wants:
            count = want.count if not want.spot else answers(now, want)
            if count:
                fleet.record_rented(want, [f"{want.spot}-{now}-{i}" for i in range(count)], now)
                rented.append((now, want))
            else:
                fleet.record_refused(want, now)
    return rented


def test_work_that_waits_for_long_gets_on_demand_machines_while_spot_is_refused():
    """80 tasks of 30 s shared one machine with 8 slots for five minutes; nothing was rented."""
    rented = play([shortage()])
    assert [want.key for _, want in rented] == [ON_DEMAND]
    at, want = rented[0]
    assert c.SPOT_REFUSED_S <= at <= c.SPOT_REFUSED_S + fl.REFUSAL_RETRY_S
    # Just enough, together with the machine that is up, to start all tasks within the time.
    assert want.count == math.ceil(80 * 30.0 / c.BACKLOG_S / 8) - 1


WAITS = {
    "spot requests are granted": ([shortage()], None, lambda now, want: want.count),
    "some spot requests are granted": ([shortage()], None, lambda now, want: int(now % 45 < 16)),
    "the machine that is up suffices": ([shortage(10)], None, lambda now, want: 0),
    "the job has not waited long enough": (
        [shortage(waited_s=c.SPOT_REFUSED_S - 1.0)],
        None,
        lambda now, want: 0,
    ),
    "a spot machine is up": ([shortage()], [machine(spot=True)], lambda now, want: 0),
}


@pytest.mark.parametrize("case", WAITS)
def test_otherwise_only_spot_machines_are_rented(case):
    shortages, machines, answers = WAITS[case]
    assert all(want.spot for _, want in play(shortages, 120.0, machines, answers))


def test_a_job_without_any_start_gets_on_demand_machines_even_if_spot_machines_are_up():
    for kind in ("gang", "array"):
        job = shortage(12, c.FIRST_START_S, has_started=False, kind=kind)
        rented = play([job], machines=[machine(f"n-{i}", spot=True) for i in range(5)])
        assert [(want.key, want.count) for _, want in rented] == [(ON_DEMAND, 2)]
        started_job = shortage(12, c.FIRST_START_S, kind=kind)
        assert not play([started_job], machines=[machine(f"n-{i}", spot=True) for i in range(5)])


def test_a_gang_gets_machines_for_all_its_tasks():
    rented = play(
        [shortage(12, kind="gang", expected_s=60.0)], machines=[machine(), machine("n-2")]
    )
    assert not rented  # it fits the machines that are up
    gangs = [shortage(12, kind="gang", expected_s=60.0) for i in range(3)]
    rented = play(gangs, machines=[machine(), machine("n-2")])
    assert sum(want.count for _, want in rented) * 8 >= 12


def test_old_refusals_do_not_count():
    fleet, refused = Fleet(), lambda now, want: 0
    play([shortage()], 40.0, fleet=fleet, answers=refused)
    assert fleet.refused_since[SPOT] < 10.0
    fleet.record_refused(RentalRequest(*SPOT, 1), 300.0)
    assert fleet.refused_since[SPOT] == 300.0


# --- whole controllers ----------------------------------------------------------------------

JOBS, RUN_S, UNTIL_S = 6, 20.0, 250.0


def ended(spot: int = 0) -> float:
    """Seconds from the first arrival until all jobs end, with one machine up; else infinity."""
    text = site(["north"], 1, 1, RUN_S, spot).replace("(ordinary 1)", "(ordinary 10)")
    with World(sites.parse(text, "test"), {"host-0": "north"}, 1, Tuning(homes=True)) as world:
        free_capacity.watch(world, 0.0)
        for i in range(JOBS):
            job = spec(f"j-{i:06d}", workload="tally", tasks=16, expected_s=RUN_S)
            world.at(3.0, lambda job=job: world.submit(job, "host-0"))

        def over() -> bool:
            done = len(world.fleet.truth.done)
            return done == 16 * JOBS

        world.run(UNTIL_S, over)
        assert not world.checker.violations
        return world.now - 3.0 if over() else math.inf


def test_without_spot_machines_on_demand_machines_share_the_work(monkeypatch):
    """One machine ran 12 rounds of 20 to 30 s, while nine more machines were available."""
    most = c.SPOT_REFUSED_S + fl.BEST_EFFORT_WAIT_S + fl.REFUSAL_RETRY_S + c.BACKLOG_S + 2 * RUN_S
    assert ended() < most
    monkeypatch.setattr(Fleet, "_count_on_demand_tasks", lambda self, shortage, left, backlog: 0)
    assert ended() > most


@pytest.mark.parametrize("seed", [125, 267, 363])
def test_a_world_without_spot_machines_ends_all_its_work(monkeypatch, seed):
    """In a world without spot machines, 12 jobs never ended (first seen with seed 125)."""
    text = worlds.site
    monkeypatch.setattr(
        worlds, "site",
        lambda zones, nodes, machines, run_s, spot, limit: text(zones, nodes, machines, run_s, 0),
    )  # fmt: skip
    outcome = worlds.play(worlds.meetings(seed))
    assert not outcome.broken and not outcome.unfinished


# --- capacity that is kept for others ---------------------------------------------------------

KEPT_SITE = """(lab (seed 1) (zones north) (controllers 1)
 (workers (report-s 2.5) (lease-s 15) (gang-wait-s 15) (gang-peer-s 3) (cancel-s 45))
 (state (rps 400) (write-rps 150) (value-kb 16) (txn-ops 32)) (cloud (rps 10) (list-lag-s 1))
 (type m8 (cpus 8) (ram-gb 32) (cache-gb 60) (fetch-gb-per-s 2) (price 0.4) (spot-price 0.1)
  (boot-s 3))
 (type g16 (cpus 16) (accelerators 4) (ram-gb 128) (cache-gb 60) (fetch-gb-per-s 2) (price 3)
  (spot-price 1) (boot-s 3))
 (capacity m8 north (ordinary 1) (spot 0) (up 1))
 (capacity g16 north (ordinary 1) (spot 0) (up 1))
 (team blue (cpus 0) (cpus-max 0)) (team guest (accelerators 4) (cpus 8) (cpus-max 0))
 (class tally (team blue) (run-s 200 300 400)) (class train (team guest) (run-s 400 400 400)))"""


def beside_a_guarantee() -> set[str]:
    """Return the jobs running after 90 s, while a team uses a quarter of its guarantee."""
    zones = {"host-0": "north"}
    with World(sites.parse(KEPT_SITE, "test"), zones, 1, Tuning(homes=True)) as world:
        free_capacity.watch(world, 0.0)
        train = spec("j-000900", workload="train", team="guest", tasks=1, accelerators=1.0,
                     cpus=2.0, expected_s=400.0)  # fmt: skip
        world.at(2.0, lambda: world.submit(train, "host-0"))
        for i in range(8):
            job = spec(f"j-{i:06d}", workload="tally", tasks=8, expected_s=200.0)
            world.at(3.0 + i, lambda job=job: world.submit(job, "host-0"))
        world.run(92.0)
        return {job for job, _ in world.checker.running}


def test_no_job_waits_for_long_beside_unused_guaranteed_capacity(monkeypatch):
    """CPUs reserved for unused accelerators stayed idle while jobs waited for 90 s."""
    assert len(beside_a_guarantee()) == 9
    monkeypatch.setattr(placement, "RESERVED_CAPACITY_WAIT_S", math.inf)
    assert len(beside_a_guarantee()) < 9
