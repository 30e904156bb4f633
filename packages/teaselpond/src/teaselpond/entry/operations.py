"""Tell operators what this daemon does, and lift quarantines."""

import hmac

import attrs
from aiohttp import web

from teaselpond_model.configuration import DocumentError, DocumentInvalid

from ..configuration import parse_outage
from ..delivery.verdicts import Exit, refuse
from .context import EntryContext


class OperationViews:
    """Serve operators' calls, which carry an operator key where one is set."""

    def __init__(self, context: EntryContext) -> None:
        self.context = context

    def routes(self) -> list[web.RouteDef]:
        """Return the routes of these views."""
        return [
            web.get("/ops/status", self.status),
            web.get("/ops/counters", self.counters),
            web.post("/ops/outages", self.order_out),
            web.get("/ops/why/{request_id}", self.why),
            web.get("/ops/quarantine", self.quarantine),
            web.delete("/ops/quarantine/{fingerprint}", self.lift),
        ]

    async def status(self, request: web.Request) -> web.Response:
        """Answer what this daemon is, owns and sees."""
        self._authorize(request)
        context = self.context
        in_force = context.keeper.in_force.value
        now = context.clock()
        return web.json_response(
            {
                "daemon_id": context.settings.daemon_id,
                "zone": context.settings.zone,
                "state": context.drain.phase(now).value,
                "config_version": in_force.version if in_force else 0,
                "config_digest": in_force.digest if in_force else "",
                "outages": [
                    attrs.asdict(outage)
                    for outage in (in_force.outages if in_force else ())
                ],
                "incarnation": context.incarnation,
                "requests": context.drain.active,
                "slots_held": context.broker.held_count,
                "engines": self._engines(now),
                "peers": sorted(context.links.linked_peers()),
            }
        )

    async def counters(self, request: web.Request) -> web.Response:
        """Answer every counter by name."""
        self._authorize(request)
        return web.json_response(
            dict(sorted(self.context.metrics.counts_by_name.items()))
        )

    async def order_out(self, request: web.Request) -> web.Response:
        """Take a zone or a host out while the table service is away."""
        self._authorize(request)
        try:
            body = await request.json()
            outage = parse_outage(body)
            self.context.keeper.start_outage(outage, bool(body.get("force")))
        except (ValueError, DocumentError) as error:
            raise refuse(Exit.INPUT_INVALID, str(error)) from error
        except DocumentInvalid as group:
            reasons = "; ".join(str(error) for error in group.exceptions)
            raise refuse(Exit.INPUT_INVALID, reasons) from group
        return web.json_response({"outage_id": outage.outage_id})

    async def why(self, request: web.Request) -> web.Response:
        """Answer the steps of a recent request."""
        self._authorize(request)
        request_id = request.match_info["request_id"]
        events = self.context.journal.events(request_id)
        if not events:
            raise refuse(
                Exit.RESOURCE_UNKNOWN,
                f"this daemon knows nothing of request {request_id}",
            )
        return web.json_response(
            {
                "request_id": request_id,
                "daemon_id": self.context.settings.daemon_id,
                "events": [attrs.asdict(event) for event in events],
            }
        )

    async def quarantine(self, request: web.Request) -> web.Response:
        """Answer the requests that engines died of."""
        self._authorize(request)
        now = self.context.wall_clock()
        return web.json_response(
            {
                "quarantine": [
                    {
                        "fingerprint": suspicion.fingerprint,
                        "workspace": suspicion.workspace,
                        "deaths": sorted(suspicion.death_ids),
                        "last_death_at": suspicion.last_death_at,
                        "quarantined_until": suspicion.quarantined_until,
                    }
                    for suspicion in self.context.quarantine.list_all(now)
                ]
            }
        )

    async def lift(self, request: web.Request) -> web.Response:
        """Let a quarantined request run again."""
        self._authorize(request)
        await self.context.quarantine.clear(request.match_info["fingerprint"])
        return web.Response(status=204)

    def _engines(self, now: float) -> list[dict]:
        dispatcher = self.context.broker.dispatcher
        return [
            {
                "engine_id": engine_id,
                "zone": engine.profile.host.zone,
                "model": engine.profile.model,
                "in_flight": engine.slots.in_flight,
                "limit": engine.usable_slots(),
                "takes_work": engine.takes_work(now),
                "queued": len(dispatcher.pools_by_model[engine.profile.model].queue),
            }
            for engine_id, engine in sorted(dispatcher.engines.by_id.items())
        ]

    def _authorize(self, request: web.Request) -> None:
        keys = self.context.settings.operator_keys
        if not keys:
            return
        given = request.headers.get("Authorization", "").removeprefix("Bearer ")
        if not any(hmac.compare_digest(given.encode(), key.encode()) for key in keys):
            raise refuse(Exit.CALLER_UNKNOWN, "the operator's key is wrong")
