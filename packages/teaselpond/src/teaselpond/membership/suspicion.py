"""Decide from lost links which daemons to suspect and to declare gone."""

from attrs import define, field, frozen


@frozen
class SuspicionSettings:
    """Configure the timeouts of suspicions.

    A neighbour becomes suspect ``suspect_after_seconds`` after its last link
    was lost, and gone if it does not refute the suspicion within
    ``refute_timeout_seconds``. Each refutation doubles the time until this
    daemon suspects it again, up to ``suspect_after_limit_seconds``.
    """

    suspect_after_seconds: float = 1.0
    suspect_after_limit_seconds: float = 60.0
    refute_timeout_seconds: float = 3.0


@define
class _LostLink:
    lost_at: float
    wait_seconds: float


@define
class SuspicionTimers:
    """Track when links were lost and when suspicions were raised."""

    settings: SuspicionSettings = field(factory=SuspicionSettings)
    _lost_links_by_id: dict[str, _LostLink] = field(factory=dict)
    _suspected_at_by_id: dict[str, float] = field(factory=dict)

    def record_link_up(self, daemon_id: str) -> None:
        """Record that a link to a daemon is up."""
        self._lost_links_by_id.pop(daemon_id, None)

    def record_link_down(self, daemon_id: str, now: float) -> None:
        """Record that the last link to a daemon was lost."""
        self._lost_links_by_id.setdefault(
            daemon_id, _LostLink(now, self.settings.suspect_after_seconds)
        )

    def record_suspicion(self, daemon_id: str, now: float) -> None:
        """Record that this or another daemon suspects a daemon."""
        self._suspected_at_by_id.setdefault(daemon_id, now)

    def record_refutation(self, daemon_id: str, now: float) -> None:
        """Record that a suspected daemon refuted the suspicion."""
        if self._suspected_at_by_id.pop(daemon_id, None) is None:
            return
        lost_link = self._lost_links_by_id.get(daemon_id)
        if lost_link is not None:
            # Other daemons reach it; only this one does not.
            lost_link.lost_at = now
            lost_link.wait_seconds = min(
                2 * lost_link.wait_seconds, self.settings.suspect_after_limit_seconds
            )

    def remove(self, daemon_id: str) -> None:
        """Remove all timers of a daemon."""
        self._lost_links_by_id.pop(daemon_id, None)
        self._suspected_at_by_id.pop(daemon_id, None)

    def suspects_due(self, now: float) -> tuple[str, ...]:
        """Return the unreachable daemons that should be suspected now."""
        return tuple(
            daemon_id
            for daemon_id, lost_link in self._lost_links_by_id.items()
            if now - lost_link.lost_at >= lost_link.wait_seconds
        )

    def expired_suspects(self, now: float) -> tuple[str, ...]:
        """Return the daemons that did not refute a suspicion in time."""
        return tuple(
            daemon_id
            for daemon_id, suspected_at in self._suspected_at_by_id.items()
            if now - suspected_at >= self.settings.refute_timeout_seconds
        )
