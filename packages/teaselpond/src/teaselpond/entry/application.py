"""Combine the views in one HTTP application."""

import asyncio

from aiohttp import web

from teaselpond_model.contracts import Address

from ..delivery.drain import Phase
from ..inbound.accepting import Acceptor, InboundServer
from ..listening import open_listener
from .bodies import delay_continue, release_bodies
from .chats import ChatViews
from .context import EntryContext
from .health import HealthViews
from .inbound import KEEPALIVE_SECONDS, EntryInbound
from .jobs import JobViews
from .locate import LocateViews
from .middleware import problem_middleware
from .operations import OperationViews
from .services import ServiceViews

SHUTDOWN_TIMEOUT_SECONDS = 5.0
# What the library holds of a body that is not read yet is up to twice this.
READ_BUFFER_BYTES = 8 * 1024


class Application:
    """Serve callers and operators on one port."""

    view_classes = (
        HealthViews,
        LocateViews,
        ChatViews,
        ServiceViews,
        JobViews,
        OperationViews,
    )

    def __init__(self, context: EntryContext) -> None:
        self.context = context
        self.inbound = EntryInbound(context.settings, context.metrics)
        self._runner: web.AppRunner | None = None
        self._server: InboundServer | None = None
        self._acceptor: Acceptor | None = None
        self._ticks: asyncio.Task | None = None

    def build(self) -> web.Application:
        """Return the application with every view's routes."""
        application = web.Application(
            client_max_size=self.context.settings.max_body_bytes,
            middlewares=[release_bodies, problem_middleware(self.context)],
        )
        application.on_response_prepare.append(self._close_when_needed)
        for view_class in self.view_classes:
            routes = view_class(self.context).routes()
            for route in routes:
                route.kwargs["expect_handler"] = delay_continue
            application.add_routes(routes)
        return application

    async def _close_when_needed(
        self, request: web.Request, response: web.StreamResponse
    ) -> None:
        # On a connection that stays open, the caller's next request would also
        # come to this daemon, which is leaving. After a refusal, the rest of
        # the request is read only to some extent.
        is_leaving = self.context.drain.phase(self.context.clock()) is not Phase.SERVING
        if is_leaving or not request.content.is_eof():
            response.force_close()
            response.headers["Connection"] = "close"

    async def start(self, ip: str, port: int) -> int:
        """Start listening and return the port."""
        settings = self.context.settings
        self._runner = web.AppRunner(
            self.build(), access_log=None, handle_signals=False
        )
        await self._runner.setup()
        library_server = self._runner.server
        self._server = InboundServer(
            self.inbound.make_hooks(),
            library_server.request_handler,
            request_factory=library_server.request_factory,
            handler_cancellation=True,
            access_log=None,
            keepalive_timeout=KEEPALIVE_SECONDS,
            max_line_size=settings.max_header_bytes,
            max_field_size=settings.max_header_bytes,
            # Connections drop the rest of refused requests themselves.
            lingering_time=0.0,
            read_bufsize=READ_BUFFER_BYTES,
        )
        listener = open_listener(Address(ip, port))
        self._acceptor = Acceptor(
            self._server, listener, self.inbound.limits.caller_connections
        )
        self._acceptor.start()
        self._ticks = asyncio.create_task(self.inbound.run())
        return listener.getsockname()[1]

    async def stop(self) -> None:
        """Close the port and every connection."""
        if self._acceptor is not None:
            self._ticks.cancel()
            self._acceptor.close()
            # Lets requests that have arrived begin before idle connections
            # are closed.
            await asyncio.sleep(0)
            self._server.pre_shutdown()
            await self._server.shutdown(SHUTDOWN_TIMEOUT_SECONDS)
        if self._runner is not None:
            await self._runner.cleanup()
