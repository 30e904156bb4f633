"""Tell when the process did not run for a while.

A host may freeze for seconds. What callers sent meanwhile has not been read
yet when the process goes on, so that all of them seem to have stalled.
"""

from attrs import define

# The process calls ``record_tick`` every 0.1 s, and paused if that is later
# by more than this.
LATE_SECONDS = 0.35


@define
class PauseDetector:
    """Remember when the process went on after its last pause."""

    _ticked_at: float | None = None
    _resumed_at: float = 0.0

    def record_tick(self, now: float) -> None:
        """Record that the process runs."""
        self._detect(now)
        self._ticked_at = now

    def resumed_at(self, now: float) -> float:
        """Return when the process last went on after a pause."""
        self._detect(now)
        return self._resumed_at

    def _detect(self, now: float) -> None:
        if self._ticked_at is not None and now - self._ticked_at > LATE_SECONDS:
            self._resumed_at = now
