"""Describe hosts, their addresses and the platform's list of them."""

import enum
from typing import Protocol

from attrs import frozen


class HostKind(enum.Enum):
    """Define the kinds of hosts by what runs on them."""

    ENTRY = "entry"
    ENGINE = "engine"
    SERVICE = "service"


class HostState(enum.Enum):
    """Define the states of a host: running or shutting down."""

    LIVE = "live"
    LEAVING = "leaving"


@frozen
class Address:
    """Hold an IP address and a port."""

    ip: str
    port: int

    def __str__(self) -> str:
        return f"{self.ip}:{self.port}"

    @classmethod
    def parse(cls, text: str) -> "Address":
        """Parse ``ip:port``; raise ValueError for any other form."""
        ip, separator, port = text.rpartition(":")
        if not separator or not ip:
            raise ValueError(f"expected an address as ip:port, got {text!r}")
        return cls(ip, int(port))


@frozen
class Host:
    """Describe one host as the platform lists it.

    ``peer_address`` is where an entry host accepts other daemons' links.
    """

    host_id: str
    address: Address
    zone: str
    kind: HostKind
    state: HostState = HostState.LIVE
    peer_address: Address | None = None


class HostDirectory(Protocol):
    """List the hosts that the platform knows; the list may be stale."""

    async def list_hosts(self) -> tuple[Host, ...]:
        """Return every listed host; raise StoreUnavailable."""

    async def register(self, host: Host) -> None:
        """Add or update this process's own host; raise StoreUnavailable."""
