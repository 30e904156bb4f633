"""Measure the delivery of chats: rolling restarts and the relay's cost."""

from .relay_cost import RelayCost, RelayCostPlan
from .rolling_restart import RollingRestart, RollingRestartPlan

__all__ = ["RelayCost", "RelayCostPlan", "RollingRestart", "RollingRestartPlan"]
