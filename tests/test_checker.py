"""The rules that the operators' letter adds: what breaks one is noticed, what keeps it is not."""

import asyncio
import math

import pytest

from coveflow import wire
from coveflow.core import planner
from coveflow.core.model import Order, Spec
from coveflow.daemon.inbox import Inbox
from coveflow.daemon.machine_manager import MachineManager
from coveflow.daemon.owner import Owner
from coveflow.daemon.task_counts import TaskCounts
from coveflow.lab import free_capacity, worlds
from coveflow.lab import site as sites
from coveflow.lab.check import Checker
from coveflow.lab.truth import Truth
from coveflow.lab.virtual import FLEET, World
from coveflow.lab.waits import REPORT_S, ROOM_S, WAITED_S, MachineRoom
from coveflow.lab.worker import Worker
from coveflow.lab.worlds import site
from coveflow.settings import Team, Tuning, Workers
from coveflow.state import keys as sk
from tests.samples import flavor, spec

JOB = "j-000001"
TEAMS = [Team("blue", cpus_max=40.0)]
LARGE = flavor("g16", cpus=16.0, accelerators=4.0, ram_gb=128.0)
LIMITS = Workers(report_s=1.0, lease_s=10.0, gang_wait_s=8.0, gang_peer_s=2.0, cancel_s=20.0)
CALM_S = 10.0
FIRST_S = CALM_S + WAITED_S  # when a rule about what waits in the calm can first be broken


def checker(teams=TEAMS) -> Checker:
    found = Checker(teams, cancel_s=20.0, flavors=[flavor(), LARGE])
    found.waits.calm_at = CALM_S
    return found


def submitted(at=0.0, job=JOB, **changes):
    return {"at": at, "kind": "submit", "job": job, "spec": spec(job, **changes)}


def answer(at, to="poll", code=200, state="queued", sent=None, job=JOB, done=0):
    return {"at": at, "kind": "answer", "to": to, "job": job, "code": code, "state": state,
            "sent": at if sent is None else sent, "done": done}  # fmt: skip


def accepted(**changes):
    return [submitted(**changes), answer(0.1, "submit", 201)]


def on(at, task=0, kind="on", number=1, **more):
    row = {"at": at, "kind": kind, "job": JOB, "task": task, "number": number, "machine": "n-1"}
    return row | {"type": "m8", "zone": "north", "spot": False, "why": None} | more


def machine(name="n-1", cpus=8.0, **changes):
    fields = {"flavor": "m8", "zone": "north", "spot": False, "accelerators": 0.0, "ram_gb": 32.0,
              "cache_gb": 60.0}  # fmt: skip
    return MachineRoom(name, cpus=cpus, **fields | changes)


def sampled(machines, placed=(), until=FIRST_S + 3.0):
    return [
        {"at": float(at), "kind": "rooms", "machines": list(machines), "placed": list(placed)}
        for at in range(int(until) + 1)
    ]


def rules(rows, teams=TEAMS) -> set[str]:
    return {broken.rule for broken in checker(teams).read(rows)} - {"nothing_ran"}


SOUTH = machine("n-2", zone="south")
SMALL = [machine("n-1", cpus=2.0), machine("n-2", cpus=2.0, zone="south")]
GANG = {"kind": "gang", "tasks": 4, "cpus": 1.0}

WAITS = {
    "plain": (accepted(), [machine()], []),
    "some of its tasks run": (accepted(tasks=2), [machine()], [(JOB, 0, "north")]),
    "gang": (accepted(**GANG), SMALL, []),
    "in one place": (accepted(**GANG, one_zone=True), [machine()], []),
    "scattered": (accepted(**GANG, spread=True), SMALL, []),
    "only its zone": (accepted(zone="south"), [SOUTH], []),
    "a team with room for one": (accepted(tasks=9, cpus=8.0), [machine()],
                                 [(JOB, task, "north") for task in range(4)]),
}  # fmt: skip


@pytest.mark.parametrize("case", WAITS)
def test_a_job_that_waits_beside_room_is_noticed(case):
    rows, machines, placed = WAITS[case]
    assert rules([*rows, *sampled(machines, placed)]) == {"waited"}
    assert rules([*rows, *sampled(machines, placed, FIRST_S - 2.0)]) == set()


