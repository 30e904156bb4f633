"""Measure chat delivery: rolling restarts and the cost of the relay."""

from .relay_cost import RelayCost, RelayCostPlan
from .rolling_restart import RollingRestart, RollingRestartPlan

__all__ = ["RelayCost", "RelayCostPlan", "RollingRestart", "RollingRestartPlan"]
