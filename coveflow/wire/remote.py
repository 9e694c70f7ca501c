"""Bodies of the other side of each interface: users, workers, the cloud and the state service.

Used by clients, test servers and load tools; the daemon does not import it.
"""

from __future__ import annotations

from typing import Any

from coveflow import wire
from coveflow.core.model import Flavor, ListedMachine, Order, Report, Spec

SHAPES = {kind: shape for shape, kind in wire.KINDS.items()}
URGENCIES = {priority: urgency for urgency, priority in wire.PRIORITIES.items()}

# --- users -----------------------------------------------------------------------------


def submission_body(spec: Spec) -> bytes:
    return wire.pack(
        {
            "name_id": spec.id,
            "workload": spec.workload,
            "owner": spec.team,
            "shape": SHAPES[spec.kind],
            "urgency": URGENCIES[spec.priority],
            "pieces": spec.tasks,
            "cpus": spec.cpus,
            "accelerators": spec.accelerators,
            "ram_gb": spec.ram_gb,
            "bundle": spec.image,
            "size_gb": spec.image_gb,
            "flavors": spec.types,
            "site": spec.zone,
            "same_place": spec.one_zone,
            "scatter": spec.spread,
            "borrowed": spec.spot,
            "expected_s": spec.expected_s,
            "snapshot_s": spec.checkpoint_s,
            "flush_s": spec.save_s,
            "due_s": spec.deadline_s,
        }
    )


def read_job(body: bytes) -> dict[str, Any]:
    """`id`, `status` and, where present, the numbers of `done` and `running` tasks."""
    data = wire.unpack(body)
    answer = {"id": data.get("name_id"), "status": data.get("status")}
    return answer | {key: data[key] for key in ("done", "running") if key in data}


def read_error(body: bytes) -> str:
    try:
        return str(wire.unpack(body).get("error", ""))
    except wire.Malformed:
        return ""


# --- workers ---------------------------------------------------------------------------


def report_body(report: Report) -> bytes:
    pieces = []
    for t in report.tasks:
        piece: dict[str, Any] = {
            "piece": f"{t.job}/{t.task}", "try": t.number, "status": t.state,
        }  # fmt: skip
        if t.state == "exited":
            piece["cause"] = t.why
            if t.saved:
                piece["kept"] = True
        pieces.append(piece)
    return wire.pack(
        {
            "host": report.machine,
            "endpoint": report.address,
            "flavor": report.type,
            "site": report.zone,
            "borrowed": report.spot,
            "tenure": report.tenure,
            "counter": report.counter,
            "epoch": report.epoch,
            "warning_s": report.notice_s,
            "pieces": pieces,
        }
    )


def read_orders(body: bytes) -> tuple[int | None, int | None, list[Order]]:
    """Epoch, session (of `/commands`) and orders; epoch and session are None where missing."""
    data = wire.unpack(body)
    orders = []
    for row in data.get("orders") or []:
        match = wire.TASK_NAME.fullmatch(row["piece"])
        if match:
            orders.append(
                Order(row["verb"], match[1], int(match[2]), row["try"], row.get("wind_down_s", 0.0))
            )
    return data.get("epoch"), data.get("tenure"), orders


def read_redirect(body: bytes) -> str | None:
    try:
        return wire.unpack(body).get("reports_to")
    except wire.Malformed:
        return None


# --- cloud -----------------------------------------------------------------------------


def flavors_body(flavors: list[Flavor]) -> bytes:
    rows = [
        {
            "sku": f.name, "cpus": f.cpus, "accelerators": f.accelerators, "ram_gb": f.ram_gb,
            "local_gb": f.cache_gb, "pull_gb_per_s": f.fetch_gb_per_s, "rate": f.price,
            "spot_price": f.spot_price, "ready_s": f.boot_s, "sites": f.zones,
        }
        for f in flavors
    ]  # fmt: skip
    return wire.pack({"flavors": rows})


def read_rental(body: bytes) -> tuple[str, str, str, bool, int]:
    """Request name, type, zone, whether spot, count; Malformed if one is missing or invalid."""
    data = wire.unpack(body)
    row = tuple(data.get(key) for key in ("rental", "flavor", "site", "borrowed", "number"))
    kinds = (str, str, str, bool, int)
    if any(not isinstance(value, kind) for value, kind in zip(row, kinds, strict=True)):
        raise wire.Malformed("rental")
    if not 1 <= row[4] <= 50:
        raise wire.Malformed("number")
    return row


def hosts_body(names: list[str]) -> bytes:
    return wire.pack({"hosts": names})


def list_body(rows: list[ListedMachine], more: bool) -> bytes:
    hosts = [
        {
            "name_id": r.machine, "endpoint": r.address, "flavor": r.type, "site": r.zone,
            "borrowed": r.spot, "status": r.state, "held_s": r.age_s,
        }
        for r in rows
    ]  # fmt: skip
    return wire.pack({"hosts": hosts, "has_next": more})


# --- state service ---------------------------------------------------------------------


def read_txn(body: bytes) -> tuple[dict[str, int], dict[str, tuple[Any, int | None]]]:
    """Guarded revisions by key, and (value or None, lease) by key."""
    data = wire.unpack(body)
    try:
        guards = {row["key"]: row["key_rev"] for row in data.get("guards") or []}
        writes: dict[str, tuple[Any, int | None]] = {}
        for row in data.get("writes") or []:
            if "remove" in row:
                writes[row["remove"]] = (None, None)
            else:
                writes[row["write"]] = (row["value"], row.get("grant"))
    except (KeyError, TypeError) as error:
        raise wire.Malformed("transaction") from error
    return guards, writes


def txn_body(rev: int, failed: list[str] | None = None) -> bytes:
    return wire.pack({"store_rev": rev} | ({} if failed is None else {"failed": failed}))


def item_body(key: str, value: Any, rev: int, grant: int | None) -> bytes:
    return wire.pack({"key": key, "value": value, "key_rev": rev, "grant": grant})


def rows_body(rows: list[tuple[str, Any, int]], more: bool, rev: int) -> bytes:
    items = [{"key": key, "value": value, "key_rev": at} for key, value, at in rows]
    return wire.pack({"rows": items, "has_next": more, "store_rev": rev})


def events_body(rev: int, events: list[tuple[str, Any, int]]) -> bytes:
    rows = [
        {"remove": key, "key_rev": at} if value is None
        else {"write": key, "value": value, "key_rev": at}
        for key, value, at in events
    ]  # fmt: skip
    return wire.pack({"store_rev": rev, "events": rows})


def read_lease_duration(body: bytes) -> float:
    """The lease's duration in s; Malformed outside the protocol's bounds."""
    duration_ms = wire.unpack(body).get("life_ms")
    if not isinstance(duration_ms, int) or not 100 <= duration_ms <= 600_000:
        raise wire.Malformed("life_ms")
    return duration_ms / 1000


def lease_answer(grant: int) -> bytes:
    return wire.pack({"grant": grant})
