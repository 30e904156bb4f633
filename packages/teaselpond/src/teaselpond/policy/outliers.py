"""Eject engines after consecutive failures."""

from attrs import define

from .settings import PolicySettings

NEVER = float("-inf")


@define
class OutlierDetector:
    """Count an engine's consecutive failures and track its ejection."""

    failures: int = 0
    ejections: int = 0
    ejected_until: float = NEVER

    def is_ejected(self, now: float) -> bool:
        """Return whether the engine is ejected at the moment."""
        return now < self.ejected_until

    def end_ejection(self, now: float) -> bool:
        """Clear an expired ejection; return True if there was one."""
        if self.ejected_until == NEVER or now < self.ejected_until:
            return False
        self.ejected_until = NEVER
        return True

    def record_success(self) -> None:
        """Reset the counts after a completed answer."""
        self.failures = 0
        self.ejections = 0

    def record_failure(
        self, may_eject: bool, settings: PolicySettings, now: float
    ) -> bool:
        """Count a failure; return True if it ejects the engine.

        The duration doubles with each ejection until an answer completes.
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

    This is at least 1 unless the model has only one engine.
    """
    if engines < 2:
        return 0
    return max(1, int(engines * settings.ejection_share))