FAILED = on(FIRST_S - 30.0, 0, "off", why="error")
RIGHTLY = {
    "no room": (accepted(), [machine(cpus=0.5)], []),
    "no accelerator": (accepted(accelerators=1.0), [machine()], []),
    "no memory": (accepted(ram_gb=64.0), [machine()], []),
    "spot only": (accepted(spot=False), [machine(spot=True)], []),
    "another type": (accepted(types=["g16"]), [machine()], []),
    "another zone": (accepted(zone="south"), [machine()], []),
    "its image fits no cache": (accepted(image_gb=61.0), [machine()], []),
    "half a gang": (accepted(**GANG), SMALL[:1], []),
    "a gang that is still ending": (accepted(**GANG), [machine()], [(JOB, 3, "north")]),
    "two half places": (accepted(**GANG, one_zone=True), SMALL, []),
    "an array's tasks are elsewhere": (accepted(tasks=2, one_zone=True), [SOUTH],
                                       [(JOB, 0, "north")]),
    "a crowd": (accepted(**GANG, spread=True), [machine()], []),
    "its team is at its limit": (accepted(tasks=9, cpus=8.0), [machine()],
                                 [(JOB, task, "north") for task in range(5)]),
    "it fails everywhere": ([*accepted(), on(1.0), FAILED], [machine()], []),
    "it is done": ([*accepted(tasks=1), on(1.0), on(2.0, 0, "off", why="done")], [machine()], []),
    "it is cancelled": ([*accepted(), {"at": 1.0, "kind": "cancel", "job": JOB}], [machine()], []),
    "it was never accepted": ([submitted()], [machine()], []),
    "all runs": (accepted(tasks=1), [machine()], [(JOB, 0, "north")]),
}  # fmt: skip


@pytest.mark.parametrize("case", RIGHTLY)
def test_a_job_that_waits_rightly_is_not(case):
    rows, machines, placed = RIGHTLY[case]
    assert rules([*rows, *sampled(machines, placed)]) == set()


def test_room_that_turns_over_is_none():
    busy, free = sampled([machine(cpus=0.0)]), sampled([machine()])
    rows = [free[i] if i % int(ROOM_S) else busy[i] for i in range(len(busy))]
    assert rules([*accepted(), *rows]) == set()


def test_a_limit_that_turns_over_is_met():
    full = [(JOB, task, "north") for task in range(5)]
    at_limit, below = sampled([machine()], full), sampled([machine()], full[:4])
    rows = [below[i] if i % int(REPORT_S) else at_limit[i] for i in range(len(below))]
    assert rules([*accepted(tasks=9, cpus=8.0), *rows]) == set()


# --- starts after a cancellation ------------------------------------------------------------

CANCELLED = [
    {"at": 4.9, "kind": "cancel", "job": JOB}, answer(5.0, "cancel", state="cancelled"),
]  # fmt: skip


def run(made, at):
    return {"at": at, "kind": "renewed", "sent": made, "machine": "n-1", "live": [], "made": made,
            "orders": [("run", JOB, 0)], "runs": [(JOB, 0, 1)]}  # fmt: skip


@pytest.mark.parametrize(
    ("cause", "made", "at"),
    [("fetching", 3.0, 3.1), ("in flight", 4.9, 5.2), ("told after", 5.1, 5.2)],
)
def test_starts_after_a_confirmed_cancellation_are_counted_by_cause(cause, made, at):
    found = checker()
    found.read([*accepted(), *CANCELLED, run(made, at), on(6.0), on(7.0, 0, "off")])
    assert found.late.counts == {cause: 1}


def test_a_start_before_the_confirmation_is_not_counted():
    found = checker()
    found.read([*accepted(), *CANCELLED, run(3.0, 3.1), on(4.0), on(7.0, 0, "off")])
    assert not found.late.counts


# --- answers of all nodes -------------------------------------------------------------------


def test_done_counts_that_fall_are_counted_by_when_they_were_asked_and_answered():
    polls = [answer(2.0, done=1), answer(3.0, done=3)]
    found = checker()
    # Asked at the same time as the one that said 3, it may say 1; 0 was said to be over before.
    found.read([*accepted(), *polls, answer(3.1, sent=2.9, done=1)])
    assert found.done_fell == 0
    found = checker()
    found.read([*accepted(), *polls, answer(3.1, sent=2.9, done=0), answer(4.0, done=2)])
    assert found.done_fell == 2


