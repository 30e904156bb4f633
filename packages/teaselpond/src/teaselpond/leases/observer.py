"""Judge from outside whether another daemon's lease has lapsed."""

from attrs import define, field, frozen

ENDED_VERSION = 1 << 62


@frozen
class Observation:
    """Hold the version of a record, and when it was first read."""

    version: int
    first_seen_at: float


@define
class LeaseObserver:
    """Remember since when each lease's record hasn't changed.

    The time is the watcher's own: clocks are not compared, only their
    rates are bounded by ``drift_ratio``.
    """

    drift_ratio: float
    _observations_by_key: dict[str, Observation] = field(factory=dict)

    def observe(self, key: str, version: int, now: float) -> None:
        """Note a record's version; ``now`` is the time of the answer.

        A record that has ended for good has ENDED_VERSION.
        """
        previous = self._observations_by_key.get(key)
        # An older version comes from a stale copy, and proves nothing.
        if previous is None or version > previous.version:
            self._observations_by_key[key] = Observation(version, now)

    def has_observed(self, key: str) -> bool:
        """Tell whether a record was observed before."""
        return key in self._observations_by_key

    def has_expired(self, key: str, duration_seconds: float, now: float) -> bool:
        """Tell whether a record is unchanged for some seconds of true time."""
        previous = self._observations_by_key.get(key)
        return (
            previous is not None
            and now - previous.first_seen_at
            >= duration_seconds * (1 + self.drift_ratio)
        )

    def remove(self, key: str) -> None:
        """Drop a record that is no longer of interest."""
        self._observations_by_key.pop(key, None)
