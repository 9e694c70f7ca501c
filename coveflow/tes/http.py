"""The JSON listener: routes, limits on size, time and connections, TLS, errors as sentences."""

from __future__ import annotations

import asyncio
import math
import re
from pathlib import Path
from typing import TYPE_CHECKING, Any

import msgspec
from aiohttp import web
from aiohttp.web_protocol import RequestHandler

from coveflow import wire
from coveflow.logs import Log
from coveflow.net.http import Unavailable
from coveflow.settings import SettingsError, Tes, parse_address
from coveflow.tes import models, openapi
from coveflow.tes.access import Access, Client, Denied
from coveflow.tes.documents import Damaged
from coveflow.tes.ledger import Busy
from coveflow.tes.models import Refused, State, View
from coveflow.tes.service import PAGE_MOST, NotFound, Query, Service

if TYPE_CHECKING:
    import ssl

log = Log("coveflow.tes")

BASE = "/ga4gh/tes/v1"
TASK = re.compile(re.escape(BASE) + r"/tasks/([^/:]+)(:cancel)?")
HEAD_BYTES = 8 * 1024  # of a request's line, and of a header's field
HEADERS_MOST = 64  # fields of a request's head
SWEEP_S = 0.5  # s between looks for connections that are too slow
CERTIFICATE_S = 2.0  # s between looks whether the certificate's files changed
TEXT_BYTES = 1_000  # of a query's value that an error repeats
LISTING = ("name_prefix", "state", "tag_key", "tag_value", "page_size", "page_token", "view")


class Wrong(Exception):
    """The request is refused before it means anything: status, sentence, more headers."""

    def __init__(self, status: int, text: str, **headers: str) -> None:
        super().__init__(text)
        self.status, self.headers = status, {k.replace("_", "-"): v for k, v in headers.items()}


