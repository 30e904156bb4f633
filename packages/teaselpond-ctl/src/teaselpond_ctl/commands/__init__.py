"""Define the commands of teaselpondctl, one class a module."""

from .config import ConfigCommand
from .counters import CountersCommand
from .explain_placement import ExplainPlacementCommand
from .host import HostCommand
from .locate import LocateCommand
from .quarantine import QuarantineCommand
from .rollout import RolloutCommand
from .status import StatusCommand
from .trace import TraceCommand
from .why import WhyCommand
from .zone import ZoneCommand

__all__ = [
    "ConfigCommand",
    "CountersCommand",
    "ExplainPlacementCommand",
    "HostCommand",
    "LocateCommand",
    "QuarantineCommand",
    "RolloutCommand",
    "StatusCommand",
    "TraceCommand",
    "WhyCommand",
    "ZoneCommand",
]
