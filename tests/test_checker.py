"""The checker reports violations of its additional rules, and accepts what the rules allow.

The rules concern jobs that wait although there is room, impossible jobs, and cancelled work.
"""

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
from coveflow.lab.truth import GroundTruth
from coveflow.lab.virtual import FLEET, World
from coveflow.lab.waits import END_REPORTED_S, MAX_WAIT_S, ROOM_LASTS_S, FreeCapacity
from coveflow.lab.worker import Worker
from coveflow.lab.worlds import site
from coveflow.settings import Team, Tuning, Workers
from coveflow.state import keys as sk
from tests.samples import flavor, spec

JOB = "j-000001"
TEAMS = [Team("blue", cpus_max=40.0)]
LARGE = flavor("g16", cpus=16.0, accelerators=4.0, ram_gb=128.0)
LIMITS = Workers(report_s=1.0, lease_s=10.0, gang_wait_s=8.0, gang_peer_s=2.0, cancel_s=20.0)
FAULTS_OVER_S = 10.0
FIRST_VIOLATION_S = FAULTS_OVER_S + MAX_WAIT_S  # earliest time of a violation by a waiting job


def checker(teams=TEAMS) -> Checker:
    found = Checker(teams, cancel_s=20.0, flavors=[flavor(), LARGE])
    found.waits.faults_over_at = FAULTS_OVER_S
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
    return FreeCapacity(name, cpus=cpus, **fields | changes)


def sampled(machines, placed=(), until=FIRST_VIOLATION_S + 3.0):
    return [
        {"at": float(at), "kind": "rooms", "machines": list(machines), "placed": list(placed)}
        for at in range(int(until) + 1)
    ]


def rules(rows, teams=TEAMS) -> set[str]:
    return {broken.rule for broken in checker(teams).check_history(rows)} - {"nothing_ran"}


SOUTH = machine("n-2", zone="south")
SMALL = [machine("n-1", cpus=2.0), machine("n-2", cpus=2.0, zone="south")]
GANG = {"kind": "gang", "tasks": 4, "cpus": 1.0}

WAITING = {
    "plain": (accepted(), [machine()], []),
    "some of its tasks run": (accepted(tasks=2), [machine()], [(JOB, 0, "north")]),
    "gang": (accepted(**GANG), SMALL, []),
    "in one place": (accepted(**GANG, one_zone=True), [machine()], []),
    "scattered": (accepted(**GANG, spread=True), SMALL, []),
    "only its zone": (accepted(zone="south"), [SOUTH], []),
    "a team with room for one": (accepted(tasks=9, cpus=8.0), [machine()],
                                 [(JOB, task, "north") for task in range(4)]),
}  # fmt: skip


@pytest.mark.parametrize("case", WAITING)
def test_job_that_waits_although_there_is_room_is_reported(case):
    rows, machines, placed = WAITING[case]
    assert rules([*rows, *sampled(machines, placed)]) == {"waited"}
    assert rules([*rows, *sampled(machines, placed, FIRST_VIOLATION_S - 2.0)]) == set()


