"""Delayed or lost reports and commands combined with other faults: whole nodes in virtual time."""

import logging
from collections.abc import Callable

import msgspec
import pytest

from coveflow import constants as c
from coveflow import wire
from coveflow.core.cancellations import Cancellations
from coveflow.core.model import Order, Spec
from coveflow.daemon.direct_requests import DirectRequests
from coveflow.daemon.leader_state import LeaderState
from coveflow.daemon.machine_manager import MachineManager
from coveflow.daemon.owner import Owner
from coveflow.daemon.reports import Reports
from coveflow.lab import site as sites
from coveflow.lab.truth import INF
from coveflow.lab.virtual import CLOUD, World
from coveflow.lab.worlds import site
from coveflow.settings import Tuning
from tests.samples import spec

ZONES = {"host-0": "north", "host-1": "north", "host-2": "south"}
LEASE_S, CANCEL_S, REPORT_S = 15.0, 45.0, 2.5  # as configured for the simulated site
LONG_S = 300.0  # s that a task runs, unless its job is listed in `short`
PLAIN, SAVES, GANG, PULLS, CANCELLED, FILLER = (f"j-00000{i}" for i in range(6))
TAKE_OVER_S = 30.0  # s of virtual time after which the leader fails


class Scenario(logging.Handler):
    """A steady world with long jobs of every kind; checks the leader's state against the truth."""

    def __init__(self, zones: dict[str, str] = ZONES, machines: int = 5, seed: int = 1) -> None:
        super().__init__()
        self.why: dict[str, str] = {}  # last reason for returning each machine
        text = site(("north", "south"), len(zones), machines, LONG_S)
        self.world = World(sites.parse(text, "test"), zones, seed, Tuning(homes=True))
        self.short: dict[str, float] = {}
        truth = self.world.fleet.truth
        truth.draw = lambda job: [self.short.get(job.id, LONG_S)] * job.tasks
        self.world.when(self._look, lambda: None)
        for i, job in enumerate(self.jobs()):
            node = list(zones)[i % len(zones)]
            self.world.at(3.0 + 0.05 * i, lambda job=job, node=node: self.world.submit(job, node))

    def jobs(self) -> list[Spec]:
        common = {"team": "blue", "workload": "tally", "expected_s": LONG_S, "tasks": 8}
        saves = {"checkpoint_s": 10.0, "save_s": 3.0}
        gang = {"kind": "gang", "tasks": 4, "cpus": 3.0, "image": "big", "image_gb": 8.0}
        pulls = {"tasks": 4, "image": "large", "image_gb": 50.0}
        return [
            spec(PLAIN, **common),
            spec(SAVES, **common | saves),
            spec(GANG, **common | gang),
            spec(PULLS, **common | pulls),
            spec(CANCELLED, **common | {"tasks": 12, "spread": True}),
        ]

    def _look(self) -> bool:
        """Check that each live task is in the leader's state: none is believed gone too soon."""
        name = self.world.leader()
        if name and self.world.node(name).owner.leading == self.world.epoch():
            machines = self.world.node(name).owner.state.machines
            for (job, task), there in self.world.checker.running.items():
                m = machines.get(there.machine)
                known = m is not None and any(key[:2] == (job, task) for key in m.placements)
                assert known, f"{job}/{task} on {there.machine} is believed gone"
        return False

    def as_leader(self, action: Callable[[Owner], None]) -> None:
        """Run `action` within the event loop of the leading process."""
        place = self.world.hosts[self.world.leader()]
        place.loop.call_soon(lambda: action(place.node.owner))

    def machines_of(self, job: str) -> list[str]:
        """Machines with tasks of the job."""
        live = self.world.checker.running
        return sorted({there.machine for key, there in live.items() if key[0] == job})

    def tasks(self, job: str) -> int:
        return sum(key[0] == job for key in self.world.checker.running)

    def lost(self, since: float) -> list[dict]:
        """Attempts that ended other than by completion or cancellation."""
        return [
            row for at, kind, row in self.world.attempt_events
            if kind == "off" and at > since and row["why"] != "done" and row["job"] != CANCELLED
        ]  # fmt: skip

    def returned(self) -> list[str]:
        """Machines returned for any reason other than being idle."""
        hosts = self.world.fleet.cloud.hosts
        return [name for name, why in self.why.items() if why != "idle" and hosts[name].gone < INF]

    def emit(self, record: logging.LogRecord) -> None:
        if record.getMessage() == "machine goes back":
            self.why[record.fields["machine"]] = record.fields["why"]

    def __enter__(self) -> "Scenario":
        logger = logging.getLogger("coveflow")
        self.level = logger.level
        logger.setLevel(logging.INFO)
        logger.addHandler(self)
        return self

    def __exit__(self, *_: object) -> None:
        logger = logging.getLogger("coveflow")
        logger.removeHandler(self)
        logger.setLevel(self.level)
        self.world.close()


