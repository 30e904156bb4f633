"""Open connections to other daemons and prove who is at each end."""

import asyncio
import random

from attrs import frozen
from websockets.asyncio.client import ClientConnection
from websockets.exceptions import WebSocketException

from . import connections, handshake
from .exceptions import HandshakeFailed, LinkError, PeerUnavailable, StaleIncarnation
from .incarnations import IncarnationRegistry
from .peers import Identity, LinkKeys, LinkSettings, Peer


@frozen
class DialResult:
    """Hold a connection and what its handshake established."""

    connection: ClientConnection
    admission: handshake.Admission


def redial_delay(attempt: int, settings: LinkSettings, rng: random.Random) -> float:
    """Return the wait in seconds before dialing again, with full jitter."""
    ceiling = min(settings.redial_max_seconds, settings.redial_min_seconds * 2**attempt)
    return rng.uniform(settings.redial_min_seconds / 2, ceiling)


async def dial(
    peer: Peer,
    own: Identity,
    keys: LinkKeys,
    book: IncarnationRegistry,
    settings: LinkSettings,
    *,
    persistent: bool,
) -> DialResult:
    """Connect to a peer.

    Raise PeerUnavailable, or StaleIncarnation when the peer knows a newer
    run of this daemon.
    """
    try:
        async with asyncio.timeout(settings.handshake_seconds):
            return await _shake_hands(peer, own, keys, book, settings, persistent)
    except StaleIncarnation:
        raise
    except (OSError, TimeoutError, WebSocketException, LinkError) as error:
        raise PeerUnavailable(
            str(error) or "timeout", step="dial", peer=peer.daemon_id
        ) from error


async def _shake_hands(
    peer: Peer,
    own: Identity,
    keys: LinkKeys,
    book: IncarnationRegistry,
    settings: LinkSettings,
    persistent: bool,
) -> DialResult:
    connection = await connections.connect(peer.address, settings.handshake_seconds)
    try:
        admission = await handshake.dial(
            connection, own, keys, peer.daemon_id, persistent=persistent
        )
        if not book.admit(admission.peer):
            raise HandshakeFailed("an old run answered", step="dial")
    except BaseException:
        connection.transport.abort()
        raise
    return DialResult(connection, admission)
