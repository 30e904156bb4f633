"""Define the timing of engine changes and the limits of a rollout."""

from attrs import frozen

from teaselpond_model.configuration import PolicyItem
from teaselpond_model.rollouts import RolloutLimits

CHECK_INTERVAL_SECONDS = 5.0
RETRY_SECONDS = 2.0
SETTLE_TIMEOUT_SECONDS = 300.0
REPORT_INTERVAL_SECONDS = 0.5


@frozen
class OrderSettings:
    """Define the intervals and timeouts of engine changes.

    ``settle_timeout_seconds`` limits how long an engine may take after an
    order until it reports the new state.
    """

    check_interval_seconds: float = CHECK_INTERVAL_SECONDS
    retry_seconds: float = RETRY_SECONDS
    settle_timeout_seconds: float = SETTLE_TIMEOUT_SECONDS
    report_interval_seconds: float = REPORT_INTERVAL_SECONDS


def rollout_limits(policy: PolicyItem) -> RolloutLimits:
    """Return the rollout limits that the configuration's policy sets."""
    return RolloutLimits(policy.order_concurrency, policy.capacity_floor_ratio)
