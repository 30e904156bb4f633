"""Decide from lost links which daemons to suspect, and which are gone."""

from attrs import define, field, frozen


@frozen
class SuspicionSettings:
    """Set the waits in seconds.

    A neighbour is suspected ``relink_seconds`` after its last link was lost,
    and gone ``answer_seconds`` after that unless it answers. Each answered
    suspicion doubles the wait before this daemon's next one.
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
    """Hold how long each neighbour is lost and each suspicion stands."""

    settings: SuspicionSettings = field(factory=SuspicionSettings)
    _lost_links_by_id: dict[str, _LostLink] = field(factory=dict)
    _suspected_at_by_id: dict[str, float] = field(factory=dict)

    def record_link_up(self, daemon_id: str) -> None:
        """Note that a link to a daemon is up."""
        self._lost_links_by_id.pop(daemon_id, None)

    def record_link_down(self, daemon_id: str, now: float) -> None:
        """Note that the last link to a daemon was lost."""
        self._lost_links_by_id.setdefault(
            daemon_id, _LostLink(now, self.settings.suspect_after_seconds)
        )

    def record_suspicion(self, daemon_id: str, now: float) -> None:
        """Note that someone suspects a daemon."""
        self._suspected_at_by_id.setdefault(daemon_id, now)

    def record_refutation(self, daemon_id: str, now: float) -> None:
        """Note that a suspected daemon answered for itself."""
        if self._suspected_at_by_id.pop(daemon_id, None) is None:
            return
        lost_link = self._lost_links_by_id.get(daemon_id)
        if lost_link is not None:
            # Others reach it; this daemon alone does not.
            lost_link.lost_at = now
            lost_link.wait_seconds = min(
                2 * lost_link.wait_seconds, self.settings.suspect_after_limit_seconds
            )

    def remove(self, daemon_id: str) -> None:
        """Forget a daemon that left."""
        self._lost_links_by_id.pop(daemon_id, None)
        self._suspected_at_by_id.pop(daemon_id, None)

    def suspects_due(self, now: float) -> tuple[str, ...]:
        """Return the lost daemons that should be suspected now."""
        return tuple(
            daemon_id
            for daemon_id, lost_link in self._lost_links_by_id.items()
            if now - lost_link.lost_at >= lost_link.wait_seconds
        )

    def expired_suspects(self, now: float) -> tuple[str, ...]:
        """Return the suspected daemons that did not answer in time."""
        return tuple(
            daemon_id
            for daemon_id, suspected_at in self._suspected_at_by_id.items()
            if now - suspected_at >= self.settings.refute_timeout_seconds
        )
