"""HTTP listener of the task API: routes, request limits, TLS and JSON error responses."""

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
from coveflow.tes.access import AccessDenied, Authenticator, Client
from coveflow.tes.documents import CorruptDocument
from coveflow.tes.ledger import Busy
from coveflow.tes.models import RequestError, State, View
from coveflow.tes.service import PAGE_MAX, NotFound, Query, Service

if TYPE_CHECKING:
    import ssl

log = Log("coveflow.tes")

BASE = "/ga4gh/tes/v1"
TASK_ROUTE = re.compile(re.escape(BASE) + r"/tasks/([^/:]+)(:cancel)?")
HEAD_BYTES = 8 * 1024  # longest request line, and longest header field
HEADERS_MAX = 64  # header fields of a request
SWEEP_S = 0.5  # s between checks for slow connections
CERTIFICATE_S = 2.0  # s between checks for changed certificate files
TEXT_BYTES = 1_000  # characters of a parameter name that an error message repeats
LIST_PARAMETERS = (
    "name_prefix",
    "state",
    "tag_key",
    "tag_value",
    "page_size",
    "page_token",
    "view",
)


class HttpError(Exception):
    """A request rejected before its content is examined: status, message, extra headers."""

    def __init__(self, status: int, text: str, **headers: str) -> None:
        super().__init__(text)
        self.status, self.headers = status, {k.replace("_", "-"): v for k, v in headers.items()}


