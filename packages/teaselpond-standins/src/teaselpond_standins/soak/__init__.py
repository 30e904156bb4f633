"""Soak real gateways under seeded faults and check what callers saw."""

from .soak import Soak, SoakPlan

__all__ = ["Soak", "SoakPlan"]
