"""Soak real gateways under seeded faults and judge what callers saw."""

from .soak import Soak, SoakPlan

__all__ = ["Soak", "SoakPlan"]
