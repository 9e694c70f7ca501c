"""The schema of TES 1.1, as GA4GH publishes it (task_execution_service.openapi.yaml).

Field names are those of the schema. A client's task is decoded strictly: a field that is not in the
schema or not supported here is refused with a message that names it, never ignored.
"""

from __future__ import annotations

import math
import posixpath
import re
from enum import StrEnum
from typing import Annotated, Any
from urllib.parse import urlsplit

import msgspec

Int32 = Annotated[int, msgspec.Meta(ge=-(2**31), le=2**31 - 1)]
NAME_BYTES = 512  # longest name; names are kept in the index
TAGS_BYTES = 2_048  # size of all tags together, as JSON
EXECUTORS_MAX = 10_000  # executors of a task
WILDCARD = re.compile(r"[*?\[]")


class RequestError(ValueError):
    """A client's request is refused, with an HTTP status and a message that names the field."""

    def __init__(self, text: str, status: int = 400) -> None:
        super().__init__(text)
        self.status = status


class State(StrEnum):
    UNKNOWN = "UNKNOWN"
    QUEUED = "QUEUED"
    INITIALIZING = "INITIALIZING"
    RUNNING = "RUNNING"
    PAUSED = "PAUSED"
    COMPLETE = "COMPLETE"
    EXECUTOR_ERROR = "EXECUTOR_ERROR"
    SYSTEM_ERROR = "SYSTEM_ERROR"
    CANCELED = "CANCELED"
    PREEMPTED = "PREEMPTED"
    CANCELING = "CANCELING"


FINAL = (State.COMPLETE, State.EXECUTOR_ERROR, State.SYSTEM_ERROR, State.CANCELED)


class View(StrEnum):
    MINIMAL = "MINIMAL"
    BASIC = "BASIC"
    FULL = "FULL"


class FileType(StrEnum):
    FILE = "FILE"
    DIRECTORY = "DIRECTORY"


class _Strict(msgspec.Struct, frozen=True, omit_defaults=True, forbid_unknown_fields=True):
    pass


class Input(_Strict):
    path: str
    name: str | None = None
    description: str | None = None
    url: str | None = None
    type: FileType = FileType.FILE
    content: str | None = None
    streamable: bool | None = None


class Output(_Strict):
    path: str
    url: str
    name: str | None = None
    description: str | None = None
    path_prefix: str | None = None
    type: FileType = FileType.FILE


class Executor(_Strict):
    image: str
    command: list[str]
    workdir: str | None = None
    stdin: str | None = None
    stdout: str | None = None
    stderr: str | None = None
    env: dict[str, str] | None = None
    ignore_error: bool | None = None


class Resources(_Strict):
    cpu_cores: Int32 | None = None
    preemptible: bool | None = None
    ram_gb: float | None = None
    disk_gb: float | None = None
    zones: list[str] | None = None
    backend_parameters: dict[str, str] | None = None
    backend_parameters_strict: bool | None = None


class OutputFileLog(msgspec.Struct, frozen=True):
    url: str
    path: str
    size_bytes: str


class ExecutorLog(msgspec.Struct, frozen=True, omit_defaults=True):
    exit_code: Int32
    start_time: str | None = None
    end_time: str | None = None
    stdout: str | None = None
    stderr: str | None = None


class TaskLog(msgspec.Struct, frozen=True, omit_defaults=True):
    # The schema requires `logs` and `outputs` even if empty; without a default they are always
    # encoded.
    logs: list[ExecutorLog]
    outputs: list[OutputFileLog]
    metadata: dict[str, str] | None = None
    start_time: str | None = None
    end_time: str | None = None
    system_logs: list[str] | None = None


class Document(_Strict):
    """The stored part of a task: all fields but those that listings filter by."""

    executors: list[Executor]
    description: str | None = None
    inputs: list[Input] | None = None
    outputs: list[Output] | None = None
    resources: Resources | None = None
    volumes: list[str] | None = None


class Task(_Strict):
    """A task as clients send it; the last four fields are the server's to fill in."""

    executors: list[Executor]
    name: str | None = None
    description: str | None = None
    inputs: list[Input] | None = None
    outputs: list[Output] | None = None
    resources: Resources | None = None
    volumes: list[str] | None = None
    tags: dict[str, str] | None = None
    id: str | None = None
    state: State | None = None
    logs: list[TaskLog] | None = None
    creation_time: str | None = None


