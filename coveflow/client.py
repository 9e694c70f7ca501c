"""A user's client: submit, poll and cancel, retried as the protocol says."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from typing import Any

import aiohttp

from coveflow import wire
from coveflow.core.model import Spec
from coveflow.wire import far

ANSWER_S = 5.0  # s a submission or cancellation waits for its answer
POLL_S = 2.0  # s a poll does
RETRY_S = 1.0  # s between tries at the least
RETRY_MOST_S = 30.0  # s of `Retry-After` that are obeyed
GIVE_UP_S = 60.0  # s of tries in total


class Refused(Exception):
    """The service said no for good: 400, 404 or 422, with its reason."""

    def __init__(self, code: int, why: str) -> None:
        super().__init__(why or f"status {code}")
        self.code = code


class GaveUp(Exception):
    """No node answered within the time that a user tries."""


Told = Callable[[str, str, int, str], None]  # what was asked, job, code (0: none), state


class Client:
    """Talks to one of several nodes, the next one after a failure, as a balancer would."""

    def __init__(
        self,
        session: aiohttp.ClientSession,
        nodes: list[str],
        told: Told = lambda to, job, code, state: None,
    ) -> None:
        self.session, self.nodes, self.told = session, list(nodes), told
        self.at = 0

    async def _ask(
        self, method: str, path: str, body: bytes | None, within_s: float
    ) -> tuple[int, bytes, float]:
        """Status (0: none), body and the pause that was asked for, in s."""
        node = self.nodes[self.at % len(self.nodes)]
        try:
            async with self.session.request(
                method,
                f"http://{node}{path}",
                data=body,
                timeout=aiohttp.ClientTimeout(total=within_s, sock_connect=0.5),
                allow_redirects=False,
            ) as response:
                answer = await response.read()
                pause = response.headers.get("Retry-After", "")
                asked = float(pause) if pause.isdigit() else 0.0
                if response.status >= 500 or response.status == 429:
                    self.at += 1
                return response.status, answer, min(asked, RETRY_MOST_S)
        except (aiohttp.ClientError, TimeoutError, OSError):
            self.at += 1
            return 0, b"", 0.0

    async def _until_answered(
        self, to: str, job: str, path: str, body: bytes, good: tuple[int, ...]
    ) -> dict[str, Any]:
        began = time.monotonic()
        while True:
            code, answer, pause = await self._ask("POST", path, body, ANSWER_S)
            state = far.read_job(answer)["status"] if code in good else ""
            self.told(to, job, code, state)
            if code in good:
                return far.read_job(answer)
            if code in (400, 404, 413, 422):
                raise Refused(code, far.read_error(answer))
            if time.monotonic() - began + RETRY_S > GIVE_UP_S:
                raise GaveUp(f"{to} {job}: no answer in {GIVE_UP_S:g} s; is a controller up?")
            await asyncio.sleep(max(RETRY_S, pause))

    async def submit(self, spec: Spec) -> dict[str, Any]:
        """Submit until accepted; `id` and `status`. Raises Refused or GaveUp."""
        body = far.work_body(spec)
        return await self._until_answered("submit", spec.id, wire.WORK, body, (200, 201))

    async def cancel(self, job: str) -> dict[str, Any]:
        """Cancel until answered; `status` is `cancelled`, or `done` if it was done already."""
        path = f"{wire.WORK}/{job}{wire.ABORT}"
        return await self._until_answered("cancel", job, path, wire.pack({}), (200,))

    async def poll(self, job: str) -> dict[str, Any] | None:
        """One poll: the state, or None if no answer came. Raises Refused for an unknown job."""
        code, answer, _ = await self._ask("GET", f"{wire.WORK}/{job}", None, POLL_S)
        found = far.read_job(answer) if code == 200 else None
        self.told("poll", job, code, found["status"] if found else "")
        if code == 404:
            raise Refused(404, f"{job} was never submitted")
        return found
