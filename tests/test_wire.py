"""Bodies on the wire: what is valid survives, what is not is refused and nothing else."""

import json
import math

import cbor2
import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from coveflow import constants as c
from coveflow import wire
from coveflow.core.model import Order, Report, TaskReport, decode_ranges, encode_ranges

GOOD = {
    "name_id": "j-000412", "workload": "train", "owner": "vision", "shape": "gang",
    "urgency": "high", "pieces": 16, "cpus": 8.0, "accelerators": 1, "ram_gb": 64.0,
    "bundle": "img-07", "size_gb": 6.2, "flavors": ["g8"], "site": None, "same_place": True,
    "scatter": False, "borrowed": True, "expected_s": 240.0, "snapshot_s": 30.0, "flush_s": 4.0,
    "due_s": 900.0, "unknown_field": [1, 2],
}  # fmt: skip

JUNK = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text() | st.binary(),
    lambda inner: st.lists(inner, max_size=4) | st.dictionaries(st.text(), inner, max_size=4),
    max_leaves=10,
)


def test_a_submission_is_read_and_unknown_fields_are_ignored():
    spec = wire.read_work(cbor2.dumps(GOOD))
    assert (spec.id, spec.kind, spec.tasks, spec.accelerators) == ("j-000412", "gang", 16, 1.0)


@pytest.mark.parametrize("field", ["flavors", "site", "due_s"])
def test_fields_that_may_be_null_may_be_absent(field):
    body = {k: v for k, v in GOOD.items() if k != field}
    assert wire.read_work(cbor2.dumps(body)) == wire.read_work(cbor2.dumps(GOOD | {field: None}))


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.sampled_from(sorted(set(GOOD) - {"unknown_field"})), JUNK)
def test_a_wrong_field_is_malformed_or_harmless(field, junk):
    try:
        spec = wire.read_work(cbor2.dumps(GOOD | {field: junk}))
    except wire.Malformed:
        return
    numbers = (spec.cpus, spec.ram_gb, spec.accelerators, spec.image_gb, spec.expected_s)
    assert all(math.isfinite(n) and n >= 0 for n in numbers)
    assert 1 <= spec.tasks <= 100_000


@pytest.mark.parametrize(
    "change",
    [
        {"name_id": "x-1"}, {"name_id": 7}, {"pieces": 0}, {"pieces": 100_001}, {"pieces": 1.5},
        {"pieces": True}, {"cpus": -1.0}, {"cpus": math.nan}, {"cpus": math.inf},
        {"urgency": "top"}, {"shape": "heap"}, {"flavors": "g8"}, {"due_s": "soon"},
        {"same_place": 1}, {"owner": None}, {"name_id": "j-1/2"}, {"flavors": []},
    ],
)  # fmt: skip
def test_what_a_job_cannot_be_is_malformed(change):
    with pytest.raises(wire.Malformed):
        wire.read_work(cbor2.dumps(GOOD | change))


NUMBERS = ("cpus", "accelerators", "ram_gb", "size_gb", "expected_s", "snapshot_s", "flush_s",
           "due_s")  # fmt: skip
NO_NUMBERS = (
    math.nan, math.inf, -math.inf, -1, -1e-9, True, "4.0", b"4", [4.0], {"cpus": 4.0}, 10**400,
)  # fmt: skip
TEXTS = {"workload": 200, "owner": 200, "bundle": 500, "site": 200}
NO_TEXTS = ("", 7, True, b"train", ["train"], {"train": 1})
FLAGS = ("same_place", "scatter", "borrowed")
NO_WORDS = ("", "ARRAY", "service", "low ", 0, True, None, ["gang"])
MAY_BE_NULL = ("flavors", "site", "due_s")

WRONG = [
    *((name, value) for name in NUMBERS for value in NO_NUMBERS),
    *((name, value) for name in TEXTS for value in NO_TEXTS),
    *((name, "x" * (most + 1)) for name, most in TEXTS.items()),
    *((name, value) for name in FLAGS for value in (0, 1, "true", 1.0, [])),
    *((name, value) for name in ("shape", "urgency") for value in NO_WORDS),
    *(("pieces", value) for value in (0, -1, 100_001, 2**64, 10**400, 1.0, 1.5, True, "1")),
    *(("name_id", value) for value in ("", "j-", "j-1a", " j-1", "j-1\n", "J-1", 412)),
    ("name_id", "j-" + "1" * 41),
    *(("flavors", value) for value in ([], "g8", [""], [7], [None], {"g8": 1}, ["x" * 201])),
    *((name, None) for name in sorted(set(GOOD) - {"unknown_field", *MAY_BE_NULL})),
]  # fmt: skip


def is_read(body: dict) -> bool:
    try:
        wire.read_work(cbor2.dumps(body))
    except wire.Malformed:
        return False
    return True


def test_each_field_has_its_bounds():
    assert [(name, value) for name, value in WRONG if is_read(GOOD | {name: value})] == []


def test_a_missing_field_is_malformed_unless_it_may_be_null():
    fields = set(GOOD) - {"unknown_field"}
    without = {name: {k: v for k, v in GOOD.items() if k != name} for name in fields}
    assert {name for name, left in without.items() if is_read(left)} == set(MAY_BE_NULL)


RIGHT = [
    *((name, value) for name in NUMBERS for value in (0, 0.0, 4, 4.5, 2**64, 1e308, 5e-324)),
    *((name, "x" * most) for name, most in TEXTS.items()),
    *((name, "水 \u0000") for name in TEXTS),
    *(("pieces", value) for value in (1, 100_000)),
    ("name_id", "j-0"), ("name_id", "j-" + "9" * 40),
    ("flavors", ["g8", "g8"]), ("flavors", [f"g{i}" for i in range(300)]),
]  # fmt: skip


