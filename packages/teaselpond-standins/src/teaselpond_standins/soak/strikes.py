"""Carry out a soak's disturbances, each until it is undone."""

import asyncio
import contextlib
import signal
import time
from collections.abc import Awaitable, Callable, Iterable, Iterator
from functools import singledispatch

from attrs import define, field

from . import schedule
from .proxy import Direction, FaultyProxy
from .records import STORE, SoakRecords, Stop, Trouble
from .site import GRACE_SECONDS, SoakGateway, SoakSite

STOP_LIMIT_SECONDS = GRACE_SECONDS + 4.0
# The platform takes an engine off its list after this much silence.
LAPSE_SECONDS = 3.6
# Engines whose entries lapsed while the store was away list themselves again.
RELIST_SECONDS = 1.5
SLOW_WAY_SECONDS = 0.3
SLOW_STORE_SECONDS = 0.4
STORM_GAP_SECONDS = 0.06
RUBBISH = (b"\xff\xfe", b"{", b"[]", b'{"Service": 7, "Address": "nowhere"}')


@define(eq=False)
class Arena:
    """Hold what disturbances act on, and what they do to it."""

    site: SoakSite
    records: SoakRecords
    # A gateway that is down or paused is left alone by other disturbances.
    busy: set[str] = field(factory=set)

    @contextlib.contextmanager
    def hold(self, name: str) -> Iterator[bool]:
        """Keep something for one disturbance; yield whether it was free."""
        if name in self.busy:
            yield False
            return
        self.busy.add(name)
        try:
            yield True
        finally:
            self.busy.discard(name)

    @contextlib.contextmanager
    def trouble(
        self, name: str, kind: str, *, is_planned: bool = False
    ) -> Iterator[Trouble]:
        """Note that something has trouble meanwhile."""
        trouble = self.records.begin_trouble(
            name, kind, time.monotonic(), is_planned=is_planned
        )
        try:
            yield trouble
        finally:
            trouble.end = time.monotonic()

    async def spoil_way(self, proxy: FaultyProxy, how: str, seconds: float) -> None:
        """Spoil what passes a proxy for some time."""
        match how:
            case "refuse":
                proxy.is_refusing = True
                proxy.reset()
            case "reset":
                proxy.reset()
            case "silence":
                proxy.silence()
            case "slow":
                proxy.delay_seconds = SLOW_WAY_SECONDS
            case "cut":
                proxy.cut(*Direction)
            case "cut-back":
                proxy.cut(Direction.TO_CALLER)
        await asyncio.sleep(seconds)
        proxy.mend()


@singledispatch
async def strike(disturbance: schedule.Disturbance, arena: Arena) -> None:
    """Carry out one disturbance and undo it."""
    raise NotImplementedError(disturbance)


async def _strike_gateways(
    arena: Arena,
    names: Iterable[str],
    act: Callable[[Arena, SoakGateway, float], Awaitable[None]],
    seconds: float,
    gap_seconds: float = 0.0,
) -> None:
    """Strike those gateways that are free, one after another."""

    async def strike_one(name: str) -> None:
        with arena.hold(name) as is_free:
            if is_free:
                await act(arena, arena.site.gateways_by_name[name], seconds)

    async with asyncio.TaskGroup() as group:
        for name in names:
            group.create_task(strike_one(name))
            await asyncio.sleep(gap_seconds)


@strike.register
async def _(disturbance: schedule.KillGateways, arena: Arena) -> None:
    await _strike_gateways(
        arena, disturbance.names, _kill, disturbance.seconds, disturbance.gap_seconds
    )


async def _kill(arena: Arena, gateway: SoakGateway, seconds: float) -> None:
    with arena.trouble(gateway.name, "killed"):
        await gateway.end()
        await asyncio.sleep(seconds)
        await _start(arena, gateway)


async def _start(arena: Arena, gateway: SoakGateway) -> None:
    with arena.trouble(gateway.name, "starting"):
        await gateway.start()


