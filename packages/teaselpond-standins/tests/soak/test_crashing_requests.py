"""Send a request that crashes its upstreams to gateway processes."""

import asyncio
import time
from collections.abc import Awaitable, Callable

import aiohttp
from attrs import define, field

from teaselpond_standins.service import ListedFaultKind as Kind
from teaselpond_standins.soak.single_calls import send_call
from teaselpond_standins.soak.site import SoakEngine, SoakPlan, SoakSite
from teaselpond_standins.testing import AsyncTestCase

MARKER = b"crashes"
GAP_SECONDS = 0.4
PLAY_SECONDS = 14.0
START_SECONDS = 20.0
DOWN_SECONDS = 0.6
# The request may reach upstreams this often later than CONTACT_SECONDS after
# it has crashed the third.
CRASHES = 3
CONTACT_SECONDS = 3.0
ALLOWED_LATE_CALLS = 3


@define(eq=False)
class CrashingSite:
    """Run gateways before upstreams that a marked request crashes.

    Each of the upstreams starts again under its id soon afterwards.
    """

    site: SoakSite
    session: aiohttp.ClientSession
    is_silent: bool = False
    crashed_at: list[float] = field(factory=list)
    _restarting: set[asyncio.Task] = field(factory=set)
    _number: int = 0

    def prepare(self) -> None:
        """Make all upstreams crash when a marked request runs."""
        for engine in self.site.engines_by_id.values():
            engine.upstream.crash_marker = MARKER
            engine.upstream.crash = self._make_crash(engine)

    def _make_crash(self, engine: SoakEngine) -> Callable[[], Awaitable[None]]:
        async def crash() -> None:
            self.crashed_at.append(time.monotonic())
            if self.is_silent:
                # What was sent to it is never answered, nor is it refused.
                await asyncio.Event().wait()
            restart = asyncio.create_task(self._restart(engine))
            self._restarting.add(restart)
            restart.add_done_callback(self._restarting.discard)

        return crash

    async def _restart(self, engine: SoakEngine) -> None:
        await engine.upstream.server.start_outage()
        engine.proxy.reset()
        await asyncio.sleep(DOWN_SECONDS)
        await engine.upstream.server.end_outage()
        engine.incarnation += 1
        await self.site.list_engine(engine)

    async def __aenter__(self) -> "CrashingSite":
        return self

    async def __aexit__(self, *exception: object) -> None:
        for task in self._restarting:
            task.cancel()
        await asyncio.gather(*self._restarting, return_exceptions=True)

    async def send(self, path: str, body: bytes | None) -> int | None:
        """Send a request to the next gateway; return the answer's status."""
        self._number += 1
        gateways = self.site.gateways
        gateway = gateways[self._number % len(gateways)]
        address = self.site.get_entry_address(gateway)
        request_id = f"id-{self._number}"
        return await send_call(self.session, address, path, request_id, body=body)

    async def send_repeatedly(self, path: str, body: bytes | None) -> None:
        """Send the same request again and again for the time of a play."""
        end = time.monotonic() + PLAY_SECONDS
        async with asyncio.TaskGroup() as tasks:
            while time.monotonic() < end:
                tasks.create_task(self.send(path, body))
                await asyncio.sleep(GAP_SECONDS)

    def late_calls(self) -> list[float]:
        """Return when marked requests reached upstreams after the bound."""
        if len(self.crashed_at) < CRASHES:
            return []
        bound = sorted(self.crashed_at)[CRASHES - 1] + CONTACT_SECONDS
        return [
            call.at - bound
            for engine in self.site.engines_by_id.values()
            for call in engine.upstream.seen_calls
            if call.at > bound and MARKER in call.target.encode() + call.body
        ]


class CrashingRequestTests(AsyncTestCase):
    """Keep a request away from upstreams that has crashed three of them."""

    async def start(self, engines: int, *, is_silent: bool = False) -> CrashingSite:
        """Start three gateways before some upstreams."""
        plan = SoakPlan(gateways=3, model_engines=0, plain_engines=engines, callers=0)
        site = await self.enter(SoakSite(plan))
        self.assertEqual([], await site.wait_until_ready(START_SECONDS))
        session = await self.enter(aiohttp.ClientSession())
        crashing = await self.enter(CrashingSite(site, session, is_silent))
        crashing.prepare()
        return crashing

    def check(self, crashing: CrashingSite) -> None:
        """Check that upstreams crashed, and that few requests came late."""
        print(f"crashes: {len(crashing.crashed_at)}")
        print(f"late calls: {len(crashing.late_calls())}")
        self.assertGreaterEqual(len(crashing.crashed_at), CRASHES)
        self.assertLessEqual(len(crashing.late_calls()), ALLOWED_LATE_CALLS)

    async def test_request_that_crashes_six_upstreams(self) -> None:
        """A request with a body is kept away from the upstreams left."""
        crashing = await self.start(6)
        await crashing.send_repeatedly("/stock/x", b"it " + MARKER)
        self.check(crashing)

    async def test_request_that_crashes_upstreams_that_start_again(self) -> None:
        """Upstreams that start again under their ids count as new ones."""
        crashing = await self.start(2)
        await crashing.send_repeatedly("/stock/x", b"it " + MARKER)
        self.check(crashing)

    async def test_request_without_a_body_that_crashes_upstreams(self) -> None:
        """A request without a body is known by its target."""
        crashing = await self.start(6)
        await crashing.send_repeatedly("/stock/" + MARKER.decode(), None)
        self.check(crashing)

    async def test_request_that_silences_upstreams(self) -> None:
        """An upstream that no longer answers anything counts as crashed."""
        crashing = await self.start(6, is_silent=True)
        await crashing.send_repeatedly("/stock/x", b"it " + MARKER)
        self.check(crashing)

    async def test_crashing_request_while_gateways_restart(self) -> None:
        """Gateways that are killed one by one learn of it from their peers."""
        crashing = await self.start(6)
        sending = asyncio.create_task(
            crashing.send_repeatedly("/stock/x", b"it " + MARKER)
        )
        for gateway in crashing.site.gateways:
            await asyncio.sleep(PLAY_SECONDS / 5)
            await gateway.kill()
            await gateway.start()
        await sending
        self.check(crashing)

    async def test_crashing_request_after_all_gateways_restart_at_once(self) -> None:
        """Gateways that have no peer to ask learn of it from the store."""
        crashing = await self.start(6)
        sending = asyncio.create_task(
            crashing.send_repeatedly("/stock/x", b"it " + MARKER)
        )
        gateways = crashing.site.gateways
        for _ in range(2):
            await asyncio.sleep(PLAY_SECONDS / 3)
            await asyncio.gather(*(each.kill() for each in gateways))
            await asyncio.gather(*(each.start() for each in gateways))
        await sending
        self.check(crashing)

    async def test_crashing_request_among_others_that_are_cut(self) -> None:
        """Other requests that break off don't make it forgotten."""
        crashing = await self.start(6)
        sending = asyncio.create_task(
            crashing.send_repeatedly("/stock/x", b"it " + MARKER)
        )
        for engine in crashing.site.engines_by_id.values():
            engine.upstream.work_seconds = 0.0
            engine.upstream.add_fault(Kind.RUN_THEN_DROP, count=100_000)
        number = 0
        async with asyncio.TaskGroup() as tasks:
            while not sending.done():
                number += 1
                tasks.create_task(crashing.send("/orders/x", b"%d" % number))
                if number % 4 == 0:
                    await asyncio.sleep(0.01)
        self.check(crashing)
