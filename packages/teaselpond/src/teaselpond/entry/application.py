"""Combine the views in one HTTP application."""

from aiohttp import web

from ..delivery.drain import Phase
from .chats import ChatViews
from .context import EntryContext
from .health import HealthViews
from .jobs import JobViews
from .locate import LocateViews
from .middleware import problem_middleware
from .operations import OperationViews
from .services import ServiceViews

KEEPALIVE_TIMEOUT_SECONDS = 75.0
SHUTDOWN_TIMEOUT_SECONDS = 5.0


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
        self._runner: web.AppRunner | None = None

    def build(self) -> web.Application:
        """Return the application with every view's routes."""
        application = web.Application(
            client_max_size=self.context.settings.max_body_bytes,
            middlewares=[problem_middleware(self.context)],
        )
        application.on_response_prepare.append(self._close_when_leaving)
        for view_class in self.view_classes:
            application.add_routes(view_class(self.context).routes())
        return application

    async def _close_when_leaving(
        self, request: web.Request, response: web.StreamResponse
    ) -> None:
        # On a connection that stays open, the caller's next request would also
        # come to this daemon, which is leaving.
        if self.context.drain.phase(self.context.clock()) is not Phase.SERVING:
            response.force_close()
            response.headers["Connection"] = "close"

    async def start(self, ip: str, port: int) -> int:
        """Start listening and return the port."""
        settings = self.context.settings
        self._runner = web.AppRunner(
            self.build(),
            access_log=None,
            handle_signals=False,
            keepalive_timeout=KEEPALIVE_TIMEOUT_SECONDS,
            shutdown_timeout=SHUTDOWN_TIMEOUT_SECONDS,
            handler_cancellation=True,
            max_line_size=settings.max_header_bytes,
            max_field_size=settings.max_header_bytes,
        )
        await self._runner.setup()
        site = web.TCPSite(self._runner, ip, port)
        await site.start()
        return self._runner.addresses[0][1]

    async def stop(self) -> None:
        """Close the port and every connection."""
        if self._runner is not None:
            await self._runner.cleanup()
