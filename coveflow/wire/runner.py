"""Requests of machines that run task documents, in addition to the protocol's reports.

The protocol does not define how a machine gets the definition of a task or where its output goes.
This module defines both for tasks of the task execution API; machines that do not support it are
not affected. Both requests go to a controller's `front`, in CBOR:

- `GET /agent/task/JOB`: 200 `{"spec": ..., "document": TEXT}`, 404 for any other job.
- `POST /agent/told` `{"piece": "JOB/N", "code": 0, "system": false, "log": BYTES}`: the result
  of the task, sent before the machine reports its end. `code` is the deciding exit code, `system`
  is true if something other than an executor failed, `log` is a TES TaskLog in JSON, compressed
  with zlib. 200 `{"kept": "kept" | "known"}`; 410: the job is finished or cancelled; 429, 503:
  retry later.
"""

from __future__ import annotations

import zlib
from typing import Any, NamedTuple

from coveflow.wire import TASK_NAME, Malformed, pack, unpack

TASK_PATH, RESULT_PATH = "/agent/task/", "/agent/told"
LOG_MAX_BYTES = 1024 * 1024  # bytes of a decompressed log at most


class TaskResult(NamedTuple):
    """The result of a task, as its machine sends it."""

    job: str
    task: int
    code: int  # the deciding exit code
    system: bool  # the cause was no executor: a missing input or an output that was not created
    log: bytes  # a TaskLog in JSON


def result_body(result: TaskResult) -> bytes:
    return pack(
        {"piece": f"{result.job}/{result.task}", "code": result.code, "system": result.system,
         "log": zlib.compress(result.log)}
    )  # fmt: skip


def read_result(body: bytes) -> TaskResult:
    """Decode a result. Raises Malformed."""
    fields = unpack(body)
    piece = fields.get("piece")
    match = TASK_NAME.fullmatch(piece) if isinstance(piece, str) else None
    code, compressed = fields.get("code"), fields.get("log")
    if match is None or type(code) is not int or not -(2**31) <= code < 2**31:
        raise Malformed("piece or code")
    if not isinstance(compressed, bytes):
        raise Malformed("log")
    decompressor = zlib.decompressobj()
    try:
        log = decompressor.decompress(compressed, LOG_MAX_BYTES)
    except zlib.error as error:
        raise Malformed("log") from error
    if not decompressor.eof:
        raise Malformed("log")
    return TaskResult(match[1], int(match[2]), code, fields.get("system") is True, log)


def task_body(value: dict[str, Any]) -> bytes:
    return pack(value)


def read_task(body: bytes) -> tuple[dict[str, Any], bytes]:
    """The job's spec as builtins, and the document's bytes. Raises Malformed."""
    fields = unpack(body)
    if not isinstance(fields.get("spec"), dict) or not isinstance(fields.get("document"), str):
        raise Malformed("spec or document")
    return fields["spec"], fields["document"].encode()
