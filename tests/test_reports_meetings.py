"""Reports and commands that come late or never meet other troubles: whole nodes in virtual time."""

import logging
from collections.abc import Callable

import msgspec
import pytest

from coveflow import constants as c
from coveflow import wire
from coveflow.core.cancellations import Cancellations
from coveflow.core.model import Order, Spec
from coveflow.daemon.book import Book
from coveflow.daemon.direct_requests import DirectRequests
from coveflow.daemon.keeper import Keeper
from coveflow.daemon.owner import Owner
from coveflow.daemon.reports import Reports
from coveflow.lab import site as sites
from coveflow.lab.truth import INF
from coveflow.lab.virtual import CLOUD, World
from coveflow.lab.worlds import site
from coveflow.settings import Tuning
from tests.samples import spec

ZONES = {"host-0": "north", "host-1": "north", "host-2": "south"}
LEASE_S, CANCEL_S, REPORT_S = 15.0, 45.0, 2.5  # of the worlds' site
LONG_S = 300.0  # s that a task runs, unless its job is named in `short`
PLAIN, SAVES, GANG, PULLS, CALLED_OFF, FILLS = (f"j-00000{i}" for i in range(6))
TAKE_OVER_S = 30.0  # s into the world at which its leader ends


class Meeting(logging.Handler):
    """A steady world with long work of every sort; its leader's book is held against the truth."""

    def __init__(self, zones: dict[str, str] = ZONES, machines: int = 5, seed: int = 1) -> None:
        super().__init__()
        self.why: dict[str, str] = {}  # machines, and the last reason to give them back
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
            spec(CALLED_OFF, **common | {"tasks": 12, "spread": True}),
        ]

    def _look(self) -> bool:
        """What is on a machine stands in the leader's book: nothing is believed gone too soon."""
        name = self.world.leader()
        if name and self.world.node(name).owner.leading == self.world.epoch():
            machines = self.world.node(name).owner.book.machines
            for (job, task), there in self.world.checker.live.items():
                m = machines.get(there.machine)
                known = m is not None and any(key[:2] == (job, task) for key in m.placements)
                assert known, f"{job}/{task} on {there.machine} is believed gone"
        return False

    def as_leader(self, action: Callable[[Owner], None]) -> None:
        """Within the leading process, as its own work."""
        place = self.world.places[self.world.leader()]
        place.loop.call_soon(lambda: action(place.node.owner))

    def busy(self, job: str) -> list[str]:
        """Machines with tasks of the job."""
        live = self.world.checker.live
        return sorted({there.machine for key, there in live.items() if key[0] == job})

    def tasks(self, job: str) -> int:
        return sum(key[0] == job for key in self.world.checker.live)

    def lost(self, since: float) -> list[dict]:
        """Attempts that ended otherwise than done or called off."""
        return [
            row for at, kind, row in self.world.told
            if kind == "off" and at > since and row["why"] != "done" and row["job"] != CALLED_OFF
        ]  # fmt: skip

    def returned(self) -> list[str]:
        """Machines given back, but for those that had nothing to do."""
        hosts = self.world.fleet.cloud.hosts
        return [name for name, why in self.why.items() if why != "idle" and hosts[name].gone < INF]

    def emit(self, record: logging.LogRecord) -> None:
        if record.getMessage() == "machine goes back":
            self.why[record.fields["machine"]] = record.fields["why"]

    def __enter__(self) -> "Meeting":
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


def for_a_while(world: World, names: list[str], for_s: float) -> dict[str, tuple[float, float]]:
    return dict.fromkeys(names, (world.now, world.now + for_s))


# --- old reports -----------------------------------------------------------------------------


def stop_some(leader: Owner) -> None:
    for m in leader.book.machines.values():
        for p in list(m.placements.values())[:2]:
            if p.job in (SAVES, PLAIN) and p.state == "running":
                leader.book.stop(p, 5.0, "a test")


