"""Jobs of the task API in the virtual-time world: task results and a single final record."""

import msgspec
import pytest
from hypothesis import HealthCheck, Phase, given, settings
from hypothesis import strategies as st

from coveflow.state import keys as sk
from coveflow.tes.mapping import final_state
from tests.samples import spec
from tests.test_no_repeat import ONCE, lose_a_machine
from tests.test_world import FAULTS, add_faults
from tests.world import World

RIDER = {"doc": "d", "team": "blue", "name": "", "tags": {}, "made": 1}


def submit(world, job):
    world.submit(job, RIDER)


def commit_result(world, job, task, code=0):
    """Commit a task's result as `Service.record_result` does; return whether it was kept."""
    row = world.store.get(sk.JOB + job)
    if row is None or row.value.get("cancel") is not None:
        return False
    outcome = row.value.get("outcome") or {}
    if str(task) in outcome:
        return False
    value = {**row.value, "outcome": {**outcome, str(task): [code, ""]}}
    return isinstance(world.write({sk.JOB + job: value}, {sk.JOB + job: row.rev}), int)


def final_record(world, job):
    row = world.store.get(sk.FINAL_RECORD + job)
    return None if row is None else row.value


def run_until_final(world, job, until=120.0):
    world.run(until, stop=lambda: final_record(world, job) is not None)
    return final_record(world, job)


def test_lost_task_that_may_have_run_fails_its_job_once_with_the_reason():
    world = World(1, tuning=ONCE)
    world.at(0.5, lambda: submit(world, spec(workload="once", tasks=2)))
    world.run(2.0)
    ran = lose_a_machine(world)
    record = run_until_final(world, "j-000001")
    assert ran and record["status"] == "cancelled" and "allows no repeat" in record["failed"]
    assert final_state(record) == "SYSTEM_ERROR" and record["rider"] == RIDER
    world.run(world.now + 20.0)
    assert not world.leader().state.jobs and not world.checker.violations


def test_leader_lost_after_holding_a_task_does_not_run_it_again():
    world = World(2, tuning=ONCE)
    world.at(0.5, lambda: submit(world, spec(workload="once", tasks=1)))
    world.run(2.0)
    lose_a_machine(world)
    # The held mark is committed with the removal of the machine's record. The leader fails before
    # it writes the job's final record.
    held = lambda: any("h/j-000001" in str(r.value) for k, r in world.store.rows.items()  # noqa: E731
                       if k.startswith(sk.LEADER_STATE))  # fmt: skip
    world.run(60.0, stop=held)
    world.lose_leader(5.0)
    record = run_until_final(world, "j-000001", world.now + 60.0)
    assert final_state(record) == "SYSTEM_ERROR"


@pytest.mark.parametrize("workload", ["once", "sort"])
def test_attempt_with_a_recorded_result_counts_as_complete_after_its_machine_is_lost(workload):
    world = World(3, tuning=ONCE)
    starts = []
    world.observers.append(lambda kind, row: kind == "running" and starts.append(row))
    world.at(0.5, lambda: submit(world, spec(workload=workload, tasks=1)))
    world.run(30.0, stop=lambda: bool(starts))
    assert commit_result(world, "j-000001", 0, code=4)
    assert not commit_result(world, "j-000001", 0, code=0)  # the first result counts
    world.cloud.fail(starts[0]["machine"], world.now)
    record = run_until_final(world, "j-000001")
    assert final_state(record) == "EXECUTOR_ERROR" and len(starts) == 1


def test_result_that_reaches_the_leader_after_it_held_the_task_counts():
    world = World(4, tuning=ONCE)
    starts = []
    world.observers.append(lambda kind, row: kind == "running" and starts.append(row))
    world.at(0.5, lambda: submit(world, spec(workload="once", tasks=1)))
    world.run(30.0, stop=lambda: bool(starts))
    for name in world.names:
        world.watch_delayed_until[name] = world.now + 40.0  # its watch is late, but it can write
    assert commit_result(world, "j-000001", 0)
    world.cloud.fail(starts[0]["machine"], world.now)
    record = run_until_final(world, "j-000001")
    assert final_state(record) == "COMPLETE" and len(starts) == 1


def test_cancel_before_the_failure_is_committed_takes_effect():
    world = World(5, tuning=ONCE)
    world.at(0.5, lambda: submit(world, spec(workload="once", tasks=1)))
    world.run(2.0)
    lose_a_machine(world)
    job = world.leader().state.jobs["j-000001"]
    world.run(60.0, stop=lambda: bool(job.failed))
    world.cancel("j-000001")
    assert final_state(run_until_final(world, "j-000001")) == "CANCELED"


@settings(
    derandomize=True, max_examples=12, deadline=None, phases=[Phase.generate],
    suppress_health_check=list(HealthCheck),
)  # fmt: skip
@given(st.integers(0, 10_000), FAULTS, st.lists(st.integers(0, 40), max_size=3))
def test_every_job_has_one_final_record_under_faults(seed, faults, cancels):
    """Final records never change, whether a machine's result is recorded in time or not."""
    world = World(seed, tuning=ONCE)
    add_faults(world, faults)
    ends: dict[str, list] = {}

    def on_event(kind, row):
        if kind == "off" and row["why"] == "done":
            commit_result(world, row["job"], row["task"], seed % 3)

    world.observers.append(on_event)
    jobs = [spec(f"j-{i:06d}", workload=("once", "sort")[i % 2], tasks=1 + i % 3) for i in range(6)]
    for i, job in enumerate(jobs):
        world.at(0.5 + 3 * i, lambda job=job: submit(world, job))
    for at in cancels:
        world.at(1.0 + at, lambda at=at: world.cancel(jobs[at % 6].id))
    for _ in range(200):
        world.run(world.now + 1.0)
        for job in jobs:
            record = final_record(world, job.id)
            if record is not None:
                ends.setdefault(job.id, []).append(msgspec.json.encode(record))
    assert not world.checker.violations
    for rows in ends.values():
        assert len(set(rows)) == 1
    assert len(ends) == 6


def test_many_long_riders_that_end_together_fit_into_transactions(monkeypatch):
    """The store model rejects a transaction that is too large, which makes the leader step down.

    The size limit is a third of the real one, as are the changes per transaction in these tests.
    """
    monkeypatch.setattr("coveflow.lab.store.TXN_KB", 20)
    monkeypatch.setattr("coveflow.constants.TXN_BYTES", 6 * 1024)
    world = World(7, machines=8, limit=None)
    rider = RIDER | {"tags": {"k": "v" * 5000}}
    for i in range(30):
        job = spec(f"j-{i:06d}", tasks=1, cpus=8.0)  # few at a time: most never start
        world.at(0.5, lambda job=job: world.submit(job, rider))
    world.at(6.0, lambda: [world.cancel(f"j-{i:06d}") for i in range(30)])
    world.run(5.0)
    epoch = world.leader().leading
    world.run(60.0, stop=lambda: len(world.over) == 30)
    assert len(world.over) == 30 and world.leader().leading == epoch


def test_native_records_have_no_task_fields():
    world = World(6)
    world.at(0.5, lambda: world.submit(spec(tasks=1)))
    assert run_until_final(world, "j-000001") == {"status": "done", "done": 1}
