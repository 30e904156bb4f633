"""Record what upstreams report of themselves in their answers."""

from attrs import define

from .answers import AnswerHead
from .backoffs import Backoffs
from .balancing.load_reports import LoadReports
from .engines import Engine
from .journal import Journal
from .routing_state import RoutingState


@define(eq=False)
class AnswerReports:
    """Update what this host knows of an upstream by the head of an answer."""

    routing_state: RoutingState
    load_reports: LoadReports
    backoffs: Backoffs
    journal: Journal

    def record(
        self,
        engine: Engine,
        head: AnswerHead,
        now: float,
        seconds: float | None = None,
    ) -> None:
        """Record load, rejection, cold time, departure and backoff."""
        self.load_reports.record(engine.engine_id, engine.service, head, now, seconds)
        if head.cold_seconds is not None:
            self.routing_state.update_cold_time(
                engine.engine_id, head.cold_seconds, now
            )
        if head.is_leaving and self.routing_state.mark_engine_leaving(engine, now):
            self.journal.write(
                "engine-leaving", now, engine=engine.engine_id, source="answer"
            )
        if head.backoff_seconds is not None:
            applied = self.backoffs.record(engine, head.backoff_seconds, now)
            self.journal.write(
                "engine-backs-off",
                now,
                engine=engine.engine_id,
                # JSON has no NaN.
                asked_seconds=str(head.backoff_seconds),
                applied_seconds=applied,
            )
