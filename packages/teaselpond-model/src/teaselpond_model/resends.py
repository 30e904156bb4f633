"""Keep the HTTP client from sending a request a second time."""

import aiohttp


class ConnectionLost(aiohttp.ClientError):
    """Report a connection that ended after a request was sent on it."""


async def forbid_resend(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Send a request once, as a client middleware; raise ConnectionLost.

    aiohttp itself sends an idempotent method again when its connection turns
    out to be dropped, unseen by the caller and its counters.
    """
    try:
        return await handler(request)
    except aiohttp.ClientConnectorError:
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise ConnectionLost(f"{type(error).__name__}: {error}") from error
