"""Log decisions as JSON lines, rate-limited and without blocking."""

import asyncio
import json
import logging
import os
import sys
import time
from collections.abc import Callable
from typing import Any

from attrs import define, field

# Rate and burst that the operators' log store accepts from one process.
LINES_PER_SECOND = 200.0
BURST_LINES = 600.0
# Lines that tell how a call ended may use the last part of the burst alone.
RESERVED_LINES = 150.0
END_EVENTS = frozenset(
    {
        "answer-not-taken",
        "attempt-failed",
        "attempt-overdue",
        "caller-gone",
        "calls-cut",
        "cut",
        "ending-calls",
        "internal-error",
        "not-placed",
        "retry-refused",
    }
)
# Limits the lines buffered while standard output accepts no data.
MAX_PENDING_BYTES = 256 * 1024
# A library's message may quote a caller's request, so it is truncated.
MAX_MESSAGE_CHARACTERS = 300


@define(eq=False)
class Journal:
    """Write JSON lines to standard output, limited by a token bucket.

    Lines beyond the rate limit or the buffer limit are dropped; the next
    line that is written has their number in its field ``left_out``.
    """

    host: str = ""
    descriptor: int = field(factory=lambda: sys.stdout.fileno())
    _tokens: float = BURST_LINES
    _filled_at: float = 0.0
    _dropped_count: int = 0
    _pending: bytearray = field(factory=bytearray)
    _is_scheduled: bool = False

    def open(self) -> None:
        """Make writes fail rather than block when the reader stalls."""
        os.set_blocking(self.descriptor, False)

    def write(self, event: str, now: float, /, **fields: Any) -> None:
        """Queue one line; ``now`` is a time of the boot clock."""
        self._refill(now)
        reserved = 0.0 if event in END_EVENTS else RESERVED_LINES
        if self._tokens < 1 + reserved or len(self._pending) > MAX_PENDING_BYTES:
            self._dropped_count += 1
            return
        self._tokens -= 1
        line: dict[str, Any] = {"time": round(time.time(), 3), "at": round(now, 3)}
        line |= {"host": self.host, "event": event, **fields}
        if self._dropped_count:
            line["left_out"] = self._dropped_count
            self._dropped_count = 0
        self._pending += json.dumps(line, default=str).encode() + b"\n"
        self._schedule()

    def flush(self) -> None:
        """Write as many pending bytes as standard output accepts now."""
        self._is_scheduled = False
        try:
            written = os.write(self.descriptor, self._pending)
        except BlockingIOError:
            written = 0
        except OSError:
            # The output has no reader any more, so the lines are discarded.
            self._pending.clear()
            return
        del self._pending[:written]

    def _refill(self, now: float) -> None:
        refilled = max(0.0, now - self._filled_at) * LINES_PER_SECOND
        self._tokens = min(BURST_LINES, self._tokens + refilled)
        self._filled_at = now

    def _schedule(self) -> None:
        if self._is_scheduled:
            return
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            self.flush()
            return
        self._is_scheduled = True
        loop.call_soon(self.flush)


class JournalHandler(logging.Handler):
    """Write warnings and errors that libraries log to a journal."""

    def __init__(self, journal: Journal, clock: Callable[[], float]) -> None:
        super().__init__(logging.WARNING)
        self._journal = journal
        self._clock = clock

    def emit(self, record: logging.LogRecord) -> None:
        """Write one record with the repr of its error, without a traceback."""
        error = record.exc_info[1] if record.exc_info else None
        self._journal.write(
            "library-log",
            self._clock(),
            library=record.name,
            level=record.levelname.lower(),
            message=record.getMessage()[:MAX_MESSAGE_CHARACTERS],
            error=repr(error)[:MAX_MESSAGE_CHARACTERS] if error else None,
        )
