"""Grant slots of owned engines, and request slots from other owners."""

from .broker import SlotBroker
from .fleet import SMALL_FLEET_DAEMONS, build_policy_settings, build_profiles
from .messages import AcquireSlot, CancelSlot
from .pollers import EnginePollers

__all__ = [
    "SMALL_FLEET_DAEMONS",
    "CancelSlot",
    "EnginePollers",
    "AcquireSlot",
    "SlotBroker",
    "build_profiles",
    "build_policy_settings",
]
