"""Test the gateway's trackers, row cache, datagrams and journal."""

import json
import logging
import os

import cbor2
import testtools

from teaselpond.gateway.configuration import Workspace
from teaselpond.gateway.datagrams import (
    TableChanges,
    decode_datagram,
    encode_changes,
    encode_heartbeat,
)
from teaselpond.gateway.departures import REMINDER
from teaselpond.gateway.engines import Engine, engine_key
from teaselpond.gateway.journal import BURST_LINES, Journal, JournalHandler
from teaselpond.gateway.poison import (
    MAX_SUSPECTS,
    POISON_SECONDS,
    POISON_THRESHOLD,
    PoisonTracker,
    QuarantineChange,
    fingerprint_of,
)
from teaselpond.gateway.poison import NEWS as POISON_NEWS
from teaselpond.gateway.prefixes import (
    MAX_HOLDERS,
    MAX_KEYS,
    NEWS,
    PREFIX_CACHED_SECONDS,
    RELAYED_SECONDS,
    REPEATED_SECONDS,
    PrefixNews,
    PrefixTracker,
    PrefixUse,
    prefix_key,
)
from teaselpond.gateway.rowcache import RowCache
from teaselpond.gateway.rows import Page, Row
from teaselpond.gateway.tables import Table
from teaselpond.gateway.windows import SlidingWindowCounter
from teaselpond_standins.testing.gateways import (
    make_call,
    make_engine,
    make_head,
    make_heartbeat,
)

# The protocol, the kind, and what a heartbeat held before eras.
OLDER_HEARTBEAT_VALUES = 15


class PrefixTrackerTests(testtools.TestCase):
    """Test tracking which upstreams hold which prompt prefix."""

    def test_newest_holders_first(self) -> None:
        """The most recent holders of a prefix are kept, until they expire."""
        tracker = PrefixTracker()
        for number in range(MAX_HOLDERS + 2):
            tracker.record(PrefixUse(b"key", f"e{number}", float(number)))
        newest = [f"e{number}" for number in range(MAX_HOLDERS + 1, 1, -1)]
        self.assertEqual(newest, tracker.holders(b"key", 5.0))
        self.assertEqual([], tracker.holders(b"key", 5.0 + PREFIX_CACHED_SECONDS))

    def test_older_use_from_peer(self) -> None:
        """An older use does not replace a newer one."""
        tracker = PrefixTracker()
        tracker.record(PrefixUse(b"key", "e1", 9.0))
        tracker.record(PrefixUse(b"key", "e1", 1.0))
        self.assertEqual(
            ["e1"], tracker.holders(b"key", 9.0 + PREFIX_CACHED_SECONDS - 0.1)
        )

    def test_bounded(self) -> None:
        """The oldest prefixes are evicted above the limit."""
        tracker = PrefixTracker()
        for number in range(MAX_KEYS + 10):
            tracker.record(PrefixUse(prefix_key("s", str(number)), "e1", 1.0))
        self.assertEqual([], tracker.holders(prefix_key("s", "0"), 1.0))
        self.assertEqual(MAX_KEYS, len(list(tracker.recent_uses(1.0))))

    def test_news_are_passed_on_once(self) -> None:
        """What is news to a host is passed on once, and again much later."""
        ours, theirs = PrefixTracker(), PrefixTracker()
        ours.record(PrefixUse(b"8 bytes.", "e1", 1.0))
        ours.record(PrefixUse(b"8 bytes.", "e1", 2.0))
        news = ours.pack_news(2.0)
        self.assertEqual(NEWS.size, len(news.uses))
        self.assertEqual(PrefixNews(), ours.pack_news(2.0))
        theirs.merge_news(news, {engine_key("e1"): "e1"}.get, 2.1)
        self.assertEqual(["e1"], theirs.holders(b"8 bytes.", 2.2))
        ours.merge_news(theirs.pack_news(2.2), {engine_key("e1"): "e1"}.get, 2.2)
        self.assertEqual(PrefixNews(), ours.pack_news(2.2))
        again_at = 2.0 + REPEATED_SECONDS
        ours.record(PrefixUse(b"8 bytes.", "e1", again_at))
        self.assertEqual(news.uses, ours.pack_news(again_at).uses)

    def test_news_of_unknown_upstreams(self) -> None:
        """News of upstreams that are not listed here are ignored."""
        tracker = PrefixTracker()
        news = PrefixNews(NEWS.pack(b"8 bytes.", 7))
        tracker.merge_news(news, {}.get, 1.0)
        self.assertEqual([], tracker.holders(b"8 bytes.", 1.0))

    def test_news_age_on_their_way(self) -> None:
        """News that two hosts tell each other get old, and are dropped."""
        ours, theirs = PrefixTracker(), PrefixTracker()
        find = {engine_key("e1"): "e1"}.get
        ours.record(PrefixUse(b"8 bytes.", "e1", 1.0))
        theirs.merge_news(ours.pack_news(1.5), find, 1.5)
        (use,) = theirs.recent_uses(1.5)
        self.assertLessEqual(use.at, 1.0)
        theirs.record(PrefixUse(b"another.", "e1", 1.0))
        self.assertEqual(PrefixNews(), theirs.pack_news(1.0 + RELAYED_SECONDS))

    def test_news_of_older_builds(self) -> None:
        """Uses without ages count as new."""
        tracker = PrefixTracker()
        news = PrefixNews(NEWS.pack(b"8 bytes.", engine_key("e1")))
        tracker.merge_news(news, {engine_key("e1"): "e1"}.get, 1.0)
        self.assertEqual(["e1"], tracker.holders(b"8 bytes.", 1.0))


