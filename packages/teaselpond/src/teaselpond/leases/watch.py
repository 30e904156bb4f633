"""Judge from outside whether another daemon's lease has lapsed."""

from attrs import define, field, frozen

from teaselpond_model.contracts import TableEntry

from .records import LeaseRecord


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

    def observe(self, key: str, entry: TableEntry | None, now: float) -> None:
        """Note a record that was read; ``now`` is the time of the answer."""
        version = 0 if entry is None else entry.version
        known = self._sightings_by_key.get(key)
        # An older version comes from a stale copy, and proves nothing.
        if known is None or version > known.version or (version == 0 != known.version):
            self._sightings_by_key[key] = Sighting(version, now)

    def unchanged_seconds(self, key: str, now: float) -> float:
        """Return for how long a record is known not to have changed."""
        known = self._sightings_by_key.get(key)
        return 0.0 if known is None else max(now - known.since, 0.0)

    def has_lapsed(
        self, key: str, entry: TableEntry | None, duration_seconds: float, now: float
    ) -> bool:
        """Tell whether a lease that was watched has lapsed.

        ``duration_seconds`` counts for a record that is gone.
        """
        if entry is not None:
            duration_seconds = LeaseRecord.from_value(entry.value).duration_seconds
        wait = duration_seconds * (1 + self.drift_ratio)
        return self.unchanged_seconds(key, now) >= wait

    def forget(self, key: str) -> None:
        """Drop a record that is no longer of interest."""
        self._sightings_by_key.pop(key, None)
