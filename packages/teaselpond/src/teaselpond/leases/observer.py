"""Judge from outside whether another daemon's lease has lapsed."""

from attrs import define, field, frozen

ENDED_VERSION = 1 << 62


@frozen
class Sighting:
    """Hold the version of a record, and when it was first read."""

    version: int
    since: float


@define
class LeaseWatch:
    """Remember since when each lease's record hasn't changed.

    The time is the watcher's own: clocks are not compared, only their
    rates are bounded by ``drift_ratio``.
    """

    drift_ratio: float
    _sightings_by_key: dict[str, Sighting] = field(factory=dict)

    def observe(self, key: str, version: int, now: float) -> None:
        """Note a record's version; ``now`` is the time of the answer.

        A record that has ended for good has ENDED_VERSION.
        """
        known = self._sightings_by_key.get(key)
        # An older version comes from a stale copy, and proves nothing.
        if known is None or version > known.version:
            self._sightings_by_key[key] = Sighting(version, now)

    def is_watched(self, key: str) -> bool:
        """Tell whether a record was observed before."""
        return key in self._sightings_by_key

    def has_lapsed(self, key: str, seconds: float, now: float) -> bool:
        """Tell whether a record is unchanged for some seconds of true time."""
        known = self._sightings_by_key.get(key)
        return known is not None and now - known.since >= seconds * (
            1 + self.drift_ratio
        )

    def forget(self, key: str) -> None:
        """Drop a record that is no longer of interest."""
        self._sightings_by_key.pop(key, None)
