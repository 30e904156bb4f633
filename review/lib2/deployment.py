"""Start a small deployment on loopback: store, engines and gateways."""

import asyncio
import os
import pathlib
import signal
import subprocess
import tempfile
import time

from standins import HOST, Engine, Record, Store, ask, free_ports, loopback

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
KEY = "key-1"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
PORTS = ("Frontend", "Ready", "ControlAddr", "DirectoryAddr", "datagrams")
# The bounds of the sheet of the site hairline-shared.
BOUNDS = {
    "SeedLagS": 3,
    "ReuseAfterS": 2,
    "ContactMs": 3000,
    "AckMs": 4000,
    "CatchUpS": 4,
    "DrainMs": 2000,
    "GraceS": 8,
    "LossSlackMs": 200,
    "ConfigApplyMs": 2000,
    "RollbackSlackMs": 250,
    "OuterMs": 5000,
    "StrictRevoke": "true",
    "RevokeMs": 5000,
    "RetryRatio": 0.2,
    "RetryWindowS": 10,
    "RetrySlack": 52,
    "ColdOverage": 1.5,
    "ColdSlack": 5,
    "EvacuateMs": 5000,
    "RecoveryS": 12,
    "EventLagMs": 120,
    "ReuseWindowS": 10,
    "CapFactor": 2,
    "ttl_max_s": 5,
}
CONTACT_SECONDS = 3.0


def route(name: str, kind: str, service: str, **more: object) -> dict:
    """Return a route of the configuration."""
    return {
        "Name": name,
        "Host": HOST,
        "Prefix": f"/{name}/",
        "Type": kind,
        "TimeoutMs": 2000,
        "SloMs": 400,
        "Priority": 1,
        "Service": service,
        "MaxAttempts": 2,
        "Public": False,
        **more,
    }


def configuration(routes: list[dict], services: list[dict], version: int = 1) -> dict:
    """Return a whole configuration with one tenant."""
    return {
        "Version": version,
        "Routes": routes,
        "Services": services,
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 4194304,
            "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000,
        },
        "Tenants": [{"Name": "tenant-1", "ApiKeys": [KEY]}],
    }


class Gateway:
    """Run a gateway with the command of the deploy file."""

    def __init__(self, site: "Site", number: int, zone: str) -> None:
        self.site, self.number, self.zone = site, number, zone
        self.name = f"edge-{zone}-{number}"
        self.ip = loopback(number)
        self.process: subprocess.Popen | None = None
        self.settings = site.folder / f"{self.name}.toml"
        self.log = site.folder / f"{self.name}.log"
        self.ends: list[int] = []

    @property
    def front(self) -> tuple[str, int]:
        """Return the address for clients."""
        return self.ip, self.site.ports["Frontend"]

    def write_settings(self, *, bootstrap: bool) -> None:
        """Write the settings file in the platform's format."""
        site = self.site
        ports = site.ports
        seeds = ", ".join(
            f'"{loopback(n)}:{ports["ControlAddr"]}"'
            for n in range(1, min(3, site.gateway_count) + 1)
        )
        lines = [
            f'NodeName = "{self.name}"',
            'Role = "gateway"',
            'MachineClass = "edge"',
            'Serves = ["edge", "control", "registry"]',
            f'Ip = "{self.ip}"',
            f'Zone = "{self.zone}"',
            'Region = "region"',
            f"InternalPorts = [{ports['datagrams']}, {ports['datagrams']}]",
            f"Seeds = [{seeds}]",
            f"Bootstrap = {str(bootstrap).lower()}",
            "HeartbeatMs = 1200",
            "[Listen]",
            *(f'{name} = "{self.ip}:{ports[name]}"' for name in PORTS[:4]),
            "[Limits]",
            *(f"{name} = {value}" for name, value in site.limits.items()),
            "[Bounds]",
            *(f"{name} = {value}" for name, value in BOUNDS.items()),
            "[Platform]",
            f'Address = "{site.store.address}"',
            'form = "table"',
        ]
        temporary = self.settings.with_suffix(".new")
        temporary.write_text("\n".join(lines) + "\n")
        temporary.replace(self.settings)

    def start(self) -> None:
        """Start the process."""
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["TEASELPOND_CONFIG"] = str(self.settings)
        self.process = subprocess.Popen(
            ["python3", "-S", "deploy/gateway.py"],
            cwd=ROOT,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=self.log.open("ab"),
            stderr=subprocess.STDOUT,
        )

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def memory_mb(self) -> tuple[float, float]:
        """Return the memory that the process holds, and its peak."""
        found = {}
        try:
            text = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0.0, 0.0
        for line in text.splitlines():
            name, _, value = line.partition(":")
            if name in ("VmRSS", "VmHWM"):
                found[name] = int(value.split()[0]) / 1024
        return found.get("VmRSS", 0.0), found.get("VmHWM", 0.0)

    def processor_seconds(self) -> float:
        """Return the processor time that the process has used."""
        try:
            fields = pathlib.Path(f"/proc/{self.process.pid}/stat").read_text().split()
        except OSError:
            return 0.0
        return (int(fields[13]) + int(fields[14])) / os.sysconf("SC_CLK_TCK")

    async def is_ready(self) -> bool:
        """Return whether the gateway says that it is ready."""
        address = self.ip, self.site.ports["Ready"]
        return (await ask(address, "GET", "/v1/readyz", {}, seconds=1.0)).status == 200


