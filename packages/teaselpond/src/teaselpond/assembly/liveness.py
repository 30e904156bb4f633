"""Check whether the holder of a job may still be running."""

from ..membership import DaemonState
from .fleet_follower import FleetFollower

NOT_RUNNING_STATES = (DaemonState.GONE, DaemonState.LISTED)


def holder_name(daemon_id: str, incarnation: int) -> str:
    """Return the name under which a daemon's incarnation holds jobs."""
    return f"{daemon_id}/{incarnation}"


class MemberLiveness:
    """Use the membership to check whether the holders of jobs are alive.

    A holder that is wrongly reported as dead makes a job run twice. That is
    safe, because only one result is stored.
    """

    def __init__(self, fleet: FleetFollower) -> None:
        self._fleet = fleet

    def is_alive(self, daemon: str) -> bool:
        """Return whether a holder, as named by holder_name, may be running."""
        daemon_id, _, incarnation = daemon.partition("/")
        member = self._fleet.membership.daemons_by_id.get(daemon_id)
        if member is None or member.state in NOT_RUNNING_STATES:
            return False
        return str(member.incarnation) == incarnation
