"""Open and accept the WebSocket connections that carry links."""

from collections.abc import Awaitable, Callable

import websockets
from websockets.asyncio.client import ClientConnection
from websockets.asyncio.server import Server, ServerConnection

from teaselpond_model.contracts import Address

from .codec import FRAME_LIMIT_BYTES

CLOSE_TIMEOUT_SECONDS = 0.5

# Links send their own heartbeats, which also detect a paused event loop.
# Frames are too small to gain from compression.
_COMMON_OPTIONS = {
    "compression": None,
    "ping_interval": None,
    "max_size": FRAME_LIMIT_BYTES,
    "close_timeout": CLOSE_TIMEOUT_SECONDS,
}


async def connect(address: Address, open_timeout_seconds: float) -> ClientConnection:
    """Open a connection; raise OSError, TimeoutError or WebSocketException."""
    return await websockets.connect(
        f"ws://{address}",
        open_timeout=open_timeout_seconds,
        user_agent_header=None,
        proxy=None,
        **_COMMON_OPTIONS,
    )


async def listen(
    address: Address,
    accept: Callable[[ServerConnection], Awaitable[None]],
    open_timeout_seconds: float,
) -> Server:
    """Accept connections at an address; port 0 selects a free port."""
    return await websockets.serve(
        accept,
        address.ip,
        address.port,
        open_timeout=open_timeout_seconds,
        server_header=None,
        **_COMMON_OPTIONS,
    )


def bound_address(server: Server) -> Address:
    """Return the address, with the actual port, that a server listens on."""
    ip, port = next(iter(server.sockets)).getsockname()[:2]
    return Address(ip, port)
