"""HTTP API for users: paths, status codes and limits, and the node's health endpoint."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from aiohttp import web

from coveflow import constants as c
from coveflow import wire
from coveflow.core.feasibility import Infeasible, infeasible
from coveflow.core.model import Spec
from coveflow.daemon import owner as o
from coveflow.daemon.submissions import TooManySubmissions
from coveflow.daemon.user_jobs import Created, JobStatus, Refused, UserJobs
from coveflow.logs import Log
from coveflow.membership.peers import Peers
from coveflow.net.http import Unavailable
from coveflow.settings import Settings
from coveflow.state.store import Store

log = Log("coveflow.front")

RETRY_AFTER_1S = {"Retry-After": "1"}
Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


class UserApi:
    """Serves user requests; worker reports and other interfaces' paths go to their own handlers."""

    def __init__(
        self,
        settings: Settings,
        owner: o.Owner,
        store: Store,
        peers: Peers,
        clock: Callable[[], float],
        wall: Callable[[], float],
        handle_report: Callable[[bytes], Awaitable[web.StreamResponse]],
    ) -> None:
        self.settings, self.owner, self.store, self.peers = settings, owner, store, peers
        self.clock, self.handle_report = clock, handle_report
        self.teams = {team.name: team for team in settings.params.teams}
        self.jobs = UserJobs(
            owner, store, settings.params.state.max_txn_ops, clock, wall,
            lambda spec: self.refusal(spec),
        )  # fmt: skip
        # Handlers of other interfaces by path prefix.
        self.extra_handlers: dict[str, Handler] = {}

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Route one request; unavailability becomes a status that tells the client to retry."""
        try:
            return await self._route(request)
        except TooLarge:
            return web.Response(status=413, headers={"Connection": "close"})
        except TooManySubmissions as error:
            return web.Response(status=429, headers={"Retry-After": str(error.after_s)})
        except Unavailable as error:
            log.debug(
                "request failed; client should retry",
                method=request.method,
                path=request.path,
                why=error,
            )
            return web.Response(status=503, headers=RETRY_AFTER_1S)

    async def _route(self, request: web.BaseRequest) -> web.StreamResponse:
        path, method = request.path, request.method
        if path == wire.REPORT_PATH and method == "POST":
            return await self.handle_report(await read_body(request))
        if path == wire.HEALTH_PATH and method == "GET":
            return web.Response(status=200 if self.healthy() else 503)
        if path == wire.WORK_PATH and method == "POST":
            return await self.submit(await read_body(request))
        if path.startswith(wire.WORK_PATH + "/"):
            rest = path[len(wire.WORK_PATH) + 1 :]
            if method == "GET" and wire.JOB_ID.fullmatch(rest):
                return await self.poll(rest)
            name = rest.removesuffix(wire.ABORT_PATH)
            if method == "POST" and rest != name and wire.JOB_ID.fullmatch(name):
                await read_body(request)
                return await self.abort(name)
        for prefix, serve in self.extra_handlers.items():
            if path.startswith(prefix):
                return await serve(request)
        return cbor_response(404, wire.error_answer("no such path or job"))

    def healthy(self) -> bool:
        """Whether users should use this node; a store outage seen by all makes none unhealthy."""
        if not self.owner.inbox.flavors:
            return False
        stale = self.clock() - self.store.contact_at > c.STORE_CONTACT_STALE_S
        # A node that lost its peers as well cannot answer either: reporting healthy would keep its
        # users on it for the whole partition.
        return not (stale and (self.peers.peer_reaches_store() or self.peers.all_silent()))

    # --- submissions, polls and cancellations ---------------------------------------------

    async def submit(self, body: bytes) -> web.StreamResponse:
        try:
            spec = wire.read_submission(body)
        except wire.Malformed as error:
            name = wire.read_submission_id(body)
            # An accepted job must never get 400, whatever a repeated submission contains.
            known = await self.jobs.status(name) if name else None
            return (
                job_response(known) if known else cbor_response(400, wire.error_answer(str(error)))
            )
        match await self.jobs.submit(spec):
            case Created(job):
                return cbor_response(201, wire.job_answer(job, "queued"))
            case Refused(reason):
                return cbor_response(422, wire.error_answer(reason))
            case JobStatus() as known:
                return job_response(known)

    def refusal(self, spec: Spec) -> Infeasible | None:
        """Why the job can never run; None if it can."""
        return infeasible(spec, self.teams.get(spec.team), self.owner.inbox.flavors.values())

    async def poll(self, name: str) -> web.StreamResponse:
        try:
            async with asyncio.timeout(c.POLL_STORE_TIMEOUT_S):
                return job_response(await self.jobs.status(name))
        except TimeoutError as error:
            raise Unavailable("the state service is slow") from error

    async def abort(self, name: str) -> web.StreamResponse:
        return job_response(await self.jobs.request_cancel(name))


class TooLarge(Exception):
    """The request body exceeds the size limit."""


async def read_body(request: web.BaseRequest) -> bytes:
    if (request.content_length or 0) > c.MAX_BODY:
        raise TooLarge
    body = bytearray()
    async for chunk in request.content.iter_any():
        body += chunk
        if len(body) > c.MAX_BODY:
            raise TooLarge
    return bytes(body)


def cbor_response(status: int, body: bytes) -> web.Response:
    return web.Response(status=status, body=body, content_type="application/cbor")


def job_response(known: JobStatus | None) -> web.Response:
    """200 with the job's state, or 404 if there is no such job."""
    if known is None:
        return cbor_response(404, wire.error_answer("no such job"))
    return cbor_response(200, wire.job_answer(known.job, known.status, known.done, known.running))
