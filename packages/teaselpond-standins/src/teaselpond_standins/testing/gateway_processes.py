"""Run one gateway as a process of its own, and read its memory and files."""

import asyncio
import itertools
import os
import tempfile
import time
from pathlib import Path
from typing import Any

import aiohttp
import tomli_w
from attrs import define, field

from ..fleet.process import ManagedProcess
from ..platform import PlatformStandin
from ..platform.operator import HOST, KEY, wire_configuration
from ..server import free_ports
from ..service import ListedUpstream

PORT_NAMES = ("entry", "ready", "peers", "directory", "datagrams")
# The port of the metrics address in the deploy file.
METRICS_PORT = 9464
READY_SECONDS = 20.0
POLL_SECONDS = 0.05
ANSWER_SECONDS = 30.0
# Ordinary callers come from another address than the untrusted ones.
ORDINARY_IP = "127.0.0.2"
_request_numbers = itertools.count(1)


@define(eq=False)
class GatewayProcess:
    """Run a gateway process with its store and one upstream of each service.

    ``limits`` is the configuration's section of that name, ``host_limits``
    that of the settings file.
    """

    limits: dict[str, Any] = field(factory=dict)
    host_limits: dict[str, Any] = field(factory=dict)
    platform: PlatformStandin = field(factory=PlatformStandin)
    model: ListedUpstream = field(factory=lambda: ListedUpstream("m0"))
    plain: ListedUpstream = field(factory=lambda: ListedUpstream("p0"))
    ports: dict[str, int] = field(factory=dict)
    process: ManagedProcess | None = None
    _directory: tempfile.TemporaryDirectory | None = None

    async def __aenter__(self) -> "GatewayProcess":
        await self.platform.start()
        configuration = wire_configuration(Limits=self.limits)
        await self.platform.rows.put_json("op", "config", configuration)
        for service, upstream in (("model", self.model), ("plain", self.plain)):
            await upstream.__aenter__()
            entry = upstream.entry(service)
            await self.platform.rows.put_json("servers", upstream.engine_id, entry)
        ports = free_ports(self.ip, len(PORT_NAMES))
        self.ports = dict(zip(PORT_NAMES, ports, strict=True))
        self.ports["metrics"] = METRICS_PORT
        self._directory = tempfile.TemporaryDirectory(prefix="gateway-")
        path = Path(self._directory.name) / "settings.toml"
        path.write_text(tomli_w.dumps(self._settings()))
        self.process = await ManagedProcess.start(
            "gateway",
            ("teaselpond.platform",),
            {"TEASELPOND_CONFIG": str(path), "SSL_CERT_FILE": os.devnull},
        )
        await self._wait_until_ready()
        return self

    async def __aexit__(self, *exception: object) -> None:
        await self.process.kill()
        await self.model.__aexit__()
        await self.plain.__aexit__()
        await self.platform.stop()
        self._directory.cleanup()

    @property
    def ip(self) -> str:
        """Return the gateway's address, which depends on this process's id."""
        high, low = divmod(os.getpid(), 256)
        return f"127.{high % 256}.{low}.1"

    @property
    def memory_peak_mb(self) -> float:
        """Return the most memory that the process has held, in MiB."""
        return self.process.memory_peak_mb

    @property
    def memory_mb(self) -> float:
        """Return the memory that the process holds, in MiB."""
        return self.process.memory_mb

    @property
    def descriptors(self) -> int:
        """Return how many descriptors the process has open."""
        return self.process.descriptors

    async def call(
        self, path: str = "/stock/x", body: bytes = b"asked", method: str = "POST"
    ) -> int:
        """Send a request as an ordinary caller does, and return its status.

        It comes back as a 503 or a closed connection asks for, and gives up
        after ANSWER_SECONDS; it then returns the last status, 0 for none.
        """
        connector = aiohttp.TCPConnector(local_addr=(ORDINARY_IP, 0), force_close=True)
        timeout = aiohttp.ClientTimeout(total=ANSWER_SECONDS)
        give_up_at = time.monotonic() + ANSWER_SECONDS
        status = 0
        async with aiohttp.ClientSession(
            connector=connector, timeout=timeout
        ) as session:
            while time.monotonic() < give_up_at:
                headers = {
                    "Host": HOST,
                    "X-Teaselpond-Attempt-Id": f"ordinary-{next(_request_numbers)}",
                    "Authorization": f"Bearer {KEY}",
                }
                url = f"http://{self.ip}:{self.ports['entry']}{path}"
                try:
                    async with session.request(
                        method, url, headers=headers, data=body
                    ) as response:
                        await response.read()
                        status = response.status
                except (aiohttp.ClientError, TimeoutError):
                    status = 0
                if status not in (0, 503):
                    return status
                await asyncio.sleep(POLL_SECONDS)
        return status

    async def _wait_until_ready(self) -> None:
        url = f"http://{self.ip}:{self.ports['ready']}/v1/readyz"
        async with asyncio.timeout(READY_SECONDS), aiohttp.ClientSession() as session:
            while True:
                try:
                    async with session.get(url) as response:
                        if response.status == 200:
                            break
                except aiohttp.ClientError:
                    pass
                await asyncio.sleep(POLL_SECONDS)

    def _settings(self) -> dict[str, Any]:
        def address(name: str) -> str:
            return f"{self.ip}:{self.ports[name]}"

        return {
            "NodeName": "edge-0",
            "Ip": self.ip,
            "Zone": "zone-a",
            "Region": "region",
            "InternalPorts": [self.ports["datagrams"], self.ports["datagrams"]],
            "Seeds": [address("peers")],
            "Bootstrap": True,
            "Listen": {
                "Frontend": address("entry"),
                "Ready": address("ready"),
                "ControlAddr": address("peers"),
                "DirectoryAddr": address("directory"),
            },
            "Platform": {"Address": str(self.platform.address)},
            "Bounds": {"GraceS": 8.0, "RetryRatio": 0.2, "RetrySlack": 50},
            "Limits": self.host_limits,
        }
