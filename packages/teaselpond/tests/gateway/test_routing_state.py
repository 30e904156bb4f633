"""Check what a host believes after each change."""

import testtools

from teaselpond.gateway.engines import EngineState
from teaselpond.gateway.freshness import Freshness
from teaselpond.gateway.outages import OUTAGE_SECONDS, StoreOutages
from teaselpond.gateway.routing_state import (
    COPY_SOURCE_SECONDS,
    ENTRY_RETURN_SECONDS,
    RoutingState,
)
from teaselpond_standins.testing.gateways import make_configuration, make_engine


class ConfigurationTests(testtools.TestCase):
    """Put configurations in force."""

    def test_never_goes_back(self) -> None:
        """An older version, or the same one, changes nothing."""
        routing_state = RoutingState()
        self.assertTrue(routing_state.update_configuration(make_configuration(7)))
        self.assertFalse(routing_state.update_configuration(make_configuration(5)))
        self.assertFalse(routing_state.update_configuration(make_configuration(7)))
        self.assertEqual(7, routing_state.configuration.version)
        self.assertTrue(routing_state.update_configuration(make_configuration(9)))


class EngineTests(testtools.TestCase):
    """List upstreams, miss them and take them back."""

    def setUp(self) -> None:
        super().setUp()
        self.routing_state = RoutingState()
        self.routing_state.update_engine(make_engine("e1"), 0.0)
        # The store's clock and this host's show the same here.
        self.routing_state.freshness.update_offset(0.0, 0.0)

    def lose_store(self, start: float, end: float) -> None:
        """Hear of no answer of the store for a while."""
        self.routing_state.outages.record_answer(start)
        self.routing_state.outages.record_answer(end)

    def test_missing_entry(self) -> None:
        """An entry that goes while the store answers counts at once."""
        self.assertTrue(self.routing_state.mark_engine_missing("e1", 10.0))
        self.assertEqual({}, self.routing_state.engines_by_id)

    def test_lapsed_entry_returns(self) -> None:
        """An entry that lapsed in an outage has time to return."""
        self.lose_store(7.0, 10.0)
        self.assertFalse(self.routing_state.mark_engine_missing("e1", 10.1))
        self.routing_state.update_engine(make_engine("e1"), 11.0)
        self.assertEqual([], self.routing_state.expire(10.0 + ENTRY_RETURN_SECONDS))
        self.assertIn("e1", self.routing_state.engines_by_id)

    def test_lapsed_entry_stays_away(self) -> None:
        """An entry that does not return in time takes its upstream out."""
        self.lose_store(7.0, 10.0)
        self.routing_state.mark_engine_missing("e1", 10.1)
        self.assertEqual(
            [], self.routing_state.expire(10.0 + ENTRY_RETURN_SECONDS - 0.1)
        )
        self.assertEqual(["e1"], self.routing_state.expire(10.0 + ENTRY_RETURN_SECONDS))

    def test_draining_entry_lapses(self) -> None:
        """An upstream that was leaving gets no time to return."""
        self.routing_state.update_engine(
            make_engine("e1", state=EngineState.DRAINING), 1.0
        )
        self.lose_store(7.0, 10.0)
        self.assertTrue(self.routing_state.mark_engine_missing("e1", 10.1))

    def test_short_outage(self) -> None:
        """A single lost answer lets no entry lapse."""
        self.lose_store(8.5, 10.0)
        self.assertTrue(self.routing_state.mark_engine_missing("e1", 10.1))

    def test_outage_that_a_peer_saw(self) -> None:
        """A peer's word of an outage gives lapsed entries their time too."""
        self.routing_state.outages.record_answer(10.3)
        self.routing_state.outages.record_peer_return(10.0)
        self.assertFalse(self.routing_state.mark_engine_missing("e1", 10.4))
        self.assertEqual(
            [], self.routing_state.expire(10.0 + ENTRY_RETURN_SECONDS - 0.1)
        )
        self.assertEqual(["e1"], self.routing_state.expire(10.0 + ENTRY_RETURN_SECONDS))

    def test_peer_that_finds_the_store_late(self) -> None:
        """A host whose own way returns later gives nobody more time."""
        self.lose_store(7.0, 10.0)
        for answered in (11.0, 12.5, 13.9):
            self.routing_state.outages.record_answer(answered)
        self.routing_state.outages.record_peer_return(13.9)
        self.assertTrue(self.routing_state.mark_engine_missing("e1", 14.0))

    def test_copy_source(self) -> None:
        """An upstream whose entry is gone can be copied from for a while."""
        self.routing_state.mark_engine_missing("e1", 10.0)
        self.assertIsNotNone(
            self.routing_state.copy_source("e1", 10.0 + COPY_SOURCE_SECONDS / 2)
        )
        self.assertIsNone(
            self.routing_state.copy_source("e1", 10.0 + COPY_SOURCE_SECONDS)
        )
        self.assertIsNone(self.routing_state.copy_source("unknown", 10.0))

    def test_cold_time_is_kept(self) -> None:
        """A later entry of the same process does not shorten the cold time."""
        self.routing_state.update_engine(make_engine("e2", cold_seconds=3.0), 0.0)
        self.routing_state.update_engine(make_engine("e2", cold_seconds=0.0), 1.0)
        self.assertEqual(3.0, self.routing_state.engines_by_id["e2"].cold_until)

    def test_new_process_under_an_old_id(self) -> None:
        """A process that was started anew brings its own cold time."""
        self.routing_state.update_engine(make_engine("e2", cold_seconds=9.0), 0.0)
        self.routing_state.update_engine(
            make_engine("e2", cold_seconds=1.0, born_ms=2), 1.0
        )
        self.assertEqual(2.0, self.routing_state.engines_by_id["e2"].cold_until)


