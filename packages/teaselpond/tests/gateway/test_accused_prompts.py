"""Test what hosts keep and tell of long prompts that crashed upstreams."""

import random

import testtools

from teaselpond.gateway.accused_prompts import (
    FRAGMENT_BYTES,
    MAX_FRAGMENTS,
    MAX_PARTS,
    MAX_TOLD_BYTES,
    RELAYED_SECONDS,
    TELLINGS,
    AccusedPrompt,
    AccusedPrompts,
)
from teaselpond.gateway.answered_parts import GENERATION_SIZE, AnsweredParts
from teaselpond.gateway.poison import MAX_LONE_PARTS, PoisonTracker
from teaselpond.gateway.traits import Trait
from teaselpond_standins.testing.gateways import make_engine, make_prompt_traits

NOW = 100.0
HEADER_BYTES = 10


def parts_of(*part_ids: str) -> list[Trait]:
    """Return the traits of some parts."""
    return [trait for trait in make_prompt_traits(*part_ids) if trait.is_part]


def numbered(count: int, name: str = "part") -> tuple[str, ...]:
    """Return so many ids of parts."""
    return tuple(f"{name}{number}" for number in range(count))


def accuse(
    *part_ids: str, key: int = 1, sent_at: float = NOW, at: float = NOW
) -> AccusedPrompt:
    """Return what is kept of a prompt."""
    return AccusedPrompt.of_parts(parts_of(*part_ids), key, sent_at, at)


