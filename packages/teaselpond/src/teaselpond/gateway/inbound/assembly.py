"""Build what the ports of one process share to limit callers' input."""

import asyncio
import functools

from attrs import define, field

from ...inbound.budgets import MemoryBudget
from ...inbound.connections import DEFAULT_HEAD_LIMITS, ConnectionHooks, HeadLimits
from ...inbound.gates import MemoryGate
from ...inbound.limits import InboundLimits, derive_limits
from ...inbound.pauses import PauseDetector
from ...inbound.seats import DEFAULT_IDLE_LIMIT_SECONDS, PORT_IDLE_SECONDS
from ..configuration import Limits
from ..host import GatewayHost
from .reports import InboundReports

CALLER_PORT = "entry"


@define(eq=False)
class Inbound:
    """Hold the limits, the memory for input and the reports of a process."""

    host: GatewayHost
    limits: InboundLimits = field(init=False)
    gate: MemoryGate = field(init=False)
    pauses: PauseDetector = field(factory=PauseDetector)
    reports: InboundReports = field(init=False)

    def __attrs_post_init__(self) -> None:
        host = self.host
        capacity = host.settings.capacity
        self.limits = derive_limits(capacity.memory_bytes, capacity.descriptors)
        self.gate = MemoryGate(
            MemoryBudget(self.limits.input_bytes),
            self.pauses,
            capacity.link_mbps,
        )
        self.reports = InboundReports(self.gate, host.journal, host.clock)
        host.metrics.collectors.append(self.reports.collect)

    def make_hooks(self, port: str) -> ConnectionHooks:
        """Return what the connections of one port share."""
        is_for_callers = port == CALLER_PORT
        return ConnectionHooks(
            self.gate,
            self._get_head_limits,
            PORT_IDLE_SECONDS,
            functools.partial(self.reports.record, port),
            idle_limit=self._get_idle_limit if is_for_callers else None,
        )

    def record_tick(self) -> None:
        """Record that the process runs."""
        self.pauses.record_tick(asyncio.get_running_loop().time())

    def _get_idle_limit(self) -> float:
        configuration = self.host.routing_state.configuration
        if configuration is None:
            return DEFAULT_IDLE_LIMIT_SECONDS
        return configuration.limits.idle_seconds

    def _get_head_limits(self) -> HeadLimits | Limits:
        configuration = self.host.routing_state.configuration
        return DEFAULT_HEAD_LIMITS if configuration is None else configuration.limits
