"""Describe what a row of the store says, whatever its form there."""

from attrs import frozen

from .configuration import Configuration
from .engines import Engine


@frozen
class ConfigurationWritten:
    """Report a configuration."""

    configuration: Configuration


@frozen
class ZoneEvacuated:
    """Report that nothing more may be sent to a zone's upstreams."""

    availability_zone: str


@frozen
class ZoneReturned:
    """Report that a zone's upstreams may be used again."""

    availability_zone: str


@frozen
class EngineListed:
    """Report an upstream's entry."""

    engine: Engine


@frozen
class EngineMissing:
    """Report that an upstream has no entry any more."""

    engine_id: str


@frozen
class EntryUnreadable:
    """Report an entry that names nothing to use, and why."""

    key: str
    reason: str


@frozen
class EntryIgnored:
    """Report an entry that concerns something else."""

    key: str


Change = (
    ConfigurationWritten
    | ZoneEvacuated
    | ZoneReturned
    | EngineListed
    | EngineMissing
    | EntryUnreadable
    | EntryIgnored
)
