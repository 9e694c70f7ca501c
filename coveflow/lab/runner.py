"""Runs task documents as ordinary child processes, each in its own directory.

There is no isolation: a task runs with the permissions of the lab. The paths of the document are
mapped below the task's directory and are replaced by the real paths in commands and environment
variables. URLs name files of this machine. The result is a TaskLog with the exit codes and times of
all executors and the bounded tails of their output, marked where they are cut.
"""

from __future__ import annotations

import asyncio
import contextlib
import ctypes
import fnmatch
import os
import posixpath
import re
import shutil
import signal
import sys
from dataclasses import dataclass, field
from datetime import UTC, datetime
from pathlib import Path
from urllib.parse import unquote, urlsplit

import msgspec

from coveflow.tes import models as tm
from coveflow.wire import runner as wr

TAIL_BYTES = 10 * 1024  # logged from the end of each output stream of an executor
LOG_BYTES = 40 * 1024  # limit of a whole log as encoded for sending; the controllers allow 64 KiB
OUTPUT_FILES_MAX = 10_000  # maximum number of files of one output directory
CHUNK = 64 * 1024
PR_SET_PDEATHSIG = 1


def kill_with_parent() -> None:
    """Make the kernel kill this process when its parent ends for any reason."""
    with contextlib.suppress(OSError, AttributeError):
        ctypes.CDLL(None, use_errno=True).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


class StagingError(Exception):
    """Inputs can't be staged or outputs can't be collected; a fault of the task's document."""


@dataclass
class Tail:
    """The last bytes of a stream, and its total length."""

    max_bytes: int = TAIL_BYTES
    data: bytearray = field(default_factory=bytearray)
    total: int = 0

    def add(self, chunk: bytes) -> None:
        self.total += len(chunk)
        self.data += chunk
        if len(self.data) > 2 * self.max_bytes:
            del self.data[: -self.max_bytes]

    def text(self, most: int) -> str | None:
        if not self.total:
            return None
        kept = bytes(self.data[-most:]) if most else b""
        cut = self.total - len(kept)
        shown = kept.decode("utf-8", "replace").replace("\0", "\\0")
        return f"[{cut} bytes cut]\n{shown}" if cut else shown


@dataclass
class ExecutorResult:
    """The result of one executor."""

    code: int
    start: str
    end: str
    out: Tail
    err: Tail


def now() -> str:
    return datetime.now(UTC).isoformat(timespec="milliseconds").replace("+00:00", "Z")


