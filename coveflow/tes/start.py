"""The interface put together and hung into a controller that wants it."""

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
from coveflow.tes.access import Access
from coveflow.tes.collector import Collector
from coveflow.tes.http import Listener
from coveflow.tes.ledger import Busy, Ledger
from coveflow.tes.models import Refused
from coveflow.tes.service import NotFound, Service
from coveflow.wire import runner

log = Log("coveflow.tes")

AGAIN_S = 2.0  # s until a part that failed begins again


def where(tes: Tes, name: str, front: str) -> str:
    """The address this controller listens on. Raises SettingsError where none is said."""
    found = tes.listen.get(name)
    if found is None and tes.port:
        found = f"{parse_address(front)[0]}:{tes.port}"
    if found is None:
        raise SettingsError(f"tes: listen names no address for {name}, and there is no port")
    return found


def attach(node: Node, tes: Tes, home: Path) -> Listener:
    """Serve tasks from this controller; `home` is where the operators' file is.

    Raises SettingsError for files that are missing or wrong.
    """
    settings = node.settings
    ledger = Ledger(settings, tes, node.store, node.clock, node.wall)
    service = Service(
        settings, tes, node.owner, node.store, node.user_api.jobs, ledger, node.clock, node.wall
    )
    try:
        access = Access(home / tes.tokens if tes.tokens else None, node.clock)
    except (OSError, UnicodeDecodeError) as error:
        why = getattr(error, "strerror", None) or error
        raise SettingsError(f"tes: tokens in {home / tes.tokens}: {why}") from error
    except forms.FormError as error:
        raise SettingsError(str(error)) from error
    listener = Listener(tes, service, access, where(tes, settings.name, settings.front), home)
    listener.load_certificate()
    collector = Collector(
        ledger, node.store, node.owner, settings.params.state.txn_ops, tes.retention_h * 3600.0,
        node.wall,
    )  # fmt: skip
    node.owner.context.final_record_rows = ledger.finals
    machines = Machines(service)
    node.user_api.extra_handlers[runner.TASK_PATH] = machines.task
    node.user_api.extra_handlers[runner.RESULT_PATH] = machines.told
    for loop in (ledger.run, listener.run, access.follow, collector.run):
        node.loops.append(functools.partial(_kept_up, loop))
    return listener


async def _kept_up(loop: Callable[[], Awaitable[None]]) -> None:
    """Begin again what failed: a fault in this interface must not end the controller."""
    while True:
        try:
            await loop()
            return
        except Exception:
            log.exception("a part of the task interface failed; it begins again")
        await asyncio.sleep(AGAIN_S)


class Machines:
    """What machines that run task documents ask and tell."""

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

    async def told(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.method != "POST":
            return web.Response(status=404)
        try:
            told = runner.read_result(await read_body(request))
            msgspec.json.decode(told.log, type=models.TaskLog)
            kept = await self.service.told(told)
        except (wire.Malformed, msgspec.DecodeError, Refused) as error:
            return _cbor(wire.error_answer(str(error)), 400)
        except (Busy, Unavailable) as error:
            log.debug("a task's word not kept yet", why=error)
            return web.Response(status=503, headers={"Retry-After": "1"})
        return _cbor(wire.pack({"kept": kept}), 410 if kept == "over" else 200)


def _cbor(body: bytes, status: int = 200) -> web.Response:
    return web.Response(status=status, body=body, content_type="application/cbor")
