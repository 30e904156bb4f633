"""Run gateway processes, engines and the platform of a soak on loopback."""

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
SEED_COUNT = 3
ZONES = ("zone-a", "zone-b")
REGION = "region"
MODEL = "model"
PLAIN = "plain"
STREAM_EVENTS = 5
EVENT_SECONDS = 0.05
WORK_SECONDS = 0.03
REQUEST_TIMEOUT_SECONDS = 1.0
READY_POLL_SECONDS = 0.1
GRACE_SECONDS = 8.0


@frozen
class SoakPlan:
    """Describe a soak; the same plan gives the same disturbances."""

    seed: int = 1
    seconds: float = 30.0
    mean_gap_seconds: float = 1.0
    gateways: int = 6
    model_engines: int = 4
    plain_engines: int = 3
    callers: int = 24
    # Directory for the records and the gateways' logs; "" writes none.
    dump: str = ""


@define(eq=False)
class SoakEngine:
    """Hold an upstream, the proxy in front of it and its incarnation.

    ``listed_entry`` is what it last wrote to the store, None if its entry was
    removed.
    """

    upstream: ListedUpstream
    proxy: FaultyProxy
    service: str
    availability_zone: str
    incarnation: int = 1
    listed_entry: dict[str, Any] | None = None

    def entry(self, **fields: object) -> dict[str, Any]:
        """Return the engine's entry for the store.

        ``fields`` replace fields of the entry or add to them.
        """
        return self.upstream.entry(
            self.service,
            **{
                "Address": str(self.proxy.address),
                "Zone": self.availability_zone,
                "born": self.incarnation,
                **fields,
            },
        )


@define(eq=False)
class SoakGateway:
    """Hold a gateway's process, its settings and its proxy to the store."""

    name: str
    ip: str
    availability_zone: str
    store_proxy: FaultyProxy
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

    async def kill(self) -> None:
        """Kill the process if it is running, and keep its log."""
        if self.process is not None:
            await self.process.kill()
            self.logs += self.process.log_lines
            self.process = None


