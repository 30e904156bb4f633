"""Give a command access to the platform and the daemons."""

import asyncio
import time
from collections import Counter
from typing import Any

from attrs import define, field

from teaselpond_model.configuration import CapacityInUse, Outage
from teaselpond_model.configuration.store import ConfigurationStore
from teaselpond_model.contracts import Address, HostKind
from teaselpond_model.exceptions import StoreUnavailable
from teaselpond_model.platform import Platform

from .daemons import DaemonAnswer, DaemonClient
from .exceptions import CommandUsage
from .output import Output
from .settings import Settings

POLL_SECONDS = 0.1
POLL_SECONDS_PER_DAEMON = 0.005


@define
class Session:
    """Manage the connections to the platform and the daemons."""

    settings: Settings
    output: Output
    _platform: Platform | None = field(default=None, init=False)

    async def __aenter__(self) -> "Session":
        self._platform = Platform.open(
            self.settings.platform, self.settings.timeout_seconds
        )
        return self

    async def __aexit__(self, *exception: object) -> None:
        await self._platform.close()

    @property
    def platform(self) -> Platform:
        """Return the platform's clients.

        Raise CommandUsage if the platform's address is not set.
        """
        if not self.settings.platform:
            raise CommandUsage(
                "the platform's address is missing: "
                "give --platform=http://ip:port or TEASELPOND_PLATFORM"
            )
        return self._platform

    @property
    def store(self) -> ConfigurationStore:
        """Return the configuration store of the table service."""
        return ConfigurationStore(self.platform.table)

    @property
    def daemons(self) -> DaemonClient:
        """Return a client for the daemons."""
        settings = self.settings
        return DaemonClient(
            self._platform.session, settings.operator_key, settings.timeout_seconds
        )

    async def addresses(self) -> tuple[Address, ...]:
        """Return the daemons' addresses from the settings or the host list.

        Raise StoreUnavailable if the host list is needed and can't be read.
        """
        configured = self.settings.daemon_addresses()
        if configured:
            return configured
        hosts = await self.platform.hosts.list_hosts()
        return tuple(host.address for host in hosts if host.kind is HostKind.ENTRY)

    async def request_all(
        self, path: str, **arguments: Any
    ) -> tuple[DaemonAnswer, ...]:
        """Send a request to every daemon concurrently."""
        return await self.daemons.request_all(await self.addresses(), path, **arguments)

    async def request_first(self, path: str) -> Any:
        """Return the value of the first successful answer.

        Raise DaemonUnreachable if no daemon answers with success.
        """
        return await self.daemons.request_first(await self.addresses(), path)

    async def capacity_in_use(self) -> CapacityInUse:
        """Return the load that the reachable daemons report.

        Daemons that don't answer are named in the output and not counted.
        """
        requests_by_model: Counter[str] = Counter()
        for answer in await self.request_all("/ops/status"):
            if not answer.succeeded:
                self.output.print_text(
                    f"requests on {answer.address} are not counted: {answer.problem}"
                )
                continue
            for engine in answer.value.get("engines", ()):
                requests_by_model[engine["model"]] += engine["in_flight"]
        zones_by_host = {}
        try:
            for host in await self.platform.hosts.list_hosts():
                zones_by_host[host.host_id] = host.zone
        except StoreUnavailable as error:
            self.output.print_text(f"the host list can't be read: {error}")
        return CapacityInUse(dict(requests_by_model), {}, zones_by_host)

    async def pending_outages(self, section: str, item_id: str) -> tuple[Outage, ...]:
        """Return the outages of an item that are not in the configuration yet.

        Daemons keep an outage ordered with ``--by_links`` until the table
        service accepts it.
        """
        outages_by_id = {}
        for answer in await self.request_all("/ops/status"):
            values = answer.value.get("outages", ()) if answer.succeeded else ()
            for value in values:
                outage = Outage(**value)
                if (outage.section, outage.item_id) == (section, item_id):
                    outages_by_id[outage.outage_id] = outage
        return tuple(outages_by_id.values())

    async def wait_until_in_force(
        self, version: int, limit_seconds: float
    ) -> list[str]:
        """Wait until a version is in force on every daemon.

        Return the addresses of the daemons without it at the time limit.
        """
        started = time.monotonic()
        while True:
            answers = await self.request_all("/ops/status")
            pending = [
                str(answer.address)
                for answer in answers
                if not answer.succeeded or answer.value["config_version"] < version
            ]
            elapsed = time.monotonic() - started
            if not pending or elapsed >= limit_seconds:
                done = len(answers) - len(pending)
                self.output.print_text(
                    f"in force on {done} of {len(answers)} daemons "
                    f"after {elapsed:.1f} s"
                )
                return pending
            await asyncio.sleep(POLL_SECONDS + POLL_SECONDS_PER_DAEMON * len(answers))