class StoreOutagesTests(testtools.TestCase):
    """Tell outages of the store from those of one host's way to it."""

    def setUp(self) -> None:
        super().setUp()
        self.outages = StoreOutages()

    def test_no_outage(self) -> None:
        for answered in (1.0, 2.5, 4.0, 3.0):
            self.assertIsNone(self.outages.record_answer(answered))
        self.assertIsNone(self.outages.returned_at)

    def test_outage(self) -> None:
        self.outages.record_answer(1.0)
        self.assertEqual(
            OUTAGE_SECONDS, self.outages.record_answer(1.0 + OUTAGE_SECONDS)
        )
        self.outages.record_answer(4.5)
        self.assertEqual(3.0, self.outages.returned_at)

    def test_peer_heard_the_return_before(self) -> None:
        """The earliest answer after the same outage counts."""
        self.outages.record_answer(1.0)
        self.outages.record_answer(9.0)
        self.outages.record_peer_return(8.0)
        self.assertEqual(8.0, self.outages.returned_at)

    def test_return_from_an_earlier_outage(self) -> None:
        self.outages.record_answer(5.0)
        self.outages.record_answer(9.0)
        self.outages.record_peer_return(4.0)
        self.assertEqual(9.0, self.outages.returned_at)

    def test_return_that_other_hosts_contradict(self) -> None:
        """Answers to others before and after it tell that it was no outage."""
        for answered in (5.0, 6.0, 7.0, 8.0):
            self.outages.record_answer(answered)
        self.outages.record_peer_return(7.5)
        self.assertIsNone(self.outages.returned_at)

    def test_outage_before_the_first_answer(self) -> None:
        """A process that starts after the return learns of it."""
        self.outages.record_answer(5.0)
        self.outages.record_peer_return(4.0)
        self.assertEqual(4.0, self.outages.returned_at)


class EvacuationTests(testtools.TestCase):
    """Take zones out and back."""

    def test_returned_zone_is_cold(self) -> None:
        """Upstreams of a zone that is given back bear little at first."""
        routing_state = RoutingState()
        routing_state.update_configuration(make_configuration())
        routing_state.update_engine(make_engine("e1", availability_zone="zone-a"), 0.0)
        routing_state.update_engine(make_engine("e2", availability_zone="zone-b"), 0.0)
        routing_state.update_evacuated_zones(frozenset({"zone-a"}), 1.0)
        returned = routing_state.update_evacuated_zones(frozenset(), 10.0)
        self.assertEqual({"zone-a"}, returned)
        self.assertEqual(13.0, routing_state.engines_by_id["e1"].cold_until)
        self.assertEqual(0.0, routing_state.engines_by_id["e2"].cold_until)


class FreshnessTests(testtools.TestCase):
    """Tell how old the store's last word is."""

    def test_unknown_at_first(self) -> None:
        """Nothing is known before the first answer."""
        self.assertIsNone(Freshness().age(1.0))

    def test_slow_answer_counts_as_old(self) -> None:
        """An answer may have been made when it was asked for."""
        freshness = Freshness()
        freshness.update_offset(10.0, 500.0)
        freshness.confirm(500.0)
        self.assertEqual(1.5, freshness.age(11.5))

    def test_faster_answer_tells_the_clocks_better(self) -> None:
        """A later, faster answer shows how the clocks lie to each other."""
        freshness = Freshness()
        freshness.update_offset(10.0, 500.0)
        freshness.update_offset(19.9, 509.5)
        freshness.confirm(509.5)
        self.assertAlmostEqual(0.6, freshness.age(20.5))

    def test_confirmation_does_not_go_back(self) -> None:
        """An older word of a peer does not make the beliefs older."""
        freshness = Freshness()
        freshness.update_offset(10.0, 500.0)
        freshness.confirm(500.0)
        freshness.confirm(490.0)
        self.assertEqual(1.0, freshness.age(11.0))
