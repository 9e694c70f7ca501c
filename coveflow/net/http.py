"""What both clients of outside services share: pacing and one tolerant request."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import aiohttp


class Unavailable(Exception):
    """The other side did not execute the request, or nothing shows that it did."""


class Refused(Unavailable):
    """The host answered that nobody listens there, or that it lets nobody through."""


class Unsure(Unavailable):
    """No answer came: the request may have been executed, or may be later."""


class Bucket:
    """A rate share: `take` waits until the share allows the amount."""

    def __init__(self, rate: float, clock: Callable[[], float], burst_s: float = 1.0) -> None:
        self.clock = clock
        self.queue = asyncio.Lock()  # waiters are served in the order they came
        self.set_rate(rate, burst_s)
        self.level = self.burst
        self.at = clock()

    def set_rate(self, rate: float, burst_s: float = 1.0) -> None:
        self.rate, self.burst = rate, max(1.0, rate * burst_s)

    def refill(self) -> float:
        now = self.clock()
        self.level = min(self.burst, self.level + (now - self.at) * self.rate)
        self.at = now
        return self.level

    async def take(self, amount: float = 1.0) -> None:
        """Wait for the amount; more than the burst is granted on credit."""
        need = min(amount, self.burst)
        if self.refill() < need:
            async with self.queue:
                if self.refill() < need:
                    await asyncio.sleep((need - self.level) / self.rate)
                    self.refill()
        self.level -= amount


class Client:
    """HTTP to one address; every failure becomes Unavailable or Unsure."""

    def __init__(self, session: aiohttp.ClientSession, base: str) -> None:
        self.session, self.base = session, f"http://{base}"

    async def request(
        self,
        method: str,
        path: str,
        *,
        body: bytes | None = None,
        query: dict[str, str] | None = None,
        timeout_s: float,
    ) -> tuple[int, bytes]:
        try:
            async with self.session.request(
                method,
                self.base + path,
                data=body,
                params=query,
                timeout=aiohttp.ClientTimeout(total=timeout_s, sock_connect=min(timeout_s, 0.8)),
                allow_redirects=False,
                skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding"),
            ) as response:
                return response.status, await response.read()
        except aiohttp.ClientConnectorError as error:
            raise Refused(f"{method} {path}: not connected") from error
        except aiohttp.ConnectionTimeoutError as error:
            raise Unavailable(f"{method} {path}: not connected") from error
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise Unsure(f"{method} {path}: {type(error).__name__}") from error