class CreateTaskResponse(msgspec.Struct, frozen=True):
    id: str


class ListTasksResponse(msgspec.Struct, frozen=True, omit_defaults=True):
    tasks: list[Task]
    next_page_token: str | None = None


class CancelTaskResponse(msgspec.Struct, frozen=True):
    pass


class Organization(msgspec.Struct, frozen=True):
    name: str
    url: str


class ServiceType(msgspec.Struct, frozen=True):
    group: str
    artifact: str
    version: str


class ServiceInfo(msgspec.Struct, frozen=True):
    id: str
    name: str
    type: ServiceType
    organization: Organization
    version: str
    storage: list[str]
    tesResources_backend_parameters: list[str]  # the schema's own spelling


class Fault(msgspec.Struct, frozen=True):
    """An error's body: the status again, and a sentence."""

    status_code: int
    message: str


READ_ONLY = ("id", "state", "logs", "creation_time")


def read_task(body: bytes) -> Task:
    """Decode and validate a client's task. Raises RequestError that names the invalid field."""
    try:
        task = msgspec.json.decode(body, type=Task)
    except msgspec.ValidationError as error:
        raise RequestError(f"the task does not fit the schema: {error}") from error
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise RequestError(f"the body is not JSON: {error}") from error
    for name in READ_ONLY:
        if getattr(task, name) is not None:
            raise RequestError(f"{name} is for the server to fill in; leave it out")
    if not task.executors:
        raise RequestError("executors must hold at least one executor")
    if len(task.executors) > EXECUTORS_MAX:
        raise RequestError(
            f"executors holds {len(task.executors)}; at most {EXECUTORS_MAX} are taken"
        )
    if task.name is not None and len(task.name.encode()) > NAME_BYTES:
        raise RequestError(f"name is longer than {NAME_BYTES} bytes")
    if task.tags and len(msgspec.json.encode(task.tags)) > TAGS_BYTES:
        raise RequestError(
            f"tags take more than {TAGS_BYTES} bytes; put what is long in description"
        )
    for i, executor in enumerate(task.executors):
        _validate_executor(f"executors[{i}]", executor)
    for i, item in enumerate(task.inputs or ()):
        _validate_path(f"inputs[{i}].path", item.path)
        if item.content is None and not item.url:
            raise RequestError(f"inputs[{i}] needs a url or content")
        if item.content is not None and item.type == FileType.DIRECTORY:
            raise RequestError(f"inputs[{i}].content is a file's; its type cannot be DIRECTORY")
    for i, item in enumerate(task.outputs or ()):
        _validate_output(f"outputs[{i}]", item)
    for i, path in enumerate(task.volumes or ()):
        _validate_path(f"volumes[{i}]", path)
    _validate_overlaps(task)
    _validate_resources(task.resources)
    return task


def _validate_executor(where: str, executor: Executor) -> None:
    if not executor.image:
        raise RequestError(f"{where}.image is empty")
    if not executor.command or not executor.command[0]:
        raise RequestError(f"{where}.command names no program")
    if any("\0" in word for word in executor.command):
        raise RequestError(f"{where}.command holds a NUL character")
    for name in ("workdir", "stdin", "stdout", "stderr"):
        path = getattr(executor, name)
        if path is not None:
            _validate_path(f"{where}.{name}", path)
    for name, value in (executor.env or {}).items():
        if not name or "=" in name or "\0" in name + value:
            raise RequestError(
                f"{where}.env: {name!r} is no name of a variable, or its value has a NUL"
            )


def normalize_path(path: str) -> str:
    """Return the shortest form of an absolute path.

    `posixpath.normpath` keeps two leading slashes, as POSIX allows. Walking up the parents of such
    a path would never reach "/", so they are reduced to one.
    """
    return "/" + posixpath.normpath(path).lstrip("/")


def _validate_path(where: str, path: str) -> None:
    """Check that a path is absolute and stays inside the task's directory."""
    if not path.startswith("/"):
        raise RequestError(f"{where} must be absolute, not {path[:100]!r}")
    if "\0" in path:
        raise RequestError(f"{where} holds a NUL character")
    if ".." in path.split("/"):
        raise RequestError(f"{where} holds '..', which could lead out of the task's directory")
    if normalize_path(path) == "/":
        raise RequestError(f"{where} must name something below /")


