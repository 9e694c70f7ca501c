"""Machines that a job leaves out after failures: an exclusion ends, whatever fails in between.

"No job waits 90 s beside a machine that fits and has room" (the operators' wish) must hold once the
failures are over, in pools of any size, with leaders that change and machines that restart.
"""

import random

import pytest

from coveflow import constants as c
from coveflow.core import exclusions
from coveflow.core.model import Job, Machine
from tests.samples import flavor, spec
from tests.world import World

WAIT_LIMIT_S = 90.0  # no job waits as long beside room once the failures are over
HOLDER = "j-900000"  # keeps every machine of the pool up, with room for others beside it
HOLDER_CPUS, TASK_CPUS = 5.0, 2.0
LONG_S, SHORT_S = 2000.0, 4.0


class Pool(World):
    """Machines of one zone, none of which can be replaced, beside those of another zone."""

    def __init__(self, seed: int, size: int, others: int = 0) -> None:
        super().__init__(seed, machines=0, limit=None)
        self.truth.draw = lambda job: [LONG_S if job.id == HOLDER else SHORT_S] * job.tasks
        (machine_type,) = self.cloud.flavors.values()
        for zone, count in (("north", size), ("south", others)):
            self.cloud.capacity[(machine_type.name, zone, False)] = count
            if count:
                self.cloud.start_machines(machine_type.name, zone, False, count, 0.0)
        self.submit(spec(HOLDER, tasks=size, cpus=HOLDER_CPUS, zone="north"))
        while len(self.holders()) < size:
            assert self.now < 60.0
            self.run(self.now + 0.5)
        self.waited_s: dict[str, float] = {}  # since the failures ended, beside room, by job
        self.well_at = self.now

    def holders(self) -> list:
        """The machines of the pool on which the long task runs."""
        return [
            link
            for link in self.workers
            if any(a.job == HOLDER and a.state == "running" for a in link.worker.tasks.values())
        ]

    def fail_all(self, for_s: float) -> None:
        for link in self.holders():
            self.sick(link, for_s)

    def waiting_beside_room(self) -> list[tuple[Job, list[Machine]]]:
        """Jobs that wait, each with the machines that fit and have room."""
        leader = self.leader()
        if leader is None:
            return []
        state = leader.state
        up = [
            m
            for m in state.machines.values()
            if state.reported_recently(m, self.now) and not (m.returning or m.draining)
        ]
        found = []
        for job in state.jobs.values():
            room = [m for m in up if m.allows(job.spec) and m.fits(job.spec)]
            if job.cancelled is None and job.pending and not job.placed and room:
                found.append((job, room))
        return found

    def measure_waits(self, for_s: float, step_s: float = 0.5) -> None:
        """Play on, and take the longest time that each job waits beside room."""
        since: dict[str, float] = {}
        end = self.now + for_s
        while self.now < end:
            self.run(self.now + step_s)
            waiting = {job.id for job, _ in self.waiting_beside_room()}
            since = {name: since.get(name, self.now) for name in waiting}
            for name, at in since.items():
                self.waited_s[name] = max(self.waited_s.get(name, 0.0), self.now - at)


def one_task(name: str = "j-000001", **changes):
    fields = {"tasks": 1, "cpus": TASK_CPUS, "zone": "north"}
    return spec(name, **(fields | changes))


@pytest.mark.parametrize(("size", "others"), [(1, 0), (2, 0), (3, 0), (4, 16)])
def test_job_that_failed_on_each_machine_of_its_pool_runs_once_they_are_well(size, others):
    """Guards against review/7: the machines on which a job failed were left out for good, unless
    they were three or more and half of all machines, also of those that the job may not use."""
    world = Pool(1, size, others)
    world.fail_all(25.0)  # long enough to fail on each, with the pause after the third
    world.submit(one_task())
    world.run(world.now + 25.0)
    world.measure_waits(WAIT_LIMIT_S)
    assert world.ended.get("j-000001") == "done", world.waited_s


@pytest.mark.parametrize("size", [1, 2, 3])
def test_jobs_run_on_machines_that_two_jobs_with_a_mistake_made_suspected(size):
    """Guards against review/6: a suspected machine took no task as long as anything ran on it."""
    world = Pool(2, size)
    mistakes = ["j-000001", "j-000002"]
    world.truth.failing_jobs.update(mistakes)
    for name in mistakes:
        world.submit(one_task(name))
    world.run(world.now + 12.0)
    for name in mistakes:
        world.cancel(name)
    world.run(world.now + 2.0)
    later = ["j-000003", "j-000004"]
    for name in later:
        world.submit(one_task(name))
    world.measure_waits(WAIT_LIMIT_S)
    assert all(world.ended.get(name) == "done" for name in later), world.waited_s


@pytest.mark.parametrize("kind", ["gang", "service", "array"])
def test_each_kind_of_job_is_tried_again(kind):
    """Guards against a gang or a service that is left out for good where one task is not."""
    world = Pool(3, 2)
    world.fail_all(10.0)
    job = one_task(kind=kind, tasks=2, spread=False, one_zone=True, cpus=3.0)
    world.submit(job)
    world.run(world.now + 10.0)
    world.measure_waits(WAIT_LIMIT_S)
    assert world.ended.get(job.id) == "done" or len(world.leader().state.jobs[job.id].placed) == 2


