"""Check that facts converge, are never replaced by older ones and expire."""

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
FAST_SETTINGS = settings(derandomize=True, deadline=None, max_examples=100)


@frozen
class Names:
    """Hold names, as an example of a typed value."""

    names: tuple[str, ...]


class FactStoreTests(testtools.TestCase):
    """Check merges, lifetimes and digests."""

    @FAST_SETTINGS
    @given(st.lists(FACTS, max_size=6), st.randoms(use_true_random=False))
    def test_merge_is_independent_of_order(self, facts, rng: random.Random) -> None:
        """Store the same facts and digests for any order of merges."""
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

    @FAST_SETTINGS
    @given(st.lists(FACTS, max_size=8))
    def test_rank_never_decreases(self, facts) -> None:
        """Never replace a fact by one of a lower rank."""
        store = FactStore()
        ranks_by_name = {}
        for fact in facts:
            store.merge(fact, 0.0)
            for stored in store:
                known = ranks_by_name.get(stored.fact.name, stored.fact.rank)
                self.assertTrue(stored.fact.rank >= known)
                ranks_by_name[stored.fact.name] = stored.fact.rank

    @FAST_SETTINGS
    @given(
        st.sets(st.integers(0, (1 << 64) - 1), max_size=60),
        st.sets(st.integers(0, (1 << 64) - 1), max_size=60),
        st.binary(max_size=16 * 240),
    )
    def test_difference_is_correct_or_none(
        self, first_values, second_values, random_bytes
    ) -> None:
        """Never decode a wrong difference, and terminate on any bytes."""
        first, second = InvertibleFilter(240), InvertibleFilter(240)
        for value in first_values:
            first.add(value)
        for value in second_values:
            second.add(value)
        found = first.difference(second.pack())
        if found is not None:
            self.assertEqual(
                (first_values - second_values, second_values - first_values),
                (found.only_local, found.only_remote),
            )
        else:
            self.assertTrue(first_values ^ second_values)
        first.difference(random_bytes.ljust(16 * 240, b"\0"))

    def test_small_differences_of_large_sets_are_decoded(self) -> None:
        """Decode nearly every difference that fits the filter's size."""
        rng = random.Random(3)
        decoded_count = 0
        for _ in range(50):
            shared = {rng.getrandbits(64) for _ in range(500)}
            extra = {rng.getrandbits(64) for _ in range(20)}
            first, second = InvertibleFilter(48), InvertibleFilter(48)
            for value in shared:
                first.add(value)
            for value in shared | extra:
                second.add(value)
            found = first.difference(second.pack())
            decoded_count += found is not None and found.only_remote == extra
        self.assertTrue(decoded_count >= 45, decoded_count)

    def test_publish_rejects_versions_that_are_not_newer(self) -> None:
        """Reject a version that is not higher than the stored one."""
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

    def test_facts_expire_when_sent_back_and_forth(self) -> None:
        """Count the remaining lifetime down on every daemon."""
        first, second = FactStore(), FactStore()
        first.publish(LOAD, "k", 1, FactVersion(1), 0.0)
        for step in range(150):
            now = 0.3 + 0.1 * step
            store, other = (first, second) if step % 2 else (second, first)
            first.expire(now)
            second.expire(now)
            for stored in store:
                fact = stored.with_remaining_lifetime(now)
                if fact is not None:
                    other.merge(fact, now)
        self.assertEqual((0, 0), (len(first), len(second)))
        self.assertEqual(FactDigest(), first.digest)

    def test_invalid_facts_are_not_stored(self) -> None:
        """Reject lifetimes and versions that are out of range."""
        fact = Fact("head", "k", 1, 1, b"\x01")
        store = FactStore()
        for invalid in (
            evolve(fact, remaining_seconds=0),
            evolve(fact, remaining_seconds=-1),
            evolve(fact, remaining_seconds=10**9),
            evolve(fact, epoch=-1),
            evolve(fact, number=1 << 64),
        ):
            self.assertFalse(store.merge(invalid, 0.0))
        self.assertTrue(store.merge(fact, 0.0))

    def test_typed_values_round_trip(self) -> None:
        """Decode an attrs value that was published."""
        topic = Topic("names", Names)
        store = FactStore()
        store.publish(topic, "k", Names(("a", "b")), FactVersion(1), 0.0)
        self.assertEqual({"k": Names(("a", "b"))}, store.values(topic, 0.0))
