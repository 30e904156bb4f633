"""Serve a plain service over HTTP that counts the calls it ran."""

import asyncio
import weakref
from collections import Counter

from aiohttp import web
from attrs import define, field, frozen

from teaselpond_model.contracts import Address
from teaselpond_model.platform import make_converter

from ..faults import FaultPlan
from ..server import LoopbackServer, abort, make_app, send_truncated
from .faults import NOT_RUN_KINDS, ServiceFault, ServiceFaultKind

CROSSED_REQUEST_ID = "someone-else"
REDIRECT_PATH = "/redirected"


@frozen
class FaultOrder:
    """Describe the body of ``POST /_faults``."""

    kind: ServiceFaultKind
    key: str = "*"
    seconds: float = 0.0
    count: int = 1
    skip: int = 0


@define(eq=False)
class ServiceStandin:
    """Serve a stand-in of a plain service on one loopback port.

    The counters are by idempotency key, or by request id without one. An
    answer repeats the body of its call if ``echoes_body``.
    """

    port: int = 0
    work_seconds: float = 0.0
    echoes_body: bool = True
    faults: FaultPlan[ServiceFault] = field(factory=FaultPlan)
    runs_by_key: Counter[str] = field(factory=Counter)
    received_by_key: Counter[str] = field(factory=Counter)
    redirected: int = 0
    server: LoopbackServer = field(init=False)
    _used_transports: weakref.WeakSet = field(factory=weakref.WeakSet, init=False)

    def __attrs_post_init__(self) -> None:
        # A call runs to its end even if its caller disconnects, as in most
        # services.
        self.server = LoopbackServer(self._make_app(), self.port)

    @property
    def address(self) -> Address:
        """Return the address of the running server."""
        return self.server.address

    @property
    def base_url(self) -> str:
        """Return the base URL of the running server."""
        return self.server.base_url

    async def start(self) -> None:
        """Start listening."""
        await self.server.start()

    async def stop(self) -> None:
        """Stop listening and close every connection."""
        await self.server.stop()

    async def __aenter__(self) -> "ServiceStandin":
        await self.start()
        return self

    async def __aexit__(self, *exception: object) -> None:
        await self.stop()

    def add_fault(
        self,
        kind: ServiceFaultKind,
        *,
        key: str = "*",
        seconds: float = 0.0,
        count: int = 1,
        skip: int = 0,
    ) -> None:
        """Add a fault for ``count`` matching calls; ``skip`` pass first."""
        self.faults.add(ServiceFault(kind, key, seconds), count, skip)

    def _make_app(self) -> web.Application:
        app = make_app()
        app.add_routes(
            [
                web.get("/_ran", self._get_records),
                web.post("/_faults", self._add_fault),
                web.delete("/_faults", self._clear_faults),
                web.route("*", "/{path:.*}", self._call),
            ]
        )
        return app

    async def _call(self, request: web.Request) -> web.StreamResponse:
        request_id = request.headers.get("X-Request-Id", "")
        key = request.headers.get("Idempotency-Key", "") or request_id
        is_reused = request.transport in self._used_transports
        self._used_transports.add(request.transport)
        self.received_by_key[key] += 1
        fault = self.faults.consume(lambda armed: armed.matches(key, is_reused))
        if fault is not None and fault.kind in NOT_RUN_KINDS:
            return _respond_without_running(request, fault)
        return await self._run(request, key, request_id, fault)

    async def _run(
        self,
        request: web.Request,
        key: str,
        request_id: str,
        fault: ServiceFault | None,
    ) -> web.StreamResponse:
        content = await request.read()
        if fault is not None and fault.kind is ServiceFaultKind.SLOW:
            await asyncio.sleep(fault.seconds)
        self.runs_by_key[key] += 1
        self.redirected += request.path.startswith(REDIRECT_PATH)
        await asyncio.sleep(self.work_seconds)
        body = {
            "method": request.method,
            "path": request.path_qs,
            "key": key,
            "run": self.runs_by_key[key],
            "received": content.decode(errors="replace") if self.echoes_body else "",
        }
        response = web.json_response(body, headers={"X-Request-Id": request_id})
        if fault is None:
            return response
        return await _apply_fault(request, response, fault)

    async def _get_records(self, request: web.Request) -> web.Response:
        return web.json_response(
            {
                "by_key": dict(self.runs_by_key),
                "received_by_key": dict(self.received_by_key),
                "redirected": self.redirected,
                "total": self.runs_by_key.total(),
            }
        )

    async def _add_fault(self, request: web.Request) -> web.Response:
        order = make_converter().structure(await request.json(), FaultOrder)
        self.add_fault(
            order.kind,
            key=order.key,
            seconds=order.seconds,
            count=order.count,
            skip=order.skip,
        )
        return web.Response(status=204)

    async def _clear_faults(self, request: web.Request) -> web.Response:
        self.faults.clear()
        return web.Response(status=204)


def _respond_without_running(request: web.Request, fault: ServiceFault) -> web.Response:
    match fault.kind:
        case ServiceFaultKind.REFUSE:
            return web.Response(status=503, headers={"X-Run": "not-run"})
        case ServiceFaultKind.REDIRECT:
            return _redirect(request)
    return abort(request)


async def _apply_fault(
    request: web.Request, response: web.Response, fault: ServiceFault
) -> web.StreamResponse:
    match fault.kind:
        case ServiceFaultKind.LATE:
            await asyncio.sleep(fault.seconds)
        case ServiceFaultKind.RUN_THEN_FAIL:
            return web.Response(status=503)
        case ServiceFaultKind.RUN_THEN_DROP:
            return abort(request)
        case ServiceFaultKind.RUN_THEN_REDIRECT:
            return _redirect(request)
        case ServiceFaultKind.CROSS:
            response.headers["X-Request-Id"] = CROSSED_REQUEST_ID
        case ServiceFaultKind.HALF:
            return await send_truncated(request, response)
        case ServiceFaultKind.SILENCE:
            await asyncio.Event().wait()
    return response


def _redirect(request: web.Request) -> web.Response:
    location = REDIRECT_PATH + request.path_qs
    return web.Response(status=307, headers={"Location": location})
