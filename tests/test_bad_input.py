"""Invalid input from any source is rejected or skipped, and neither stops nor blocks a node."""

import asyncio
import copy
import logging
import math
from types import SimpleNamespace

import cbor2
import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from coveflow import constants as c
from coveflow import wire
from coveflow.core.failure_detector import FailureDetector, NodeStatus
from coveflow.core.model import Flavor, Report
from coveflow.daemon import commands as cm
from coveflow.daemon import owner as o
from coveflow.daemon import restore
from coveflow.daemon.inbox import Inbox
from coveflow.daemon.leader_state import LeaderState
from coveflow.daemon.node import Node
from coveflow.daemon.report_intake import ReportIntake
from coveflow.membership import peers, report_batches
from coveflow.net.cloud import CloudClient
from coveflow.net.http import Unavailable, UnknownOutcome
from coveflow.settings import Tuning
from coveflow.state import keys as sk
from coveflow.state import store
from coveflow.state.records import CorruptRecords
from coveflow.state.store import Conflict, Store
from tests.samples import flavor, spec
from tests.test_wire import ARBITRARY_VALUES, VALID_REPORT, VALID_SUBMISSION
from tests.world import node_settings

TYPE = {"sku": "g8", "cpus": 96, "accelerators": 8, "ram_gb": 768, "local_gb": 200,
        "pull_gb_per_s": 1.0, "rate": 12.0, "spot_price": 4.5, "ready_s": 45,
        "sites": ["a", "b"]}  # fmt: skip
HOST = {"name_id": "n-1", "endpoint": "10.1.0.2:9000", "flavor": "g8", "site": "a",
        "borrowed": True, "status": "running", "held_s": 61.5}  # fmt: skip
INFO = {"name": "b", "boot": "x", "epoch": 3, "leading": True, "store_age": 0.1,
        "view": {"epoch": 3, "leader": "b", "members": ["a", "b"]}, "view_rev": 7,
        "hears": {"n-1": [0.5, 1, 2]}, "counts": {"j-1": [1, 2]}, "cancelled": {"j-1": 5.0},
        "word": {"pace_s": 0.1}}  # fmt: skip
EVENTS = [{"write": "c/9", "value": {}, "key_rev": 433}, {"remove": "c/d", "key_rev": 432}]
ROW = ["10.0.0.1:9", "m8", "a", True, 2, 7, 3, 4.5, {"j-1": [[1, "running", None, False, [0, 3]]]}]


def in_range(value: object) -> bool:
    """Whether all numbers in the value are finite and within the protocol's bounds."""
    if isinstance(value, float):
        return math.isfinite(value)
    if isinstance(value, Report):
        counts = (value.tenure, value.counter, value.epoch, *(t.number for t in value.tasks))
        assert all(0 <= n < 2**64 for n in counts) and len(value.tasks) <= c.MAX_TASKS
    if isinstance(value, msgspec.Struct):
        return all(in_range(getattr(value, name)) for name in value.__struct_fields__)
    if isinstance(value, list | tuple):
        return all(map(in_range, value))
    return True


READERS = {
    "work": (wire.read_submission, VALID_SUBMISSION),
    "report": (wire.read_report, VALID_REPORT),
    "flavors": (wire.read_flavors, {"flavors": [TYPE, TYPE | {"sku": "m8"}]}),
    "list": (wire.read_list, {"hosts": [HOST], "has_next": False}),
    "hosts": (wire.read_hosts, {"hosts": ["n-1"]}),
    "commit": (wire.read_commit, {"store_rev": 432}),
    "conflict": (wire.read_conflict, {"failed": ["a/b"], "store_rev": 431}),
    "item": (wire.read_item, {"key": "a/b", "value": {}, "key_rev": 412, "grant": 7}),
    "rows": (wire.read_rows, {"rows": [{"key": "k", "value": 1, "key_rev": 3}], "store_rev": 4}),
    "events": (wire.read_events, {"store_rev": 433, "events": EVENTS}),
    "hold": (wire.read_lease, {"grant": 7}),
    "answers": (
        report_batches.read_batch_answer,
        {"epoch": 3, "answers": [["n-1", 1, 2, b"x"]], "info": INFO},
    ),
    "info": (lambda body: peers.read_peer_status(wire.unpack(body)), INFO),
    "mail": (lambda body: wire.read_mail_report("n-1", wire.unpack(body).get("row")), {"row": ROW}),
}
UNCHECKED_VALUES = {"item", "rows", "events", "answers"}  # hold values that callers validate
EXTREMES = st.sampled_from(
    [2**64, -(2**64), 10**400, 1e308, 5e-324, math.nan, math.inf, -1, "x" * 70]
)


