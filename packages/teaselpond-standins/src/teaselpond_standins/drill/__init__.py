"""Soak a real fleet under seeded faults and judge its promises."""

from .drill import Drill, DrillPlan
from .verdicts import Verdict

__all__ = ["Drill", "DrillPlan", "Verdict"]
