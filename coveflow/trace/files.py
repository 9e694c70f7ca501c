"""Trace files: Parquet segments and a manifest, each written atomically.

A trace folder contains `manifest.json` and segments `seg-NNNNNN.parquet`. A segment is written
under a temporary name, synced and renamed, and then listed in the manifest, which is replaced in
the same way. After a crash, temporary files are deleted, and a renamed segment that is not yet in
the manifest is added to it after a check.
"""

from __future__ import annotations

import contextlib
import hashlib
import json
import os
from collections.abc import Iterable, Iterator
from dataclasses import asdict, dataclass, field
from pathlib import Path
from typing import Any, NamedTuple

import cbor2
import pyarrow as pa
import pyarrow.parquet as pq

VERSION = 1  # of the folder layout and of the meaning of rows
MANIFEST = "manifest.json"
SCHEMA = pa.schema(
    [
        pa.field("epoch", pa.int64(), nullable=False),
        pa.field("number", pa.int64(), nullable=False),
        pa.field("at", pa.float64(), nullable=False),
        pa.field("kind", pa.dictionary(pa.int16(), pa.string()), nullable=False),
        pa.field("job", pa.string()),
        pa.field("task", pa.int32()),
        pa.field("attempt", pa.int32()),
        pa.field("machine", pa.string()),
        pa.field("fields", pa.binary(), nullable=False),
    ],
    metadata={"coveflow.trace": str(VERSION)},
)
RECORDER = 0  # epoch of the rows that the recorder itself adds: gaps and fills


class TraceError(Exception):
    """A trace cannot be read or written; the message names the file, the place and the remedy."""


class Event(NamedTuple):
    """One row: `number` counts within the epoch; `at` is the time of day in s."""

    epoch: int
    number: int
    at: float
    kind: str
    fields: dict[str, Any]


@dataclass
class Segment:
    file: str
    rows: int
    bytes: int
    sha256: str
    first: tuple[int, int]
    last: tuple[int, int]


@dataclass
class Manifest:
    version: int = VERSION
    segments: list[Segment] = field(default_factory=list)
    # Newest event number of each epoch; the epoch is a string because JSON keys are strings.
    last: dict[str, int] = field(default_factory=dict)
    # Epochs that have ended: by the leader's last event, or declared lost by the recorder.
    closed: list[int] = field(default_factory=list)

    def dump(self) -> bytes:
        return (json.dumps(asdict(self), indent=1) + "\n").encode()


def read_manifest(folder: Path) -> Manifest:
    """Read the folder's manifest; an empty one if there is none yet. Raises TraceError."""
    path = folder / MANIFEST
    try:
        raw = json.loads(path.read_text(encoding="utf-8"))
    except FileNotFoundError:
        return Manifest()
    except (OSError, ValueError) as error:
        raise TraceError(f"{path}: not a manifest: {error}") from error
    version = raw.get("version") if isinstance(raw, dict) else None
    if not isinstance(version, int):
        raise TraceError(f"{path}: not a manifest: it has no version number")
    if version > VERSION:
        raise TraceError(
            f"{path}: version {version} is newer than {VERSION}, the newest version that this"
            " coveflow reads; use a newer coveflow"
        )
    try:
        segments = [
            Segment(**{**row, "first": tuple(row["first"]), "last": tuple(row["last"])})
            for row in raw["segments"]
        ]
        last = {str(key): int(value) for key, value in raw["last"].items()}
        closed = [int(epoch) for epoch in raw["closed"]]
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise TraceError(f"{path}: a field is missing or invalid: {error}") from error
    return Manifest(version, segments, last, closed)


def table_of(events: list[Event]) -> pa.Table:
    """Encode events as a table; fields without a column of their own are stored as CBOR."""
    columns: dict[str, list[Any]] = {name: [] for name in SCHEMA.names}
    for event in events:
        rest = dict(event.fields)
        columns["epoch"].append(event.epoch)
        columns["number"].append(event.number)
        columns["at"].append(event.at)
        columns["kind"].append(event.kind)
        columns["job"].append(rest.pop("job", None))
        columns["task"].append(rest.pop("task", None))
        columns["attempt"].append(rest.pop("number", None))
        columns["machine"].append(rest.pop("machine", None))
        columns["fields"].append(cbor2.dumps(rest))
    return pa.table(columns, schema=SCHEMA)


