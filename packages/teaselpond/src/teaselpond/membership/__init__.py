"""Know which daemons and upstream hosts there are."""

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
