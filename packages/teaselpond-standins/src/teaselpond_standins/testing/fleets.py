"""Run a small fleet of real daemons inside one test's event loop."""

import asyncio
import tomllib

import aiohttp
import tomli_w
from attrs import define, field

from teaselpond.daemon import Daemon
from teaselpond.settings import Settings
from teaselpond_model.configuration import AdminState, read_toml
from teaselpond_model.configuration.proposals import (
    DocumentProposal,
    Proposal,
    StateProposal,
)
from teaselpond_model.configuration.store import Author, Commit, ConfigurationStore
from teaselpond_model.contracts import Host, HostKind

from ..engine import EngineSettings, EngineStandin
from ..fleet import FleetPlan, fleet_document
from ..platform import PlatformStandin
from ..service import ServiceStandin

KEY = "a-key-of-the-test-fleet"
READY_TIMEOUT_SECONDS = 20.0
POLL_SECONDS = 0.05
FAST_ENGINE = EngineSettings(
    step_seconds=0.002, prefill_seconds_per_token=0.00001, cold_limit=8, slots=8
)


@define(eq=False)
class TestFleet:
    """Run a platform, upstreams and daemons, and call them.

    ``document_changes`` replaces sections of the plan's configuration
    document.
    """

    # The class name would make pytest collect it.
    __test__ = False

    plan: FleetPlan = field(factory=lambda: FleetPlan(daemons=2, engines_per_zone=1))
    engine_settings: EngineSettings = FAST_ENGINE
    document_changes: dict = field(factory=dict)
    platform: PlatformStandin = field(factory=PlatformStandin)
    engines_by_id: dict[str, EngineStandin] = field(factory=dict)
    services_by_id: dict[str, ServiceStandin] = field(factory=dict)
    daemons_by_id: dict[str, Daemon] = field(factory=dict)
    session: aiohttp.ClientSession | None = None
    _tasks_by_id: dict[str, asyncio.Task] = field(factory=dict)
    _commit_count: int = 0

    async def __aenter__(self) -> "TestFleet":
        try:
            await self._start()
        except BaseException:
            await self._stop()
            raise
        return self

    async def __aexit__(self, *_exception: object) -> None:
        await self._stop()

    async def _start(self) -> None:
        self.session = aiohttp.ClientSession()
        await self.platform.start()
        for engine_id in self.plan.engine_ids():
            engine = EngineStandin(self.engine_settings)
            self.engines_by_id[engine_id] = engine
            await engine.start()
            await self._register(
                engine_id, engine, engine_id.split("-")[1], HostKind.ENGINE
            )
        for host_id in ("service-orders", "service-stock"):
            service = ServiceStandin()
            self.services_by_id[host_id] = service
            await service.start()
            await self._register(host_id, service, self.plan.zones[0], HostKind.SERVICE)
        document = {**fleet_document(self.plan), **self.document_changes}
        text = tomli_w.dumps(document)
        tomllib.loads(text)
        await self.commit(DocumentProposal(read_toml(text).document, 0))
        await asyncio.gather(*(self.start_daemon(d) for d in self.plan.daemon_ids()))
        await asyncio.gather(*(self.wait_ready(d) for d in self.daemons_by_id))

    async def _register(self, host_id: str, standin, zone: str, kind: HostKind) -> None:
        await self.platform.hosts.register(Host(host_id, standin.address, zone, kind))

    async def start_daemon(self, daemon_id: str) -> Daemon:
        """Start a daemon and wait until it listens."""
        daemon = Daemon(
            Settings(
                daemon_id=daemon_id,
                zone=self.plan.zone_of_daemon(daemon_id),
                platform=self.platform.base_url,
                link_keys=(KEY,),
                token_keys=(KEY,),
                locate_ttl_seconds=0.2,
                poll_interval_seconds=0.2,
                max_body_bytes=100_000,
            )
        )
        self.daemons_by_id[daemon_id] = daemon
        self._tasks_by_id[daemon_id] = asyncio.create_task(daemon.serve())
        await asyncio.wait_for(daemon.started.wait(), READY_TIMEOUT_SECONDS)
        return daemon

    async def stop_daemon(self, daemon_id: str) -> bool:
        """Stop a daemon gracefully and return whether every request ended."""
        self.daemons_by_id.pop(daemon_id).request_stop()
        return await self._tasks_by_id.pop(daemon_id)

    async def kill_daemon(self, daemon_id: str) -> None:
        """Kill a daemon: close its ports and links without a goodbye."""
        daemon = self.daemons_by_id.pop(daemon_id)
        links = daemon.parts.links
        links._server.close()
        for link in list(links._links):
            link.abort("killed")
        links.set_neighbours(())
        task = self._tasks_by_id.pop(daemon_id)
        daemon.parts.membership = None
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    async def wait_ready(self, daemon_id: str) -> None:
        """Wait until a daemon is ready.

        Raise TimeoutError after READY_TIMEOUT_SECONDS.
        """
        for _ in range(int(READY_TIMEOUT_SECONDS / POLL_SECONDS)):
            if await self.ready_status(daemon_id) == 200:
                return
            await asyncio.sleep(POLL_SECONDS)
        raise TimeoutError(
            f"daemon {daemon_id} is not ready after {READY_TIMEOUT_SECONDS} s"
        )

    async def ready_status(self, daemon_id: str) -> int:
        """Return the HTTP status of a daemon's readiness check."""
        async with self.session.get(f"{self.url(daemon_id)}/readyz") as response:
            return response.status

    def versions(self) -> set[int]:
        """Return the configuration versions in force on the daemons."""
        return {
            daemon.parts.keeper.in_force.value.version
            for daemon in self.daemons_by_id.values()
        }

    def url(self, daemon_id: str = "entry-1") -> str:
        """Return a daemon's base URL for callers."""
        return f"http://{self.daemons_by_id[daemon_id].parts.caller_address}"

    async def commit(self, proposal: Proposal) -> int:
        """Commit a configuration change and return its version."""
        store = ConfigurationStore(self.platform.table)
        replica = await store.load()
        self._commit_count += 1
        commit = Commit(
            await store.edit(proposal, replica),
            Author("test"),
            f"apply-{self._commit_count}",
            0.0,
            force=True,
        )
        return (await store.commit(commit, replica)).version

    async def set_zone(self, zone: str, state: AdminState) -> int:
        """Take a zone out of service or put it back."""
        return await self.commit(StateProposal("zones", zone, state))

    async def set_host(self, host_id: str, state: AdminState) -> int:
        """Take a host out of service or put it back."""
        return await self.commit(StateProposal("hosts", host_id, state))

    async def _stop(self) -> None:
        for task in self._tasks_by_id.values():
            task.cancel()
        await asyncio.gather(*self._tasks_by_id.values(), return_exceptions=True)
        for standin in (*self.engines_by_id.values(), *self.services_by_id.values()):
            await standin.stop()
        await self.platform.stop()
        await self.session.close()
