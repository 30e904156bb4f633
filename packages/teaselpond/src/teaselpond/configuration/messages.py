"""Define the configuration messages that daemons exchange."""

from typing import Any

from attrs import frozen

from teaselpond_model.configuration import Outage


@frozen
class ConfigurationNotice:
    """Announce the version in force and the pending outages to peers.

    Both versions are 0 until the sender's configuration is confirmed.
    ``outages`` are those that no version contains yet.
    """

    version: int
    table_version: int
    outages: tuple[Outage, ...] = ()


@frozen
class ConfigurationRequest:
    """Request the entries that changed after a table version."""

    after_table_version: int


@frozen
class ChangedEntry:
    """Hold a table entry of a delta; a value of None means deleted."""

    key: str
    value: Any
    version: int


@frozen
class ConfigurationDelta:
    """Hold the entries, head included, that changed after a table version.

    ``table_version`` is the sender's, or 0 if its configuration is not
    confirmed.
    """

    after_table_version: int
    table_version: int
    entries: tuple[ChangedEntry, ...] = ()
    outages: tuple[Outage, ...] = ()