def history(meeting: Meeting) -> None:
    """Half a minute in which attempts end in every way; every report of it is kept."""
    world, fleet = meeting.world, meeting.world.fleet
    fleet.kept_part = 1.0
    for i in range(12):
        name = f"j-0001{i:02d}"
        meeting.short[name] = 2.0
        job = spec(name, tasks=3, team="blue", workload="tally", expected_s=2.0)
        world.at(5.0 + 1.5 * i, lambda job=job: world.submit(job, "host-1"))
    world.run(7.0)
    fleet.mute |= for_a_while(world, meeting.busy(PLAIN)[:1], LEASE_S + 1.0)  # a session ends
    world.run(9.0)
    back = [meeting.busy(SAVES)[-1]]
    meeting.as_leader(lambda leader: leader.keeper.give_back(back, "a test"))
    world.run(12.0)
    meeting.as_leader(stop_some)
    sick = fleet.workers[meeting.busy(SAVES)[0]]
    sick.sick = True
    world.at(16.0, lambda: setattr(sick, "sick", False))
    fills = spec(FILLS, tasks=24, team="blue", workload="tally", expected_s=LONG_S)
    world.at(LEASE_S + 9.0, lambda: world.submit(fills, "host-1"))
    world.run(TAKE_OVER_S - 4.0)
    # Cancelled work that nothing proves gone, at the change of the lead.
    fleet.away |= for_a_while(world, meeting.busy(CALLED_OFF)[:2], 6.0)
    world.cancel(CALLED_OFF)
    world.run(TAKE_OVER_S)


MOMENTS: dict[str, Callable[[World, int], Callable[[], bool]]] = {
    "before the view": lambda world, epoch: lambda: True,
    "view, not restored": lambda world, epoch: lambda: world.epoch() > epoch,
    "restored": lambda world, epoch: (
        lambda: bool(world.leader()) and world.node(world.leader()).owner.leading > epoch
    ),
    "it has acted": lambda world, epoch: lambda: world.now > TAKE_OVER_S + 6.0,
}


def old_reports(meeting: Meeting, moment: str, ends: bool = True) -> None:
    """All that was kept comes again, to every controller, at that moment of a take-over."""
    world = meeting.world
    history(meeting)
    if ends:
        world.crash(world.leader(), 0.4)
    world.when(
        MOMENTS[moment](world, world.epoch()),
        lambda: world.fleet.deliver_kept(list(world.controllers)),
    )
    kept = [(worker.name, wire.read_report(body)) for worker, body in world.fleet.kept]
    states = {task.state for _, report in kept for task in report.tasks}
    whys = {task.why for _, report in kept for task in report.tasks}
    returned = meeting.returned()
    assert states >= {"pulling", "waiting", "running", "flushing", "exited"}
    assert whys >= {"done", "halted", "error"} and set(returned) & {name for name, _ in kept}
    assert {1, 2} <= {report.tenure for _, report in kept}
    world.run(TAKE_OVER_S + 30.0)
    assert meeting.returned() == returned and not meeting.lost(TAKE_OVER_S)
    assert [meeting.tasks(name) for name in (PLAIN, SAVES, GANG, PULLS, FILLS)] == [8, 8, 4, 4, 24]
    assert world.checker.jobs[CALLED_OFF].told == "cancelled" and not meeting.tasks(CALLED_OFF)
    assert all(len(world.checker.jobs[name].done) == 3 for name in meeting.short)


@pytest.mark.parametrize("moment", MOMENTS)
def test_old_reports_at_every_controller_as_a_leader_begins_or_after(moment):
    with Meeting() as meeting:
        old_reports(meeting, moment)


def test_old_reports_after_newer_ones_with_no_change_of_the_lead():
    with Meeting() as meeting:
        old_reports(meeting, "it has acted", ends=False)


def planted_exit_of_any_attempt(monkeypatch) -> None:
    honest = Reports._tasks

    def tasks(self, m, report, now, absence=True):
        for t in report.tasks:
            job = self.book.jobs.get(t.job)
            p = job.placed.get(t.task) if job is not None else None
            if t.state == "exited" and p is not None and p.number > t.number:
                self.book.end(p, False, "a planted bug")
        return honest(self, m, report, now, absence)

    monkeypatch.setattr(Reports, "_tasks", tasks)


def planted_absence_in_any_epoch(monkeypatch) -> None:
    honest = Reports._tasks

    def tasks(self, m, report, now, absence=True):
        report = msgspec.structs.replace(report, epoch=self.book.leading)
        return honest(self, m, report, now, absence)

    monkeypatch.setattr(Reports, "_tasks", tasks)


