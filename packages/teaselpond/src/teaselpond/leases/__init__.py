"""Hold this daemon's lease, and judge those of others."""

from .lease import Lease, LeaseSettings
from .manager import LeaseManager
from .observer import ENDED_VERSION, LeaseWatch
from .records import LEASE_PREFIX, LeaseRecord, fence_of, lease_key

__all__ = [
    "ENDED_VERSION",
    "LEASE_PREFIX",
    "Lease",
    "LeaseManager",
    "LeaseRecord",
    "LeaseSettings",
    "LeaseWatch",
    "fence_of",
    "lease_key",
]
