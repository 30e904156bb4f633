"""Limit the rate at which a stream's events are passed on."""

from attrs import define

# Model engines send a few hundred events a second. An upstream that sends
# small events without end would take the whole processor.
EVENTS_PER_SECOND = 5000.0
# A resumed stream may begin with many events at once.
BURST_EVENTS = 5000.0


@define
class EventPace:
    """Track one stream's events; the burst refills at the permitted rate."""

    updated_at: float
    left_events: float = BURST_EVENTS

    def record(self, count: int, now: float) -> float:
        """Record events, and return the seconds to wait after them."""
        refilled = (now - self.updated_at) * EVENTS_PER_SECOND
        self.left_events = min(BURST_EVENTS, self.left_events + refilled) - count
        self.updated_at = now
        return max(0.0, -self.left_events / EVENTS_PER_SECOND)
