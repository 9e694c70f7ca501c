"""Creates the task API and attaches it to a controller node."""

from __future__ import annotations

import asyncio
import functools
from collections.abc import Awaitable, Callable
from pathlib import Path

import msgspec
from aiohttp import web

from coveflow import forms, wire
from coveflow.daemon.node import Node
from coveflow.daemon.user_api import read_body
from coveflow.logs import Log
from coveflow.net.http import Unavailable
from coveflow.settings import SettingsError, Tes, parse_address
from coveflow.tes import models
from coveflow.tes.access import Authenticator
from coveflow.tes.collector import Collector
from coveflow.tes.http import Listener
from coveflow.tes.ledger import Busy, Ledger
from coveflow.tes.models import RequestError
from coveflow.tes.service import NotFound, Service
from coveflow.wire import runner

log = Log("coveflow.tes")

RESTART_DELAY_S = 2.0  # s before a failed background loop is restarted


def listen_address(tes: Tes, name: str, front: str) -> str:
    """Return the address to listen on. Raises SettingsError if none is configured."""
    found = tes.listen.get(name)
    if found is None and tes.port:
        found = f"{parse_address(front)[0]}:{tes.port}"
    if found is None:
        raise SettingsError(f"tes: listen names no address for {name}, and there is no port")
    return found


def attach(node: Node, tes: Tes, home: Path) -> Listener:
    """Attach the task API to this controller; paths in the settings are relative to `home`.

    Raises SettingsError for files that are missing or invalid.
    """
    settings = node.settings
    ledger = Ledger(settings, tes, node.store, node.clock, node.wall)
    service = Service(
        settings, tes, node.owner, node.store, node.user_api.jobs, ledger, node.clock, node.wall
    )
    try:
        access = Authenticator(home / tes.tokens if tes.tokens else None, node.clock)
    except (OSError, UnicodeDecodeError) as error:
        why = getattr(error, "strerror", None) or error
        raise SettingsError(f"tes: tokens in {home / tes.tokens}: {why}") from error
    except forms.FormError as error:
        raise SettingsError(str(error)) from error
    listener = Listener(
        tes, service, access, listen_address(tes, settings.name, settings.front), home
    )
    listener.load_certificate()
    collector = Collector(
        ledger, node.store, node.owner, settings.params.state.max_txn_ops, tes.retention_h * 3600.0,
        node.wall,
    )  # fmt: skip
    node.owner.context.final_record_rows = ledger.end_record_rows
    runner_requests = RunnerRequests(service)
    node.user_api.extra_handlers[runner.TASK_PATH] = runner_requests.task
    node.user_api.extra_handlers[runner.RESULT_PATH] = runner_requests.result
    for loop in (ledger.run, listener.run, access.follow_file, collector.run):
        node.loops.append(functools.partial(_restart_on_failure, loop))
    return listener


async def _restart_on_failure(loop: Callable[[], Awaitable[None]]) -> None:
    """Restart a loop that failed: a fault in the task API must not stop the controller."""
    while True:
        try:
            await loop()
            return
        except Exception:
            log.exception("a background loop of the task API failed; restarting it")
        await asyncio.sleep(RESTART_DELAY_S)


class RunnerRequests:
    """Handles requests of machines that run tasks: fetch a task, report its result."""

    def __init__(self, service: Service) -> None:
        self.service = service

    async def task(self, request: web.BaseRequest) -> web.StreamResponse:
        job = request.path[len(runner.TASK_PATH) :]
        if request.method != "GET" or not wire.JOB_ID.fullmatch(job):
            return web.Response(status=404)
        try:
            found = await self.service.description(job)
        except (Busy, Unavailable):
            return web.Response(status=503, headers={"Retry-After": "1"})
        except NotFound:
            found = None
        return web.Response(status=404) if found is None else _cbor(runner.task_body(found))

    async def result(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.method != "POST":
            return web.Response(status=404)
        try:
            result = runner.read_result(await read_body(request))
            msgspec.json.decode(result.log, type=models.TaskLog)
            kept = await self.service.record_result(result)
        except (wire.Malformed, msgspec.DecodeError, RequestError) as error:
            return _cbor(wire.error_answer(str(error)), 400)
        except (Busy, Unavailable) as error:
            log.debug("task result not recorded yet", why=error)
            return web.Response(status=503, headers={"Retry-After": "1"})
        return _cbor(wire.pack({"kept": kept}), 410 if kept == "over" else 200)


def _cbor(body: bytes, status: int = 200) -> web.Response:
    return web.Response(status=status, body=body, content_type="application/cbor")