def interval(world: World, names: list[str], for_s: float) -> dict[str, tuple[float, float]]:
    return dict.fromkeys(names, (world.now, world.now + for_s))


# --- old reports -----------------------------------------------------------------------------


def stop_some(leader: Owner) -> None:
    for m in leader.state.machines.values():
        for p in list(m.placements.values())[:2]:
            if p.job in (SAVES, PLAIN) and p.state == "running":
                leader.state.stop(p, 5.0, "a test")


def run_history(scenario: Scenario) -> None:
    """Half a minute in which attempts end in every possible way; all reports are recorded."""
    world, fleet = scenario.world, scenario.world.fleet
    fleet.kept_share = 1.0
    for i in range(12):
        name = f"j-0001{i:02d}"
        scenario.short[name] = 2.0
        job = spec(name, tasks=3, team="blue", workload="tally", expected_s=2.0)
        world.at(5.0 + 1.5 * i, lambda job=job: world.submit(job, "host-1"))
    world.run(7.0)
    # Their sessions end.
    fleet.mute |= interval(world, scenario.machines_of(PLAIN)[:1], LEASE_S + 1.0)
    world.run(9.0)
    back = [scenario.machines_of(SAVES)[-1]]
    scenario.as_leader(lambda leader: leader.machine_manager.return_machines(back, "a test"))
    world.run(12.0)
    scenario.as_leader(stop_some)
    sick = fleet.workers[scenario.machines_of(SAVES)[0]]
    sick.sick = True
    world.at(16.0, lambda: setattr(sick, "sick", False))
    fills = spec(FILLER, tasks=24, team="blue", workload="tally", expected_s=LONG_S)
    world.at(LEASE_S + 9.0, lambda: world.submit(fills, "host-1"))
    world.run(TAKE_OVER_S - 4.0)
    # Cancelled work without a proven end at the change of leader.
    fleet.away |= interval(world, scenario.machines_of(CANCELLED)[:2], 6.0)
    world.cancel(CANCELLED)
    world.run(TAKE_OVER_S)


MOMENTS: dict[str, Callable[[World, int], Callable[[], bool]]] = {
    "before the view": lambda world, epoch: lambda: True,
    "view, not restored": lambda world, epoch: lambda: world.epoch() > epoch,
    "restored": lambda world, epoch: (
        lambda: bool(world.leader()) and world.node(world.leader()).owner.leading > epoch
    ),
    "it has acted": lambda world, epoch: lambda: world.now > TAKE_OVER_S + 6.0,
}


