"""Carry out a drill's disturbances, each until it is undone."""

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

STOP_LIMIT_SECONDS = 40.0
RACING_OPERATORS = 3
POISON_TIMES = 6
# A daemon may shun an engine for so long after its last failure.
RECOVERY_SECONDS = 15.0
CONTROL_ATTEMPTS = 20
CONTROL_RETRY_SECONDS = 0.5


@define(eq=False)
class Arena:
    """Hold what disturbances act on, and what they do to it."""

    fleet: Fleet
    session: aiohttp.ClientSession
    records: DrillRecords
    callers: Callers
    # A daemon that is down or paused is left alone by other disturbances.
    busy_daemons: set[str]
    busy_zones: set[str]

    async def post(self, process: ManagedProcess, path: str, **body: Any) -> None:
        """Give an order to a stand-in; raise aiohttp.ClientError."""
        async with self.session.post(f"{process.url}{path}", json=body) as response:
            response.raise_for_status()

    def note_trouble(self, engine_id: str, seconds: float) -> None:
        """Record that an engine may take no work for some time from now on."""
        now = time.time()
        end = now + seconds + RECOVERY_SECONDS
        self.records.engines_troubled.append(Interval(engine_id, now, end))

    def take_daemon(self, daemon_id: str) -> bool:
        """Reserve a daemon, unless that would leave fewer than two."""
        free = set(self.fleet.plan.daemon_ids()) - self.busy_daemons
        if daemon_id not in free or len(free) <= 2:
            return False
        self.busy_daemons.add(daemon_id)
        return True

    async def restart_daemon(self, daemon_id: str) -> None:
        """Start a daemon again and let others strike it again."""
        await self.fleet.start_daemon(daemon_id)
        self.busy_daemons.discard(daemon_id)

    async def control(self, *arguments: str) -> str | None:
        """Run teaselpondctl until it is obeyed; return None if it never is."""
        for _ in range(CONTROL_ATTEMPTS):
            try:
                return await self.fleet.run_ctl(*arguments)
            except TeaselpondError as error:
                last = error
            await asyncio.sleep(CONTROL_RETRY_SECONDS)
        self.records.failures.append(f"teaselpondctl {arguments}: {last}"[:600])
        return None


@singledispatch
async def strike(disturbance: disturbances.Disturbance, arena: Arena) -> None:
    """Carry out a disturbance and undo it after its time."""
    raise TypeError(f"no strike for {disturbance!r}")


@strike.register
async def _(disturbance: disturbances.KillDaemon, arena: Arena) -> None:
    daemon_id = disturbance.daemon_id
    if not arena.take_daemon(daemon_id):
        return
    await arena.fleet.daemons_by_id[daemon_id].kill()
    await asyncio.sleep(disturbance.seconds)
    await arena.restart_daemon(daemon_id)


@strike.register
async def _(disturbance: disturbances.PauseDaemon, arena: Arena) -> None:
    daemon_id = disturbance.daemon_id
    if not arena.take_daemon(daemon_id):
        return
    daemon = arena.fleet.daemons_by_id[daemon_id]
    daemon.send_signal(signal.SIGSTOP)
    try:
        await asyncio.sleep(disturbance.seconds)
    finally:
        daemon.send_signal(signal.SIGCONT)
        arena.busy_daemons.discard(daemon_id)


@strike.register
async def _(disturbance: disturbances.StopDaemon, arena: Arena) -> None:
    daemon_id = disturbance.daemon_id
    if not arena.take_daemon(daemon_id):
        return
    daemon = arena.fleet.daemons_by_id[daemon_id]
    asked = time.time()
    daemon.send_signal(signal.SIGTERM)
    exit_code = await daemon.wait(STOP_LIMIT_SECONDS)
    stop = PlannedStop(daemon_id, daemon.address, asked, time.time(), exit_code)
    arena.records.planned_stops.append(stop)
    await daemon.kill()
    await asyncio.sleep(disturbance.seconds)
    await arena.restart_daemon(daemon_id)


@strike.register
async def _(disturbance: disturbances.CrashEngine, arena: Arena) -> None:
    arena.note_trouble(disturbance.engine_id, 0)
    await arena.post(arena.fleet.engines_by_id[disturbance.engine_id], "/_crash")


@strike.register
async def _(disturbance: disturbances.PauseEngine, arena: Arena) -> None:
    arena.note_trouble(disturbance.engine_id, disturbance.seconds)
    engine = arena.fleet.engines_by_id[disturbance.engine_id]
    await arena.post(engine, "/_pause", seconds=disturbance.seconds)


