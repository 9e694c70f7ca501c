"""Operations of the task API behind HTTP: submit, get, list, cancel and task results.

The state of an unfinished task is read from the state service for every answer (`UserJobs.find`,
which concurrent requests share), and a final state never changes. So no node returns an older state
than another node has already returned.
"""

from __future__ import annotations

import asyncio
import hashlib
import secrets
from collections import OrderedDict
from collections.abc import Callable
from typing import Any

import msgspec

from coveflow.core.feasibility import Infeasible, allowed_types, fits_any_type
from coveflow.daemon import commands as cm
from coveflow.daemon.owner import Owner
from coveflow.daemon.user_jobs import UserJobs, rider_of
from coveflow.logs import Log
from coveflow.net.http import Unavailable
from coveflow.settings import Settings, Tes
from coveflow.state import keys as sk
from coveflow.state.store import Conflict, Store
from coveflow.tes import documents, mapping, models, tokens
from coveflow.tes import index as ix
from coveflow.tes.access import AccessDenied, Client
from coveflow.tes.intake import TaskIntake
from coveflow.tes.ledger import Ledger, log_hashes
from coveflow.tes.models import RequestError, State, Task, TaskLog, View
from coveflow.wire.runner import TaskResult

log = Log("coveflow.tes")

ID_DIGITS = 24  # digits of a task id; 80 bits, so random ids do not collide
KEY_BYTES = 200  # longest Idempotency-Key
REQUEST_S = 4.0  # s a get, list or cancel may spend on the store
PAGE_MAX = 2_047  # largest page_size, a limit of the TES schema
SCAN_MAX = 5_000  # rows scanned for one page; its token continues after them
UNFINISHED_MAX = 128  # unfinished tasks of one page, each found_by_id up in the store
READ_MAX = 48  # documents that one page reads from the store
CACHE_BYTES = 4 * 1024 * 1024  # bytes of decompressed documents in the cache
RESULT_BYTES = 64  # bytes of one task's result in its job's record
RESULT_S = 3.0  # s that recording a task's result may spend on the store


class NotFound(Exception):
    """The task does not exist or is not visible to this client."""


class Query(msgspec.Struct, frozen=True):
    view: View = View.MINIMAL
    name_prefix: str = ""
    state: State | None = None
    tags: tuple[tuple[str, str], ...] = ()
    page_size: int | None = None
    page_token: str = ""

    def filters(self, team: str | None) -> str:
        """Return the filters and the visible team, to which a page token is bound."""
        return repr((self.name_prefix, self.state and str(self.state), self.tags, team))


class DocumentCache:
    """An LRU cache of documents by hash, bounded by bytes."""

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes, self.size = max_bytes, 0
        self.rows: OrderedDict[str, bytes] = OrderedDict()

    def get(self, name: str) -> bytes | None:
        raw = self.rows.get(name)
        if raw is not None:
            self.rows.move_to_end(name)
        return raw

    def put(self, name: str, raw: bytes) -> None:
        if name in self.rows or len(raw) > self.max_bytes // 4:
            return
        self.rows[name] = raw
        self.size += len(raw)
        while self.size > self.max_bytes:
            _, old = self.rows.popitem(last=False)
            self.size -= len(old)


