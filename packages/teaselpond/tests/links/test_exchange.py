"""Check that facts reach every daemon when messages or links are lost."""

import asyncio
import contextlib
import random

from teaselpond.links import Identity, LinkKeys, LinkManager, LinkSettings, Peer
from teaselpond.links.exchange import ExchangeSettings, FactExchange
from teaselpond.links.facts import FactStore, FactVersion, Topic
from teaselpond_model.contracts import Address
from teaselpond_standins.testing import AsyncTestCase
from teaselpond_standins.testing.waiting import wait_until

INFREQUENT = Topic("rare", int)
FREQUENT = Topic("often", int, lifetime_seconds=60.0, is_frequent=True)
LINK_SETTINGS = LinkSettings(heartbeat_seconds=0.1, silence_seconds=1.0)
NO_AUTOMATIC_EXCHANGE = ExchangeSettings(push_seconds=3600.0, digest_seconds=3600.0)
FAST_PUSHES = ExchangeSettings(push_seconds=0.02, digest_seconds=3600.0)


def make_exchange(daemon_id: str, settings: ExchangeSettings) -> FactExchange:
    """Return an exchange whose link manager is not started."""
    identity = Identity(daemon_id, 1, "z", Address("127.0.0.1", 0))
    links = LinkManager(
        identity, LinkKeys((b"k",)), LINK_SETTINGS, random.Random(daemon_id)
    )
    rng = random.Random(daemon_id)
    return FactExchange(links, FactStore(), (INFREQUENT, FREQUENT), settings, rng)


def now() -> float:
    """Return the event loop's time."""
    return asyncio.get_running_loop().time()


class ExchangeTests(AsyncTestCase):
    """Check pushes, trees and repairs among fully connected daemons."""

    @contextlib.asynccontextmanager
    async def run_mesh(self, size: int, settings: ExchangeSettings):
        """Run daemons that are all linked to each other."""
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
        """Publish a fact at one daemon."""
        node.store.publish(topic, key, number, FactVersion(1, number), now())

    def is_stored_by_all(self, nodes, topic: Topic, key: str, number: int) -> bool:
        """Return whether every daemon has a fact."""
        found = [node.store.values(topic, now()).get(key) for node in nodes]
        return found == [number] * len(nodes)

    async def test_pushes_reach_every_daemon(self) -> None:
        """Push facts to every daemon without comparing digests."""
        async with self.run_mesh(4, FAST_PUSHES) as nodes:
            for number, topic in (
                (1, INFREQUENT),
                (2, INFREQUENT),
                (1, FREQUENT),
                (2, FREQUENT),
            ):
                self.publish(nodes[number], topic, "k", number)
                await wait_until(
                    lambda t=topic, n=number: self.is_stored_by_all(nodes, t, "k", n)
                )

    async def test_comparison_repairs_both_daemons(self) -> None:
        """Repair what either daemon lacks when pushes are lost."""
        for missing, offers in ((0, 0), (5, 0), (50, 0), (300, 1), (2000, 1)):
            async with self.run_mesh(2, NO_AUTOMATIC_EXCHANGE) as (first, second):
                for number in range(missing):
                    self.publish(first, INFREQUENT, f"first-{number}", number)
                    self.publish(second, INFREQUENT, f"second-{number}", number)
                for number in range(500):
                    self.publish(first, INFREQUENT, f"both-{number}", number)
                    self.publish(second, INFREQUENT, f"both-{number}", number)
                self.publish(first, INFREQUENT, "newer-there", 1)
                self.publish(second, INFREQUENT, "newer-there", 2)
                await first.compare("d1")
                await wait_until(lambda: first.store.digest == second.store.digest)
                self.assertEqual(2 * missing + 501, len(first.store))
                self.assertEqual(
                    2, first.store.values(INFREQUENT, now())["newer-there"]
                )
                sent = first.links.traffic.frames_sent_by_kind
                self.assertEqual(offers, sent["offer"])
                roots = sent["root"]
                await first.compare("d1")
                self.assertEqual(roots + 1, sent["root"])

    async def test_frequent_facts_converge_to_one_path(self) -> None:
        """Receive a frequent fact once per daemon, not once per link."""
        async with self.run_mesh(5, FAST_PUSHES) as nodes:
            received = []
            for number in range(1, 30):
                before = self.received_delta_count(nodes)
                self.publish(nodes[0], FREQUENT, "k", number)
                await wait_until(
                    lambda n=number: self.is_stored_by_all(nodes, FREQUENT, "k", n)
                )
                await asyncio.sleep(0.05)
                received.append(self.received_delta_count(nodes) - before)
            self.assertTrue(max(received) > 4, received)
            self.assertEqual([4] * 5, received[-5:])

    def received_delta_count(self, nodes) -> int:
        """Return how many deltas all daemons received together."""
        kinds = (node.links.traffic.frames_received_by_kind for node in nodes)
        return sum(kind["facts"] for kind in kinds)

    async def test_closed_path_is_replaced(self) -> None:
        """Resume the other paths when the link in use closes."""
        async with self.run_mesh(3, FAST_PUSHES) as nodes:
            for number in range(1, 15):
                self.publish(nodes[0], FREQUENT, "k", number)
                await wait_until(
                    lambda n=number: self.is_stored_by_all(nodes, FREQUENT, "k", n)
                )
                await asyncio.sleep(0.05)
            # By now d2 receives from d0 directly and has pruned d1.
            nodes[2].links.set_neighbours(["d1"])
            nodes[0].links.set_neighbours(["d1"])
            await wait_until(lambda: "d0" not in nodes[2].links.linked_peers())
            self.publish(nodes[0], FREQUENT, "k", 99)
            await wait_until(lambda: self.is_stored_by_all(nodes, FREQUENT, "k", 99))
