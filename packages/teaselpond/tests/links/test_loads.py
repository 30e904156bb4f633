"""Check when an owner's load is told again."""

import testtools
from attrs import evolve

from teaselpond.links.facts import Fact, FactStore
from teaselpond.links.loads import (
    LOAD_TOPIC,
    LoadPublisher,
    subscribe_to_load_sums,
    decode_load_sums,
)
from teaselpond.policy import LoadSum

SUM = LoadSum("m", "z", "owner", 40, 0, 100, 5, 1)


class LoadTests(testtools.TestCase):
    """Check the publisher in a table, and the way back to sums."""

    def test_told_again_only_when_it_matters(self) -> None:
        """Tell steps, shapes and old sums, and nothing more often."""
        for second, sums, told in (
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
            if second:
                publisher.publish_if_due((SUM,), 0.0)
            self.assertEqual(
                told, publisher.publish_if_due(sums, second), (second, sums)
            )

    def test_many_owners_tell_more_seldom(self) -> None:
        """Bound what all owners' sums together take."""
        moved, queued = evolve(SUM, in_flight=90), evolve(SUM, queued=1)
        for owners, second, load, told in (
            (7, 1.0, moved, True),
            (340, 20.0, moved, False),
            (340, 35.0, moved, True),
            (340, 5.0, queued, False),
            (340, 9.0, queued, True),
            (100_000, 40.0, SUM, True),
        ):
            publisher = LoadPublisher(FactStore(), "owner", 1)
            publisher.publish_if_due((SUM,), 0.0)
            self.assertEqual(told, publisher.publish_if_due((load,), second, owners))

    def test_followers_get_the_sums(self) -> None:
        """Hand sums to followers with growing versions, but not own ones."""
        here, there = FactStore(), FactStore()
        seen, own = [], []
        subscribe_to_load_sums(there, "other", seen.append)
        subscribe_to_load_sums(there, "owner", own.append)
        publisher = LoadPublisher(here, "owner", 1)
        for second, load in ((0.0, SUM), (50.0, evolve(SUM, queued=2, ejected=1))):
            publisher.publish_if_due((load,), second)
            fact: Fact = here.get(LOAD_TOPIC, "owner", second)
            there.merge(fact, second)
            self.assertEqual(
                (evolve(load, version=fact.number),), decode_load_sums(fact)
            )
        self.assertEqual([1, 2], [each.version for each in seen])
        self.assertEqual([], own)