@strike.register
async def _(disturbance: schedule.PauseGateways, arena: Arena) -> None:
    await _strike_gateways(arena, disturbance.names, _pause, disturbance.seconds)


async def _pause(arena: Arena, gateway: SoakGateway, seconds: float) -> None:
    with arena.trouble(gateway.name, "paused"):
        gateway.process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        gateway.process.send_signal(signal.SIGCONT)


@strike.register
async def _(disturbance: schedule.StopGateways, arena: Arena) -> None:
    await _strike_gateways(
        arena, disturbance.names, _stop, disturbance.seconds, disturbance.gap_seconds
    )


async def _stop(arena: Arena, gateway: SoakGateway, seconds: float) -> None:
    await stop_gateway(arena, gateway)
    with arena.trouble(gateway.name, "killed", is_planned=True):
        await asyncio.sleep(seconds)
        await _start(arena, gateway)


async def stop_gateway(arena: Arena, gateway: SoakGateway) -> None:
    """Stop a gateway as planned, and record how it ended."""
    with arena.trouble(gateway.name, "stopping", is_planned=True):
        asked = time.monotonic()
        gateway.process.send_signal(signal.SIGTERM)
        exit_code = await gateway.process.wait(STOP_LIMIT_SECONDS)
        arena.records.stops.append(
            Stop(gateway.name, asked, time.monotonic(), exit_code)
        )
        await gateway.end()


@strike.register
async def _(disturbance: schedule.ReloadGateways, arena: Arena) -> None:
    for name in disturbance.names:
        gateway = arena.site.gateways_by_name[name]
        arena.site.write_settings(gateway, is_first_start=False)
        if name not in arena.busy:
            with arena.trouble(name, "reloading", is_planned=True):
                gateway.process.send_signal(signal.SIGHUP)


@strike.register
async def _(disturbance: schedule.SpoilStoreWay, arena: Arena) -> None:
    async with asyncio.TaskGroup() as group:
        for name in disturbance.names:
            group.create_task(_spoil_store_way(arena, name, disturbance))


async def _spoil_store_way(
    arena: Arena, name: str, disturbance: schedule.SpoilStoreWay
) -> None:
    with arena.hold(f"way of {name}") as is_free:
        if not is_free:
            return
        with arena.trouble(name, f"store way {disturbance.how}"):
            proxy = arena.site.gateways_by_name[name].store
            await arena.spoil_way(proxy, disturbance.how, disturbance.seconds)


@strike.register
async def _(disturbance: schedule.SpoilStore, arena: Arena) -> None:
    rows = arena.site.platform.rows
    with arena.hold(STORE) as is_free:
        if not is_free:
            return
        with arena.trouble(STORE, disturbance.how):
            match disturbance.how:
                case "down":
                    rows.is_down = True
                case "silent":
                    rows.is_silent = True
                case "slow":
                    rows.answer_delay_seconds = SLOW_STORE_SECONDS
                case "lose-answers":
                    rows.loses_answers = True
                case "forget":
                    rows.forget_history()
            if disturbance.revokes_key:
                # An operator's change is accepted where no host can read it.
                await _revoke_key(arena)
            lapsed = disturbance.how in ("down", "silent")
            if lapsed and disturbance.seconds > LAPSE_SECONDS:
                await _lapse_entries(arena, disturbance.seconds)
            else:
                await asyncio.sleep(disturbance.seconds)
            rows.is_down = rows.is_silent = rows.loses_answers = False
            rows.answer_delay_seconds = 0.0


async def _lapse_entries(arena: Arena, seconds: float) -> None:
    """Let entries lapse while the store is away, and return after it."""
    await asyncio.sleep(LAPSE_SECONDS)
    engines = [
        engine
        for engine_id, engine in arena.site.engines_by_id.items()
        if engine_id not in arena.busy
    ]
    for engine in engines:
        await arena.site.unlist_engine(engine)
    await asyncio.sleep(seconds - LAPSE_SECONDS)
    rows = arena.site.platform.rows
    rows.is_down = rows.is_silent = False
    await asyncio.sleep(RELIST_SECONDS)
    for engine in engines:
        if engine.upstream.engine_id not in arena.busy:
            await arena.site.list_engine(engine)


