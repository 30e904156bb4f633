"""Serve calls to plain services."""

from aiohttp import web

from teaselpond_model.configuration import ServiceContract, ServiceItem

from ..delivery.records import ServiceCall, ServiceOutcome
from ..delivery.verdicts import RefusalCause, refuse
from .bodies import make_response, read_body
from .callers import CallContext
from .context import EntryContext

FORWARDED_HEADERS = ("Content-Type", "Accept", "traceparent", "tracestate")


class ServiceViews:
    """Forward calls to plain services as their contracts allow."""

    def __init__(self, context: EntryContext) -> None:
        self.context = context

    def routes(self) -> list[web.RouteDef]:
        """Return the routes of these views."""
        return [web.route("*", "/v1/services/{service}/{path:.*}", self.call)]

    async def call(self, request: web.Request) -> web.Response:
        """Run one call, at most once if the service's contract requires it."""
        context = self.context
        with context.drain.request(context.clock()):
            call = self.context.read_call(request)
            service = self._find_service(request, call)
            body = await read_body(request, self.context.settings.max_body_bytes)
            service_call = self._build_call(request, call, service, body)
            if service.contract is ServiceContract.AT_MOST_ONCE:
                outcome = await context.ledger.run(service_call)
            else:
                outcome = await context.idempotent_calls.run(service_call)
            return self._build_response(call, outcome)

    def _find_service(self, request: web.Request, call: CallContext) -> ServiceItem:
        service_id = request.match_info["service"]
        service = self.context.document().services_by_id.get(service_id)
        if service is None or service_id not in call.workspace.services:
            raise refuse(
                RefusalCause.SERVICE_UNKNOWN,
                f"workspace {call.workspace.workspace_id} has no service {service_id}",
            )
        return service

    def _build_call(
        self, request: web.Request, call: CallContext, service: ServiceItem, body: bytes
    ) -> ServiceCall:
        hosts = self.context.upstreams_for(service.service_id)
        if not hosts:
            raise refuse(
                RefusalCause.NO_CANDIDATE,
                f"service {service.service_id} has no usable host",
                retry_after=1.0,
            )
        path = request.raw_path.removeprefix(f"/v1/services/{service.service_id}")
        return ServiceCall(
            workspace=call.workspace.workspace_id,
            service=service.service_id,
            key=call.idempotency_key,
            method=request.method,
            path=path,
            body=body,
            addresses=tuple(host.address for host in hosts),
            request_id=call.request_id,
            deadline=min(call.deadline, self.context.clock() + service.timeout_seconds),
            headers_by_name={
                name: request.headers[name]
                for name in FORWARDED_HEADERS
                if name in request.headers
            },
        )

    def _build_response(
        self, call: CallContext, outcome: ServiceOutcome
    ) -> web.Response:
        headers = {
            **outcome.headers_by_name,
            "X-Request-Id": call.request_id,
            "X-Run": "ran",
            "X-Repeated": "true" if outcome.repeated else "false",
        }
        return make_response(outcome.body, status=outcome.status, headers=headers)
