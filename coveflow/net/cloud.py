"""Client of the cloud API, limited to this node's share of its request rate."""

from __future__ import annotations

from collections.abc import Callable
from typing import TypeVar

import aiohttp

from coveflow import constants as c
from coveflow import wire
from coveflow.core.model import Flavor, ListedMachine
from coveflow.logs import Log, LogThrottle
from coveflow.net.http import Client, TokenBucket, Unavailable, UnknownOutcome
from coveflow.net.meters import Meters

log = Log("coveflow.cloud")

T = TypeVar("T")

TIMEOUT_S = 4.0  # s after which a request is considered lost


class NoCapacity(Exception):
    """The cloud currently has no capacity for this machine type, zone and purchase option."""


class CloudClient:
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
        self.rate_limit = TokenBucket(rps, clock)
        self.unreadable_log = LogThrottle()

    async def call(
        self,
        method: str,
        path: str,
        *,
        body: bytes | None = None,
        query: dict[str, str] | None = None,
    ) -> tuple[int, bytes]:
        requested_at = self.clock()
        await self.rate_limit.take()
        self.meters.record_duration("cloud call paced", self.clock() - requested_at)
        status, answer = await self.client.request(
            method, path, body=body, query=query, timeout_s=TIMEOUT_S
        )
        if status == 429 or (status >= 500 and status != 503):
            raise Unavailable(f"cloud: {status}")
        return status, answer

    async def flavors(self) -> list[Flavor]:
        status, body = await self.call("GET", wire.FLAVORS_PATH)
        if status != 200:
            raise Unavailable(f"cloud: {status}")
        types = self._read(wire.read_flavors, body)
        self._log_unreadable("machine types", types.skipped)
        return types.flavors

    async def rent(self, name: str, flavor: str, zone: str, spot: bool, count: int) -> list[str]:
        """Rent up to `count` machines; idempotent by `name`, so a repeat rents nothing more."""
        status, body = await self.call(
            "POST",
            wire.RENTALS_PATH,
            body=wire.rental_body(name, flavor, zone, spot, min(count, c.MAX_RENT)),
        )
        if status == 200:
            return self._read(wire.read_hosts, body)
        if status == 503 and b"capacity" in body:
            raise NoCapacity
        raise Unavailable(f"cloud: rent {status}")

    async def return_machines(self, machines: list[str]) -> None:
        """Return machines to the cloud; only status 200 proves that they are gone."""
        status, _ = await self.call(
            "POST", wire.RETURN_PATH, body=wire.return_body(machines[: c.MAX_RETURN])
        )
        if status != 200:
            raise Unavailable(f"cloud: return {status}")

    async def machines(self) -> list[ListedMachine]:
        """List the rented machines; unreadable rows are skipped, so absence proves nothing."""
        found: dict[str, ListedMachine] = {}
        after: str | None = None
        while True:
            status, body = await self.call(
                "GET", wire.RENTALS_PATH, query=wire.list_query(after, c.LIST_PAGE)
            )
            if status != 200:
                raise Unavailable(f"cloud: list {status}")
            page = self._read(wire.read_list, body)
            self._log_unreadable("rows of the machine list", page.skipped)
            new = {row.machine: row for row in page.machines if row.machine not in found}
            found |= new
            # A page without new machines ends the listing, in case its pages repeat for ever.
            if not page.has_next or not new:
                return list(found.values())
            after = page.machines[-1].machine

    def _read(self, reader: Callable[[bytes], T], body: bytes) -> T:
        """Decode a response; if it is malformed, the request may still have been executed."""
        try:
            return reader(body)
        except wire.Malformed as error:
            self._log_unreadable("answers of the cloud", [str(error)])
            raise UnknownOutcome(f"cloud: {error}") from error

    def _log_unreadable(self, what: str, why: list[str]) -> None:
        count = self.unreadable_log.due(self.clock()) if why else 0
        if count:
            log.warning("can't be read", what=what, times=count, why=why[0])
