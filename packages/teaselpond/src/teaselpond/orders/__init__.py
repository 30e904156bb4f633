"""Order engines to run what the configuration wishes."""

from .claims import ClaimPending, EngineClaims
from .desired_states import DesiredState, next_order, wishes_by_engine
from .fleet import EngineApi, EngineFleet
from .reconciler import EngineReconciler

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