def record_end(
    tracker: PoisonTracker, fingerprint: bytes, engine: Engine, now: float
) -> None:
    """Record that a request that was just sent ended an upstream's process."""
    tracker.record_own(fingerprint, engine, now, now)


class PoisonTrackerTests(testtools.TestCase):
    """Test counting the upstreams that broke off a request."""

    def test_three_upstreams(self) -> None:
        """A request that broke three upstreams is poisonous for a time."""
        tracker = PoisonTracker()
        for number in range(POISON_THRESHOLD):
            self.assertFalse(tracker.is_poisonous(b"f", 1.0))
            record_end(tracker, b"f", make_engine(f"e{number}"), 1.0)
        self.assertTrue(tracker.is_poisonous(b"f", 1.0))
        self.assertFalse(tracker.is_poisonous(b"f", 1.0 + POISON_SECONDS))

    def test_one_upstream(self) -> None:
        """Repeated failures of one upstream count once."""
        tracker = PoisonTracker()
        for number in range(10):
            record_end(tracker, b"f", make_engine("e1"), float(number))
        self.assertFalse(tracker.is_poisonous(b"f", 9.0))

    def test_upstreams_that_start_again_count_as_new_ones(self) -> None:
        """Each process counts, though all of them have the same id."""
        tracker = PoisonTracker()
        for number in range(POISON_THRESHOLD):
            engine = make_engine("e1", born_ms=number + 1)
            record_end(tracker, b"f", engine, float(number))
        self.assertTrue(tracker.is_poisonous(b"f", 3.0))

    def test_other_failing_requests_do_not_displace_a_suspect(self) -> None:
        """A request that ended two processes outlives many that ended one."""
        tracker = PoisonTracker()
        for number in range(2):
            record_end(tracker, b"suspect.", make_engine(f"e{number}"), 1.0)
        for number in range(MAX_SUSPECTS * 2):
            record_end(tracker, number.to_bytes(8, "big"), make_engine("e1"), 1.1)
        record_end(tracker, b"suspect.", make_engine("e2"), 1.2)
        self.assertTrue(tracker.is_poisonous(b"suspect.", 1.2))

    def test_suspects_are_passed_on_before_other_failing_requests(self) -> None:
        """A heartbeat is short, and names the repeated ones first."""
        tracker, peer = PoisonTracker(), PoisonTracker()
        for number in range(2):
            record_end(tracker, b"suspect.", make_engine(f"e{number}"), 1.0)
        for number in range(500):
            record_end(tracker, number.to_bytes(8, "big"), make_engine("e1"), 1.1)
        packed = tracker.pack_news(1.2)
        self.assertLess(len(packed), 1000)
        peer.merge_news(packed, 1.2)
        record_end(peer, b"suspect.", make_engine("e2"), 1.3)
        self.assertTrue(peer.is_poisonous(b"suspect.", 1.3))

    def test_process_that_starts_is_reminded_of_quarantined_requests(self) -> None:
        """Long after the quarantine began, any heartbeat tells of it."""
        tracker, started = PoisonTracker(), PoisonTracker()
        for number in range(POISON_THRESHOLD):
            record_end(tracker, b"suspect.", make_engine(f"e{number}"), 1.0)
        news = started.merge_news(tracker.pack_news(100.0), 100.0)
        self.assertEqual([QuarantineChange(b"suspect.", True)], news)
        self.assertTrue(started.is_poisonous(b"suspect.", 100.0))
        self.assertEqual([], started.merge_news(tracker.pack_news(101.0), 101.0))
        # Hosts that remind one another do not prolong it.
        end = 1.0 + POISON_SECONDS
        self.assertFalse(started.is_poisonous(b"suspect.", end + 0.1))
        started.expire(end + 0.1)
        self.assertEqual(b"", started.pack_news(end + 0.1))

    def test_late_crash_prolongs_the_quarantine(self) -> None:
        """A host that had not heard of it in time does not end it either."""
        tracker = PoisonTracker()
        for number in range(POISON_THRESHOLD):
            record_end(tracker, b"suspect.", make_engine(f"e{number}"), 1.0)
        record_end(tracker, b"suspect.", make_engine("late"), 300.0)
        self.assertTrue(tracker.is_poisonous(b"suspect.", 1.0 + POISON_SECONDS))
        self.assertFalse(tracker.is_poisonous(b"suspect.", 300.0 + POISON_SECONDS))
        record_end(tracker, b"suspect.", make_engine("later"), 1000.0)
        self.assertTrue(tracker.is_poisonous(b"suspect.", 1000.0))

    def test_processes_that_end_together_count_once(self) -> None:
        """An outage of all upstreams says nothing of what they were sent."""
        tracker = PoisonTracker()
        for number in range(POISON_THRESHOLD):
            engine = make_engine(f"e{number}")
            tracker.record_own(b"popular.", engine, 1.0, 2.0 + number * 0.1)
        self.assertFalse(tracker.is_poisonous(b"popular.", 2.5))

    def test_answered_request_is_not_quarantined(self) -> None:
        """What broke off before a whole answer counts no more."""
        tracker = PoisonTracker()
        for number in range(10):
            record_end(tracker, b"popular.", make_engine(f"e{number}"), float(number))
            tracker.record_answer(b"popular.", number + 0.5)
        self.assertFalse(tracker.is_poisonous(b"popular.", 10.0))

    def test_answer_at_one_host_ends_the_quarantine_at_all(self) -> None:
        """An answer that was on its way proves the request harmless."""
        trackers = [PoisonTracker() for _ in range(3)]
        for number in range(POISON_THRESHOLD):
            record_end(trackers[0], b"popular.", make_engine(f"e{number}"), 1.0)
        for tracker in trackers[1:]:
            tracker.merge_news(trackers[0].pack_news(1.1), 1.1)
            self.assertTrue(tracker.is_poisonous(b"popular.", 1.1))
        self.assertTrue(trackers[2].record_answer(b"popular.", 1.2))
        trackers[0].merge_news(trackers[2].pack_news(1.3), 1.3)
        self.assertFalse(trackers[0].is_poisonous(b"popular.", 1.3))
        # One that missed the answer does not bring the quarantine back.
        trackers[0].merge_news(trackers[1].pack_news(20.0), 20.0)
        self.assertFalse(trackers[0].is_poisonous(b"popular.", 20.0))
        trackers[1].merge_news(trackers[0].pack_news(20.1), 20.1)
        self.assertFalse(trackers[1].is_poisonous(b"popular.", 20.1))

    def test_host_that_only_hears_of_failures_hears_of_answers(self) -> None:
        """Failures of many hosts do not add up where nothing is answered."""
        quiet = PoisonTracker()
        for number in range(10):
            busy = PoisonTracker()
            now = float(number)
            record_end(busy, b"popular.", make_engine(f"e{number}"), now)
            quiet.merge_news(busy.pack_news(now + 0.1), now + 0.1)
            busy.record_answer(b"popular.", now + 0.2)
            quiet.merge_news(busy.pack_news(now + 0.3), now + 0.3)
        self.assertFalse(quiet.is_poisonous(b"popular.", 10.0))

    def test_fingerprints(self) -> None:
        """Equal requests share a fingerprint, also those without a body."""
        call = make_call(body=b"x")
        self.assertEqual(fingerprint_of(call), fingerprint_of(make_call(body=b"x")))
        self.assertNotEqual(fingerprint_of(call), fingerprint_of(make_call(body=b"y")))
        call = make_call()
        self.assertEqual(fingerprint_of(call), fingerprint_of(make_call()))
        for fields in ({"target": "/stream/y"}, {"method": "GET"}):
            other = make_call(head=make_head(**fields))
            self.assertNotEqual(fingerprint_of(call), fingerprint_of(other))
        other = make_call(workspace=Workspace("w2", None))
        self.assertNotEqual(fingerprint_of(call), fingerprint_of(other))


