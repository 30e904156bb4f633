"""Detect that another daemon's lease has expired."""

from attrs import define, field, frozen

# Higher than any table version: marks a lease that can never be renewed.
ENDED_VERSION = 1 << 62


@frozen
class Observation:
    """Store the version of a record and when it was first read."""

    version: int
    first_seen_at: float


@define
class LeaseObserver:
    """Track how long each lease's record has been unchanged.

    Times are of the observer's own clock. Clocks of different hosts are not
    compared; only their rates are assumed to be within ``drift_ratio``.
    """

    drift_ratio: float
    _observations_by_key: dict[str, Observation] = field(factory=dict)

    def observe(self, key: str, version: int, now: float) -> None:
        """Record a version that was read; ``now`` is the time of the answer.

        Pass ENDED_VERSION for a lease that can never be renewed.
        """
        previous = self._observations_by_key.get(key)
        # An older version comes from a stale replica and is ignored.
        if previous is None or version > previous.version:
            self._observations_by_key[key] = Observation(version, now)

    def has_observed(self, key: str) -> bool:
        """Return whether a record has been observed."""
        return key in self._observations_by_key

    def has_expired(self, key: str, duration_seconds: float, now: float) -> bool:
        """Return whether a record has been unchanged for a duration.

        ``duration_seconds`` is in true time; the clock drift is added here.
        """
        previous = self._observations_by_key.get(key)
        return (
            previous is not None
            and now - previous.first_seen_at
            >= duration_seconds * (1 + self.drift_ratio)
        )

    def remove(self, key: str) -> None:
        """Stop tracking a record."""
        self._observations_by_key.pop(key, None)