class _TooManyConnections(asyncio.Protocol):
    """Answers a connection beyond the limit with 503 and closes it."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        body = msgspec.json.encode(models.Fault(503, "too many connections; come back"))
        assert isinstance(transport, asyncio.Transport)
        transport.write(
            b"HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json\r\n"
            b"Retry-After: 1\r\nConnection: close\r\nContent-Length: %d\r\n\r\n" % len(body) + body
        )
        transport.close()


class Listener:
    """Serves the task API on one address."""

    def __init__(
        self, tes: Tes, service: Service, access: Authenticator, listen_address: str, home: Path
    ) -> None:
        self.tes, self.service, self.access, self.listen_address = (
            tes, service, access, listen_address
        )  # fmt: skip
        self.files = (home / tes.certificate, home / tes.key) if tes.certificate else None
        self.body_max = int(tes.body_kb * 1024)
        self.context: ssl.SSLContext | None = None
        # When each connection became idle; connections with a request in progress are in `busy`.
        self.idle: dict[RequestHandler, float] = {}
        self.busy: set[RequestHandler] = set()

    # --- listening -----------------------------------------------------------------------

    def load_certificate(self) -> None:
        """Load or reload the certificate. Raises SettingsError that names the files."""
        if self.files is None:
            host, _ = parse_address(self.listen_address)
            if not self.tes.plain and not (host.startswith("127.") or host == "localhost"):
                raise SettingsError(
                    f"tes: {self.listen_address} is not loopback;"
                    " give (certificate FILE) and (key FILE), or say (plain yes)"
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
                # New connections use the new certificate.
                self.context.load_cert_chain(*self.files)
        except (OSError, ssl.SSLError) as error:
            names = " and ".join(map(str, self.files))
            raise SettingsError(f"tes: certificate and key in {names}: {error}") from error

    async def run(self) -> None:
        self.load_certificate()
        server = web.Server(
            self.handle, access_log=None, max_line_size=HEAD_BYTES, max_field_size=HEAD_BYTES,
            max_headers=HEADERS_MAX, keepalive_timeout=self.tes.slow_s, auto_decompress=False,
        )  # fmt: skip

        def connected() -> asyncio.Protocol:
            return (
                _TooManyConnections()
                if len(server.connections) >= self.tes.connections
                else server()
            )

        loop = asyncio.get_running_loop()
        host, port = parse_address(self.listen_address)
        tls: dict[str, Any] = {}
        if self.context is not None:
            tls = {"ssl": self.context, "ssl_handshake_timeout": self.tes.slow_s}
        listening = await loop.create_server(connected, host, port, reuse_address=True, **tls)
        log.info("serving tasks", at=self.listen_address, tls=self.context is not None)
        try:
            await asyncio.gather(self._sweep(server), self._watch_certificate())
        finally:
            listening.close()
            await server.shutdown(1.0)

    async def _sweep(self, server: web.Server) -> None:
        """Close connections that stay idle or send a request's head too slowly."""
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

    async def _watch_certificate(self) -> None:
        stamps = self._modified_times()
        while self.files is not None:
            await asyncio.sleep(CERTIFICATE_S)
            try:
                now = self._modified_times()
                if now == stamps:
                    continue
                stamps = now
                self.load_certificate()
                log.info("certificate reloaded")
            except (OSError, SettingsError) as error:
                log.error("certificate not reloaded; the last valid one stays in use", why=error)

    def _modified_times(self) -> list[int]:
        return [path.stat().st_mtime_ns for path in self.files or ()]

    # --- requests ------------------------------------------------------------------------

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        protocol = request.protocol
        self.busy.add(protocol)
        self.idle.pop(protocol, None)
        try:
            return await self._respond(request)
        finally:
            self.busy.discard(protocol)
            self.idle[protocol] = asyncio.get_running_loop().time()

    async def _respond(self, request: web.BaseRequest) -> web.StreamResponse:
        try:
            return await self._route(request)
        except HttpError as error:
            return error_response(error.status, str(error), error.headers)
        except RequestError as error:
            return error_response(error.status, str(error))
        except AccessDenied as error:
            headers = {"WWW-Authenticate": "Bearer"} if error.status == 401 else {}
            if error.retry_s:
                headers["Retry-After"] = str(math.ceil(error.retry_s))
            return error_response(error.status, str(error), headers)
        except NotFound:
            return error_response(404, "no such task")
        except Busy as error:
            return error_response(
                429, str(error), {"Retry-After": str(max(1, math.ceil(error.retry_s)))}
            )
        except (Unavailable, TimeoutError) as error:
            why = str(error) or "the state service is slow"
            return error_response(503, f"not now: {why}", {"Retry-After": "1"})
        except CorruptDocument as error:
            log.error("damaged document", why=error)
            return error_response(503, f"not now: {error}", {"Retry-After": "10"})

    async def _route(self, request: web.BaseRequest) -> web.StreamResponse:
        path, method = request.path, request.method
        if path == BASE + "/service-info":
            self._require_method(method, "GET")
            return json_response(self.service_info())
        if path == BASE + "/openapi.json":
            self._require_method(method, "GET")
            return json_response(openapi.document(self.tes.name))
        match = TASK_ROUTE.fullmatch(path)
        if path != BASE + "/tasks" and match is None:
            raise HttpError(404, f"no such path; tasks are under {BASE}/tasks")
        if match is None:
            self._require_method(method, "GET", "POST")
        else:
            self._require_method(method, "POST" if match[2] else "GET")
        client = await self.access.authenticate(request.headers.get("Authorization"))
        if match is None:
            return await (self._submit if method == "POST" else self._list)(request, client)
        name = match[1]
        if not wire.JOB_ID.fullmatch(name):
            raise NotFound
        if match[2]:
            self._check_parameters(request, ())
            await self._read_body(request)
            await self.service.cancel(client, name)
            return json_response(models.CancelTaskResponse())
        self._check_parameters(request, ("view",))
        return json_response(await self.service.get(client, name, self._view_parameter(request)))

    def _require_method(self, method: str, *allowed: str) -> None:
        if method not in allowed:
            raise HttpError(405, f"{method} is not allowed here", Allow=", ".join(allowed))

    def service_info(self) -> models.ServiceInfo:
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
        self._check_parameters(request, ())
        body = await self._read_body(request)
        key = request.headers.get("Idempotency-Key")
        name = await self.service.submit(client, body, key)
        return json_response(models.CreateTaskResponse(name))

    async def _list(self, request: web.BaseRequest, client: Client) -> web.StreamResponse:
        self._check_parameters(request, LIST_PARAMETERS)
        given = request.query
        keys, values = given.getall("tag_key", []), given.getall("tag_value", [])
        if len(values) > len(keys):
            raise RequestError("tag_value without a tag_key before it")
        size = given.get("page_size")
        if size is not None and not (
            size.isascii() and size.isdigit() and 1 <= int(size[:9]) <= PAGE_MAX
        ):
            raise RequestError(f"page_size must be a whole number from 1 to {PAGE_MAX}")
        query = Query(
            view=self._view_parameter(request),
            name_prefix=given.get("name_prefix", ""),
            state=self._state_parameter(given.get("state")),
            tags=tuple(zip(keys, [*values, *[""] * (len(keys) - len(values))], strict=True)),
            page_size=None if size is None else int(size),
            page_token=given.get("page_token", ""),
        )
        return json_response(await self.service.list(client, query))

    def _check_parameters(self, request: web.BaseRequest, known: tuple[str, ...]) -> None:
        """Raise RequestError for query parameters that are unknown or given twice."""
        for name in request.query:
            if name not in known:
                wanted = f"; known are {', '.join(known)}" if known else ""
                raise RequestError(f"query parameter {name[:TEXT_BYTES]!r} is not known{wanted}")
            if name not in ("tag_key", "tag_value") and len(request.query.getall(name)) > 1:
                raise RequestError(f"query parameter {name} is given twice")

    def _view_parameter(self, request: web.BaseRequest) -> View:
        text = request.query.get("view", "MINIMAL")
        try:
            return View(text)
        except ValueError:
            raise RequestError(f"view must be one of {', '.join(View)}") from None

    def _state_parameter(self, text: str | None) -> State | None:
        """Return the state to filter by, None for any. UNKNOWN, the schema's default, means any."""
        if text is None or text == State.UNKNOWN:
            return None
        try:
            return State(text)
        except ValueError:
            raise RequestError(f"state must be one of {', '.join(State)}") from None

    async def _read_body(self, request: web.BaseRequest) -> bytes:
        if request.headers.get("Content-Encoding", "identity") != "identity":
            raise HttpError(415, "send the body as it is, without Content-Encoding")
        if (request.content_length or 0) > self.body_max:
            raise HttpError(413, f"the body is over {self.body_max} bytes", Connection="close")
        body = bytearray()
        try:
            async with asyncio.timeout(self.tes.slow_s):
                async for chunk in request.content.iter_any():
                    body += chunk
                    if len(body) > self.body_max:
                        raise HttpError(
                            413, f"the body is over {self.body_max} bytes", Connection="close"
                        )
        except TimeoutError:
            raise HttpError(
                408, f"the body took longer than {self.tes.slow_s:g} s", Connection="close"
            ) from None
        return bytes(body)


def json_response(
    value: Any, status: int = 200, headers: dict[str, str] | None = None
) -> web.Response:
    return web.Response(
        status=status, body=msgspec.json.encode(value), content_type="application/json",
        headers=headers,
    )  # fmt: skip


def error_response(status: int, text: str, headers: dict[str, str] | None = None) -> web.Response:
    return json_response(models.Fault(status, text), status, headers)
