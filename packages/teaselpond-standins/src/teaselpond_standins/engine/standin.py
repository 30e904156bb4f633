"""Serve one simulated engine over HTTP, with faults on demand."""

import asyncio
import json
import time
from collections.abc import Awaitable, Callable
from typing import Any

from aiohttp import web
from attrs import define, field, frozen

from teaselpond_model.contracts import Address, CacheEventPage, EngineOrder
from teaselpond_model.platform import make_converter

from ..faults import FaultPlan
from ..server import LoopbackServer, make_app
from .chat_handler import ChatHandler
from .engine import Engine
from .faults import EngineFault, EngineFaultKind
from .records import EngineRecords
from .settings import EngineSettings

CRASH_DELAY_SECONDS = 0.02
FAULT_KEY: web.RequestKey[EngineFault | None] = web.RequestKey("fault")


@frozen
class FaultOrder:
    """Hold the body of ``POST /_faults``.

    ``skip`` matching calls are unaffected before ``count`` calls fail.
    """

    kind: EngineFaultKind
    operation: str = "chat"
    request_id: str = "*"
    event: int = 0
    count: int = 1
    skip: int = 0


@define(eq=False)
class EngineStandin:
    """Serve one simulated engine on a loopback port."""

    settings: EngineSettings = field(factory=EngineSettings)
    port: int = 0
    faults: FaultPlan[EngineFault] = field(factory=FaultPlan)
    engine: Engine = field(init=False)
    server: LoopbackServer = field(init=False)
    _chat_handler: ChatHandler = field(init=False)
    _restart_task: asyncio.Task | None = field(default=None, init=False)

    def __attrs_post_init__(self) -> None:
        self.engine = Engine(self.settings, self._on_crash)
        self._chat_handler = ChatHandler(self.engine)
        self.server = LoopbackServer(self._make_app(), self.port, cancels_handlers=True)

    @property
    def address(self) -> Address:
        """Return the address; valid once started."""
        return self.server.address

    @property
    def base_url(self) -> str:
        """Return the base URL; valid once started."""
        return self.server.base_url

    @property
    def records(self) -> EngineRecords:
        """Return the engine's records."""
        return self.engine.records

    async def start(self) -> None:
        """Start a cold engine and listen."""
        self.engine.start()
        await self.server.start()

    async def stop(self) -> None:
        """Stop listening and end all work."""
        if self._restart_task is not None:
            self._restart_task.cancel()
        await self.engine.stop()
        await self.server.stop()

    async def __aenter__(self) -> "EngineStandin":
        await self.start()
        return self

    async def __aexit__(self, *exception: object) -> None:
        await self.stop()

    def add_fault(
        self,
        kind: EngineFaultKind,
        operation: str = "chat",
        *,
        request_id: str = "*",
        event: int = 0,
        count: int = 1,
        skip: int = 0,
    ) -> None:
        """Inject a fault into ``count`` calls, after skipping ``skip``."""
        self.faults.add(EngineFault(kind, operation, request_id, event), count, skip)

    async def pause_for(self, seconds: float) -> None:
        """Pause the engine for a time, with every connection open."""
        self.engine.pause()
        await asyncio.sleep(seconds)
        self.engine.unpause()

    def _on_crash(self) -> None:
        # Abort connections first, or a stream that the crash ends might look
        # complete.
        self.server.abort_connections()
        self._restart_task = asyncio.create_task(self._restart())

    async def _restart(self) -> None:
        await self.server.start_outage()
        await asyncio.sleep(self.settings.restart_seconds * self.settings.time_scale)
        self.engine.start()
        await self.server.end_outage()

    def _make_app(self) -> web.Application:
        app = make_app()
        app.middlewares.append(self._apply_faults)
        app.add_routes(
            [
                web.post("/v1/chat/completions", self._chat, name="chat"),
                web.get("/streams/{stream_id}", self._resume, name="resume"),
                web.delete("/streams/{stream_id}", self._cancel, name="cancel"),
                web.get("/load", self._load, name="load"),
                web.get("/cache/events", self._cache_events, name="cache"),
                web.get("/cache/snapshot", self._cache_snapshot, name="snapshot"),
                web.post("/kv/export", self._export, name="kv-export"),
                web.post("/kv/import", self._import, name="kv-load"),
                web.post("/orders", self._order, name="orders"),
                web.post("/_faults", self._add_fault),
                web.delete("/_faults", self._clear_faults),
                web.post("/_crash", self._crash),
                web.post("/_cold", self._turn_cold),
                web.post("/_pause", self._pause),
                web.get("/_ran", self._get_records),
            ]
        )
        return app

    @web.middleware
    async def _apply_faults(
        self,
        request: web.Request,
        handler: Callable[[web.Request], Awaitable[web.StreamResponse]],
    ) -> web.StreamResponse:
        operation = request.match_info.route.name
        if operation is None:
            return await handler(request)
        await self.engine.unpaused.wait()
        request_id = request.headers.get("X-Request-Id", "")
        fault = self.faults.consume(lambda armed: armed.matches(operation, request_id))
        if operation in ("chat", "resume"):
            request[FAULT_KEY] = fault
            return await handler(request)
        if fault is None:
            return await handler(request)
        return await self._chat_handler.answer_with_fault(request, handler, fault)

    async def _chat(self, request: web.Request) -> web.StreamResponse:
        return await self._chat_handler.answer(request, request[FAULT_KEY])

    async def _resume(self, request: web.Request) -> web.StreamResponse:
        return await self._chat_handler.resume(request, request[FAULT_KEY])

    async def _cancel(self, request: web.Request) -> web.Response:
        run = self.engine.runs_by_stream_id.get(request.match_info["stream_id"])
        if run is None:
            return web.Response(status=404)
        self.engine.cancel(run)
        return web.Response(status=204)

    async def _load(self, request: web.Request) -> web.Response:
        return _answer(self.engine.report(time.monotonic()))

    async def _cache_events(self, request: web.Request) -> web.Response:
        lag = self.settings.cache_event_lag_seconds * self.settings.time_scale
        after = int(request.query.get("after", "0"))
        timed = self.engine.cache.events(after, time.monotonic() - lag)
        last_sequence = timed[-1].event.sequence if timed else after
        events = tuple(
            timed_event.event for timed_event in timed if not timed_event.lost
        )
        return _answer(CacheEventPage(self.engine.incarnation, events, last_sequence))

    async def _cache_snapshot(self, request: web.Request) -> web.Response:
        cache = self.engine.cache
        prefixes = [
            {"prefix": block.prefix, "tokens": block.tokens} for block in cache.blocks
        ]
        return web.json_response(
            {
                "incarnation": self.engine.incarnation,
                "last_sequence": cache.last_sequence,
                "prefixes": prefixes,
            }
        )

    async def _export(self, request: web.Request) -> web.Response:
        content = self.engine.cache.export((await request.json())["prefix"])
        if content is None:
            return web.Response(status=404)
        return web.Response(body=content)

    async def _import(self, request: web.Request) -> web.Response:
        try:
            self.engine.cache.load(await request.read(), time.monotonic())
        except ValueError as error:
            return web.Response(status=400, text=str(error))
        return web.Response(status=204)

    async def _order(self, request: web.Request) -> web.Response:
        order = make_converter().structure(await request.json(), EngineOrder)
        # An order that has begun is executed even if the caller disconnects.
        if await asyncio.shield(self.engine.execute_order(order)):
            return web.Response()
        return web.json_response({"fence": self.engine.fence}, status=409)

    async def _add_fault(self, request: web.Request) -> web.Response:
        order = make_converter().structure(await request.json(), FaultOrder)
        self.add_fault(
            order.kind,
            order.operation,
            request_id=order.request_id,
            event=order.event,
            count=order.count,
            skip=order.skip,
        )
        return web.Response(status=204)

    async def _clear_faults(self, request: web.Request) -> web.Response:
        self.faults.clear()
        return web.Response(status=204)

    async def _crash(self, request: web.Request) -> web.Response:
        # Delay the crash to send the answer before connections are aborted.
        asyncio.get_running_loop().call_later(CRASH_DELAY_SECONDS, self.engine.crash)
        return web.Response(status=204)

    async def _turn_cold(self, request: web.Request) -> web.Response:
        self.engine.turn_cold()
        return web.Response(status=204)

    async def _pause(self, request: web.Request) -> web.Response:
        seconds = json.loads(await request.read())["seconds"]
        await asyncio.shield(self.pause_for(seconds))
        return web.Response(status=204)

    async def _get_records(self, request: web.Request) -> web.Response:
        body = make_converter().unstructure(self.records)
        if "history" not in request.query:
            del body["history"], body["starts"]
        starts = self.records.starts_by_request_id
        body |= {"total": starts.total(), "incarnation": self.engine.incarnation}
        return web.json_response(body)


def _answer(value: Any) -> web.Response:
    return web.json_response(make_converter().unstructure(value))