def planted_no_order_of_reports(monkeypatch) -> None:
    honest = Reports.heard

    def heard(self, command):
        m = self.book.machines.get(command.report.machine)
        if m is not None and command.report.counter <= m.counter:
            m.tenure, m.counter = command.report.tenure, -1
        honest(self, command)

    monkeypatch.setattr(Reports, "heard", heard)


@pytest.mark.parametrize(
    "plant, moment",
    [
        (planted_exit_of_any_attempt, "restored"),
        (planted_absence_in_any_epoch, "restored"),
        (planted_no_order_of_reports, "it has acted"),
    ],
    ids=lambda it: getattr(it, "__name__", it),
)
def test_old_reports_notice_what_is_believed_wrongly(monkeypatch, plant, moment):
    plant(monkeypatch)
    with Meeting() as meeting, pytest.raises(AssertionError, match=r"believed gone|ran_"):
        old_reports(meeting, moment)


# --- machines that reach no controller -------------------------------------------------------


def muted(meeting: Meeting, for_s: float, count: int = 2) -> list[str]:
    """Machines with work that is called off soon cannot open connections from now on."""
    names = sorted({*meeting.busy(CALLED_OFF)[:count], *meeting.busy(PLAIN)[:1]})
    meeting.world.fleet.mute |= for_a_while(meeting.world, names, for_s)
    return names


def mute(meeting: Meeting) -> None:
    """Nothing but its lease ends their other work; none of them goes back for its silence."""
    world = meeting.world
    names = muted(meeting, 50.0)
    elsewhere = {key for key, there in world.checker.live.items() if there.machine in names}
    world.at(17.0, lambda: world.cancel(CALLED_OFF))
    world.run(15.0 + LEASE_S + 4.0)
    assert not meeting.tasks(CALLED_OFF) and world.checker.gone_s < 2 * REPORT_S
    placed = {key[:2] for key in world.checker.live if key[0] != CALLED_OFF}
    assert {key for key in elsewhere if key[0] != CALLED_OFF} <= placed
    world.submit(spec(FILLS, tasks=60, team="blue", workload="tally"), "host-1")
    world.run(75.0)
    assert not meeting.returned() and set(names) <= set(meeting.busy(FILLS))


def mute_and_hang(meeting: Meeting) -> None:
    """Its cancelled work goes on for as long as nothing proves its end; then it goes back."""
    world = meeting.world
    names = muted(meeting, 60.0)
    world.at(16.0, lambda: [world.fleet.hang(name, 60.0) for name in names])
    world.at(17.0, lambda: world.cancel(CALLED_OFF))
    world.run(65.0)
    assert set(meeting.returned()) == set(names) and not meeting.tasks(CALLED_OFF)
    assert world.checker.gone_s < CANCEL_S * c.CANCEL_RETURN_PART


def mute_while_the_leader_ends(meeting: Meeting) -> None:
    """The next one knows of them by the records alone."""
    world = meeting.world
    muted(meeting, 50.0)
    world.at(16.9, lambda: world.crash(world.leader(), 0.5))
    world.at(17.0, lambda: world.cancel(CALLED_OFF, "host-1"))
    world.run(75.0)
    assert not meeting.returned() and world.checker.gone_s < 2 * REPORT_S + 2.0


def mute_all(meeting: Meeting) -> None:
    world = meeting.world
    world.fleet.mute |= for_a_while(world, sorted(world.fleet.workers), 30.0)
    world.at(17.0, lambda: world.cancel(CALLED_OFF))
    world.run(75.0)
    assert not meeting.returned() and world.checker.gone_s < 2 * REPORT_S
    assert [meeting.tasks(name) for name in (PLAIN, SAVES, GANG, PULLS)] == [8, 8, 4, 4]


def goes_on(meeting: Meeting) -> None:
    """A machine hangs with cancelled work, goes on within its lease, and stops it at once."""
    world = meeting.world
    names = meeting.busy(CALLED_OFF)
    for name in names:
        world.fleet.hang(name, 12.0)
    world.at(15.5, lambda: world.cancel(CALLED_OFF))
    world.run(27.1)
    assert not meeting.tasks(CALLED_OFF) and not meeting.returned()
    world.run(40.0)
    assert not meeting.lost(15.0)


