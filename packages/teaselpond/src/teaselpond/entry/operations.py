"""Serve operators: state, counters, outages, requests and quarantine."""

import hmac
import json

import attrs
from aiohttp import web

from teaselpond_model.configuration import DocumentError, DocumentInvalid

from ..configuration import parse_outage
from ..delivery.verdicts import RefusalCause, refuse
from .bodies import read_body
from .context import EntryContext


class OperationViews:
    """Serve operators' calls.

    Each call must carry one of the operator keys if any are set.
    """

    def __init__(self, context: EntryContext) -> None:
        self.context = context

    def routes(self) -> list[web.RouteDef]:
        """Return the routes of these views."""
        return [
            web.get("/ops/status", self.status),
            web.get("/ops/counters", self.counters),
            web.post("/ops/outages", self.add_outage),
            web.get("/ops/why/{request_id}", self.request_steps),
            web.get("/ops/quarantine", self.quarantine),
            web.delete("/ops/quarantine/{fingerprint}", self.release),
        ]

    async def status(self, request: web.Request) -> web.Response:
        """Answer with this daemon's state, its engines and its peers."""
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
                "engines": self._describe_engines(now),
                "peers": sorted(context.links.linked_peers()),
            }
        )

    async def counters(self, request: web.Request) -> web.Response:
        """Answer with every counter by name."""
        self._authorize(request)
        return web.json_response(
            dict(sorted(self.context.metrics.counts_by_name.items()))
        )

    async def add_outage(self, request: web.Request) -> web.Response:
        """Add an outage, which takes a zone or host out of service.

        Operators use it while the table service is unavailable.
        """
        self._authorize(request)
        try:
            raw = await read_body(request, self.context.settings.max_body_bytes)
            body = json.loads(raw.decode())
            outage = parse_outage(body)
            self.context.keeper.start_outage(outage, bool(body.get("force")))
        except (ValueError, DocumentError) as error:
            raise refuse(RefusalCause.INPUT_INVALID, str(error)) from error
        except DocumentInvalid as group:
            messages = "; ".join(str(error) for error in group.exceptions)
            raise refuse(RefusalCause.INPUT_INVALID, messages) from group
        return web.json_response({"outage_id": outage.outage_id})

    async def request_steps(self, request: web.Request) -> web.Response:
        """Answer with the recorded steps of a recent request."""
        self._authorize(request)
        request_id = request.match_info["request_id"]
        events = self.context.journal.events(request_id)
        if not events:
            raise refuse(
                RefusalCause.RESOURCE_UNKNOWN,
                f"this daemon has no record of request {request_id}",
            )
        return web.json_response(
            {
                "request_id": request_id,
                "daemon_id": self.context.settings.daemon_id,
                "events": [attrs.asdict(event) for event in events],
            }
        )

    async def quarantine(self, request: web.Request) -> web.Response:
        """Answer with the requests that are suspected of crashing engines."""
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
                    for suspicion in self.context.quarantine.list_active(now)
                ]
            }
        )

    async def release(self, request: web.Request) -> web.Response:
        """Release a request from quarantine."""
        self._authorize(request)
        await self.context.quarantine.clear(request.match_info["fingerprint"])
        return web.Response(status=204)

    def _describe_engines(self, now: float) -> list[dict]:
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
        received_key = request.headers.get("Authorization", "").removeprefix("Bearer ")
        if not any(
            hmac.compare_digest(received_key.encode(), key.encode()) for key in keys
        ):
            raise refuse(
                RefusalCause.CALLER_UNKNOWN, "the operator key is missing or wrong"
            )
