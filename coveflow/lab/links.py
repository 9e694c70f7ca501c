"""TCP relays between the lab's processes, which inject cuts, delays and refused connections."""

from __future__ import annotations

import asyncio
import contextlib
from dataclasses import dataclass, field

CHUNK = 64 * 1024  # bytes read at once


@dataclass
class Link:
    """A one-way relay: listens on its own port and forwards connections to the target.

    Modes: `open`; `hold` (data is buffered and delivered in order after the cut); `reset`
    (connections are aborted, new ones hang); `refuse` (connections are aborted, new ones refused).
    """

    name: str
    target: tuple[str, int]
    port: int = 0
    mode: str = "open"
    delay_s: float = 0.0
    server: asyncio.Server | None = None
    writers: set[asyncio.StreamWriter] = field(default_factory=set)
    tasks: set[asyncio.Task[None]] = field(default_factory=set)
    is_open: asyncio.Event = field(default_factory=asyncio.Event)

    async def start(self) -> None:
        if self.mode == "open":
            self.is_open.set()
        self.server = await asyncio.start_server(self._connected, "127.0.0.1", self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    async def set_mode(self, mode: str, delay_s: float = 0.0) -> None:
        previous, self.mode, self.delay_s = self.mode, mode, delay_s
        if mode == "open":
            self.is_open.set()
        else:
            self.is_open.clear()
        if mode in ("reset", "refuse") and previous not in ("reset", "refuse"):
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
        target_writer = None
        try:
            await self.is_open.wait()
            target_reader, target_writer = await asyncio.open_connection(*self.target)
            self.writers.add(target_writer)
            await asyncio.gather(
                self._pump(reader, target_writer), self._pump(target_reader, writer)
            )
        except (OSError, asyncio.CancelledError):
            pass  # the connection is closed on both sides below
        finally:
            for end in (writer, target_writer):
                if end is not None:
                    self.writers.discard(end)
                    end.close()
            self.tasks.discard(task)

    async def _pump(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while data := await reader.read(CHUNK):
            if self.delay_s:
                await asyncio.sleep(self.delay_s)
            await self.is_open.wait()
            writer.write(data)
            await writer.drain()
        with contextlib.suppress(OSError, RuntimeError):
            if writer.can_write_eof():
                writer.write_eof()
