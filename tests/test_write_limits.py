"""The leader's records under limits of the state service: large ones, and limits that fall."""

import asyncio
from types import SimpleNamespace

import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from coveflow import settings as s
from coveflow.core.machine_pages import encode_tasks, machine_records
from coveflow.core.model import Machine, Placement
from coveflow.daemon.commands import CommitResult, Txn
from coveflow.daemon.commits import Commits
from coveflow.daemon.node import Node
from coveflow.state import keys as sk
from coveflow.state.records import Draft, Records, encoded_size
from coveflow.state.store import Refused
from coveflow.state.write_limits import WriteLimits
from tests.samples import flavor, spec
from tests.world import World

LONG_ID = "j-{:040d}"


def state(**fields) -> s.State:
    return s.State(**{"rps": 1.0, "write_rps": 1.0, "value_kb": 8.0, "txn_ops": 24} | fields)


def test_the_smaller_of_todays_and_the_next_limits_apply_from_the_start():
    lower = state(next=s.StateLimits(value_kb=2.0, txn_ops=10))
    assert (WriteLimits(lower).value_bytes, WriteLimits(lower).txn_ops) == (2048, 10)
    higher = state(next=s.StateLimits(value_kb=32.0, write_rps=2.0))
    assert (WriteLimits(higher).value_bytes, WriteLimits(higher).txn_ops) == (8192, 24)


def test_limits_halve_with_each_refusal_to_a_minimum_and_rise_again():
    limits, now = WriteLimits(state()), 0.0
    for _ in range(10):
        limits.refused(now)
    assert limits.at_minimum and limits.value_bytes == 512 and limits.txn_ops == 4
    for _ in range(4):
        assert not limits.raise_after_refusal(now + 59.0)
        now += 60.0
        assert limits.raise_after_refusal(now)
    assert (limits.value_bytes, limits.txn_ops) == (8192, 24)
    assert not limits.raise_after_refusal(now + 600.0)


ATTEMPTS = st.lists(
    st.tuples(st.integers(0, 60), st.integers(0, 500), st.integers(1, 12)), max_size=60
)


@hypothesis_settings(max_examples=80, deadline=None, derandomize=True)
@given(st.lists(st.tuples(ATTEMPTS, st.sampled_from([435, 900, 1740])), max_size=6))
def test_pages_fit_and_hold_every_attempt_however_far_they_were_written(steps):
    """Whatever part of the pages was written, from the last one down: no attempt is missing."""
    m = Machine("n-1", "10.0.0.1:1", flavor(), "north", False)
    written: dict[int, dict] = {}
    used: set[tuple] = set()
    for attempts, max_bytes in steps:
        before = set(m.placements)
        for job, task, number in attempts:
            p = Placement(LONG_ID.format(job), task, number, "n-1", 0)
            if p.key not in used:
                used.add(p.key)
                m.placements[p.key] = p
            else:
                m.placements.pop(p.key, None)  # an attempt ends once
        records = machine_records(m, max_bytes)
        kept = before & set(m.placements)
        for page in sorted(records, reverse=True):
            written[page] = records[page] if page else records[0][6]
            assert encoded_size("", records[page]) <= max_bytes
            assert kept <= attempts_in(written.values())
        assert attempts_in(written.values()) == set(m.placements)


def attempts_in(pages) -> set:
    return {
        (job, start + i, number)
        for tasks in pages
        for job, rows in tasks.items()
        for number, flat in rows
        for start, length in zip(flat[::2], flat[1::2], strict=True)
        for i in range(length)
    }


def small_jobs(world: World, count: int, low: int = 0) -> list[str]:
    """One-task jobs with long ids, of which many run on one machine at the same time."""
    names = [LONG_ID.format(low + i) for i in range(count)]
    for i, name in enumerate(names):
        job = spec(name, tasks=1, cpus=0.02, ram_gb=0.01)
        world.at(0.5 + 0.01 * i, lambda j=job: world.submit(j))
    return names


def largest_value(world: World) -> int:
    return max(encoded_size("", row.value) for row in world.store.rows.values())


def refusals(world: World) -> list[dict]:
    """Records the writes of each transaction that the state service refuses for its size."""
    seen: list[dict] = []
    real = world.store.commit

    def commit(guards, writes, now):
        try:
            return real(guards, writes, now)
        except ValueError:
            seen.append(dict(writes))
            raise

    world.store.commit = commit
    return seen


def test_a_machine_runs_more_tasks_than_one_value_has_room_for():
    """Guards against review/5: the record of a machine was refused for ever and nothing ran."""
    world = World(1, machines=1, limit=None)
    refused = refusals(world)
    names = small_jobs(world, 190)
    most = []
    world.every(0.25, lambda: most.append(sum(len(link.worker.tasks) for link in world.workers)))
    world.run(60.0)
    assert all(world.ended.get(name) == "done" for name in names)
    assert max(most) > 150
    assert not refused
    assert largest_value(world) <= world.store.value_kb * 1024


