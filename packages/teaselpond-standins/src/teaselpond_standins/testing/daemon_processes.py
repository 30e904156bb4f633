"""Run one daemon as a process of its own, and call it."""

import asyncio
import os
import time

import aiohttp
from attrs import define, field

from ..fleet import FleetPlan
from ..fleet.document import WORKSPACES
from ..fleet.process import ManagedProcess
from ..service import ServiceStandin
from .fleets import KEY, TestFleet

DAEMON_ID = "entry-1"
STOCK_PATH = "/v1/services/stock/items"
POLL_SECONDS = 0.05
ANSWER_SECONDS = 30.0
# Ordinary callers come from another address than the untrusted ones.
ORDINARY_IP = "127.0.0.2"


@define(eq=False)
class DaemonProcess:
    """Run a daemon process with its platform, an engine and the services.

    ``settings`` are the daemon's settings beyond its identity.
    """

    settings: dict[str, int] = field(factory=dict)
    fleet: TestFleet = field(
        factory=lambda: TestFleet(plan=FleetPlan(daemons=0, engines_per_zone=1))
    )
    process: ManagedProcess | None = None

    async def __aenter__(self) -> "DaemonProcess":
        await self.fleet.__aenter__()
        try:
            await self._start()
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def __aexit__(self, *exception: object) -> None:
        if self.process is not None:
            await self.process.kill()
        await self.fleet.__aexit__()

    @property
    def ip(self) -> str:
        """Return the daemon's address, which depends on this process's id."""
        high, low = divmod(os.getpid(), 256)
        return f"127.{high % 256}.{low}.1"

    @property
    def port(self) -> int:
        """Return the port for callers."""
        return int(self.process.address.rpartition(":")[2])

    @property
    def stock(self) -> ServiceStandin:
        """Return the service behind STOCK_PATH."""
        return self.fleet.services_by_id["service-stock"]

    async def call(self, path: str = STOCK_PATH, body: bytes = b"asked") -> int:
        """Send a request as an ordinary caller does, and return its status.

        It comes back as a 503 or a closed connection asks for, and gives up
        after ANSWER_SECONDS; it then returns the last status, 0 for none.
        """
        connector = aiohttp.TCPConnector(local_addr=(ORDINARY_IP, 0), force_close=True)
        timeout = aiohttp.ClientTimeout(total=ANSWER_SECONDS)
        give_up_at = time.monotonic() + ANSWER_SECONDS
        status = 0
        async with aiohttp.ClientSession(
            connector=connector,
            timeout=timeout,
            headers={"X-Workspace": WORKSPACES[0]},
        ) as session:
            while time.monotonic() < give_up_at:
                try:
                    async with session.post(
                        self.process.url + path, data=body
                    ) as response:
                        await response.read()
                        status = response.status
                except (aiohttp.ClientError, TimeoutError):
                    status = 0
                if status not in (0, 503):
                    return status
                await asyncio.sleep(POLL_SECONDS)
        return status

    async def _start(self) -> None:
        self.process = await ManagedProcess.start(
            DAEMON_ID,
            ["teaselpond"],
            {
                "TEASELPOND_DAEMON_ID": DAEMON_ID,
                "TEASELPOND_ZONE": self.fleet.plan.zones[0],
                "TEASELPOND_PLATFORM": self.fleet.platform.base_url,
                "TEASELPOND_LISTEN": f"{self.ip}:0",
                "TEASELPOND_LINK_KEYS": KEY,
                "TEASELPOND_TOKEN_KEYS": KEY,
                **{
                    f"TEASELPOND_{name.upper()}": str(value)
                    for name, value in self.settings.items()
                },
            },
        )
        status = await self.call()
        if status != 200:
            raise TimeoutError(
                f"the daemon answered {status}: {self.process.log_tail()}"
            )
