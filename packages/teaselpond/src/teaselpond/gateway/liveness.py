"""Check that upstreams live before they get requests that may have ended one.

A path to an upstream that is away may accept connections and reset them, or
leave them silent. A request that is sent there does not run, but its attempts
end like those of a request that crashes upstreams.
"""

from collections.abc import Callable

from attrs import define

from .calls import Call
from .engines import Engine, engine_key
from .health import HealthTracker, Result
from .journal import Journal
from .loads import LoadTracker
from .poison import PoisonTracker
from .progress import Progress
from .reports import AnswerReports
from .routing_state import RoutingState
from .sending import AttemptFailed, Sender


def answered_at(engine_id: str, health: HealthTracker, loads: LoadTracker) -> float:
    """Return when an upstream last answered any host, as far as is known."""
    last_at = health.get(engine_id).answered_at
    reading = loads.readings.newest(engine_key(engine_id))
    return max(last_at, reading.read_at) if reading is not None else last_at


@define(eq=False)
class LivenessChecker:
    """Ask an upstream for its health if a request may have ended it.

    Only requests that have ended a process are checked, and only if the
    upstream has not answered since.
    """

    sender: Sender
    reports: AnswerReports
    routing_state: RoutingState
    poison: PoisonTracker
    health: HealthTracker
    loads: LoadTracker
    journal: Journal
    clock: Callable[[], float]

    def must_check(self, progress: Progress, engine: Engine) -> bool:
        """Return whether a call must not be sent before a check."""
        ended_at = self.poison.last_end_at(progress.traits)
        if ended_at is None:
            return False
        return answered_at(engine.engine_id, self.health, self.loads) <= ended_at

    async def check(self, call: Call, progress: Progress, engine: Engine) -> None:
        """Ask an upstream for its health; without an answer, leave it out.

        An upstream without a free slot may be slow to answer, so silence does
        not count against its health.
        """
        started_at = self.clock()
        health = self.health.get(engine.engine_id)
        result = Result.SUCCESS
        try:
            path = self._health_path(call)
            head = await self.sender.check_health(engine, path)
            health.record_answer(self.clock(), started_at)
            self.reports.record(engine, head, self.clock())
        except AttemptFailed as failed:
            result = failed.result
            progress.tried_ids.add(engine.engine_id)
            if result is not Result.SILENT:
                health.record(result, self.clock())
        now = self.clock()
        self.journal.write(
            "upstream-checked",
            now,
            id=call.head.request_id,
            engine=engine.engine_id,
            born_ms=engine.born_ms,
            result=result.value,
            took_seconds=round(now - started_at, 3),
        )

    def _health_path(self, call: Call) -> str:
        return self.routing_state.configuration.services_by_name[
            call.service
        ].health_path
