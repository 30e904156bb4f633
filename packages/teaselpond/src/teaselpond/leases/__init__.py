"""Maintain this daemon's lease and detect expired leases of others."""

from .lease import Lease, LeaseSettings
from .manager import LeaseManager
from .observer import ENDED_VERSION, LeaseObserver
from .records import LEASE_PREFIX, LeaseRecord, lease_key, stored_fence

__all__ = [
    "ENDED_VERSION",
    "LEASE_PREFIX",
    "Lease",
    "LeaseManager",
    "LeaseRecord",
    "LeaseSettings",
    "LeaseObserver",
    "stored_fence",
    "lease_key",
]
