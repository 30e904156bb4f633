"""Record what answers show of an upstream's load."""

from attrs import define

from ..answers import AnswerHead
from ..journal import Journal
from ..loads import LOAD_CAP_SLACK, LoadTracker
from .metrics import BalancingMetrics

# A log line about an unreadable load is written this often at most.
UNREADABLE_LINE_SECONDS = 10.0
# An answer counts as misplaced if work takes this much longer than usual.
SLOW_LIMIT = 1.5


@define(eq=False)
class LoadReports:
    """Record the load, the slowness and the rejections of upstreams.

    Handles any rate of answers: a constant amount of work for each.
    """

    loads: LoadTracker
    metrics: BalancingMetrics
    journal: Journal
    load_cap_factor: float
    _line_at: float | None = None
    _unreadable_count: int = 0

    def record(
        self,
        engine_id: str,
        service: str,
        head: AnswerHead,
        now: float,
        seconds: float | None = None,
    ) -> None:
        """Record an answer's figures; count it after a bad choice.

        ``seconds`` is how long the answer took, None if not known.
        """
        loads = self.loads
        is_timed = seconds is not None and head.is_success and head.load is None
        if is_timed and loads.uses_readings:
            loads.response_times.record(engine_id, seconds, now)
        if head.load is not None:
            loads.record_reading(engine_id, head.load, now)
        if head.slowness is not None:
            loads.slowness.record(engine_id, head.slowness, now)
        if head.is_success:
            loads.rejections.record_success(engine_id)
        elif head.not_run and not head.is_other_engine:
            loads.rejections.record_rejection(engine_id, now)
        reason = self._misplaced_reason(service, head)
        if reason is not None:
            self.metrics.misplaced[reason] += 1
        if head.unreadable_load is not None:
            self._log_unreadable(engine_id, head.unreadable_load, now)

    def _misplaced_reason(self, service: str, head: AnswerHead) -> str | None:
        if head.not_run:
            return None if head.is_other_engine else "rejected"
        spread = self.metrics.spreads_by_service.get(service)
        if head.load is not None and spread is not None:
            cap = self.load_cap_factor * spread.mean + LOAD_CAP_SLACK
            if head.load > cap:
                return "above-cap"
        if head.slowness is not None and head.slowness >= SLOW_LIMIT:
            return "slow"
        return None

    def _log_unreadable(self, engine_id: str, value: str, now: float) -> None:
        self.metrics.unreadable_loads += 1
        self._unreadable_count += 1
        if self._line_at is not None and now - self._line_at < UNREADABLE_LINE_SECONDS:
            return
        self._line_at = now
        self.journal.write(
            "load-unreadable",
            now,
            engine=engine_id,
            value=value,
            count=self._unreadable_count,
        )
        self._unreadable_count = 0
