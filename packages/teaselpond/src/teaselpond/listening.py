"""Open the listening sockets of a process before anything else.

Loading the libraries takes most of a start. When all hosts restart together,
callers that connect meanwhile are served as soon as the process can, instead
of finding no host at all. This module imports nothing that is slow to load.
"""

import socket
from collections.abc import Iterable

from teaselpond_model.bounded_sockets import BoundedListener
from teaselpond_model.contracts import Address

# Connections waiting to be accepted. When another host fails, all of its
# callers reconnect at the same time.
ACCEPT_BACKLOG = 1024


def open_listener(address: Address) -> socket.socket:
    """Return a socket that listens on an address; raise OSError."""
    family = socket.AF_INET6 if ":" in address.ip else socket.AF_INET
    listener = BoundedListener(family, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.setblocking(False)
        listener.bind((address.ip, address.port))
        listener.listen(ACCEPT_BACKLOG)
    except OSError:
        listener.close()
        raise
    return listener


def open_listeners(
    addresses: Iterable[Address | None],
) -> dict[Address, socket.socket]:
    """Return a listening socket for each address; raise OSError."""
    return {address: open_listener(address) for address in addresses if address}
