"""Build the parts of a daemon and connect them to each other."""

from .configuration_links import LinkedConfiguration
from .fleet_follower import FleetFollower
from .liveness import MemberLiveness
from .locator import Locator
from .quarantine_links import LinkedQuarantine

__all__ = [
    "FleetFollower",
    "LinkedConfiguration",
    "LinkedQuarantine",
    "Locator",
    "MemberLiveness",
]