def late_commands(meeting: Meeting) -> None:
    """All of them are carried out late, after newer ones and the lead's change, or not at all."""
    world = meeting.world
    muted(meeting, 20.0, count=9)
    world.fleet.late_commands = (1.0, 60.0)
    world.at(15.5, lambda: world.cancel(CALLED_OFF))
    world.at(20.0, lambda: world.hand_over(world.leader()))
    world.at(24.0, lambda: world.crash(world.leader(), 0.3))
    world.at(28.0, lambda: world.hand_over(world.leader()))
    world.run(75.0)
    assert not meeting.returned() and world.checker.gone_s < LEASE_S + 5.0
    assert [meeting.tasks(name) for name in (PLAIN, SAVES, GANG, PULLS)] == [8, 8, 4, 4]


def held_up(meeting: Meeting) -> None:
    """Commands are held up on the way to machines that hang and go on, within their lease."""
    world = meeting.world
    for i, name in enumerate([*meeting.busy(CALLED_OFF), meeting.busy(PLAIN)[0]]):
        world.fleet.hang(name, 5.0 + 4.0 * i)
    world.fleet.late_commands = (0.5, 60.0)
    world.at(15.5, lambda: world.cancel(CALLED_OFF))
    world.at(18.0, lambda: world.crash(world.leader(), 0.3))
    world.run(60.0)
    assert not meeting.returned() and not meeting.lost(15.0)
    assert world.checker.gone_s < LEASE_S


def does_not_stop(meeting: Meeting) -> None:
    """It answers everything, and its cancelled work does not end."""
    world = meeting.world
    name = meeting.busy(CALLED_OFF)[0]
    world.fleet.workers[name]._stop = lambda *_: None
    world.at(17.0, lambda: world.cancel(CALLED_OFF))
    world.run(65.0)
    assert meeting.returned() == [name] and not meeting.tasks(CALLED_OFF)
    assert world.checker.gone_s < CANCEL_S * c.CANCEL_RETURN_PART + 2.0


UNREACHED = [
    mute, mute_and_hang, does_not_stop, mute_while_the_leader_ends, mute_all, goes_on,
    late_commands, held_up,
]  # fmt: skip


@pytest.mark.parametrize("meets", UNREACHED, ids=lambda meets: meets.__name__)
def test_machines_that_reach_nobody_or_hang(meets):
    with Meeting() as meeting:
        meeting.world.run(15.0)
        meets(meeting)


def planted_no_direct_requests(monkeypatch) -> None:
    monkeypatch.setattr(DirectRequests, "tick", lambda self, now: None)


def planted_no_sign_of_life(monkeypatch) -> None:
    monkeypatch.setattr(DirectRequests, "_needs_inspection", lambda self, m, quiet_s, now: False)


def planted_stops_of_everything(monkeypatch) -> None:
    monkeypatch.setattr(
        DirectRequests, "_stops", lambda self, m: [Order("stop", *key) for key in m.placements]
    )


def planted_no_return_for_cancelled_work(monkeypatch) -> None:
    monkeypatch.setattr(Keeper, "_overdue_jobs", lambda self: set())


@pytest.mark.parametrize(
    "plant, meets",
    [
        (planted_no_direct_requests, mute),
        (planted_no_direct_requests, goes_on),
        (planted_no_direct_requests, mute_while_the_leader_ends),
        (planted_no_sign_of_life, mute_all),
        (planted_stops_of_everything, held_up),
        (planted_no_return_for_cancelled_work, does_not_stop),
    ],
    ids=lambda it: it.__name__,
)
def test_what_is_wrong_with_machines_out_of_reach_is_noticed(monkeypatch, plant, meets):
    plant(monkeypatch)
    with (
        Meeting() as meeting,
        pytest.raises(AssertionError, match=r"returned|gone_s|lost|ran_|tasks|\[\] =="),
    ):
        meeting.world.run(15.0)
        meets(meeting)


# --- a zone with workers and a controller cut off, and machines that hear nothing --------------

CUT_S = 4.0 * LEASE_S


