"""Shared by the clients of external services: a rate limiter and a request with typed errors."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import aiohttp


class Unavailable(Exception):
    """The request was not executed, or there is no evidence that it was."""


class ConnectionRefused(Unavailable):
    """The host refused the connection: nothing listens there, or a firewall rejects it."""


class UnknownOutcome(Unavailable):
    """No response arrived: the request may have been executed, or may yet be."""


class TokenBucket:
    """A token bucket: `take` waits until the rate allows the amount."""

    def __init__(self, rate: float, clock: Callable[[], float], burst_s: float = 1.0) -> None:
        self.clock = clock
        self.lock = asyncio.Lock()  # serves waiters in order of arrival
        self.set_rate(rate, burst_s)
        self.level = self.burst
        self.refilled_at = clock()

    def set_rate(self, rate: float, burst_s: float = 1.0) -> None:
        self.rate, self.burst = rate, max(1.0, rate * burst_s)

    def refill(self) -> float:
        now = self.clock()
        self.level = min(self.burst, self.level + (now - self.refilled_at) * self.rate)
        self.refilled_at = now
        return self.level

    async def take(self, amount: float = 1.0) -> None:
        """Wait for the amount; an amount above the burst is granted on credit."""
        need = min(amount, self.burst)
        if self.refill() < need:
            async with self.lock:
                if self.refill() < need:
                    await asyncio.sleep((need - self.level) / self.rate)
                    self.refill()
        self.level -= amount


class Client:
    """HTTP client for one address; every failure raises Unavailable or a subclass."""

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
            raise ConnectionRefused(f"{method} {path}: not connected") from error
        except aiohttp.ConnectionTimeoutError as error:
            raise Unavailable(f"{method} {path}: not connected") from error
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise UnknownOutcome(f"{method} {path}: {type(error).__name__}") from error
