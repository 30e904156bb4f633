"""Hold this daemon's lease, and judge those of others."""

from .keeper import LeaseManager
from .lease import Lease, LeaseSettings
from .records import LEASE_PREFIX, LeaseRecord, fence_of, lease_key
from .watch import ENDED_VERSION, LeaseWatch

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