def events_of(table: pa.Table, where: str) -> Iterator[Event]:
    """Decode the events of a table; `where` names its source in errors."""
    names = table.schema.names
    missing = [name for name in SCHEMA.names if name not in names]
    if missing:
        raise TraceError(f"{where}: column {missing[0]} is missing")
    columns = [table.column(name).to_pylist() for name in SCHEMA.names]
    for index, row in enumerate(zip(*columns, strict=True)):
        epoch, number, at, kind, job, task, attempt, machine, rest = row
        try:
            fields = cbor2.loads(rest)
        except Exception as error:  # corrupt CBOR raises many types
            raise TraceError(f"{where}: row {index}: corrupt fields: {error}") from error
        known = {"job": job, "task": task, "number": attempt, "machine": machine}
        yield Event(
            epoch, number, at, kind, {k: v for k, v in known.items() if v is not None} | fields
        )


def read_segment(path: Path) -> pa.Table:
    """Read a whole segment; TraceError names the file and what is wrong with it."""
    try:
        table = pq.read_table(path, memory_map=False)
    except FileNotFoundError as error:
        raise TraceError(f"{path}: the manifest lists it, but it is not there") from error
    except (pa.ArrowInvalid, pa.ArrowException, OSError) as error:
        raise TraceError(f"{path}: not a complete Parquet file: {error}") from error
    meta = (table.schema.metadata or {}).get(b"coveflow.trace", b"")
    if not meta.isdigit():
        raise TraceError(f"{path}: not a segment of a coveflow trace")
    if int(meta) > VERSION:
        raise TraceError(f"{path}: version {int(meta)} is newer than {VERSION}")
    return table


def _sync_folder(folder: Path) -> None:
    handle = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(handle)
    finally:
        os.close(handle)


def write_atomically(path: Path, data: bytes) -> None:
    """Write a file atomically: to a temporary name, sync, rename, and sync the folder."""
    temporary = path.with_name(f".{path.name}.tmp")
    with temporary.open("wb") as out:
        out.write(data)
        out.flush()
        os.fsync(out.fileno())
    os.replace(temporary, path)
    _sync_folder(path.parent)


class Writer:
    """Appends segments to a trace folder; a file lock admits one writer at a time."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        folder.mkdir(parents=True, exist_ok=True)
        self.lock = self._lock()
        self.manifest = read_manifest(folder)
        self.recovered = self._recover()

    def _lock(self) -> int:
        import fcntl

        handle = os.open(self.folder / ".lock", os.O_RDWR | os.O_CREAT, 0o644)
        try:
            fcntl.flock(handle, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            os.close(handle)
            raise TraceError(
                f"{self.folder}: another recorder is writing to this folder"
            ) from error
        return handle

    def close(self) -> None:
        os.close(self.lock)

    def last(self, epoch: int) -> int:
        """Number of the epoch's newest event on disk; 0 if there is none."""
        return self.manifest.last.get(str(epoch), 0)

    def _recover(self) -> int:
        """Clean up after a crash; returns the number of segments added to the manifest."""
        for path in self.folder.glob(".*.tmp"):
            path.unlink()
        listed = {segment.file for segment in self.manifest.segments}
        added = 0
        for path in sorted(self.folder.glob("seg-*.parquet")):
            if path.name in listed:
                continue
            events = list(events_of(read_segment(path), str(path)))
            # Only a segment that continues the manifest's events is the one the crash left behind.
            if events and all(e.number > self.last(e.epoch) for e in events):
                self._add_to_manifest(path, events)
                added += 1
            else:
                path.unlink()
        return added

    def _add_to_manifest(self, path: Path, events: list[Event]) -> None:
        data = path.read_bytes()
        keys = [(e.epoch, e.number) for e in events]
        self.manifest.segments.append(
            Segment(
                path.name, len(events), len(data), hashlib.sha256(data).hexdigest(),
                keys[0], keys[-1],
            )
        )  # fmt: skip
        for epoch, number in keys:
            self.manifest.last[str(epoch)] = max(self.last(epoch), number)
        for event in events:
            epoch = event.epoch if event.kind == "left" else event.fields.get("closes")
            if epoch is not None and epoch not in self.manifest.closed:
                self.manifest.closed.append(epoch)
        write_atomically(self.folder / MANIFEST, self.manifest.dump())

    def append(self, events: list[Event]) -> None:
        """Write the events as one segment; they are durable once this returns."""
        if not events:
            return
        newest: dict[int, int] = {}
        for event in events:
            before = newest.get(event.epoch, self.last(event.epoch))
            if event.number <= before:
                raise TraceError(f"event {event.epoch}/{event.number} is already in the trace")
            newest[event.epoch] = event.number
        number = 1 + max(
            (int(s.file[len("seg-") : -len(".parquet")]) for s in self.manifest.segments),
            default=0,
        )
        path = self.folder / f"seg-{number:06d}.parquet"
        sink = pa.BufferOutputStream()
        pq.write_table(table_of(events), sink, compression="zstd")
        write_atomically(path, sink.getvalue().to_pybytes())
        self._add_to_manifest(path, events)


