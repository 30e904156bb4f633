"""Tell whether the daemon lives and whether it is ready."""

from aiohttp import web

from ..delivery.drain import Phase
from ..membership import DaemonState
from .context import EntryContext

STRANGERS_SECONDS = 5.0


class HealthViews:
    """Serve the health checks."""

    def __init__(self, context: EntryContext) -> None:
        self.context = context
        self._started_at = context.clock()

    def routes(self) -> list[web.RouteDef]:
        """Return the routes of these views."""
        return [web.get("/healthz", self.live), web.get("/readyz", self.ready)]

    async def live(self, request: web.Request) -> web.Response:
        """Answer as long as the event loop runs."""
        return web.json_response({"status": "live"})

    async def ready(self, request: web.Request) -> web.Response:
        """Answer 200 once the daemon can serve and until it is stopped."""
        now = self.context.clock()
        phase = self.context.drain.phase(now)
        ready = (
            phase is Phase.SERVING
            and self.context.keeper.is_ready
            and self._knows_fleet(now)
        )
        return web.json_response(
            {"ready": ready, "phase": phase.value}, status=200 if ready else 503
        )

    def _knows_fleet(self, now: float) -> bool:
        # Daemons that are listed and were never heard of may be gone.
        if now - self._started_at > STRANGERS_SECONDS:
            return True
        daemons = self.context.fleet.membership.daemons_by_id.values()
        strangers = [each for each in daemons if each.state is DaemonState.LISTED]
        return len(daemons) > 1 and not strangers
