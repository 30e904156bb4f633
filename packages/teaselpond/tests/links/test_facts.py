"""Check that facts converge, never go back and end."""

import random

import testtools
from attrs import evolve, frozen
from hypothesis import given, settings
from hypothesis import strategies as st

from teaselpond.links.digests import FactDigest, InvertibleFilter
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
    def test_any_order_gives_the_same_facts(self, facts, rng: random.Random) -> None:
        """Hold the same facts and digests whatever order they came in."""
        first, second = FactStore(), FactStore()
        shuffled = list(facts)
        rng.shuffle(shuffled)
        for store, order in ((first, facts), (second, shuffled + facts)):
            for fact in order:
                store.merge(fact, 0.0)
        self.assertEqual(
            {each.fact.name: each.fact for each in first},
            {each.fact.name: each.fact for each in second},
        )
        self.assertEqual(first.digest, second.digest)

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

    @BRIEF
    @given(
        st.sets(st.integers(0, (1 << 64) - 1), max_size=60),
        st.sets(st.integers(0, (1 << 64) - 1), max_size=60),
        st.binary(max_size=16 * 240),
    )
    def test_filters_give_the_true_difference_or_none(self, one, two, junk) -> None:
        """Never read a wrong difference, and end on any bytes."""
        first, second = InvertibleFilter(240), InvertibleFilter(240)
        for value in one:
            first.add(value)
        for value in two:
            second.add(value)
        found = first.difference(second.pack())
        if found is not None:
            self.assertEqual(
                (one - two, two - one), (found.only_here, found.only_there)
            )
        else:
            self.assertTrue(one ^ two)
        first.difference(junk.ljust(16 * 240, b"\0"))

    def test_filters_read_small_differences_of_large_sets(self) -> None:
        """Read nearly every difference that fits the size."""
        rng = random.Random(3)
        read = 0
        for _ in range(50):
            shared = {rng.getrandbits(64) for _ in range(500)}
            extra = {rng.getrandbits(64) for _ in range(20)}
            first, second = InvertibleFilter(48), InvertibleFilter(48)
            for value in shared:
                first.add(value)
            for value in shared | extra:
                second.add(value)
            found = first.difference(second.pack())
            read += found is not None and found.only_there == extra
        self.assertTrue(read >= 45, read)

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
        for step in range(150):
            now = 0.3 + 0.1 * step
            store, other = (first, second) if step % 2 else (second, first)
            first.expire(now)
            second.expire(now)
            for held in store:
                fact = held.with_remaining_lifetime(now)
                if fact is not None:
                    other.merge(fact, now)
        self.assertEqual((0, 0), (len(first), len(second)))
        self.assertEqual(FactDigest(), first.digest)

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
