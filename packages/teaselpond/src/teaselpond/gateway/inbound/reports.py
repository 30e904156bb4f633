"""Count what was ended, and write it to the journal."""

from collections import Counter
from collections.abc import Callable, Iterator
from typing import TYPE_CHECKING

from attrs import define, field

from ...inbound.gates import MemoryGate
from ..journal import Journal

if TYPE_CHECKING:
    from prometheus_client.metrics_core import Metric

# Callers may cause many ends; one line tells of all within this time.
LINE_SECONDS = 1.0


@define(eq=False)
class InboundReports:
    """Record the ends of connections, heads, bodies and answers."""

    gate: MemoryGate
    journal: Journal
    clock: Callable[[], float]
    _counts: Counter[tuple[str, str, str]] = field(factory=Counter)
    _written_counts: Counter[tuple[str, str, str]] = field(factory=Counter)
    _written_at: dict[tuple[str, str, str], float] = field(factory=dict)

    def record(self, port: str, what: str, reason: str, ip: str) -> None:
        """Record one end; ``ip`` is the address of the other end."""
        key = port, what, reason
        self._counts[key] += 1
        now = self.clock()
        if now - self._written_at.get(key, -LINE_SECONDS) < LINE_SECONDS:
            return
        self._written_at[key] = now
        count = self._counts[key] - self._written_counts[key]
        self._written_counts[key] = self._counts[key]
        self.journal.write(
            "input-ended",
            now,
            port=port,
            what=what,
            reason=reason,
            ip=ip,
            count=count,
            held_bytes=self.gate.budget.used_bytes,
            limit_bytes=self.gate.budget.limit_bytes,
            waiting=self.gate.waiting,
        )

    def collect(self) -> Iterator["Metric"]:
        """Yield the metrics."""
        from prometheus_client.metrics_core import (
            CounterMetricFamily,
            GaugeMetricFamily,
        )

        ended = CounterMetricFamily(
            "teaselpond_input_ended",
            "Connections, heads, bodies and answers that were ended",
            labels=("port", "what", "reason"),
        )
        for labels, count in self._counts.items():
            ended.add_metric(labels, count)
        yield ended
        budget = self.gate.budget
        for name, text, value in (
            ("used_bytes", "Memory that callers' input takes", budget.used_bytes),
            ("limit_bytes", "Memory that it may take", budget.limit_bytes),
            ("waiting", "Bodies that wait for memory", self.gate.waiting),
        ):
            family = GaugeMetricFamily(f"teaselpond_input_{name}", text)
            family.add_metric((), value)
            yield family
