"""Client for direct requests to workers at their machines' addresses."""

from __future__ import annotations

import aiohttp

from coveflow import constants as c
from coveflow import wire
from coveflow.core.model import Order, Report
from coveflow.net.http import Client, Unavailable


class MachineClient:
    """Direct requests to machines; each returns the machine's current report."""

    def __init__(self, session: aiohttp.ClientSession) -> None:
        self.session = session

    async def stop(self, address: str, epoch: int, tenure: int, stops: list[Order]) -> Report:
        """Stop tasks; refused, as the report shows, by a newer fencing token or another session."""
        body = wire.commands_body(epoch, tenure, stops)
        return await self._report(address, "POST", wire.COMMANDS_PATH, body)

    async def inspect(self, address: str) -> Report:
        return await self._report(address, "GET", wire.INSPECT_PATH, None)

    async def _report(self, address: str, method: str, path: str, body: bytes | None) -> Report:
        client = Client(self.session, address)
        status, answer = await client.request(method, path, body=body, timeout_s=c.DIRECT_TIMEOUT_S)
        if status not in (200, 409):
            raise Unavailable(f"{address}: {status}")
        try:
            return wire.read_report(answer)
        except wire.Malformed as error:
            raise Unavailable(f"{address}: {error}") from error