def _validate_output(where: str, item: Output) -> None:
    _validate_path(f"{where}.path", item.path)
    if not item.url:
        raise RequestError(f"{where}.url is empty")
    wild = WILDCARD.search(item.path)
    if wild and not item.path_prefix:
        raise RequestError(f"{where}.path has wildcards, so path_prefix must say what to take off")
    if item.path_prefix is not None:
        _validate_path(f"{where}.path_prefix", item.path_prefix)
        if not wild:
            raise RequestError(f"{where}.path_prefix goes only with wildcards in path")
        if not item.path.startswith(item.path_prefix):
            raise RequestError(f"{where}.path does not begin with its path_prefix")


def _validate_overlaps(task: Task) -> None:
    """Refuse two inputs at the same path, and an input below one that is a file."""
    files: dict[str, int] = {}
    for i, item in enumerate(task.inputs or ()):
        path = normalize_path(item.path)
        if path in files:
            raise RequestError(f"inputs[{i}].path is also that of inputs[{files[path]}]")
        files[path] = i
    for i, item in enumerate(task.inputs or ()):
        above = posixpath.dirname(normalize_path(item.path))
        while above != "/":
            other = files.get(above)
            if other is not None and (task.inputs or [])[other].type == FileType.FILE:
                raise RequestError(f"inputs[{i}].path lies inside inputs[{other}], which is a file")
            above = posixpath.dirname(above)


def _validate_resources(found: Resources | None) -> None:
    if found is None:
        return
    if found.cpu_cores is not None and found.cpu_cores < 1:
        raise RequestError("resources.cpu_cores must be at least 1")
    for name in ("ram_gb", "disk_gb"):
        value = getattr(found, name)
        if value is not None and not (math.isfinite(value) and value >= 0):
            raise RequestError(f"resources.{name} must be a finite number of at least 0")


def validate_urls(task: Task, storage: tuple[str, ...]) -> None:
    """Check that every url begins with one of the storage prefixes. Raises RequestError."""
    inputs = [(i, x) for i, x in enumerate(task.inputs or ()) if x.content is None]
    rows = [(f"inputs[{i}].url", x.url) for i, x in inputs]
    rows += [(f"outputs[{i}].url", x.url) for i, x in enumerate(task.outputs or ())]
    for where, url in rows:
        if not any((url or "").startswith(prefix) for prefix in storage):
            raise RequestError(f"{where} is not in a storage that is served: {', '.join(storage)}")
        try:
            parts = urlsplit(url or "")
        except ValueError as error:
            raise RequestError(f"{where} is not a URL: {error}") from error
        if parts.scheme == "file" and (".." in parts.path.split("/") or not parts.path.strip("/")):
            raise RequestError(f"{where} must name a path without '..'")


def encode_document(task: Task) -> bytes:
    """Encode a task's document canonically, so that equal tasks share one document."""
    document = Document(
        task.executors, task.description, task.inputs, task.outputs, task.resources, task.volumes
    )
    return msgspec.json.encode(document, order="deterministic")


def read_document(raw: bytes) -> Document:
    return msgspec.json.decode(raw, type=Document)


def render_task(
    document: Document, view: View, fields: dict[str, Any], logs: list[TaskLog]
) -> Task:
    """Return the task in a view; `fields` are id, state, name, tags and creation_time.

    BASIC omits the fields that the schema lists as possibly long: the inputs' content, the
    executors' stdout and stderr, and the system logs.
    """
    inputs = document.inputs
    if view == View.BASIC:
        inputs = inputs and [msgspec.structs.replace(item, content=None) for item in inputs]
        logs = [
            msgspec.structs.replace(
                log,
                system_logs=None,
                logs=[msgspec.structs.replace(e, stdout=None, stderr=None) for e in log.logs],
            )
            for log in logs
        ]
    return Task(
        executors=document.executors,
        description=document.description,
        inputs=inputs,
        outputs=document.outputs,
        resources=document.resources,
        volumes=document.volumes,
        logs=logs or None,
        **fields,
    )
