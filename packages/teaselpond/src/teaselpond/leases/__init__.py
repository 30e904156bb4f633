"""Hold this daemon's lease, and judge those of others."""

from .keeper import LeaseKeeper
from .lease import Lease, LeaseSettings
from .records import LEASE_PREFIX, LeaseRecord, lease_key
from .watch import LeaseWatch

__all__ = [
    "LEASE_PREFIX",
    "Lease",
    "LeaseKeeper",
    "LeaseRecord",
    "LeaseSettings",
    "LeaseWatch",
    "lease_key",
]
