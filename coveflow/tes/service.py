"""What the interface does, apart from HTTP: submit, get, list, cancel, and tasks' own word.

Every state that a client is told of a task that is not over comes from the state service at that
moment (`UserJobs.find`, shared among requests); final ones never change. So no node gives an older
answer than another gave.
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
from coveflow.tes.access import Client, Denied
from coveflow.tes.intake import Intake
from coveflow.tes.ledger import Ledger, logs_of
from coveflow.tes.models import Refused, State, Task, TaskLog, View
from coveflow.wire.runner import TaskResult

log = Log("coveflow.tes")

ID_DIGITS = 24  # of a task's id; 80 bits, so that random ones never meet
KEY_BYTES = 200  # of an Idempotency-Key
GET_S = 4.0  # s a request may take on the store
PAGE_MOST = 2_047  # the schema's own limit
LOOK_MOST = 5_000  # rows a listing looks at for one page; the token goes on from there
LIVE_MOST = 128  # tasks of a page that the store is asked about
READ_MOST = 48  # documents that one page reads from the store
CACHE_BYTES = 4 * 1024 * 1024  # of documents kept unpacked
WORD_BYTES = 64  # of a task's own word in its job's record
RESULT_S = 3.0  # s a task's own word may spend on the store


class NotFound(Exception):
    """No such task, or none that this client may know of."""


class Query(msgspec.Struct, frozen=True):
    view: View = View.MINIMAL
    name_prefix: str = ""
    state: State | None = None
    tags: tuple[tuple[str, str], ...] = ()
    page_size: int | None = None
    page_token: str = ""

    def filters(self, team: str | None) -> str:
        """What a token is good for: the same filters, seen with the same rights."""
        return repr((self.name_prefix, self.state and str(self.state), self.tags, team))


class Cache:
    """Documents by their hash, the least recently used going first."""

    def __init__(self, most: int) -> None:
        self.most, self.size = most, 0
        self.rows: OrderedDict[str, bytes] = OrderedDict()

    def get(self, name: str) -> bytes | None:
        raw = self.rows.get(name)
        if raw is not None:
            self.rows.move_to_end(name)
        return raw

    def put(self, name: str, raw: bytes) -> None:
        if name in self.rows or len(raw) > self.most // 4:
            return
        self.rows[name] = raw
        self.size += len(raw)
        while self.size > self.most:
            _, old = self.rows.popitem(last=False)
            self.size -= len(old)


class Service:
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
        self.intake = Intake(ledger, store, settings.params.state.txn_ops, clock, owner.put)
        self.cache = Cache(CACHE_BYTES)
        self.storage = tes.storage

    # --- submit --------------------------------------------------------------------------

    async def submit(self, client: Client, body: bytes, key: str | None) -> str:
        """Accept a task; its id. The same key and task give the same id for as long as it is kept.

        Raises Refused (400, 403, 409, 413), Busy or Unavailable.
        """
        client.need("submit")
        task = models.read_task(body)
        models.check_urls(task, self.storage)
        if key is not None and not (0 < len(key) <= KEY_BYTES and key.isprintable()):
            raise Refused(f"Idempotency-Key must be 1 to {KEY_BYTES} printable characters")
        if not self.ledger.ready:
            # Ids follow from a secret of the index. A node that had just begun once made one
            # without it and accepted the task when the index was there: a second task for a known
            # key.
            raise Unavailable("the index is being read")
        made_ms = int(self.wall() * 1000)
        name = self._id(client.team, key)
        spec, notes = mapping.job_of(
            task, name, client.team, self.settings.params.zones, self.tes.image_gb
        )
        raw = models.document_of(task)
        cut = documents.cut(raw, self.settings.params.state.value_kb, self.intake.parts_most)
        if key is not None:
            # A known key is looked up before anything that may refuse the task by now.
            known = await self._known(name)
            if known is not None:
                return self._same(name, known, cut, task)
        spec = self._possible(spec)
        most = int(self.settings.params.state.value_kb * 1024 * 0.4 / WORD_BYTES)
        if spec.tasks > most:
            raise Refused(
                f"resources.backend_parameters.gang_size is at most {most} here: the record of a"
                " job holds a word of each of its tasks"
            )
        tags = task.tags or {}
        rider = {
            "doc": cut.hash, "name": task.name or "", "tags": tags, "team": client.team,
            "made": made_ms, "by": client.name,
        }  # fmt: skip
        if notes:
            rider["notes"] = notes
        record = {"spec": msgspec.to_builtins(spec), "at": self.wall(), "rider": rider}
        entry = ix.Entry(name, made_ms, task.name or "", client.team, cut.hash, tags)
        self._fits(entry, record)
        if not await self.intake.accept(entry, record, cut):
            known = await self._known(name)
            if known is None:
                raise Unavailable("the task was there and is not")
            return self._same(name, known, cut, task)
        self.cache.put(cut.hash, raw)
        log.info("task accepted", job=name, by=client.name, team=client.team)
        return name

    def _id(self, team: str, key: str | None) -> str:
        """A random id, or one that follows from the key: a retry anywhere meets the first try."""
        if key is None:
            number = secrets.randbelow(10**ID_DIGITS)
        else:
            text = f"{team}\0{key}".encode()
            digest = hashlib.blake2b(text, key=self.ledger.secret[:32], digest_size=16).digest()
            number = int.from_bytes(digest, "big") % 10**ID_DIGITS
        return f"j-{number:0{ID_DIGITS}d}"

    async def _known(self, name: str) -> dict[str, Any] | None:
        found = await self.jobs.find(name)
        if isinstance(found, cm.AcceptedJob):
            return found.rider or {}
        return None if found is None else found.get("rider") or {}

    def _same(self, name: str, rider: dict[str, Any], cut: documents.Cut, task: Task) -> str:
        known = (rider.get("doc"), rider.get("name"), rider.get("tags"))
        if known != (cut.hash, task.name or "", task.tags or {}):
            raise Refused("Idempotency-Key was used for another task before", 409)
        return name

    def _possible(self, spec: Any) -> Any:
        """Refused where the job could never run; else with the types that there are."""
        flavors = self.owner.inbox.flavors
        if not flavors:
            raise Unavailable("machine types are not known yet")
        for name in spec.types or ():
            if name not in flavors:
                raise Refused(
                    f"resources.backend_parameters.machine_types: {name!r} is not one of"
                    f" {', '.join(sorted(flavors))}"
                )
        why: str | None = self.jobs.refusal(spec)
        if why is Infeasible.MACHINE:
            cpus_only = msgspec.structs.replace(spec, ram_gb=0.0, accelerators=0.0)
            field = "ram_gb" if fits_any_type(cpus_only, list(flavors.values())) else "cpu_cores"
            why = f"resources.{field}: {why}"
        if why:
            raise Refused(why if why.startswith("resources") else f"resources: {why}")
        return msgspec.structs.replace(spec, types=allowed_types(spec, flavors.values()))

    def _fits(self, entry: ix.Entry, record: dict[str, Any]) -> None:
        limit = self.settings.params.state.value_kb * 1024 * 0.4
        if len(msgspec.json.encode(ix.rows_of([entry]))) > limit or (
            len(msgspec.json.encode(record)) > limit * 2
        ):
            raise Refused("name and tags are too long for this deployment's records")

    # --- get and cancel ------------------------------------------------------------------

    async def _found(self, client: Client, name: str) -> tuple[Any, dict[str, Any]]:
        """What the store has of the task, and its rider. Raises NotFound."""
        found = await self.jobs.find(name)
        rider = None if found is None else rider_of(found)
        if rider is None or not client.sees(rider["team"]):
            raise NotFound
        return found, rider

    def _state(self, name: str, found: cm.AcceptedJob | dict[str, Any]) -> State:
        if isinstance(found, cm.AcceptedJob):
            count = self.jobs.owner.task_counts.get(name)
            return mapping.live_state(found.cancelled is not None, count.running, count.placed)
        return mapping.final_state(found)

    async def get(self, client: Client, name: str, view: View) -> Any:
        """The task as the view shows it. Raises NotFound, Busy or Unavailable."""
        client.need("read")
        async with asyncio.timeout(GET_S):
            self.ledger.requests.take()
            found, rider = await self._found(client, name)
            return await self._shown(name, found, rider, view)

    async def _shown(
        self, name: str, found: cm.AcceptedJob | dict[str, Any], rider: dict[str, Any], view: View
    ) -> Any:
        state = self._state(name, found)
        if view == View.MINIMAL:
            return {"id": name, "state": state}
        outcome = found.outcome if isinstance(found, cm.AcceptedJob) else found.get("outcome") or {}
        document = models.read_document(await self.read(rider["doc"]))
        logs = await self._logs(outcome)
        notes = list(rider.get("notes", ()))
        if not isinstance(found, cm.AcceptedJob):
            if found.get("failed"):
                notes.append(found["failed"])
            elif state == State.COMPLETE and not outcome:
                notes.append("its machine told nothing of how it ended")
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
        return models.shown(document, view, fields, logs)

    async def _logs(self, outcome: dict[str, Any]) -> list[TaskLog]:
        ranks = sorted(outcome.items(), key=lambda row: int(row[0]))
        raws = await asyncio.gather(*(self.read(row[1]) for _, row in ranks if row[1]))
        return [msgspec.json.decode(raw, type=TaskLog) for raw in raws]

    async def read(self, name: str) -> bytes:
        """A document, from here or the store. Raises Busy, Unavailable or Damaged."""
        raw = self.cache.get(name)
        if raw is not None:
            return raw
        self.ledger.requests.take()
        root, _ = await self.store.get(documents.key(name))
        if root is None:
            raise NotFound  # collected since
        rest = range(1, root["n"])
        self.ledger.requests.take(len(rest))
        rows = await asyncio.gather(*(self.store.get(documents.key(name, i)) for i in rest))
        if any(value is None for value, _ in rows):
            raise NotFound
        raw = documents.join(name, [root["data"], *(value["data"] for value, _ in rows)])
        self.cache.put(name, raw)
        return raw

    async def cancel(self, client: Client, name: str) -> None:
        """Commit the cancellation; a task that is over stays as it is. Raises NotFound."""
        client.need("cancel")
        async with asyncio.timeout(GET_S):
            _, rider = await self._found(client, name)
            if rider["team"] != client.team:
                raise Denied(403, "a task of another team cannot be cancelled with this token")
            self.ledger.changes.take()
            if await self.jobs.cancel(name):
                log.info("task cancelled", job=name, by=client.name)

    # --- list ----------------------------------------------------------------------------

    async def list(self, client: Client, query: Query) -> dict[str, Any]:
        """A page, newest first, and a token if there may be more."""
        client.need("read")
        team = None if "read-all" in client.rights else client.team
        filters = query.filters(team)
        async with asyncio.timeout(GET_S):
            self.ledger.requests.take()
            await self.ledger.current()
            after = None
            if query.page_token:
                after = tokens.read(self.ledger.secret, query.page_token, filters)
            most = min(query.page_size or self.tes.page, PAGE_MOST)
            page = self.ledger.index.list(
                team, ix.buckets_of(query.state), self._wanted(query), after, most, LOOK_MOST
            )
            shown, last = await self._page(query, page)
        answer: dict[str, Any] = {"tasks": shown}
        if last is not None:
            answer["next_page_token"] = tokens.sign(self.ledger.secret, last, filters)
        return answer

    def _wanted(self, query: Query) -> Callable[[ix.Entry], bool]:
        live = query.state if query.state not in models.FINAL else None

        def wanted(entry: ix.Entry) -> bool:
            if not entry.name.startswith(query.name_prefix):
                return False
            if any(k not in entry.tags or (v and entry.tags[k] != v) for k, v in query.tags):
                return False
            if live is None or entry.state:
                return True
            found = self.owner.inbox.accepted.get(entry.id)
            # Just over, by what this node knows: the store says so below.
            return found is not None and self._state(entry.id, found) == live

        return wanted

    async def _page(self, query: Query, page: ix.Page) -> tuple[list[Any], int | None]:
        """What is shown of a page, and the key to go on from if that is not all.

        Tasks that are not over are asked of the store, and documents read, up to a bound; a page
        that would need more ends there.
        """
        live = reads = 0
        entries, last = page.entries, page.after
        for i, entry in enumerate(entries):
            live += not entry.state
            if query.view != View.MINIMAL:
                reads += self.cache.get(entry.doc) is None
                known = self.owner.inbox.terminal.get(entry.id)
                # Its final record, and in that its logs, one for each task at the least.
                logs = ["?"] if known is None else logs_of(known)
                if entry.state:
                    reads += (known is None) + sum(self.cache.get(n) is None for n in logs)
            if i and (live > LIVE_MOST or reads > READ_MOST):
                last = entries[i - 1].key
                entries = [e for e in entries if e.key >= last]
                break
        looked = dict(
            zip(
                [e.id for e in entries if not e.state],
                await asyncio.gather(*(self.jobs.find(e.id) for e in entries if not e.state)),
                strict=True,
            )
        )
        rows = await asyncio.gather(*(self._row(e, looked.get(e.id), query) for e in entries))
        return [row for row in rows if row is not None], last

    async def _row(self, entry: ix.Entry, found: Any, query: Query) -> Any:
        if entry.state and query.view == View.MINIMAL:
            return {"id": entry.id, "state": entry.state}
        if entry.state:
            found = await self._final(entry.id)
        if found is None:
            return None  # collected since
        state = self._state(entry.id, found)
        if query.state is not None and state != query.state:
            return None  # it went on since this node last heard of it
        rider = rider_of(found)
        try:
            return await self._shown(entry.id, found, rider, query.view)
        except NotFound:
            return None

    async def _final(self, name: str) -> dict[str, Any] | None:
        """The final record of a task that is known to be over."""
        inbox = self.owner.inbox
        if name not in inbox.terminal:
            self.ledger.requests.take()
            value, _ = await self.store.get(sk.FINAL_RECORD + name)
            if value is None:
                return None
            inbox.cache_final_record(name, value)
        return inbox.terminal[name]

    # --- tasks' own word -----------------------------------------------------------------

    async def told(self, told: TaskResult) -> str:
        """Commit how a task ended, before its machine reports the end; the first word counts.

        "kept", "known" (there is a word already) or "over" (the job is). Guarding the accepted
        record settles the race with the final record: nothing is added to what is over.
        """
        value_kb, most = self.settings.params.state.value_kb, self.intake.parts_most - 2
        job, task = told.job, told.task
        # Named after its task, so no other task ever has the same one and it goes with its own.
        log_of = msgspec.json.decode(told.log, type=TaskLog)
        metadata = (log_of.metadata or {}) | {"task": f"{job}/{task}"}
        raw = msgspec.json.encode(msgspec.structs.replace(log_of, metadata=metadata))
        cut = documents.cut(raw, value_kb, most)
        row = [told.code, cut.hash, *(["system"] if told.system else [])]
        deadline = self.clock() + RESULT_S
        while True:
            record, rev = await self.store.get(sk.JOB + job)
            if record is None or record.get("cancel") is not None:
                return "over"
            outcome = record.get("outcome") or {}
            if str(task) in outcome:
                return "known"
            guards, writes = await self.intake.document(cut, deadline)
            new = {**record, "outcome": {**outcome, str(task): row}}
            guards[sk.JOB + job] = rev
            writes[sk.JOB + job] = new
            try:
                rev = await self.store.commit_with_retry(guards, writes, deadline)
            except Conflict as conflict:
                if any(key.startswith(documents.DOC) for key in conflict.failed):
                    await self.intake.know_root(cut.hash)
                if self.clock() > deadline:
                    raise Unavailable("the task's record keeps changing") from None
                continue
            self.owner.put(cm.InboxRows([(sk.JOB + job, new, rev)]))
            log.info("task told its end", task=f"{job}/{task}", code=told.code)
            return "kept"

    async def description(self, job: str) -> dict[str, Any] | None:
        """What a machine needs to run the task: its job and document."""
        found = await self.jobs.find(job)
        if not isinstance(found, cm.AcceptedJob) or found.rider is None:
            return None
        raw = await self.read(found.rider["doc"])
        return {"spec": msgspec.to_builtins(found.spec), "document": raw.decode()}