def test_what_the_protocol_allows_is_read_and_finite():
    for name, value in RIGHT:
        spec = wire.read_work(cbor2.dumps(GOOD | {name: value}))
        numbers = [getattr(spec, f) for f in spec.__struct_fields__]
        for number in (n for n in numbers if isinstance(n, float) and n):
            assert c.AMOUNT_LEAST <= number <= max(c.AMOUNT_MOST, c.DURATION_MOST_S), (name, value)


def test_records_of_jobs_submitted_together_fit_a_transaction():
    """Also where the state service counts other scripts as escapes.

    Submissions share a transaction: names too long for it kept those of all others out.
    """
    # Teams and zones are the settings' own, or the job is refused.
    names = {"workload": "水" * 99, "bundle": "水" * 166, "owner": "hydrology", "site": "north"}
    spec = wire.read_work(cbor2.dumps(GOOD | names | {"due_s": 1e-300}))
    record = {"spec": msgspec.to_builtins(spec), "at": 1785888888.123456, "cancel": 1785888888.1}
    assert len(json.dumps(record)) < 8 * 1024
    changes = {f"in/job/j-{'9' * 40}": record, f"old/j-{'9' * 40}": 0}
    assert 24 * len(json.dumps(changes)) < 60 * 1024
    for name, text in (("workload", "水" * 100), ("bundle", "水" * 167), ("bundle", "\0" * 167)):
        assert not is_read(GOOD | {name: text})


def test_a_field_that_comes_twice_counts_once():
    once = cbor2.dumps(GOOD)
    twice = bytes([once[0] + 1]) + once[1:] + cbor2.dumps("pieces") + cbor2.dumps(3)
    assert wire.read_work(twice).tasks == 3


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.binary(max_size=200) | JUNK.map(cbor2.dumps))
def test_garbage_is_malformed_for_every_reader(body):
    for reader in (wire.read_work, wire.read_report, wire.read_flavors, wire.read_hosts):
        with pytest.raises(wire.Malformed):
            reader(body)
    assert wire.work_id(body) is None


def test_nesting_without_end_is_malformed():
    with pytest.raises(wire.Malformed):
        wire.read_work(b"\x81" * 60_000)


BEAT = {
    "host": "n-1", "endpoint": "10.0.0.1:9", "flavor": "g8", "site": "a", "borrowed": True,
    "tenure": 1, "counter": 88, "epoch": 41, "warning_s": None,
    "pieces": [
        {"piece": "j-000412/3", "try": 2, "status": "running"},
        {"piece": "j-000398/0", "try": 1, "status": "exited", "cause": "halted", "kept": True},
    ],
}  # fmt: skip


@settings(derandomize=True, deadline=None)
@given(
    st.sampled_from(["tenure", "counter", "epoch", "host", "flavor", "warning_s", "pieces"]),
    st.sampled_from([-1, 2**64, 1.5, "", "x" * 201, None, float("nan"), [{"piece": "j-1/0"}]]),
)
def test_what_a_report_cannot_say_is_malformed(name, value):
    fine = {"warning_s": (None, -1, 1.5, 2**64), "pieces": ()}.get(name, ())
    if any(value is other for other in fine) or value in fine or (name == "host" and value == "x"):
        return
    with pytest.raises(wire.Malformed):
        wire.read_report(cbor2.dumps(BEAT | {name: value}))


def test_a_report_is_read():
    report = wire.read_report(cbor2.dumps(BEAT))
    assert report.tasks[0].task == 3 and report.tasks[1].saved and report.notice_s is None


def test_orders_are_spelt_as_the_workers_read_them():
    stop = Order("stop", "j-000377", 1, 1, grace_s=10)
    assert cbor2.loads(wire.orders_answer(41, [stop, Order("run", "j-000412", 4, 2)])) == {
        "epoch": 41,
        "orders": [
            {"verb": "stop", "piece": "j-000377/1", "try": 1, "wind_down_s": 10},
            {"verb": "run", "piece": "j-000412/4", "try": 2},
        ],
    }


@settings(derandomize=True, deadline=None)
@given(st.sets(st.integers(0, 5000)))
def test_ranges_keep_every_task(tasks):
    assert set(decode_ranges(encode_ranges(tasks))) == tasks


def test_the_worst_progress_record_fits_the_smallest_value():
    flat = encode_ranges(range(98_304, 99_328, 2))
    assert len(str(flat)) < 8 * 1024


@settings(derandomize=True, max_examples=100, deadline=None)
@given(
    st.dictionaries(
        st.tuples(st.sampled_from(["j-1", "j-2"]), st.integers(0, 99), st.integers(1, 3)),
        st.sampled_from(
            [("running", None, False), ("exited", "done", False), ("exited", "halted", True)]
        ),
        max_size=40,
    )
)  # fmt: skip
def test_a_report_survives_the_mail(tasks):
    rows = [TaskReport(*key, *state) for key, state in tasks.items()]
    report = Report("n-1", "10.0.0.1:9", "m8", "north", True, 2, 7, 3, 4.5, rows)
    told = wire.read_mail_report("n-1", cbor2.loads(cbor2.dumps(wire.mail_report(report))))
    assert sorted(told.tasks, key=repr) == sorted(rows, key=repr)
    assert (told.tenure, told.counter, told.epoch, told.notice_s) == (2, 7, 3, 4.5)
