"""Decisions on renting, draining and returning machines, by worked examples."""

from coveflow.core import demand
from coveflow.core.fleet import Fleet, RentalRequest
from coveflow.core.model import Job, Machine
from coveflow.core.planner import Shortage
from coveflow.settings import Tuning
from tests.samples import flavor, spec

SMALL = flavor("m8", zones=["north"])
LARGE = flavor("m16", cpus=16.0, ram_gb=64.0, price=1.0, spot_price=0.3, zones=["north"])


def decide(fleet, now=0.0, machines=(), shortages=(), **more):
    return fleet.decide(
        now=now,
        machines=list(machines),
        shortages=list(shortages),
        flavors=[SMALL, LARGE],
        tuning=Tuning(),
        fleet_known=True,
        **more,
    )


def shortage(count, urgent=True, **changes):
    return Shortage(spec(tasks=count, **changes), count, urgent, 60.0)


def up(name, **changes):
    m = Machine(name, "", SMALL, "north", False)
    m.up = True
    m.known_since = -1000.0
    for key, value in changes.items():
        setattr(m, key, value)
    return m


def test_the_cheapest_that_fits_is_rented_and_spot_only_where_allowed():
    assert decide(Fleet(), shortages=[shortage(16)])[0] == [RentalRequest("m8", "north", True, 2)]
    assert decide(Fleet(), shortages=[shortage(16, spot=False)])[0] == [
        RentalRequest("m8", "north", False, 2)
    ]
    assert decide(Fleet(), shortages=[shortage(1, cpus=12.0)])[0] == [
        RentalRequest("m16", "north", True, 1)
    ]


def test_requested_or_booting_machines_are_not_requested_again():
    fleet = Fleet()
    wants, _ = decide(fleet, shortages=[shortage(16)])
    assert decide(fleet, shortages=[shortage(16)])[0] == []
    fleet.record_rented(wants[0], ["n-1", "n-2"], 1.0)
    assert decide(fleet, now=2.0, shortages=[shortage(16)])[0] == []


def test_a_refusal_leads_to_the_next_kind_at_once():
    """The refused kinds were requested in turns, and on-demand machines never were."""
    fleet = Fleet()
    asked = []
    for now in range(6):
        for want in decide(fleet, now=float(now), shortages=[shortage(16)])[0]:
            asked.append(want.key)
            fleet.record_refused(want, float(now))
    assert len(set(asked)) == len(asked) == 4


def test_idle_machines_are_returned_after_a_delay_and_not_while_work_waits():
    fleet, m = Fleet(), up("n-1")
    assert decide(fleet, now=0.0, machines=[m])[1] == []
    assert decide(fleet, now=30.0, machines=[m], shortages=[shortage(1)])[1] == []
    assert decide(fleet, now=30.0, machines=[m])[1] == ["n-1"]


def test_machines_that_never_come_up_are_returned():
    fleet = Fleet()
    fleet.record_rented(RentalRequest("m8", "north", True, 1), ["n-9"], 0.0)
    assert fleet.pop_overdue_boots(60.0, {"m8": SMALL}) == []
    assert fleet.pop_overdue_boots(200.0, {"m8": SMALL}) == ["n-9"]


def test_a_nearly_empty_machine_drains_if_its_tasks_can_save_and_fit_elsewhere():
    saving = Job(spec("j-1", tasks=8, checkpoint_s=10.0, save_s=2.0), 0.0, 1)
    plain = Job(spec("j-2", tasks=2), 0.0, 1)
    for job in (saving, plain):
        job.recompute_pending()
    few, many = up("n-1"), up("n-2")

    def drains():
        jobs = {"j-1": saving, "j-2": plain}
        return Fleet().choose_drains(100.0, [few, many], [], lambda p: 60.0, jobs.__getitem__)

    for machine, count in ((few, 2), (many, 6)):
        for _ in range(count):
            p = saving.place(machine, 0.0)
            p.running_since, p.state = 0.0, "running"
    assert drains() == ["n-1"]
    plain.place(few, 0.0).state = "running"
    assert drains() == []


def test_a_shortage_beyond_one_request_is_split_over_several_kinds_at_once():
    """A burst of thousands of tasks waited for one request of 50 machines after the other."""
    wants, _ = decide(Fleet(), shortages=[shortage(2000)])
    assert len(wants) == 4 and max(want.count for want in wants) == 50


def test_a_drained_machine_is_returned_at_once():
    """It accepts no work, but was kept idle for 20 s after its last task had moved."""
    m = up("n-1", draining=True)
    assert decide(Fleet(), now=1.0, machines=[m])[1] == ["n-1"]


