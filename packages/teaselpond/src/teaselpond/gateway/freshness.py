"""Compute how old the state confirmed by the store is on this host."""

from attrs import define


@define
class Freshness:
    """Convert times of the store's monotonic clock to this host's boot clock.

    The store made an answer between the sending of the request and the
    receipt of the answer, which bounds the offset of the clocks. The lower
    bound is kept, so the state is never considered newer than it is.
    """

    _offset: float | None = None
    confirmed_store_seconds: float | None = None
    _confirmed_before: float | None = None

    def start_era(self) -> None:
        """Forget the store's clock, which may differ after a restore.

        What was confirmed before keeps its age.
        """
        confirmed = self.confirmed_store_seconds
        if confirmed is not None:
            self._confirmed_before = self.local_time(confirmed)
        self._offset = self.confirmed_store_seconds = None

    def update_offset(self, asked_at: float, store_seconds: float) -> None:
        """Improve the clock offset by an answer of the store.

        ``asked_at`` is when the request was sent, on the boot clock, and
        ``store_seconds`` the time of the answer on the store's clock.
        """
        offset = asked_at - store_seconds
        if self._offset is None or offset > self._offset:
            self._offset = offset

    def confirm(self, store_seconds: float) -> None:
        """Record that the state was current at a time of the store."""
        known = self.confirmed_store_seconds
        if known is None or store_seconds > known:
            self.confirmed_store_seconds = store_seconds

    def local_time(self, store_seconds: float) -> float | None:
        """Convert a time of the store; None before its first answer."""
        return None if self._offset is None else self._offset + store_seconds

    def age(self, now: float) -> float | None:
        """Return the state's maximum age; None before it is confirmed."""
        confirmed_at = self._confirmed_before
        if self._offset is not None and self.confirmed_store_seconds is not None:
            confirmed_at = self._offset + self.confirmed_store_seconds
        return None if confirmed_at is None else now - confirmed_at