class RowCacheTests(testtools.TestCase):
    """Test merging rows and selecting them for peers."""

    def test_whole_read_shows_removals(self) -> None:
        """A row that a whole table lacks has been removed."""
        cache = RowCache()
        cache.merge_page(
            Page((Row("a", b"1", 3), Row("b", b"2", 4)), 4, 0.0, False), True
        )
        changed = cache.merge_page(Page((Row("a", b"1", 3),), 9, 0.0, False), True)
        self.assertEqual([Row("b", None, 9)], changed)

    def test_older_row_is_ignored(self) -> None:
        """A peer's older row changes nothing."""
        cache = RowCache()
        cache.merge_page(Page((Row("a", b"new", 8),), 8, 0.0, False), False)
        self.assertEqual(
            [], cache.merge_page(Page((Row("a", b"old", 5),), 5, 0.0, False), False)
        )
        self.assertEqual(8, cache.version)

    def test_changes_with_a_gap(self) -> None:
        """Changes after an unknown version don't move the known version."""
        cache = RowCache()
        cache.merge_page(Page((Row("a", b"1", 3),), 4, 0.0, False), True)
        cache.merge_changes(6, Page((Row("b", b"2", 7),), 7, 0.0, False))
        self.assertEqual((4, 7), (cache.version, cache.newest_row_version))
        cache.merge_changes(4, Page((Row("c", b"3", 5),), 8, 0.0, False))
        self.assertEqual(8, cache.version)

    def test_newer_rows(self) -> None:
        """Rows above a version are returned, removed ones too."""
        cache = RowCache()
        cache.merge_page(
            Page((Row("a", b"1", 3), Row("b", b"2", 4)), 4, 0.0, False), True
        )
        cache.merge_page(Page((Row("a", None, 6),), 6, 0.0, False), False)
        self.assertEqual([Row("a", None, 6)], list(cache.rows_after(4)))


