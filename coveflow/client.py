"""A client for users: submit, poll and cancel, with the retries that the protocol specifies."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from typing import Any

import aiohttp

from coveflow import wire
from coveflow.core.model import Spec
from coveflow.wire import remote

ANSWER_S = 5.0  # s; timeout of a submission or cancellation
POLL_S = 2.0  # s; timeout of a poll
RETRY_S = 1.0  # s; minimum pause between attempts
RETRY_MAX_S = 30.0  # s; a longer `Retry-After` is lowered to this
GIVE_UP_S = 60.0  # s after which no further attempt is made


class RequestRejected(Exception):
    """The service rejected the request for good (400, 404, 413 or 422); the text is its reason."""

    def __init__(self, code: int, reason: str) -> None:
        super().__init__(reason or f"status {code}")
        self.code = code


class RetriesExhausted(Exception):
    """No node answered in time."""


# Arguments: operation, job, status code (0: no answer), job status.
AttemptCallback = Callable[[str, str, int, str], None]


class Client:
    """Sends requests to one of several nodes and to the next one after a failure, as a
    load balancer would.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        nodes: list[str],
        on_attempt: AttemptCallback = lambda operation, job, code, state: None,
    ) -> None:
        self.session, self.nodes, self.on_attempt = session, list(nodes), on_attempt
        self.node_index = 0

    async def _request(
        self, method: str, path: str, body: bytes | None, timeout_s: float
    ) -> tuple[int, bytes, float]:
        """Send a request once. Status code (0: no answer), body and `Retry-After` in s."""
        node = self.nodes[self.node_index % len(self.nodes)]
        try:
            async with self.session.request(
                method,
                f"http://{node}{path}",
                data=body,
                timeout=aiohttp.ClientTimeout(total=timeout_s, sock_connect=0.5),
                allow_redirects=False,
            ) as response:
                answer = await response.read()
                pause = response.headers.get("Retry-After", "")
                retry_after_s = float(pause) if pause.isdigit() else 0.0
                if response.status >= 500 or response.status == 429:
                    self.node_index += 1
                return response.status, answer, min(retry_after_s, RETRY_MAX_S)
        except (aiohttp.ClientError, TimeoutError, OSError):
            self.node_index += 1
            return 0, b"", 0.0

    async def _request_until_answered(
        self, operation: str, job: str, path: str, body: bytes, accepted: tuple[int, ...]
    ) -> dict[str, Any]:
        started_at = time.monotonic()
        while True:
            code, answer, pause = await self._request("POST", path, body, ANSWER_S)
            state = remote.read_job(answer)["status"] if code in accepted else ""
            self.on_attempt(operation, job, code, state)
            if code in accepted:
                return remote.read_job(answer)
            if code in (400, 404, 413, 422):
                raise RequestRejected(code, remote.read_error(answer))
            if time.monotonic() - started_at + RETRY_S > GIVE_UP_S:
                raise RetriesExhausted(
                    f"{operation} {job}: no answer in {GIVE_UP_S:g} s; is a controller up?"
                )
            await asyncio.sleep(max(RETRY_S, pause))

    async def submit(self, spec: Spec) -> dict[str, Any]:
        """Submit until accepted; `id` and `status`. Raises RequestRejected or RetriesExhausted."""
        body = remote.submission_body(spec)
        return await self._request_until_answered(
            "submit", spec.id, wire.WORK_PATH, body, (200, 201)
        )

    async def cancel(self, job: str) -> dict[str, Any]:
        """Cancel until answered; `status` is `cancelled`, or `done` if the job had completed."""
        path = f"{wire.WORK_PATH}/{job}{wire.ABORT_PATH}"
        return await self._request_until_answered("cancel", job, path, wire.pack({}), (200,))

    async def poll(self, job: str) -> dict[str, Any] | None:
        """Poll once: the job's state, or None without an answer.

        Raises RequestRejected for an unknown job.
        """
        code, answer, _ = await self._request("GET", f"{wire.WORK_PATH}/{job}", None, POLL_S)
        result = remote.read_job(answer) if code == 200 else None
        self.on_attempt("poll", job, code, result["status"] if result else "")
        if code == 404:
            raise RequestRejected(404, f"{job} was never submitted")
        return result
