"""Inject the disturbances of a soak, and end each after its duration."""

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
# The platform removes an engine's entry after this long without a renewal.
ENTRY_TTL_SECONDS = 3.6
# Engines write expired entries again this long after an outage of the store.
RELIST_SECONDS = 1.5
# The operator and the engines write again, this long after a restore, what the
# store has lost.
REWRITE_SECONDS = 1.2
SLOW_CONNECTION_SECONDS = 0.3
SLOW_STORE_SECONDS = 0.4
# Streams of slow engines pause before this event.
PAUSE_EVENT = 3
CONFIGURATION_GAP_SECONDS = 0.06
MALFORMED_VALUES = (b"\xff\xfe", b"{", b"[]", b'{"Service": 7, "Address": "nowhere"}')


@define(eq=False)
class InjectionContext:
    """Hold the site and the records that disturbances change.

    ``reserved`` has the gateways, engines, connections and the store that a
    disturbance is changing; other disturbances skip them.
    """

    site: SoakSite
    records: SoakRecords
    reserved: set[str] = field(factory=set)

    @contextlib.contextmanager
    def reserve(self, name: str) -> Iterator[bool]:
        """Reserve a name for a disturbance; yield whether it was free."""
        if name in self.reserved:
            yield False
            return
        self.reserved.add(name)
        try:
            yield True
        finally:
            self.reserved.discard(name)

    @contextlib.contextmanager
    def record_trouble(
        self, name: str, kind: str, *, is_planned: bool = False
    ) -> Iterator[Trouble]:
        """Record a trouble that starts now and ends with the context."""
        trouble = self.records.begin_trouble(
            name, kind, time.monotonic(), is_planned=is_planned
        )
        try:
            yield trouble
        finally:
            trouble.end = time.monotonic()

    async def disrupt_connections(
        self, proxy: FaultyProxy, fault: str, seconds: float
    ) -> None:
        """Inject a network fault into a proxy for some seconds."""
        match fault:
            case "refuse":
                proxy.is_refusing = True
                proxy.reset()
            case "reset":
                proxy.reset()
            case "silence":
                proxy.silence()
            case "slow":
                proxy.delay_seconds = SLOW_CONNECTION_SECONDS
            case "cut":
                proxy.cut(*Direction)
            case "cut-back":
                proxy.cut(Direction.TO_CALLER)
        await asyncio.sleep(seconds)
        proxy.restore()


@singledispatch
async def inject(disturbance: schedule.Disturbance, context: InjectionContext) -> None:
    """Inject one disturbance, and end it after its duration."""
    raise NotImplementedError(disturbance)


async def _inject_into_gateways(
    context: InjectionContext,
    names: Iterable[str],
    action: Callable[[InjectionContext, SoakGateway, float], Awaitable[None]],
    seconds: float,
    gap_seconds: float = 0.0,
) -> None:
    """Disturb gateways one after another; skip those that are reserved."""

    async def inject_one(name: str) -> None:
        with context.reserve(name) as is_free:
            if is_free:
                await action(context, context.site.gateways_by_name[name], seconds)

    async with asyncio.TaskGroup() as group:
        for name in names:
            group.create_task(inject_one(name))
            await asyncio.sleep(gap_seconds)


@inject.register
async def _(disturbance: schedule.KillGateways, context: InjectionContext) -> None:
    await _inject_into_gateways(
        context, disturbance.names, _kill, disturbance.seconds, disturbance.gap_seconds
    )


async def _kill(
    context: InjectionContext, gateway: SoakGateway, seconds: float
) -> None:
    with context.record_trouble(gateway.name, "killed"):
        await gateway.kill()
        await asyncio.sleep(seconds)
        await _start(context, gateway)


async def _start(context: InjectionContext, gateway: SoakGateway) -> None:
    with context.record_trouble(gateway.name, "starting"):
        await gateway.start()


@inject.register
async def _(disturbance: schedule.PauseGateways, context: InjectionContext) -> None:
    await _inject_into_gateways(context, disturbance.names, _pause, disturbance.seconds)


async def _pause(
    context: InjectionContext, gateway: SoakGateway, seconds: float
) -> None:
    with context.record_trouble(gateway.name, "paused"):
        gateway.process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        gateway.process.send_signal(signal.SIGCONT)


