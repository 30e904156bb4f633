"""Open connections to other daemons and authenticate both ends."""

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
    """Hold a connection and the result of its handshake."""

    connection: ClientConnection
    admission: handshake.Admission


def redial_delay(attempt: int, settings: LinkSettings, rng: random.Random) -> float:
    """Return the backoff in seconds before redialing, with full jitter."""
    ceiling = min(settings.redial_max_seconds, settings.redial_min_seconds * 2**attempt)
    return rng.uniform(settings.redial_min_seconds / 2, ceiling)


async def dial(
    peer: Peer,
    own_identity: Identity,
    keys: LinkKeys,
    known_incarnations: IncarnationRegistry,
    settings: LinkSettings,
    *,
    persistent: bool,
) -> DialResult:
    """Connect to a peer and authenticate.

    Raise PeerUnavailable, or StaleIncarnation when the peer knows a newer
    run of this daemon.
    """
    try:
        async with asyncio.timeout(settings.handshake_seconds):
            return await _connect_and_authenticate(
                peer, own_identity, keys, known_incarnations, settings, persistent
            )
    except StaleIncarnation:
        raise
    except (OSError, TimeoutError, WebSocketException, LinkError) as error:
        raise PeerUnavailable(
            str(error) or "timeout", step="dial", peer=peer.daemon_id
        ) from error


async def _connect_and_authenticate(
    peer: Peer,
    own_identity: Identity,
    keys: LinkKeys,
    known_incarnations: IncarnationRegistry,
    settings: LinkSettings,
    persistent: bool,
) -> DialResult:
    connection = await connections.connect(peer.address, settings.handshake_seconds)
    try:
        admission = await handshake.dial(
            connection, own_identity, keys, peer.daemon_id, persistent=persistent
        )
        if not known_incarnations.admit(admission.peer):
            raise HandshakeFailed("an older run of the daemon answered", step="dial")
    except BaseException:
        connection.transport.abort()
        raise
    return DialResult(connection, admission)