class TaskRun:
    """One attempt of a task. `execute` runs it to its end; `kill` kills all its processes."""

    def __init__(
        self, job: str, task: int, document: tm.Document, folder: Path, images: dict[str, str],
        size: int,
    ) -> None:  # fmt: skip
        self.job, self.task, self.document, self.size = job, task, document, size
        self.root, self.images = folder, images
        self.process: asyncio.subprocess.Process | None = None
        self.killed = False
        self.notes: list[str] = []
        paths = [tm.normalize_path(p) for p in self._paths()]
        # Longest first, since one path may be inside another.
        paths = sorted(dict.fromkeys(paths), key=len, reverse=True)
        # Matches a path only if it is not part of a longer path or name.
        alternatives = "|".join(re.escape(path) for path in paths)
        self.pattern = re.compile(rf"(?<![\w./-])(?:{alternatives})(?![\w.-])") if paths else None

    def _paths(self) -> list[str]:
        d = self.document
        found = [i.path for i in d.inputs or ()] + list(d.volumes or ())
        for o in d.outputs or ():
            found.append(o.path_prefix or o.path)
        for e in d.executors:
            found += [p for p in (e.workdir, e.stdin, e.stdout, e.stderr) if p]
        return found

    def real_path(self, path: str) -> Path:
        return self.root / tm.normalize_path(path).lstrip("/")

    def _replace_paths(self, word: str) -> str:
        """Replace the document's paths in a command's argument by the real ones."""
        if self.pattern is None:
            return word
        return self.pattern.sub(lambda found: str(self.real_path(found[0])), word)

    # --- staging inputs ------------------------------------------------------------------

    def stage_inputs(self) -> None:
        """Create the task's directory with its inputs and volumes. Raises StagingError."""
        try:
            self.root.mkdir(parents=True)
            for volume in self.document.volumes or ():
                self.real_path(volume).mkdir(parents=True, exist_ok=True)
            for item in self.document.inputs or ():
                self._stage_input(item)
            for e in self.document.executors:
                for path in (e.stdout, e.stderr):
                    if path:
                        self.real_path(path).parent.mkdir(parents=True, exist_ok=True)
                if e.workdir:
                    self.real_path(e.workdir).mkdir(parents=True, exist_ok=True)
            for o in self.document.outputs or ():
                self.real_path(o.path_prefix or o.path).parent.mkdir(parents=True, exist_ok=True)
        except OSError as error:
            raise StagingError(f"the task's inputs could not be staged: {error}") from error

    def _stage_input(self, item: tm.Input) -> None:
        target = self.real_path(item.path)
        target.parent.mkdir(parents=True, exist_ok=True)
        if item.content is not None:
            target.write_text(item.content, encoding="utf-8")
            return
        source = local_path(item.url or "")
        if item.type == tm.FileType.DIRECTORY:
            if not source.is_dir():
                raise StagingError(f"input {item.url} is not a directory")
            # Symlinks are copied as links, so that a cycle of them is never followed.
            shutil.copytree(source, target, symlinks=True, dirs_exist_ok=True)
        else:
            if not source.is_file():
                raise StagingError(f"input {item.url} does not exist")
            shutil.copyfile(source, target)

    # --- executors -----------------------------------------------------------------------

    async def execute(self) -> wr.TaskResult:
        """Stage the inputs, run the executors in order and collect the outputs."""
        start = now()
        ran: list[ExecutorResult] = []
        outputs: list[tm.OutputFileLog] = []
        code, system = 0, False
        try:
            await asyncio.to_thread(self.stage_inputs)
            for executor in self.document.executors:
                ran.append(await self._run_executor(executor))
                if ran[-1].code != 0 and not executor.ignore_error:
                    code = ran[-1].code
                    break
            else:
                outputs = await asyncio.to_thread(self.collect)
        except StagingError as error:
            self.notes.append(str(error))
            system = True
        log = self._log(start, ran, outputs)
        return wr.TaskResult(self.job, self.task, code, system, log)

    async def _run_executor(self, e: tm.Executor) -> ExecutorResult:
        command = [self._replace_paths(word) for word in e.command]
        if e.image in self.images:
            command.insert(0, self.images[e.image])
        env = {
            "PATH": os.defpath, "HOME": str(self.root), "LANG": "C.UTF-8",
            "TMPDIR": str(self.root), "COVEFLOW_JOB": self.job, "COVEFLOW_RANK": str(self.task),
            "COVEFLOW_SIZE": str(self.size),
        }  # fmt: skip
        env |= {k: self._replace_paths(v) for k, v in (e.env or {}).items()}
        ran = ExecutorResult(0, now(), "", Tail(), Tail())
        files = contextlib.ExitStack()
        with files:
            try:
                stdin = files.enter_context(self.real_path(e.stdin).open("rb")) if e.stdin else None
                sinks = [
                    files.enter_context(self.real_path(p).open("wb")) if p else None
                    for p in (e.stdout, e.stderr)
                ]
            except OSError as error:
                raise StagingError(f"can't open an executor's files: {error}") from error
            try:
                self.process = await asyncio.create_subprocess_exec(
                    *command, cwd=self.real_path(e.workdir) if e.workdir else self.root, env=env,
                    stdin=stdin or asyncio.subprocess.DEVNULL, stdout=asyncio.subprocess.PIPE,
                    stderr=asyncio.subprocess.PIPE, start_new_session=True,
                    preexec_fn=kill_with_parent,
                )  # fmt: skip
            except (OSError, ValueError) as error:
                ran.err.add(f"{command[0]}: {error}".encode())
                ran.code, ran.end = 127, now()
                return ran
            if self.killed:
                self.kill()
            assert self.process.stdout is not None and self.process.stderr is not None
            await asyncio.gather(
                _pump(self.process.stdout, ran.out, sinks[0]),
                _pump(self.process.stderr, ran.err, sinks[1]),
            )
            ran.code = await self.process.wait()
            self.process = None
        ran.end = now()
        return ran

    def kill(self) -> None:
        """Kill the process group of the running executor; later ones are killed at their start."""
        self.killed = True
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError, PermissionError):
                os.killpg(self.process.pid, signal.SIGKILL)

    # --- collecting outputs --------------------------------------------------------------

    def collect(self) -> list[tm.OutputFileLog]:
        """Copy the outputs to their URLs, each file atomically. Raises StagingError."""
        found: list[tm.OutputFileLog] = []
        try:
            for item in self.document.outputs or ():
                found += self._collect_output(item)
        except OSError as error:
            raise StagingError(f"an output could not be stored: {error}") from error
        return found

    def _collect_output(self, item: tm.Output) -> list[tm.OutputFileLog]:
        target = local_path(item.url)
        if tm.WILDCARD.search(item.path):
            prefix = tm.normalize_path(item.path_prefix or "/")
            rows = [
                (path, target / posixpath.relpath(inside, prefix), inside)
                for path, inside in self._files(self.real_path(prefix), prefix)
                if fnmatch.fnmatchcase(inside, tm.normalize_path(item.path))
            ]
            if not rows:
                self.notes.append(f"output {item.path} matched nothing")
        elif item.type == tm.FileType.DIRECTORY:
            source = self.real_path(item.path)
            if not source.is_dir():
                raise StagingError(f"output {item.path} is not a directory")
            base = tm.normalize_path(item.path)
            rows = [
                (path, target / posixpath.relpath(inside, base), inside)
                for path, inside in self._files(source, base)
            ]
        else:
            source = self.real_path(item.path)
            if not self._inside(source) or not source.is_file():
                raise StagingError(f"output {item.path} was not created")
            rows = [(source, target, item.path)]
        return [self._store_file(source, to, inside) for source, to, inside in sorted(rows)]

    def _inside(self, path: Path) -> bool:
        """Whether the path is inside the task's directory after symlinks are resolved."""
        return Path(os.path.realpath(path)).is_relative_to(os.path.realpath(self.root))

    def _files(self, top: Path, inside: str) -> list[tuple[Path, str]]:
        """Files below a directory, with their paths in the document.

        Symlinks to directories are not followed, so that a cycle of them can't loop.
        """
        found: list[tuple[Path, str]] = []
        for folder, _, names in os.walk(top, followlinks=False):
            for name in sorted(names):
                path = Path(folder) / name
                relative = posixpath.join(inside, path.relative_to(top).as_posix())
                if not self._inside(path) or not path.is_file():
                    self.notes.append(f"{relative} leads out of the task's directory; left out")
                    continue
                found.append((path, relative))
                if len(found) > OUTPUT_FILES_MAX:
                    raise StagingError(f"output {inside} has more than {OUTPUT_FILES_MAX} files")
        return found

    def _store_file(self, source: Path, target: Path, inside: str) -> tm.OutputFileLog:
        target.parent.mkdir(parents=True, exist_ok=True)
        part = target.with_name(f".{target.name}.{self.job}-{self.task}-{os.getpid()}")
        shutil.copyfile(source, part)
        part.replace(target)
        return tm.OutputFileLog(target.as_uri(), inside, str(target.stat().st_size))

    # --- the log -------------------------------------------------------------------------

    def _log(self, start: str, ran: list[ExecutorResult], outputs: list[tm.OutputFileLog]) -> bytes:
        """The encoded log, with tails and outputs shortened until it fits into LOG_BYTES."""
        tail = TAIL_BYTES
        while True:
            rows = [
                tm.ExecutorLog(r.code, r.start, r.end, r.out.text(tail), r.err.text(tail))
                for r in ran
            ]
            raw = msgspec.json.encode(
                tm.TaskLog(rows, outputs, None, start, now(), self.notes or None)
            )
            result = wr.TaskResult(self.job, self.task, 0, False, raw)
            if len(wr.result_body(result)) <= LOG_BYTES or not (tail or outputs):
                return raw
            if tail:
                tail //= 2
            else:
                self.notes.append(f"{len(outputs)} outputs are too many to list; all were kept")
                outputs = []


def local_path(url: str) -> Path:
    """The path of a `file://` URL. Raises StagingError for any other."""
    parts = urlsplit(url)
    if parts.scheme != "file" or parts.netloc not in ("", "localhost"):
        raise StagingError(f"{url} is not a file:// URL, the only storage of the lab's machines")
    return Path(unquote(parts.path))


async def _pump(stream: asyncio.StreamReader, tail: Tail, sink: object) -> None:
    while chunk := await stream.read(CHUNK):
        tail.add(chunk)
        if sink is not None:
            sink.write(chunk)  # type: ignore[attr-defined]


DEFAULT_IMAGES = {"python": sys.executable}