class SlidingWindowCounterTests(testtools.TestCase):
    """Test counting events within a window."""

    def test_window(self) -> None:
        """Events leave the window after its length."""
        counter = SlidingWindowCounter(1.0)
        counter.add(0.0)
        counter.add(0.5)
        self.assertEqual(2, counter.count(0.9))
        self.assertEqual(1, counter.count(1.0))
        self.assertEqual(0, counter.count(1.5))


class DatagramTests(testtools.TestCase):
    """Test encoding and decoding datagrams."""

    def test_round_trip(self) -> None:
        """A heartbeat is decoded as it was encoded."""
        heartbeat = make_heartbeat(
            "g1",
            loads_by_engine={"e1": 3},
            ips_by_host={"g2": "10.0.0.2"},
            engines_by_prefix_key={b"12345678": "e1"},
            engines_by_broken_request={b"12345678": ("e2", "e3")},
            departure_reminders=REMINDER.pack(1, 2**60, 3, 4),
            poison_news=POISON_NEWS.pack(b"12345678", 0, 7, 3, 4),
        )
        self.assertEqual(heartbeat, decode_datagram(encode_heartbeat(heartbeat)))

    def test_changes(self) -> None:
        """Changed rows are decoded as they were encoded."""
        page = Page((Row("a", b"1", 3), Row("b", None, 4)), 4, 12.5, False)
        changes = TableChanges(Table.ENGINES, 2, page)
        self.assertEqual(changes, decode_datagram(encode_changes(changes)))

    def test_older_builds(self) -> None:
        """Datagrams of builds that know no eras are read."""
        heartbeat = make_heartbeat("g1", loads_by_engine={"e1": 3})
        older = cbor2.loads(encode_heartbeat(heartbeat))[:OLDER_HEARTBEAT_VALUES]
        self.assertEqual(heartbeat, decode_datagram(cbor2.dumps(older)))
        page = Page((Row("a", b"1", 3),), 4, 12.5, False)
        changes = TableChanges(Table.ENGINES, 2, page)
        older = cbor2.loads(encode_changes(changes))[:-1]
        self.assertEqual(changes, decode_datagram(cbor2.dumps(older)))

    def test_malformed_datagrams(self) -> None:
        """Truncated and foreign datagrams raise ValueError."""
        page = Page((Row("a", b"1", 3),), 4, 12.5, False)
        for whole in (
            encode_heartbeat(make_heartbeat("g1")),
            encode_changes(TableChanges(Table.OPERATOR, 2, page)),
        ):
            self.assert_malformed(whole)

    def assert_malformed(self, whole: bytes) -> None:
        """Assert that truncated and foreign datagrams raise ValueError."""
        malformed = [b"", b"\xff", b"GET / HTTP/1.1", whole[:-3], b"\x80", b"\xf6"]
        malformed += [whole[:size] for size in range(len(whole))]
        for content in malformed:
            self.assertRaises(ValueError, decode_datagram, content)


