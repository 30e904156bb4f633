"""Create the gateway's objects for tests and run complete gateways."""

import asyncio
import itertools
import json
import os
from typing import Any

import aiohttp
from attrs import define, field
from multidict import CIMultiDict
from yarl import URL

from teaselpond.gateway.calls import Call, Head, Prompt, PromptPart
from teaselpond.gateway.configuration import (
    Configuration,
    EngineCapacity,
    Limits,
    Route,
    RouteType,
    Service,
    WeightedService,
    Workspace,
)
from teaselpond.gateway.daemon import GatewayDaemon
from teaselpond.gateway.engines import Engine, EngineState
from teaselpond.gateway.host import GatewayHost
from teaselpond.gateway.members import Heartbeat, MemberState
from teaselpond.gateway.settings import Bounds, GatewaySettings, Listeners
from teaselpond.gateway.traits import Trait, traits_of
from teaselpond.platform.adapter import PlatformAdapter
from teaselpond_model.contracts import Address

from ..platform import PlatformStandin
from ..platform.operator import HOST, KEY, wire_configuration
from ..server import free_ports
from ..service import ListedUpstream
from .raw import RawUpstream

PORT_NAMES = ("entry", "ready", "peers", "directory", "datagrams", "metrics")
READY_TIMEOUT_SECONDS = 15.0
POLL_SECONDS = 0.02
_request_numbers = itertools.count(1)


def make_route(**fields: Any) -> Route:
    """Return a route, by default of the stream type."""
    values: dict[str, Any] = {
        "name": "r1",
        "host": HOST,
        "prefix": "/stream/",
        "type": RouteType.STREAM,
        "timeout_seconds": 10.0,
        "objective_seconds": 0.6,
        "priority": 1,
        "services": (WeightedService("model", 1.0),),
        "max_attempts": 2,
        "is_public": False,
        "is_resumable": True,
        "pause_seconds": 0.6,
    }
    return Route(**{**values, **fields})


def make_service(**fields: Any) -> Service:
    """Return a service whose upstreams are engines."""
    values: dict[str, Any] = {
        "name": "model",
        "health_path": "/healthz",
        "max_connections": 100,
        "cold_seconds": 3.0,
        "cold_per_second": 10.0,
        "engine": EngineCapacity(64, 400_000),
    }
    return Service(**{**values, **fields})


def make_configuration(version: int = 1, **fields: Any) -> Configuration:
    """Return a configuration with one route and one workspace."""
    values: dict[str, Any] = {
        "routes": (make_route(),),
        "services_by_name": {"model": make_service()},
        "workspaces_by_key": {KEY: Workspace("w1", None)},
        "limits": Limits(16384, 1_000_000, 3.0, 15.0),
        "has_workspaces": True,
    }
    return Configuration(version=version, **{**values, **fields})


def make_engine(engine_id: str = "e1", **fields: Any) -> Engine:
    """Return a ready engine of the model service."""
    values: dict[str, Any] = {
        "service": "model",
        "address": Address("127.0.0.1", 1),
        "availability_zone": "zone-a",
        "slots": 64,
        "state": EngineState.READY,
        "cold_seconds": 0.0,
        "born_ms": 1,
    }
    return Engine(engine_id=engine_id, **{**values, **fields})


def make_prompt(*part_ids: str, tokens: int = 100) -> Prompt:
    """Return a prompt whose parts have ``tokens`` tokens each."""
    parts = tuple(PromptPart(part_id, tokens) for part_id in part_ids)
    return Prompt(parts, tokens * len(parts), 50)


def make_head(**fields: Any) -> Head:
    """Return the head of a request for the stream route."""
    values: dict[str, Any] = {
        "request_id": f"id-{next(_request_numbers)}",
        "method": "POST",
        "target": "/stream/x",
        "host": HOST,
        "key": KEY,
        "deadline_seconds": 10.0,
        "prompt": None,
        "last_event_id": None,
        "headers": CIMultiDict(),
    }
    return Head(**{**values, **fields})


