"""Inject the disturbances of a drill and undo each after its time."""

import asyncio
import copy
import json
import signal
import tempfile
import time
from functools import singledispatch
from typing import Any

import aiohttp
import tomli_w
from attrs import define

from teaselpond_model.contracts import Address, Host, HostKind, HostState
from teaselpond_model.exceptions import TeaselpondError
from teaselpond_model.platform import Platform

from ..fleet import Fleet
from ..fleet.process import ManagedProcess
from . import disturbances
from .callers import Callers
from .records import DrillRecords, Interval, PlannedStop, Race, VersionAccepted

STOP_TIMEOUT_SECONDS = 40.0
RACING_OPERATORS = 3
POISON_REQUESTS = 6
# A daemon may keep an engine ejected for this long after its last failure.
RECOVERY_SECONDS = 15.0
CONTROL_ATTEMPTS = 20
CONTROL_RETRY_SECONDS = 0.5


@define(eq=False)
class DrillContext:
    """Hold the fleet to disturb, the records, and what is disturbed now."""

    fleet: Fleet
    session: aiohttp.ClientSession
    records: DrillRecords
    callers: Callers
    # Daemons that are down or paused, which no other disturbance may use.
    busy_daemons: set[str]
    busy_zones: set[str]

    async def post(self, process: ManagedProcess, path: str, **body: Any) -> None:
        """Post a control request to a stand-in; raise aiohttp.ClientError."""
        async with self.session.post(f"{process.url}{path}", json=body) as response:
            response.raise_for_status()

    def record_trouble(self, engine_id: str, seconds: float) -> None:
        """Record that an engine may be out of service from now on.

        The interval lasts ``seconds`` plus RECOVERY_SECONDS.
        """
        now = time.time()
        end = now + seconds + RECOVERY_SECONDS
        self.records.engines_troubled.append(Interval(engine_id, now, end))

    def reserve_daemon(self, daemon_id: str) -> bool:
        """Reserve a daemon for a disturbance and return whether it was free.

        Keep at least two daemons undisturbed.
        """
        free = set(self.fleet.plan.daemon_ids()) - self.busy_daemons
        if daemon_id not in free or len(free) <= 2:
            return False
        self.busy_daemons.add(daemon_id)
        return True

    async def restart_daemon(self, daemon_id: str) -> None:
        """Start a daemon again and release its reservation."""
        await self.fleet.start_daemon(daemon_id)
        self.busy_daemons.discard(daemon_id)

    async def control(self, *arguments: str) -> str | None:
        """Run teaselpondctl, with retries, and return its output.

        Record a failure and return None if no attempt succeeds.
        """
        for _ in range(CONTROL_ATTEMPTS):
            try:
                return await self.fleet.run_ctl(*arguments)
            except TeaselpondError as error:
                last = error
            await asyncio.sleep(CONTROL_RETRY_SECONDS)
        self.records.failures.append(f"teaselpondctl {arguments}: {last}"[:600])
        return None


@singledispatch
async def inject(disturbance: disturbances.Disturbance, context: DrillContext) -> None:
    """Inject a disturbance and undo it after its time."""
    raise TypeError(f"no injection is registered for {disturbance!r}")


@inject.register
async def _(disturbance: disturbances.KillDaemon, context: DrillContext) -> None:
    daemon_id = disturbance.daemon_id
    if not context.reserve_daemon(daemon_id):
        return
    await context.fleet.daemons_by_id[daemon_id].kill()
    await asyncio.sleep(disturbance.seconds)
    await context.restart_daemon(daemon_id)


@inject.register
async def _(disturbance: disturbances.PauseDaemon, context: DrillContext) -> None:
    daemon_id = disturbance.daemon_id
    if not context.reserve_daemon(daemon_id):
        return
    daemon = context.fleet.daemons_by_id[daemon_id]
    daemon.send_signal(signal.SIGSTOP)
    try:
        await asyncio.sleep(disturbance.seconds)
    finally:
        daemon.send_signal(signal.SIGCONT)
        context.busy_daemons.discard(daemon_id)


@inject.register
async def _(disturbance: disturbances.StopDaemon, context: DrillContext) -> None:
    daemon_id = disturbance.daemon_id
    if not context.reserve_daemon(daemon_id):
        return
    daemon = context.fleet.daemons_by_id[daemon_id]
    asked = time.time()
    daemon.send_signal(signal.SIGTERM)
    exit_code = await daemon.wait(STOP_TIMEOUT_SECONDS)
    stop = PlannedStop(daemon_id, daemon.address, asked, time.time(), exit_code)
    context.records.planned_stops.append(stop)
    await daemon.kill()
    await asyncio.sleep(disturbance.seconds)
    await context.restart_daemon(daemon_id)


@inject.register
async def _(disturbance: disturbances.CrashEngine, context: DrillContext) -> None:
    context.record_trouble(disturbance.engine_id, 0)
    await context.post(context.fleet.engines_by_id[disturbance.engine_id], "/_crash")


@inject.register
async def _(disturbance: disturbances.PauseEngine, context: DrillContext) -> None:
    context.record_trouble(disturbance.engine_id, disturbance.seconds)
    engine = context.fleet.engines_by_id[disturbance.engine_id]
    await context.post(engine, "/_pause", seconds=disturbance.seconds)


