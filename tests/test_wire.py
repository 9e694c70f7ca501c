"""Protocol bodies: valid ones are decoded, and invalid ones only ever raise Malformed."""

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

VALID_SUBMISSION = {
    "name_id": "j-000412", "workload": "train", "owner": "vision", "shape": "gang",
    "urgency": "high", "pieces": 16, "cpus": 8.0, "accelerators": 1, "ram_gb": 64.0,
    "bundle": "img-07", "size_gb": 6.2, "flavors": ["g8"], "site": None, "same_place": True,
    "scatter": False, "borrowed": True, "expected_s": 240.0, "snapshot_s": 30.0, "flush_s": 4.0,
    "due_s": 900.0, "unknown_field": [1, 2],
}  # fmt: skip

ARBITRARY_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text() | st.binary(),
    lambda inner: st.lists(inner, max_size=4) | st.dictionaries(st.text(), inner, max_size=4),
    max_leaves=10,
)


def test_a_submission_is_read_and_unknown_fields_are_ignored():
    spec = wire.read_submission(cbor2.dumps(VALID_SUBMISSION))
    assert (spec.id, spec.kind, spec.tasks, spec.accelerators) == ("j-000412", "gang", 16, 1.0)


@pytest.mark.parametrize("field", ["flavors", "site", "due_s"])
def test_fields_that_may_be_null_may_be_absent(field):
    body = {k: v for k, v in VALID_SUBMISSION.items() if k != field}
    assert wire.read_submission(cbor2.dumps(body)) == wire.read_submission(
        cbor2.dumps(VALID_SUBMISSION | {field: None})
    )


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.sampled_from(sorted(set(VALID_SUBMISSION) - {"unknown_field"})), ARBITRARY_VALUES)
def test_a_wrong_field_is_malformed_or_harmless(field, junk):
    try:
        spec = wire.read_submission(cbor2.dumps(VALID_SUBMISSION | {field: junk}))
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
def test_invalid_submission_is_malformed(change):
    with pytest.raises(wire.Malformed):
        wire.read_submission(cbor2.dumps(VALID_SUBMISSION | change))


NUMBERS = ("cpus", "accelerators", "ram_gb", "size_gb", "expected_s", "snapshot_s", "flush_s",
           "due_s")  # fmt: skip
INVALID_NUMBERS = (
    math.nan, math.inf, -math.inf, -1, -1e-9, True, "4.0", b"4", [4.0], {"cpus": 4.0}, 10**400,
)  # fmt: skip
TEXTS = {"workload": 200, "owner": 200, "bundle": 500, "site": 200}
INVALID_TEXTS = ("", 7, True, b"train", ["train"], {"train": 1})
FLAGS = ("same_place", "scatter", "borrowed")
INVALID_ENUM_VALUES = ("", "ARRAY", "service", "low ", 0, True, None, ["gang"])
MAY_BE_NULL = ("flavors", "site", "due_s")

INVALID_FIELDS = [
    *((name, value) for name in NUMBERS for value in INVALID_NUMBERS),
    *((name, value) for name in TEXTS for value in INVALID_TEXTS),
    *((name, "x" * (most + 1)) for name, most in TEXTS.items()),
    *((name, value) for name in FLAGS for value in (0, 1, "true", 1.0, [])),
    *((name, value) for name in ("shape", "urgency") for value in INVALID_ENUM_VALUES),
    *(("pieces", value) for value in (0, -1, 100_001, 2**64, 10**400, 1.0, 1.5, True, "1")),
    *(("name_id", value) for value in ("", "j-", "j-1a", " j-1", "j-1\n", "J-1", 412)),
    ("name_id", "j-" + "1" * 41),
    *(("flavors", value) for value in ([], "g8", [""], [7], [None], {"g8": 1}, ["x" * 201])),
    *((name, None) for name in sorted(set(VALID_SUBMISSION) - {"unknown_field", *MAY_BE_NULL})),
]  # fmt: skip


def is_read(body: dict) -> bool:
    try:
        wire.read_submission(cbor2.dumps(body))
    except wire.Malformed:
        return False
    return True


def test_out_of_range_fields_are_malformed():
    assert [
        (name, value) for name, value in INVALID_FIELDS if is_read(VALID_SUBMISSION | {name: value})
    ] == []


