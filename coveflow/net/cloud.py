"""Client of the cloud, with this node's share of its request rate."""

from __future__ import annotations

from collections.abc import Callable
from typing import TypeVar

import aiohttp

from coveflow import constants as c
from coveflow import wire
from coveflow.core.model import Flavor, ListedMachine
from coveflow.logs import Log, Seldom
from coveflow.net.http import Bucket, Client, Unavailable, Unsure
from coveflow.net.meters import Meters

log = Log("coveflow.cloud")

T = TypeVar("T")

TIMEOUT_S = 4.0  # s; a request that takes longer counts as lost


class NoCapacity(Exception):
    """None available for this type, zone and kind just now."""


class Cloud:
    def __init__(
        self,
        session: aiohttp.ClientSession,
        address: str,
        rps: float,
        clock: Callable[[], float],
        meters: Meters | None = None,
    ) -> None:
        self.clock, self.meters = clock, meters or Meters()
        self.client = Client(session, address)
        self.rate = Bucket(rps, clock)
        self.unread = Seldom()

    async def call(
        self,
        method: str,
        path: str,
        *,
        body: bytes | None = None,
        query: dict[str, str] | None = None,
    ) -> tuple[int, bytes]:
        asked = self.clock()
        await self.rate.take()
        self.meters.span("cloud call paced", self.clock() - asked)
        status, answer = await self.client.request(
            method, path, body=body, query=query, timeout_s=TIMEOUT_S
        )
        if status == 429 or (status >= 500 and status != 503):
            raise Unavailable(f"cloud: {status}")
        return status, answer

    async def flavors(self) -> list[Flavor]:
        status, body = await self.call("GET", wire.FLAVORS)
        if status != 200:
            raise Unavailable(f"cloud: {status}")
        types = self._read(wire.read_flavors, body)
        self._left_out("machine types", types.unread)
        return types.flavors

    async def rent(self, name: str, flavor: str, zone: str, spot: bool, count: int) -> list[str]:
        """Rent up to `count`; repeating a name that was answered rents nothing more."""
        status, body = await self.call(
            "POST", wire.RENTALS, body=wire.rental(name, flavor, zone, spot, min(count, c.MAX_RENT))
        )
        if status == 200:
            return self._read(wire.read_hosts, body)
        if status == 503 and b"capacity" in body:
            raise NoCapacity
        raise Unavailable(f"cloud: rent {status}")

    async def give_back(self, machines: list[str]) -> None:
        """Only a 200 proves the machines gone."""
        status, _ = await self.call(
            "POST", wire.RETURN, body=wire.returning(machines[: c.MAX_RETURN])
        )
        if status != 200:
            raise Unavailable(f"cloud: return {status}")

    async def machines(self) -> list[ListedMachine]:
        """What can be read of the list; a row that is left out proves nothing of its machine."""
        found: dict[str, ListedMachine] = {}
        after: str | None = None
        while True:
            status, body = await self.call(
                "GET", wire.RENTALS, query=wire.list_query(after, c.LIST_PAGE)
            )
            if status != 200:
                raise Unavailable(f"cloud: list {status}")
            page = self._read(wire.read_list, body)
            self._left_out("rows of the machine list", page.unread)
            new = {row.machine: row for row in page.machines if row.machine not in found}
            found |= new
            # A list that goes round in circles has no end.
            if not page.has_next or not new:
                return list(found.values())
            after = page.machines[-1].machine

    def _read(self, reader: Callable[[bytes], T], body: bytes) -> T:
        """An answer that can't be read is as good as none: the request may have been executed."""
        try:
            return reader(body)
        except wire.Malformed as error:
            self._left_out("answers of the cloud", [str(error)])
            raise Unsure(f"cloud: {error}") from error

    def _left_out(self, what: str, why: list[str]) -> None:
        count = self.unread.due(self.clock()) if why else 0
        if count:
            log.warning("can't be read", what=what, times=count, why=why[0])
