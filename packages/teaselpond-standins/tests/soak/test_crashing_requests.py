"""Send a request that crashes its upstreams to gateway processes."""

import asyncio

from teaselpond_standins.service import ListedFaultKind as Kind
from teaselpond_standins.soak.crashing import MARKER, PLAY_SECONDS
from teaselpond_standins.testing.crashing import CrashingSiteTestCase


class CrashingRequestTests(CrashingSiteTestCase):
    """Keep a request away from upstreams that has crashed three of them."""

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
