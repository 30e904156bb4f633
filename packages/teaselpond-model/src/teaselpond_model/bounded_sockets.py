"""Limit what one read from a connection returns.

The event loop gives each connection that has data one read a turn. This module
imports nothing that is slow to load.
"""

import socket

# The event loop reads up to 256 KiB by itself. As chunks of one byte, these
# take a tenth of a second to parse, while no other connection is served.
READ_BYTES = 8 * 1024


class BoundedSocket(socket.socket):
    """Return at most READ_BYTES from each read."""

    def recv(self, size: int, flags: int = 0) -> bytes:
        """Return up to ``size`` received bytes."""
        return super().recv(min(size, READ_BYTES), flags)


class BoundedListener(socket.socket):
    """Accept connections as bounded sockets."""

    def accept(self) -> tuple[BoundedSocket, tuple]:
        """Return a new connection and the address of its other end."""
        accepted, address = super().accept()
        bounded = BoundedSocket(
            accepted.family, accepted.type, accepted.proto, accepted.detach()
        )
        return bounded, address
