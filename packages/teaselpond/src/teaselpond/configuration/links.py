"""Describe how the configuration reaches this daemon's peers."""

from typing import Protocol

from .messages import ConfigurationDelta, ConfigurationNotice, ConfigurationRequest


class ConfigurationLinks(Protocol):
    """Carry configuration messages to the daemons that are linked."""

    def peer_ids(self) -> tuple[str, ...]:
        """Return the ids of the linked daemons."""

    def announce(self, notice: ConfigurationNotice) -> None:
        """Send a notice to every linked daemon, without waiting."""

    async def pull(
        self, peer_id: str, request: ConfigurationRequest
    ) -> ConfigurationDelta:
        """Ask a peer for a delta; raise TeaselpondError if it can't tell."""


class NoLinks:
    """Serve a daemon that has no peers."""

    def peer_ids(self) -> tuple[str, ...]:
        """Return no peer."""
        return ()

    def announce(self, notice: ConfigurationNotice) -> None:
        """Tell nobody."""

    async def pull(
        self, peer_id: str, request: ConfigurationRequest
    ) -> ConfigurationDelta:
        """Return nothing."""
        return ConfigurationDelta(request.after_table_version, 0)
