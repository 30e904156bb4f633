"""Limit what an engine gets after a cold start."""

from attrs import define

from .reasons import ColdReason

NEVER = float("-inf")


@define
class WarmUp:
    """Raise an engine's limit by completed answers, from its cold limit on.

    Each completed answer of a request that was granted since the cold start
    raises the limit by one, which doubles it with every round of answers;
    time alone does not raise it.
    """

    slots: int
    cold_limit: int
    limit: int = 0
    incarnation: str = ""
    cold_since: float = NEVER
    reason: ColdReason | None = None

    def mark_cold(self, reason: ColdReason, now: float) -> None:
        """Take the engine to be cold."""
        self.limit = min(self.cold_limit, self.slots)
        self.cold_since = now
        self.reason = reason

    @property
    def is_warm(self) -> bool:
        """Tell whether the engine may use all of its slots."""
        return self.limit >= self.slots

    def observe_incarnation(self, incarnation: str, now: float) -> bool:
        """Compare the engine's incarnation; return True when it is new."""
        if not incarnation or incarnation == self.incarnation:
            return False
        reason = ColdReason.INCARNATION if self.incarnation else ColdReason.FIRST_SEEN
        self.incarnation = incarnation
        self.mark_cold(reason, now)
        return True

    def record_completion(self, granted_at: float) -> None:
        """Count a completed answer."""
        if granted_at >= self.cold_since and not self.is_warm:
            self.limit += 1

    def raise_to(self, limit: int) -> None:
        """Accept that the engine is known to bear so many requests."""
        self.limit = min(self.slots, max(self.limit, limit))
