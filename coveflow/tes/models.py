"""The schema of TES 1.1, as GA4GH publishes it (task_execution_service.openapi.yaml).

Field names are the schema's own. A client's task is read strictly: what is not in the schema, or
not supported here, is refused with a sentence that names the field, never ignored.
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
NAME_BYTES = 512  # of a name: it is in every listing
TAGS_BYTES = 2_048  # of all tags together, as JSON
EXECUTORS_MOST = 10_000
WILD = re.compile(r"[*?\[]")


class Refused(ValueError):
    """The client's task cannot be taken; `status` and a sentence that names the field."""

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
    # The schema wants `logs` and `outputs` even where they are empty: no defaults, so never left
    # out.
    logs: list[ExecutorLog]
    outputs: list[OutputFileLog]
    metadata: dict[str, str] | None = None
    start_time: str | None = None
    end_time: str | None = None
    system_logs: list[str] | None = None


class Document(_Strict):
    """What is kept of a task beside its job: all but what listings filter by."""

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
    """A client's task, checked whole. Raises Refused, naming the field and what would be right."""
    try:
        task = msgspec.json.decode(body, type=Task)
    except msgspec.ValidationError as error:
        raise Refused(f"the task does not fit the schema: {error}") from error
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise Refused(f"the body is not JSON: {error}") from error
    for name in READ_ONLY:
        if getattr(task, name) is not None:
            raise Refused(f"{name} is for the server to fill in; leave it out")
    if not task.executors:
        raise Refused("executors must hold at least one executor")
    if len(task.executors) > EXECUTORS_MOST:
        raise Refused(f"executors holds {len(task.executors)}; at most {EXECUTORS_MOST} are taken")
    if task.name is not None and len(task.name.encode()) > NAME_BYTES:
        raise Refused(f"name is longer than {NAME_BYTES} bytes")
    if task.tags and len(msgspec.json.encode(task.tags)) > TAGS_BYTES:
        raise Refused(f"tags take more than {TAGS_BYTES} bytes; put what is long in description")
    for i, executor in enumerate(task.executors):
        _executor(f"executors[{i}]", executor)
    for i, item in enumerate(task.inputs or ()):
        _path(f"inputs[{i}].path", item.path)
        if item.content is None and not item.url:
            raise Refused(f"inputs[{i}] needs a url or content")
        if item.content is not None and item.type == FileType.DIRECTORY:
            raise Refused(f"inputs[{i}].content is a file's; its type cannot be DIRECTORY")
    for i, item in enumerate(task.outputs or ()):
        _output(f"outputs[{i}]", item)
    for i, path in enumerate(task.volumes or ()):
        _path(f"volumes[{i}]", path)
    _no_overlaps(task)
    _resources(task.resources)
    return task


def _executor(where: str, executor: Executor) -> None:
    if not executor.image:
        raise Refused(f"{where}.image is empty")
    if not executor.command or not executor.command[0]:
        raise Refused(f"{where}.command names no program")
    if any("\0" in word for word in executor.command):
        raise Refused(f"{where}.command holds a NUL character")
    for name in ("workdir", "stdin", "stdout", "stderr"):
        path = getattr(executor, name)
        if path is not None:
            _path(f"{where}.{name}", path)
    for name, value in (executor.env or {}).items():
        if not name or "=" in name or "\0" in name + value:
            raise Refused(f"{where}.env: {name!r} is no name of a variable, or its value has a NUL")


def normal(path: str) -> str:
    """The shortest form of an absolute path.

    POSIX lets two slashes at the beginning stand, and the walk from there upwards never met "/".
    """
    return "/" + posixpath.normpath(path).lstrip("/")


def _path(where: str, path: str) -> None:
    """Paths are absolute and stay inside the task's own directory."""
    if not path.startswith("/"):
        raise Refused(f"{where} must be absolute, not {path[:100]!r}")
    if "\0" in path:
        raise Refused(f"{where} holds a NUL character")
    if ".." in path.split("/"):
        raise Refused(f"{where} holds '..', which could lead out of the task's directory")
    if normal(path) == "/":
        raise Refused(f"{where} must name something below /")


def _output(where: str, item: Output) -> None:
    _path(f"{where}.path", item.path)
    if not item.url:
        raise Refused(f"{where}.url is empty")
    wild = WILD.search(item.path)
    if wild and not item.path_prefix:
        raise Refused(f"{where}.path has wildcards, so path_prefix must say what to take off")
    if item.path_prefix is not None:
        _path(f"{where}.path_prefix", item.path_prefix)
        if not wild:
            raise Refused(f"{where}.path_prefix goes only with wildcards in path")
        if not item.path.startswith(item.path_prefix):
            raise Refused(f"{where}.path does not begin with its path_prefix")


def _no_overlaps(task: Task) -> None:
    """Two inputs at one place, or an input inside one that is a file, cannot both be laid out."""
    files: dict[str, int] = {}
    for i, item in enumerate(task.inputs or ()):
        path = normal(item.path)
        if path in files:
            raise Refused(f"inputs[{i}].path is also that of inputs[{files[path]}]")
        files[path] = i
    for i, item in enumerate(task.inputs or ()):
        above = posixpath.dirname(normal(item.path))
        while above != "/":
            other = files.get(above)
            if other is not None and (task.inputs or [])[other].type == FileType.FILE:
                raise Refused(f"inputs[{i}].path lies inside inputs[{other}], which is a file")
            above = posixpath.dirname(above)


def _resources(found: Resources | None) -> None:
    if found is None:
        return
    if found.cpu_cores is not None and found.cpu_cores < 1:
        raise Refused("resources.cpu_cores must be at least 1")
    for name in ("ram_gb", "disk_gb"):
        value = getattr(found, name)
        if value is not None and not (math.isfinite(value) and value >= 0):
            raise Refused(f"resources.{name} must be a finite number of at least 0")


def check_urls(task: Task, storage: tuple[str, ...]) -> None:
    """Every url must begin with one of the storage prefixes. Raises Refused."""
    inputs = [(i, x) for i, x in enumerate(task.inputs or ()) if x.content is None]
    rows = [(f"inputs[{i}].url", x.url) for i, x in inputs]
    rows += [(f"outputs[{i}].url", x.url) for i, x in enumerate(task.outputs or ())]
    for where, url in rows:
        if not any((url or "").startswith(prefix) for prefix in storage):
            raise Refused(f"{where} is not in a storage that is served: {', '.join(storage)}")
        try:
            parts = urlsplit(url or "")
        except ValueError as error:
            raise Refused(f"{where} is not a URL: {error}") from error
        if parts.scheme == "file" and (".." in parts.path.split("/") or not parts.path.strip("/")):
            raise Refused(f"{where} must name a path without '..'")


def document_of(task: Task) -> bytes:
    """The canonical bytes of what is kept of a task; equal tasks have equal ones."""
    document = Document(
        task.executors, task.description, task.inputs, task.outputs, task.resources, task.volumes
    )
    return msgspec.json.encode(document, order="deterministic")


def read_document(raw: bytes) -> Document:
    return msgspec.json.decode(raw, type=Document)


def shown(document: Document, view: View, fields: dict[str, Any], logs: list[TaskLog]) -> Task:
    """The task as a view shows it; `fields` are id, state, name, tags and creation_time.

    BASIC leaves out what may be long, as the schema lists it: inputs' content, executors' stdout
    and stderr, and the system's logs.
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