def cut_off(
    meeting: Meeting, zone: str, users: bool = False, state: bool = False, cloud: bool = True
) -> None:
    """Users cancel meanwhile, at the zone's own controller first where they still reach it.

    With the cloud down no machine can be given back: leases alone end what is cancelled.
    """
    world = meeting.world
    reach = {name for name, there in (("fleet", users), ("state", state)) if there}

    def between(a, b) -> bool:
        return (a.zone == zone) != (b.zone == zone) and not {a.name, b.name} & reach

    world.cut(CUT_S, between)
    if not cloud:
        world.cut(CUT_S, lambda a, b: b.name == CLOUD, "refuse")
    inside = next(name for name, there in world.controllers.items() if there == zone)
    outside = next(name for name, there in world.controllers.items() if there != zone)
    world.at(world.now + 2.0, lambda: world.cancel(CALLED_OFF, inside if users else outside))
    world.run(world.now + CUT_S + 80.0)
    assert not meeting.tasks(CALLED_OFF)
    assert world.checker.gone_s < CANCEL_S - c.CONTACT_MARGIN_S + 0.5
    assert [meeting.tasks(name) for name in (PLAIN, SAVES, GANG, PULLS)] == [8, 8, 4, 4]
    leader = world.node(world.leader()).owner.book
    assert all(leader.heard_lately(m, world.now) for m in leader.machines.values())


def zone_with_the_leader(meeting: Meeting) -> None:
    cut_off(meeting, meeting.world.controllers[meeting.world.leader()])


def zone_with_the_leader_and_users(meeting: Meeting) -> None:
    cut_off(meeting, meeting.world.controllers[meeting.world.leader()], users=True)


def zone_without_the_leader(meeting: Meeting) -> None:
    cut_off(meeting, "south" if meeting.world.leader() != "host-2" else "north", users=True)


def zone_without_the_leader_or_cloud(meeting: Meeting) -> None:
    cut_off(meeting, "south" if meeting.world.leader() != "host-2" else "north", cloud=False)


def zone_with_the_leader_without_cloud(meeting: Meeting) -> None:
    cut_off(meeting, meeting.world.controllers[meeting.world.leader()], cloud=False)


def zone_that_keeps_the_store(meeting: Meeting) -> None:
    cut_off(meeting, "south" if meeting.world.leader() != "host-2" else "north", state=True)


def deaf_while_the_leader_ends(meeting: Meeting) -> None:
    """Their reports come, and no answer reaches them: their leases end."""
    world = meeting.world
    names = sorted({*meeting.busy(CALLED_OFF)[:1], *meeting.busy(PLAIN)[:1]})
    world.fleet.deaf |= for_a_while(world, names, 60.0)
    world.at(15.9, lambda: world.crash(world.leader(), 0.4))
    world.at(16.0, lambda: world.cancel(CALLED_OFF, "host-1"))
    world.run(16.0 + LEASE_S + 10.0)
    assert not meeting.tasks(CALLED_OFF) and world.checker.gone_s < LEASE_S
    assert [meeting.tasks(name) for name in (PLAIN, SAVES, GANG, PULLS)] == [8, 8, 4, 4]
    assert {row["machine"] for row in meeting.lost(15.0)} <= set(names)


CUT_OFF = [
    zone_with_the_leader, zone_with_the_leader_and_users, zone_without_the_leader,
    zone_without_the_leader_or_cloud, zone_with_the_leader_without_cloud,
    zone_that_keeps_the_store, deaf_while_the_leader_ends,
]  # fmt: skip


@pytest.mark.parametrize("meets", CUT_OFF, ids=lambda meets: meets.__name__)
def test_what_hears_nobody(meets):
    with Meeting() as meeting:
        meeting.world.run(15.0)
        meets(meeting)


def planted_leases_renewed_for_ever(monkeypatch) -> None:
    monkeypatch.setattr(Cancellations, "may_renew", lambda self, now: True)


def planted_a_session_proves_nothing(monkeypatch) -> None:
    monkeypatch.setattr(Book, "lost", lambda self, m, why: None)


@pytest.mark.parametrize(
    "plant, meets",
    [
        (planted_leases_renewed_for_ever, zone_without_the_leader_or_cloud),
        (planted_leases_renewed_for_ever, zone_with_the_leader_without_cloud),
        (planted_a_session_proves_nothing, deaf_while_the_leader_ends),
    ],
    ids=lambda it: it.__name__,
)
def test_what_is_wrong_with_what_hears_nobody_is_noticed(monkeypatch, plant, meets):
    plant(monkeypatch)
    with Meeting() as meeting, pytest.raises(AssertionError, match=r"renewed|== \[8, 8, 4, 4\]"):
        meeting.world.run(15.0)
        meets(meeting)
