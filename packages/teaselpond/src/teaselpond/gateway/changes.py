"""Define the changes that rows of the store are decoded to."""

from attrs import frozen

from .configuration import Configuration
from .engines import Engine
from .rollouts.orders import RolloutOrder


@frozen
class ConfigurationWritten:
    """Report that the operator wrote a configuration."""

    configuration: Configuration


@frozen
class ZoneEvacuated:
    """Report that a zone's upstreams must get no new requests."""

    availability_zone: str


@frozen
class ZoneReturned:
    """Report that a zone's upstreams may be used again."""

    availability_zone: str


@frozen
class EngineListed:
    """Report an upstream's current entry."""

    engine: Engine


@frozen
class EngineMissing:
    """Report that an upstream's entry was removed."""

    engine_id: str


@frozen
class RolloutOrdered:
    """Report that the operator ordered a roll-out."""

    order: RolloutOrder


@frozen
class RolloutWithdrawn:
    """Report that the order of a service's roll-out is gone."""

    service: str


@frozen
class EntryUnreadable:
    """Report an entry that cannot be decoded, and the reason."""

    key: str
    reason: str


@frozen
class EntryIgnored:
    """Report an entry that does not concern the gateway."""

    key: str


Change = (
    ConfigurationWritten
    | ZoneEvacuated
    | ZoneReturned
    | EngineListed
    | EngineMissing
    | RolloutOrdered
    | RolloutWithdrawn
    | EntryUnreadable
    | EntryIgnored
)
