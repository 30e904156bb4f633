"""Prevent the HTTP client from sending a request a second time."""

import aiohttp


class ConnectionLost(aiohttp.ClientError):
    """Report a connection that ended after a request was sent on it."""


async def forbid_resend(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Send a request once, as a client middleware; raise ConnectionLost.

    When a kept-alive connection turns out to be closed, aiohttp sends an
    idempotent method again, without the caller or its counters noticing.
    """
    try:
        return await handler(request)
    except aiohttp.ClientConnectorError:
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise ConnectionLost(f"{type(error).__name__}: {error}") from error