@inject.register
async def _(disturbance: schedule.StopGateways, context: InjectionContext) -> None:
    await _inject_into_gateways(
        context, disturbance.names, _stop, disturbance.seconds, disturbance.gap_seconds
    )


async def _stop(
    context: InjectionContext, gateway: SoakGateway, seconds: float
) -> None:
    await stop_gateway(context, gateway)
    with context.record_trouble(gateway.name, "killed", is_planned=True):
        await asyncio.sleep(seconds)
        await _start(context, gateway)


async def stop_gateway(context: InjectionContext, gateway: SoakGateway) -> None:
    """Stop a gateway as planned, and record how it ended."""
    with context.record_trouble(gateway.name, "stopping", is_planned=True):
        signalled_at = time.monotonic()
        gateway.process.send_signal(signal.SIGTERM)
        exit_code = await gateway.process.wait(STOP_LIMIT_SECONDS)
        context.records.stops.append(
            Stop(gateway.name, signalled_at, time.monotonic(), exit_code)
        )
        await gateway.kill()


@inject.register
async def _(disturbance: schedule.ReloadGateways, context: InjectionContext) -> None:
    for name in disturbance.names:
        gateway = context.site.gateways_by_name[name]
        context.site.write_settings(gateway, is_first_start=False)
        if name not in context.reserved:
            with context.record_trouble(name, "reloading", is_planned=True):
                gateway.process.send_signal(signal.SIGHUP)


@inject.register
async def _(
    disturbance: schedule.DisruptStoreConnections, context: InjectionContext
) -> None:
    async with asyncio.TaskGroup() as group:
        for name in disturbance.names:
            group.create_task(_disrupt_store_connections(context, name, disturbance))


async def _disrupt_store_connections(
    context: InjectionContext, name: str, disturbance: schedule.DisruptStoreConnections
) -> None:
    with context.reserve(f"connections of {name}") as is_free:
        if not is_free:
            return
        with context.record_trouble(name, f"store way {disturbance.fault}"):
            proxy = context.site.gateways_by_name[name].store_proxy
            await context.disrupt_connections(
                proxy, disturbance.fault, disturbance.seconds
            )


@inject.register
async def _(disturbance: schedule.DisruptStore, context: InjectionContext) -> None:
    rows = context.site.platform.rows
    with context.reserve(STORE) as is_free:
        if not is_free:
            return
        with context.record_trouble(STORE, disturbance.fault):
            match disturbance.fault:
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
                # The operator's change is accepted while no host can read it.
                await _revoke_key(context)
            prevents_renewal = disturbance.fault in ("down", "silent")
            if prevents_renewal and disturbance.seconds > ENTRY_TTL_SECONDS:
                await _expire_entries(context, disturbance.seconds)
            else:
                await asyncio.sleep(disturbance.seconds)
            rows.is_down = rows.is_silent = rows.loses_answers = False
            rows.answer_delay_seconds = 0.0


@inject.register
async def _(disturbance: schedule.RestoreStore, context: InjectionContext) -> None:
    rows = context.site.platform.rows
    with context.reserve(STORE) as is_free:
        if not is_free:
            return
        copy = rows.copy()
        await asyncio.sleep(disturbance.seconds)
        with context.record_trouble(STORE, "restored"):
            await rows.restore(copy)
            await asyncio.sleep(REWRITE_SECONDS)
            await context.site.write_all_again()


async def _expire_entries(context: InjectionContext, seconds: float) -> None:
    """Remove the entries of engines, as the platform does without renewals.

    End the outage of the store after ``seconds``, and write them again.
    """
    await asyncio.sleep(ENTRY_TTL_SECONDS)
    engines = [
        engine
        for engine_id, engine in context.site.engines_by_id.items()
        if engine_id not in context.reserved
    ]
    for engine in engines:
        await context.site.unlist_engine(engine)
    await asyncio.sleep(seconds - ENTRY_TTL_SECONDS)
    rows = context.site.platform.rows
    rows.is_down = rows.is_silent = False
    await asyncio.sleep(RELIST_SECONDS)
    for engine in engines:
        if engine.upstream.engine_id not in context.reserved:
            await context.site.list_engine(engine)


