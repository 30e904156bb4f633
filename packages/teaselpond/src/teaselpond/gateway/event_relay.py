"""Pass on the events of an upstream's stream to a caller."""

import asyncio
import math
from collections.abc import Callable
from typing import Protocol

from attrs import define

from ..exceptions import UpstreamBroken
from ..upstreams.events import SparseEventSplitter
from ..upstreams.positions import UNKNOWN_POSITION
from .answers import AnswerHead
from .attempts import Attempt, OpenAttempts
from .calls import Call
from .crash_reports import CrashReports
from .metrics import Metrics
from .pacing import EventPace
from .progress import Progress
from .sending import OpenAnswer

# An attempt at a stream that may be repeated is overdue when an event after
# the first takes longer than this multiple of the route's longest pause.
PAUSE_TIMEOUT_FACTOR = 2.0


class EventSink(Protocol):
    """Write the events of a stream to a caller."""

    @property
    def has_begun(self) -> bool:
        """Return whether a part of the answer was written to the caller."""

    async def write(self, head: AnswerHead, events: bytes) -> None:
        """Write whole events; the first write sends the head before them."""


@define(eq=False)
class EventRelay:
    """Pass on whole events, and record how far a call's stream has got."""

    crash_reports: CrashReports
    metrics: Metrics
    clock: Callable[[], float]

    async def pass_on(
        self,
        call: Call,
        answer: OpenAnswer,
        sink: EventSink,
        progress: Progress,
        attempts: OpenAttempts,
        attempt: Attempt,
    ) -> None:
        """Write an answer's events to the sink until the stream ends.

        The first event of an attempt ends the others that are open. Raise
        UpstreamBroken if the stream has no event, ends inside one, or does
        not go on where the caller is.
        """
        events = SparseEventSplitter(attempt.position)
        pace = EventPace(self.clock())
        async for part in answer.parts():
            attempt.heard_at = now = self.clock()
            count = events.count
            batch = events.feed(part)
            wait_seconds = pace.record(events.count - count, now)
            if not batch:
                continue
            if not attempts.claim_caller(attempt):
                raise asyncio.CancelledError
            # A slow caller must not count as a silent upstream.
            attempt.limit_silence(None)
            if not sink.has_begun:
                self.metrics.record_first_event(call, self.clock())
            attempt.version_run.record_first_event(self.clock())
            self.crash_reports.record_events(call, progress, attempt, self.clock())
            attempt.heard_at = math.inf
            # A write that is cancelled may have reached the caller or not.
            progress.position = UNKNOWN_POSITION
            await sink.write(answer.head, batch)
            progress.position = events.position
            if wait_seconds:
                await asyncio.sleep(wait_seconds)
            attempt.heard_at = self.clock()
            if attempt.is_limited:
                attempt.limit_silence(call.route.pause_seconds * PAUSE_TIMEOUT_FACTOR)
        events.check_end()
        if not sink.has_begun:
            raise UpstreamBroken(
                "the stream ended before its first event", step="stream"
            )
