"""Task documents as ordinary child processes, in a directory of the task's own.

No isolation: a task runs as the lab does and could read what the lab can. Paths of the document are
laid below the task's directory, and where they occur in commands and variables they are replaced by
where they really are. Urls are files of this machine. What a task wrote travels back as a TaskLog:
exit codes and times of all executors, and tails of their output within bounds, told where cut.
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

TAIL_BYTES = 10 * 1024  # of each stream of an executor that is told
LOG_BYTES = 40 * 1024  # of a whole log as it is sent, packed; the controllers' limit is 64 KiB
WALKED_MOST = 10_000  # files of one output directory
CHUNK = 64 * 1024
PR_SET_PDEATHSIG = 1


def with_its_parent() -> None:
    """The kernel ends this process when the one that started it ends, however that happens."""
    with contextlib.suppress(OSError, AttributeError):
        ctypes.CDLL(None, use_errno=True).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


class Unfit(Exception):
    """The task cannot be laid out or collected; no executor's fault, and no machine's."""


@dataclass
class Tail:
    """The last bytes of a stream, and how many there were."""

    most: int = TAIL_BYTES
    data: bytearray = field(default_factory=bytearray)
    seen: int = 0

    def add(self, chunk: bytes) -> None:
        self.seen += len(chunk)
        self.data += chunk
        if len(self.data) > 2 * self.most:
            del self.data[: -self.most]

    def text(self, most: int) -> str | None:
        if not self.seen:
            return None
        kept = bytes(self.data[-most:]) if most else b""
        cut = self.seen - len(kept)
        shown = kept.decode("utf-8", "replace").replace("\0", "\\0")
        return f"[{cut} bytes cut]\n{shown}" if cut else shown


@dataclass
class Ran:
    code: int
    start: str
    end: str
    out: Tail
    err: Tail


def now() -> str:
    return datetime.now(UTC).isoformat(timespec="milliseconds").replace("+00:00", "Z")


class Run:
    """One attempt at a task. `go` runs it to its end; `kill` ends all its processes."""

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
        # The longest first: one path may be inside another.
        paths = sorted(dict.fromkeys(paths), key=len, reverse=True)
        # A path stands for itself where no longer word goes on around it.
        either = "|".join(re.escape(path) for path in paths)
        self.pattern = re.compile(rf"(?<![\w./-])(?:{either})(?![\w.-])") if paths else None

    def _paths(self) -> list[str]:
        d = self.document
        found = [i.path for i in d.inputs or ()] + list(d.volumes or ())
        for o in d.outputs or ():
            found.append(o.path_prefix or o.path)
        for e in d.executors:
            found += [p for p in (e.workdir, e.stdin, e.stdout, e.stderr) if p]
        return found

    def real(self, path: str) -> Path:
        return self.root / tm.normalize_path(path).lstrip("/")

    def _word(self, word: str) -> str:
        """A word of a command with the document's paths where they really are."""
        if self.pattern is None:
            return word
        return self.pattern.sub(lambda found: str(self.real(found[0])), word)

    # --- laying out ----------------------------------------------------------------------

    def lay_out(self) -> None:
        """Make the directory with inputs and volumes in it. Raises Unfit."""
        try:
            self.root.mkdir(parents=True)
            for volume in self.document.volumes or ():
                self.real(volume).mkdir(parents=True, exist_ok=True)
            for item in self.document.inputs or ():
                self._input(item)
            for e in self.document.executors:
                for path in (e.stdout, e.stderr):
                    if path:
                        self.real(path).parent.mkdir(parents=True, exist_ok=True)
                if e.workdir:
                    self.real(e.workdir).mkdir(parents=True, exist_ok=True)
            for o in self.document.outputs or ():
                self.real(o.path_prefix or o.path).parent.mkdir(parents=True, exist_ok=True)
        except OSError as error:
            raise Unfit(f"the task could not be laid out: {error}") from error

    def _input(self, item: tm.Input) -> None:
        target = self.real(item.path)
        target.parent.mkdir(parents=True, exist_ok=True)
        if item.content is not None:
            target.write_text(item.content, encoding="utf-8")
            return
        source = local(item.url or "")
        if item.type == tm.FileType.DIRECTORY:
            if not source.is_dir():
                raise Unfit(f"input {item.url} is no directory")
            # Links are copied as they are: one that leads round in a circle is never followed.
            shutil.copytree(source, target, symlinks=True, dirs_exist_ok=True)
        else:
            if not source.is_file():
                raise Unfit(f"input {item.url} is not there")
            shutil.copyfile(source, target)

    # --- executors -----------------------------------------------------------------------

    async def go(self) -> wr.TaskResult:
        """Lay out, run the executors in their order, collect; how it ended."""
        start = now()
        ran: list[Ran] = []
        outputs: list[tm.OutputFileLog] = []
        code, system = 0, False
        try:
            await asyncio.to_thread(self.lay_out)
            for executor in self.document.executors:
                ran.append(await self._execute(executor))
                if ran[-1].code != 0 and not executor.ignore_error:
                    code = ran[-1].code
                    break
            else:
                outputs = await asyncio.to_thread(self.collect)
        except Unfit as error:
            self.notes.append(str(error))
            system = True
        log = self._log(start, ran, outputs)
        return wr.TaskResult(self.job, self.task, code, system, log)

    async def _execute(self, e: tm.Executor) -> Ran:
        command = [self._word(word) for word in e.command]
        if e.image in self.images:
            command.insert(0, self.images[e.image])
        env = {
            "PATH": os.defpath, "HOME": str(self.root), "LANG": "C.UTF-8",
            "TMPDIR": str(self.root), "COVEFLOW_JOB": self.job, "COVEFLOW_RANK": str(self.task),
            "COVEFLOW_SIZE": str(self.size),
        }  # fmt: skip
        env |= {k: self._word(v) for k, v in (e.env or {}).items()}
        ran = Ran(0, now(), "", Tail(), Tail())
        files = contextlib.ExitStack()
        with files:
            try:
                stdin = files.enter_context(self.real(e.stdin).open("rb")) if e.stdin else None
                sinks = [
                    files.enter_context(self.real(p).open("wb")) if p else None
                    for p in (e.stdout, e.stderr)
                ]
            except OSError as error:
                raise Unfit(f"executor's files: {error}") from error
            try:
                self.process = await asyncio.create_subprocess_exec(
                    *command, cwd=self.real(e.workdir) if e.workdir else self.root, env=env,
                    stdin=stdin or asyncio.subprocess.DEVNULL, stdout=asyncio.subprocess.PIPE,
                    stderr=asyncio.subprocess.PIPE, start_new_session=True,
                    preexec_fn=with_its_parent,
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
        """End the whole group of the process that runs, and let none begin after it."""
        self.killed = True
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError, PermissionError):
                os.killpg(self.process.pid, signal.SIGKILL)

    # --- collecting ----------------------------------------------------------------------

    def collect(self) -> list[tm.OutputFileLog]:
        """Copy outputs to their urls, each whole or not at all. Raises Unfit."""
        found: list[tm.OutputFileLog] = []
        try:
            for item in self.document.outputs or ():
                found += self._output(item)
        except OSError as error:
            raise Unfit(f"an output could not be kept: {error}") from error
        return found

    def _output(self, item: tm.Output) -> list[tm.OutputFileLog]:
        target = local(item.url)
        if tm.WILDCARD.search(item.path):
            prefix = tm.normalize_path(item.path_prefix or "/")
            rows = [
                (path, target / posixpath.relpath(inside, prefix), inside)
                for path, inside in self._files(self.real(prefix), prefix)
                if fnmatch.fnmatchcase(inside, tm.normalize_path(item.path))
            ]
            if not rows:
                self.notes.append(f"output {item.path} matched nothing")
        elif item.type == tm.FileType.DIRECTORY:
            source = self.real(item.path)
            if not source.is_dir():
                raise Unfit(f"output {item.path} is no directory")
            base = tm.normalize_path(item.path)
            rows = [
                (path, target / posixpath.relpath(inside, base), inside)
                for path, inside in self._files(source, base)
            ]
        else:
            source = self.real(item.path)
            if not self._inside(source) or not source.is_file():
                raise Unfit(f"output {item.path} was not made")
            rows = [(source, target, item.path)]
        return [self._keep(source, to, inside) for source, to, inside in sorted(rows)]

    def _inside(self, path: Path) -> bool:
        """Whether it is in the task's own directory, wherever links lead."""
        return Path(os.path.realpath(path)).is_relative_to(os.path.realpath(self.root))

    def _files(self, top: Path, inside: str) -> list[tuple[Path, str]]:
        """Files below a directory and their paths as the document has them; links to directories
        are not followed, so a circle of them ends nowhere."""
        found: list[tuple[Path, str]] = []
        for folder, _, names in os.walk(top, followlinks=False):
            for name in sorted(names):
                path = Path(folder) / name
                relative = posixpath.join(inside, path.relative_to(top).as_posix())
                if not self._inside(path) or not path.is_file():
                    self.notes.append(f"{relative} leads out of the task's directory; left out")
                    continue
                found.append((path, relative))
                if len(found) > WALKED_MOST:
                    raise Unfit(f"output {inside} holds more than {WALKED_MOST} files")
        return found

    def _keep(self, source: Path, target: Path, inside: str) -> tm.OutputFileLog:
        target.parent.mkdir(parents=True, exist_ok=True)
        part = target.with_name(f".{target.name}.{self.job}-{self.task}-{os.getpid()}")
        shutil.copyfile(source, part)
        part.replace(target)
        return tm.OutputFileLog(target.as_uri(), inside, str(target.stat().st_size))

    # --- the log -------------------------------------------------------------------------

    def _log(self, start: str, ran: list[Ran], outputs: list[tm.OutputFileLog]) -> bytes:
        """The log, with as much of the tails as goes through."""
        tail = TAIL_BYTES
        while True:
            rows = [
                tm.ExecutorLog(r.code, r.start, r.end, r.out.text(tail), r.err.text(tail))
                for r in ran
            ]
            raw = msgspec.json.encode(
                tm.TaskLog(rows, outputs, None, start, now(), self.notes or None)
            )
            told = wr.TaskResult(self.job, self.task, 0, False, raw)
            if len(wr.result_body(told)) <= LOG_BYTES or not (tail or outputs):
                return raw
            if tail:
                tail //= 2
            else:
                self.notes.append(f"{len(outputs)} outputs are too many to list; all were kept")
                outputs = []


def local(url: str) -> Path:
    """The file that a `file://` url names. Raises Unfit for any other."""
    parts = urlsplit(url)
    if parts.scheme != "file" or parts.netloc not in ("", "localhost"):
        raise Unfit(f"{url} is not a file:// url; the lab's machines reach no other storage")
    return Path(unquote(parts.path))


async def _pump(stream: asyncio.StreamReader, tail: Tail, sink: object) -> None:
    while chunk := await stream.read(CHUNK):
        tail.add(chunk)
        if sink is not None:
            sink.write(chunk)  # type: ignore[attr-defined]


DEFAULT_IMAGES = {"python": sys.executable}