@strike.register
async def _(disturbance: schedule.CrashEngine, arena: Arena) -> None:
    engine = arena.site.engines_by_id[disturbance.engine_id]
    with arena.hold(disturbance.engine_id) as is_free:
        if not is_free:
            return
        with arena.trouble(disturbance.engine_id, "crashed"):
            await engine.upstream.server.start_outage()
            engine.proxy.reset()
            if disturbance.seconds > LAPSE_SECONDS:
                await asyncio.sleep(LAPSE_SECONDS)
                await arena.site.unlist_engine(engine)
            await asyncio.sleep(disturbance.seconds % LAPSE_SECONDS)
            await engine.upstream.server.end_outage()
            engine.born += 1
            await arena.site.list_engine(engine)


@strike.register
async def _(disturbance: schedule.RemoveEngine, arena: Arena) -> None:
    engine_id = disturbance.engine_id
    engine = arena.site.engines_by_id[engine_id]
    with arena.hold(engine_id) as is_free:
        if not is_free:
            return
        with arena.trouble(engine_id, "leaving", is_planned=True):
            if disturbance.is_announced:
                await arena.site.list_engine(engine, State="draining")
            else:
                await arena.site.unlist_engine(engine)
            left_at = time.monotonic()
            await asyncio.sleep(disturbance.seconds)
            left = arena.records.left_at_by_engine.setdefault(engine_id, [])
            left.append((left_at, time.monotonic()))
            # What returns is a new start of the engine, as on the platform.
            engine.born += 1
            await arena.site.list_engine(engine)


@strike.register
async def _(disturbance: schedule.SpoilEngineWay, arena: Arena) -> None:
    engine = arena.site.engines_by_id[disturbance.engine_id]
    with arena.hold(f"way of {disturbance.engine_id}") as is_free:
        if not is_free:
            return
        with arena.trouble(disturbance.engine_id, f"way {disturbance.how}"):
            await arena.spoil_way(engine.proxy, disturbance.how, disturbance.seconds)


@strike.register
async def _(disturbance: schedule.SpoilAnswers, arena: Arena) -> None:
    engine = arena.site.engines_by_id[disturbance.engine_id]
    # The faults may be met at any time from now on.
    arena.records.begin_trouble(
        disturbance.engine_id, disturbance.kind.value, time.monotonic()
    )
    engine.upstream.add_fault(
        disturbance.kind, count=disturbance.count, events=disturbance.events
    )


@strike.register
async def _(disturbance: schedule.RevokeKey, arena: Arena) -> None:
    await _revoke_key(arena)


async def _revoke_key(arena: Arena) -> None:
    keys = arena.records.valid_from_by_key
    old = list(keys)[-1]
    new = f"key-w2-{len(keys)}"
    at = await arena.site.give_key(new)
    arena.records.revoked_at_by_key[old] = at
    keys[new] = at


@strike.register
async def _(disturbance: schedule.ChangeRoutes, arena: Arena) -> None:
    for number in range(disturbance.count):
        routes = [dict(each) for each in arena.site.configuration["Routes"]]
        for route in routes:
            route["SloMs"] = 300 + number
        await arena.site.change_configuration(Routes=routes)
        await asyncio.sleep(STORM_GAP_SECONDS)


@strike.register
async def _(disturbance: schedule.WriteRubbish, arena: Arena) -> None:
    rows = arena.site.platform.rows
    for number, value in enumerate(RUBBISH):
        await rows.put("servers", f"rubbish-{number}", value)
    await asyncio.sleep(disturbance.seconds)
    for number in range(len(RUBBISH)):
        await rows.remove("servers", f"rubbish-{number}")
