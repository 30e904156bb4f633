"""Start and stop the processes of a fleet."""

import asyncio
import subprocess
import sys
import tempfile

import aiohttp
import tomli_w

from teaselpond_model.exceptions import TeaselpondError

from .document import ORDER_SERVICE, STOCK_SERVICE, FleetPlan, fleet_document
from .process import ManagedProcess

READY_TIMEOUT_SECONDS = 20.0
POLL_SECONDS = 0.1
STANDINS_MODULE = "teaselpond_standins"
LINK_KEY = "demo-link-key-0123456789"
TOKEN_KEY = "demo-token-key-0123456789"


class Fleet:
    """Run a platform, upstreams and daemons, each in a separate process."""

    def __init__(self, plan: FleetPlan) -> None:
        self.plan = plan
        self.platform: ManagedProcess | None = None
        self.engines_by_id: dict[str, ManagedProcess] = {}
        self.services_by_id: dict[str, ManagedProcess] = {}
        self.daemons_by_id: dict[str, ManagedProcess] = {}

    async def __aenter__(self) -> "Fleet":
        try:
            await self.start()
        except BaseException:
            await self.stop()
            raise
        return self

    async def __aexit__(self, *_exception) -> None:
        await self.stop()

    async def start(self) -> None:
        """Start all processes and wait until the daemons are ready.

        The configuration document is applied before the daemons start.
        """
        self.platform = await ManagedProcess.start(
            "platform", [STANDINS_MODULE, "platform"]
        )
        await asyncio.gather(
            *(self.start_engine(engine_id) for engine_id in self.plan.engine_ids()),
            self.start_service(f"service-{ORDER_SERVICE}"),
            self.start_service(f"service-{STOCK_SERVICE}"),
        )
        await self.apply(fleet_document(self.plan))
        await asyncio.gather(*(self.start_daemon(d) for d in self.plan.daemon_ids()))
        await asyncio.gather(*(self.wait_ready(d) for d in self.daemons_by_id))

    async def start_engine(self, engine_id: str) -> None:
        """Start an engine stand-in in the zone that its id names."""
        self.engines_by_id[engine_id] = await ManagedProcess.start(
            engine_id,
            [
                STANDINS_MODULE,
                "engine",
                f"--platform={self.platform.url}",
                f"--host_id={engine_id}",
                f"--zone={engine_id.split('-')[1]}",
                f"--slots={self.plan.slots}",
                f"--cold_limit={self.plan.cold_limit}",
            ],
        )

    async def start_service(self, host_id: str) -> None:
        """Start a service stand-in in the first zone."""
        self.services_by_id[host_id] = await ManagedProcess.start(
            host_id,
            [
                STANDINS_MODULE,
                "service",
                f"--platform={self.platform.url}",
                f"--host_id={host_id}",
                f"--zone={self.plan.zones[0]}",
            ],
        )

    async def start_daemon(self, daemon_id: str) -> None:
        """Start a daemon; it reads its keys from the environment."""
        self.daemons_by_id[daemon_id] = await ManagedProcess.start(
            daemon_id,
            [
                "teaselpond",
                f"--daemon_id={daemon_id}",
                f"--zone={self.plan.zone_of_daemon(daemon_id)}",
                f"--platform={self.platform.url}",
                "--locate_ttl_seconds=1",
            ],
            {"TEASELPOND_LINK_KEYS": LINK_KEY, "TEASELPOND_TOKEN_KEYS": TOKEN_KEY},
        )

    async def wait_ready(self, daemon_id: str) -> None:
        """Wait until a daemon is ready.

        Raise TeaselpondError if it exits or exceeds READY_TIMEOUT_SECONDS.
        """
        daemon = self.daemons_by_id[daemon_id]
        loop = asyncio.get_running_loop()
        deadline = loop.time() + READY_TIMEOUT_SECONDS
        async with aiohttp.ClientSession() as session:
            while loop.time() < deadline and daemon.running:
                try:
                    async with session.get(f"{daemon.url}/readyz") as response:
                        if response.status == 200:
                            return
                except aiohttp.ClientError:
                    pass
                await asyncio.sleep(POLL_SECONDS)
        raise TeaselpondError(
            f"daemon {daemon_id} did not become ready: {daemon.log_tail()}",
            step="ready",
            peer=daemon_id,
        )

    async def apply(self, document: dict) -> str:
        """Apply a configuration document and return the command's output."""
        with tempfile.NamedTemporaryFile("wb", suffix=".toml") as file:
            tomli_w.dump(document, file)
            file.flush()
            return await self.run_ctl("config", "apply", file.name)

    async def run_ctl(self, *arguments: str) -> str:
        """Run teaselpondctl and return its output.

        Raise TeaselpondError if it exits with an error.
        """
        command = [
            sys.executable,
            "-m",
            "teaselpond_ctl",
            *arguments,
            f"--platform={self.platform.url}",
        ]
        if self.daemons_by_id:
            addresses = ",".join(self.live_addresses())
            command.append(f"--daemons={addresses}")
        process = await asyncio.create_subprocess_exec(
            *command, stdout=subprocess.PIPE, stderr=subprocess.PIPE
        )
        output, errors = await process.communicate()
        if process.returncode != 0:
            raise TeaselpondError(
                f"teaselpondctl {' '.join(arguments)} failed: {output.decode()} "
                f"{errors.decode()}",
                step="control",
            )
        return output.decode()

    def live_addresses(self) -> tuple[str, ...]:
        """Return the addresses of the running daemons for callers."""
        return tuple(d.address for d in self.daemons_by_id.values() if d.running)

    async def stop(self) -> None:
        """Kill the daemons, then stop the upstreams and the platform."""
        daemons = list(self.daemons_by_id.values())
        upstreams = [*self.engines_by_id.values(), *self.services_by_id.values()]
        await asyncio.gather(*(process.kill() for process in daemons))
        await asyncio.gather(*(process.stop() for process in upstreams))
        if self.platform is not None:
            await self.platform.stop()
