"""Run gateways as processes, with what they need, on loopback."""

import asyncio
import itertools
import os
import tempfile
import time
from pathlib import Path
from typing import Any

import aiohttp
import tomli_w
from attrs import define, field, frozen

from ..fleet.process import ManagedProcess
from ..platform import PlatformStandin
from ..platform.operator import KEY, wire_configuration
from ..server import free_ports
from ..service import ListedUpstream
from .proxy import FaultyProxy

PORT_NAMES = ("entry", "ready", "peers", "directory", "datagrams")
SEEDS = 3
ZONES = ("zone-a", "zone-b")
REGION = "region"
MODEL = "model"
PLAIN = "plain"
STREAM_EVENTS = 5
EVENT_SECONDS = 0.05
WORK_SECONDS = 0.03
ASK_SECONDS = 1.0
READY_POLL_SECONDS = 0.1
GRACE_SECONDS = 8.0


@frozen
class SoakPlan:
    """Describe a soak; the same plan disturbs the same things again."""

    seed: int = 1
    seconds: float = 30.0
    mean_gap_seconds: float = 1.0
    gateways: int = 6
    models: int = 4
    plains: int = 3
    callers: int = 24
    # A folder that takes the records and the gateways' logs of a failure.
    dump: str = ""


@define(eq=False)
class SoakEngine:
    """Hold a listed upstream, the proxy before it and its incarnations."""

    upstream: ListedUpstream
    proxy: FaultyProxy
    service: str
    availability_zone: str
    born: int = 1

    def entry(self, **fields: object) -> dict[str, Any]:
        """Return the engine's own entry in the store."""
        return self.upstream.entry(
            self.service,
            **{
                "Address": str(self.proxy.address),
                "Zone": self.availability_zone,
                "born": self.born,
                **fields,
            },
        )


@define(eq=False)
class SoakGateway:
    """Hold one gateway's process, settings and own way to the store."""

    name: str
    ip: str
    availability_zone: str
    store: FaultyProxy
    settings: Path
    process: ManagedProcess | None = None
    logs: list[str] = field(factory=list)

    async def start(self) -> None:
        """Start the process; raise TeaselpondError."""
        self.process = await ManagedProcess.start(
            self.name,
            ("teaselpond.platform",),
            {"TEASELPOND_CONFIG": str(self.settings), "SSL_CERT_FILE": os.devnull},
        )

    async def end(self) -> None:
        """Kill the process if it runs, and keep its log."""
        if self.process is not None:
            await self.process.kill()
            self.logs += self.process.log_lines
            self.process = None


