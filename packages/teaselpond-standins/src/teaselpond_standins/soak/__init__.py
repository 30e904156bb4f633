"""Run gateways under seeded faults, and check what callers received."""

from .soak import Soak, SoakPlan

__all__ = ["Soak", "SoakPlan"]
