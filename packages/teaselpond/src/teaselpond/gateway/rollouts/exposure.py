"""Limit the requests that one host sends to an unproven version.

Handles any load: two counters for each roll-out. Each host counts only its own
requests, so the sum over all hosts holds without any exchange.
"""

import random

from attrs import define, field

# Leaves room for requests that are counted differently by the operator, and
# for the random rounding of small shares.
USABLE_RATIO = 0.8
# The steps may use more, so that services with few requests gather evidence.
STEP_RATIO = 0.9


@define
class ExposureBudget:
    """Count this host's requests to a service since an order.

    ``slack`` is this host's part of the fleet's slack, 0 for a process that
    started later. A fraction is rounded at random once, so that the sum over
    many hosts has the right mean (its standard error is below half the square
    root of the number of hosts). ``release`` is the part of the slack that may
    be used by now.
    """

    ratio: float
    slack: float
    rng: random.Random = field(factory=random.Random, repr=False)
    requests: int = 0
    sent: int = 0
    release: float = 1.0
    _rounding: float = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._rounding = self.rng.random()

    def may_send(self) -> bool:
        """Return whether one more request may go to the version."""
        allowed = (
            self.ratio * self.requests + self.release * self.slack
        ) * USABLE_RATIO
        return self.sent + 1 <= allowed + self._rounding

    def may_step(self, remaining_ratio: float) -> bool:
        """Return whether one more request may go to a version in a step.

        ``remaining_ratio`` is the time from now to the order's deadline, as a
        multiple of the time for which requests were counted. Requests until
        then are expected at the same rate.
        """
        expected = self.requests * (1 + remaining_ratio)
        allowed = (self.ratio * expected + self.slack) * STEP_RATIO
        return self.sent + 1 <= allowed + self._rounding

    def record_sent(self, is_new: bool) -> None:
        """Count a request that is sent to the service."""
        self.requests += 1
        self.sent += is_new
