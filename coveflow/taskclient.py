"""A client of the task execution API: submit, get, list and cancel on any of several nodes."""

from __future__ import annotations

import asyncio
import time
from collections.abc import AsyncIterator
from typing import Any

import aiohttp

from coveflow.client import RequestRejected, RetriesExhausted

BASE = "/ga4gh/tes/v1"
ANSWER_S = 6.0  # s; timeout of a request
RETRY_S = 0.5  # s; minimum pause between attempts
GIVE_UP_S = 60.0  # s after which no further attempt is made
FINAL = frozenset({"COMPLETE", "EXECUTOR_ERROR", "SYSTEM_ERROR", "CANCELED"})


class TaskClient:
    """Sends requests to one of the nodes (`urls`, http://host:port), the next after a failure."""

    def __init__(self, session: aiohttp.ClientSession, urls: list[str], token: str) -> None:
        self.session, self.urls, self.token = session, list(urls), token
        self.node_index = 0

    async def request_once(
        self, method: str, path: str, node: int, *, body: Any = None,
        query: list[tuple[str, str]] | None = None, key: str | None = None,
    ) -> tuple[int, Any, float]:  # fmt: skip
        """Send a request once to one node: status (0: no answer), JSON and `Retry-After` in s."""
        headers = {"Authorization": f"Bearer {self.token}"}
        if key is not None:
            headers["Idempotency-Key"] = key
        try:
            async with self.session.request(
                method, self.urls[node % len(self.urls)] + BASE + path, json=body, params=query,
                headers=headers, timeout=aiohttp.ClientTimeout(total=ANSWER_S, sock_connect=0.8),
            ) as response:  # fmt: skip
                pause = response.headers.get("Retry-After", "")
                answer = await response.json(content_type=None)
                return response.status, answer, float(pause) if pause.isdigit() else 0.0
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError):
            return 0, None, 0.0

    async def request(self, method: str, path: str, **more: Any) -> Any:
        """Send a request until it is answered.

        Raises RequestRejected with the service's message, or RetriesExhausted.
        """
        started_at = time.monotonic()
        while True:
            status, answer, pause = await self.request_once(method, path, self.node_index, **more)
            if status == 200:
                return answer
            if status and status not in (408, 429, 503):
                text = answer.get("message", "") if isinstance(answer, dict) else ""
                raise RequestRejected(status, text)
            if status != 429:
                self.node_index += 1
            if time.monotonic() - started_at > GIVE_UP_S:
                raise RetriesExhausted(
                    f"{method} {path}: no answer in {GIVE_UP_S:g} s; is a node up?"
                )
            await asyncio.sleep(max(RETRY_S, pause))

    async def submit(self, task: dict[str, Any], key: str) -> str:
        """Submit until accepted; the task's id. The idempotency key identifies retries."""
        return (await self.request("POST", "/tasks", body=task, key=key))["id"]

    async def get(self, task: str, view: str = "MINIMAL") -> dict[str, Any]:
        return await self.request("GET", f"/tasks/{task}", query=[("view", view)])

    async def cancel(self, task: str) -> None:
        await self.request("POST", f"/tasks/{task}:cancel", body={})

    async def list(
        self, query: list[tuple[str, str]], page_size: int = 256
    ) -> AsyncIterator[dict[str, Any]]:
        """All tasks that match the filters, newest first, page by page."""
        token = ""
        while True:
            page_query = [("page_token", token)] if token else []
            page = await self.request(
                "GET", "/tasks", query=[*query, ("page_size", str(page_size)), *page_query]
            )
            for task in page["tasks"]:
                yield task
            token = page.get("next_page_token", "")
            if not token:
                return

    async def wait(self, task: str, every_s: float = 1.0) -> str:
        """Poll until the task reaches a final state, and return it."""
        while True:
            state = (await self.get(task))["state"]
            if state in FINAL:
                return state
            await asyncio.sleep(every_s)
