"""Pass on the events of an upstream's stream to a caller."""

import asyncio
import math
from collections.abc import Callable
from typing import Protocol

from attrs import define

from ..exceptions import UpstreamBroken
from ..upstreams.events import SparseEventSplitter
from .answers import AnswerHead
from .calls import Call
from .crash_reports import CrashReports
from .metrics import Metrics
from .pacing import EventPace
from .progress import Progress
from .sending import OpenAnswer
from .timeouts import PauseAwareTimeout

# A stream that may be repeated is retried on another upstream when an event
# after the first takes longer than this multiple of the route's longest pause.
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
        event_timeout: PauseAwareTimeout,
    ) -> None:
        """Write an answer's events to the sink until the stream ends.

        ``event_timeout`` limits the wait for each event, if it is set. Raise
        UpstreamBroken if the stream has no event or ends inside one.
        """
        last_id = progress.last_event_id
        events = SparseEventSplitter(_event_number(last_id))
        pace = EventPace(self.clock())
        async for part in answer.parts():
            progress.heard_at = now = self.clock()
            count = events.count
            batch = events.feed(part)
            wait_seconds = pace.record(events.count - count, now)
            if not batch:
                continue
            has_timeout = event_timeout.when() is not None
            # A slow caller must not count as a silent upstream.
            event_timeout.reschedule(None)
            if not sink.has_begun:
                self.metrics.record_first_event(call, self.clock())
            self.crash_reports.record_events(call, progress, self.clock())
            progress.heard_at = math.inf
            await sink.write(answer.head, batch)
            if wait_seconds:
                await asyncio.sleep(wait_seconds)
            progress.heard_at = self.clock()
            if has_timeout:
                pause = call.route.pause_seconds * PAUSE_TIMEOUT_FACTOR
                event_timeout.reschedule(asyncio.get_running_loop().time() + pause)
            if events.last_id >= 0:
                progress.last_event_id = str(events.last_id)
        if events.incomplete:
            raise UpstreamBroken(
                "the stream ended in the middle of an event", step="stream"
            )
        if not sink.has_begun:
            raise UpstreamBroken(
                "the stream ended before its first event", step="stream"
            )


def _event_number(event_id: str | None) -> int:
    """Return an event id as a number, -1 if it is not one."""
    try:
        return int(event_id) if event_id is not None else -1
    except ValueError:
        return -1