def test_a_missing_field_is_malformed_unless_it_may_be_null():
    fields = set(VALID_SUBMISSION) - {"unknown_field"}
    without = {name: {k: v for k, v in VALID_SUBMISSION.items() if k != name} for name in fields}
    assert {name for name, rest in without.items() if is_read(rest)} == set(MAY_BE_NULL)


VALID_FIELDS = [
    *((name, value) for name in NUMBERS for value in (0, 0.0, 4, 4.5, 2**64, 1e308, 5e-324)),
    *((name, "x" * most) for name, most in TEXTS.items()),
    *((name, "水 \u0000") for name in TEXTS),
    *(("pieces", value) for value in (1, 100_000)),
    ("name_id", "j-0"), ("name_id", "j-" + "9" * 40),
    ("flavors", ["g8", "g8"]), ("flavors", [f"g{i}" for i in range(300)]),
]  # fmt: skip


def test_valid_extremes_are_read_and_finite():
    for name, value in VALID_FIELDS:
        spec = wire.read_submission(cbor2.dumps(VALID_SUBMISSION | {name: value}))
        numbers = [getattr(spec, f) for f in spec.__struct_fields__]
        for number in (n for n in numbers if isinstance(n, float) and n):
            assert c.AMOUNT_MIN <= number <= max(c.AMOUNT_MAX, c.DURATION_MAX_S), (name, value)


def test_records_of_jobs_submitted_together_fit_a_transaction():
    """Long names of one submission must not make the shared transaction fail for all the others.

    The state service may count non-ASCII characters as JSON escapes.
    """
    # Teams and zones must be those of the settings, or the job is rejected.
    names = {"workload": "水" * 99, "bundle": "水" * 166, "owner": "hydrology", "site": "north"}
    spec = wire.read_submission(cbor2.dumps(VALID_SUBMISSION | names | {"due_s": 1e-300}))
    record = {"spec": msgspec.to_builtins(spec), "at": 1785888888.123456, "cancel": 1785888888.1}
    assert len(json.dumps(record)) < 8 * 1024
    changes = {f"in/job/j-{'9' * 40}": record, f"old/j-{'9' * 40}": 0}
    assert 24 * len(json.dumps(changes)) < 60 * 1024
    for name, text in (("workload", "水" * 100), ("bundle", "水" * 167), ("bundle", "\0" * 167)):
        assert not is_read(VALID_SUBMISSION | {name: text})


def test_last_value_of_a_duplicate_field_counts():
    body = cbor2.dumps(VALID_SUBMISSION)
    duplicate = bytes([body[0] + 1]) + body[1:] + cbor2.dumps("pieces") + cbor2.dumps(3)
    assert wire.read_submission(duplicate).tasks == 3


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.binary(max_size=200) | ARBITRARY_VALUES.map(cbor2.dumps))
def test_arbitrary_bytes_are_malformed_for_every_reader(body):
    for reader in (wire.read_submission, wire.read_report, wire.read_flavors, wire.read_hosts):
        with pytest.raises(wire.Malformed):
            reader(body)
    assert wire.read_submission_id(body) is None


def test_deep_nesting_is_malformed():
    with pytest.raises(wire.Malformed):
        wire.read_submission(b"\x81" * 60_000)


VALID_REPORT = {
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
def test_invalid_report_is_malformed(name, value):
    valid = {"warning_s": (None, -1, 1.5, 2**64), "pieces": ()}.get(name, ())
    if (
        any(value is other for other in valid)
        or value in valid
        or (name == "host" and value == "x")
    ):
        return
    with pytest.raises(wire.Malformed):
        wire.read_report(cbor2.dumps(VALID_REPORT | {name: value}))


def test_a_report_is_read():
    report = wire.read_report(cbor2.dumps(VALID_REPORT))
    assert report.tasks[0].task == 3 and report.tasks[1].saved and report.notice_s is None


def test_orders_have_the_fields_that_workers_read():
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


def test_largest_progress_record_fits_the_smallest_value_limit():
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
def test_report_survives_the_mailbox(tasks):
    rows = [TaskReport(*key, *state) for key, state in tasks.items()]
    report = Report("n-1", "10.0.0.1:9", "m8", "north", True, 2, 7, 3, 4.5, rows)
    decoded = wire.read_mail_report("n-1", cbor2.loads(cbor2.dumps(wire.mail_report_row(report))))
    assert sorted(decoded.tasks, key=repr) == sorted(rows, key=repr)
    assert (decoded.tenure, decoded.counter, decoded.epoch, decoded.notice_s) == (2, 7, 3, 4.5)
