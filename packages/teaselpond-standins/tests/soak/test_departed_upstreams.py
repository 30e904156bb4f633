"""Restore the store after an upstream has left, and restart gateways."""

import asyncio
import itertools
import time

import aiohttp

from teaselpond_standins.soak.single_calls import send_call
from teaselpond_standins.soak.site import SoakPlan, SoakSite
from teaselpond_standins.testing import AsyncTestCase

PLAN = SoakPlan(gateways=3, model_engines=0, plain_engines=3, callers=0)
START_SECONDS = 20.0
CALLS_PER_SECOND = 60
# Copies are this much older than the upstream's departure.
COPY_AGE_SECONDS = 0.5
RESTORE_SECONDS = 1.0
RESTART_SECONDS = 0.3
# Upstreams that have left serve for this long.
DRAIN_SECONDS = 2.0
PLAY_SECONDS = 5.0


class DepartedUpstreamTests(AsyncTestCase):
    """Send nothing to an upstream that left before the store was restored."""

    async def play(self, *, is_announced: bool, restarts: int) -> list[float]:
        """Restore the store after a departure, then restart gateways.

        Return when calls reached the upstream too late, from its departure.
        """
        site = await self.enter(SoakSite(PLAN))
        self.assertEqual([], await site.wait_until_ready(START_SECONDS))
        session = await self.enter(aiohttp.ClientSession())
        sending = asyncio.create_task(self.send_calls(site, session))
        await asyncio.sleep(1.0)
        engine = next(iter(site.engines_by_id.values()))
        rows = site.platform.rows
        copy = rows.copy()
        await asyncio.sleep(COPY_AGE_SECONDS)
        if is_announced:
            await site.list_engine(engine, State="draining")
        else:
            await site.unlist_engine(engine)
        left_at = time.monotonic()
        await asyncio.sleep(RESTORE_SECONDS)
        await rows.restore(copy)
        await asyncio.sleep(RESTART_SECONDS)
        for gateway in site.gateways[:restarts]:
            await gateway.kill()
            await gateway.start()
            await site.wait_until_ready(START_SECONDS)
        await asyncio.sleep(PLAY_SECONDS)
        sending.cancel()
        await asyncio.gather(sending, return_exceptions=True)
        others = list(site.engines_by_id.values())[1:]
        self.assertTrue(
            any(c.at > left_at for each in others for c in each.upstream.seen_calls)
        )
        late = [
            call.at - left_at
            for call in engine.upstream.seen_calls
            if call.at - left_at > DRAIN_SECONDS
        ]
        print(f"late calls: {len(late)}")
        return late

    async def send_calls(self, site: SoakSite, session: aiohttp.ClientSession) -> None:
        """Send calls to the gateways in turn until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            for number in itertools.count():
                gateway = site.gateways[number % len(site.gateways)]
                address = site.get_entry_address(gateway)
                call = send_call(
                    session, address, "/orders/x", f"id-{number}", body=b"x"
                )
                tasks.create_task(call)
                await asyncio.sleep(1 / CALLS_PER_SECOND)

    async def test_draining_upstream_after_restore_and_restart(self) -> None:
        """One gateway that restarts asks others which upstreams drain."""
        self.assertEqual([], await self.play(is_announced=True, restarts=1))

    async def test_draining_upstream_after_restore_and_all_restarts(self) -> None:
        """The knowledge outlives the restarts of all gateways in turn."""
        self.assertEqual([], await self.play(is_announced=True, restarts=3))

    async def test_removed_upstream_after_restore_and_restart(self) -> None:
        """An entry that the copy has again is no new one."""
        self.assertEqual([], await self.play(is_announced=False, restarts=1))

    async def test_removed_upstream_after_restore_and_all_restarts(self) -> None:
        """The removal outlives the restarts of all gateways in turn."""
        self.assertEqual([], await self.play(is_announced=False, restarts=3))
