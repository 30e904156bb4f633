"""Pass what attempts tell about capacity to the overload control."""

from collections.abc import Callable

from attrs import define, field

from ..answers import AnswerHead
from ..calls import Call
from ..engines import Engine
from ..health import EngineHealth, Result
from ..routing_state import RoutingState
from ..sending import AttemptFailed
from .connection_shares import ConnectionShares
from .control import OverloadControl
from .urgency import Urgency

# An upstream that answered within this time lives.
ANSWERED_SECONDS = 1.0


@define(eq=False)
class CapacityReports:
    """Record which upstreams had capacity, and tell how urgent calls are."""

    control: OverloadControl
    routing_state: RoutingState
    host_count: Callable[[], int]
    connections: ConnectionShares
    urgency: Urgency = field(factory=Urgency)

    def record_head(
        self, call: Call, head: AnswerHead, seconds: float, now: float
    ) -> None:
        """Record the head of an answer that came after some seconds.

        An upstream that leaves, or that is another one, says nothing about
        the capacity of its service.
        """
        if not head.not_run:
            self.control.record_answer(call, seconds, now)
        elif not (head.is_other_engine or head.is_leaving):
            self._record_rejection(call, now)

    def record_reset(
        self,
        call: Call,
        engine: Engine,
        failed: AttemptFailed,
        health: EngineHealth,
        now: float,
    ) -> None:
        """Change the result of a call whose new connection was reset.

        An upstream that answered just before takes no more connections, but
        lives: it must not be left out as one that cannot be reached.
        """
        if not failed.was_reset:
            return
        self.connections.record_reset(engine.engine_id, now)
        if now - health.answered_at > ANSWERED_SECONDS:
            return
        failed.result = Result.SHED
        self._record_rejection(call, now)

    def _record_rejection(self, call: Call, now: float) -> None:
        records = self.routing_state.engines_by_id.values()
        engines = (record.engine for record in records)
        self.control.record_rejection(call, engines, self.host_count(), now)

    def urgency_class(self, call: Call, now: float) -> int | None:
        """Return the urgency class to send with a call, None for none."""
        return self.urgency.class_of(
            call,
            self.routing_state.configuration,
            is_hot=self.control.is_hot(call, now),
        )
