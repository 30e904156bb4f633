"""Define the daemons and upstream hosts that this daemon knows."""

import enum
from collections.abc import Mapping, Set
from types import MappingProxyType

from attrs import evolve, field, frozen

from teaselpond_model.contracts import Address, HostKind


class DaemonState(enum.Enum):
    """Define the states of a daemon.

    LISTED: the platform lists it, but no record of it was received.
    SUSPECT: a neighbour lost its link to it; it may still refute this.
    LEAVING: it takes no new work.
    GONE: it has stopped; kept only while the platform still lists it.
    """

    LISTED = "listed"
    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    GONE = "gone"


class UpstreamState(enum.Enum):
    """Define the states of an upstream host.

    FLAPPING: it joined and left too often recently.
    """

    LIVE = "live"
    LEAVING = "leaving"
    FLAPPING = "flapping"


@frozen
class Daemon:
    """Describe a daemon.

    Other daemons connect to ``address``, callers to ``caller_address``.
    """

    daemon_id: str
    incarnation: int
    zone: str
    address: Address
    caller_address: Address
    state: DaemonState

    @property
    def is_usable(self) -> bool:
        """Return whether the daemon may own engines and take new work."""
        return self.state in (DaemonState.ALIVE, DaemonState.SUSPECT)


@frozen
class Upstream:
    """Describe the host of an engine or a service."""

    host_id: str
    kind: HostKind
    zone: str
    address: Address
    state: UpstreamState


def _freeze(by_id: Mapping) -> Mapping:
    return MappingProxyType(dict(by_id))


@frozen
class Membership:
    """Hold a snapshot of the members that one daemon knows.

    ``version`` increases by one with each change.
    """

    daemons_by_id: Mapping[str, Daemon] = field(factory=dict, converter=_freeze)
    upstreams_by_id: Mapping[str, Upstream] = field(factory=dict, converter=_freeze)
    version: int = 0

    def without(self, daemon_ids: Set[str]) -> "Membership":
        """Return a copy without the given daemons."""
        kept = {
            daemon_id: daemon
            for daemon_id, daemon in self.daemons_by_id.items()
            if daemon_id not in daemon_ids
        }
        return evolve(self, daemons_by_id=kept)

    def usable_daemons(self) -> tuple[Daemon, ...]:
        """Return the daemons that may own engines and take new work."""
        return tuple(each for each in self.daemons_by_id.values() if each.is_usable)
