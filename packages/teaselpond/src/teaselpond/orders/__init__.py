"""Reconcile engines with the state that the configuration sets for them."""

from .claims import ClaimPending, EngineClaims
from .desired_states import DesiredState, desired_states_by_engine, next_order
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
    "desired_states_by_engine",
]
