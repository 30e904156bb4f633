"""Poll paths while their upstreams are away, and after that."""

import asyncio
import time

from teaselpond_standins.soak.crashing import CONTACT_SECONDS
from teaselpond_standins.soak.polling import PolledSite, take_away
from teaselpond_standins.soak.proxy import Direction
from teaselpond_standins.testing.crashing import CrashingSiteTestCase

PATHS = tuple(f"/stock/{number}" for number in range(8))
UPSTREAMS = 3
CALM_SECONDS = 1.0
OUTAGE_SECONDS = 1.5
SERVED_SECONDS = 2.0
# A gateway tries one of the unreachable upstreams each half second.
PROBED_SECONDS = 1.0


class RequestsAfterOutagesTests(CrashingSiteTestCase):
    """Serve requests that were sent to upstreams that were away."""

    async def check_served_after_outage(
        self,
        gap_seconds: float,
        *,
        is_silent: bool = False,
        is_unreachable: bool = False,
        within_seconds: float = CONTACT_SECONDS,
    ) -> None:
        """Take the upstreams away in turn while paths are polled.

        All are served from ``within_seconds`` after the return on.
        """
        crashing = await self.start(UPSTREAMS)
        polled = PolledSite(crashing)
        outage = (UPSTREAMS - 1) * gap_seconds + OUTAGE_SECONDS
        seconds = CALM_SECONDS + outage + within_seconds + SERVED_SECONDS
        async with asyncio.TaskGroup() as tasks:
            for path in PATHS:
                tasks.create_task(polled.poll(path, seconds))
            await asyncio.sleep(CALM_SECONDS)
            for engine in crashing.site.engines_by_id.values():
                if is_silent:
                    engine.proxy.cut(*Direction)
                elif is_unreachable:
                    await engine.proxy.stop()
                else:
                    tasks.create_task(take_away(engine, OUTAGE_SECONDS))
                await asyncio.sleep(gap_seconds)
            await asyncio.sleep(OUTAGE_SECONDS)
            for engine in crashing.site.engines_by_id.values():
                if is_unreachable:
                    await engine.proxy.start()
                engine.proxy.restore()
            returned_at = time.monotonic()
        self.assertEqual({}, polled.unserved_since(returned_at + within_seconds))

    async def test_polled_paths_are_served_after_upstreams_were_away(self) -> None:
        """The upstreams go and return together."""
        await self.check_served_after_outage(0.0)

    async def test_polled_paths_are_served_after_upstreams_went_in_turn(self) -> None:
        """Each is away while the next one goes."""
        await self.check_served_after_outage(OUTAGE_SECONDS * 0.7)

    async def test_polled_paths_are_served_after_upstreams_were_silent(self) -> None:
        """Connections to them stay open, and nothing comes."""
        await self.check_served_after_outage(0.0, is_silent=True)

    async def test_polled_paths_are_served_after_upstreams_were_unreachable(
        self,
    ) -> None:
        """The first answer tells that an upstream is back."""
        await self.check_served_after_outage(
            0.0, is_unreachable=True, within_seconds=PROBED_SECONDS
        )
