"""Relays between the lab's processes: cuts, delays, refusals and messages held back."""

from __future__ import annotations

import asyncio
import contextlib
from dataclasses import dataclass, field

CHUNK = 64 * 1024  # bytes read at once


@dataclass
class Link:
    """One side's way to another: listens on a port of its own and passes on what comes.

    Modes: `open`; `hold` (silent, what was sent arrives after the cut, in order); `reset`
    (connections break, new ones hang); `refuse` (new connections are refused).
    """

    name: str
    target: tuple[str, int]
    port: int = 0
    mode: str = "open"
    delay_s: float = 0.0
    server: asyncio.Server | None = None
    writers: set[asyncio.StreamWriter] = field(default_factory=set)
    tasks: set[asyncio.Task[None]] = field(default_factory=set)
    passable: asyncio.Event = field(default_factory=asyncio.Event)

    async def start(self) -> None:
        if self.mode == "open":
            self.passable.set()
        self.server = await asyncio.start_server(self._connected, "127.0.0.1", self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    async def set(self, mode: str, delay_s: float = 0.0) -> None:
        was, self.mode, self.delay_s = self.mode, mode, delay_s
        if mode == "open":
            self.passable.set()
        else:
            self.passable.clear()
        if mode in ("reset", "refuse") and was not in ("reset", "refuse"):
            for writer in list(self.writers):
                writer.transport.abort()
        if mode == "refuse" and self.server is not None:
            self.server.close()
            self.server = None
        elif mode != "refuse" and self.server is None:
            await self.start()

    async def stop(self) -> None:
        if self.server is not None:
            self.server.close()
        for task in list(self.tasks):
            task.cancel()

    async def _connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self.tasks.add(task)
        self.writers.add(writer)
        out = None
        try:
            await self.passable.wait()
            there, out = await asyncio.open_connection(*self.target)
            self.writers.add(out)
            await asyncio.gather(self._pump(reader, out), self._pump(there, writer))
        except (OSError, asyncio.CancelledError):
            pass  # an end of the connection is passed on below
        finally:
            for end in (writer, out):
                if end is not None:
                    self.writers.discard(end)
                    end.close()
            self.tasks.discard(task)

    async def _pump(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while data := await reader.read(CHUNK):
            if self.delay_s:
                await asyncio.sleep(self.delay_s)
            await self.passable.wait()
            writer.write(data)
            await writer.drain()
        with contextlib.suppress(OSError, RuntimeError):
            if writer.can_write_eof():
                writer.write_eof()