@pytest.mark.parametrize(
    "value_kb, txn_ops", [(2.0, 12), (8.0, 5), (1.0, 5)], ids=["values", "changes", "both"]
)
@pytest.mark.parametrize("take_over", [False, True])
def test_limits_that_fall_unannounced_are_followed_and_all_work_ends(value_kb, txn_ops, take_over):
    """Guards against review/3: the same refused transaction was sent once a second for ever."""
    world = World(2, machines=2, limit=None)
    refused = refusals(world)
    names = small_jobs(world, 150)
    world.run(5.0)

    def lower() -> None:
        world.store.value_kb, world.store.txn_ops = value_kb, txn_ops

    world.at(0.0, lower)
    if take_over:
        world.at(0.1, lambda: world.crash("a"))
        world.at(3.0, lambda: world.elect("b"))
    names += small_jobs(world, 60, low=1000)
    world.run(120.0)
    assert all(world.ended.get(name) == "done" for name in names)
    sent = [str(sorted(writes.items(), key=lambda row: row[0])) for writes in refused]
    assert len(sent) == len(set(sent)) <= 8  # no transaction is sent again unchanged


def test_a_refusal_does_not_cost_the_lead():
    world = World(3, machines=2, limit=None)
    world.run(3.0)
    epoch = world.store.rows[sk.VIEW].value["epoch"]
    world.store.value_kb = 0.6
    names = small_jobs(world, 40)
    world.run(60.0)
    assert world.store.rows[sk.VIEW].value["epoch"] == epoch
    assert all(world.ended.get(name) == "done" for name in names)


@pytest.mark.parametrize("error", [Refused("commit: 400"), ValueError("unguarded writes")])
def test_a_transaction_that_fails_for_any_reason_is_settled(error):
    """Guards against a leader that waits for ever for a transaction that was never sent."""
    results: list[CommitResult] = []

    async def fail(*_, **__) -> int:
        raise error

    node = SimpleNamespace(
        store=SimpleNamespace(commit_with_retry=fail), owner=SimpleNamespace(put=results.append)
    )
    asyncio.run(Node._commit(node, Txn({}, {})))
    assert [result.refused for result in results] == [True]


def test_work_goes_on_when_limits_rise_that_were_below_what_one_record_needs():
    world = World(4, machines=2, limit=None)
    names = small_jobs(world, 20)
    world.run(1.0)
    assert not world.checker.starts
    world.store.value_kb = 0.05
    world.run(20.0)
    assert not any(name in world.ended for name in names)
    world.store.value_kb = 8.0
    world.run(60.0)
    assert all(world.ended.get(name) == "done" for name in names)


def plant_unbounded_records(monkeypatch) -> None:
    def one_record(m: Machine, max_bytes: int) -> dict:
        return {0: m.record(encode_tasks(list(m.placements.values())))}

    monkeypatch.setattr("coveflow.daemon.commits.machine_records", one_record)


def plant_unchanged_retries(monkeypatch) -> None:
    monkeypatch.setattr(WriteLimits, "refused", lambda self, now: None)


def plant_refusal_as_conflict(monkeypatch) -> None:
    monkeypatch.setattr(Commits, "_refused", lambda self, txn: self._conflict(txn, ["refused"]))


def plant_no_copies_in_parts(monkeypatch) -> None:
    monkeypatch.setattr(Draft, "_move_some", lambda self, live, content: None)


@pytest.mark.parametrize(
    "plant, check",
    [
        (plant_unbounded_records, test_a_machine_runs_more_tasks_than_one_value_has_room_for),
        (
            plant_unchanged_retries,
            lambda: test_limits_that_fall_unannounced_are_followed_and_all_work_ends(
                2.0, 12, False
            ),
        ),
        (plant_refusal_as_conflict, test_a_refusal_does_not_cost_the_lead),
        (plant_no_copies_in_parts, lambda: test_slots_of_larger_limits_are_copied_over_in_parts()),
    ],
)
def test_planted_bug_is_detected(monkeypatch, plant, check):
    plant(monkeypatch)
    with pytest.raises(AssertionError):
        check()


def test_slots_of_larger_limits_are_copied_over_in_parts():
    records = Records(sk.SLOT, 1600)
    expected = {}

    def commit(items: dict, most_bytes: int) -> None:
        draft = records.draft(4, most_bytes)
        expected.update({item: value for item, value in items.items() if draft.add(item, value)})
        assert all(len(str(value["items"])) < 1900 for _, _, value in draft.rows())
        records.mark_committed(draft, 1)

    for i in range(60):
        commit({f"d/{i}-{k}": "x" * 120 for k in range(10)}, 6000)
    records.slot_bytes = 400
    older = len([slot for slot in records.slots.values() if len(slot.live) > 3])
    assert older
    for i in range(2500):
        commit({f"j/{i % 5}": str(i)}, 1000)
    assert records.values == expected
    assert not [slot for slot in records.slots.values() if len(slot.live) > 3]
    reader = Records(sk.SLOT, 400)
    reader.load(
        [
            (f"{sk.SLOT}{slot.number}", {
                "layout": 2, "seq": slot.seq, "slots": sum(
                    other.seq == slot.seq for other in records.slots.values()
                ), "items": {item: records.values[item] for item in slot.live},
            }, 1)
            for slot in records.slots.values()
        ]
    )  # fmt: skip
    assert reader.values == expected