@define(eq=False)
class SoakSite:
    """Start everything that a soak plays with, and end it."""

    plan: SoakPlan
    configuration: dict[str, Any] = field(factory=wire_configuration)
    platform: PlatformStandin = field(factory=PlatformStandin)
    engines_by_id: dict[str, SoakEngine] = field(factory=dict)
    gateways_by_name: dict[str, SoakGateway] = field(factory=dict)
    ports: dict[str, int] = field(factory=dict)
    session: aiohttp.ClientSession | None = None
    _folder: tempfile.TemporaryDirectory | None = None
    _writing: asyncio.Lock = field(factory=asyncio.Lock)

    async def __aenter__(self) -> "SoakSite":
        self._folder = tempfile.TemporaryDirectory(prefix="soak-")
        self.session = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=ASK_SECONDS)
        )
        await self.platform.start()
        await self.change_configuration()
        zones = itertools.cycle(ZONES)
        for service, count in ((MODEL, self.plan.models), (PLAIN, self.plan.plains)):
            for number in range(count):
                await self._add_engine(f"{service}-{number}", service, next(zones))
        ports = free_ports(_ip(0), len(PORT_NAMES))
        self.ports = dict(zip(PORT_NAMES, ports, strict=True))
        for number in range(self.plan.gateways):
            await self._add_gateway(number, next(zones))
        await asyncio.gather(*(each.start() for each in self.gateways))
        for gateway in self.gateways:
            # A process that starts again is told that the fleet did not.
            self.write_settings(gateway, is_first_start=False)
        return self

    async def __aexit__(self, *exception: object) -> None:
        await asyncio.gather(*(each.end() for each in self.gateways))
        for gateway in self.gateways:
            await gateway.store.stop()
        for engine in self.engines_by_id.values():
            await engine.proxy.stop()
            await engine.upstream.__aexit__()
        await self.platform.stop()
        await self.session.close()
        self._folder.cleanup()

    @property
    def gateways(self) -> list[SoakGateway]:
        """Return the gateways, in the order of their names."""
        return list(self.gateways_by_name.values())

    def entry_address(self, gateway: SoakGateway) -> str:
        """Return the address at which callers reach a gateway."""
        return f"{gateway.ip}:{self.ports['entry']}"

    def gateway_at(self, address: str) -> str:
        """Return the name of the gateway at a callers' address."""
        ip = address.partition(":")[0]
        return next(each.name for each in self.gateways if each.ip == ip)

    async def change_configuration(self, **fields: Any) -> float:
        """Write the next configuration, and return when it was accepted."""
        async with self._writing:
            self.configuration |= fields
            version = self.configuration["Version"] + 1
            self.configuration["Version"] = version
            await self.platform.rows.put_json("op", "config", self.configuration)
            return time.monotonic()

    async def give_key(self, key: str) -> float:
        """Make a key the second workspace's only one; return since when."""
        return await self.change_configuration(
            Tenants=[
                {"Name": "w1", "ApiKeys": [KEY]},
                {"Name": "w2", "ApiKeys": [key]},
            ]
        )

    async def list_engine(self, engine: SoakEngine, **fields: object) -> None:
        """Write an engine's entry to the store."""
        await self.platform.rows.put_json(
            "servers", engine.upstream.engine_id, engine.entry(**fields)
        )

    async def unlist_engine(self, engine: SoakEngine) -> None:
        """Remove an engine's entry from the store."""
        await self.platform.rows.remove("servers", engine.upstream.engine_id)

    async def is_ready(self, gateway: SoakGateway) -> bool:
        """Tell whether a gateway says that it takes callers."""
        url = f"http://{gateway.ip}:{self.ports['ready']}/v1/readyz"
        try:
            async with self.session.get(url) as response:
                return response.status == 200
        except (aiohttp.ClientError, TimeoutError):
            return False

    async def until_ready(self, seconds: float) -> list[str]:
        """Wait for all gateways; return those that are not ready in time."""
        give_up = time.monotonic() + seconds
        while True:
            ready = await asyncio.gather(*(self.is_ready(g) for g in self.gateways))
            unready = [
                gateway.name
                for gateway, is_ready in zip(self.gateways, ready, strict=True)
                if not is_ready
            ]
            if not unready or time.monotonic() >= give_up:
                return unready
            await asyncio.sleep(READY_POLL_SECONDS)

    def write_settings(self, gateway: SoakGateway, *, is_first_start: bool) -> None:
        """Lay a gateway's settings file, as the platform does."""

        def address(name: str, ip: str = gateway.ip) -> str:
            return f"{ip}:{self.ports[name]}"

        datagrams = self.ports["datagrams"]
        settings = {
            "NodeName": gateway.name,
            "Ip": gateway.ip,
            "Zone": gateway.availability_zone,
            "Region": REGION,
            "InternalPorts": [datagrams, datagrams],
            "Seeds": [address("peers", _ip(number)) for number in range(SEEDS)],
            "Bootstrap": is_first_start,
            "Listen": {
                "Frontend": address("entry"),
                "Ready": address("ready"),
                "ControlAddr": address("peers"),
                "DirectoryAddr": address("directory"),
            },
            "Platform": {"Address": str(gateway.store.address)},
            "Bounds": {"GraceS": GRACE_SECONDS, "RetryRatio": 0.2, "RetrySlack": 50},
        }
        # A file that is read while it is laid would be half of one.
        new = gateway.settings.with_suffix(".new")
        new.write_text(tomli_w.dumps(settings))
        new.replace(gateway.settings)

    async def _add_engine(self, engine_id: str, service: str, zone: str) -> None:
        upstream = ListedUpstream(
            engine_id,
            stream_events=STREAM_EVENTS,
            event_seconds=EVENT_SECONDS,
            work_seconds=WORK_SECONDS,
        )
        await upstream.__aenter__()
        proxy = FaultyProxy(upstream.address)
        await proxy.start()
        engine = SoakEngine(upstream, proxy, service, zone)
        self.engines_by_id[engine_id] = engine
        await self.list_engine(engine)

    async def _add_gateway(self, number: int, zone: str) -> None:
        store = FaultyProxy(self.platform.address)
        await store.start()
        name = f"edge-{number}"
        settings = Path(self._folder.name) / f"{name}.toml"
        gateway = SoakGateway(name, _ip(number), zone, store, settings)
        self.gateways_by_name[name] = gateway
        self.write_settings(gateway, is_first_start=True)


def _ip(number: int) -> str:
    """Return an IP number of the loopback range that is this process's own."""
    high, low = divmod(os.getpid(), 256)
    return f"127.{high % 256}.{low}.{number + 1}"
