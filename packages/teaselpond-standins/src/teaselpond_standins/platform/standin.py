"""Serve the platform's services over HTTP from memory.

They are the table, the objects, the list of hosts, the grants of weight
downloads and the row store. Paths under ``/_`` control the stand-in.
"""

from collections.abc import Awaitable, Callable
from typing import Any

from aiohttp import web
from attrs import define, field, frozen

from teaselpond_model.contracts import Address, Check, Delete, Host, Put
from teaselpond_model.exceptions import TransactionConflict
from teaselpond_model.platform import make_converter

from ..faults import UNLIMITED_CALLS
from ..server import LoopbackServer, abort, make_app
from .faults import (
    InjectedOutcomeUnknown,
    InjectedUnavailable,
    PlatformFault,
    PlatformFaultKind,
    PlatformFaults,
)
from .hosts import MemoryHosts
from .objects import MemoryObjects
from .rows import MemoryRows
from .table import MemoryTable
from .weights import MemoryWeights


@frozen
class FaultOrder:
    """Describe the body of ``POST /_faults``."""

    kind: PlatformFaultKind
    operation: str = "*"
    key: str = "*"
    seconds: float = 0.0
    count: int = UNLIMITED_CALLS
    skip: int = 0


@define
class PlatformStandin:
    """Serve a stand-in of the platform on one loopback port."""

    port: int = 0
    lag_seconds: float = 0.0
    downloads_per_second: float = 2.0
    faults: PlatformFaults = field(factory=PlatformFaults)
    table: MemoryTable = field(init=False)
    objects: MemoryObjects = field(init=False)
    hosts: MemoryHosts = field(init=False)
    weights: MemoryWeights = field(init=False)
    rows: MemoryRows = field(factory=MemoryRows)
    server: LoopbackServer = field(init=False)

    def __attrs_post_init__(self) -> None:
        self.table = MemoryTable(self.faults)
        self.objects = MemoryObjects(self.faults)
        self.hosts = MemoryHosts(self.faults, self.lag_seconds)
        self.weights = MemoryWeights(self.faults, self.downloads_per_second)
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

    async def __aenter__(self) -> "PlatformStandin":
        await self.start()
        return self

    async def __aexit__(self, *exception: object) -> None:
        await self.stop()

    def _make_app(self) -> web.Application:
        app = make_app()
        app.middlewares.append(_convert_faults)
        app.add_routes(self.rows.routes())
        app.add_routes(
            [
                web.get("/table/entry", self._get_entry),
                web.get("/table/scan", self._scan),
                web.post("/table/transact", self._transact),
                web.put("/objects/{name}", self._put_object),
                web.get("/objects/{name}", self._get_object),
                web.delete("/objects/{name}", self._delete_object),
                web.get("/hosts", self._list_hosts),
                web.put("/hosts/{host_id}", self._register_host),
                web.delete("/hosts/{host_id}", self._remove_host),
                web.post("/weights", self._request_weights),
                web.post("/_faults", self._add_fault),
                web.delete("/_faults", self._clear_faults),
                web.post("/_down", self._go_down),
                web.get("/_counts", self._count_calls),
            ]
        )
        return app

    async def _get_entry(self, request: web.Request) -> web.Response:
        entry = await self.table.get(request.query["key"])
        if entry is None:
            return web.Response(status=404)
        return _answer(entry)

    async def _scan(self, request: web.Request) -> web.Response:
        after_version = int(request.query.get("after_version", "0"))
        return _answer(await self.table.scan(request.query["prefix"], after_version))

    async def _transact(self, request: web.Request) -> web.Response:
        body = await request.json()
        structure = make_converter().structure
        checks = structure(body.get("checks", []), tuple[Check, ...])
        puts = structure(body.get("puts", []), tuple[Put, ...])
        deletes = tuple(Delete(key) for key in body.get("deletes", []))
        try:
            version = await self.table.transact(checks, puts + deletes)
        except TransactionConflict as error:
            return web.json_response({"conflicts": list(error.keys)}, status=409)
        return web.json_response({"version": version})

    async def _put_object(self, request: web.Request) -> web.Response:
        await self.objects.put(request.match_info["name"], await request.read())
        return web.Response(status=204)

    async def _get_object(self, request: web.Request) -> web.Response:
        content = await self.objects.get(request.match_info["name"])
        if content is None:
            return web.Response(status=404)
        return web.Response(body=content)

    async def _delete_object(self, request: web.Request) -> web.Response:
        await self.objects.delete(request.match_info["name"])
        return web.Response(status=204)

    async def _list_hosts(self, request: web.Request) -> web.Response:
        hosts = await self.hosts.list_hosts()
        return web.json_response({"hosts": make_converter().unstructure(hosts)})

    async def _register_host(self, request: web.Request) -> web.Response:
        host = make_converter().structure(await request.json(), Host)
        await self.hosts.register(host)
        return web.Response(status=204)

    async def _remove_host(self, request: web.Request) -> web.Response:
        await self.hosts.remove(request.match_info["host_id"])
        return web.Response(status=204)

    async def _request_weights(self, request: web.Request) -> web.Response:
        body = await request.json()
        return _answer(
            await self.weights.request(body["host_id"], body["model"], body["version"])
        )

    async def _add_fault(self, request: web.Request) -> web.Response:
        order = make_converter().structure(await request.json(), FaultOrder)
        if order.kind is PlatformFaultKind.STALE:
            self.table.freeze_replica()
        fault = PlatformFault(order.kind, order.operation, order.key, order.seconds)
        self.faults.plan.add(fault, order.count, order.skip)
        return web.Response(status=204)

    async def _clear_faults(self, request: web.Request) -> web.Response:
        self.faults.clear()
        return web.Response(status=204)

    async def _go_down(self, request: web.Request) -> web.Response:
        # Going down resets this connection too, so the caller gets no answer.
        await self.server.start_outage((await request.json())["seconds"])
        return web.Response(status=204)

    async def _count_calls(self, request: web.Request) -> web.Response:
        return web.json_response(
            {
                "reads": self.faults.reads,
                "writes": self.faults.writes,
                "calls": dict(self.faults.calls_by_operation),
                "weight_grants": len(self.weights.grants),
            }
        )


def _answer(value: Any) -> web.Response:
    return web.json_response(make_converter().unstructure(value))


@web.middleware
async def _convert_faults(
    request: web.Request,
    handler: Callable[[web.Request], Awaitable[web.StreamResponse]],
) -> web.StreamResponse:
    try:
        return await handler(request)
    except (InjectedUnavailable, InjectedOutcomeUnknown) as error:
        if error.kind is PlatformFaultKind.REFUSE:
            return web.Response(status=503)
        if error.kind is PlatformFaultKind.RUBBISH:
            return web.Response(body=b"<html>rubbish", content_type="text/html")
        return abort(request)