def places(value: object, path: tuple = ()) -> list[tuple]:
    """Paths to the value and all its parts."""
    rows = (
        list(value.items()) if isinstance(value, dict)
        else list(enumerate(value)) if isinstance(value, list) else []
    )  # fmt: skip
    return [path, *(found for key, part in rows for found in places(part, (*path, key)))]


def with_junk(value: object, path: tuple, junk: object) -> object:
    changed = copy.deepcopy(value)
    if not path:
        return junk
    part = changed
    for key in path[:-1]:
        part = part[key]
    part[path[-1]] = junk
    return changed


def without(value: dict, path: tuple) -> dict:
    changed = copy.deepcopy(value)
    part = changed
    for key in path[:-1]:
        part = part[key]
    del part[path[-1]]
    return changed


def read(name: str, body: bytes) -> bool:
    """Whether the body was read. Any exception but Malformed fails the test."""
    reader, _ = READERS[name]
    try:
        value = reader(body)
    except wire.Malformed:
        return False
    assert name in UNCHECKED_VALUES or in_range(value), value
    return True


@pytest.mark.parametrize("name", READERS)
def test_valid_input_is_read_and_a_missing_field_is_handled(name):
    _, good = READERS[name]
    assert read(name, cbor2.dumps(good))
    for path in places(good)[1:]:
        read(name, cbor2.dumps(without(good, path)))


@pytest.mark.parametrize("name", READERS)
# Only the first failure is reported, since the planted bugs below cause more than one.
@settings(derandomize=True, max_examples=120, deadline=None, report_multiple_bugs=False)
@given(st.data())
def test_any_value_is_in_range_or_malformed(name, data):
    _, good = READERS[name]
    if name == "mail":
        path = data.draw(st.sampled_from(places(good)[1:]))
    else:
        path = data.draw(st.sampled_from(places(good)))
    body = with_junk(good, path, data.draw(ARBITRARY_VALUES | EXTREMES))
    read(name, cbor2.dumps(body))


def test_a_value_that_contains_itself_is_malformed_or_read():
    """CBOR allows shared and cyclic values, which the protocol does not use."""
    cyclic = b"\xd8\x1c\xa1" + cbor2.dumps("flavors") + b"\x81\xd8\x1d\x00"
    for name in READERS:
        if name != "mail":
            read(name, cyclic)


def test_task_ranges_beyond_the_largest_job_are_malformed():
    row = [*ROW[:-1], {"j-1": [[1, "running", None, False, [0, 10**12]]]}]
    with pytest.raises(wire.Malformed):
        wire.read_mail_report("n-1", row)


# --- machine types and lists of the cloud ------------------------------------------------

INVALID_TYPE_FIELDS = {
    "cpus": [-1.0, 0.0, math.nan, math.inf, 1e300], "ram_gb": [-1.0, math.nan],
    "local_gb": [-1.0], "pull_gb_per_s": [0.0, -1.0, 5e-324, math.nan], "rate": [-0.1, math.inf],
    "spot_price": [-0.1], "ready_s": [-1.0, math.inf], "accelerators": [-1.0, 5e-324],
    "sku": ["", 7, "x" * 201], "sites": ["a", [""], [7], None],
}  # fmt: skip


def test_invalid_type_is_skipped_and_others_are_kept():
    rows = [
        TYPE | {"sku": "bad"} | {name: v}
        for name, values in INVALID_TYPE_FIELDS.items()
        for v in values
    ]
    rows += [
        {k: v for k, v in TYPE.items() if k != name} for name in TYPE if name != "accelerators"
    ]
    rows += [None, 7, "g8", []]
    types = wire.read_flavors(cbor2.dumps({"flavors": [*rows, TYPE]}))
    assert [f.name for f in types.flavors] == ["g8"] and len(types.skipped) == len(rows)


def test_invalid_row_of_the_machine_list_is_skipped():
    rows = [HOST | {"held_s": v} for v in (math.nan, -1.0, math.inf, None)]
    rows += [HOST | {"name_id": v} for v in ("", 7)] + [None, {}]
    page = wire.read_list(cbor2.dumps({"hosts": [*rows, HOST]}))
    assert [row.machine for row in page.machines] == ["n-1"] and len(page.skipped) == len(rows)


