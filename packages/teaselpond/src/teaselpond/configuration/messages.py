"""Define what daemons tell each other about the configuration."""

from typing import Any

from attrs import frozen

from teaselpond_model.configuration import Outage


@frozen
class ConfigurationNotice:
    """Tell a peer which version is in force here, and which orders.

    ``outages`` are the orders that no version holds yet.
    """

    version: int
    table_version: int
    outages: tuple[Outage, ...] = ()


@frozen
class ConfigurationRequest:
    """Ask a peer for what changed after a table version."""

    after_table_version: int


@frozen
class ChangedEntry:
    """Hold one table entry of a delta; a value of None marks a deletion."""

    key: str
    value: Any
    version: int


@frozen
class ConfigurationDelta:
    """Hold the head and all that changed after a table version.

    ``table_version`` is the sender's, 0 when it has no configuration.
    """

    after_table_version: int
    table_version: int
    entries: tuple[ChangedEntry, ...] = ()
    outages: tuple[Outage, ...] = ()