class Service:
    """The operations of the task API on one node."""

    def __init__(
        self,
        settings: Settings,
        tes: Tes,
        owner: Owner,
        store: Store,
        jobs: UserJobs,
        ledger: Ledger,
        clock: Callable[[], float],
        wall: Callable[[], float],
    ) -> None:
        self.settings, self.tes, self.owner, self.store = settings, tes, owner, store
        self.jobs, self.ledger, self.clock, self.wall = jobs, ledger, clock, wall
        self.intake = TaskIntake(ledger, store, settings.params.state.max_txn_ops, clock, owner.put)
        self.cache = DocumentCache(CACHE_BYTES)
        self.storage = tes.storage

    # --- submit --------------------------------------------------------------------------

    async def submit(self, client: Client, body: bytes, key: str | None) -> str:
        """Accept a task and return its id.

        The same idempotency key and task give the same id until the task's retention ends. Raises
        RequestError (400, 403, 409, 413), Busy or Unavailable.
        """
        client.require("submit")
        task = models.read_task(body)
        models.validate_urls(task, self.storage)
        if key is not None and not (0 < len(key) <= KEY_BYTES and key.isprintable()):
            raise RequestError(f"Idempotency-Key must be 1 to {KEY_BYTES} printable characters")
        if not self.ledger.ready:
            # An id from a key depends on the secret stored with the index. An id derived before
            # the secret is loaded would differ and create a second task for a known key.
            raise Unavailable("the task index is still loading")
        made_ms = int(self.wall() * 1000)
        name = self._task_id(client.team, key)
        spec, notes = mapping.map_to_job(
            task, name, client.team, self.settings.params.zones, self.tes.image_gb
        )
        raw = models.encode_document(task)
        packed = documents.pack(raw, self.settings.params.state.max_value_kb, self.intake.parts_max)
        if key is not None:
            # A known key is found_by_id up before the checks whose result may have changed since.
            known = await self._find_rider(name)
            if known is not None:
                return self._require_same_task(name, known, packed, task)
        spec = self._require_feasible(spec)
        gang_max = int(self.settings.params.state.max_value_kb * 1024 * 0.4 / RESULT_BYTES)
        if spec.tasks > gang_max:
            raise RequestError(
                f"resources.backend_parameters.gang_size is at most {gang_max} here: the record of"
                " a job holds a result for each of its tasks"
            )
        tags = task.tags or {}
        rider = {
            "doc": packed.hash, "name": task.name or "", "tags": tags, "team": client.team,
            "made": made_ms, "by": client.name,
        }  # fmt: skip
        if notes:
            rider["notes"] = notes
        record = {"spec": msgspec.to_builtins(spec), "at": self.wall(), "rider": rider}
        entry = ix.Entry(name, made_ms, task.name or "", client.team, packed.hash, tags)
        self._require_record_size(entry, record)
        if not await self.intake.accept(entry, record, packed):
            known = await self._find_rider(name)
            if known is None:
                raise Unavailable("the task's record was removed during the submission")
            return self._require_same_task(name, known, packed, task)
        self.cache.put(packed.hash, raw)
        log.info("task accepted", job=name, by=client.name, team=client.team)
        return name

    def _task_id(self, team: str, key: str | None) -> str:
        """Return a random id, or one derived from the key so that a retry on any node matches."""
        if key is None:
            number = secrets.randbelow(10**ID_DIGITS)
        else:
            text = f"{team}\0{key}".encode()
            digest = hashlib.blake2b(text, key=self.ledger.secret[:32], digest_size=16).digest()
            number = int.from_bytes(digest, "big") % 10**ID_DIGITS
        return f"j-{number:0{ID_DIGITS}d}"

    async def _find_rider(self, name: str) -> dict[str, Any] | None:
        found = await self.jobs.find(name)
        if isinstance(found, cm.AcceptedJob):
            return found.rider or {}
        return None if found is None else found.get("rider") or {}

    def _require_same_task(
        self, name: str, rider: dict[str, Any], packed: documents.PackedDocument, task: Task
    ) -> str:
        """Return the id if the known task equals this one. Raises RequestError (409) otherwise."""
        known = (rider.get("doc"), rider.get("name"), rider.get("tags"))
        if known != (packed.hash, task.name or "", task.tags or {}):
            raise RequestError("Idempotency-Key was used for another task before", 409)
        return name

    def _require_feasible(self, spec: Any) -> Any:
        """Return the job with its types resolved. Raises RequestError if it can never run."""
        flavors = self.owner.inbox.flavors
        if not flavors:
            raise Unavailable("machine types are not known yet")
        for name in spec.types or ():
            if name not in flavors:
                raise RequestError(
                    f"resources.backend_parameters.machine_types: {name!r} is not one of"
                    f" {', '.join(sorted(flavors))}"
                )
        why: str | None = self.jobs.refusal(spec)
        if why is Infeasible.MACHINE:
            cpus_only = msgspec.structs.replace(spec, ram_gb=0.0, accelerators=0.0)
            field = "ram_gb" if fits_any_type(cpus_only, list(flavors.values())) else "cpu_cores"
            why = f"resources.{field}: {why}"
        if why:
            raise RequestError(why if why.startswith("resources") else f"resources: {why}")
        return msgspec.structs.replace(spec, types=allowed_types(spec, flavors.values()))

    def _require_record_size(self, entry: ix.Entry, record: dict[str, Any]) -> None:
        """Raise RequestError if the index row or the job's record is too large for one value."""
        limit = self.settings.params.state.max_value_kb * 1024 * 0.4
        if len(msgspec.json.encode(ix.encode_rows([entry]))) > limit or (
            len(msgspec.json.encode(record)) > limit * 2
        ):
            raise RequestError("name and tags are too long for this deployment's records")

    # --- get and cancel ------------------------------------------------------------------

    async def _find_visible(self, client: Client, name: str) -> tuple[Any, dict[str, Any]]:
        """Return the task's record and rider (the task API's part of it). Raises NotFound."""
        found = await self.jobs.find(name)
        rider = None if found is None else rider_of(found)
        if rider is None or not client.sees(rider["team"]):
            raise NotFound
        return found, rider

    def _state(self, name: str, found: cm.AcceptedJob | dict[str, Any]) -> State:
        if isinstance(found, cm.AcceptedJob):
            count = self.jobs.owner.task_counts.get(name)
            return mapping.unfinished_state(
                found.cancelled is not None, count.running, count.placed
            )
        return mapping.final_state(found)

    async def get(self, client: Client, name: str, view: View) -> Any:
        """Return the task in the given view. Raises NotFound, Busy or Unavailable."""
        client.require("read")
        async with asyncio.timeout(REQUEST_S):
            self.ledger.requests.take()
            found, rider = await self._find_visible(client, name)
            return await self._render(name, found, rider, view)

    async def _render(
        self, name: str, found: cm.AcceptedJob | dict[str, Any], rider: dict[str, Any], view: View
    ) -> Any:
        state = self._state(name, found)
        if view == View.MINIMAL:
            return {"id": name, "state": state}
        outcome = found.outcome if isinstance(found, cm.AcceptedJob) else found.get("outcome") or {}
        document = models.read_document(await self.read_document(rider["doc"]))
        logs = await self._read_logs(outcome)
        notes = list(rider.get("notes", ()))
        if not isinstance(found, cm.AcceptedJob):
            if found.get("failed"):
                notes.append(found["failed"])
            elif state == State.COMPLETE and not outcome:
                notes.append("the machine reported no result for this task")
        if notes:
            if not logs:
                logs = [TaskLog([], [])]
            logs[0] = msgspec.structs.replace(
                logs[0], system_logs=[*notes, *(logs[0].system_logs or ())]
            )
        fields = {
            "id": name, "state": state, "name": rider["name"] or None,
            "tags": rider["tags"] or None,
            "creation_time": mapping.timestamp(rider["made"] / 1000),
        }  # fmt: skip
        return models.render_task(document, view, fields, logs)

    async def _read_logs(self, outcome: dict[str, Any]) -> list[TaskLog]:
        ranks = sorted(outcome.items(), key=lambda row: int(row[0]))
        raws = await asyncio.gather(*(self.read_document(row[1]) for _, row in ranks if row[1]))
        return [msgspec.json.decode(raw, type=TaskLog) for raw in raws]

    async def read_document(self, name: str) -> bytes:
        """Return a document from the cache or the store.

        Raises NotFound, Busy, Unavailable or CorruptDocument.
        """
        raw = self.cache.get(name)
        if raw is not None:
            return raw
        self.ledger.requests.take()
        root, _ = await self.store.get(documents.key(name))
        if root is None:
            raise NotFound  # removed by the collector
        rest = range(1, root["n"])
        self.ledger.requests.take(len(rest))
        rows = await asyncio.gather(*(self.store.get(documents.key(name, i)) for i in rest))
        if any(value is None for value, _ in rows):
            raise NotFound
        raw = documents.unpack(name, [root["data"], *(value["data"] for value, _ in rows)])
        self.cache.put(name, raw)
        return raw

    async def cancel(self, client: Client, name: str) -> None:
        """Commit the cancellation; a finished task is left unchanged.

        Raises NotFound, AccessDenied, Busy or Unavailable.
        """
        client.require("cancel")
        async with asyncio.timeout(REQUEST_S):
            _, rider = await self._find_visible(client, name)
            if rider["team"] != client.team:
                raise AccessDenied(
                    403, "a task of another team cannot be cancelled with this token"
                )
            self.ledger.changes.take()
            if await self.jobs.cancel(name):
                log.info("task cancelled", job=name, by=client.name)

    # --- list ----------------------------------------------------------------------------

    async def list(self, client: Client, query: Query) -> dict[str, Any]:
        """Return a page of tasks, newest first, with a page token if there may be more."""
        client.require("read")
        team = None if "read-all" in client.rights else client.team
        filters = query.filters(team)
        async with asyncio.timeout(REQUEST_S):
            self.ledger.requests.take()
            await self.ledger.wait_until_current()
            after = None
            if query.page_token:
                after = tokens.read(self.ledger.secret, query.page_token, filters)
            limit = min(query.page_size or self.tes.page, PAGE_MAX)
            page = self.ledger.index.list(
                team, ix.buckets_of(query.state), self._matcher(query), after, limit, SCAN_MAX
            )
            tasks, last = await self._render_page(query, page)
        answer: dict[str, Any] = {"tasks": tasks}
        if last is not None:
            answer["next_page_token"] = tokens.sign(self.ledger.secret, last, filters)
        return answer

    def _matcher(self, query: Query) -> Callable[[ix.Entry], bool]:
        live = query.state if query.state not in models.FINAL else None

        def matches(entry: ix.Entry) -> bool:
            if not entry.name.startswith(query.name_prefix):
                return False
            if any(k not in entry.tags or (v and entry.tags[k] != v) for k, v in query.tags):
                return False
            if live is None or entry.state:
                return True
            found = self.owner.inbox.accepted.get(entry.id)
            # A task without an accepted record has just finished. A match is only a candidate:
            # `_render_page` looks it up in the store.
            return found is not None and self._state(entry.id, found) == live

        return matches

    async def _render_page(self, query: Query, page: ix.Page) -> tuple[list[Any], int | None]:
        """Return the tasks of a page, and the key to continue after if there may be more.

        The page ends early where it would need more than UNFINISHED_MAX lookups of unfinished
        tasks, or more than READ_MAX documents from the store.
        """
        live = reads = 0
        entries, last = page.entries, page.after
        for i, entry in enumerate(entries):
            live += not entry.state
            if query.view != View.MINIMAL:
                reads += self.cache.get(entry.doc) is None
                known = self.owner.inbox.terminal.get(entry.id)
                # An unknown final record is one read, and has at least one log to read.
                logs = ["?"] if known is None else log_hashes(known)
                if entry.state:
                    reads += (known is None) + sum(self.cache.get(n) is None for n in logs)
            if i and (live > UNFINISHED_MAX or reads > READ_MAX):
                last = entries[i - 1].key
                entries = [e for e in entries if e.key >= last]
                break
        found_by_id = dict(
            zip(
                [e.id for e in entries if not e.state],
                await asyncio.gather(*(self.jobs.find(e.id) for e in entries if not e.state)),
                strict=True,
            )
        )
        rows = await asyncio.gather(
            *(self._render_row(e, found_by_id.get(e.id), query) for e in entries)
        )
        return [row for row in rows if row is not None], last

    async def _render_row(self, entry: ix.Entry, found: Any, query: Query) -> Any:
        if entry.state and query.view == View.MINIMAL:
            return {"id": entry.id, "state": entry.state}
        if entry.state:
            found = await self._final_record(entry.id)
        if found is None:
            return None  # removed by the collector
        state = self._state(entry.id, found)
        if query.state is not None and state != query.state:
            return None  # its state changed after this node's index was updated
        rider = rider_of(found)
        try:
            return await self._render(entry.id, found, rider, query.view)
        except NotFound:
            return None

    async def _final_record(self, name: str) -> dict[str, Any] | None:
        """Return the final record of a finished task, None once it is removed."""
        inbox = self.owner.inbox
        if name not in inbox.terminal:
            self.ledger.requests.take()
            value, _ = await self.store.get(sk.FINAL_RECORD + name)
            if value is None:
                return None
            inbox.cache_final_record(name, value)
        return inbox.terminal[name]

    # --- machines: results and descriptions ----------------------------------------------

    async def record_result(self, result: TaskResult) -> str:
        """Commit a task's result before its machine reports the end; the first result counts.

        Returns "kept", "known" (the task has a result already) or "over" (the job has finished or
        is cancelled). The commit guards the accepted record, so a result never races with the final
        record.
        """
        value_kb, parts_max = self.settings.params.state.max_value_kb, self.intake.parts_max - 2
        job, task = result.job, result.task
        # The task's name in the log makes the document unique, so it is removed with its task.
        task_log = msgspec.json.decode(result.log, type=TaskLog)
        metadata = (task_log.metadata or {}) | {"task": f"{job}/{task}"}
        raw = msgspec.json.encode(msgspec.structs.replace(task_log, metadata=metadata))
        packed = documents.pack(raw, value_kb, parts_max)
        row = [result.code, packed.hash, *(["system"] if result.system else [])]
        deadline = self.clock() + RESULT_S
        while True:
            record, rev = await self.store.get(sk.JOB + job)
            if record is None or record.get("cancel") is not None:
                return "over"
            outcome = record.get("outcome") or {}
            if str(task) in outcome:
                return "known"
            guards, writes = await self.intake.document_guards(packed, deadline)
            new = {**record, "outcome": {**outcome, str(task): row}}
            guards[sk.JOB + job] = rev
            writes[sk.JOB + job] = new
            try:
                rev = await self.store.commit_with_retry(guards, writes, deadline)
            except Conflict as conflict:
                if any(key.startswith(documents.DOCUMENT_PREFIX) for key in conflict.failed):
                    await self.intake.refresh_root(packed.hash)
                if self.clock() > deadline:
                    raise Unavailable("the task's record keeps changing") from None
                continue
            self.owner.put(cm.InboxRows([(sk.JOB + job, new, rev)]))
            log.info("task told its end", task=f"{job}/{task}", code=result.code)
            return "kept"

    async def description(self, job: str) -> dict[str, Any] | None:
        """Return what a machine needs to run the task: the job's spec and the document."""
        found = await self.jobs.find(job)
        if not isinstance(found, cm.AcceptedJob) or found.rider is None:
            return None
        raw = await self.read_document(found.rider["doc"])
        return {"spec": msgspec.to_builtins(found.spec), "document": raw.decode()}
