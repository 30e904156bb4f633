"""Count how evenly load is spread, and which choices turned out wrong."""

from collections import Counter
from collections.abc import Iterator
from typing import TYPE_CHECKING

from attrs import define, field, frozen

from .response_times import ResponseTimes

if TYPE_CHECKING:
    from prometheus_client.metrics_core import Metric


@frozen
class Spread:
    """Hold the largest and the mean load of a service's upstreams.

    ``age_seconds`` is how old the loads were.
    """

    largest: float
    mean: float
    age_seconds: float

    @property
    def ratio(self) -> float:
        """Return the largest load over the mean; 1 without any load."""
        return self.largest / self.mean if self.mean else 1.0


@define(eq=False)
class BalancingMetrics:
    """Record what the balancing of one process knew and chose.

    Answers show afterwards which choices a host with complete knowledge would
    not have made: the upstream rejected the request (``rejected``), held more
    than the load cap (``above-cap``) or was slow at that time (``slow``).
    """

    spreads_by_service: dict[str, Spread] = field(factory=dict)
    misplaced: Counter[str] = field(factory=Counter)
    unreadable_loads: int = 0
    response_times: ResponseTimes = field(factory=ResponseTimes)

    def collect(self) -> Iterator["Metric"]:
        """Yield all metrics, for the library."""
        from prometheus_client.metrics_core import (
            CounterMetricFamily,
            GaugeMetricFamily,
        )

        ratios = GaugeMetricFamily(
            "teaselpond_load_spread_ratio",
            "Largest known load of a service's upstreams over the mean",
            labels=("service",),
        )
        ages = GaugeMetricFamily(
            "teaselpond_load_spread_age_seconds",
            "Age of the loads that the spread was computed from",
            labels=("service",),
        )
        for service, spread in self.spreads_by_service.items():
            ratios.add_metric((service,), spread.ratio)
            ages.add_metric((service,), spread.age_seconds)
        yield ratios
        yield ages
        misplaced = CounterMetricFamily(
            "teaselpond_misplaced_requests",
            "Requests at upstreams that current loads would rule out, by reason",
            labels=("reason",),
        )
        for reason, count in self.misplaced.items():
            misplaced.add_metric((reason,), count)
        yield misplaced
        yield CounterMetricFamily(
            "teaselpond_slow_choices",
            "Choices in which response times of all hosts showed a slow upstream",
            value=self.response_times.slow_choices,
        )
        yield CounterMetricFamily(
            "teaselpond_unreadable_loads",
            "Answers whose load header could not be read in full",
            value=self.unreadable_loads,
        )
