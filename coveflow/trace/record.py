"""Following whichever controller leads, and writing what it tells; gaps are said and filled.

Each event has the epoch of its lead and a number that counts from 1. The recorder asks every
controller for what it keeps, so that the last events of a lead that ended are still had from a
process that lives. What no process has any more is a gap: its row says which events, and the state
service is asked for the accepted jobs and the final states that it still knows.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import aiohttp

from coveflow import wire
from coveflow.daemon.operators import TRACE
from coveflow.logs import Log
from coveflow.net.http import Client, Unavailable
from coveflow.settings import Settings
from coveflow.state.keys import FINAL_RECORD, JOB
from coveflow.trace.files import RECORDER, Event, TraceError, Writer
from coveflow.wire import remote

log = Log("coveflow.trace")

ASK_S = 0.25  # s between two questions to a controller; an event's way to disk is within a second
ASK_TIMEOUT_S = 2.0  # s an answer is waited for
FLUSH_S = 1.0  # s of events that one segment holds at the most, while few come
FLUSH_ROWS = 20_000  # events of one segment at the most
BUFFER_ROWS = 100_000  # events that wait for a slow disk; beyond them the controllers' buffers do
GONE_S = 5.0  # s without an answer from any controller that has a lead before its tail is given up
FILL_PAUSE_S = 0.5  # s between two pages read from the state service: its budget is others'
FILL_PAGE = 200  # rows of one page


@dataclass
class Lead:
    """What is known of one lead."""

    last: int = 0  # number of its newest event that was read
    most: int = 0  # of its newest event that any controller told of
    over: bool = False  # its end was told
    seen: float = 0.0  # when a controller last said that it keeps this lead


@dataclass
class Recorder:
    settings: Settings
    folder: Path
    session: aiohttp.ClientSession
    clock: Callable[[], float] = time.monotonic
    wall: Callable[[], float] = time.time
    buffer: list[Event] = field(default_factory=list)
    leads: dict[int, Lead] = field(default_factory=dict)
    newest_view: int = 0
    told_gaps: int = 0
    fills: set[str] = field(default_factory=set)  # jobs whose final state is in the trace
    errors: int = 0

    def __post_init__(self) -> None:
        self.writer = Writer(self.folder)
        self.own = self.writer.last(RECORDER)
        for epoch, last in self.writer.manifest.last.items():
            if int(epoch) != RECORDER:
                self.leads[int(epoch)] = Lead(last, last, seen=self.clock())
        # What an earlier run of the recorder already gave up is not said twice.
        self.closed = set(self.writer.manifest.closed)
        self.writing: asyncio.Future[None] | None = None
        self.newest_view = max(self.leads, default=0)
        self.fill_due = False
        self.full = asyncio.Event()

    def nodes(self) -> list[str]:
        """Cluster addresses of all controllers."""
        others = [member.address for member in self.settings.members]
        return [self.settings.cluster_listen, *others]

    # --- asking ------------------------------------------------------------------------

    async def follow(self, address: str) -> None:
        client = Client(self.session, address)
        boot = ""
        while True:
            if len(self.buffer) > BUFFER_ROWS:
                await asyncio.sleep(ASK_S)  # a slow disk: the controllers keep the rest
                continue
            try:
                answer = await self._ask(client, None, 0, 1)
                if answer["boot"] != boot:
                    boot = answer["boot"]
                    log.info("following", node=address, leads=[row[0] for row in answer["leads"]])
                for epoch, last, over in answer["leads"]:
                    await self._drain(client, epoch, last, over)
                self._viewed(answer["view"])
            except (Unavailable, wire.Malformed, KeyError, TypeError) as error:
                self.errors += 1
                log.debug("not answered", node=address, why=error)
            await asyncio.sleep(ASK_S)

    async def _ask(
        self, client: Client, epoch: int | None, after: int, most: int
    ) -> dict[str, Any]:
        body = wire.pack({"epoch": epoch, "after": after, "most": most})
        status, answer = await client.request("POST", TRACE, body=body, timeout_s=ASK_TIMEOUT_S)
        if status == 404:
            raise TraceError(f"{client.base}: {remote.read_error(answer)}")
        if status != 200:
            raise Unavailable(f"trace: {status}")
        return wire.unpack(answer)

    async def _drain(self, client: Client, epoch: int, last: int, over: bool) -> None:
        """All that this controller still has of a lead."""
        lead = self.leads.setdefault(epoch, Lead())
        lead.seen, lead.most, lead.over = self.clock(), max(lead.most, last), lead.over or over
        while lead.last < last:
            answer = await self._ask(client, epoch, lead.last, 2_000)
            if not answer["rows"] or answer["epoch"] != epoch:
                return
            self._take(epoch, lead, answer)

    def _take(self, epoch: int, lead: Lead, answer: dict[str, Any]) -> None:
        for number, t, kind, fields in answer["rows"]:
            if number <= lead.last:
                continue
            if number > lead.last + 1:
                why = "the controller's buffer ran over"
                self._gap(epoch, lead.last + 1, number - 1, why)
            lead.last = number
            self.buffer.append(Event(epoch, number, answer["began"] + t, kind, fields))
            if kind == "over":
                self.fills.add(fields["job"])
        self.full.set()

    # --- gaps --------------------------------------------------------------------------

    def _row(self, kind: str, fields: dict[str, Any]) -> None:
        self.own += 1
        self.buffer.append(Event(RECORDER, self.own, self.wall(), kind, fields))

    def _gap(
        self, epoch: int, first: int, last: int | None, why: str, closes: bool = False
    ) -> None:
        """Events that are nowhere any more; `last` None: nobody knows how many."""
        self.told_gaps += 1
        log.warning("gap", epoch=epoch, first=first, last=last, why=why)
        row = {"of": epoch, "first": first, "last": last, "why": why}
        self._row("gap", row | ({"closes": epoch} if closes else {}))
        self.fill_due = True

    def _viewed(self, epoch: int) -> None:
        """Leads between the newest known and this one were over before anybody asked."""
        if self.newest_view:
            for missed in range(self.newest_view + 1, epoch):
                if missed not in self.leads:
                    self.leads[missed] = Lead(seen=self.clock())
        self.newest_view = max(self.newest_view, epoch)

    def _give_up(self) -> None:
        """Leads whose process is gone: what it did not tell is lost."""
        now = self.clock()
        for epoch, lead in list(self.leads.items()):
            if epoch in self.closed or epoch >= self.newest_view:
                continue
            if lead.over and lead.last >= lead.most:
                self.closed.add(epoch)
            elif now - lead.seen > GONE_S:
                self.closed.add(epoch)
                known = lead.most if lead.most > lead.last else None
                why = "its process ended before it was asked"
                self._gap(epoch, lead.last + 1, known, why, closes=True)

    async def fill(self) -> None:
        """After gaps: what the state service still knows of jobs, read gently."""
        client = Client(self.session, self.settings.services.state)
        while True:
            await asyncio.sleep(FILL_PAUSE_S)
            if not self.fill_due:
                continue
            self.fill_due = False
            try:
                accepted = await self._pages(client, JOB)
                over = await self._pages(client, FINAL_RECORD)
            except (Unavailable, wire.Malformed) as error:
                log.debug("state service not read", why=error)
                self.fill_due = True
                continue
            for key, value in accepted:
                row = {"job": key[len(JOB) :], "spec": value["spec"], "at": value["at"]}
                self._row("fill", row | {"cancelled": value.get("cancel")})
            for key, value in over:
                job = key[len(FINAL_RECORD) :]
                if job not in self.fills:
                    self.fills.add(job)
                    self._row("fill", {"job": job, **value})
            log.info("filled", accepted=len(accepted), over=len(over))

    async def _pages(self, client: Client, prefix: str) -> list[tuple[str, Any]]:
        rows: list[tuple[str, Any]] = []
        after: str | None = None
        while True:
            query = wire.store_query(prefix, after, FILL_PAGE)
            status, body = await client.request(
                "GET", wire.STORE_PATH, query=query, timeout_s=ASK_TIMEOUT_S
            )
            if status != 200:
                raise Unavailable(f"list {prefix}: {status}")
            page, more, _ = wire.read_rows(body)
            rows += [(key, value) for key, value, _ in page]
            if not more or not page:
                return rows
            after = page[-1][0]
            await asyncio.sleep(FILL_PAUSE_S)

    # --- writing -----------------------------------------------------------------------

    async def write(self) -> None:
        """Segments by time or size, written beside the loop so that asking goes on."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(FLUSH_S)
            self._give_up()
            while self.buffer:
                rows, self.buffer = self.buffer[:FLUSH_ROWS], self.buffer[FLUSH_ROWS:]
                # Shielded: rows that are on their way to disk get there, however this ends.
                self.writing = loop.run_in_executor(None, self.writer.append, rows)
                await asyncio.shield(self.writing)

    async def run(self, for_s: float | None = None) -> None:
        """Record until cancelled, or for so many seconds; what was read is written first."""
        tasks = [asyncio.create_task(self.follow(address)) for address in self.nodes()]
        tasks += [asyncio.create_task(self.write()), asyncio.create_task(self.fill())]
        try:
            done, _ = await asyncio.wait(tasks, timeout=for_s, return_when=asyncio.FIRST_EXCEPTION)
            for task in done:
                task.result()
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            if self.writing is not None:
                await self.writing
            self.writer.append(self.buffer)
            self.buffer = []
            self.writer.close()
