"""Check that facts converge, never go back and end."""

import itertools
import random

import testtools
from attrs import evolve, frozen
from hypothesis import given, settings
from hypothesis import strategies as st

from teaselpond.links.digests import BucketDigest
from teaselpond.links.facts import Fact, FactStore, FactVersion, Topic

HEAD = Topic("head", int)
LOAD = Topic("load", int, lifetime_seconds=10.0, is_frequent=True)
FACTS = st.builds(
    Fact,
    st.just("head"),
    st.sampled_from(["a", "b"]),
    st.integers(0, 2),
    st.integers(0, 2),
    st.binary(max_size=1),
)
BRIEF = settings(derandomize=True, deadline=None, max_examples=100)


@frozen
class Names:
    """Hold names, to see that typed values survive."""

    names: tuple[str, ...]


class FactStoreTests(testtools.TestCase):
    """Check merges, lifetimes and digests."""

    @BRIEF
    @given(st.lists(FACTS, max_size=6), st.randoms(use_true_random=False))
    def test_any_order_gives_the_same_facts(self, facts, chance: random.Random) -> None:
        """Hold the same facts and digests whatever order they came in."""
        first, second = FactStore(), FactStore()
        shuffled = list(facts)
        chance.shuffle(shuffled)
        for store, order in ((first, facts), (second, shuffled + facts)):
            for fact in order:
                store.merge(fact, 0.0)
        self.assertEqual(
            {each.fact.name: each.fact for each in first},
            {each.fact.name: each.fact for each in second},
        )
        self.assertEqual(first.digest.pack(), second.digest.pack())

    @BRIEF
    @given(st.lists(FACTS, max_size=8))
    def test_no_fact_goes_back(self, facts) -> None:
        """Let ranks only grow."""
        store = FactStore()
        ranks_by_name = {}
        for fact in facts:
            store.merge(fact, 0.0)
            for held in store:
                known = ranks_by_name.get(held.fact.name, held.fact.rank)
                self.assertTrue(held.fact.rank >= known)
                ranks_by_name[held.fact.name] = held.fact.rank

    def test_publish_tells_when_something_newer_is_known(self) -> None:
        """Refuse a version that is not above the one held."""
        store = FactStore()
        for version, value, expected in (
            (FactVersion(1, 5), 7, True),
            (FactVersion(1, 5), 7, False),
            (FactVersion(1, 4), 9, False),
            (FactVersion(0, 9), 9, False),
            (FactVersion(2, 0), 1, True),
        ):
            self.assertEqual(expected, store.publish(HEAD, "k", value, version, 0.0))
        self.assertEqual({"k": 1}, store.values(HEAD, 0.0))

    def test_facts_end_even_when_passed_back_and_forth(self) -> None:
        """Count the remaining time down on every daemon."""
        first, second = FactStore(), FactStore()
        first.publish(LOAD, "k", 1, FactVersion(1), 0.0)
        now = 0.0
        for store, other in itertools.islice(
            itertools.cycle(((first, second), (second, first))), 40
        ):
            for held in store:
                fact = held.to_send(now)
                if fact is not None:
                    other.merge(fact, now)
            now += 0.4
            store.expire(now)
            other.expire(now)
        self.assertEqual((0, 0), (len(first), len(second)))
        self.assertEqual(BucketDigest().pack(), first.digest.pack())

    def test_unacceptable_facts_are_not_kept(self) -> None:
        """Refuse lifetimes and versions outside their bounds."""
        fact = Fact("head", "k", 1, 1, b"\x01")
        store = FactStore()
        for broken in (
            evolve(fact, remaining_seconds=0),
            evolve(fact, remaining_seconds=-1),
            evolve(fact, remaining_seconds=10**9),
            evolve(fact, epoch=-1),
            evolve(fact, number=1 << 64),
        ):
            self.assertFalse(store.merge(broken, 0.0))
        self.assertTrue(store.merge(fact, 0.0))

    def test_typed_values_survive(self) -> None:
        """Read back an attrs value."""
        topic = Topic("names", Names)
        store = FactStore()
        store.publish(topic, "k", Names(("a", "b")), FactVersion(1), 0.0)
        self.assertEqual({"k": Names(("a", "b"))}, store.values(topic, 0.0))
