"""Grant slots of the engines that this daemon owns, and ask other owners."""

from .broker import SlotBroker
from .fleet import build_profiles, build_settings
from .messages import CancelSlot, SlotAsk
from .pollers import EnginePollers

__all__ = [
    "CancelSlot",
    "EnginePollers",
    "SlotAsk",
    "SlotBroker",
    "build_profiles",
    "build_settings",
]
