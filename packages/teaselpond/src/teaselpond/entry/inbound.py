"""Build what the connections of callers share to limit their input."""

import asyncio
import os
import time
from collections import Counter
from collections.abc import Callable

from absl import logging
from attrs import define, field

from ..inbound.budgets import MemoryBudget
from ..inbound.connections import ConnectionHooks, HeadLimits
from ..inbound.gates import MemoryGate
from ..inbound.limits import InboundLimits, ProcessShares, derive_limits
from ..inbound.pauses import PauseDetector
from ..logs import log_event
from ..metrics import Metrics
from ..settings import Settings

# An idle daemon holds 53 MB. A chat takes 5.5 times its body, as it is also
# held parsed and as what is sent. Each call needs a connection to an upstream
# too.
DAEMON_SHARES = ProcessShares(
    base_bytes=64 * 1024 * 1024, input_share=0.15, caller_share=0.45
)
KEEPALIVE_SECONDS = 75.0
# Ordinary callers reuse connections that were idle for up to four fifths of
# that time.
IDLE_SECONDS = 61.0
TICK_SECONDS = 0.1
# Callers may cause many ends; one line tells of all within this time.
LINE_SECONDS = 1.0
BYTES_PER_MB = 1024 * 1024


@define(eq=False)
class EntryInbound:
    """Hold the limits, the memory for input and the reports of a daemon."""

    settings: Settings
    metrics: Metrics
    clock: Callable[[], float] = time.monotonic
    limits: InboundLimits = field(init=False)
    pauses: PauseDetector = field(factory=PauseDetector)
    gate: MemoryGate = field(init=False)
    _unwritten_counts: Counter[tuple[str, str]] = field(factory=Counter)
    _written_at: dict[tuple[str, str], float] = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        settings = self.settings
        memory_bytes = settings.memory_mb * BYTES_PER_MB or _machine_memory_bytes()
        self.limits = derive_limits(
            memory_bytes, settings.max_descriptors or None, DAEMON_SHARES
        )
        self.gate = MemoryGate(MemoryBudget(self.limits.input_bytes), self.pauses)

    def make_hooks(self) -> ConnectionHooks:
        """Return what the connections share."""
        limits = HeadLimits(
            self.settings.max_head_bytes, self.settings.header_timeout_seconds
        )
        return ConnectionHooks(
            self.gate,
            lambda: limits,
            IDLE_SECONDS,
            self.record_end,
            decompresses=True,
        )

    def record_end(self, what: str, reason: str, ip: str) -> None:
        """Record that input was ended; ``ip`` is the caller's address."""
        key = what, reason
        self.metrics.incr(f"input.{what}_{reason}".replace("-", "_").lower())
        self._unwritten_counts[key] += 1
        now = self.clock()
        if now - self._written_at.get(key, -LINE_SECONDS) < LINE_SECONDS:
            return
        self._written_at[key] = now
        log_event(
            "input ended",
            level=logging.WARNING,
            step="input",
            what=what,
            reason=reason,
            ip=ip,
            count=self._unwritten_counts.pop(key),
            held_bytes=self.gate.budget.used_bytes,
            limit_bytes=self.gate.budget.limit_bytes,
            waiting=self.gate.waiting,
        )

    async def run(self) -> None:
        """Record that the process runs, until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            self.pauses.record_tick(loop.time())
            await asyncio.sleep(TICK_SECONDS)


def _machine_memory_bytes() -> int:
    return os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE")
