"""Decide how a planned stop goes, so that it cuts no caller."""

import enum

from attrs import define

# Callers keep an answer of the directory for some time; those that come
# within this time are still served.
SERVE_SECONDS = 3.0
# The process ends this long before the platform would kill it.
EXIT_MARGIN_SECONDS = 0.6
# With no call for this long, callers have gone elsewhere.
QUIET_SECONDS = 2.0
# An early end leaves callers' old directory answers this much time.
MIN_SECONDS = 4.0


class Phase(enum.Enum):
    """Name the steps of a process's life."""

    SERVING = "serving"
    LEAVING = "leaving"
    REFUSING = "refusing"
    ENDED = "ended"


@define
class Drain:
    """Hold where a planned stop stands; times on the boot clock."""

    grace_seconds: float
    stop_at: float | None = None
    last_call_at: float = 0.0
    running: int = 0

    def start_stop(self, now: float) -> None:
        """Take the order to stop."""
        if self.stop_at is None:
            self.stop_at = now

    def phase(self, now: float) -> Phase:
        """Return the current step."""
        if self.stop_at is None:
            return Phase.SERVING
        since = now - self.stop_at
        if since >= self.grace_seconds - EXIT_MARGIN_SECONDS:
            return Phase.ENDED
        is_quiet = now - self.last_call_at >= QUIET_SECONDS and not self.running
        if is_quiet and since >= MIN_SECONDS:
            return Phase.ENDED
        return Phase.LEAVING if since < SERVE_SECONDS else Phase.REFUSING

    def record_start(self, now: float) -> None:
        """Count a call that begins."""
        self.running += 1
        self.last_call_at = now

    def record_end(self) -> None:
        """Count a call that has ended."""
        self.running -= 1