class FakeClient:
    """A client that returns the given answers in turn, and then the last one every time."""

    def __init__(self, *answers: object) -> None:
        self.answers, self.requests = list(answers), 0

    async def request(self, *_, **__):
        self.requests += 1
        if self.requests > 50:
            raise AssertionError("unbounded number of requests")
        answer = self.answers.pop(0) if len(self.answers) > 1 else self.answers[0]
        return 200, answer if isinstance(answer, bytes) else cbor2.dumps(answer)


def cloud(*answers: object) -> CloudClient:
    made = CloudClient(None, "x:1", 1e6, lambda: 0.0)
    made.client = FakeClient(*answers)
    return made


def test_listing_ends_when_a_page_repeats():
    pages = [{"hosts": [HOST | {"name_id": n}], "has_next": True} for n in ("n-1", "n-2", "n-1")]
    rows = asyncio.run(cloud(*pages).machines())
    assert [row.machine for row in rows] == ["n-1", "n-2"]


def test_malformed_answer_of_the_cloud_is_logged_once_a_minute(caplog):
    async def go() -> None:
        client = cloud({"flavors": 7})
        for _ in range(20):
            with pytest.raises(Unavailable):
                await client.flavors()

    with caplog.at_level(logging.WARNING):
        asyncio.run(go())
    assert len(caplog.records) == 1


def test_rental_with_malformed_answer_has_unknown_outcome():
    with pytest.raises(UnknownOutcome):
        asyncio.run(cloud(b"\xff").rent("r-1", "g8", "a", False, 3))


def test_commit_with_malformed_answer_has_unknown_outcome():
    async def go() -> None:
        settings = node_settings("a", [])
        store_client = Store(None, "x:1", settings.params.state, 1, lambda: 0.0)
        store_client.client = FakeClient({"store_rev": "many"})
        await store_client.commit({"k": 0}, {})

    with pytest.raises(UnknownOutcome):
        asyncio.run(go())


# --- record of the machine types ---------------------------------------------------------


class TypesStore:
    """Stores the record of the machine types like the state service, up to `max_bytes`."""

    def __init__(self, max_bytes: int = 8192) -> None:
        self.max_bytes, self.rev, self.value = max_bytes, 0, None

    async def commit_with_retry(self, guards, writes, deadline=None):
        if guards[sk.TYPES] != self.rev:
            raise Conflict([sk.TYPES])
        if len(cbor2.dumps(writes)) > self.max_bytes:
            raise ValueError("commit: 400")
        self.rev, self.value = self.rev + 1, writes[sk.TYPES]
        return self.rev


class TypesNode:
    """The parts of a node that learn the machine types."""

    _learn_types = Node._learn_types

    def __init__(self, store: TypesStore, *answers: object) -> None:
        self.owner = o.Owner(node_settings("a", []), Tuning(), lambda: 0.0, lambda: 0.0)
        self.store, self.cloud, self.clock = store, cloud(*answers), lambda: 0.0

    def learn(self, times: int = 3) -> list[str]:
        async def go() -> None:
            for _ in range(times):
                if self.owner.inbox.flavors:
                    return
                try:
                    await self._learn_types()
                except (Unavailable, Conflict):
                    continue
                while not self.owner.queue.empty():
                    self.owner.process_batch([self.owner.queue.get_nowait()])

        asyncio.run(go())
        return list(self.owner.inbox.flavors)


def test_empty_list_of_types_is_not_stored():
    kept = TypesStore()
    assert TypesNode(kept, {"flavors": []}, {"flavors": [TYPE]}).learn() == ["g8"]
    assert kept.rev == 1


def test_record_without_valid_types_is_replaced():
    kept = TypesStore()
    kept.rev = 1
    node = TypesNode(kept, {"flavors": [TYPE]})
    node.owner.process_batch([cm.InboxRows([(sk.TYPES, {"types": [{"name": 7}]}, 1)])])
    assert node.learn() == ["g8"] and kept.rev == 2


def test_types_that_exceed_the_record_are_still_used():
    many = {"flavors": [TYPE | {"sku": f"g{i}"} for i in range(200)]}
    assert len(TypesNode(TypesStore(), many).learn()) == 200


@pytest.mark.parametrize(
    "value", [None, {}, {"types": 7}, {"types": [7]}, {"types": [{"name": "g8"}]}, 7, []]
)
def test_invalid_record_of_types_does_not_affect_other_rows(value):
    node = TypesNode(TypesStore())
    row = (sk.JOB + "j-1", {"spec": msgspec.to_builtins(spec("j-1")), "at": 0.0}, 8)
    node.owner.process_batch([cm.InboxRows([(sk.TYPES, value, 7), row])])
    assert set(node.owner.inbox.accepted) == {"j-1"}


