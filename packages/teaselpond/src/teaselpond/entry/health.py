"""Serve the liveness and readiness checks."""

from aiohttp import web

from ..delivery.drain import Phase
from ..membership import DaemonState
from .context import EntryContext

MEMBERS_WAIT_SECONDS = 5.0


class HealthViews:
    """Serve the health checks."""

    def __init__(self, context: EntryContext) -> None:
        self.context = context
        self._started_at = context.clock()

    def routes(self) -> list[web.RouteDef]:
        """Return the routes of these views."""
        return [web.get("/healthz", self.live), web.get("/readyz", self.ready)]

    async def live(self, request: web.Request) -> web.Response:
        """Answer 200 while the event loop runs."""
        return web.json_response({"status": "live"})

    async def ready(self, request: web.Request) -> web.Response:
        """Answer 200 while the daemon can serve and is not stopping."""
        now = self.context.clock()
        phase = self.context.drain.phase(now)
        ready = (
            phase is Phase.SERVING
            and self.context.keeper.is_ready
            and self._is_membership_settled(now)
        )
        return web.json_response(
            {"ready": ready, "phase": phase.value}, status=200 if ready else 503
        )

    def _is_membership_settled(self, now: float) -> bool:
        # A daemon that is listed but of which no record was received may be
        # down, so it delays readiness only for a limited time.
        if now - self._started_at > MEMBERS_WAIT_SECONDS:
            return True
        daemons = self.context.fleet.membership.daemons_by_id.values()
        listed_only = [
            daemon for daemon in daemons if daemon.state is DaemonState.LISTED
        ]
        return len(daemons) > 1 and not listed_only
