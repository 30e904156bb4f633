"""Run a fleet as processes on loopback, for demos and drills."""

from .caller import Answer, Caller, CallFailed
from .document import FleetPlan, fleet_document
from .fleet import Fleet
from .process import ManagedProcess

__all__ = [
    "Answer",
    "CallFailed",
    "Caller",
    "Fleet",
    "FleetPlan",
    "ManagedProcess",
    "fleet_document",
]