def test_without_validation_an_invalid_record_of_types_affects_later_rows(monkeypatch):
    def without_validation(self: Inbox, value: dict) -> None:
        for row in value["types"]:
            self.flavors.setdefault(row["name"], msgspec.convert(row, Flavor))

    monkeypatch.setattr(Inbox, "_types", without_validation)
    with pytest.raises(AssertionError):
        test_invalid_record_of_types_does_not_affect_other_rows({"types": [7]})


# --- records of jobs ----------------------------------------------------------------------

RECORD = {"spec": msgspec.to_builtins(spec("j-1")), "at": 0.0, "cancel": None}
INVALID_JOB_RECORDS = [
    RECORD | {"at": "noon"}, RECORD | {"at": math.nan}, RECORD | {"cancel": "yes"}, 7, [],
    RECORD | {"outcome": 7}, {"spec": RECORD["spec"]},
    *(RECORD | {"spec": RECORD["spec"] | change} for change in (
        {"tasks": 10**12}, {"tasks": 0}, {"tasks": "4"}, {"cpus": math.nan}, {"cpus": -1.0},
        {"expected_s": math.nan}, {"kind": "heap"}, {"types": 7}, {"priority": None},
    )),
]  # fmt: skip


@pytest.mark.parametrize("records", [INVALID_JOB_RECORDS])
def test_invalid_job_record_is_skipped_and_planning_goes_on(records):
    for invalid in records:
        owner = o.Owner(node_settings("a", [{"name": "blue"}]), Tuning(), lambda: 0.0, lambda: 0.0)
        owner.inbox.flavors["m8"] = flavor()
        rows = [(sk.VIEW, {"epoch": 1, "leader": "a", "members": ["a"]}, 1)]
        rows += [(sk.JOB + "j-2", invalid, 2), (sk.JOB + "j-1", RECORD, 3)]
        owner.process_batch([cm.InboxRows(rows), cm.StartLeading(1, 1, [])])
        owner.planning.next_pass = 0.0
        owner.process_batch([cm.Tick()])
        assert owner.leading and set(owner.inbox.accepted) == {"j-1"}, invalid


# --- status of nodes, and records --------------------------------------------------------


@pytest.mark.parametrize(
    "status", [{"workers": -1}, {"store_s": math.nan}, {"heard": {"a": math.inf}}]
)
def test_node_status_out_of_range_is_ignored(status):
    suspicion = FailureDetector("a", ["a", "b"], c.PING_S, 0.0)
    suspicion.record_status("b", {"workers": 3}, 1.0)
    suspicion.record_status("b", status, 2.0)
    assert suspicion.nodes["b"].status == NodeStatus(workers=3)


HISTORY_ROW = [2, 5.0, 5.0, 1, [0.0, 0.0, 0.0, 0.0], [5.0, 5.0]]
INVALID_HISTORIES = [
    {"all": 7}, {"all": []}, 7, [], {"all": [1, 2.0, 2.0, 1, [1], [2.0]]},
    *({"all": [*HISTORY_ROW[:i], value, *HISTORY_ROW[i + 1 :]]} for i in range(6)
      for value in ("x", math.nan, None, [math.inf, "x"])),
]  # fmt: skip


def restored(rows: list, inbox: Inbox | None = None) -> LeaderState:
    owner = o.Owner(node_settings("a", [{"name": "blue"}]), Tuning(), lambda: 0.0, lambda: 0.0)
    target = inbox or owner.inbox
    target.flavors.setdefault("m8", flavor())
    restore.restore(owner.state, target, rows, 0.0)
    return owner.state


def test_invalid_history_record_does_not_prevent_leadership():
    for value in INVALID_HISTORIES:
        assert restored([(sk.HISTORY, value, 3)]).predictor.histories == {}, value


def test_valid_history_record_is_read():
    assert restored([(sk.HISTORY, {"all": HISTORY_ROW}, 3)]).predictor.predict(spec()) == 30.0
    assert restored([(sk.HISTORY, {"all": HISTORY_ROW}, 3)]).predictor.histories["all"].mean == 5.0


def slot(items: dict) -> list:
    value = {"layout": c.LAYOUT, "seq": 1, "slots": 1, "items": items}
    return [(sk.SLOT + "0", value, 4)]


