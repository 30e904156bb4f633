"""Start gateways as the platform does, and read what each start has cost."""

import asyncio
import os
import sys
import tempfile
from collections.abc import Awaitable, Callable
from pathlib import Path

import aiohttp
import tomli_w
from attrs import define, field, frozen

from ..platform import PlatformStandin
from ..platform.operator import HOST, KEY, wire_configuration
from ..server import free_ports
from ..service import ListedUpstream

IP = "127.0.0.1"
PORT_NAMES = ("entry", "ready", "peers", "directory", "datagrams")
POLL_SECONDS = 0.002
START_TIMEOUT_SECONDS = 20.0
NANOSECONDS_PER_SECOND = 1e9


@frozen
class StartCostPlan:
    """Configure the measurement.

    ``root`` is the repository, after its build step. ``python`` is the
    interpreter; an environment's own one would take part of the time.
    """

    runs: int = 10
    root: Path = Path()
    python: str = os.path.realpath(sys.executable)


@frozen
class StartCost:
    """Hold the processor seconds that a process had used at each step."""

    accepts: float
    ready: float
    answered: float
    peak_kilobytes: int


@define
class StartCosts:
    """Start one gateway after another against stand-ins."""

    plan: StartCostPlan
    platform: PlatformStandin = field(factory=PlatformStandin)
    upstream: ListedUpstream = field(factory=lambda: ListedUpstream("plain-1"))

    async def measure(self) -> list[StartCost]:
        """Return the cost of each start; raise TimeoutError."""
        await self.platform.start()
        await self.platform.rows.put_json("op", "config", wire_configuration())
        try:
            async with self.upstream, aiohttp.ClientSession() as session:
                entry = self.upstream.entry("plain")
                await self.platform.rows.put_json("servers", "plain-1", entry)
                return [await self._start(session) for _ in range(self.plan.runs)]
        finally:
            await self.platform.stop()

    async def _start(self, session: aiohttp.ClientSession) -> StartCost:
        ports = dict(zip(PORT_NAMES, free_ports(IP, len(PORT_NAMES)), strict=True))
        with tempfile.TemporaryDirectory(prefix="start-cost-") as directory:
            settings = Path(directory) / "settings.toml"
            settings.write_text(tomli_w.dumps(self._make_settings(ports)))
            process = await asyncio.create_subprocess_exec(
                self.plan.python,
                "-S",
                "deploy/gateway.py",
                cwd=self.plan.root,
                env={
                    "PYTHONPATH": "target/deps",
                    "PYTHONDONTWRITEBYTECODE": "1",
                    "TEASELPOND_CONFIG": str(settings),
                },
                stdout=asyncio.subprocess.DEVNULL,
            )
            try:
                async with asyncio.timeout(START_TIMEOUT_SECONDS):
                    return await self._follow(session, process.pid, ports)
            finally:
                process.kill()
                await process.wait()

    async def _follow(
        self, session: aiohttp.ClientSession, pid: int, ports: dict[str, int]
    ) -> StartCost:
        await _poll(lambda: _accepts(ports["entry"]))
        accepts = read_processor_seconds(pid)
        url = f"http://{IP}:{ports['ready']}/v1/readyz"
        # The first check waits in the listener's backlog during the imports.
        await _poll(lambda: _is_ready(session, url))
        ready = read_processor_seconds(pid)
        headers = {
            "Host": HOST,
            "X-Teaselpond-Attempt-Id": f"start-{pid}",
            "X-Teaselpond-Deadline-Ms": "5000",
            "Authorization": f"Bearer {KEY}",
        }
        url = f"http://{IP}:{ports['entry']}/orders/x"
        async with session.post(url, headers=headers, data=b"asked") as response:
            await response.read()
            if response.status != 200:
                raise RuntimeError(f"first answer has status {response.status}")
        return StartCost(
            accepts, ready, read_processor_seconds(pid), read_peak_kilobytes(pid)
        )

    def _make_settings(self, ports: dict[str, int]) -> dict:
        def address(name: str) -> str:
            return f"{IP}:{ports[name]}"

        return {
            "NodeName": "edge-1",
            "Ip": IP,
            "Zone": "zone-a",
            "Region": "region",
            "InternalPorts": [ports["datagrams"]] * 2,
            "Seeds": [],
            "Bootstrap": True,
            "Listen": {
                "Frontend": address("entry"),
                "Ready": address("ready"),
                "ControlAddr": address("peers"),
                "DirectoryAddr": address("directory"),
            },
            "Platform": {"Address": str(self.platform.address)},
        }


def read_processor_seconds(pid: int) -> float:
    """Return the processor time that a process's threads have used."""
    nanoseconds = 0
    for task in Path(f"/proc/{pid}/task").iterdir():
        nanoseconds += int((task / "schedstat").read_text().split()[0])
    return nanoseconds / NANOSECONDS_PER_SECOND


def read_peak_kilobytes(pid: int) -> int:
    """Return the most memory that a process has held."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1])
    raise ValueError(f"no peak of memory of process {pid}")


async def _poll(check: Callable[[], Awaitable[bool]]) -> None:
    while True:
        if await check():
            return
        await asyncio.sleep(POLL_SECONDS)


async def _accepts(port: int) -> bool:
    try:
        _, writer = await asyncio.open_connection(IP, port)
    except OSError:
        return False
    writer.close()
    return True


async def _is_ready(session: aiohttp.ClientSession, url: str) -> bool:
    try:
        async with session.get(url) as response:
            return response.status == 200
    except aiohttp.ClientError:
        return False
