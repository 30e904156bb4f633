"""Record how an attempt at an upstream ended, for its roll-out."""

import asyncio
import zlib
from collections.abc import Callable
from typing import Protocol

from attrs import define

from ..calls import Call
from ..configuration import RouteType
from ..engines import Engine
from ..health import Result
from ..sending import AttemptFailed
from .evidence import NO_BUCKET, Outcome, Sample, latency_bucket
from .rollout import Rollout

OUTCOMES_BY_RESULT = {
    Result.SUCCESS: Outcome.SUCCESS,
    Result.FAILED: Outcome.FAILED,
    Result.INVALID: Outcome.FAILED,
    Result.BROKEN: Outcome.BROKEN,
    Result.SILENT: Outcome.BROKEN,
}


# A process that stood still for longer may have missed that a version was
# stopped; peers' news that arrived meanwhile are read within the second time.
STALE_SECONDS = 0.2
CATCH_UP_SECONDS = 0.05


class RunRecorder(Protocol):
    """Receive what attempts report."""

    def may_send(self, run: "VersionRun", now: float) -> bool:
        """Return whether an attempt may still be sent."""

    def record_outcome(
        self,
        run: "VersionRun",
        outcome: Outcome,
        latency_seconds: float | None,
        now: float,
    ) -> None:
        """Record a sampled answer."""

    def record_end(self, run: "VersionRun", now: float) -> None:
        """Record that an attempt is open no more."""


@define(eq=False)
class OpenRuns:
    """Count the open attempts at an upstream, and those not to be repeated."""

    engine: Engine
    all: int = 0
    fixed: int = 0


@define(eq=False)
class VersionRun:
    """Track one attempt at an upstream.

    ``rollout`` is that of its service when it was sent, None without one or
    if the attempt is no sample. Attempts that the upstream rejected or that
    did not reach it say nothing about its version.
    """

    recorder: RunRecorder
    call: Call
    engine: Engine
    sent_at: float
    is_held: bool
    is_cold: bool
    rollout: Rollout | None = None
    _has_begun: bool = False
    _has_failed: bool = False

    async def check_allowed(self, clock: Callable[[], float]) -> None:
        """Check just before sending that the chosen version may be sent to.

        Raise AttemptFailed if not. The upstream is not at fault then.
        """
        if clock() - self.sent_at >= STALE_SECONDS:
            await asyncio.sleep(CATCH_UP_SECONDS)
        if not self.recorder.may_send(self, clock()):
            raise AttemptFailed(
                Result.SHED,
                "version no longer in use",
                may_have_arrived=False,
                not_run=True,
                peer=str(self.engine.address),
            )

    def make_sample(
        self, number: int, outcome: Outcome, latency_seconds: float | None, now: float
    ) -> Sample:
        """Return what peers are told of the attempt."""
        return Sample(
            number,
            self.rollout.is_new(self.engine.version),
            route_key(self.call),
            zlib.crc32(self.engine.engine_id.encode()) & 0xFF,
            outcome,
            self.is_held,
            latency_bucket(latency_seconds) if latency_seconds else NO_BUCKET,
            now,
        )

    def record_first_event(self, now: float) -> None:
        """Record the first event of a stream."""
        if not self._has_begun:
            self._has_begun = True
            self._record(Outcome.SUCCESS, now)

    def record_result(self, result: Result, now: float) -> None:
        """Record how the attempt ended, or that it is overdue."""
        outcome = OUTCOMES_BY_RESULT.get(result)
        if outcome is None or self._has_failed:
            return
        if outcome is not Outcome.SUCCESS:
            self._has_failed = True
            self._record(outcome, now)
        elif not self._has_begun:
            self._record(outcome, now)

    def record_end(self, now: float) -> None:
        """Record that the attempt is open no more."""
        self.recorder.record_end(self, now)

    def _record(self, outcome: Outcome, now: float) -> None:
        if self.rollout is None:
            return
        is_comparable = outcome is Outcome.SUCCESS and not self.is_cold
        latency = now - self.sent_at if is_comparable else None
        if self.call.route.type is RouteType.STREAM and not self._has_begun:
            # An answer without events has no time to the first one.
            latency = None
        self.recorder.record_outcome(self, outcome, latency, now)


class NoRun:
    """Record nothing, where versions are not rolled out."""

    async def check_allowed(self, clock: Callable[[], float]) -> None:
        """Allow every version."""

    def record_first_event(self, now: float) -> None:
        """Ignore the first event of a stream."""

    def record_result(self, result: Result, now: float) -> None:
        """Ignore how the attempt ended."""

    def record_end(self, now: float) -> None:
        """Ignore that the attempt is open no more."""


NO_RUN = NoRun()


def route_key(call: Call) -> int:
    """Return a number of one byte that identifies a route to peers."""
    return zlib.crc32(call.route.name.encode()) & 0xFF
