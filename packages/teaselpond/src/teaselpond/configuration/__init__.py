"""Replicate the accepted configuration to this daemon and apply it."""

from .in_force import ConfigurationInForce
from .keeper import ConfigurationKeeper, KeeperSettings
from .links import ConfigurationLinks, NoLinks
from .messages import ConfigurationDelta, ConfigurationNotice, ConfigurationRequest
from .outages import parse_outage

__all__ = [
    "ConfigurationDelta",
    "ConfigurationInForce",
    "ConfigurationKeeper",
    "ConfigurationLinks",
    "ConfigurationNotice",
    "ConfigurationRequest",
    "KeeperSettings",
    "NoLinks",
    "parse_outage",
]
