"""Drain a host before a planned stop, so that no call is interrupted."""

import enum

from attrs import define

# Callers cache the directory, so a host that leaves still receives new calls;
# it serves them for this long.
SERVE_WHILE_LEAVING_SECONDS = 3.0
# The process exits this long before the platform would kill it.
EXIT_MARGIN_SECONDS = 0.6
# With no call for this long, all callers are assumed to use other hosts.
QUIET_SECONDS = 2.0
# An idle host still waits this long, until cached directory answers expire.
MIN_DRAIN_SECONDS = 4.0


class Phase(enum.Enum):
    """List the phases of a process, from serving to its end.

    A host that is leaving still serves calls but asks callers to use other
    hosts; in the phase after it, new calls are refused. When it has ended,
    the process exits.
    """

    SERVING = "serving"
    LEAVING = "leaving"
    REFUSING = "refusing"
    ENDED = "ended"


@define
class Drain:
    """Track running calls and the phase of a planned stop.

    Times are on the boot clock. ``grace_seconds`` is the time from the stop
    signal until the platform kills the process.
    """

    grace_seconds: float
    stop_requested_at: float | None = None
    last_call_at: float = 0.0
    running: int = 0

    def start_stop(self, now: float) -> None:
        """Start the planned stop; a second stop signal has no effect."""
        if self.stop_requested_at is None:
            self.stop_requested_at = now

    def phase(self, now: float) -> Phase:
        """Return the current phase."""
        if self.stop_requested_at is None:
            return Phase.SERVING
        elapsed_seconds = now - self.stop_requested_at
        if elapsed_seconds >= self.grace_seconds - EXIT_MARGIN_SECONDS:
            return Phase.ENDED
        is_quiet = now - self.last_call_at >= QUIET_SECONDS and not self.running
        if is_quiet and elapsed_seconds >= MIN_DRAIN_SECONDS:
            return Phase.ENDED
        return (
            Phase.LEAVING
            if elapsed_seconds < SERVE_WHILE_LEAVING_SECONDS
            else Phase.REFUSING
        )

    def record_start(self, now: float) -> None:
        """Record the start of a call."""
        self.running += 1
        self.last_call_at = now

    def record_end(self) -> None:
        """Record the end of a call."""
        self.running -= 1
