"""Give the views access to the daemon's parts."""

import time
from collections.abc import Callable

from aiohttp import web
from attrs import frozen

from teaselpond_model.configuration import Document
from teaselpond_model.contracts import Host

from ..assembly.fleet_follower import FleetFollower
from ..assembly.locator import Locator
from ..configuration import ConfigurationInForce, ConfigurationKeeper
from ..delivery.drain import Drain
from ..delivery.jobs import JobScheduler
from ..delivery.ledger import Ledger
from ..delivery.poison import Quarantine
from ..delivery.relay import ChatRelay
from ..delivery.services import IdempotentCalls
from ..delivery.verdicts import RefusalCause, refuse
from ..links import LinkManager
from ..metrics import Metrics
from ..owner import SlotBroker
from ..settings import Settings
from .callers import REQUEST_ID_KEY, CallContext, read_call
from .journal import RequestJournal

NOT_READY_RETRY_SECONDS = 1.0


@frozen
class EntryContext:
    """Hold the parts of the daemon that views use.

    ``clock`` is monotonic; ``wall_clock`` gives Unix seconds.
    """

    settings: Settings
    incarnation: int
    metrics: Metrics
    keeper: ConfigurationKeeper
    broker: SlotBroker
    relay: ChatRelay
    ledger: Ledger
    idempotent_calls: IdempotentCalls
    jobs: JobScheduler
    quarantine: Quarantine
    drain: Drain
    links: LinkManager
    fleet: FleetFollower
    locator: Locator
    journal: RequestJournal
    clock: Callable[[], float] = time.monotonic
    wall_clock: Callable[[], float] = time.time

    def in_force(self) -> ConfigurationInForce:
        """Return the configuration in force; raise Refused without one."""
        in_force = self.keeper.in_force.value
        if in_force is None:
            raise refuse(
                RefusalCause.DAEMON_NOT_READY, retry_after=NOT_READY_RETRY_SECONDS
            )
        return in_force

    def document(self) -> Document:
        """Return the document in force; raise Refused without one."""
        return self.in_force().document

    def read_call(self, request: web.Request) -> CallContext:
        """Return a call's context and store its request id in the request.

        Raise Refused for an invalid header or without a configuration.
        """
        call = read_call(
            request,
            self.document(),
            self.clock(),
            self.settings.default_deadline_seconds,
        )
        request[REQUEST_ID_KEY] = call.request_id
        return call

    def upstreams_for(self, service_id: str) -> tuple[Host, ...]:
        """Return the usable hosts of a service, those in this zone first."""
        document = self.document()
        service = document.services_by_id[service_id]
        hosts_by_id = self.fleet.upstream_hosts()
        hosts = [
            hosts_by_id[host_id]
            for host_id in service.hosts
            if host_id in hosts_by_id
            and document.is_host_in_service(host_id, hosts_by_id[host_id].zone)
        ]
        hosts.sort(key=lambda host: (host.zone != self.settings.zone, host.host_id))
        return tuple(hosts)
