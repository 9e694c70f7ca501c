"""What operators and their tools ask on the cluster address: the trace, and held tasks."""

from __future__ import annotations

import asyncio
from typing import Any

import msgspec

from coveflow import wire
from coveflow.daemon.commands import Drain, Release
from coveflow.daemon.owner import Owner

TRACE, HELD, RELEASE, DRAIN = "/trace", "/held", "/release", "/drain"
PATHS = frozenset({TRACE, HELD, RELEASE, DRAIN})
RELEASE_S = 5.0  # s an operator's word waits for its commit before it is called unsure
TRACE_MOST = 2_000  # events in one answer


class _Ask(msgspec.Struct):
    """What a recorder asks for; `epoch` None: the newest lead of this node."""

    epoch: int | None = None
    after: int = 0
    most: int = TRACE_MOST


class _Word(msgspec.Struct):
    job: str
    again: bool
    tasks: list[int] | None = None


class _Drain(msgspec.Struct):
    machine: str
    on: bool


class Operators:
    def __init__(self, owner: Owner) -> None:
        self.owner = owner

    async def handle(self, path: str, body: bytes) -> tuple[int, bytes]:
        """Status and answer. 421 names the leader where only it can answer."""
        try:
            asked = wire.unpack(body)
            if path == TRACE:
                return self._trace(msgspec.convert(asked, _Ask))
            if not self.owner.leading:
                return 421, wire.redirect_answer(self.owner.inbox.view.leader)
            if path == HELD:
                return 200, wire.pack({"held": self._held()})
            reply = asyncio.get_running_loop().create_future()
            if path == DRAIN:
                order = msgspec.convert(asked, _Drain)
                return await self._told(Drain(order.machine, order.on, reply))
            word = msgspec.convert(asked, _Word)
            return await self._told(Release(word.job, word.tasks, word.again, reply))
        except (wire.Malformed, msgspec.ValidationError) as error:
            return 400, wire.error(str(error))

    def _trace(self, ask: _Ask) -> tuple[int, bytes]:
        trace = self.owner.around.trace
        if trace is None:
            return 404, wire.error("no trace is kept; set (trace EVENTS) in the operators' file")
        answer = trace.read(ask.epoch, ask.after, min(max(ask.most, 1), TRACE_MOST))
        view = self.owner.inbox.view
        return 200, wire.pack(
            answer | {"leader": view.leader, "leading": self.owner.leading, "view": view.epoch}
        )

    def _held(self) -> list[dict[str, Any]]:
        return [
            {
                "job": job.id,
                "class": job.spec.workload,
                "held": sorted(job.held),
                "given_up": sorted(job.given_up),
                "done": len(job.done),
                "tasks": job.spec.tasks,
            }
            for job in self.owner.book.jobs.values()
            if job.held or job.given_up
        ]

    async def _told(self, command: Release | Drain) -> tuple[int, bytes]:
        """The owner's answer to an operator's word, which it gives after the commit."""
        self.owner.put(command)
        try:
            answer = await asyncio.wait_for(command.reply, RELEASE_S)
        except TimeoutError:
            answer = None
        if answer is None:
            return 503, wire.error("not known whether it counted; look, and say it again")
        return (404 if "error" in answer else 200), wire.pack(answer)
