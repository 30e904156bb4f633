"""Limit an engine's concurrent requests after a cold start."""

from attrs import define

from .reasons import ColdReason

NEVER = float("-inf")


@define
class WarmUp:
    """Raise an engine's limit from ``cold_limit`` to ``slots`` by its answers.

    Each completed request that was granted since the cold start raises the
    limit by one, which doubles it with every round of answers. The limit
    doesn't rise with time.
    """

    slots: int
    cold_limit: int
    limit: int = 0
    incarnation: str = ""
    cold_since: float = NEVER
    reason: ColdReason | None = None

    def mark_cold(self, reason: ColdReason, now: float) -> None:
        """Lower the limit to the cold limit and store the reason."""
        self.limit = min(self.cold_limit, self.slots)
        self.cold_since = now
        self.reason = reason

    @property
    def is_warm(self) -> bool:
        """Return whether the engine may use all of its slots."""
        return self.limit >= self.slots

    def observe_incarnation(self, incarnation: str, now: float) -> bool:
        """Mark the engine cold and return True if its incarnation is new."""
        if not incarnation or incarnation == self.incarnation:
            return False
        reason = ColdReason.INCARNATION if self.incarnation else ColdReason.FIRST_SEEN
        self.incarnation = incarnation
        self.mark_cold(reason, now)
        return True

    def record_completion(self, granted_at: float) -> None:
        """Raise the limit for an answer granted since the cold start."""
        if granted_at >= self.cold_since and not self.is_warm:
            self.limit += 1

    def raise_to(self, limit: int) -> None:
        """Raise the limit to a proven number of concurrent requests."""
        self.limit = min(self.slots, max(self.limit, limit))
