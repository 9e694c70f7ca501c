"""Paths and bodies of the protocol; the only module that knows the names of its fields.

Bodies are CBOR maps. Unknown fields are ignored; invalid bodies raise `Malformed`. `None` in a
transaction's writes removes a key.
"""

from __future__ import annotations

import json
import math
import re
from collections.abc import Callable
from typing import Any

import cbor2
import msgspec

from coveflow import constants as c
from coveflow.core.model import (
    Flavor,
    ListedMachine,
    Order,
    Report,
    Spec,
    TaskReport,
    decode_ranges,
    encode_ranges,
)

KINDS = {"array": "array", "gang": "gang", "standing": "service"}
PRIORITIES = {"production": 3, "high": 2, "normal": 1, "low": 0}
JOB_ID = re.compile(r"j-[0-9]{1,40}")
TASK_NAME = re.compile(r"(j-[0-9]{1,40})/([0-9]{1,6})")
MAX_TASK_NUMBER = 999_999  # the largest task number that TASK_NAME matches
COUNTER_LIMIT = 2**64  # upper bound (exclusive) of counters, epochs, attempt numbers and sessions
WORK_PATH, REPORT_PATH, HEALTH_PATH = "/work", "/agent/beat", "/up"
ABORT_PATH = "/abort"
COMMANDS_PATH, INSPECT_PATH = "/commands", "/inspect"
FLAVORS_PATH, RENTALS_PATH, RETURN_PATH = "/flavors", "/rentals", "/rentals/return"
STORE_PATH, COMMIT_PATH, LEASES_PATH, CHANGES_PATH = "/store", "/commit", "/holds", "/changes"


class Malformed(ValueError):
    """A body is invalid; the text names the field or the reason."""


class _SubmissionBody(msgspec.Struct):
    name_id: str
    workload: str
    owner: str
    shape: str
    urgency: str
    pieces: int
    cpus: float
    accelerators: float
    ram_gb: float
    bundle: str
    size_gb: float
    same_place: bool
    scatter: bool
    borrowed: bool
    expected_s: float
    snapshot_s: float
    flush_s: float
    flavors: list[str] | None = None
    site: str | None = None
    due_s: float | None = None


class _TaskBody(msgspec.Struct):
    piece: str
    number: int = msgspec.field(name="try")
    status: str
    cause: str | None = None
    kept: bool | None = None


class _ReportBody(msgspec.Struct):
    host: str
    endpoint: str
    flavor: str
    site: str
    borrowed: bool
    tenure: int
    counter: int
    epoch: int
    warning_s: float | None = None
    pieces: list[_TaskBody] = []


class _FlavorBody(msgspec.Struct):
    sku: str
    cpus: float
    ram_gb: float
    local_gb: float
    pull_gb_per_s: float
    rate: float
    spot_price: float
    ready_s: float
    sites: list[str]
    accelerators: float = 0.0


class _ListedBody(msgspec.Struct):
    name_id: str
    flavor: str
    site: str
    borrowed: bool
    status: str
    held_s: float
    endpoint: str | None = None


def pack(value: Any) -> bytes:
    return cbor2.dumps(value)


def unpack(body: bytes) -> dict[str, Any]:
    try:
        value = cbor2.loads(body)
    except Exception as error:  # hostile input raises many types, including RecursionError
        raise Malformed("not CBOR") from error
    if type(value) is not dict:
        raise Malformed("not a map")
    return value


def _convert(body: bytes, kind: type) -> Any:
    try:
        return msgspec.convert(unpack(body), kind)
    except msgspec.ValidationError as error:
        raise Malformed(str(error)) from error
    except (RecursionError, OverflowError, TypeError) as error:
        raise Malformed("unreadable") from error


def _is_valid_name(text: str) -> bool:
    return 0 < len(text) <= c.NAME_MAX_CHARS and len(json.dumps(text)) <= c.NAME_MAX_ESCAPED_BYTES


def read_submission_id(body: bytes) -> str | None:
    """The job id of a submission whose other fields may be invalid; None if it has no valid id."""
    try:
        name = unpack(body).get("name_id")
    except Malformed:
        return None
    return name if isinstance(name, str) and JOB_ID.fullmatch(name) else None