def old_reports(scenario: Scenario, moment: str, ends: bool = True) -> None:
    """Deliver all recorded reports again, to every node, at that moment of a takeover."""
    world = scenario.world
    run_history(scenario)
    if ends:
        world.crash(world.leader(), 0.4)
    world.when(
        MOMENTS[moment](world, world.epoch()),
        lambda: world.fleet.deliver_kept_reports(list(world.controllers)),
    )
    kept = [(worker.name, wire.read_report(body)) for worker, body in world.fleet.kept]
    states = {task.state for _, report in kept for task in report.tasks}
    whys = {task.why for _, report in kept for task in report.tasks}
    returned = scenario.returned()
    assert states >= {"pulling", "waiting", "running", "flushing", "exited"}
    assert whys >= {"done", "halted", "error"} and set(returned) & {name for name, _ in kept}
    assert {1, 2} <= {report.tenure for _, report in kept}
    world.run(TAKE_OVER_S + 30.0)
    assert scenario.returned() == returned and not scenario.lost(TAKE_OVER_S)
    assert [scenario.tasks(name) for name in (PLAIN, SAVES, GANG, PULLS, FILLER)] == [
        8,
        8,
        4,
        4,
        24,
    ]
    assert world.checker.jobs[CANCELLED].final_state == "cancelled" and not scenario.tasks(
        CANCELLED
    )
    assert all(len(world.checker.jobs[name].done) == 3 for name in scenario.short)


@pytest.mark.parametrize("moment", MOMENTS)
def test_old_reports_delivered_during_a_takeover(moment):
    with Scenario() as scenario:
        old_reports(scenario, moment)


def test_old_reports_delivered_without_a_takeover():
    with Scenario() as scenario:
        old_reports(scenario, "it has acted", ends=False)


def planted_exit_applied_to_any_attempt(monkeypatch) -> None:
    original = Reports._apply_tasks

    def tasks(self, m, report, now, absence=True):
        for t in report.tasks:
            job = self.state.jobs.get(t.job)
            p = job.placed.get(t.task) if job is not None else None
            if t.state == "exited" and p is not None and p.number > t.number:
                self.state.end(p, False, "a planted bug")
        return original(self, m, report, now, absence)

    monkeypatch.setattr(Reports, "_apply_tasks", tasks)


def planted_absence_in_any_epoch(monkeypatch) -> None:
    original = Reports._apply_tasks

    def tasks(self, m, report, now, absence=True):
        report = msgspec.structs.replace(report, epoch=self.state.leading)
        return original(self, m, report, now, absence)

    monkeypatch.setattr(Reports, "_apply_tasks", tasks)


def planted_unordered_reports(monkeypatch) -> None:
    original = Reports.receive

    def heard(self, command):
        m = self.state.machines.get(command.report.machine)
        if m is not None and command.report.counter <= m.counter:
            m.tenure, m.counter = command.report.tenure, -1
        original(self, command)

    monkeypatch.setattr(Reports, "receive", heard)


@pytest.mark.parametrize(
    "plant, moment",
    [
        (planted_exit_applied_to_any_attempt, "restored"),
        (planted_absence_in_any_epoch, "restored"),
        (planted_unordered_reports, "it has acted"),
    ],
    ids=lambda it: getattr(it, "__name__", it),
)
def test_planted_bugs_in_report_handling_are_detected(monkeypatch, plant, moment):
    plant(monkeypatch)
    with Scenario() as scenario, pytest.raises(AssertionError, match=r"believed gone|ran_"):
        old_reports(scenario, moment)


# --- machines that reach no node -------------------------------------------------------


def block_connections(scenario: Scenario, for_s: float, count: int = 2) -> list[str]:
    """Prevent machines with soon-to-be-cancelled work from opening connections from now on."""
    names = sorted({*scenario.machines_of(CANCELLED)[:count], *scenario.machines_of(PLAIN)[:1]})
    scenario.world.fleet.mute |= interval(scenario.world, names, for_s)
    return names