@inject.register
async def _(disturbance: schedule.CrashEngine, context: InjectionContext) -> None:
    engine = context.site.engines_by_id[disturbance.engine_id]
    with context.reserve(disturbance.engine_id) as is_free:
        if not is_free:
            return
        with context.record_trouble(disturbance.engine_id, "crashed"):
            await engine.upstream.server.start_outage()
            engine.proxy.reset()
            if disturbance.seconds > ENTRY_TTL_SECONDS:
                await asyncio.sleep(ENTRY_TTL_SECONDS)
                await context.site.unlist_engine(engine)
            await asyncio.sleep(disturbance.seconds % ENTRY_TTL_SECONDS)
            await engine.upstream.server.end_outage()
            engine.incarnation += 1
            await context.site.list_engine(engine)


@inject.register
async def _(disturbance: schedule.RemoveEngine, context: InjectionContext) -> None:
    engine_id = disturbance.engine_id
    engine = context.site.engines_by_id[engine_id]
    with context.reserve(engine_id) as is_free:
        if not is_free:
            return
        with context.record_trouble(engine_id, "leaving", is_planned=True):
            if disturbance.is_announced:
                await context.site.list_engine(engine, State="draining")
            else:
                await context.site.unlist_engine(engine)
            left_at = time.monotonic()
            await asyncio.sleep(disturbance.seconds)
            left = context.records.left_at_by_engine.setdefault(engine_id, [])
            left.append((left_at, time.monotonic()))
            # On the platform, an engine that returns is a new incarnation.
            engine.incarnation += 1
            await context.site.list_engine(engine)


@inject.register
async def _(
    disturbance: schedule.DisruptEngineConnections, context: InjectionContext
) -> None:
    engine = context.site.engines_by_id[disturbance.engine_id]
    with context.reserve(f"connections of {disturbance.engine_id}") as is_free:
        if not is_free:
            return
        with context.record_trouble(disturbance.engine_id, f"way {disturbance.fault}"):
            await context.disrupt_connections(
                engine.proxy, disturbance.fault, disturbance.seconds
            )


@inject.register
async def _(disturbance: schedule.DisruptAnswers, context: InjectionContext) -> None:
    engine = context.site.engines_by_id[disturbance.engine_id]
    # The faults have no known end: they wait for the engine's next calls.
    context.records.begin_trouble(
        disturbance.engine_id, disturbance.kind.value, time.monotonic()
    )
    engine.upstream.add_fault(
        disturbance.kind, count=disturbance.count, events=disturbance.events
    )


@inject.register
async def _(disturbance: schedule.SlowEngines, context: InjectionContext) -> None:
    # Slowness excuses no lost answer, so it is no trouble of the engines.
    upstreams = [engine.upstream for engine in context.site.engines_by_id.values()]
    with context.reserve("speed of engines") as is_free:
        if not is_free:
            return
        work_seconds = [upstream.work_seconds for upstream in upstreams]
        for upstream in upstreams:
            upstream.pause_event = PAUSE_EVENT
            upstream.pause_seconds = disturbance.pause_seconds
            if upstream.engine_id.startswith("plain"):
                upstream.work_seconds = disturbance.pause_seconds
        await asyncio.sleep(disturbance.seconds)
        for upstream, seconds in zip(upstreams, work_seconds, strict=True):
            upstream.pause_event = None
            upstream.work_seconds = seconds


@inject.register
async def _(disturbance: schedule.RevokeKey, context: InjectionContext) -> None:
    await _revoke_key(context)


async def _revoke_key(context: InjectionContext) -> None:
    keys = context.records.valid_from_by_key
    old = list(keys)[-1]
    new = f"key-w2-{len(keys)}"
    at = await context.site.replace_key(new)
    context.records.revoked_at_by_key[old] = at
    keys[new] = at


@inject.register
async def _(disturbance: schedule.ChangeRoutes, context: InjectionContext) -> None:
    for number in range(disturbance.count):
        routes = [dict(each) for each in context.site.configuration["Routes"]]
        for route in routes:
            route["SloMs"] = 300 + number
        await context.site.change_configuration(Routes=routes)
        await asyncio.sleep(CONFIGURATION_GAP_SECONDS)


@inject.register
async def _(
    disturbance: schedule.WriteMalformedEntries, context: InjectionContext
) -> None:
    rows = context.site.platform.rows
    for number, value in enumerate(MALFORMED_VALUES):
        await rows.put("servers", f"rubbish-{number}", value)
    await asyncio.sleep(disturbance.seconds)
    for number in range(len(MALFORMED_VALUES)):
        await rows.remove("servers", f"rubbish-{number}")
