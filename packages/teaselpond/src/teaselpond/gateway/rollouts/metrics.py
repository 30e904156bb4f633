"""Count what roll-outs do, as Prometheus metrics."""

from collections.abc import Iterator
from typing import TYPE_CHECKING

from .tracker import Rollouts

if TYPE_CHECKING:
    from prometheus_client.metrics_core import Metric


def collect_rollouts(rollouts: Rollouts) -> Iterator["Metric"]:
    """Yield the metrics of a host's roll-outs; nothing before the first."""
    if not rollouts.request_counts and not rollouts.stage_counts:
        return
    from prometheus_client.metrics_core import CounterMetricFamily, GaugeMetricFamily

    requests = CounterMetricFamily(
        "teaselpond_rollout_requests",
        "Requests sent during roll-outs, to the new version or the old one",
        labels=("service", "version"),
    )
    for labels, count in rollouts.request_counts.items():
        requests.add_metric(labels, count)
    yield requests
    stages = CounterMetricFamily(
        "teaselpond_rollout_stages",
        "Stages that roll-outs entered, by reason",
        labels=("stage", "reason"),
    )
    for labels, count in rollouts.stage_counts.items():
        stages.add_metric(labels, count)
    yield stages
    alarms = GaugeMetricFamily(
        "teaselpond_rollout_alarm",
        "Evidence against the new version; it is bad from 9 on",
        labels=("service",),
    )
    for service, rollout in rollouts.rollouts_by_service.items():
        alarms.add_metric((service,), rollout.evidence.alarm())
    yield alarms
