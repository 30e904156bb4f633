"""Tell whether the holder of a job may still be at work."""

from ..membership import DaemonState
from .fleet_follower import FleetFollower

NOT_RUNNING_STATES = (DaemonState.GONE, DaemonState.LISTED)


def holder_name(daemon_id: str, incarnation: int) -> str:
    """Return the name by which one run of a daemon holds jobs."""
    return f"{daemon_id}/{incarnation}"


class MemberLiveness:
    """Judge holders by the membership; a wrong guess runs a job twice.

    Jobs bear that: only one result is kept.
    """

    def __init__(self, fleet: FleetFollower) -> None:
        self._fleet = fleet

    def is_alive(self, daemon: str) -> bool:
        """Tell whether a daemon's incarnation may still be at work."""
        daemon_id, _, incarnation = daemon.partition("/")
        member = self._fleet.membership.daemons_by_id.get(daemon_id)
        if member is None or member.state in NOT_RUNNING_STATES:
            return False
        return str(member.incarnation) == incarnation
