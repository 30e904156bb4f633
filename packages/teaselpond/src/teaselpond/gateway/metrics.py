"""Count answers and times, and serve them as Prometheus metrics."""

import bisect
from collections import Counter
from collections.abc import Callable, Iterator
from typing import TYPE_CHECKING

from attrs import define, field

from .balancing.metrics import BalancingMetrics
from .calls import Call
from .lifecycle.loading import reload_with_tls

if TYPE_CHECKING:
    from prometheus_client.metrics_core import Metric

# In seconds, from a fast answer of a service to the longest route timeout.
LATENCY_BUCKETS = (0.02, 0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 1.0, 1.5, 3.0, 6.0, 12.0)


@define
class Durations:
    """Count durations in seconds by bucket; the last one has no limit."""

    counts: list[int] = field(factory=lambda: [0] * (len(LATENCY_BUCKETS) + 1))
    total_seconds: float = 0.0

    def observe(self, seconds: float) -> None:
        """Count one duration."""
        self.counts[bisect.bisect_left(LATENCY_BUCKETS, seconds)] += 1
        self.total_seconds += seconds

    def cumulative(self) -> list[tuple[str, float]]:
        """Return each bucket's limit and the number of durations up to it."""
        buckets = []
        count = 0
        for limit, added in zip((*LATENCY_BUCKETS, None), self.counts, strict=True):
            count += added
            buckets.append(("+Inf" if limit is None else str(limit), float(count)))
        return buckets


@define(eq=False)
class Metrics:
    """Record the counters and histograms of one process.

    The library that renders them is imported when metrics are first asked
    for, because it would take a tenth of an idle host's memory.
    ``collectors`` yield the metrics of optional features.
    """

    balancing: BalancingMetrics = field(factory=BalancingMetrics)
    _replies: Counter[tuple[str, str]] = field(factory=Counter)
    _refusals: Counter[str] = field(factory=Counter)
    _failures: Counter[str] = field(factory=Counter)
    _directory_answers: Counter[str] = field(factory=Counter)
    _held: Counter[str] = field(factory=Counter)
    _held_durations: Durations = field(factory=Durations)
    _latencies_by_type: dict[str, Durations] = field(factory=dict)
    _first_events: Durations = field(factory=Durations)
    collectors: list[Callable[[], Iterator["Metric"]]] = field(factory=list)

    def record_answer(self, call: Call, status: int, now: float) -> None:
        """Count a call's answer, and observe the time since its arrival."""
        route_type = call.route.type.value
        self._replies[route_type, str(status)] += 1
        durations = self._latencies_by_type.setdefault(route_type, Durations())
        durations.observe(now - call.arrived_at)

    def record_first_event(self, call: Call, now: float) -> None:
        """Observe the time from a call's arrival to its first event."""
        self._first_events.observe(now - call.arrived_at)

    def record_refusal(self, reason: str) -> None:
        """Count a refusal, by its reason."""
        self._refusals[reason] += 1

    def record_attempt_failure(self, result: str) -> None:
        """Count a failed attempt, by its result."""
        self._failures[result] += 1

    def record_directory_answer(self, *, is_by_capacity: bool) -> None:
        """Count an answer of the directory, by how hosts were chosen."""
        self._directory_answers["capacity" if is_by_capacity else "all"] += 1

    def record_held(self, outcome: str, seconds: float) -> None:
        """Count a call that waited for capacity, and observe its wait."""
        self._held[outcome] += 1
        self._held_durations.observe(seconds)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        reload_with_tls()
        from prometheus_client import CollectorRegistry, generate_latest

        registry = CollectorRegistry()
        registry.register(self)
        return generate_latest(registry)

    def collect(self) -> Iterator["Metric"]:
        """Yield all metrics, for the library."""
        from prometheus_client.metrics_core import (
            CounterMetricFamily,
            HistogramMetricFamily,
        )

        replies = CounterMetricFamily(
            "teaselpond_replies", "Answers to callers", labels=("route_type", "status")
        )
        for labels, count in self._replies.items():
            replies.add_metric(labels, count)
        yield replies
        for name, text, label, counts in (
            (
                "teaselpond_refusals",
                "Answers of the gateway's own, by reason",
                "reason",
                self._refusals,
            ),
            (
                "teaselpond_attempt_failures",
                "Calls that an upstream did not answer with success, by result",
                "result",
                self._failures,
            ),
            (
                "teaselpond_directory_answers",
                "Answers of the directory, by how their hosts were chosen",
                "mode",
                self._directory_answers,
            ),
            (
                "teaselpond_held_calls",
                "Calls that waited for upstreams with capacity, by outcome",
                "outcome",
                self._held,
            ),
        ):
            family = CounterMetricFamily(name, text, labels=(label,))
            for value, count in counts.items():
                family.add_metric((value,), count)
            yield family
        latency = HistogramMetricFamily(
            "teaselpond_answer_seconds",
            "Time from a call's arrival to the end of its answer",
            labels=("route_type",),
        )
        for route_type, durations in self._latencies_by_type.items():
            latency.add_metric(
                (route_type,), durations.cumulative(), durations.total_seconds
            )
        yield latency
        first_events = HistogramMetricFamily(
            "teaselpond_first_event_seconds",
            "Time from a call's arrival to the first event of its stream",
        )
        first_events.add_metric(
            (), self._first_events.cumulative(), self._first_events.total_seconds
        )
        yield first_events
        yield from self.balancing.collect()
        for collect in self.collectors:
            yield from collect()
        held = HistogramMetricFamily(
            "teaselpond_held_seconds",
            "Time that calls waited for upstreams with capacity",
        )
        held.add_metric(
            (),
            self._held_durations.cumulative(),
            self._held_durations.total_seconds,
        )
        yield held
