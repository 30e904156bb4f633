"""Tell from the times of the store's answers when it was away."""

from attrs import define

# Readers ask at least every 1.5 s, so that some host's answer is newer than
# this while the store is up. An upstream's entry lapses after three of its
# writes, 1.2 s apart, have failed: no sooner than 2.4 s after the last answer.
OUTAGE_SECONDS = 2.0


@define
class StoreOutages:
    """Keep since when the store has answered without a longer gap.

    Answers to any host count, so that one whose own way to the store was
    cut does not take its return for the store's. Times are on the store's
    steady clock.
    """

    last_answer_at: float | None = None
    _answering_since: float | None = None
    _outage_started_at: float | None = None

    @property
    def returned_at(self) -> float | None:
        """Return when the store came back, None if it was not seen away."""
        return None if self._outage_started_at is None else self._answering_since

    def record_answer(self, answered_at: float) -> float | None:
        """Take when the store answered; return how long it had been away.

        Return None if it had not been.
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

    def record_peer_return(self, returned: float) -> None:
        """Take a peer's word of when the store came back.

        It counts only for the outage that this host saw too, or for one
        before the first answer that it heard of.
        """
        since, away_from = self._answering_since, self._outage_started_at
        if since is None or returned >= since:
            return
        if away_from is None or returned > away_from:
            self._answering_since = returned
            self._outage_started_at = returned if away_from is None else away_from