def no_connections(scenario: Scenario) -> None:
    """Their other work ends only with its lease; no machine is returned for its silence."""
    world = scenario.world
    names = block_connections(scenario, 50.0)
    elsewhere = {key for key, there in world.checker.running.items() if there.machine in names}
    world.at(17.0, lambda: world.cancel(CANCELLED))
    world.run(15.0 + LEASE_S + 4.0)
    assert not scenario.tasks(CANCELLED) and world.checker.gone_s < 2 * REPORT_S
    placed = {key[:2] for key in world.checker.running if key[0] != CANCELLED}
    assert {key for key in elsewhere if key[0] != CANCELLED} <= placed
    world.submit(spec(FILLER, tasks=60, team="blue", workload="tally"), "host-1")
    world.run(75.0)
    assert not scenario.returned() and set(names) <= set(scenario.machines_of(FILLER))


def no_connections_then_hang(scenario: Scenario) -> None:
    """The machines are returned, since nothing proves the end of their cancelled work."""
    world = scenario.world
    names = block_connections(scenario, 60.0)
    world.at(16.0, lambda: [world.fleet.hang(name, 60.0) for name in names])
    world.at(17.0, lambda: world.cancel(CANCELLED))
    world.run(65.0)
    assert set(scenario.returned()) == set(names) and not scenario.tasks(CANCELLED)
    assert world.checker.gone_s < CANCEL_S * c.CANCEL_RETURN_SHARE


def no_connections_during_leader_failure(scenario: Scenario) -> None:
    """The next leader knows these machines only from the records."""
    world = scenario.world
    block_connections(scenario, 50.0)
    world.at(16.9, lambda: world.crash(world.leader(), 0.5))
    world.at(17.0, lambda: world.cancel(CANCELLED, "host-1"))
    world.run(75.0)
    assert not scenario.returned() and world.checker.gone_s < 2 * REPORT_S + 2.0


def no_connections_from_any_machine(scenario: Scenario) -> None:
    world = scenario.world
    world.fleet.mute |= interval(world, sorted(world.fleet.workers), 30.0)
    world.at(17.0, lambda: world.cancel(CANCELLED))
    world.run(75.0)
    assert not scenario.returned() and world.checker.gone_s < 2 * REPORT_S
    assert [scenario.tasks(name) for name in (PLAIN, SAVES, GANG, PULLS)] == [8, 8, 4, 4]


def hang_within_lease(scenario: Scenario) -> None:
    """A machine with cancelled work hangs, resumes within its lease and stops it at once."""
    world = scenario.world
    names = scenario.machines_of(CANCELLED)
    for name in names:
        world.fleet.hang(name, 12.0)
    world.at(15.5, lambda: world.cancel(CANCELLED))
    world.run(27.1)
    assert not scenario.tasks(CANCELLED) and not scenario.returned()
    world.run(40.0)
    assert not scenario.lost(15.0)


def delayed_commands(scenario: Scenario) -> None:
    """Commands take effect late, after newer ones and changes of leader, or never."""
    world = scenario.world
    block_connections(scenario, 20.0, count=9)
    world.fleet.late_commands = (1.0, 60.0)
    world.at(15.5, lambda: world.cancel(CANCELLED))
    world.at(20.0, lambda: world.hand_over(world.leader()))
    world.at(24.0, lambda: world.crash(world.leader(), 0.3))
    world.at(28.0, lambda: world.hand_over(world.leader()))
    world.run(75.0)
    assert not scenario.returned() and world.checker.gone_s < LEASE_S + 5.0
    assert [scenario.tasks(name) for name in (PLAIN, SAVES, GANG, PULLS)] == [8, 8, 4, 4]


def delayed_commands_to_hung_machines(scenario: Scenario) -> None:
    """Commands are delayed on the way to machines that hang and resume within their lease."""
    world = scenario.world
    for i, name in enumerate([*scenario.machines_of(CANCELLED), scenario.machines_of(PLAIN)[0]]):
        world.fleet.hang(name, 5.0 + 4.0 * i)
    world.fleet.late_commands = (0.5, 60.0)
    world.at(15.5, lambda: world.cancel(CANCELLED))
    world.at(18.0, lambda: world.crash(world.leader(), 0.3))
    world.run(60.0)
    assert not scenario.returned() and not scenario.lost(15.0)
    assert world.checker.gone_s < LEASE_S


