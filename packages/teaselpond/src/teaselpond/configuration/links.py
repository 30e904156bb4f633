"""Define the interface for configuration messages to peers."""

from typing import Protocol

from .messages import ConfigurationDelta, ConfigurationNotice, ConfigurationRequest


class ConfigurationLinks(Protocol):
    """Exchange configuration messages with the linked daemons."""

    def peer_ids(self) -> tuple[str, ...]:
        """Return the ids of the linked daemons."""

    def announce(self, notice: ConfigurationNotice) -> None:
        """Send a notice to every linked daemon, without waiting."""

    async def pull(
        self, peer_id: str, request: ConfigurationRequest
    ) -> ConfigurationDelta:
        """Request a delta from a peer; raise TeaselpondError on failure."""


class NoLinks:
    """Implement ConfigurationLinks for a daemon without peers."""

    def peer_ids(self) -> tuple[str, ...]:
        """Return an empty tuple."""
        return ()

    def announce(self, notice: ConfigurationNotice) -> None:
        """Do nothing."""

    async def pull(
        self, peer_id: str, request: ConfigurationRequest
    ) -> ConfigurationDelta:
        """Return an empty delta."""
        return ConfigurationDelta(request.after_table_version, 0)
