"""Test the routing state, outages of the store, and its freshness."""

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
    """Apply configurations."""

    def test_older_configuration_is_ignored(self) -> None:
        """An older version, or the same one, changes nothing."""
        routing_state = RoutingState()
        self.assertTrue(routing_state.update_configuration(make_configuration(7)))
        self.assertFalse(routing_state.update_configuration(make_configuration(5)))
        self.assertFalse(routing_state.update_configuration(make_configuration(7)))
        self.assertEqual(7, routing_state.configuration.version)
        self.assertTrue(routing_state.update_configuration(make_configuration(9)))


class EngineTests(testtools.TestCase):
    """Update upstreams, and handle missing entries."""

    def setUp(self) -> None:
        super().setUp()
        self.routing_state = RoutingState()
        self.routing_state.update_engine(make_engine("e1"), 0.0)
        # The clocks of the store and this host have no offset here.
        self.routing_state.freshness.update_offset(0.0, 0.0)

    def simulate_outage(self, start: float, end: float) -> None:
        """Let the store answer at the start and the end of an outage."""
        self.routing_state.outages.record_answer(start)
        self.routing_state.outages.record_answer(end)

    def test_missing_entry(self) -> None:
        """A missing entry removes its upstream if the store answers."""
        self.assertTrue(self.routing_state.mark_engine_missing("e1", 10.0))
        self.assertEqual({}, self.routing_state.engines_by_id)

    def test_expired_entry_returns(self) -> None:
        """An upstream is kept if its entry returns after an outage."""
        self.simulate_outage(7.0, 10.0)
        self.assertFalse(self.routing_state.mark_engine_missing("e1", 10.1))
        self.routing_state.update_engine(make_engine("e1"), 11.0)
        self.assertEqual([], self.routing_state.expire(10.0 + ENTRY_RETURN_SECONDS))
        self.assertIn("e1", self.routing_state.engines_by_id)

    def test_expired_entry_does_not_return(self) -> None:
        """An upstream is removed if its entry does not return in time."""
        self.simulate_outage(7.0, 10.0)
        self.routing_state.mark_engine_missing("e1", 10.1)
        self.assertEqual(
            [], self.routing_state.expire(10.0 + ENTRY_RETURN_SECONDS - 0.1)
        )
        self.assertEqual(["e1"], self.routing_state.expire(10.0 + ENTRY_RETURN_SECONDS))

    def test_draining_entry_expires(self) -> None:
        """A draining upstream is removed at once after an outage too."""
        self.routing_state.update_engine(
            make_engine("e1", state=EngineState.DRAINING), 1.0
        )
        self.simulate_outage(7.0, 10.0)
        self.assertTrue(self.routing_state.mark_engine_missing("e1", 10.1))

    def test_short_outage(self) -> None:
        """A single lost answer is no outage, so the upstream is removed."""
        self.simulate_outage(8.5, 10.0)
        self.assertTrue(self.routing_state.mark_engine_missing("e1", 10.1))

    def test_outage_reported_by_peer(self) -> None:
        """An outage that only a peer observed also delays the removal."""
        self.routing_state.outages.record_answer(10.3)
        self.routing_state.outages.record_peer_return(10.0)
        self.assertFalse(self.routing_state.mark_engine_missing("e1", 10.4))
        self.assertEqual(
            [], self.routing_state.expire(10.0 + ENTRY_RETURN_SECONDS - 0.1)
        )
        self.assertEqual(["e1"], self.routing_state.expire(10.0 + ENTRY_RETURN_SECONDS))

    def test_peer_that_reconnects_late(self) -> None:
        """A peer that reconnects later does not extend the outage."""
        self.simulate_outage(7.0, 10.0)
        for answered in (11.0, 12.5, 13.9):
            self.routing_state.outages.record_answer(answered)
        self.routing_state.outages.record_peer_return(13.9)
        self.assertTrue(self.routing_state.mark_engine_missing("e1", 14.0))

    def test_copy_source(self) -> None:
        """A removed upstream can be copied from for a while."""
        self.routing_state.mark_engine_missing("e1", 10.0)
        self.assertIsNotNone(
            self.routing_state.copy_source("e1", 10.0 + COPY_SOURCE_SECONDS / 2)
        )
        self.assertIsNone(
            self.routing_state.copy_source("e1", 10.0 + COPY_SOURCE_SECONDS)
        )
        self.assertIsNone(self.routing_state.copy_source("unknown", 10.0))

    def test_cold_time_is_not_shortened(self) -> None:
        """A later entry of the same process does not shorten the cold time."""
        self.routing_state.update_engine(make_engine("e2", cold_seconds=3.0), 0.0)
        self.routing_state.update_engine(make_engine("e2", cold_seconds=0.0), 1.0)
        self.assertEqual(3.0, self.routing_state.engines_by_id["e2"].cold_until)

    def test_new_process_under_an_old_id(self) -> None:
        """The cold time of a restarted process replaces the old one."""
        self.routing_state.update_engine(make_engine("e2", cold_seconds=9.0), 0.0)
        self.routing_state.update_engine(
            make_engine("e2", cold_seconds=1.0, born_ms=2), 1.0
        )
        self.assertEqual(2.0, self.routing_state.engines_by_id["e2"].cold_until)


class StoreOutagesTests(testtools.TestCase):
    """Distinguish store outages from one host's lost connection."""

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

    def test_peer_observed_the_return_earlier(self) -> None:
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
        """A return is ignored if other hosts got answers without a gap."""
        for answered in (5.0, 6.0, 7.0, 8.0):
            self.outages.record_answer(answered)
        self.outages.record_peer_return(7.5)
        self.assertIsNone(self.outages.returned_at)

    def test_outage_before_the_first_answer(self) -> None:
        """A process that starts after an outage gets its end from a peer."""
        self.outages.record_answer(5.0)
        self.outages.record_peer_return(4.0)
        self.assertEqual(4.0, self.outages.returned_at)


class EvacuationTests(testtools.TestCase):
    """Evacuate zones and return them to use."""

    def test_returned_zone_is_cold(self) -> None:
        """Upstreams of a zone that returns to use are cold at first."""
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
    """Compute the age of the confirmed state."""

    def test_unknown_at_first(self) -> None:
        """The age is unknown before the first answer."""
        self.assertIsNone(Freshness().age(1.0))

    def test_slow_answer_counts_as_old(self) -> None:
        """The age counts from when the answer was requested."""
        freshness = Freshness()
        freshness.update_offset(10.0, 500.0)
        freshness.confirm(500.0)
        self.assertEqual(1.5, freshness.age(11.5))

    def test_faster_answer_improves_the_offset(self) -> None:
        """A later, faster answer gives a tighter bound of the offset."""
        freshness = Freshness()
        freshness.update_offset(10.0, 500.0)
        freshness.update_offset(19.9, 509.5)
        freshness.confirm(509.5)
        self.assertAlmostEqual(0.6, freshness.age(20.5))

    def test_older_confirmation_is_ignored(self) -> None:
        """An older confirmation by a peer does not increase the age."""
        freshness = Freshness()
        freshness.update_offset(10.0, 500.0)
        freshness.confirm(500.0)
        freshness.confirm(490.0)
        self.assertEqual(1.0, freshness.age(11.0))
