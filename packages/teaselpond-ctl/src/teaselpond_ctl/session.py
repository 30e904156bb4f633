"""Hold what one command works with."""

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

FOLLOW_SECONDS = 0.1
FOLLOW_SECONDS_PER_DAEMON = 0.005


@define
class Session:
    """Open the platform and the daemons for one command."""

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
        """Return the platform's clients; raise CommandUsage without one."""
        if not self.settings.platform:
            raise CommandUsage(
                "the platform's address is missing: "
                "give --platform=http://ip:port or TEASELPOND_PLATFORM"
            )
        return self._platform

    @property
    def store(self) -> ConfigurationStore:
        """Return the configuration in the table service."""
        return ConfigurationStore(self.platform.table)

    @property
    def daemons(self) -> DaemonClient:
        """Return the client of the daemons."""
        settings = self.settings
        return DaemonClient(
            self._platform.session, settings.operator_key, settings.timeout_seconds
        )

    async def addresses(self) -> tuple[Address, ...]:
        """Return the daemons named by settings, or else all that are listed.

        Raise StoreUnavailable when the list is needed and can't be read.
        """
        named = self.settings.daemon_addresses()
        if named:
            return named
        hosts = await self.platform.hosts.list_hosts()
        return tuple(host.address for host in hosts if host.kind is HostKind.ENTRY)

    async def ask_all(self, path: str, **call: Any) -> tuple[DaemonAnswer, ...]:
        """Send one call to every daemon."""
        return await self.daemons.ask_all(await self.addresses(), path, **call)

    async def ask_any(self, path: str) -> Any:
        """Return the first daemon's answer; raise DaemonUnreachable."""
        return await self.daemons.ask_any(await self.addresses(), path)

    async def in_use(self) -> CapacityInUse:
        """Return what the daemons run, as far as they answer."""
        requests: Counter[str] = Counter()
        for answer in await self.ask_all("/ops/status"):
            if not answer.succeeded:
                self.output.print_text(
                    f"{answer.address} wasn't asked: {answer.problem}"
                )
                continue
            for engine in answer.value.get("engines", ()):
                requests[engine["model"]] += engine["in_flight"]
        zones_by_host = {}
        try:
            for host in await self.platform.hosts.list_hosts():
                zones_by_host[host.host_id] = host.zone
        except StoreUnavailable as error:
            self.output.print_text(f"the list of hosts wasn't read: {error}")
        return CapacityInUse(dict(requests), {}, zones_by_host)

    async def pending_outages(self, section: str, item_id: str) -> tuple[Outage, ...]:
        """Return the orders for an item that no version holds yet."""
        outages_by_id = {}
        for answer in await self.ask_all("/ops/status"):
            values = answer.value.get("outages", ()) if answer.succeeded else ()
            for value in values:
                outage = Outage(**value)
                if (outage.section, outage.item_id) == (section, item_id):
                    outages_by_id[outage.outage_id] = outage
        return tuple(outages_by_id.values())

    async def follow(self, version: int, limit_seconds: float) -> list[str]:
        """Wait until a version is in force, and return who lacks it."""
        started = time.monotonic()
        while True:
            answers = await self.ask_all("/ops/status")
            lacking = [
                str(answer.address)
                for answer in answers
                if not answer.succeeded or answer.value["config_version"] < version
            ]
            passed = time.monotonic() - started
            if not lacking or passed >= limit_seconds:
                have = len(answers) - len(lacking)
                self.output.print_text(
                    f"in force on {have} of {len(answers)} daemons after {passed:.1f} s"
                )
                return lacking
            await asyncio.sleep(
                FOLLOW_SECONDS + FOLLOW_SECONDS_PER_DAEMON * len(answers)
            )