class _Full(asyncio.Protocol):
    """Told to a connection beyond the limit, at once."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        body = msgspec.json.encode(models.Fault(503, "too many connections; come back"))
        assert isinstance(transport, asyncio.Transport)
        transport.write(
            b"HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json\r\n"
            b"Retry-After: 1\r\nConnection: close\r\nContent-Length: %d\r\n\r\n" % len(body) + body
        )
        transport.close()


class Listener:
    def __init__(self, tes: Tes, service: Service, access: Access, where: str, home: Path) -> None:
        self.tes, self.service, self.access, self.where = tes, service, access, where
        self.files = (home / tes.certificate, home / tes.key) if tes.certificate else None
        self.body_most = int(tes.body_kb * 1024)
        self.context: ssl.SSLContext | None = None
        # Connections: when each last had nothing asked of us; those being answered are not in it.
        self.idle: dict[RequestHandler, float] = {}
        self.busy: set[RequestHandler] = set()

    # --- listening -----------------------------------------------------------------------

    def load_certificate(self) -> None:
        """Raises SettingsError naming the files."""
        if self.files is None:
            host, _ = parse_address(self.where)
            if not self.tes.plain and not (host.startswith("127.") or host == "localhost"):
                raise SettingsError(
                    f"tes: {self.where} is not loopback; give (certificate FILE) and (key FILE),"
                    " or say (plain yes)"
                )
            return
        try:
            import ssl
        except ImportError as error:
            raise SettingsError(
                "tes: a certificate is given but TLS is not loaded; start with --tls"
            ) from error
        try:
            if self.context is None:
                context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
                context.minimum_version = ssl.TLSVersion.TLSv1_2
                context.load_cert_chain(*self.files)
                self.context = context
            else:
                # Connections from here on get the new one.
                self.context.load_cert_chain(*self.files)
        except (OSError, ssl.SSLError) as error:
            names = " and ".join(map(str, self.files))
            raise SettingsError(f"tes: certificate and key in {names}: {error}") from error

    async def run(self) -> None:
        self.load_certificate()
        server = web.Server(
            self.handle, access_log=None, max_line_size=HEAD_BYTES, max_field_size=HEAD_BYTES,
            max_headers=HEADERS_MOST, keepalive_timeout=self.tes.slow_s, auto_decompress=False,
        )  # fmt: skip

        def connected() -> asyncio.Protocol:
            return _Full() if len(server.connections) >= self.tes.connections else server()

        loop = asyncio.get_running_loop()
        host, port = parse_address(self.where)
        tls: dict[str, Any] = {}
        if self.context is not None:
            tls = {"ssl": self.context, "ssl_handshake_timeout": self.tes.slow_s}
        listening = await loop.create_server(connected, host, port, reuse_address=True, **tls)
        log.info("serving tasks", at=self.where, tls=self.context is not None)
        try:
            await asyncio.gather(self._sweep(server), self._follow_certificate())
        finally:
            listening.close()
            await server.shutdown(1.0)

    async def _sweep(self, server: web.Server) -> None:
        """Close connections that send nothing, or a request's head byte by byte."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(SWEEP_S)
            now = loop.time()
            there = set(server.connections)
            self.idle = {p: at for p, at in self.idle.items() if p in there}
            for protocol in there - self.busy:
                if now - self.idle.setdefault(protocol, now) <= self.tes.slow_s:
                    continue
                del self.idle[protocol]
                if protocol.transport is not None:
                    protocol.transport.write(
                        b"HTTP/1.1 408 Request Timeout\r\nConnection: close\r\n"
                        b"Content-Length: 0\r\n\r\n"
                    )
                    protocol.transport.close()

    async def _follow_certificate(self) -> None:
        stamps = self._stamps()
        while self.files is not None:
            await asyncio.sleep(CERTIFICATE_S)
            try:
                now = self._stamps()
                if now == stamps:
                    continue
                stamps = now
                self.load_certificate()
                log.info("certificate read again")
            except (OSError, SettingsError) as error:
                log.error("certificate not read again; the last good one holds", why=error)

    def _stamps(self) -> list[int]:
        return [path.stat().st_mtime_ns for path in self.files or ()]

    # --- requests ------------------------------------------------------------------------

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        protocol = request.protocol
        self.busy.add(protocol)
        self.idle.pop(protocol, None)
        try:
            return await self._answer(request)
        finally:
            self.busy.discard(protocol)
            self.idle[protocol] = asyncio.get_running_loop().time()

    async def _answer(self, request: web.BaseRequest) -> web.StreamResponse:
        try:
            return await self._route(request)
        except Wrong as error:
            return fault(error.status, str(error), error.headers)
        except Refused as error:
            return fault(error.status, str(error))
        except Denied as error:
            headers = {"WWW-Authenticate": "Bearer"} if error.status == 401 else {}
            if error.retry_s:
                headers["Retry-After"] = str(math.ceil(error.retry_s))
            return fault(error.status, str(error), headers)
        except NotFound:
            return fault(404, "no such task")
        except Busy as error:
            return fault(429, str(error), {"Retry-After": str(max(1, math.ceil(error.retry_s)))})
        except (Unavailable, TimeoutError) as error:
            why = str(error) or "the state service is slow"
            return fault(503, f"not now: {why}", {"Retry-After": "1"})
        except Damaged as error:
            log.error("damaged document", why=error)
            return fault(503, f"not now: {error}", {"Retry-After": "10"})

    async def _route(self, request: web.BaseRequest) -> web.StreamResponse:
        path, method = request.path, request.method
        if path == BASE + "/service-info":
            self._only(method, "GET")
            return reply(self.info())
        if path == BASE + "/openapi.json":
            self._only(method, "GET")
            return reply(openapi.document(self.tes.name))
        match = TASK.fullmatch(path)
        if path != BASE + "/tasks" and match is None:
            raise Wrong(404, f"no such path; tasks are under {BASE}/tasks")
        if match is None:
            self._only(method, "GET", "POST")
        else:
            self._only(method, "POST" if match[2] else "GET")
        client = await self.access.client(request.headers.get("Authorization"))
        if match is None:
            return await (self._submit if method == "POST" else self._list)(request, client)
        name = match[1]
        if not wire.JOB_ID.fullmatch(name):
            raise NotFound
        if match[2]:
            self._known(request, ())
            await self._body(request)
            await self.service.cancel(client, name)
            return reply(models.CancelTaskResponse())
        self._known(request, ("view",))
        return reply(await self.service.get(client, name, self._view(request)))

    def _only(self, method: str, *allowed: str) -> None:
        if method not in allowed:
            raise Wrong(405, f"{method} means nothing here", Allow=", ".join(allowed))

    def info(self) -> models.ServiceInfo:
        from coveflow import __version__
        from coveflow.tes.mapping import PARAMETERS

        return models.ServiceInfo(
            id=f"org.coveflow.{self.tes.name}",
            name=self.tes.name,
            type=models.ServiceType("org.ga4gh", "tes", "1.1.0"),
            organization=models.Organization(self.tes.organization, self.tes.organization_url),
            version=__version__,
            storage=list(self.tes.storage),
            tesResources_backend_parameters=list(PARAMETERS),
        )

    async def _submit(self, request: web.BaseRequest, client: Client) -> web.StreamResponse:
        self._known(request, ())
        body = await self._body(request)
        key = request.headers.get("Idempotency-Key")
        name = await self.service.submit(client, body, key)
        return reply(models.CreateTaskResponse(name))

    async def _list(self, request: web.BaseRequest, client: Client) -> web.StreamResponse:
        self._known(request, LISTING)
        given = request.query
        keys, values = given.getall("tag_key", []), given.getall("tag_value", [])
        if len(values) > len(keys):
            raise Refused("tag_value without a tag_key before it")
        size = given.get("page_size")
        if size is not None and not (
            size.isascii() and size.isdigit() and 1 <= int(size[:9]) <= PAGE_MOST
        ):
            raise Refused(f"page_size must be a whole number from 1 to {PAGE_MOST}")
        query = Query(
            view=self._view(request),
            name_prefix=given.get("name_prefix", ""),
            state=self._state(given.get("state")),
            tags=tuple(zip(keys, [*values, *[""] * (len(keys) - len(values))], strict=True)),
            page_size=None if size is None else int(size),
            page_token=given.get("page_token", ""),
        )
        return reply(await self.service.list(client, query))

    def _known(self, request: web.BaseRequest, known: tuple[str, ...]) -> None:
        """A parameter that means nothing here is refused, not ignored."""
        for name in request.query:
            if name not in known:
                wanted = f"; known are {', '.join(known)}" if known else ""
                raise Refused(f"query parameter {name[:TEXT_BYTES]!r} is not known{wanted}")
            if name not in ("tag_key", "tag_value") and len(request.query.getall(name)) > 1:
                raise Refused(f"query parameter {name} is given twice")

    def _view(self, request: web.BaseRequest) -> View:
        text = request.query.get("view", "MINIMAL")
        try:
            return View(text)
        except ValueError:
            raise Refused(f"view must be one of {', '.join(View)}") from None

    def _state(self, text: str | None) -> State | None:
        """UNKNOWN is the schema's default and no task's state: any."""
        if text is None or text == State.UNKNOWN:
            return None
        try:
            return State(text)
        except ValueError:
            raise Refused(f"state must be one of {', '.join(State)}") from None

    async def _body(self, request: web.BaseRequest) -> bytes:
        if request.headers.get("Content-Encoding", "identity") != "identity":
            raise Wrong(415, "send the body as it is, without Content-Encoding")
        if (request.content_length or 0) > self.body_most:
            raise Wrong(413, f"the body is over {self.body_most} bytes", Connection="close")
        body = bytearray()
        try:
            async with asyncio.timeout(self.tes.slow_s):
                async for chunk in request.content.iter_any():
                    body += chunk
                    if len(body) > self.body_most:
                        raise Wrong(
                            413, f"the body is over {self.body_most} bytes", Connection="close"
                        )
        except TimeoutError:
            raise Wrong(
                408, f"the body took longer than {self.tes.slow_s:g} s", Connection="close"
            ) from None
        return bytes(body)


def reply(value: Any, status: int = 200, headers: dict[str, str] | None = None) -> web.Response:
    return web.Response(
        status=status, body=msgspec.json.encode(value), content_type="application/json",
        headers=headers,
    )  # fmt: skip


def fault(status: int, text: str, headers: dict[str, str] | None = None) -> web.Response:
    return reply(models.Fault(status, text), status, headers)
