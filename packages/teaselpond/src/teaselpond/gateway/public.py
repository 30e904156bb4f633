"""Serve readiness, the host directory and metrics over HTTP."""

from collections.abc import Sequence

from aiohttp.web_request import BaseRequest
from attrs import define

from teaselpond_model.contracts import Address

from . import web
from .directory.choosing import UsableHost, choose_by_capacity
from .host import GatewayHost
from .locating import choose_hosts
from .members import Heartbeat, MemberState, member_id

# Callers cache the directory for this long, so they soon stop using a host
# that failed.
DIRECTORY_LIFETIME_SECONDS = 1.5


@define(eq=False)
class PublicViews:
    """Handle requests for a host's readiness, directory and metrics."""

    host: GatewayHost
    _is_by_capacity: bool = False

    async def ready(self, request: BaseRequest) -> web.Response:
        """Answer 200 while this host serves callers, otherwise 503."""
        is_ready = self.host.state(self.host.clock()) is MemberState.SERVING
        return web.Response(status=200 if is_ready else 503)

    async def metrics(self, request: BaseRequest) -> web.Response:
        """Answer with all metrics in the Prometheus text format."""
        return web.Response(body=self.host.metrics.render(), content_type="text/plain")

    async def directory(self, request: BaseRequest) -> web.Response:
        """Answer with the hosts that callers of a zone should connect to."""
        codec = self.host.adapter.directory
        if request.path != codec.RESOLVE_PATH:
            return web.Response(status=404)
        zone = codec.decode_caller_zone(request.query)
        recent_members = self.host.members.recent(self.host.clock())
        ips = choose_hosts(
            self.host.heartbeat({}),
            recent_members,
            zone,
            lambda usable: self._choose_by_capacity(usable, zone),
        )
        if not ips:
            return web.Response(status=503)
        port = self.host.settings.listeners.entry.port
        addresses = [Address(ip, port) for ip in ips]
        lifetime = min(
            DIRECTORY_LIFETIME_SECONDS, self.host.settings.bounds.directory_ttl_seconds
        )
        body = codec.encode_addresses(addresses, lifetime)
        return web.Response(body=body, content_type="application/json")

    def _choose_by_capacity(
        self, usable: Sequence[Heartbeat], zone: str
    ) -> list[str] | None:
        host = self.host
        now = host.clock()
        hosts = [
            UsableHost(
                each.ip,
                each.availability_zone,
                host.capacities.reading(member_id(each.host, each.incarnation), now),
            )
            for each in usable
        ]
        chosen = choose_by_capacity(hosts, zone, host.rng)
        is_by_capacity = chosen is not None
        host.metrics.record_directory_answer(is_by_capacity=is_by_capacity)
        if is_by_capacity != self._is_by_capacity:
            self._is_by_capacity = is_by_capacity
            host.journal.write(
                "directory-mode",
                now,
                by_capacity=is_by_capacity,
                hosts=len(hosts),
                unknown=sum(each.reading is None for each in hosts),
                utilization=round(host.capacities.utilization, 2),
            )
        return chosen
