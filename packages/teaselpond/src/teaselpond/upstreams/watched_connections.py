"""Open connections, and watch some of them before a request is written."""

import asyncio
from collections.abc import Callable
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler

from teaselpond_model.bounded_answers import BoundedConnector

# Returns how long to watch a connection to a peer, by how long its handshake
# took.
WatchSeconds = Callable[[str, float], float]


class ResetBeforeRequest(aiohttp.ClientConnectorError):
    """Report a new connection that ended before a request was written."""


class WatchedConnector(BoundedConnector):
    """Tell new connections that end at once from those that end later.

    On the former no request was written, so that it cannot have run.
    """

    def __init__(self, watch_seconds: WatchSeconds, **options: Any) -> None:
        super().__init__(**options)
        self._watch_seconds = watch_seconds

    async def _create_connection(
        self,
        req: aiohttp.ClientRequest,
        traces: list[Any],
        timeout: aiohttp.ClientTimeout,  # noqa: ASYNC109 (the library's name)
    ) -> ResponseHandler:
        started_at = self._loop.time()
        protocol = await super()._create_connection(req, traces, timeout)
        try:
            peer = f"{req.url.raw_host}:{req.url.port}"
            seconds = self._watch_seconds(peer, self._loop.time() - started_at)
            if seconds > 0.0:
                await asyncio.sleep(seconds)
            if not protocol.is_connected():
                error = ConnectionResetError("the new connection was closed")
                raise ResetBeforeRequest(req.connection_key, error)
        except BaseException:
            protocol.close()
            raise
        return protocol
