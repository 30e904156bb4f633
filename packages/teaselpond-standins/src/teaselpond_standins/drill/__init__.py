"""Run a real fleet under seeded faults and check what it promises."""

from .drill import Drill, DrillPlan
from .verdicts import Verdict

__all__ = ["Drill", "DrillPlan", "Verdict"]
