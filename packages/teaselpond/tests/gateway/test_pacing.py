"""Test the rate at which a stream's events are passed on."""

import testtools

from teaselpond.gateway.pacing import BURST_EVENTS, EVENTS_PER_SECOND, EventPace


class EventPaceTests(testtools.TestCase):
    """Record the events of one stream."""

    def test_events_of_a_sound_stream(self) -> None:
        """A burst, and a stream at the permitted rate, wait for nothing."""
        pace = EventPace(10.0)
        self.assertEqual(0.0, pace.record(round(BURST_EVENTS), 10.0))
        for second in range(1, 100):
            waited = pace.record(round(EVENTS_PER_SECOND), 10.0 + second)
            self.assertEqual(0.0, waited)

    def test_events_without_end(self) -> None:
        """They come at the permitted rate, however many are sent at once."""
        now, count = 10.0, 0
        pace = EventPace(now)
        while now < 20.0:
            now += pace.record(3000, now)
            count += 3000
        self.assertLessEqual(count, BURST_EVENTS + 10 * EVENTS_PER_SECOND + 6000)