def draw_troubles(world: Pool, rng: random.Random, for_s: float) -> None:
    """Failing machines, jobs with a mistake, restarts and changes of the leader, for some time."""
    for _ in range(rng.randint(1, 4)):
        link = rng.choice(world.holders())
        world.at(rng.uniform(0.0, for_s / 2), lambda link=link: world.sick(link, for_s / 2))
    for index in range(rng.randint(0, 3)):
        name = f"j-1{index:05d}"
        world.truth.failing_jobs.add(name)
        made = one_task(name, tasks=rng.randint(1, 3))
        world.at(rng.uniform(0.0, for_s / 2), lambda made=made: world.submit(made))
        world.at(for_s, lambda name=name: world.cancel(name))
    for index in range(rng.randint(1, 4)):
        made = one_task(f"j-2{index:05d}", tasks=rng.randint(1, 4), cpus=rng.choice([1.0, 2.0]))
        world.at(rng.uniform(0.0, for_s), lambda made=made: world.submit(made))
    if rng.random() < 0.5:
        link = rng.choice(world.holders())
        world.at(rng.uniform(0.0, for_s), lambda: world.restart_worker(link, rng.random() < 0.5))
    if rng.random() < 0.6:
        at = rng.uniform(0.0, for_s)
        world.at(at, lambda: world.crash("a", back_s=2.0))
        world.at(at + 1.0, lambda: world.elect("b"))


@pytest.mark.parametrize("seed", range(24))
def test_next_try_of_a_waiting_job_is_known_and_near(seed):
    """Guards against any decision about failures without a way back: while a job waits beside room
    that fits, the time of its next try is known, near, and comes."""
    rng = random.Random(seed)
    world = Pool(seed, rng.randint(1, 4), rng.choice([0, 0, 6]))
    troubles_s = rng.uniform(10.0, 120.0)
    draw_troubles(world, rng, troubles_s)
    near_s = max(c.SUSPECT_RETRY_MAX_S, c.ERROR_BACKOFF_MAX_S, c.RETRY_PROVEN_S)
    assert near_s < WAIT_LIMIT_S

    def check_next_tries() -> None:
        for job, room in world.waiting_beside_room():
            at = min(exclusions.next_try_at(job, m, world.now, world.now) for m in room)
            assert at <= world.now + near_s, f"{job.id} at {world.now:.1f}: {at:.1f}"

    world.every(0.5, check_next_tries)
    world.run(world.now + troubles_s + 5.0)
    world.measure_waits(240.0)
    assert all(waited < WAIT_LIMIT_S for waited in world.waited_s.values()), world.waited_s
    unfinished = {name for name in world.submitted if name.startswith("j-2")} - set(world.over)
    assert not unfinished


def test_exclusion_is_a_preference():
    """Guards against a failing machine that attracts work: others with room go first."""
    machines = [Machine(f"n-{i}", "", flavor(), "north", False) for i in range(3)]
    job = Job(one_task(), 0.0, 1)
    job.recompute_pending()
    placed = job.place(machines[0], 10.0)
    assert not exclusions.record_failure(job, machines[0], placed, machines, 11.0)
    assert exclusions.is_excluded(job, machines[0])
    assert not exclusions.is_excluded(job, machines[1])
    assert exclusions.next_try_at(job, machines[1], 11.0, 0.0) == 11.0
    assert exclusions.next_try_at(job, machines[0], 11.0, 0.0) == 11.0 + c.RETRY_DELAY_S


def test_delay_doubles_with_each_failed_retry_up_to_its_limit():
    """Guards against a job with a mistake that is tried again and again at full pace."""
    machine = Machine("n-1", "", flavor(), "north", False)
    job = Job(one_task(), 0.0, 1)
    now, delays = 0.0, []
    for number in range(6):
        job.recompute_pending()
        placed = job.place(machine, now + 0.5)
        now += 1.0
        exclusions.record_failure(job, machine, placed, [machine], now)
        delays.append(exclusions.next_try_at(job, machine, now, 0.0) - now)
        del job.placed[placed.task], machine.placements[placed.key]
        job.last_attempt_number, now = number + 1, now + delays[-1]
    assert delays == [8.0, 16.0, 32.0, 60.0, 60.0, 60.0]


def test_tasks_that_fail_together_count_once():
    """Guards against the longest delay after one short trouble of a machine with many tasks."""
    machine = Machine("n-1", "", flavor(), "north", False)
    job = Job(one_task(tasks=5, cpus=1.0), 0.0, 1)
    job.recompute_pending()
    for placed in [job.place(machine, 1.0) for _ in range(5)]:
        exclusions.record_failure(job, machine, placed, [machine], 2.0)
    assert job.failures.retry_at == 2.0 + c.RETRY_DELAY_S


def test_a_run_without_failure_ends_the_suspicion_and_the_next_failure_brings_it_back():
    """Guards against a long task whose end would be awaited before others may run beside it."""
    machine = Machine("n-1", "", flavor(), "north", False)
    jobs = [Job(one_task(f"j-00000{i}"), 0.0, 1) for i in range(3)]
    for job in jobs:
        job.recompute_pending()
    for job in jobs[:2]:
        exclusions.record_failure(job, machine, job.place(machine, 1.0), [machine], 2.0)
    assert machine.failures.suspected
    machine.placements.clear()
    retry = jobs[2].place(machine, 20.0)
    assert exclusions.next_retry_of_machine(machine, 20.0) > 20.0  # one task at a time
    retry.running_since = 21.0
    exclusions.record_running(jobs[2], machine, retry, 21.0 + c.RETRY_PROVEN_S)
    assert not machine.failures.suspected
    exclusions.record_failure(jobs[2], machine, retry, [machine], 60.0)
    assert machine.failures.suspected
