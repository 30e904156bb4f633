"""Measure the processor time and the memory that a gateway's start takes."""

from .start_cost import StartCost, StartCostPlan, StartCosts

__all__ = ["StartCost", "StartCostPlan", "StartCosts"]