class AccusedPromptsTests(testtools.TestCase):
    """Keep prompts, and tell peers of them."""

    def test_parts_in_common_are_found(self) -> None:
        """Others are not."""
        prompts = AccusedPrompts()
        prompts.add(accuse("a", "b", "c", key=1))
        prompts.add(accuse("c", "d", key=2))
        parts = parts_of("b", "c", "e")
        found = {(end.trait, end.process_key) for end in prompts.find_ends(parts)}
        by_id = {name: parts_of(name)[0].fingerprint for name in "bc"}
        self.assertEqual(
            {(by_id["b"], 1), (by_id["c"], 1), (by_id["c"], 2)},
            {(trait.fingerprint, key) for trait, key in found},
        )

    def test_parts_with_a_fragment_in_common_are_told_apart(self) -> None:
        """Guards against a part that all prompts with another one accuse."""
        part = parts_of("a")[0]
        for place in range(8 - FRAGMENT_BYTES + 1):
            fingerprint = bytearray(byte ^ 0xFF for byte in part.fingerprint)
            window = slice(place, place + FRAGMENT_BYTES)
            fingerprint[window] = part.fingerprint[window]
            other = Trait(bytes(fingerprint), part.scope)
            prompts = AccusedPrompts()
            for key in range(12):
                prompts.add(accuse("a", key=key))
            self.assertEqual(12, len(list(prompts.find_ends([part]))))
            self.assertEqual(2, len(list(prompts.find_ends([other]))))

    def test_peers_are_told_of_all_parts(self) -> None:
        """Times differ by what ages are rounded to."""
        prompts, peer = AccusedPrompts(), AccusedPrompts()
        heard = []
        peer.on_new = lambda prompt, now: heard.append(prompt)
        told = accuse(*numbered(1000), key=77, sent_at=NOW - 0.4)
        prompts.add(told)
        packed = prompts.pack(NOW + 0.1)
        self.assertEqual(HEADER_BYTES + 1000 * FRAGMENT_BYTES, len(packed))
        peer.merge(packed, "host", NOW + 0.11)
        peer.merge(packed, "host", NOW + 0.12)
        self.assertEqual([told.key], [prompt.key for prompt in heard])
        self.assertAlmostEqual(NOW, heard[0].at, delta=0.03)
        self.assertAlmostEqual(NOW - 0.4, heard[0].sent_at, delta=0.03)
        # It passes the prompt on.
        self.assertEqual(len(packed), len(peer.pack(NOW + 0.2)))

    def test_tellings_are_limited(self) -> None:
        """Each prompt is told a few times, and only for a while."""
        prompts = AccusedPrompts()
        prompts.add(accuse("a"))
        told = [bool(prompts.pack(NOW + 0.1)) for _ in range(TELLINGS + 2)]
        self.assertEqual([True] * TELLINGS + [False] * 2, told)
        prompts.add(accuse("b"))
        self.assertEqual(b"", prompts.pack(NOW + RELAYED_SECONDS))

    def test_heartbeats_are_bounded(self) -> None:
        """Many prompts of one moment are told in turns."""
        prompts, peer = AccusedPrompts(), AccusedPrompts()
        for key in range(20):
            prompts.add(accuse(*numbered(200, f"prompt{key}-"), key=key))
        rounds = 0
        heard = []
        peer.on_new = lambda prompt, now: heard.append(prompt)
        while len(heard) < 20:
            packed = prompts.pack(NOW + 0.1)
            self.assertLessEqual(len(packed), MAX_TOLD_BYTES)
            peer.merge(packed, "host", NOW + 0.1)
            rounds += 1
        self.assertLessEqual(rounds, 4)

    def test_memory_is_bounded(self) -> None:
        """The oldest prompts are dropped first, and after a time."""
        prompts = AccusedPrompts()
        count = 2 * MAX_FRAGMENTS // 1000
        for key in range(count):
            names = (f"mark{key}", *numbered(999, f"{key}-"))
            prompts.add(accuse(*names, key=key, at=NOW + key))
        marks = parts_of(*numbered(count, "mark"))
        found = {end.process_key for end in prompts.find_ends(marks)}
        self.assertEqual(set(range(count - MAX_FRAGMENTS // 1000, count)), found)
        prompts.expire(NOW + count)
        self.assertEqual([], list(prompts.find_ends(marks)))

    def test_longest_prompt(self) -> None:
        """What is beyond the limit is left out, and the rest is told."""
        prompts = AccusedPrompts()
        prompts.add(accuse(*numbered(MAX_PARTS + 500)))
        peer = AccusedPrompts()
        peer.merge(prompts.pack(NOW), "host", NOW)
        parts = parts_of(*numbered(MAX_PARTS + 500))
        found = len(list(peer.find_ends(parts)))
        # A few of those that were left out have a fragment of another one.
        self.assertTrue(MAX_PARTS <= found < MAX_PARTS + 50, found)

    def test_malformed_news(self) -> None:
        """They raise ValueError, whatever they hold."""
        prompts = AccusedPrompts()
        prompts.add(accuse("a", "b"))
        packed = prompts.pack(NOW)
        for size in range(1, len(packed)):
            with testtools.ExpectedException(ValueError):
                AccusedPrompts().merge(packed[:size], "host", NOW)
        rng = random.Random(1)
        for _ in range(300):
            content = rng.randbytes(rng.randrange(60))
            try:
                AccusedPrompts().merge(content, "host", NOW)
            except ValueError:
                continue


class AnsweredPartsTests(testtools.TestCase):
    """Remember parts within a limit."""

    def test_newest_parts_are_remembered(self) -> None:
        """Those of long prompts displace the oldest ones."""
        answered = AnsweredParts()
        answered.record([b"first"], 1.0)
        answered.record([b"first", b"second"], 2.0)
        self.assertEqual((2.0, None), (answered.get(b"first"), answered.get(b"x")))
        for number in range(2 * GENERATION_SIZE):
            answered.record([b"%d" % number], 3.0)
        last = b"%d" % (2 * GENERATION_SIZE - 1)
        self.assertEqual((None, 3.0), (answered.get(b"first"), answered.get(last)))


class LongPromptEvidenceTests(testtools.TestCase):
    """Record long prompts in what is kept of crashes."""

    def test_parts_of_one_crash_are_no_suspects(self) -> None:
        """Guards against evidence that long prompts displace."""
        tracker = PoisonTracker()
        for number in range(20):
            traits = make_prompt_traits(*numbered(1000, f"{number}-"), number=number)
            tracker.record_own(traits, make_engine(f"e{number}"), NOW, NOW)
        counts = [tracker.count_ends(trait) for trait in traits]
        self.assertEqual([1, *[0] * 1000, 1], counts)

    def test_part_that_is_refused_by_prompts_of_peers_is_reported(self) -> None:
        """Guards against quarantines that no line of the log tells of."""
        tracker = PoisonTracker()
        bad = make_prompt_traits("bad", "other", number=99)
        for number in range(4):
            traits = make_prompt_traits("bad", f"last{number}", number=number)
            now = NOW + number
            tracker.record_own(traits, make_engine(f"e{number}"), now - 0.1, now)
        self.assertFalse(tracker.is_poisonous(bad, NOW + 4))
        peer = AccusedPrompts()
        names = ("bad", *numbered(40))
        peer.add(accuse(*names, key=12345, sent_at=NOW + 4, at=NOW + 4.1))
        packed = peer.pack(NOW + 4.2)
        tracker.accused_prompts.merge(packed, "host", NOW + 4.2)
        self.assertTrue(tracker.is_poisonous(bad, NOW + 4.2))
        changes = tracker.merge_news(b"", NOW + 4.3)
        self.assertEqual([True], [change.is_quarantined for change in changes])
        self.assertEqual([], tracker.merge_news(b"", NOW + 4.4))

    def test_long_and_short_prompts_accuse_the_same_part(self) -> None:
        """Evidence of both kinds adds up, in any order."""
        rng = random.Random(1)
        for _ in range(20):
            tracker = PoisonTracker()
            for number in range(5):
                count = rng.choice((1, MAX_LONE_PARTS, 40, 300))
                names = [*numbered(count, f"{number}-"), "bad"]
                rng.shuffle(names)
                traits = make_prompt_traits(*names, "last" + str(number), number=number)
                self.assertFalse(tracker.is_poisonous(traits, NOW + number))
                now = NOW + number
                tracker.record_own(traits, make_engine(f"e{number}"), now - 0.1, now)
            bad = make_prompt_traits("bad", "other", number=99)
            self.assertTrue(tracker.is_poisonous(bad, NOW + 5))
            others = make_prompt_traits(*names[:3], "other", number=99)
            is_bad = "bad" in names[:3]
            self.assertEqual(is_bad, tracker.is_poisonous(others, NOW + 5))