@strike.register
async def _(disturbance: disturbances.TurnEngineCold, arena: Arena) -> None:
    arena.note_trouble(disturbance.engine_id, 0)
    await arena.post(arena.fleet.engines_by_id[disturbance.engine_id], "/_cold")


@strike.register
async def _(disturbance: disturbances.DrainEngine, arena: Arena) -> None:
    engine_id = disturbance.engine_id
    address = Address.parse(arena.fleet.engines_by_id[engine_id].address)
    zone = engine_id.split("-")[1]
    live = Host(engine_id, address, zone, HostKind.ENGINE)
    leaving = Host(engine_id, address, zone, HostKind.ENGINE, HostState.LEAVING)
    if not await _list_host(arena, leaving):
        return
    arena.note_trouble(engine_id, disturbance.seconds)
    start = time.time()
    await asyncio.sleep(disturbance.seconds)
    arena.records.engines_leaving.append(Interval(engine_id, start, time.time()))
    for _ in range(CONTROL_ATTEMPTS):
        if await _list_host(arena, live):
            return
        await asyncio.sleep(CONTROL_RETRY_SECONDS)
    arena.records.failures.append(f"{engine_id} can't be listed as live again")


async def _list_host(arena: Arena, host: Host) -> bool:
    async with Platform.open(arena.fleet.platform.url) as platform:
        try:
            await platform.hosts.register(host)
        except TeaselpondError:
            return False
    return True


@strike.register
async def _(disturbance: disturbances.SpoilAnswers, arena: Arena) -> None:
    arena.note_trouble(disturbance.engine_id, 0)
    await arena.post(
        arena.fleet.engines_by_id[disturbance.engine_id],
        "/_faults",
        kind=disturbance.kind.value,
        event=disturbance.event,
        count=disturbance.count,
    )


@strike.register
async def _(disturbance: disturbances.SpoilCalls, arena: Arena) -> None:
    await arena.post(
        arena.fleet.services_by_id[disturbance.service_id],
        "/_faults",
        kind=disturbance.kind.value,
        seconds=disturbance.seconds,
        count=disturbance.count,
    )


@strike.register
async def _(disturbance: disturbances.StopStore, arena: Arena) -> None:
    try:
        await arena.post(arena.fleet.platform, "/_down", seconds=disturbance.seconds)
    except aiohttp.ClientError:
        # The platform's answer goes down with it.
        await asyncio.sleep(disturbance.seconds)


@strike.register
async def _(disturbance: disturbances.SpoilStore, arena: Arena) -> None:
    await arena.post(
        arena.fleet.platform,
        "/_faults",
        kind=disturbance.kind.value,
        operation=disturbance.operation,
        seconds=disturbance.seconds,
        count=disturbance.count,
    )


@strike.register
async def _(disturbance: disturbances.TakeZoneOut, arena: Arena) -> None:
    zone = disturbance.zone
    if arena.busy_zones:
        return
    arena.busy_zones.add(zone)
    for engine_id in arena.fleet.engines_by_id:
        if engine_id.split("-")[1] == zone:
            arena.note_trouble(engine_id, disturbance.seconds)
    if await arena.control("zone", "out", zone, "--wait_seconds=0") is not None:
        start = time.time()
        await asyncio.sleep(disturbance.seconds)
        arena.records.zones_out.append(Interval(zone, start, time.time()))
        await arena.control("zone", "in", zone, "--wait_seconds=0")
    arena.busy_zones.discard(zone)


@strike.register
async def _(disturbance: disturbances.RaceOperators, arena: Arena) -> None:
    shown = await arena.control("config", "show", "--json")
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
        runs.append(_apply(arena, own_tables, base, f"operator-{number}"))
    versions = await asyncio.gather(*runs)
    accepted = tuple(version for version in versions if version is not None)
    refused = len(versions) - len(accepted)
    arena.records.races.append(Race(base, accepted, refused))
    for version in accepted:
        arena.records.versions_accepted.append(VersionAccepted(time.time(), version))


async def _apply(
    arena: Arena, tables: dict[str, Any], base: int, who: str
) -> int | None:
    with tempfile.NamedTemporaryFile("wb", suffix=".toml") as file:
        tomli_w.dump(tables, file)
        file.flush()
        try:
            output = await arena.fleet.run_ctl(
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


@strike.register
async def _(disturbance: disturbances.SendPoison, arena: Arena) -> None:
    arena.records.poison_words.append(disturbance.word)
    await arena.callers.send_poison(disturbance.word, POISON_TIMES)