def read_submission(body: bytes) -> Spec:
    w = _convert(body, _SubmissionBody)
    if not JOB_ID.fullmatch(w.name_id):
        raise Malformed("name_id")
    if w.shape not in KINDS:
        raise Malformed("shape")
    if w.urgency not in PRIORITIES:
        raise Malformed("urgency")
    if not 1 <= w.pieces <= c.MAX_TASKS:
        raise Malformed("pieces")
    numbers = {
        "cpus": w.cpus,
        "accelerators": w.accelerators,
        "ram_gb": w.ram_gb,
        "size_gb": w.size_gb,
        "expected_s": w.expected_s,
        "snapshot_s": w.snapshot_s,
        "flush_s": w.flush_s,
        "due_s": 0.0 if w.due_s is None else w.due_s,
    }
    for name, number in numbers.items():
        if not math.isfinite(number) or number < 0:
            raise Malformed(name)
    texts = {"workload": w.workload, "owner": w.owner}
    if w.site is not None:
        texts["site"] = w.site
    for name, text in texts.items():
        if not _is_valid_name(text):
            raise Malformed(name)
    if not 0 < len(w.bundle) <= c.IMAGE_NAME_MAX_CHARS or (
        len(json.dumps(w.bundle)) > c.IMAGE_NAME_MAX_ESCAPED_BYTES
    ):
        raise Malformed("bundle")
    if w.flavors is not None and (not w.flavors or not all(map(_is_valid_name, w.flavors))):
        raise Malformed("flavors")
    return Spec(
        id=w.name_id,
        workload=w.workload,
        team=w.owner,
        kind=KINDS[w.shape],
        priority=PRIORITIES[w.urgency],
        tasks=w.pieces,
        cpus=w.cpus,
        accelerators=w.accelerators,
        ram_gb=w.ram_gb,
        image=w.bundle,
        image_gb=w.size_gb,
        types=w.flavors,
        zone=w.site,
        one_zone=w.same_place,
        spread=w.scatter,
        spot=w.borrowed,
        expected_s=w.expected_s,
        checkpoint_s=w.snapshot_s,
        save_s=w.flush_s,
        deadline_s=w.due_s,
    )


def job_answer(job: str, status: str, done: int | None = None, running: int = 0) -> bytes:
    answer: dict[str, Any] = {"name_id": job, "status": status}
    if done is not None:
        answer |= {"done": done, "running": running}
    return pack(answer)


def error_answer(text: str) -> bytes:
    return pack({"error": text})


def read_report(body: bytes) -> Report:
    b = _convert(body, _ReportBody)
    tasks = []
    for p in b.pieces:
        match = TASK_NAME.fullmatch(p.piece)
        if not match:
            raise Malformed("piece")
        tasks.append(TaskReport(match[1], int(match[2]), p.number, p.status, p.cause, bool(p.kept)))
    return _validate_report(
        Report(
            machine=b.host,
            address=b.endpoint,
            type=b.flavor,
            zone=b.site,
            spot=b.borrowed,
            tenure=b.tenure,
            counter=b.counter,
            epoch=b.epoch,
            notice_s=b.warning_s,
            tasks=tasks,
        )
    )


def _validate_report(report: Report) -> Report:
    """Return the report if all its values are in range; raise Malformed otherwise."""
    texts = {
        "host": report.machine,
        "endpoint": report.address,
        "flavor": report.type,
        "site": report.zone,
    }
    for name, text in texts.items():
        if not _is_valid_name(text):
            raise Malformed(name)
    counts = {
        "tenure": (report.tenure, 1),
        "counter": (report.counter, 0),
        "epoch": (report.epoch, 0),
    }
    for name, (number, least) in counts.items():
        if not least <= number < COUNTER_LIMIT:
            raise Malformed(name)
    if report.notice_s is not None and not abs(report.notice_s) <= c.DURATION_MAX_S:
        raise Malformed("warning_s")
    for t in report.tasks:
        if not JOB_ID.fullmatch(t.job) or not 0 <= t.task <= MAX_TASK_NUMBER:
            raise Malformed("piece")
        if not 0 <= t.number < COUNTER_LIMIT:
            raise Malformed("try")
    return report