def make_call(now: float = 0.0, **fields: Any) -> Call:
    """Return a call on the stream route."""
    values: dict[str, Any] = {
        "head": make_head(),
        "body": b"",
        "route": make_route(),
        "service": "model",
        "workspace": Workspace("w1", None),
        "version": 1,
        "arrived_at": now,
        "expires_at": now + 10.0,
    }
    return Call(**{**values, **fields})


def make_prompt_traits(*part_ids: str, number: int = 0) -> tuple[Trait, ...]:
    """Return the traits of a prompt with these shared parts."""
    prompt = make_prompt(*part_ids, f"own{number}")
    return traits_of(make_call(head=make_head(prompt=prompt), body=b"%d" % number))


def make_heartbeat(host: str, **fields: Any) -> Heartbeat:
    """Return a heartbeat of a serving host."""
    values: dict[str, Any] = {
        "incarnation": 1,
        "ip": f"ip-{host}",
        "availability_zone": "zone-a",
        "state": MemberState.SERVING,
        "confirmed_store_seconds": 0.0,
        "row_versions": (0, 0),
        "is_store_answering": True,
        "store_back_seconds": 0.0,
        "loads_by_engine": {},
        "ips_by_host": {},
        "engines_by_prefix_key": {},
        "engines_by_broken_request": {},
    }
    return Heartbeat(host=host, **{**values, **fields})