CORRUPT_SLOTS = [
    [(sk.SLOT + "0", 7, 4)], [(sk.SLOT + "x", {"layout": c.LAYOUT}, 4)],
    slot({sk.MACHINE + "n-1": 7}), slot({sk.MACHINE + "n-1": ["a", "x", "gone", "a", True, 1, {}]}),
    slot({sk.MACHINE + "n-1": ["a", "x", "m8", "a", True, 1, {"j-1": 7}]}),
    slot({sk.CHUNK + "j-1/x": "ff"}), slot({sk.CHUNK + "j-1/0": "no"}), slot({sk.HELD + "j-1": 7}),
]  # fmt: skip


@pytest.mark.parametrize("rows", CORRUPT_SLOTS)
def test_damaged_records_only_raise_corrupt_records(rows):
    owner = o.Owner(node_settings("a", [{"name": "blue"}]), Tuning(), lambda: 0.0, lambda: 0.0)
    record = {"spec": msgspec.to_builtins(spec("j-1")), "at": 0.0}
    owner.process_batch([cm.InboxRows([(sk.JOB + "j-1", record, 2)])])
    with pytest.raises(CorruptRecords):
        restored(rows, owner.inbox)
    # A node that read such records does not lead, and retries after a delay.
    owner.inbox.view = sk.View(1, "a", ["a"], 1)
    owner.process_batch([cm.StartLeading(1, 1, rows)])
    assert not owner.leading and owner.no_lead_before == c.UNREADABLE_RETRY_S


@pytest.mark.parametrize("names", [("n-1", "n-2"), ("n-2", "n-1")])
def test_a_machine_that_is_back_in_the_records_takes_no_task_from_the_one_that_runs_it(names):
    """Guards against a second start of a task after the end of its older, resurrected attempt."""
    owner = o.Owner(node_settings("a", [{"name": "blue"}]), Tuning(), lambda: 0.0, lambda: 0.0)
    record = {"spec": msgspec.to_builtins(spec("j-1")), "at": 0.0}
    owner.process_batch([cm.InboxRows([(sk.JOB + "j-1", record, 2)])])
    numbers = {"n-1": 1, "n-2": 2}
    items = {
        sk.MACHINE + name: ["a", "x", "m8", "a", False, 1, {"j-1": [[numbers[name], [0, 1]]]}]
        for name in names
    }
    state = restored(slot(items), owner.inbox)
    job = state.jobs["j-1"]
    assert job.placed[0].machine == "n-2" and job.attempts == 2
    state.end_all_attempts(state.machines["n-1"], "the machine was returned")
    assert job.placed[0].machine == "n-2" and not job.may_be_placed(0)


def test_malformed_batch_is_rejected():
    intake = SimpleNamespace(owner=SimpleNamespace(leading=1), may_renew=lambda: True)
    for body in (b"", {}, {"boot": "x", "reports": 7}, {"boot": "x", "reports": [], "seen": 7}):
        raw = body if isinstance(body, bytes) else cbor2.dumps(body)
        assert asyncio.run(ReportIntake.answer_batch(intake, "", raw)) == (400, b"")


# --- a planted bug for each validation ---------------------------------------------------

PLANTED = {
    "job records are not validated": (
        cm, "_checked", lambda spec: spec,
        lambda: test_invalid_job_record_is_skipped_and_planning_goes_on(
            [RECORD | {"spec": RECORD["spec"] | {"kind": "heap"}}]
        ),
    ),
    "machine types are not validated": (
        Flavor, "invalid_field", lambda self: "", test_invalid_type_is_skipped_and_others_are_kept,
    ),
    "node status is not validated": (
        NodeStatus, "in_range", lambda self: True,
        lambda: test_node_status_out_of_range_is_ignored({"workers": -1}),
    ),
    "malformed answers of the store are not caught": (
        store, "_decode", lambda reader, body: reader(body),
        test_commit_with_malformed_answer_has_unknown_outcome,
    ),
    "malformed answers of the cloud are not caught": (
        CloudClient, "_read", lambda self, reader, body: reader(body),
        test_rental_with_malformed_answer_has_unknown_outcome,
    ),
    "decoding errors of records are not caught": (
        restore, "DECODE_ERRORS", (),
        lambda: test_damaged_records_only_raise_corrupt_records(CORRUPT_SLOTS[2]),
    ),
    "mailbox reports are not validated": (
        wire, "_validate_report", lambda report: report,
        lambda: test_any_value_is_in_range_or_malformed("mail"),
    ),
}  # fmt: skip


@pytest.mark.parametrize("bug", PLANTED)
def test_planted_bug_is_detected(monkeypatch, bug):
    target, name, replacement, check = PLANTED[bug]
    monkeypatch.setattr(target, name, replacement)
    with pytest.raises((AssertionError, ValueError, AttributeError, TypeError)):
        check()
