"""Operators' API on the cluster address: reading the trace, held tasks and draining machines."""

from __future__ import annotations

import asyncio
from typing import Any

import msgspec

from coveflow import wire
from coveflow.daemon.commands import DrainRequest, HeldTasksDecision
from coveflow.daemon.owner import Owner

TRACE, HELD, RELEASE, DRAIN = "/trace", "/held", "/release", "/drain"
OPERATOR_PATHS = frozenset({TRACE, HELD, RELEASE, DRAIN})
COMMIT_TIMEOUT_S = 5.0  # s an operator's command waits for its commit before it counts as unsure
MAX_TRACE_EVENTS = 2_000  # events in one answer


class _TraceQuery(msgspec.Struct):
    """A recorder's query; without `epoch`, it reads the newest leadership term of this node."""

    epoch: int | None = None
    after: int = 0
    most: int = MAX_TRACE_EVENTS


class _ReleaseRequest(msgspec.Struct):
    job: str
    again: bool
    tasks: list[int] | None = None


class _DrainRequest(msgspec.Struct):
    machine: str
    on: bool


class OperatorApi:
    """Handles operators' requests; commands are carried out by the owner."""

    def __init__(self, owner: Owner) -> None:
        self.owner = owner

    async def handle(self, path: str, body: bytes) -> tuple[int, bytes]:
        """Status and body. 421 names the leader if only the leader can answer."""
        try:
            payload = wire.unpack(body)
            if path == TRACE:
                return self._trace(msgspec.convert(payload, _TraceQuery))
            if not self.owner.leading:
                return 421, wire.redirect_answer(self.owner.inbox.view.leader)
            if path == HELD:
                return 200, wire.pack({"held": self._held_tasks()})
            reply = asyncio.get_running_loop().create_future()
            if path == DRAIN:
                drain = msgspec.convert(payload, _DrainRequest)
                return await self._submit_command(DrainRequest(drain.machine, drain.on, reply))
            release = msgspec.convert(payload, _ReleaseRequest)
            return await self._submit_command(
                HeldTasksDecision(release.job, release.tasks, release.again, reply)
            )
        except (wire.Malformed, msgspec.ValidationError) as error:
            return 400, wire.error_answer(str(error))

    def _trace(self, query: _TraceQuery) -> tuple[int, bytes]:
        trace = self.owner.context.trace
        if trace is None:
            return 404, wire.error_answer(
                "tracing is disabled; set (trace EVENTS) in the operators' file"
            )
        answer = trace.read(query.epoch, query.after, min(max(query.most, 1), MAX_TRACE_EVENTS))
        view = self.owner.inbox.view
        return 200, wire.pack(
            answer | {"leader": view.leader, "leading": self.owner.leading, "view": view.epoch}
        )

    def _held_tasks(self) -> list[dict[str, Any]]:
        return [
            {
                "job": job.id,
                "class": job.spec.workload,
                "held": sorted(job.held),
                "given_up": sorted(job.given_up),
                "done": len(job.done),
                "tasks": job.spec.tasks,
            }
            for job in self.owner.state.jobs.values()
            if job.held or job.given_up
        ]

    async def _submit_command(self, command: HeldTasksDecision | DrainRequest) -> tuple[int, bytes]:
        """The owner's answer to an operator's command, given after its commit."""
        self.owner.put(command)
        try:
            answer = await asyncio.wait_for(command.reply, COMMIT_TIMEOUT_S)
        except TimeoutError:
            answer = None
        if answer is None:
            return 503, wire.error_answer(
                "unknown whether the command was committed; check, then repeat it"
            )
        return (404 if "error" in answer else 200), wire.pack(answer)