@define(eq=False)
class SoakSite:
    """Start and stop the platform, engines, proxies and gateways of a soak."""

    plan: SoakPlan
    configuration: dict[str, Any] = field(factory=wire_configuration)
    platform: PlatformStandin = field(factory=PlatformStandin)
    engines_by_id: dict[str, SoakEngine] = field(factory=dict)
    gateways_by_name: dict[str, SoakGateway] = field(factory=dict)
    ports: dict[str, int] = field(factory=dict)
    session: aiohttp.ClientSession | None = None
    _temporary_directory: tempfile.TemporaryDirectory | None = None
    _configuration_lock: asyncio.Lock = field(factory=asyncio.Lock)

    async def __aenter__(self) -> "SoakSite":
        self._temporary_directory = tempfile.TemporaryDirectory(prefix="soak-")
        self.session = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_SECONDS)
        )
        await self.platform.start()
        await self.change_configuration()
        zones = itertools.cycle(ZONES)
        for service, count in (
            (MODEL, self.plan.model_engines),
            (PLAIN, self.plan.plain_engines),
        ):
            for number in range(count):
                await self._add_engine(f"{service}-{number}", service, next(zones))
        ports = free_ports(_get_loopback_ip(0), len(PORT_NAMES))
        self.ports = dict(zip(PORT_NAMES, ports, strict=True))
        for number in range(self.plan.gateways):
            await self._add_gateway(number, next(zones))
        await asyncio.gather(*(each.start() for each in self.gateways))
        for gateway in self.gateways:
            # The fleet is running now, so a restart must not bootstrap it.
            self.write_settings(gateway, is_first_start=False)
        return self

    async def __aexit__(self, *exception: object) -> None:
        await asyncio.gather(*(each.kill() for each in self.gateways))
        for gateway in self.gateways:
            await gateway.store_proxy.stop()
        for engine in self.engines_by_id.values():
            await engine.proxy.stop()
            await engine.upstream.__aexit__()
        await self.platform.stop()
        await self.session.close()
        self._temporary_directory.cleanup()

    @property
    def gateways(self) -> list[SoakGateway]:
        """Return the gateways in the order of their numbers."""
        return list(self.gateways_by_name.values())

    def get_entry_address(self, gateway: SoakGateway) -> str:
        """Return the address on which a gateway accepts callers."""
        return f"{gateway.ip}:{self.ports['entry']}"

    def get_gateway_name(self, address: str) -> str:
        """Return the name of the gateway that listens on an address."""
        ip = address.partition(":")[0]
        return next(each.name for each in self.gateways if each.ip == ip)

    async def change_configuration(self, **fields: Any) -> float:
        """Write a new configuration, and return when it was accepted.

        ``fields`` replace top-level fields of the current one.
        """
        async with self._configuration_lock:
            self.configuration |= fields
            version = self.configuration["Version"] + 1
            self.configuration["Version"] = version
            await self.platform.rows.put_json("op", "config", self.configuration)
            return time.monotonic()

    async def replace_key(self, key: str) -> float:
        """Replace the second workspace's key; return when it was accepted."""
        return await self.change_configuration(
            Tenants=[
                {"Name": "w1", "ApiKeys": [KEY]},
                {"Name": "w2", "ApiKeys": [key]},
            ]
        )

    async def list_engine(self, engine: SoakEngine, **fields: object) -> None:
        """Write an engine's entry to the store."""
        engine.listed_entry = engine.entry(**fields)
        await self._write_entry(engine)

    async def unlist_engine(self, engine: SoakEngine) -> None:
        """Remove an engine's entry from the store."""
        engine.listed_entry = None
        await self._write_entry(engine)

    async def write_all_again(self) -> None:
        """Write the configuration and all entries to a restored store."""
        async with self._configuration_lock:
            await self.platform.rows.put_json("op", "config", self.configuration)
        for engine in self.engines_by_id.values():
            await self._write_entry(engine)

    async def _write_entry(self, engine: SoakEngine) -> None:
        rows, engine_id = self.platform.rows, engine.upstream.engine_id
        if engine.listed_entry is not None:
            await rows.put_json("servers", engine_id, engine.listed_entry)
        elif rows.value("servers", engine_id) is not None:
            await rows.remove("servers", engine_id)

    async def start_ended_gateways(self) -> None:
        """Start the gateways that a disturbance has left without a process."""
        ended = [each for each in self.gateways if each.process is None]
        await asyncio.gather(*(each.start() for each in ended))

    async def is_ready(self, gateway: SoakGateway) -> bool:
        """Return whether a gateway reports that it is ready for callers."""
        url = f"http://{gateway.ip}:{self.ports['ready']}/v1/readyz"
        try:
            async with self.session.get(url) as response:
                return response.status == 200
        except (aiohttp.ClientError, TimeoutError):
            return False

    async def wait_until_ready(self, seconds: float) -> list[str]:
        """Wait until all gateways are ready; return the names of the others.

        It gives up after ``seconds``.
        """
        deadline = time.monotonic() + seconds
        while True:
            ready = await asyncio.gather(*(self.is_ready(g) for g in self.gateways))
            unready = [
                gateway.name
                for gateway, is_ready in zip(self.gateways, ready, strict=True)
                if not is_ready
            ]
            if not unready or time.monotonic() >= deadline:
                return unready
            await asyncio.sleep(READY_POLL_SECONDS)

    def write_settings(self, gateway: SoakGateway, *, is_first_start: bool) -> None:
        """Write a gateway's settings file in the platform's format."""

        def address(name: str, ip: str = gateway.ip) -> str:
            return f"{ip}:{self.ports[name]}"

        datagrams = self.ports["datagrams"]
        settings = {
            "NodeName": gateway.name,
            "Ip": gateway.ip,
            "Zone": gateway.availability_zone,
            "Region": REGION,
            "InternalPorts": [datagrams, datagrams],
            "Seeds": [
                address("peers", _get_loopback_ip(number))
                for number in range(SEED_COUNT)
            ],
            "Bootstrap": is_first_start,
            "Listen": {
                "Frontend": address("entry"),
                "Ready": address("ready"),
                "ControlAddr": address("peers"),
                "DirectoryAddr": address("directory"),
            },
            "Platform": {"Address": str(gateway.store_proxy.address)},
            "Bounds": {"GraceS": GRACE_SECONDS, "RetryRatio": 0.2, "RetrySlack": 50},
        }
        # A gateway must not read a half-written file.
        temporary = gateway.settings.with_suffix(".new")
        temporary.write_text(tomli_w.dumps(settings))
        temporary.replace(gateway.settings)

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
        store_proxy = FaultyProxy(self.platform.address)
        await store_proxy.start()
        name = f"edge-{number}"
        settings = Path(self._temporary_directory.name) / f"{name}.toml"
        gateway = SoakGateway(
            name, _get_loopback_ip(number), zone, store_proxy, settings
        )
        self.gateways_by_name[name] = gateway
        self.write_settings(gateway, is_first_start=True)


def _get_loopback_ip(number: int) -> str:
    """Return a loopback IP address that is unique to this process."""
    high, low = divmod(os.getpid(), 256)
    return f"127.{high % 256}.{low}.{number + 1}"