class JournalTests(testtools.TestCase):
    """Test that lines are written without blocking and within limits."""

    def setUp(self) -> None:
        super().setUp()
        self.reader, self.writer = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, self.writer)
        os.set_blocking(self.reader, False)
        self.journal = Journal("g1", self.writer)

    def lines(self) -> list[dict]:
        """Return the lines written since the last call."""
        try:
            content = os.read(self.reader, 1 << 20)
        except BlockingIOError:
            return []
        return [json.loads(line) for line in content.splitlines()]

    def test_line(self) -> None:
        """A line holds the event, its time and its fields."""
        self.journal.write("placed", 12.5, id="r1", load=3)
        (line,) = self.lines()
        self.assertEqual(
            {"host": "g1", "event": "placed", "at": 12.5, "id": "r1", "load": 3},
            {name: value for name, value in line.items() if name != "time"},
        )

    def test_flood_is_limited_and_counted(self) -> None:
        """Lines above the limit are dropped, and the next one counts them."""
        written = 0
        for number in range(int(BURST_LINES) + 100):
            self.journal.write("flood", 100.0, number=number)
            written += len(self.lines())
        self.assertEqual(BURST_LINES, written)
        self.journal.write("after", 101.0)
        (line,) = self.lines()
        self.assertEqual(100, line["left_out"])

    def test_library_log(self) -> None:
        """A library's error is written as one line, without its traceback."""
        logger = logging.Logger("library")
        logger.addHandler(JournalHandler(self.journal, lambda: 3.0))
        logger.info("not written")
        try:
            raise ValueError("x" * 1000)
        except ValueError:
            logger.exception("bad request from %s", "10.0.0.1")
        (line,) = self.lines()
        self.assertEqual("library-log", line["event"])
        self.assertEqual("bad request from 10.0.0.1", line["message"])
        self.assertIn("ValueError", line["error"])
        self.assertLess(len(json.dumps(line)), 600)

    def test_blocked_reader(self) -> None:
        """A full pipe neither blocks nor lets the buffer grow unlimited."""
        self.journal.open()
        for number in range(20_000):
            self.journal.write("flood", 100.0 + number, text="x" * 200)
        self.assertLess(len(self.journal._pending), 300 * 1024)
