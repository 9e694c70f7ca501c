"""Recorder of the leader's trace events: polls every controller and writes what it reads to disk.

Each event carries its leader's epoch and a sequence number that starts at 1 in every epoch. The
recorder polls all controllers, not only the leader, because a deposed leader whose process is
still running keeps the last events of its epoch. Events that no process has any more are a gap: a
row of the recorder's own names them, and the accepted jobs and final states that the state
service still has are read from there.
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

POLL_INTERVAL_S = 0.25  # s between polls of a controller; an event reaches the disk within a second
REQUEST_TIMEOUT_S = 2.0  # s until a request times out
FLUSH_INTERVAL_S = 1.0  # s between writes; the time span of one segment while few events arrive
FLUSH_ROWS = 20_000  # maximum number of events in one segment
BUFFER_MAX_ROWS = 100_000  # events buffered for a slow disk; further ones stay with the controllers
EPOCH_LOST_S = (
    5.0  # s since a controller last listed an epoch until its unread events count as lost
)
FILL_INTERVAL_S = 0.5  # s between pages read from the state service, whose request budget is shared
FILL_PAGE_ROWS = 200  # rows per page


@dataclass
class EpochProgress:
    """How far the events of one epoch have been read."""

    last_read: int = 0  # number of the newest event read
    last_known: int = 0  # number of the newest event that any controller has reported
    ended: bool = False  # the leader has reported the end of the epoch
    seen_at: float = 0.0  # when a controller last listed this epoch


@dataclass
class Recorder:
    """Reads trace events from all controllers and appends them to a trace folder."""

    settings: Settings
    folder: Path
    session: aiohttp.ClientSession
    clock: Callable[[], float] = time.monotonic
    wall: Callable[[], float] = time.time
    buffer: list[Event] = field(default_factory=list)
    epochs: dict[int, EpochProgress] = field(default_factory=dict)
    newest_view: int = 0
    gap_count: int = 0
    final_jobs: set[str] = field(default_factory=set)  # jobs whose final state is in the trace
    errors: int = 0

    def __post_init__(self) -> None:
        self.writer = Writer(self.folder)
        self.last_own_number = self.writer.last(RECORDER)
        for epoch, last in self.writer.manifest.last.items():
            if int(epoch) != RECORDER:
                self.epochs[int(epoch)] = EpochProgress(last, last, seen_at=self.clock())
        # Epochs that an earlier run closed as lost are not reported again.
        self.closed = set(self.writer.manifest.closed)
        self.writing: asyncio.Future[None] | None = None
        self.newest_view = max(self.epochs, default=0)
        self.fill_due = False
        self.rows_added = asyncio.Event()

    def nodes(self) -> list[str]:
        """Cluster addresses of all controllers."""
        others = [member.address for member in self.settings.members]
        return [self.settings.cluster_listen, *others]

    # --- reading from the controllers --------------------------------------------------

    async def follow(self, address: str) -> None:
        """Poll one controller until cancelled."""
        client = Client(self.session, address)
        boot = ""
        while True:
            if len(self.buffer) > BUFFER_MAX_ROWS:
                await asyncio.sleep(
                    POLL_INTERVAL_S
                )  # slow disk: further events stay in the controllers' buffers
                continue
            try:
                answer = await self._request(client, None, 0, 1)
                if answer["boot"] != boot:
                    boot = answer["boot"]
                    log.info("following", node=address, leads=[row[0] for row in answer["leads"]])
                for epoch, last, ended in answer["leads"]:
                    await self._read_epoch(client, epoch, last, ended)
                self._add_missed_epochs(answer["view"])
            except (Unavailable, wire.Malformed, KeyError, TypeError) as error:
                self.errors += 1
                log.debug("not answered", node=address, why=error)
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _request(
        self, client: Client, epoch: int | None, after: int, limit: int
    ) -> dict[str, Any]:
        body = wire.pack({"epoch": epoch, "after": after, "most": limit})
        status, answer = await client.request("POST", TRACE, body=body, timeout_s=REQUEST_TIMEOUT_S)
        if status == 404:
            raise TraceError(f"{client.base}: {remote.read_error(answer)}")
        if status != 200:
            raise Unavailable(f"trace: {status}")
        return wire.unpack(answer)

    async def _read_epoch(self, client: Client, epoch: int, last: int, ended: bool) -> None:
        """Read all events of the epoch that this controller still has."""
        progress = self.epochs.setdefault(epoch, EpochProgress())
        progress.seen_at, progress.last_known, progress.ended = (
            self.clock(),
            max(progress.last_known, last),
            progress.ended or ended,
        )
        while progress.last_read < last:
            answer = await self._request(client, epoch, progress.last_read, 2_000)
            if not answer["rows"] or answer["epoch"] != epoch:
                return
            self._add_rows(epoch, progress, answer)

    def _add_rows(self, epoch: int, progress: EpochProgress, answer: dict[str, Any]) -> None:
        """Add new rows to the buffer; a jump in their numbers is recorded as a gap."""
        for number, t, kind, fields in answer["rows"]:
            if number <= progress.last_read:
                continue
            if number > progress.last_read + 1:
                why = "the controller's buffer ran over"
                self._add_gap(epoch, progress.last_read + 1, number - 1, why)
            progress.last_read = number
            self.buffer.append(Event(epoch, number, answer["began"] + t, kind, fields))
            if kind == "over":
                self.final_jobs.add(fields["job"])
        self.rows_added.set()

    # --- gaps --------------------------------------------------------------------------

    def _add_own_row(self, kind: str, fields: dict[str, Any]) -> None:
        self.last_own_number += 1
        self.buffer.append(Event(RECORDER, self.last_own_number, self.wall(), kind, fields))

    def _add_gap(
        self, epoch: int, first: int, last: int | None, why: str, closes: bool = False
    ) -> None:
        """Record lost events; `last` is None if their number is unknown."""
        self.gap_count += 1
        log.warning("gap", epoch=epoch, first=first, last=last, why=why)
        row = {"of": epoch, "first": first, "last": last, "why": why}
        self._add_own_row("gap", row | ({"closes": epoch} if closes else {}))
        self.fill_due = True

    def _add_missed_epochs(self, epoch: int) -> None:
        """Note epochs before this one that ended before any controller was polled for them."""
        if self.newest_view:
            for missed in range(self.newest_view + 1, epoch):
                if missed not in self.epochs:
                    self.epochs[missed] = EpochProgress(seen_at=self.clock())
        self.newest_view = max(self.newest_view, epoch)

    def _close_epochs(self) -> None:
        """Close epochs that are complete, or whose unread events no controller has any more."""
        now = self.clock()
        for epoch, progress in list(self.epochs.items()):
            if epoch in self.closed or epoch >= self.newest_view:
                continue
            if progress.ended and progress.last_read >= progress.last_known:
                self.closed.add(epoch)
            elif now - progress.seen_at > EPOCH_LOST_S:
                self.closed.add(epoch)
                known = progress.last_known if progress.last_known > progress.last_read else None
                why = "its process ended before it was asked"
                self._add_gap(epoch, progress.last_read + 1, known, why, closes=True)

    async def fill(self) -> None:
        """After a gap, record the jobs and final states in the state service, a page at a time."""
        client = Client(self.session, self.settings.services.state)
        while True:
            await asyncio.sleep(FILL_INTERVAL_S)
            if not self.fill_due:
                continue
            self.fill_due = False
            try:
                accepted = await self._read_pages(client, JOB)
                over = await self._read_pages(client, FINAL_RECORD)
            except (Unavailable, wire.Malformed) as error:
                log.debug("cannot read the state service", why=error)
                self.fill_due = True
                continue
            for key, value in accepted:
                row = {"job": key[len(JOB) :], "spec": value["spec"], "at": value["at"]}
                self._add_own_row("fill", row | {"cancelled": value.get("cancel")})
            for key, value in over:
                job = key[len(FINAL_RECORD) :]
                if job not in self.final_jobs:
                    self.final_jobs.add(job)
                    self._add_own_row("fill", {"job": job, **value})
            log.info("filled", accepted=len(accepted), over=len(over))

    async def _read_pages(self, client: Client, prefix: str) -> list[tuple[str, Any]]:
        rows: list[tuple[str, Any]] = []
        after: str | None = None
        while True:
            query = wire.store_query(prefix, after, FILL_PAGE_ROWS)
            status, body = await client.request(
                "GET", wire.STORE_PATH, query=query, timeout_s=REQUEST_TIMEOUT_S
            )
            if status != 200:
                raise Unavailable(f"list {prefix}: {status}")
            page, more, _ = wire.read_rows(body)
            rows += [(key, value) for key, value, _ in page]
            if not more or not page:
                return rows
            after = page[-1][0]
            await asyncio.sleep(FILL_INTERVAL_S)

    # --- writing -----------------------------------------------------------------------

    async def write(self) -> None:
        """Write segments by time or size, in a thread so that polling continues."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(FLUSH_INTERVAL_S)
            self._close_epochs()
            while self.buffer:
                rows, self.buffer = self.buffer[:FLUSH_ROWS], self.buffer[FLUSH_ROWS:]
                # Shielded, so that a cancellation does not lose rows that are being written.
                self.writing = loop.run_in_executor(None, self.writer.append, rows)
                await asyncio.shield(self.writing)

    async def run(self, for_s: float | None = None) -> None:
        """Record until cancelled or for `for_s` seconds; buffered events are written at the end."""
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
