"""Order engines to run what the configuration wishes."""

from .claims import ClaimPending, EngineClaims
from .fleet import EngineApi, EngineFleet
from .keeper import EngineReconciler
from .wishes import EngineWish, next_order, wishes_by_engine

__all__ = [
    "ClaimPending",
    "EngineClaims",
    "EngineFleet",
    "EngineApi",
    "EngineWish",
    "EngineReconciler",
    "next_order",
    "wishes_by_engine",
]
