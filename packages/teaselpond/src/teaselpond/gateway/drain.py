"""Drain a host before a planned stop, so that no call is interrupted."""

import enum
import math

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
    signal until the platform kills the process. ``running`` counts the calls
    whose answers are not written yet.
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
        if self.is_grace_over(now):
            return Phase.ENDED
        elapsed_seconds = now - self.stop_requested_at
        is_quiet = now - self.last_call_at >= QUIET_SECONDS and not self.running
        if is_quiet and elapsed_seconds >= MIN_DRAIN_SECONDS:
            return Phase.ENDED
        return (
            Phase.LEAVING
            if elapsed_seconds < SERVE_WHILE_LEAVING_SECONDS
            else Phase.REFUSING
        )

    def is_grace_over(self, now: float) -> bool:
        """Return whether the process must end, whatever still runs."""
        return self._remaining_seconds(now) <= 0.0

    def may_send(
        self, now: float, expected_seconds: float, *, may_have_run: bool
    ) -> bool:
        """Return whether a call may be sent to an upstream.

        A host that refuses new calls sends none for the first time either,
        because other hosts can serve it. Nobody else knows of a call that may
        have run, so it is sent again if an answer can be expected in time.
        """
        phase = self.phase(now)
        if phase in (Phase.SERVING, Phase.LEAVING):
            return True
        return may_have_run and self._remaining_seconds(now) >= expected_seconds

    def update_grace(self, seconds: float) -> None:
        """Change the grace time; a stop that has begun gets no longer one.

        The platform counts from the signal with the time of then.
        """
        if self.stop_requested_at is not None:
            seconds = min(seconds, self.grace_seconds)
        self.grace_seconds = seconds

    def seconds_until_kill(self, now: float) -> float:
        """Return the time until the platform kills the process."""
        if self.stop_requested_at is None:
            return math.inf
        return self.stop_requested_at + self.grace_seconds - now

    def _remaining_seconds(self, now: float) -> float:
        return self.seconds_until_kill(now) - EXIT_MARGIN_SECONDS

    def record_start(self, now: float) -> None:
        """Record the start of a call."""
        self.running += 1
        self.last_call_at = now

    def record_end(self) -> None:
        """Record the end of a call."""
        self.running -= 1
