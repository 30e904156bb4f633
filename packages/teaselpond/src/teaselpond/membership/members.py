"""Describe the daemons and upstream hosts that this daemon knows of."""

import enum
from collections.abc import Mapping, Set
from types import MappingProxyType

from attrs import evolve, field, frozen

from teaselpond_model.contracts import Address, HostKind


class DaemonState(enum.Enum):
    """Name what is known of a daemon.

    A listed daemon has not been heard of yet. A suspect one was lost by a
    neighbour and may still answer for itself. A leaving one takes no new
    work. A gone one is kept only while the platform still lists it.
    """

    LISTED = "listed"
    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    GONE = "gone"


class UpstreamState(enum.Enum):
    """Name what is known of an upstream host.

    A flapping one joined and left too often of late.
    """

    LIVE = "live"
    LEAVING = "leaving"
    FLAPPING = "flapping"


@frozen
class Daemon:
    """Describe one daemon: where other daemons and where callers reach it."""

    daemon_id: str
    incarnation: int
    zone: str
    address: Address
    caller_address: Address
    state: DaemonState

    @property
    def is_usable(self) -> bool:
        """Tell whether the daemon may own engines and take new work."""
        return self.state in (DaemonState.ALIVE, DaemonState.SUSPECT)


@frozen
class Upstream:
    """Describe one engine's or service's host."""

    host_id: str
    kind: HostKind
    zone: str
    address: Address
    state: UpstreamState


def _freeze(by_id: Mapping) -> Mapping:
    return MappingProxyType(dict(by_id))


@frozen
class Membership:
    """Hold what one daemon knows at one time; ``version`` grows by one."""

    daemons_by_id: Mapping[str, Daemon] = field(factory=dict, converter=_freeze)
    upstreams_by_id: Mapping[str, Upstream] = field(factory=dict, converter=_freeze)
    version: int = 0

    def without(self, daemon_ids: Set[str]) -> "Membership":
        """Return a membership that lacks some daemons."""
        kept = {
            daemon_id: daemon
            for daemon_id, daemon in self.daemons_by_id.items()
            if daemon_id not in daemon_ids
        }
        return evolve(self, daemons_by_id=kept)

    def usable_daemons(self) -> tuple[Daemon, ...]:
        """Return the daemons that may own engines and take new work."""
        return tuple(each for each in self.daemons_by_id.values() if each.is_usable)