def read(folder: Path) -> Iterator[Event]:
    """All events in the order of writing. Raises TraceError if a file is corrupt or too new."""
    if not (folder / MANIFEST).exists():
        raise TraceError(f"{folder}: no trace there ({MANIFEST} is missing)")
    for segment in read_manifest(folder).segments:
        path = folder / segment.file
        yield from events_of(read_segment(path), str(path))


@dataclass
class Findings:
    """Result of the verification of a whole trace."""

    rows: int = 0
    epochs: dict[int, int] = field(default_factory=dict)
    gaps: list[dict[str, Any]] = field(default_factory=list)
    wrong: list[str] = field(default_factory=list)


def verify(folder: Path) -> Findings:
    """Check checksums, order and numbers; each gap must have a row of the recorder."""
    found = Findings()
    if not (folder / MANIFEST).exists():
        raise TraceError(f"{folder}: no trace there ({MANIFEST} is missing)")
    manifest = read_manifest(folder)
    missing_ranges: list[tuple[int, int, int]] = []
    for segment in manifest.segments:
        path = folder / segment.file
        try:
            data = path.read_bytes()
            if hashlib.sha256(data).hexdigest() != segment.sha256:
                found.wrong.append(f"{path}: its checksum does not match the manifest")
            events = list(events_of(read_segment(path), str(path)))
        except (TraceError, OSError) as error:
            found.wrong.append(str(error))
            continue
        if len(events) != segment.rows:
            found.wrong.append(f"{path}: {len(events)} rows, but the manifest lists {segment.rows}")
        for event in events:
            found.rows += 1
            before = found.epochs.get(event.epoch, 0)
            if event.number <= before:
                found.wrong.append(f"{path}: event {event.epoch}/{event.number} is a duplicate")
                continue
            if event.number > before + 1:
                missing_ranges.append((event.epoch, before + 1, event.number - 1))
            found.epochs[event.epoch] = event.number
            if event.kind == "gap":
                found.gaps.append({"at": event.at, **event.fields})
    recorded = {(gap["of"], gap["first"], gap["last"]) for gap in found.gaps}
    for numbers in missing_ranges:
        if numbers not in recorded:
            found.wrong.append(
                f"events {numbers[0]}/{numbers[1]} to {numbers[2]} are missing without a gap row"
            )
    for epoch, number in manifest.last.items():
        if found.epochs.get(int(epoch), 0) != number and not found.wrong:
            found.wrong.append(f"{folder}: epoch {epoch} ends before {number}")
    return found


def merge(folders: Iterable[Path], target: Path, rows: int = 100_000) -> int:
    """Merge traces of one cluster by several recorders, each event once; returns the row count.

    The recorders' own rows come last, in order of time. A gap whose events another recorder has is
    left out.
    """
    if (target / MANIFEST).exists():
        raise TraceError(f"{target}: already contains a trace; name a new folder")
    events: dict[tuple[int, int], Event] = {}
    own: list[Event] = []
    for folder in folders:
        for event in read(folder):
            if event.epoch == RECORDER:
                own.append(event)
            else:
                events.setdefault((event.epoch, event.number), event)
    kept = []
    for event in sorted(own, key=lambda e: e.at):
        if event.kind == "gap" and event.fields["last"] is not None:
            of, first, last = (event.fields[key] for key in ("of", "first", "last"))
            if all((of, n) in events for n in range(first, last + 1)):
                continue
        kept.append(event)
    merged = [events[key] for key in sorted(events)]
    merged += [e._replace(number=i) for i, e in enumerate(kept, 1)]
    writer = Writer(target)
    try:
        for start in range(0, len(merged), rows):
            writer.append(merged[start : start + rows])
    finally:
        with contextlib.suppress(OSError):
            writer.close()
    return len(merged)
