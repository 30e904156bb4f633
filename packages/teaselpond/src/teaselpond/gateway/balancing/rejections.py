"""Remember which upstreams rejected requests of this host lately."""

from attrs import define, field, frozen

# A full queue of plain services drains within this time: 24 places with 6
# slots of 45 ms take 0.2 s. Engines report their load before it ends.
RECOVERY_SECONDS = 1.0
# Each rejection halves an upstream's share; more than these have no effect,
# so that some requests show when it has free capacity again.
MAX_REJECTIONS = 4


@frozen
class Rejected:
    """Hold how many rejections in a row count, and when the last one was."""

    count: int
    at: float


@define
class Rejections:
    """Track rejections by upstream; handles any rate of rejections.

    Memory grows with the upstreams that rejected requests within
    RECOVERY_SECONDS and with nothing else.
    """

    _rejected_by_engine: dict[str, Rejected] = field(factory=dict)

    def record_rejection(self, engine_id: str, now: float) -> None:
        """Record that an upstream rejected a request."""
        if engine_id not in self._rejected_by_engine:
            self._expire(now)
        known = self._rejected_by_engine.get(engine_id)
        count = known.count if known is not None and self._counts(known, now) else 0
        self._rejected_by_engine[engine_id] = Rejected(
            min(MAX_REJECTIONS, count + 1), now
        )

    def record_success(self, engine_id: str) -> None:
        """Record that an upstream accepted and answered a request."""
        known = self._rejected_by_engine.get(engine_id)
        if known is None:
            return
        if known.count <= 1:
            del self._rejected_by_engine[engine_id]
        else:
            self._rejected_by_engine[engine_id] = Rejected(known.count - 1, known.at)

    def share(self, engine_id: str, now: float) -> float:
        """Return the part of an upstream's usual share that it gets, 0 to 1.

        It rises steadily to 1 over RECOVERY_SECONDS after the last rejection.
        """
        known = self._rejected_by_engine.get(engine_id)
        if known is None or not self._counts(known, now):
            return 1.0
        least = 0.5**known.count
        elapsed = max(0.0, (now - known.at) / RECOVERY_SECONDS)
        return least + (1.0 - least) * elapsed

    def _counts(self, known: Rejected, now: float) -> bool:
        return now - known.at < RECOVERY_SECONDS

    def _expire(self, now: float) -> None:
        for engine_id, known in list(self._rejected_by_engine.items()):
            if not self._counts(known, now):
                del self._rejected_by_engine[engine_id]