def cancelled_work_does_not_stop(scenario: Scenario) -> None:
    """A machine answers every request, but its cancelled work does not end."""
    world = scenario.world
    name = scenario.machines_of(CANCELLED)[0]
    world.fleet.workers[name]._stop = lambda *_: None
    world.at(17.0, lambda: world.cancel(CANCELLED))
    world.run(65.0)
    assert scenario.returned() == [name] and not scenario.tasks(CANCELLED)
    assert world.checker.gone_s < CANCEL_S * c.CANCEL_RETURN_SHARE + 2.0


UNREACHED = [
    no_connections, no_connections_then_hang, cancelled_work_does_not_stop,
    no_connections_during_leader_failure, no_connections_from_any_machine, hang_within_lease,
    delayed_commands, delayed_commands_to_hung_machines,
]  # fmt: skip


@pytest.mark.parametrize("fault", UNREACHED, ids=lambda fault: fault.__name__)
def test_machines_that_reach_no_node_or_hang(fault):
    with Scenario() as scenario:
        scenario.world.run(15.0)
        fault(scenario)


def planted_no_direct_requests(monkeypatch) -> None:
    monkeypatch.setattr(DirectRequests, "tick", lambda self, now: None)


def planted_no_liveness_requests(monkeypatch) -> None:
    monkeypatch.setattr(DirectRequests, "_needs_inspection", lambda self, m, quiet_s, now: False)


def planted_direct_stops_of_all_tasks(monkeypatch) -> None:
    monkeypatch.setattr(
        DirectRequests, "_stops", lambda self, m: [Order("stop", *key) for key in m.placements]
    )


def planted_no_return_for_cancelled_work(monkeypatch) -> None:
    monkeypatch.setattr(MachineManager, "_overdue_jobs", lambda self: set())


@pytest.mark.parametrize(
    "plant, fault",
    [
        (planted_no_direct_requests, no_connections),
        (planted_no_direct_requests, hang_within_lease),
        (planted_no_direct_requests, no_connections_during_leader_failure),
        (planted_no_liveness_requests, no_connections_from_any_machine),
        (planted_direct_stops_of_all_tasks, delayed_commands_to_hung_machines),
        (planted_no_return_for_cancelled_work, cancelled_work_does_not_stop),
    ],
    ids=lambda it: it.__name__,
)
def test_planted_bugs_with_unreachable_machines_are_detected(monkeypatch, plant, fault):
    plant(monkeypatch)
    with (
        Scenario() as scenario,
        pytest.raises(AssertionError, match=r"returned|gone_s|lost|ran_|tasks|\[\] =="),
    ):
        scenario.world.run(15.0)
        fault(scenario)


# --- an isolated zone with workers and a node, and machines that receive nothing --------------

ISOLATION_S = 4.0 * LEASE_S


def isolate_zone(
    scenario: Scenario, zone: str, users: bool = False, state: bool = False, cloud: bool = True
) -> None:
    """Isolate a zone while users cancel, through the zone's own node if they can reach it.

    With the cloud down no machine can be returned: only leases end cancelled work.
    """
    world = scenario.world
    reach = {name for name, there in (("fleet", users), ("state", state)) if there}

    def between(a, b) -> bool:
        return (a.zone == zone) != (b.zone == zone) and not {a.name, b.name} & reach

    world.cut(ISOLATION_S, between)
    if not cloud:
        world.cut(ISOLATION_S, lambda a, b: b.name == CLOUD, "refuse")
    inside = next(name for name, there in world.controllers.items() if there == zone)
    outside = next(name for name, there in world.controllers.items() if there != zone)
    world.at(world.now + 2.0, lambda: world.cancel(CANCELLED, inside if users else outside))
    world.run(world.now + ISOLATION_S + 80.0)
    assert not scenario.tasks(CANCELLED)
    assert world.checker.gone_s < CANCEL_S - c.CONTACT_MARGIN_S + 0.5
    assert [scenario.tasks(name) for name in (PLAIN, SAVES, GANG, PULLS)] == [8, 8, 4, 4]
    leader = world.node(world.leader()).owner.state
    assert all(leader.reported_recently(m, world.now) for m in leader.machines.values())


