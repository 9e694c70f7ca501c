"""What machines that run task documents exchange with controllers, beside the protocol's reports.

The protocol leaves it to users how a machine learns what a task is and where its output goes. For
tasks of the task execution API this project lays it down here; machines that know nothing of it go
on as before. Both go to a controller's `front`, in CBOR:

- `GET /agent/task/JOB`: 200 `{"spec": ..., "document": TEXT}`, 404 for any other job.
- `POST /agent/told` `{"piece": "JOB/N", "code": 0, "system": false, "log": BYTES}`: how the task
  ended, before the machine reports its end. `code` is the exit code that decided, `system` tells
  that what failed was no executor, `log` is a TES TaskLog in JSON, packed with zlib.
  200 `{"kept": "kept" | "known"}`; 410: the job is over or cancelled; 429, 503: again later.
"""

from __future__ import annotations

import zlib
from typing import Any, NamedTuple

from coveflow.wire import PIECE, Malformed, pack, unpack

TASK, TOLD = "/agent/task/", "/agent/told"
LOG_BYTES = 1024 * 1024  # of a log unpacked


class Told(NamedTuple):
    """How a task ended by its own word."""

    job: str
    task: int
    code: int  # the exit code that decided
    system: bool  # what failed was no executor: an input that is not there, an output not made
    log: bytes  # a TaskLog in JSON


def told_body(told: Told) -> bytes:
    return pack(
        {"piece": f"{told.job}/{told.task}", "code": told.code, "system": told.system,
         "log": zlib.compress(told.log)}
    )  # fmt: skip


def read_told(body: bytes) -> Told:
    """Raises Malformed."""
    found = unpack(body)
    piece = found.get("piece")
    match = PIECE.fullmatch(piece) if isinstance(piece, str) else None
    code, packed = found.get("code"), found.get("log")
    if match is None or type(code) is not int or not -(2**31) <= code < 2**31:
        raise Malformed("piece or code")
    if not isinstance(packed, bytes):
        raise Malformed("log")
    unpacker = zlib.decompressobj()
    try:
        log = unpacker.decompress(packed, LOG_BYTES)
    except zlib.error as error:
        raise Malformed("log") from error
    if not unpacker.eof:
        raise Malformed("log")
    return Told(match[1], int(match[2]), code, found.get("system") is True, log)


def task_body(value: dict[str, Any]) -> bytes:
    return pack(value)


def read_task(body: bytes) -> tuple[dict[str, Any], bytes]:
    """The job's spec as builtins, and the document's bytes. Raises Malformed."""
    found = unpack(body)
    if not isinstance(found.get("spec"), dict) or not isinstance(found.get("document"), str):
        raise Malformed("spec or document")
    return found["spec"], found["document"].encode()