def test_idle_machines_are_returned_sooner_while_idle_capacity_is_ample():
    job = Job(spec(tasks=16), 0.0, 1)
    job.recompute_pending()
    busy, idle = up("n-1"), [up(f"n-{i}") for i in range(2, 6)]
    for _ in range(8):
        job.place(busy, 0.0)
    fleet, machines = Fleet(), [busy, *idle]
    decide(fleet, now=0.0, machines=machines)
    assert len(decide(fleet, now=6.0, machines=machines)[1]) == 3
    assert decide(fleet, now=21.0, machines=machines)[1] == ["n-2", "n-3", "n-4"]


def test_machines_recently_used_by_prompt_work_stay_up_while_idle():
    """The most expensive idle machines were returned first, and the next gang waited for a boot."""
    machines = [up(f"n-{i}") for i in range(4)]
    f = Fleet()
    job = Job(spec("j-1", tasks=2), 0.0, 1)
    job.recompute_pending()
    for m in machines[:2]:
        job.place(m, 0.0)

    def returns(now):
        return f.decide(now=now, machines=machines, shortages=[], flavors=[], tuning=Tuning(),
                        fleet_known=True, is_prompt=lambda name: True)[1]  # fmt: skip

    assert returns(100.0) == []
    for m in machines[:2]:
        m.placements.clear()
        m.cpus = m.flavor.cpus
    returns(110.0)
    assert len(returns(200.0)) == 2
    for m in machines[:2]:
        m.returning = True
    returns(400.0)
    assert len(returns(600.0)) >= 1


def test_work_that_fits_no_machine_up_gets_on_demand_machines_if_spot_is_refused():
    """It waited forever: no machine was up, and only spot was requested for best-effort work."""
    fleet = Fleet()
    gang = Shortage(spec("j-1", kind="gang", tasks=12, spot=True), 12, urgent=False, waited_s=60.0)
    one = Machine("n-1", "", flavor(), "north", False)
    one.up = True
    for spot in (True, True, False):  # both types' spot machines are refused first
        wants, _ = decide(fleet, shortages=[gang], machines=[one])
        assert [want.spot for want in wants] == [spot]
        fleet.record_refused(wants[0], 100.0)
    more = Machine("n-2", "", flavor(), "south", False)
    more.up = True
    for key in [key for key in fleet.refused_until if not key[2]]:
        del fleet.refused_until[key]
    assert decide(fleet, shortages=[gang], machines=[one, more])[0] == []


def test_a_class_with_frequent_arrivals_counts_as_ended_after_a_long_gap():
    came = demand.ArrivalTracker()
    for i in range(30):
        came.add(100.0 + 8.0 * i)
    last = 100.0 + 8.0 * 29
    assert came.is_active(last + 39.0) and not came.is_active(last + 41.0)
    rush = demand.ArrivalTracker()
    for _ in range(20):
        rush.add(10.0)  # all at once, which tells nothing about the interval of arrivals
    assert rush.is_active(29.0) and not rush.is_active(31.0)


def test_machines_kept_up_for_prompt_work_are_returned_when_none_is_expected():
    fleet, machines = Fleet(), [up(f"n-{i}") for i in range(4)]
    job = Job(spec(tasks=4), 0.0, 1)
    job.recompute_pending()
    placed = [job.place(m, 0.0) for m in machines]
    decide(fleet, machines=machines, is_prompt=lambda name: True)
    for m, p in zip(machines, placed, strict=True):
        del m.placements[p.key]
        m.release(job.spec)
    for now in (100.0, 130.0):
        kept = decide(fleet, now=now, machines=machines, is_prompt=lambda name: True)[1]
    assert not kept
    assert len(decide(fleet, now=131.0, machines=machines, prompt_work_expected=False)[1]) == 4


def test_machines_for_a_job_bound_to_one_zone_are_requested_there():
    """They were requested in the cheapest zone, more in each cycle, where the job cannot run."""
    both = flavor("m8")
    found = Shortage(
        spec("j-1", tasks=16, one_zone=True), 16, True, 60.0, usable_zones=frozenset({"south"})
    )
    idle = up("n-1")  # in the north
    fleet = Fleet()
    fleet.record_rented(
        RentalRequest("m8", "north", True, 2), ["n-2", "n-3"], 0.0
    )  # booting in the wrong zone
    wants, returns = fleet.decide(
        now=30.0,
        machines=[idle],
        shortages=[found],
        flavors=[both],
        tuning=Tuning(),
        fleet_known=True,
    )
    assert wants == [RentalRequest("m8", "south", True, 2)]
    idle.idle_since = -100.0
    _, returns = fleet.decide(
        now=60.0,
        machines=[idle],
        shortages=[found],
        flavors=[both],
        tuning=Tuning(),
        fleet_known=True,
    )
    assert returns == ["n-1"]
