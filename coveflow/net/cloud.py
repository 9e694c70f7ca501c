"""Client of the cloud, with this node's share of its request rate."""

from __future__ import annotations

from collections.abc import Callable

import aiohttp

from coveflow import constants as c
from coveflow import wire
from coveflow.core.model import Flavor, Listed
from coveflow.net.http import Bucket, Client, Unavailable
from coveflow.net.meters import Meters

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
        return wire.read_flavors(body)

    async def rent(self, name: str, flavor: str, zone: str, spot: bool, count: int) -> list[str]:
        """Rent up to `count`; repeating a name that was answered rents nothing more."""
        status, body = await self.call(
            "POST", wire.RENTALS, body=wire.rental(name, flavor, zone, spot, min(count, c.MAX_RENT))
        )
        if status == 200:
            return wire.read_hosts(body)
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

    async def machines(self) -> list[Listed]:
        found: list[Listed] = []
        after: str | None = None
        while True:
            status, body = await self.call(
                "GET", wire.RENTALS, query=wire.list_query(after, c.LIST_PAGE)
            )
            if status != 200:
                raise Unavailable(f"cloud: list {status}")
            page, more = wire.read_list(body)
            found += page
            if not more or not page:
                return found
            after = page[-1].machine