@inject.register
async def _(disturbance: disturbances.TurnEngineCold, context: DrillContext) -> None:
    context.record_trouble(disturbance.engine_id, 0)
    await context.post(context.fleet.engines_by_id[disturbance.engine_id], "/_cold")


@inject.register
async def _(disturbance: disturbances.DrainEngine, context: DrillContext) -> None:
    engine_id = disturbance.engine_id
    address = Address.parse(context.fleet.engines_by_id[engine_id].address)
    zone = engine_id.split("-")[1]
    live = Host(engine_id, address, zone, HostKind.ENGINE)
    leaving = Host(engine_id, address, zone, HostKind.ENGINE, HostState.LEAVING)
    if not await _list_host(context, leaving):
        return
    context.record_trouble(engine_id, disturbance.seconds)
    start = time.time()
    await asyncio.sleep(disturbance.seconds)
    context.records.engines_leaving.append(Interval(engine_id, start, time.time()))
    for _ in range(CONTROL_ATTEMPTS):
        if await _list_host(context, live):
            return
        await asyncio.sleep(CONTROL_RETRY_SECONDS)
    context.records.failures.append(
        f"{engine_id} could not be registered as live again"
    )


async def _list_host(context: DrillContext, host: Host) -> bool:
    async with Platform.open(context.fleet.platform.url) as platform:
        try:
            await platform.hosts.register(host)
        except TeaselpondError:
            return False
    return True


@inject.register
async def _(
    disturbance: disturbances.InjectEngineFaults, context: DrillContext
) -> None:
    context.record_trouble(disturbance.engine_id, 0)
    await context.post(
        context.fleet.engines_by_id[disturbance.engine_id],
        "/_faults",
        kind=disturbance.kind.value,
        event=disturbance.event,
        count=disturbance.count,
    )


@inject.register
async def _(
    disturbance: disturbances.InjectServiceFaults, context: DrillContext
) -> None:
    await context.post(
        context.fleet.services_by_id[disturbance.service_id],
        "/_faults",
        kind=disturbance.kind.value,
        seconds=disturbance.seconds,
        count=disturbance.count,
    )


@inject.register
async def _(disturbance: disturbances.StopPlatform, context: DrillContext) -> None:
    try:
        await context.post(
            context.fleet.platform, "/_down", seconds=disturbance.seconds
        )
    except aiohttp.ClientError:
        # The platform may go down before it answers this request.
        await asyncio.sleep(disturbance.seconds)


@inject.register
async def _(
    disturbance: disturbances.InjectPlatformFaults, context: DrillContext
) -> None:
    await context.post(
        context.fleet.platform,
        "/_faults",
        kind=disturbance.kind.value,
        operation=disturbance.operation,
        seconds=disturbance.seconds,
        count=disturbance.count,
    )


@inject.register
async def _(disturbance: disturbances.TakeZoneOut, context: DrillContext) -> None:
    zone = disturbance.zone
    if context.busy_zones:
        return
    context.busy_zones.add(zone)
    for engine_id in context.fleet.engines_by_id:
        if engine_id.split("-")[1] == zone:
            context.record_trouble(engine_id, disturbance.seconds)
    if await context.control("zone", "out", zone, "--wait_seconds=0") is not None:
        start = time.time()
        await asyncio.sleep(disturbance.seconds)
        context.records.zones_out.append(Interval(zone, start, time.time()))
        await context.control("zone", "in", zone, "--wait_seconds=0")
    context.busy_zones.discard(zone)


@inject.register
async def _(disturbance: disturbances.RaceOperators, context: DrillContext) -> None:
    shown = await context.control("config", "show", "--json")
    if shown is None:
        return
    tables = json.loads(shown)
    base = tables["version"]
    runs = []
    for number in range(1, RACING_OPERATORS + 1):
        own_tables = copy.deepcopy(tables)
        workspaces = own_tables["workspaces"]
        added = f"{disturbance.workspace}-{base}-{number}"
        workspaces[added] = workspaces[disturbance.workspace]
        runs.append(_apply(context, own_tables, base, f"operator-{number}"))
    versions = await asyncio.gather(*runs)
    accepted = tuple(version for version in versions if version is not None)
    refused = len(versions) - len(accepted)
    context.records.races.append(Race(base, accepted, refused))
    for version in accepted:
        context.records.versions_accepted.append(VersionAccepted(time.time(), version))


async def _apply(
    context: DrillContext, tables: dict[str, Any], base: int, who: str
) -> int | None:
    with tempfile.NamedTemporaryFile("wb", suffix=".toml") as file:
        tomli_w.dump(tables, file)
        file.flush()
        try:
            output = await context.fleet.run_ctl(
                "config",
                "apply",
                file.name,
                f"--base={base}",
                "--json",
                f"--who={who}",
                "--wait_seconds=0",
            )
        except TeaselpondError:
            return None
    return json.loads(output)["version"]


@inject.register
async def _(disturbance: disturbances.SendPoison, context: DrillContext) -> None:
    context.records.poison_words.append(disturbance.word)
    await context.callers.send_poison(disturbance.word, POISON_REQUESTS)
