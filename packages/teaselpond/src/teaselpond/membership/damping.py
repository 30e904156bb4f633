"""Suppress hosts that join and leave too often.

Each change adds a penalty that decays exponentially, as in RFC 2439.
"""

from attrs import define, field, frozen


@frozen
class DampingSettings:
    """Configure the thresholds and the decay of penalties.

    Each change adds a penalty of 1. A host is suppressed when its penalty
    exceeds ``suppress_above``, until it falls below ``reuse_below``. Below
    ``forget_below`` the penalty is removed.
    """

    suppress_above: float = 3.0
    reuse_below: float = 1.0
    forget_below: float = 0.1
    penalty_limit: float = 8.0
    half_life_seconds: float = 20.0


@define
class _Penalty:
    value: float = 0.0
    updated_at: float = 0.0
    is_suppressed: bool = False


@define
class FlapDamping:
    """Track the penalty of each host that joined or left recently."""

    settings: DampingSettings = field(factory=DampingSettings)
    _penalties_by_id: dict[str, _Penalty] = field(factory=dict)

    def record_change(self, host_id: str, now: float) -> None:
        """Add a penalty because a host joined or left."""
        penalty = self._penalties_by_id.setdefault(host_id, _Penalty(0.0, now))
        value = self._decayed(penalty, now) + 1.0
        penalty.value = min(value, self.settings.penalty_limit)
        penalty.updated_at = now
        if penalty.value > self.settings.suppress_above:
            penalty.is_suppressed = True

    def is_suppressed(self, host_id: str, now: float) -> bool:
        """Return whether a host has joined and left too often recently."""
        penalty = self._penalties_by_id.get(host_id)
        if penalty is None:
            return False
        value = self._decayed(penalty, now)
        if value < self.settings.reuse_below:
            penalty.is_suppressed = False
        if value < self.settings.forget_below:
            del self._penalties_by_id[host_id]
        return penalty.is_suppressed

    def suppressed_ids(self, now: float) -> frozenset[str]:
        """Return the ids of the hosts that are suppressed."""
        ids = list(self._penalties_by_id)
        return frozenset(each for each in ids if self.is_suppressed(each, now))

    def _decayed(self, penalty: _Penalty, now: float) -> float:
        halvings = (now - penalty.updated_at) / self.settings.half_life_seconds
        return penalty.value * 0.5**halvings
