"""Eject engines that fail one answer after another."""

from attrs import define

from .settings import PolicySettings

NEVER = float("-inf")


@define
class OutlierDetector:
    """Count an engine's consecutive failures and hold its ejection."""

    failures: int = 0
    ejections: int = 0
    ejected_until: float = NEVER

    def is_ejected(self, now: float) -> bool:
        """Tell whether the engine is out at the moment."""
        return now < self.ejected_until

    def end_ejection(self, now: float) -> bool:
        """Return True once an ejection has run out."""
        if self.ejected_until == NEVER or now < self.ejected_until:
            return False
        self.ejected_until = NEVER
        return True

    def record_success(self) -> None:
        """Count a completed answer."""
        self.failures = 0
        self.ejections = 0

    def record_failure(
        self, may_eject: bool, settings: PolicySettings, now: float
    ) -> bool:
        """Count a failure; return True when it ejects the engine.

        The ejection doubles each time until an answer completes.
        """
        self.failures += 1
        if self.failures < settings.ejection_failures or not may_eject:
            return False
        self.failures = 0
        duration = settings.ejection_seconds * 2**self.ejections
        self.ejected_until = now + min(duration, settings.ejection_limit_seconds)
        self.ejections += 1
        return True


def ejections_allowed(engines: int, settings: PolicySettings) -> int:
    """Return how many of a model's engines may be ejected at a time.

    One may, from two engines on, whatever the share.
    """
    if engines < 2:
        return 0
    return max(1, int(engines * settings.ejection_share))
