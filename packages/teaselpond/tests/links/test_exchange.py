"""Check that facts reach every daemon, whatever gets lost."""

import asyncio
import contextlib
import random

from teaselpond.links import Identity, LinkKeys, LinkManager, LinkSettings, Peer
from teaselpond.links.exchange import ExchangeSettings, FactExchange
from teaselpond.links.facts import FactStore, FactVersion, Topic
from teaselpond_model.contracts import Address
from teaselpond_standins.testing import AsyncTestCase
from teaselpond_standins.testing.waiting import wait_until

RARE = Topic("rare", int)
OFTEN = Topic("often", int, lifetime_seconds=60.0, is_frequent=True)
LINKS = LinkSettings(heartbeat_seconds=0.1, silence_seconds=1.0)
NEVER = ExchangeSettings(push_seconds=3600.0, digest_seconds=3600.0)
QUICK = ExchangeSettings(push_seconds=0.02, digest_seconds=3600.0)


def make_exchange(daemon_id: str, settings: ExchangeSettings) -> FactExchange:
    """Return an exchange over a manager that has not started."""
    identity = Identity(daemon_id, 1, "z", Address("127.0.0.1", 0))
    links = LinkManager(identity, LinkKeys((b"k",)), LINKS, random.Random(daemon_id))
    rng = random.Random(daemon_id)
    return FactExchange(links, FactStore(), (RARE, OFTEN), settings, rng)


def now() -> float:
    """Return the loop's time."""
    return asyncio.get_running_loop().time()


class ExchangeTests(AsyncTestCase):
    """Check pushes, trees and repairs among daemons in a full mesh."""

    @contextlib.asynccontextmanager
    async def mesh(self, size: int, settings: ExchangeSettings):
        """Run daemons that are all linked with each other."""
        nodes = [make_exchange(f"d{number}", settings) for number in range(size)]
        for node in nodes:
            await node.links.start()
        peers = [
            Peer(n.links.identity.daemon_id, n.links.identity.address) for n in nodes
        ]
        for node in nodes:
            node.links.set_peers(peers)
            node.links.set_neighbours(peer.daemon_id for peer in peers)
            node.start()
        try:
            await wait_until(
                lambda: all(len(n.links.linked_peers()) == size - 1 for n in nodes)
            )
            yield nodes
        finally:
            for node in nodes:
                await node.stop()
                await node.links.stop()

    def publish(self, node: FactExchange, topic: Topic, key: str, number: int) -> None:
        """State a fact at one daemon."""
        node.store.publish(topic, key, number, FactVersion(1, number), now())

    def holds(self, nodes, topic: Topic, key: str, number: int) -> bool:
        """Tell whether every daemon holds a fact."""
        found = [node.store.values(topic, now()).get(key) for node in nodes]
        return found == [number] * len(nodes)

    async def test_pushes_reach_everyone(self) -> None:
        """Spread facts without any comparison of digests."""
        async with self.mesh(4, QUICK) as nodes:
            for number, topic in ((1, RARE), (2, RARE), (1, OFTEN), (2, OFTEN)):
                self.publish(nodes[number], topic, "k", number)
                await wait_until(lambda t=topic, n=number: self.holds(nodes, t, "k", n))

    async def test_comparison_repairs_both_ways(self) -> None:
        """Find what either side lacks, once pushes are lost."""
        for missing, offers in ((0, 0), (5, 0), (50, 0), (300, 1), (2000, 1)):
            async with self.mesh(2, NEVER) as (first, second):
                for number in range(missing):
                    self.publish(first, RARE, f"first-{number}", number)
                    self.publish(second, RARE, f"second-{number}", number)
                for number in range(500):
                    self.publish(first, RARE, f"both-{number}", number)
                    self.publish(second, RARE, f"both-{number}", number)
                self.publish(first, RARE, "newer-there", 1)
                self.publish(second, RARE, "newer-there", 2)
                await first.compare("d1")
                await wait_until(lambda: first.store.digest == second.store.digest)
                self.assertEqual(2 * missing + 501, len(first.store))
                self.assertEqual(2, first.store.values(RARE, now())["newer-there"])
                sent = first.links.traffic.frames_sent_by_kind
                self.assertEqual(offers, sent["offer"])
                roots = sent["root"]
                await first.compare("d1")
                self.assertEqual(roots + 1, sent["root"])

    async def test_frequent_facts_settle_on_one_path(self) -> None:
        """Receive a frequent fact about once a daemon, not once a link."""
        async with self.mesh(5, QUICK) as nodes:
            received = []
            for number in range(1, 30):
                before = self.facts_received(nodes)
                self.publish(nodes[0], OFTEN, "k", number)
                await wait_until(lambda n=number: self.holds(nodes, OFTEN, "k", n))
                await asyncio.sleep(0.05)
                received.append(self.facts_received(nodes) - before)
            self.assertTrue(max(received) > 4, received)
            self.assertEqual([4] * 5, received[-5:])

    def facts_received(self, nodes) -> int:
        """Return how many deltas arrived at all daemons."""
        kinds = (node.links.traffic.frames_received_by_kind for node in nodes)
        return sum(kind["facts"] for kind in kinds)

    async def test_a_lost_path_is_replaced(self) -> None:
        """Resume the other paths when the one in use breaks."""
        async with self.mesh(3, QUICK) as nodes:
            for number in range(1, 15):
                self.publish(nodes[0], OFTEN, "k", number)
                await wait_until(lambda n=number: self.holds(nodes, OFTEN, "k", n))
                await asyncio.sleep(0.05)
            # By now d2 hears d0 directly, and has stopped what d1 passes on.
            nodes[2].links.set_neighbours(["d1"])
            nodes[0].links.set_neighbours(["d1"])
            await wait_until(lambda: "d0" not in nodes[2].links.linked_peers())
            self.publish(nodes[0], OFTEN, "k", 99)
            await wait_until(lambda: self.holds(nodes, OFTEN, "k", 99))