def mail_report_row(report: Report) -> list[Any]:
    """Encode a report for the store's mailbox; tasks of a job in the same state share a row."""
    jobs: dict[str, dict[tuple[int, str, str | None, bool], list[int]]] = {}
    for t in report.tasks:
        rows = jobs.setdefault(t.job, {})
        rows.setdefault((t.number, t.state, t.why, t.saved), []).append(t.task)
    tasks = {
        job: [[*state, encode_ranges(numbers)] for state, numbers in rows.items()]
        for job, rows in jobs.items()
    }
    return [
        report.address, report.type, report.zone, report.spot, report.tenure, report.counter,
        report.epoch, report.notice_s, tasks,
    ]  # fmt: skip


def read_mail_report(machine: str, row: list[Any]) -> Report:
    try:
        *head, jobs = row
        tasks = [
            TaskReport(job, task, number, state, why, saved)
            for job, rows in jobs.items()
            for number, state, why, saved, flat in rows
            for task in _decode_tasks(flat)
        ]
        # Validated like a report from a worker: a session that is not an integer would make the
        # leader fail.
        report = msgspec.to_builtins(Report(machine, *head, tasks))
        return _validate_report(msgspec.convert(report, Report))
    except (AttributeError, TypeError, ValueError, OverflowError) as error:
        raise Malformed(str(error)) from error


def _decode_tasks(flat: list[int]) -> list[int]:
    """Decode ranges of (start, length) to task numbers; Malformed if a job cannot have as many."""
    if sum(flat[1::2]) > c.MAX_TASKS:
        raise Malformed("too many tasks")
    return decode_ranges(flat)


def orders_answer(epoch: int, orders: list[Order]) -> bytes:
    return pack({"epoch": epoch, "orders": [_order_row(order) for order in orders]})


def without_cancelled_runs(body: bytes, cancelled: Callable[[str], bool]) -> bytes:
    """The answer to a worker without the run orders of cancelled jobs; unchanged if it has none."""
    if b"run" not in body:
        return body
    data = unpack(body)
    remaining = [
        order
        for order in data["orders"]
        if order["verb"] != "run" or not cancelled(order["piece"].rpartition("/")[0])
    ]
    return body if len(remaining) == len(data["orders"]) else pack({**data, "orders": remaining})


def _order_row(order: Order) -> dict[str, Any]:
    row: dict[str, Any] = {
        "verb": order.verb,
        "piece": f"{order.job}/{order.task}",
        "try": order.number,
    }
    if order.verb == "stop":
        row["wind_down_s"] = order.grace_s
    return row


def commands_body(epoch: int, tenure: int, orders: list[Order]) -> bytes:
    """Direct commands, which a worker executes only if epoch and session still match."""
    return pack(
        {"epoch": epoch, "tenure": tenure, "orders": [_order_row(order) for order in orders]}
    )


def redirect_answer(member: str) -> bytes:
    return pack({"reports_to": member})


# --- cloud -----------------------------------------------------------------------------


class MachineTypes(msgspec.Struct):
    """The cloud's machine types; an invalid type is skipped and does not affect the others."""

    flavors: list[Flavor]
    skipped: list[str]  # reasons for which rows were skipped


def read_flavors(body: bytes) -> MachineTypes:
    types = MachineTypes([], [])
    for row in _list_field(unpack(body), "flavors"):
        try:
            f = msgspec.convert(row, _FlavorBody)
        except (msgspec.ValidationError, TypeError, OverflowError) as error:
            types.skipped.append(str(error))
            continue
        flavor = Flavor(
            name=f.sku,
            cpus=f.cpus,
            accelerators=f.accelerators,
            ram_gb=f.ram_gb,
            cache_gb=f.local_gb,
            fetch_gb_per_s=f.pull_gb_per_s,
            price=f.rate,
            spot_price=f.spot_price,
            boot_s=f.ready_s,
            zones=f.sites,
        )
        invalid = flavor.invalid_field()
        if invalid:
            types.skipped.append(f"{f.sku[: c.NAME_MAX_CHARS]}: {invalid}")
        else:
            types.flavors.append(flavor)
    return types


def _list_field(data: dict[str, Any], name: str) -> list[Any]:
    rows = data.get(name)
    if not isinstance(rows, list):
        raise Malformed(name)
    return rows


def rental_body(name: str, flavor: str, zone: str, spot: bool, count: int) -> bytes:
    return pack({"rental": name, "flavor": flavor, "site": zone, "borrowed": spot, "number": count})


