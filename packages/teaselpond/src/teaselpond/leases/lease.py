"""Define a lease from its holder's point of view, and the lease timing."""

from attrs import frozen

from teaselpond_model.exceptions import ImproperlyConfigured, LeaseLost

DURATION_SECONDS = 9.0
RENEW_SECONDS = 3.0
DRIFT_RATIO = 0.05
STORE_TIMEOUT_SECONDS = 2.0


@frozen
class LeaseSettings:
    """Define the timing of leases, which all daemons of a fleet must share.

    ``drift_ratio`` is the largest relative error of a clock's rate. Raise
    ImproperlyConfigured if it is negative or at least 0.5, or if a lease
    can't be renewed twice before it ends.
    """

    duration_seconds: float = DURATION_SECONDS
    renew_seconds: float = RENEW_SECONDS
    drift_ratio: float = DRIFT_RATIO
    store_timeout_seconds: float = STORE_TIMEOUT_SECONDS

    def __attrs_post_init__(self) -> None:
        if not 0 <= self.drift_ratio < 0.5:
            raise ImproperlyConfigured(
                "drift_ratio must be at least 0 and below 0.5, not "
                f"{self.drift_ratio:g}"
            )
        if 2 * self.renew_seconds > self.held_seconds:
            raise ImproperlyConfigured(
                "renew_seconds must leave time for two renewals of a lease: at most "
                f"{self.held_seconds / 2:g}, not {self.renew_seconds:g}"
            )

    @property
    def held_seconds(self) -> float:
        """Return how long a holder may act after a write, by its own clock."""
        return self.duration_seconds * (1 - self.drift_ratio)

    @property
    def max_order_seconds(self) -> float:
        """Return the longest timeout of an order sent under a lease."""
        return self.held_seconds / 2

    @property
    def expiry_seconds(self) -> float:
        """Return after how long an observer may treat a lease as expired.

        The duration is measured by the observer's clock, from when it first
        read the lease's current version.
        """
        return self.duration_seconds * (1 + self.drift_ratio)


@frozen
class Lease:
    """Represent a lease with its fencing token and its period of validity.

    ``entry_version`` is the table version of the last confirmed write and
    ``sent_at`` the time when it was sent. Times are of the holder's
    monotonic clock.
    """

    daemon_id: str
    fence: int
    entry_version: int
    sent_at: float
    held_until: float

    def is_held(self, now: float, for_seconds: float = 0.0) -> bool:
        """Return whether the lease is valid for ``for_seconds`` from now."""
        return self.sent_at <= now and now + for_seconds < self.held_until

    def assert_held(self, now: float, for_seconds: float = 0.0) -> None:
        """Raise LeaseLost unless it is valid for ``for_seconds`` from now."""
        if not self.is_held(now, for_seconds):
            remaining_seconds = self.held_until - now
            raise LeaseLost(
                f"lease {self.fence} is valid for {remaining_seconds:.1f} s, "
                f"but {for_seconds:.1f} s are needed",
                step="act under a lease",
                peer=self.daemon_id,
            )