def test_an_answer_asked_before_another_came_may_be_older_than_it():
    over = [*accepted(tasks=1), on(1.0), on(2.0, 0, "off", why="done"), answer(3.0, state="done")]
    for state in ("queued", "running"):
        assert rules([*over, answer(3.2, state=state, sent=2.9)]) == set()
        assert rules([*over, answer(3.2, state=state, sent=3.1)]) == {"went_back"}
    early = [submitted(), answer(0.2, code=404, sent=0.05), answer(0.1, "submit", 201)]
    assert rules(early) == set()
    assert rules([*early, answer(0.3, code=404, sent=0.2)]) == {"forgotten"}


# --- what may not be accepted ----------------------------------------------------------------

IMPOSSIBLE = {
    "no such team": {"team": "red"},
    "no such type": {"types": ["m16"]},
    "too many CPUs": {"cpus": 17.0},
    "too many accelerators": {"accelerators": 5.0},
    "too much memory": {"ram_gb": 129.0},
    "no such zone": {"zone": "east"},
    "its type is too small": {"types": ["m8"], "cpus": 9.0},
    "a gang beyond its team's limit": {"kind": "gang", "tasks": 6, "cpus": 8.0},
    "a service beyond its team's limit": {"kind": "service", "tasks": 6, "cpus": 8.0},
}


@pytest.mark.parametrize("case", IMPOSSIBLE)
def test_what_can_never_run_may_not_be_accepted(case):
    assert "accepted_impossible" in rules(accepted(**IMPOSSIBLE[case]))
    assert rules([submitted(**IMPOSSIBLE[case]), answer(0.1, "submit", 422)]) == set()


def test_what_lacks_a_field_may_not_be_accepted_and_an_array_beyond_the_limit_may():
    flawed = {"at": 0.0, "kind": "submit", "job": JOB, "spec": None, "flaw": "no cpus"}
    assert rules([flawed, answer(0.1, "submit", 201)]) == {"accepted_impossible"}
    assert rules([flawed, answer(0.1, "submit", 400)]) == set()
    assert rules(accepted(tasks=6, cpus=8.0)) == set()


# --- whole worlds ------------------------------------------------------------------------------


def world_of(machines=3, run_s=8.0, nodes=3, spot=0) -> World:
    names = {f"host-{i}": "north" for i in range(nodes)}
    text = site(["north"], nodes, machines, run_s, spot)
    return World(sites.parse(text, "test"), names, 1, Tuning(homes=True))


def played(world: World, jobs: list[Spec], until: float, calm_at: float = 0.0) -> World:
    free_capacity.watch(world, calm_at)
    for i, job in enumerate(jobs):
        world.at(3.0 + i, lambda job=job: world.submit(job, "host-0"))
    world.run(until)
    return world


def long_jobs(count=4, **changes) -> list[Spec]:
    fields = {"workload": "tally", "tasks": 2, "expected_s": 20.0} | changes
    return [spec(f"j-{i:06d}", **fields) for i in range(count)]


def a_job_is_forgotten(monkeypatch) -> None:
    """The planner never gets to one job."""
    honest = planner.rank_jobs

    def order(state, *others):
        jobs, urgent = honest(state, *others)
        return [job for job in jobs if job.id != "j-000002"], urgent

    monkeypatch.setattr(planner, "rank_jobs", order)


def test_a_world_in_which_a_job_waits_beside_room_fails(monkeypatch):
    with world_of(run_s=200.0) as world:
        played(world, long_jobs(), 3.0 + WAITED_S + 20.0)
        assert len(world.checker.jobs) == 4 and world.checker.waits.longest_s < 5.0
    a_job_is_forgotten(monkeypatch)
    with world_of(run_s=200.0) as world, pytest.raises(AssertionError, match="waited: j-000002"):
        played(world, long_jobs(), 3.0 + WAITED_S + 20.0)


# --- machines that hung -----------------------------------------------------------------------

HUNG_S = 60.0  # s, longer than a cancelled task may stay


@pytest.mark.parametrize("for_s", [LIMITS.lease_s - 1.0, LIMITS.lease_s + 1.0, HUNG_S])
def test_a_task_is_on_a_machine_that_hung_until_that_goes_on_and_ends_it(for_s):
    """What the lease had ended was told as of that moment, and never as late."""
    truth, notes = Truth(lambda spec: [500.0], 2.0, 8.0), []
    truth.upload(spec(JOB, tasks=1, image_gb=0.0))
    worker = Worker("n-1", "", flavor(), "north", False, LIMITS, truth, 0.0,
                    note=lambda kind, at, *_: notes.append((kind, at)))  # fmt: skip
    worker.obey([Order("run", JOB, 0, 1)], 0.0)
    worker.hang(0.0)
    worker.resume(for_s)
    ended = [at for kind, at in notes if kind == "off"]
    assert ended == ([] if for_s < LIMITS.lease_s else [for_s])
    found = checker()
    found.read([
        *accepted(tasks=1), on(0.2), {"at": 1.0, "kind": "cancel", "job": JOB},
        answer(1.0, "cancel", state="cancelled"), *(on(at, 0, "off") for at in ended),
    ])  # fmt: skip
    assert ("ran_cancelled" in {broken.rule for broken in found.broken}) == (for_s == HUNG_S)


