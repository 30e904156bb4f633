"""Check when an owner's load is published again."""

import testtools
from attrs import evolve

from teaselpond.links.facts import Fact, FactStore
from teaselpond.links.loads import (
    LOAD_TOPIC,
    LoadPublisher,
    decode_load_sums,
    subscribe_to_load_sums,
)
from teaselpond.policy import LoadSum

SUM = LoadSum("m", "z", "owner", 40, 0, 100, 5, 1)


class LoadTests(testtools.TestCase):
    """Check when sums are published, and that they can be decoded."""

    def test_published_again_when_changed_or_old(self) -> None:
        """Publish steps, urgent changes and old sums only."""
        for now, sums, is_published in (
            (0.0, (SUM,), True),
            (0.5, (evolve(SUM, in_flight=90),), False),
            (2.0, (evolve(SUM, in_flight=50),), False),
            (2.0, (evolve(SUM, in_flight=53),), True),
            (2.0, (evolve(SUM, in_flight=27),), True),
            (2.0, (evolve(SUM, queued=3),), True),
            (2.0, (evolve(SUM, engines=4),), True),
            (2.0, (SUM, evolve(SUM, model="n")), True),
            (2.0, (), True),
            (41.0, (SUM,), True),
        ):
            publisher = LoadPublisher(FactStore(), "owner", 1)
            if now:
                publisher.publish_if_due((SUM,), 0.0)
            self.assertEqual(
                is_published, publisher.publish_if_due(sums, now), (now, sums)
            )

    def test_interval_grows_with_owners(self) -> None:
        """Limit the bytes per second of all owners together."""
        changed, queued = evolve(SUM, in_flight=90), evolve(SUM, queued=1)
        for owners, now, load, is_published in (
            (7, 1.0, changed, True),
            (340, 20.0, changed, False),
            (340, 35.0, changed, True),
            (340, 5.0, queued, False),
            (340, 9.0, queued, True),
            (100_000, 40.0, SUM, True),
        ):
            publisher = LoadPublisher(FactStore(), "owner", 1)
            publisher.publish_if_due((SUM,), 0.0)
            self.assertEqual(
                is_published, publisher.publish_if_due((load,), now, owners)
            )

    def test_subscribers_receive_sums(self) -> None:
        """Pass sums to subscribers with growing versions, except own sums."""
        own_store, other_store = FactStore(), FactStore()
        observed, observed_by_owner = [], []
        subscribe_to_load_sums(other_store, "other", observed.append)
        subscribe_to_load_sums(other_store, "owner", observed_by_owner.append)
        publisher = LoadPublisher(own_store, "owner", 1)
        for now, load in ((0.0, SUM), (50.0, evolve(SUM, queued=2, ejected=1))):
            publisher.publish_if_due((load,), now)
            fact: Fact = own_store.get(LOAD_TOPIC, "owner", now)
            other_store.merge(fact, now)
            self.assertEqual(
                (evolve(load, version=fact.number),), decode_load_sums(fact)
            )
        self.assertEqual([1, 2], [each.version for each in observed])
        self.assertEqual([], observed_by_owner)
