"""Test the gateway's trackers, row cache, datagrams and journal."""

import json
import logging
import math
import os

import cbor2
import testtools

from teaselpond.gateway.datagrams import (
    TableChanges,
    decode_datagram,
    encode_changes,
    encode_heartbeat,
)
from teaselpond.gateway.departures import REMINDER
from teaselpond.gateway.engines import engine_key
from teaselpond.gateway.journal import (
    BURST_LINES,
    RESERVED_LINES,
    Journal,
    JournalHandler,
)
from teaselpond.gateway.poison_news import NEWS as POISON_NEWS
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
from teaselpond.gateway.retry_usage import FormerUsage, pack_usage
from teaselpond.gateway.rowcache import RowCache
from teaselpond.gateway.rows import Page, Row
from teaselpond.gateway.tables import Table
from teaselpond.gateway.windows import SlidingWindowCounter
from teaselpond_standins.testing.gateways import (
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
            retry_usage=pack_usage(7, [1, 2, 3, 4, 5], [0, 0, 1, 0, 70_000]),
            asks_former_usage=True,
            former_usage=FormerUsage(9, 1.5, pack_usage(8, [1] * 5, [1] * 5)),
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

    def test_heartbeat_with_values_that_cannot_be_kept_is_malformed(self) -> None:
        """It neither takes much memory nor confirms the state for ever."""
        whole = cbor2.loads(encode_heartbeat(make_heartbeat("g1")))
        unkept_by_type = {bytes: 2**31, float: math.inf, int: 2**64}
        for index, value in enumerate(whole):
            unkept = unkept_by_type.get(type(value))
            if unkept is not None:
                changed = cbor2.dumps([*whole[:index], unkept, *whole[index + 1 :]])
                self.assertRaises(ValueError, decode_datagram, changed)


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
        self.assertEqual(BURST_LINES - RESERVED_LINES, written)
        self.journal.write("after", 101.0)
        (line,) = self.lines()
        self.assertEqual(100 + RESERVED_LINES, line["left_out"])

    def test_ends_of_calls_are_written_during_a_flood(self) -> None:
        """Guard against an unexplained ends of calls."""
        for event, count in (("flood", BURST_LINES), ("cut", RESERVED_LINES + 10)):
            for _ in range(int(count)):
                self.journal.write(event, 100.0)
        lines = self.lines()
        self.assertEqual(BURST_LINES, len(lines))
        cuts = [line for line in lines if line["event"] == "cut"]
        self.assertEqual(RESERVED_LINES, len(cuts))

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
