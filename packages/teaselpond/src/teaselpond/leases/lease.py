"""Describe a lease as its holder sees it."""

from attrs import frozen

from teaselpond_model.exceptions import ImproperlyConfigured, LeaseLost

DURATION_SECONDS = 9.0
RENEW_SECONDS = 3.0
DRIFT_RATIO = 0.05
STORE_TIMEOUT_SECONDS = 2.0


@frozen
class LeaseSettings:
    """Set the times of leases, the same for every daemon of a fleet.

    ``drift_ratio`` bounds how much faster or slower than true time a clock
    may run. Raise ImproperlyConfigured when a lease can't be renewed in time.
    """

    duration_seconds: float = DURATION_SECONDS
    renew_seconds: float = RENEW_SECONDS
    drift_ratio: float = DRIFT_RATIO
    store_timeout_seconds: float = STORE_TIMEOUT_SECONDS

    def __attrs_post_init__(self) -> None:
        if not 0 <= self.drift_ratio < 0.5:
            raise ImproperlyConfigured("allowed for drift_ratio: 0 to under 0.5")
        if 2 * self.renew_seconds > self.held_seconds:
            raise ImproperlyConfigured(
                "a lease must last for two renewals: allowed for renew_seconds: "
                f"up to {self.held_seconds / 2:g}"
            )

    @property
    def held_seconds(self) -> float:
        """Return for how long the holder may act, by its own clock."""
        return self.duration_seconds * (1 - self.drift_ratio)

    @property
    def max_order_seconds(self) -> float:
        """Return the longest timeout of an order under a renewed lease."""
        return self.held_seconds / 2

    @property
    def expiry_seconds(self) -> float:
        """Return after how long others may take it for lapsed, by theirs."""
        return self.duration_seconds * (1 + self.drift_ratio)


@frozen
class Lease:
    """Hold a lease, its fencing number and when its last write was sent."""

    daemon_id: str
    fence: int
    entry_version: int
    sent_at: float
    held_until: float

    def is_held(self, now: float, for_seconds: float = 0.0) -> bool:
        """Tell whether the lease lasts from now for some seconds."""
        return self.sent_at <= now and now + for_seconds < self.held_until

    def assert_held(self, now: float, for_seconds: float = 0.0) -> None:
        """Raise LeaseLost unless it lasts for some seconds."""
        if not self.is_held(now, for_seconds):
            remaining_seconds = self.held_until - now
            raise LeaseLost(
                f"the lease {self.fence} lasts for {remaining_seconds:.1f} s, "
                f"{for_seconds:.1f} s are needed",
                step="act under a lease",
                peer=self.daemon_id,
            )