FAILED = on(FIRST_VIOLATION_S - 30.0, 0, "off", why="error")
VALID_REASONS = {
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


@pytest.mark.parametrize("case", VALID_REASONS)
def test_job_that_waits_for_a_valid_reason_is_not_reported(case):
    rows, machines, placed = VALID_REASONS[case]
    assert rules([*rows, *sampled(machines, placed)]) == set()


def test_capacity_that_is_free_only_briefly_is_not_counted_as_room():
    busy, free = sampled([machine(cpus=0.0)]), sampled([machine()])
    rows = [free[i] if i % int(ROOM_LASTS_S) else busy[i] for i in range(len(busy))]
    assert rules([*accepted(), *rows]) == set()


def test_team_limit_reached_between_two_reports_counts_as_reached():
    full = [(JOB, task, "north") for task in range(5)]
    at_limit, below = sampled([machine()], full), sampled([machine()], full[:4])
    rows = [below[i] if i % int(END_REPORTED_S) else at_limit[i] for i in range(len(below))]
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
    found.check_history([*accepted(), *CANCELLED, run(made, at), on(6.0), on(7.0, 0, "off")])
    assert found.late_starts.counts == {cause: 1}


def test_a_start_before_the_confirmation_is_not_counted():
    found = checker()
    found.check_history([*accepted(), *CANCELLED, run(3.0, 3.1), on(4.0), on(7.0, 0, "off")])
    assert not found.late_starts.counts


# --- answers of all nodes -------------------------------------------------------------------


def test_decreasing_done_counts_are_detected_by_send_and_receive_times():
    polls = [answer(2.0, done=1), answer(3.0, done=3)]
    found = checker()
    # A poll that overlaps the one answered with 3 may return 1, but not 0, since 1 was returned
    # before it was sent.
    found.check_history([*accepted(), *polls, answer(3.1, sent=2.9, done=1)])
    assert found.done_fell == 0
    found = checker()
    found.check_history([*accepted(), *polls, answer(3.1, sent=2.9, done=0), answer(4.0, done=2)])
    assert found.done_fell == 2


def test_answer_to_an_overlapping_request_may_show_an_older_state():
    over = [*accepted(tasks=1), on(1.0), on(2.0, 0, "off", why="done"), answer(3.0, state="done")]
    for state in ("queued", "running"):
        assert rules([*over, answer(3.2, state=state, sent=2.9)]) == set()
        assert rules([*over, answer(3.2, state=state, sent=3.1)]) == {"went_back"}
    early = [submitted(), answer(0.2, code=404, sent=0.05), answer(0.1, "submit", 201)]
    assert rules(early) == set()
    assert rules([*early, answer(0.3, code=404, sent=0.2)]) == {"forgotten"}


# --- impossible jobs ------------------------------------------------------------------------

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
def test_accepting_a_job_that_can_never_run_is_reported(case):
    assert "accepted_impossible" in rules(accepted(**IMPOSSIBLE[case]))
    assert rules([submitted(**IMPOSSIBLE[case]), answer(0.1, "submit", 422)]) == set()


def test_accepting_a_malformed_job_is_reported_and_an_array_beyond_its_limit_is_not():
    flawed = {"at": 0.0, "kind": "submit", "job": JOB, "spec": None, "flaw": "no cpus"}
    assert rules([flawed, answer(0.1, "submit", 201)]) == {"accepted_impossible"}
    assert rules([flawed, answer(0.1, "submit", 400)]) == set()
    assert rules(accepted(tasks=6, cpus=8.0)) == set()


# --- simulated runs ----------------------------------------------------------------------------


def world_of(machines=3, run_s=8.0, nodes=3, spot=0) -> World:
    names = {f"host-{i}": "north" for i in range(nodes)}
    text = site(["north"], nodes, machines, run_s, spot)
    return World(sites.parse(text, "test"), names, 1, Tuning(homes=True))


def run_jobs(world: World, jobs: list[Spec], until: float, calm_at: float = 0.0) -> World:
    free_capacity.watch(world, calm_at)
    for i, job in enumerate(jobs):
        world.at(3.0 + i, lambda job=job: world.submit(job, "host-0"))
    world.run(until)
    return world


def long_jobs(count=4, **changes) -> list[Spec]:
    fields = {"workload": "tally", "tasks": 2, "expected_s": 20.0} | changes
    return [spec(f"j-{i:06d}", **fields) for i in range(count)]


def omit_one_job(monkeypatch) -> None:
    """Make the planner omit one job."""
    original = planner.rank_jobs

    def order(state, *others):
        jobs, urgent = original(state, *others)
        return [job for job in jobs if job.id != "j-000002"], urgent

    monkeypatch.setattr(planner, "rank_jobs", order)


def test_run_in_which_a_job_waits_although_there_is_room_fails(monkeypatch):
    with world_of(run_s=200.0) as world:
        run_jobs(world, long_jobs(), 3.0 + MAX_WAIT_S + 20.0)
        assert len(world.checker.jobs) == 4 and world.checker.waits.longest_s < 5.0
    omit_one_job(monkeypatch)
    with world_of(run_s=200.0) as world, pytest.raises(AssertionError, match="waited: j-000002"):
        run_jobs(world, long_jobs(), 3.0 + MAX_WAIT_S + 20.0)


# --- machines that hung -----------------------------------------------------------------------

HUNG_S = 60.0  # longer than a cancelled task may keep running


@pytest.mark.parametrize("for_s", [LIMITS.lease_s - 1.0, LIMITS.lease_s + 1.0, HUNG_S])
def test_task_on_a_hung_machine_counts_as_running_until_the_machine_resumes(for_s):
    """Guards against recording the end at the lease's expiry, which hides a late stop."""
    truth, notes = GroundTruth(lambda spec: [500.0], 2.0, 8.0), []
    truth.upload(spec(JOB, tasks=1, image_gb=0.0))
    worker = Worker("n-1", "", flavor(), "north", False, LIMITS, truth, 0.0,
                    note=lambda kind, at, *_: notes.append((kind, at)))  # fmt: skip
    worker.apply_orders([Order("run", JOB, 0, 1)], 0.0)
    worker.hang(0.0)
    worker.resume(for_s)
    ended = [at for kind, at in notes if kind == "off"]
    assert ended == ([] if for_s < LIMITS.lease_s else [for_s])
    found = checker()
    found.check_history([
        *accepted(tasks=1), on(0.2), {"at": 1.0, "kind": "cancel", "job": JOB},
        answer(1.0, "cancel", state="cancelled"), *(on(at, 0, "off") for at in ended),
    ])  # fmt: skip
    assert ("ran_cancelled" in {broken.rule for broken in found.violations}) == (for_s == HUNG_S)


def run_with_hung_machines() -> World:
    with world_of(run_s=200.0) as world:
        names: list[str] = []

        def hang() -> None:
            names.extend(n for n, w in world.fleet.workers.items() if w.tasks)
            for name in names:
                world.fleet.hang(name, HUNG_S)

        world.at(12.0, hang)
        world.at(12.1, lambda: world.cancel("j-000000", "host-1"))
        run_jobs(world, long_jobs(1, tasks=12), 12.0 + HUNG_S + 5.0, math.inf)
        assert names
        return world


def test_cancelled_tasks_on_hung_machines_end_in_time(monkeypatch):
    assert 0 < run_with_hung_machines().checker.gone_s < 40.0
    monkeypatch.setattr(MachineManager, "_silent", lambda self, now: [])
    with pytest.raises(AssertionError, match="ran_cancelled"):
        run_with_hung_machines()


# --- run orders for jobs known to be cancelled --------------------------------------------------


def apply_cancellations_from_store_only(monkeypatch) -> None:
    """Make the node ignore cancellations it confirmed or got from peers until the store's watch."""
    monkeypatch.setattr(Inbox, "apply_peer_cancellations", lambda self, jobs: None)
    monkeypatch.setattr(
        Inbox, "cancelled",
        lambda self, job: getattr(self.accepted.get(job), "cancelled", None) is not None,
    )  # fmt: skip


def confirmed_by_the_leader() -> World:
    """The leader confirms cancellations written by others 0.5 s before its watch delivers them."""
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
            world.checker.record({"at": world.now, "kind": "cancel", "job": job})
            path = f"{wire.WORK_PATH}/{job}"
            asked = world._request("host-0", "GET", path, "poll", job)
            world.hosts[FLEET].loop.create_task(asked)

        world.state._watch = late
        for i, job in enumerate(jobs):
            world.at(8.0 + i, lambda job=job.id: cancel(job))
        return run_jobs(world, jobs, 14.0, math.inf)


def test_leader_starts_no_task_of_a_job_it_confirmed_as_cancelled(monkeypatch):
    """Guards against a leader that applies a confirmed cancellation only after its watch."""
    world = confirmed_by_the_leader()
    assert world.checker.late_starts.counts["told after"] == 0 and world.checker.gone_s > 0
    apply_cancellations_from_store_only(monkeypatch)
    with pytest.raises(AssertionError, match=r"is run on .* and known to be cancelled"):
        confirmed_by_the_leader()


def test_home_node_forwards_no_run_order_for_a_job_it_knows_is_cancelled(monkeypatch):
    """A peer's cancellation reaches the home node while the leader's answer waits for a batch."""
    told = worlds.play(worlds.meetings(16))
    assert not told.broken
    monkeypatch.setattr(wire, "without_cancelled_runs", lambda body, cancelled: body)
    assert "renewed: j-000003 is run" in worlds.play(worlds.meetings(16)).broken


# --- counts for display -------------------------------------------------------------------------


def test_new_leader_publishes_the_task_counts_of_its_records(monkeypatch):
    """Guards against polls that show 0 done tasks until the new leader's first tick."""
    assert worlds.play(worlds.rushes(31)).done_fell == 0
    lead = Owner._start_leading

    def uncounted(self, command):
        lead(self, command)
        self.task_counts = TaskCounts()

    monkeypatch.setattr(Owner, "_start_leading", uncounted)
    assert worlds.play(worlds.rushes(31)).done_fell > 0
