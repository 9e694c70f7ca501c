"""A client of the task execution API: submit, get, list and cancel on any of several nodes."""

from __future__ import annotations

import asyncio
import time
from collections.abc import AsyncIterator
from typing import Any

import aiohttp

from coveflow.client import GaveUp, Refused

BASE = "/ga4gh/tes/v1"
ANSWER_S = 6.0  # s an answer is waited for
RETRY_S = 0.5  # s between tries at the least
GIVE_UP_S = 60.0  # s of tries in total
FINAL = frozenset({"COMPLETE", "EXECUTOR_ERROR", "SYSTEM_ERROR", "CANCELED"})


class TaskClient:
    """`urls` are the nodes' (http://host:port); the next one is asked after a failure."""

    def __init__(self, session: aiohttp.ClientSession, urls: list[str], token: str) -> None:
        self.session, self.urls, self.token = session, list(urls), token
        self.at = 0

    async def once(
        self, method: str, path: str, node: int, *, body: Any = None,
        query: list[tuple[str, str]] | None = None, key: str | None = None,
    ) -> tuple[int, Any, float]:  # fmt: skip
        """One try at one node: status (0: no answer), JSON and the pause asked for, in s."""
        headers = {"Authorization": f"Bearer {self.token}"}
        if key is not None:
            headers["Idempotency-Key"] = key
        try:
            async with self.session.request(
                method, self.urls[node % len(self.urls)] + BASE + path, json=body, params=query,
                headers=headers, timeout=aiohttp.ClientTimeout(total=ANSWER_S, sock_connect=0.8),
            ) as response:  # fmt: skip
                pause = response.headers.get("Retry-After", "")
                found = await response.json(content_type=None)
                return response.status, found, float(pause) if pause.isdigit() else 0.0
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError):
            return 0, None, 0.0

    async def ask(self, method: str, path: str, **more: Any) -> Any:
        """Until answered. Raises Refused with the service's sentence, or GaveUp."""
        began = time.monotonic()
        while True:
            status, found, pause = await self.once(method, path, self.at, **more)
            if status == 200:
                return found
            if status and status not in (408, 429, 503):
                text = found.get("message", "") if isinstance(found, dict) else ""
                raise Refused(status, text)
            if status != 429:
                self.at += 1
            if time.monotonic() - began > GIVE_UP_S:
                raise GaveUp(f"{method} {path}: no answer in {GIVE_UP_S:g} s; is a node up?")
            await asyncio.sleep(max(RETRY_S, pause))

    async def submit(self, task: dict[str, Any], key: str) -> str:
        """Submit until accepted; its id. The key makes retries the same task."""
        return (await self.ask("POST", "/tasks", body=task, key=key))["id"]

    async def get(self, task: str, view: str = "MINIMAL") -> dict[str, Any]:
        return await self.ask("GET", f"/tasks/{task}", query=[("view", view)])

    async def cancel(self, task: str) -> None:
        await self.ask("POST", f"/tasks/{task}:cancel", body={})

    async def list(
        self, query: list[tuple[str, str]], page_size: int = 256
    ) -> AsyncIterator[dict[str, Any]]:
        """All tasks that the filters let through, newest first, page by page."""
        token = ""
        while True:
            more = [("page_token", token)] if token else []
            found = await self.ask(
                "GET", "/tasks", query=[*query, ("page_size", str(page_size)), *more]
            )
            for task in found["tasks"]:
                yield task
            token = found.get("next_page_token", "")
            if not token:
                return

    async def wait(self, task: str, every_s: float = 1.0) -> str:
        """Its final state."""
        while True:
            state = (await self.get(task))["state"]
            if state in FINAL:
                return state
            await asyncio.sleep(every_s)
