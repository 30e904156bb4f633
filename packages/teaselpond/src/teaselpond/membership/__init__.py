"""Track the daemons and the upstream hosts of the fleet."""

from .members import (
    Daemon,
    DaemonState,
    Membership,
    Upstream,
    UpstreamState,
)
from .service import MembershipService, MembershipSettings

__all__ = [
    "Daemon",
    "DaemonState",
    "Membership",
    "MembershipService",
    "MembershipSettings",
    "Upstream",
    "UpstreamState",
]
