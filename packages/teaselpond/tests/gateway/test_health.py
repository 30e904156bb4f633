"""Test when upstreams are ejected, and which are used all the same."""

import testtools

from teaselpond.gateway.health import (
    ANSWERED_RESULTS,
    PROBE_GAP_SECONDS,
    EngineHealth,
    HealthTracker,
    Result,
)


class HealthTests(testtools.TestCase):
    """Eject upstreams according to their results."""

    def test_unreachable_is_ejected_at_once(self) -> None:
        """One failed connection ejects; the ejection time doubles."""
        health = EngineHealth()
        self.assertTrue(health.record(Result.UNREACHABLE, 0.0))
        self.assertTrue(health.is_ejected(0.4))
        self.assertFalse(health.is_ejected(0.5))
        health.record(Result.UNREACHABLE, 1.0)
        self.assertTrue(health.is_ejected(1.9))

    def test_few_failures_do_not_eject(self) -> None:
        """An upstream that fails one request in seven is not ejected."""
        health = EngineHealth()
        for number in range(200):
            failed = number % 7 == 0
            health.record(Result.FAILED if failed else Result.SUCCESS, number / 10)
            self.assertFalse(health.is_ejected(number / 10 + 0.01))

    def test_failing_half_is_ejected(self) -> None:
        """An upstream that fails every other request is ejected."""
        health = EngineHealth()
        ejected = [
            health.record(Result.FAILED if number % 2 else Result.SUCCESS, number / 10)
            for number in range(40)
        ]
        self.assertIn(True, ejected)

    def test_shed_is_no_failure(self) -> None:
        """A request that an upstream shed does not count as failed."""
        health = EngineHealth()
        for number in range(50):
            health.record(Result.SHED, number / 10)
        self.assertFalse(health.is_ejected(5.0))

    def test_answer_shows_that_an_upstream_can_be_reached_again(self) -> None:
        """Any answer to what was sent after the ejection ends it."""
        for result in ANSWERED_RESULTS:
            health = EngineHealth()
            health.record(Result.UNREACHABLE, 1.0)
            health.record(result, 1.2, sent_at=1.1)
            self.assertFalse(health.is_ejected(1.2))

    def test_answer_to_an_earlier_request_ends_no_ejection(self) -> None:
        """A connection of before may live while no new one is made."""
        health = EngineHealth()
        health.record(Result.UNREACHABLE, 1.0)
        health.record(Result.SUCCESS, 1.1, sent_at=0.9)
        self.assertTrue(health.is_ejected(1.2))

    def test_answer_ends_no_ejection_for_failures(self) -> None:
        """An upstream that fails many requests answers others."""
        health = EngineHealth()
        for _ in range(8):
            health.record(Result.FAILED, 1.0)
        health.record(Result.SUCCESS, 1.6, sent_at=1.5)
        self.assertTrue(health.is_ejected(1.7))

    def test_not_all_are_ejected(self) -> None:
        """If most are ejected, those that can be reached are used."""
        tracker = HealthTracker()
        for engine_id in ("a", "b"):
            for number in range(10):
                tracker.get(engine_id).record(Result.FAILED, number / 10)
        tracker.get("c").record(Result.UNREACHABLE, 1.0)
        self.assertEqual(["a", "b"], tracker.healthy(["a", "b", "c"], 1.1))

    def test_unreachable_upstreams_are_probed_in_turn(self) -> None:
        """One of them is used each time after a pause."""
        tracker = HealthTracker()
        engine_ids = ["a", "b", "c"]
        probes = [
            tracker.take_probe(engine_ids, engine_ids, now * PROBE_GAP_SECONDS / 2)
            for now in range(8)
        ]
        self.assertEqual(["a", None, "b", None, "c", None, "a", None], probes)