class Site:
    """Hold the parts of a deployment, and end all processes at its end."""

    def __init__(
        self,
        record: Record,
        *,
        gateways: int,
        limits: dict[str, object],
        routes: list[dict],
        services: list[dict],
        engines: list[tuple[str, int, object]],
    ) -> None:
        self.record, self.gateway_count, self.limits = record, gateways, limits
        self.store = Store()
        self.configuration = configuration(routes, services)
        self._folder = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = pathlib.Path(self._folder.name)
        self.ports: dict[str, int] = {}
        zones = ("zone-a", "zone-b", "zone-c")
        self.gateways: list[Gateway] = [
            Gateway(self, n + 1, zones[n % 3]) for n in range(gateways)
        ]
        self.engines = [
            Engine(n + 1, service, zones[n % 3], handle)
            for service, count, handle in engines
            for n in range(count)
        ]
        self._tasks: list[asyncio.Task] = []

    async def __aenter__(self) -> "Site":
        await self.store.start(loopback(200))
        self.ports = dict(zip(PORTS, free_ports(loopback(1), len(PORTS)), strict=True))
        await self.store.put("op", "config", self.configuration)
        for number, engine in enumerate(self.engines):
            await engine.start(loopback(210 + number))
            await self.store.put("servers", engine.id, engine.entry())
        for gateway in self.gateways:
            gateway.write_settings(bootstrap=True)
            gateway.start()
        if not await self.wait_until_ready(30.0):
            raise RuntimeError("the gateways are not ready")
        for gateway in self.gateways:
            gateway.write_settings(bootstrap=False)
        return self

    async def __aexit__(self, *exception: object) -> None:
        for task in self._tasks:
            task.cancel()
        for gateway in self.gateways:
            if gateway.process is not None:
                gateway.signal(signal.SIGCONT)
                gateway.signal(signal.SIGKILL)
                gateway.process.wait()
        logs = os.environ.get("KEEP_LOGS")
        if logs:
            for gateway in self.gateways:
                pathlib.Path(logs, gateway.log.name).write_bytes(
                    gateway.log.read_bytes()
                )
        self._folder.cleanup()

    async def wait_until_ready(self, seconds: float) -> bool:
        """Wait until all gateways are ready; return whether they are."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if all([await gateway.is_ready() for gateway in self.gateways]):
                return True
            await asyncio.sleep(0.1)
        return False

    def background(self, coroutine) -> asyncio.Task:
        """Run a coroutine until the end of the site."""
        task = asyncio.create_task(coroutine)
        self._tasks.append(task)
        return task

    async def crash_and_return(self, engine: Engine, seconds: float) -> None:
        """Crash an engine; start it as a new process after some seconds.

        Its entry of before is removed after three heartbeat intervals.
        """
        old_id = engine.id
        engine.crash()
        self.record("crash of", old_id)
        self.background(self._return(engine, old_id, seconds))

    async def _return(self, engine: Engine, old_id: str, seconds: float) -> None:
        await asyncio.sleep(seconds)
        await engine.start(engine.ip)
        await self.store.put("servers", engine.id, engine.entry())
        self.record("start of", engine.id)
        await asyncio.sleep(max(0.0, 3.6 - seconds))
        await self.store.remove("servers", old_id)
