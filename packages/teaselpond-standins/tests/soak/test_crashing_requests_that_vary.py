"""Send a crashing request in other forms, and at several gateways at once."""

import asyncio
from collections import Counter

from teaselpond_standins.soak.crashing import MARKER, PLAY_SECONDS
from teaselpond_standins.testing.crashing import CrashingSiteTestCase

PATH = "/stock/" + MARKER.decode()
SHORT_WORK_SECONDS = 0.05
WORK_SECONDS = 0.1
# The request comes again before an upstream is back.
DOWN_SECONDS = 1.5
GAP_SECONDS = 0.8
SOUND_GAP_SECONDS = 0.05
# The share of sound requests that were served before paths were weighed.
MIN_SERVED = 0.97


class OtherQueryTests(CrashingSiteTestCase):
    """Recognise a request by its path, caller and body."""

    async def test_crashing_request_with_another_query_each_time(self) -> None:
        """A request without a body is known by its path."""
        crashing = await self.start(6)
        await crashing.send_repeatedly(PATH, None, has_other_queries=True)
        self.check(crashing)

    async def test_crashing_body_with_another_query_each_time(self) -> None:
        """A request with a body is known by both."""
        crashing = await self.start(6)
        body = b"it " + MARKER
        await crashing.send_repeatedly("/stock/x", body, has_other_queries=True)
        self.check(crashing)

    async def test_crashing_request_with_other_queries_while_gateways_restart(
        self,
    ) -> None:
        """Gateways that are killed one by one learn of the path from peers."""
        crashing = await self.start(6)
        sending = asyncio.create_task(
            crashing.send_repeatedly(PATH, None, has_other_queries=True)
        )
        for gateway in crashing.site.gateways:
            await asyncio.sleep(PLAY_SECONDS / 5)
            await gateway.kill()
            await gateway.start()
        await sending
        self.check(crashing)


class SeveralGatewaysTests(CrashingSiteTestCase):
    """Recognise crashes that come together, again and again."""

    async def test_crashing_request_at_three_gateways_at_once(self) -> None:
        """All upstreams of the service end together each time."""
        crashing = await self.start(
            3, down_seconds=DOWN_SECONDS, work_seconds=WORK_SECONDS
        )
        await crashing.send_repeatedly(
            PATH, None, gap_seconds=GAP_SECONDS, gateways_at_once=3
        )
        self.check(crashing)

    async def test_crashing_request_at_six_gateways_at_once(self) -> None:
        """Several of them reach the same upstream."""
        crashing = await self.start(
            3, gateways=6, down_seconds=DOWN_SECONDS, work_seconds=WORK_SECONDS
        )
        await crashing.send_repeatedly(
            PATH, None, gap_seconds=GAP_SECONDS, gateways_at_once=6
        )
        self.check(crashing)

    async def test_crashing_request_with_other_queries_at_six_gateways_at_once(
        self,
    ) -> None:
        """No two of them are alike."""
        crashing = await self.start(
            3, gateways=6, down_seconds=DOWN_SECONDS, work_seconds=WORK_SECONDS
        )
        await crashing.send_repeatedly(
            PATH,
            None,
            gap_seconds=GAP_SECONDS,
            gateways_at_once=6,
            has_other_queries=True,
        )
        self.check(crashing)


class KeptEntryTests(CrashingSiteTestCase):
    """Count an upstream that starts again without writing its entry."""

    async def test_crash_of_three_upstreams_that_keep_their_entries(self) -> None:
        """They end together each time, at three gateways."""
        crashing = await self.start(
            3,
            keeps_entries=True,
            down_seconds=DOWN_SECONDS,
            work_seconds=SHORT_WORK_SECONDS,
        )
        await crashing.send_repeatedly(
            PATH, None, gap_seconds=GAP_SECONDS, gateways_at_once=3
        )
        self.check(crashing)

    async def test_crash_of_two_upstreams_that_keep_their_entries(self) -> None:
        """The third process is one of the two started again."""
        crashing = await self.start(
            2,
            keeps_entries=True,
            down_seconds=DOWN_SECONDS,
            work_seconds=SHORT_WORK_SECONDS,
        )
        await crashing.send_repeatedly(PATH, None)
        self.check(crashing)


class SharedPathTests(CrashingSiteTestCase):
    """Serve the other queries of a path beside a crashing one."""

    async def test_other_queries_are_served_beside_a_crashing_one(self) -> None:
        """What is refused for the path is little."""
        crashing = await self.start(6)
        sound: list[asyncio.Task] = []
        sending = asyncio.create_task(
            crashing.send_repeatedly(f"/stock/list?page={MARKER.decode()}", None)
        )
        while not sending.done():
            path = f"/stock/list?page={len(sound)}&sort=new"
            sound.append(asyncio.create_task(crashing.send(path, None)))
            await asyncio.sleep(SOUND_GAP_SECONDS)
        await sending
        statuses = await asyncio.gather(*sound)
        self.check(crashing)
        print(f"sound: {Counter(statuses)}")
        self.assertGreaterEqual(statuses.count(200), MIN_SERVED * len(statuses))
