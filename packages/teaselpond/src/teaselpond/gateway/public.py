"""Answer the platform and callers that look for hosts."""

from aiohttp import web
from aiohttp.web_request import BaseRequest
from attrs import define

from teaselpond_model.contracts import Address

from .host import GatewayHost
from .locating import choose_hosts
from .members import MemberState

# Callers ask again this often, so that they leave a lost host soon.
DIRECTORY_LIFETIME_SECONDS = 1.5


@define(eq=False)
class PublicViews:
    """Serve readiness, the directory and the metrics of a host."""

    host: GatewayHost

    async def ready(self, request: BaseRequest) -> web.Response:
        """Answer 200 while this host takes callers."""
        is_ready = self.host.state(self.host.clock()) is MemberState.SERVING
        return web.Response(status=200 if is_ready else 503)

    async def metrics(self, request: BaseRequest) -> web.Response:
        """Answer with the counters and histograms."""
        return web.Response(body=self.host.metrics.render(), content_type="text/plain")

    async def directory(self, request: BaseRequest) -> web.Response:
        """Answer with the hosts to connect to."""
        codec = self.host.adapter.directory
        if request.path != codec.RESOLVE_PATH:
            return web.Response(status=404)
        zone = codec.decode_caller_zone(request.query)
        heard = self.host.members.recent(self.host.clock())
        ips = choose_hosts(self.host.heartbeat({}), heard, zone)
        if not ips:
            return web.Response(status=503)
        port = self.host.settings.listeners.entry.port
        addresses = [Address(ip, port) for ip in ips]
        lifetime = min(
            DIRECTORY_LIFETIME_SECONDS, self.host.settings.bounds.directory_ttl_seconds
        )
        body = codec.encode_addresses(addresses, lifetime)
        return web.Response(body=body, content_type="application/json")
