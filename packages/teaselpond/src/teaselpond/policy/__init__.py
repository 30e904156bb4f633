"""Schedule requests on engines: ownership, admission, queueing and placement.

The package performs no I/O and reads no clock: callers pass the time in.
"""

from .directory import EngineDirectory, EngineLocation
from .dispatcher import Dispatcher
from .messages import (
    Decision,
    Grant,
    Handover,
    HeldGrants,
    LoadSum,
    Outcome,
    Queued,
    Redirect,
    Refusal,
    Release,
    RequestClass,
    SlotRequest,
)
from .ownership import owner_of
from .prefixes import select_prefixes
from .profiles import EngineProfile
from .reasons import ColdReason, RefusalReason, RetryReason
from .retries import RetryBudget, backoff
from .settings import PolicySettings

__all__ = [
    "ColdReason",
    "Decision",
    "Dispatcher",
    "EngineDirectory",
    "EngineLocation",
    "EngineProfile",
    "Grant",
    "Handover",
    "HeldGrants",
    "LoadSum",
    "Outcome",
    "PolicySettings",
    "Queued",
    "Redirect",
    "Refusal",
    "RefusalReason",
    "Release",
    "RequestClass",
    "RetryBudget",
    "RetryReason",
    "SlotRequest",
    "backoff",
    "owner_of",
    "select_prefixes",
]
