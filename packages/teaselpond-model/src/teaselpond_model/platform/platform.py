"""Open all clients of the platform with one HTTP session."""

import aiohttp
from attrs import frozen

from ..bounded_answers import BoundedConnector
from ..store_calls import DEFAULT_TIMEOUT_SECONDS, PlatformConnection
from .hosts import HttpHostDirectory
from .objects import HttpObjectStore
from .table import HttpTableService
from .weights import HttpWeightStore


@frozen
class Platform:
    """Hold the platform's clients and the HTTP session that they share."""

    session: aiohttp.ClientSession
    table: HttpTableService
    objects: HttpObjectStore
    hosts: HttpHostDirectory
    weights: HttpWeightStore

    @classmethod
    def open(
        cls, base_url: str, timeout_seconds: float = DEFAULT_TIMEOUT_SECONDS
    ) -> "Platform":
        """Return the clients on a new session; needs a running event loop."""
        session = aiohttp.ClientSession(connector=BoundedConnector())
        url = base_url.rstrip("/")
        return cls.from_connection(PlatformConnection(session, url, timeout_seconds))

    @classmethod
    def from_connection(cls, connection: PlatformConnection) -> "Platform":
        """Return the clients on a connection whose session is already open."""
        return cls(
            session=connection.session,
            table=HttpTableService(connection),
            objects=HttpObjectStore(connection),
            hosts=HttpHostDirectory(connection),
            weights=HttpWeightStore(connection),
        )

    async def close(self) -> None:
        """Close the session."""
        await self.session.close()

    async def __aenter__(self) -> "Platform":
        return self

    async def __aexit__(self, *exception: object) -> None:
        await self.close()
