"""Test that hosts find out which prompts engines hold."""

import asyncio

from teaselpond.gateway.prefixes import PrefixUse
from teaselpond_standins.testing import AsyncTestCase
from teaselpond_standins.testing.gateways import GatewayFleet


class ReturnedPeerTests(AsyncTestCase):
    """Ask a peer that was cut off what it knows."""

    async def test_prefixes_of_a_returned_peer(self) -> None:
        """A host learns what its peer was not able to tell meanwhile."""
        fleet = await self.enter(GatewayFleet(size=2))
        host, peer = (daemon.host for daemon in fleet.daemons)
        await self.wait_until(lambda: peer.settings.host in host.members.ips_by_host)
        use = PrefixUse(b"12345678", "m0", peer.clock())
        peer.prefixes.record(use, is_news=False)
        await asyncio.sleep(1.0)
        self.assertEqual([], host.prefixes.holders(use.key, host.clock()))
        member = host.members.members_by_host[peer.settings.host]
        member.seen_at -= 10.0
        await self.wait_until(
            lambda: host.prefixes.holders(use.key, host.clock()) == ["m0"]
        )


class SurveyTests(AsyncTestCase):
    """Start hosts that have no prefixes of prompts."""

    async def test_survey_lists_caches(self) -> None:
        """A host without peers lists the engines' caches when it starts."""
        fleet = GatewayFleet(model_count=4)
        for upstream in fleet.model_upstreams:
            upstream.cached_parts = ()
        fleet.model_upstreams[2].cached_parts = (("bb", 20),)
        fleet.is_first_start = False
        await self.enter(fleet)
        host = fleet.daemons[0].host
        await self.wait_until(lambda: list(host.prefixes.recent_uses(host.clock())))
        prefix = {
            "X-Teaselpond-Prefix-Hash": "aa:10,bb:20,cc:5",
            "X-Teaselpond-Token-Count": "35,5",
        }
        async with fleet.call("/stream/x", headers=prefix) as response:
            await response.read()
        self.assertEqual(1, len(fleet.model_upstreams[2].seen_calls))
