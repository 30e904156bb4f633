"""Define the Prometheus metrics of the gateway."""

from attrs import define, field
from prometheus_client import CollectorRegistry, Counter, Histogram, generate_latest

from .calls import Call

# In seconds, from a fast answer of a service to the longest route timeout.
LATENCY_BUCKETS = (0.02, 0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 1.0, 1.5, 3.0, 6.0, 12.0)


@define(eq=False)
class Metrics:
    """Record the counters and histograms of one process."""

    registry: CollectorRegistry = field(factory=CollectorRegistry)
    replies: Counter = field(init=False)
    refusals: Counter = field(init=False)
    failures: Counter = field(init=False)
    latency: Histogram = field(init=False)
    first_events: Histogram = field(init=False)

    def __attrs_post_init__(self) -> None:
        self.replies = Counter(
            "teaselpond_replies",
            "Answers to callers",
            ("route_type", "status"),
            registry=self.registry,
        )
        self.refusals = Counter(
            "teaselpond_refusals",
            "Answers of the gateway's own, by reason",
            ("reason",),
            registry=self.registry,
        )
        self.failures = Counter(
            "teaselpond_attempt_failures",
            "Calls that an upstream did not answer with success, by result",
            ("result",),
            registry=self.registry,
        )
        self.latency = Histogram(
            "teaselpond_answer_seconds",
            "Time from a call's arrival to the end of its answer",
            ("route_type",),
            buckets=LATENCY_BUCKETS,
            registry=self.registry,
        )
        self.first_events = Histogram(
            "teaselpond_first_event_seconds",
            "Time from a call's arrival to the first event of its stream",
            buckets=LATENCY_BUCKETS,
            registry=self.registry,
        )

    def record_answer(self, call: Call, status: int, now: float) -> None:
        """Count a call's answer, and observe the time since its arrival."""
        route_type = call.route.type.value
        self.replies.labels(route_type, str(status)).inc()
        self.latency.labels(route_type).observe(now - call.arrived_at)

    def record_first_event(self, call: Call, now: float) -> None:
        """Observe the time from a call's arrival to its first event."""
        self.first_events.observe(now - call.arrived_at)

    def record_refusal(self, reason: str) -> None:
        """Count a refusal, by its reason."""
        self.refusals.labels(reason).inc()

    def record_attempt_failure(self, result: str) -> None:
        """Count a failed attempt, by its result."""
        self.failures.labels(result).inc()

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self.registry)