def read_hosts(body: bytes) -> list[str]:
    return [host for host in _list_field(unpack(body), "hosts") if isinstance(host, str)]


def return_body(machines: list[str]) -> bytes:
    return pack({"hosts": machines})


def list_query(after: str | None, limit: int) -> dict[str, str]:
    return {"most": str(limit)} | ({"after": after} if after else {})


class ListPage(msgspec.Struct):
    """A page of the cloud's list of machines."""

    machines: list[ListedMachine]
    has_next: bool
    skipped: list[str]  # reasons for which rows were skipped


def read_list(body: bytes) -> ListPage:
    data = unpack(body)
    page = ListPage([], data.get("has_next") is True, [])
    for row in _list_field(data, "hosts"):
        try:
            r = msgspec.convert(row, _ListedBody)
        except (msgspec.ValidationError, TypeError, OverflowError) as error:
            page.skipped.append(str(error))
            continue
        if not _is_valid_name(r.name_id) or not 0.0 <= r.held_s <= c.DURATION_MAX_S:
            page.skipped.append(f"{r.name_id[: c.NAME_MAX_CHARS]}: name or age")
            continue
        page.machines.append(
            ListedMachine(
                r.name_id, r.endpoint or "", r.flavor, r.site, r.borrowed, r.status, r.held_s
            )
        )
    return page


# --- state service ---------------------------------------------------------------------


def commit_body(guards: dict[str, int], writes: dict[str, Any], grant: int | None = None) -> bytes:
    """A transaction: guards are expected revisions by key; a write of None removes its key."""
    changes: list[dict[str, Any]] = []
    for key, value in writes.items():
        if value is None:
            changes.append({"remove": key})
        else:
            changes.append({"write": key, "value": value})
            if grant is not None:
                changes[-1]["grant"] = grant
    return pack(
        {
            "guards": [{"key": key, "key_rev": rev} for key, rev in guards.items()],
            "writes": changes,
        }
    )


class _ItemBody(msgspec.Struct):
    value: Any
    key_rev: int


class _RowBody(msgspec.Struct):
    key: str
    value: Any
    key_rev: int


class _PageBody(msgspec.Struct):
    rows: list[_RowBody]
    store_rev: int
    has_next: bool | None = None


class _CommitBody(msgspec.Struct):
    store_rev: int


class _ConflictBody(msgspec.Struct):
    failed: list[str] | None = None


class _LeaseBody(msgspec.Struct):
    grant: int


class _ChangesBody(msgspec.Struct):
    store_rev: int
    events: list[dict[str, Any]] | None = None


def read_commit(body: bytes) -> int:
    return _convert(body, _CommitBody).store_rev


def read_conflict(body: bytes) -> list[str]:
    return _convert(body, _ConflictBody).failed or []


def read_item(body: bytes) -> tuple[Any, int]:
    item = _convert(body, _ItemBody)
    return item.value, item.key_rev


def read_rows(body: bytes) -> tuple[list[tuple[str, Any, int]], bool, int]:
    page = _convert(body, _PageBody)
    return [(r.key, r.value, r.key_rev) for r in page.rows], bool(page.has_next), page.store_rev


def read_events(body: bytes) -> tuple[int, list[tuple[str, Any, int]]]:
    """The revision reached, and events in order: (key, value or None if removed, revision)."""
    changes = _convert(body, _ChangesBody)
    return changes.store_rev, [_event(event) for event in changes.events or []]


def _event(event: dict[str, Any]) -> tuple[str, Any, int]:
    removed = "remove" in event
    key, rev = event.get("remove" if removed else "write"), event.get("key_rev")
    if not isinstance(key, str) or type(rev) is not int or not (removed or "value" in event):
        raise Malformed("event")
    return key, None if removed else event["value"], rev


def store_query(prefix: str, after: str | None, limit: int) -> dict[str, str]:
    return {"starts": prefix, "most": str(limit)} | ({"after": after} if after else {})


def watch_query(prefix: str, after: int, wait_ms: int) -> dict[str, str]:
    return {"starts": prefix, "after": str(after), "hold_ms": str(wait_ms)}


def lease_body(duration_ms: int) -> bytes:
    return pack({"life_ms": duration_ms})


def read_lease(body: bytes) -> int:
    return _convert(body, _LeaseBody).grant