def isolated_leader_zone(scenario: Scenario) -> None:
    isolate_zone(scenario, scenario.world.controllers[scenario.world.leader()])


def isolated_leader_zone_with_users(scenario: Scenario) -> None:
    isolate_zone(scenario, scenario.world.controllers[scenario.world.leader()], users=True)


def isolated_follower_zone(scenario: Scenario) -> None:
    isolate_zone(scenario, "south" if scenario.world.leader() != "host-2" else "north", users=True)


def isolated_follower_zone_without_cloud(scenario: Scenario) -> None:
    isolate_zone(scenario, "south" if scenario.world.leader() != "host-2" else "north", cloud=False)


def isolated_leader_zone_without_cloud(scenario: Scenario) -> None:
    isolate_zone(scenario, scenario.world.controllers[scenario.world.leader()], cloud=False)


def isolated_follower_zone_with_store(scenario: Scenario) -> None:
    isolate_zone(scenario, "south" if scenario.world.leader() != "host-2" else "north", state=True)


def no_answers_during_leader_failure(scenario: Scenario) -> None:
    """Machines whose reports arrive but that receive no answers: their leases expire."""
    world = scenario.world
    names = sorted({*scenario.machines_of(CANCELLED)[:1], *scenario.machines_of(PLAIN)[:1]})
    world.fleet.deaf |= interval(world, names, 60.0)
    world.at(15.9, lambda: world.crash(world.leader(), 0.4))
    world.at(16.0, lambda: world.cancel(CANCELLED, "host-1"))
    world.run(16.0 + LEASE_S + 10.0)
    assert not scenario.tasks(CANCELLED) and world.checker.gone_s < LEASE_S
    assert [scenario.tasks(name) for name in (PLAIN, SAVES, GANG, PULLS)] == [8, 8, 4, 4]
    assert {row["machine"] for row in scenario.lost(15.0)} <= set(names)


ISOLATED = [
    isolated_leader_zone, isolated_leader_zone_with_users, isolated_follower_zone,
    isolated_follower_zone_without_cloud, isolated_leader_zone_without_cloud,
    isolated_follower_zone_with_store, no_answers_during_leader_failure,
]  # fmt: skip


@pytest.mark.parametrize("fault", ISOLATED, ids=lambda fault: fault.__name__)
def test_isolated_zones_and_machines_without_answers(fault):
    with Scenario() as scenario:
        scenario.world.run(15.0)
        fault(scenario)


def planted_unlimited_lease_renewal(monkeypatch) -> None:
    monkeypatch.setattr(Cancellations, "may_renew", lambda self, now: True)


def planted_ignored_session_ends(monkeypatch) -> None:
    monkeypatch.setattr(LeaderState, "end_all_attempts", lambda self, m, why: None)


@pytest.mark.parametrize(
    "plant, fault",
    [
        (planted_unlimited_lease_renewal, isolated_follower_zone_without_cloud),
        (planted_unlimited_lease_renewal, isolated_leader_zone_without_cloud),
        (planted_ignored_session_ends, no_answers_during_leader_failure),
    ],
    ids=lambda it: it.__name__,
)
def test_planted_bugs_with_isolated_zones_are_detected(monkeypatch, plant, fault):
    plant(monkeypatch)
    with Scenario() as scenario, pytest.raises(AssertionError, match=r"renewed|== \[8, 8, 4, 4\]"):
        scenario.world.run(15.0)
        fault(scenario)