def hung_with_cancelled_work() -> World:
    with world_of(run_s=200.0) as world:
        names: list[str] = []

        def hang() -> None:
            names.extend(n for n, w in world.fleet.workers.items() if w.tasks)
            for name in names:
                world.fleet.hang(name, HUNG_S)

        world.at(12.0, hang)
        world.at(12.1, lambda: world.cancel("j-000000", "host-1"))
        played(world, long_jobs(1, tasks=12), 12.0 + HUNG_S + 5.0, math.inf)
        assert names
        return world


def test_cancelled_work_on_machines_that_hang_is_gone_in_time(monkeypatch):
    assert 0 < hung_with_cancelled_work().checker.gone_s < 40.0
    monkeypatch.setattr(MachineManager, "_silent", lambda self, now: [])
    with pytest.raises(AssertionError, match="ran_cancelled"):
        hung_with_cancelled_work()


# --- runs of what is known to be cancelled ------------------------------------------------------


def planted_store_alone(monkeypatch) -> None:
    """What this node confirmed to users, or peers told, counts only when the store tells it."""
    monkeypatch.setattr(Inbox, "apply_peer_cancellations", lambda self, jobs: None)
    monkeypatch.setattr(
        Inbox, "cancelled",
        lambda self, job: getattr(self.accepted.get(job), "cancelled", None) is not None,
    )  # fmt: skip


def told_by_the_leader() -> World:
    """The leader tells of cancellations that others wrote, and its watch tells it 0.5 s later."""
    jobs = long_jobs(4, tasks=200, expected_s=1.0)
    with world_of(run_s=1.0, nodes=1) as world:
        watch = world.state._watch

        async def late(who, query):
            response = await watch(who, query)
            await asyncio.sleep(0.5)
            return response

        def cancel(job: str) -> None:
            row = world.state.store.get(sk.JOB + job)
            value = {**row.value, "cancel": world.now}
            world.state.store.commit({}, {sk.JOB + job: (value, None)}, world.now)
            world.checker.see({"at": world.now, "kind": "cancel", "job": job})
            path = f"{wire.WORK_PATH}/{job}"
            asked = world._request("host-0", "GET", path, "poll", job)
            world.hosts[FLEET].loop.create_task(asked)

        world.state._watch = late
        for i, job in enumerate(jobs):
            world.at(8.0 + i, lambda job=job.id: cancel(job))
        return played(world, jobs, 14.0, math.inf)


def test_a_leader_runs_nothing_that_it_told_is_cancelled(monkeypatch):
    """It acted on what it told a user only when the store's watch told it too."""
    world = told_by_the_leader()
    assert world.checker.late.counts["told after"] == 0 and world.checker.gone_s > 0
    planted_store_alone(monkeypatch)
    with pytest.raises(AssertionError, match=r"is run on .* and known to be cancelled"):
        told_by_the_leader()


def test_a_home_passes_no_run_on_that_it_knows_is_cancelled(monkeypatch):
    """The leader's answer waited for a batch when another node's word came to the home."""
    told = worlds.play(worlds.meetings(16))
    assert not told.broken
    monkeypatch.setattr(wire, "without_cancelled_runs", lambda body, cancelled: body)
    assert "renewed: j-000003 is run" in worlds.play(worlds.meetings(16)).broken


# --- counts for display -------------------------------------------------------------------------


def test_a_leader_that_begins_tells_what_its_records_count(monkeypatch):
    """Polls between its beginning and its first tick were told that nothing was done."""
    assert worlds.play(worlds.rushes(31)).done_fell == 0
    lead = Owner._start_leading

    def uncounted(self, command):
        lead(self, command)
        self.task_counts = TaskCounts()

    monkeypatch.setattr(Owner, "_start_leading", uncounted)
    assert worlds.play(worlds.rushes(31)).done_fell > 0