@define(eq=False)
class GatewayFleet:
    """Run gateways, their store and their upstreams in this process.

    Each gateway listens on a different loopback address.
    """

    size: int = 1
    model_count: int = 2
    plain_count: int = 2
    configuration: dict[str, Any] = field(factory=wire_configuration)
    bounds: dict[str, Any] = field(factory=dict)
    is_first_start: bool = True
    platform: PlatformStandin = field(factory=PlatformStandin)
    model_upstreams: list[ListedUpstream] = field(init=False)
    plain_upstreams: list[ListedUpstream] = field(init=False)
    daemons: list[GatewayDaemon] = field(factory=list)
    session: aiohttp.ClientSession | None = None
    ports: dict[str, int] = field(factory=dict)
    _tasks: list[asyncio.Task] = field(factory=list)

    def __attrs_post_init__(self) -> None:
        self.model_upstreams = [
            ListedUpstream(f"m{n}") for n in range(self.model_count)
        ]
        self.plain_upstreams = [
            ListedUpstream(f"p{n}") for n in range(self.plain_count)
        ]

    async def __aenter__(self) -> "GatewayFleet":
        await self.platform.start()
        await self.platform.rows.put_json("op", "config", self.configuration)
        for service, upstreams in (
            ("model", self.model_upstreams),
            ("plain", self.plain_upstreams),
        ):
            for upstream in upstreams:
                await upstream.__aenter__()
                await self.register_upstream(upstream, service)
        self.session = aiohttp.ClientSession()
        ports = free_ports(self.ip(0), len(PORT_NAMES))
        self.ports = dict(zip(PORT_NAMES, ports, strict=True))
        for number in range(self.size):
            await self.start_gateway(number)
        return self

    async def __aexit__(self, *exception: object) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.session.close()
        for upstream in self.model_upstreams + self.plain_upstreams:
            await upstream.__aexit__()
        await self.platform.stop()

    async def register_upstream(
        self, upstream: ListedUpstream, service: str, **fields: object
    ) -> None:
        """Write an upstream's entry to the store, with changed fields."""
        entry = upstream.entry(service, **fields)
        await self.platform.rows.put_json("servers", upstream.engine_id, entry)

    async def list_raw_upstream(self, upstream: RawUpstream, service: str) -> None:
        """Write the entry of an upstream to the store."""
        entry = ListedUpstream(upstream.engine_id).entry(
            service, Address=str(upstream.address)
        )
        await self.platform.rows.put_json("servers", upstream.engine_id, entry)

    def ip(self, number: int) -> str:
        """Return a gateway's IP address.

        It depends on the process id, so that test processes do not collide.
        """
        high, low = divmod(os.getpid(), 256)
        return f"127.{high % 256}.{low}.{number + 1}"

    def settings(self, number: int) -> GatewaySettings:
        """Return the settings of one gateway."""
        ip = self.ip(number)
        bounds = {
            "grace_seconds": 8.0,
            "revoke_seconds": 5.0,
            "strict_revocation": True,
            "retry_ratio": 0.2,
            "retry_window_seconds": 10.0,
            "retry_slack": 50.0,
            "cold_overage": 1.5,
            "cold_slack": 5.0,
            "load_cap_factor": 2.0,
            "directory_ttl_seconds": 5.0,
        }
        return GatewaySettings(
            host=f"g{number}",
            ip=ip,
            availability_zone=f"zone-{'ab'[number % 2]}",
            region="region",
            listeners=Listeners(
                Address(ip, self.ports["entry"]),
                Address(ip, self.ports["ready"]),
                Address(ip, self.ports["peers"]),
                Address(ip, self.ports["directory"]),
            ),
            store=self.platform.address,
            seeds=(Address(self.ip(0), self.ports["peers"]),),
            datagram_port=self.ports["datagrams"],
            metrics_port=self.ports["metrics"],
            bounds=Bounds(**{**bounds, **self.bounds}),
            is_first_start=self.is_first_start,
        )

    async def start_gateway(self, number: int, **fields: Any) -> GatewayDaemon:
        """Start a gateway and wait until it is ready."""
        host = GatewayHost(self.settings(number), PlatformAdapter(), **fields)
        daemon = GatewayDaemon(host, handles_signals=False)
        self.daemons.append(daemon)
        self._tasks.append(asyncio.create_task(daemon.run()))
        await self.wait_ready(number)
        return daemon

    async def wait_ready(self, number: int, status: int = 200) -> None:
        """Wait until a gateway's readiness check answers with a status.

        Raise TimeoutError after READY_TIMEOUT_SECONDS, or the error that ended
        the gateway.
        """
        for _ in range(round(READY_TIMEOUT_SECONDS / POLL_SECONDS)):
            if await self.ready_status(number) == status:
                return
            if self._tasks[number].done():
                # Raises the error that ended the gateway.
                await self._tasks[number]
            await asyncio.sleep(POLL_SECONDS)
        raise TimeoutError(
            f"readiness check of gateway {number} did not answer {status}"
        )

    async def ready_status(self, number: int) -> int | None:
        """Return the HTTP status of a gateway's readiness check.

        Return None if the gateway does not answer.
        """
        url = f"http://{self.ip(number)}:{self.ports['ready']}/v1/readyz"
        try:
            async with self.session.get(url) as response:
                return response.status
        except aiohttp.ClientError:
            return None

    async def addresses(self, number: int = 0, zone: str = "zone-a") -> list[str]:
        """Return the IP addresses that a gateway's directory resolves to.

        Return an empty list if the directory answers with an error.
        """
        url = f"http://{self.ip(number)}:{self.ports['directory']}/v1/resolve"
        params = {"Name": HOST, "Zone": zone, "Region": "region"}
        async with self.session.get(url, params=params) as response:
            if response.status != 200:
                return []
            answer = json.loads(await response.read())
        return sorted(address.partition(":")[0] for address in answer["Addresses"])

    def call(
        self,
        path: str,
        *,
        method: str = "POST",
        number: int = 0,
        request_id: str | None = None,
        key: str | None = KEY,
        deadline_ms: int = 3000,
        headers: dict[str, str] | None = None,
        body: bytes | None = b"asked",
    ):
        """Send a caller's request to a gateway.

        Return a context manager that yields the response.
        """
        all_headers = {
            "Host": HOST,
            "X-Teaselpond-Attempt-Id": request_id or f"id-{next(_request_numbers)}",
            "X-Teaselpond-Deadline-Ms": str(deadline_ms),
            **({"Authorization": f"Bearer {key}"} if key else {}),
            **(headers or {}),
        }
        return self.session.request(
            method,
            URL(
                f"http://{self.ip(number)}:{self.ports['entry']}{path}",
                encoded=True,
            ),
            headers=all_headers,
            data=body,
        )
