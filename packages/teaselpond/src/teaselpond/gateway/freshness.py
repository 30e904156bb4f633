"""Tell how old the last word of the store is, on this host's own clock."""

from attrs import define


@define
class Freshness:
    """Map the store's steady clock to the boot clock of this host.

    An answer of the store was made between the sending of its question and
    its receipt, so its place on this host's clock is known within bounds. The
    earlier bound is kept: a belief is never taken to be newer than it is.
    """

    _offset: float | None = None
    confirmed_store_seconds: float | None = None

    def update_offset(self, asked_at: float, store_seconds: float) -> None:
        """Take an answer that the store made at its own time."""
        offset = asked_at - store_seconds
        if self._offset is None or offset > self._offset:
            self._offset = offset

    def confirm(self, store_seconds: float) -> None:
        """Take that the beliefs were the store's at that time of the store."""
        known = self.confirmed_store_seconds
        if known is None or store_seconds > known:
            self.confirmed_store_seconds = store_seconds

    def local_time(self, store_seconds: float) -> float | None:
        """Return when, on this host's clock, the store's showed a time."""
        return None if self._offset is None else self._offset + store_seconds

    def age(self, now: float) -> float | None:
        """Return how old the beliefs are at most; None before the first."""
        if self._offset is None or self.confirmed_store_seconds is None:
            return None
        return now - (self._offset + self.confirmed_store_seconds)
