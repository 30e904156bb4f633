"""Order engines to run what the configuration wishes."""

from .claims import ClaimPending, EngineClaims
from .fleet import EngineApi, EngineFleet
from .keeper import EngineReconciler
from .wishes import DesiredState, next_order, wishes_by_engine

__all__ = [
    "ClaimPending",
    "EngineClaims",
    "EngineFleet",
    "EngineApi",
    "DesiredState",
    "EngineReconciler",
    "next_order",
    "wishes_by_engine",
]
