"""Detect outages of the store from the times of its answers."""

from attrs import define

# Readers ask at least every 1.5 s, so some host's last answer is newer than
# this while the store is up. An upstream's entry expires after three failed
# writes 1.2 s apart, which is at least 2.4 s after the store's last answer.
OUTAGE_SECONDS = 2.0


@define
class StoreOutages:
    """Track when the last outage of the store started and ended.

    Answers to any host count. Otherwise a host that had lost only its own
    connection would take its reconnection for the end of an outage. Times
    are on the store's monotonic clock.
    """

    last_answer_at: float | None = None
    _answering_since: float | None = None
    _outage_started_at: float | None = None

    @property
    def returned_at(self) -> float | None:
        """Return when the last outage ended; None if none was observed."""
        return None if self._outage_started_at is None else self._answering_since

    def record_answer(self, answered_at: float) -> float | None:
        """Record an answer of the store; return how long an outage lasted.

        Return None if this answer does not end an outage.
        """
        previous = self.last_answer_at
        if previous is None:
            self.last_answer_at = self._answering_since = answered_at
            return None
        if answered_at <= previous:
            return None
        self.last_answer_at = answered_at
        if answered_at - previous < OUTAGE_SECONDS:
            return None
        self._outage_started_at, self._answering_since = previous, answered_at
        return answered_at - previous

    def record_restore(self, answered_at: float) -> None:
        """Record the first answer of a store that returned from a copy.

        Its clock may differ from that of before.
        """
        self._outage_started_at = self._answering_since = answered_at
        self.last_answer_at = answered_at

    def record_peer_return(self, peer_returned_at: float) -> None:
        """Record when an outage ended according to a peer.

        This counts only for the outage that this host observed too, or for
        one before the first answer that this host knows of.
        """
        since, started_at = self._answering_since, self._outage_started_at
        if since is None or peer_returned_at >= since:
            return
        if started_at is None or peer_returned_at > started_at:
            self._answering_since = peer_returned_at
            self._outage_started_at = (
                peer_returned_at if started_at is None else started_at
            )
