"""Authenticate both ends of a connection with a shared link key.

The accepting side sends a nonce first. Each side's Hello carries a proof over
its own fields, its role and both nonces, so a proof is not valid on another
connection, for another daemon or in the other direction.
"""

import secrets
from collections.abc import Callable
from typing import Any, NoReturn, Protocol

from attrs import frozen

from teaselpond_model.contracts import Address

from . import codec
from .exceptions import HandshakeFailed, MalformedFrame, StaleIncarnation
from .messages import (
    OLDEST_PROTOCOL_VERSION,
    Challenge,
    Frame,
    Hello,
    HelloRefused,
    Introduction,
    RefusalReason,
)
from .peers import Identity, LinkKeys

NONCE_BYTES = 16
DIALER = b"dialer"
ACCEPTOR = b"acceptor"


class Connection(Protocol):
    """Send and receive whole frames, as a WebSocket does."""

    async def send(self, content: bytes) -> None:
        """Send one frame."""

    async def recv(self) -> Any:
        """Return the next frame."""


@frozen
class Admission:
    """Hold the peer's identity and the kind of link after a handshake."""

    peer: Identity
    persistent: bool


CheckPeer = Callable[[Identity], HelloRefused | None]


async def dial(
    connection: Connection,
    own_identity: Identity,
    keys: LinkKeys,
    daemon_id: str,
    *,
    persistent: bool,
) -> Admission:
    """Authenticate with the daemon that was dialed.

    Raise HandshakeFailed, or StaleIncarnation when a newer run replaced
    this one.
    """
    challenge = await _receive(connection, Challenge, daemon_id)
    nonce = secrets.token_bytes(NONCE_BYTES)
    hello = _make_hello(own_identity, keys, DIALER, challenge.nonce, nonce, persistent)
    await connection.send(codec.encode(Frame(hello)))
    answer = await _receive(connection, Hello, daemon_id)
    if not _has_valid_proof(answer, keys, ACCEPTOR, nonce):
        raise _handshake_error("the proof of the peer matches no link key", daemon_id)
    introduction = codec.unpack(answer.introduction, Introduction)
    if introduction.protocol < OLDEST_PROTOCOL_VERSION:
        raise _handshake_error(
            f"the peer has unsupported protocol {introduction.protocol}", daemon_id
        )
    if introduction.daemon_id != daemon_id:
        raise _handshake_error(f"{introduction.daemon_id} answered instead", daemon_id)
    return Admission(_to_identity(introduction), persistent)


async def accept(
    connection: Connection,
    own_identity: Identity,
    keys: LinkKeys,
    check_peer: CheckPeer,
) -> Admission:
    """Authenticate the dialing daemon and answer with a Hello.

    ``check_peer`` returns a refusal or None. Raise HandshakeFailed.
    """
    nonce = secrets.token_bytes(NONCE_BYTES)
    await connection.send(codec.encode(Frame(Challenge(nonce))))
    hello = await _receive(connection, Hello, "")
    if not _has_valid_proof(hello, keys, DIALER, nonce):
        await _refuse(connection, HelloRefused(RefusalReason.WRONG_KEY), "")
    introduction = codec.unpack(hello.introduction, Introduction)
    daemon_id = introduction.daemon_id
    if introduction.protocol < OLDEST_PROTOCOL_VERSION:
        await _refuse(connection, HelloRefused(RefusalReason.PROTOCOL), daemon_id)
    peer = _to_identity(introduction)
    refusal = check_peer(peer)
    if refusal is not None:
        await _refuse(connection, refusal, daemon_id)
    persistent = introduction.persistent
    answer = _make_hello(
        own_identity, keys, ACCEPTOR, introduction.nonce, nonce, persistent
    )
    await connection.send(codec.encode(Frame(answer)))
    return Admission(peer, persistent)


async def _refuse(
    connection: Connection, refusal: HelloRefused, daemon_id: str
) -> NoReturn:
    await connection.send(codec.encode(Frame(refusal)))
    raise _handshake_error(f"refused the peer: {refusal.reason.value}", daemon_id)


def _make_hello(
    own_identity: Identity,
    keys: LinkKeys,
    role: bytes,
    challenge: bytes,
    nonce: bytes,
    persistent: bool,
) -> Hello:
    introduction = Introduction(
        daemon_id=own_identity.daemon_id,
        incarnation=own_identity.incarnation,
        boot_id=own_identity.boot_id,
        zone=own_identity.zone,
        address=str(own_identity.address),
        nonce=nonce,
        persistent=persistent,
    )
    content = codec.pack(introduction)
    return Hello(content, keys.sign(_signed_content(role, challenge, content)))


def _has_valid_proof(
    hello: Hello, keys: LinkKeys, role: bytes, challenge: bytes
) -> bool:
    signed = _signed_content(role, challenge, hello.introduction)
    return keys.verify(signed, hello.proof)


def _signed_content(role: bytes, challenge: bytes, introduction: bytes) -> bytes:
    return codec.pack((role, challenge, introduction))


def _handshake_error(reason: str, daemon_id: str) -> HandshakeFailed:
    return HandshakeFailed(reason, step="handshake", peer=daemon_id)


def _to_identity(introduction: Introduction) -> Identity:
    daemon_id = introduction.daemon_id
    try:
        address = Address.parse(introduction.address)
    except ValueError as error:
        raise _handshake_error(str(error), daemon_id) from error
    return Identity(
        daemon_id,
        introduction.incarnation,
        introduction.zone,
        address,
        introduction.boot_id,
    )


async def _receive(connection: Connection, expected: type, daemon_id: str) -> Any:
    content = await connection.recv()
    if not isinstance(content, bytes):
        raise MalformedFrame(
            "expected a binary frame, found a text frame",
            step="handshake",
            peer=daemon_id,
        )
    message = codec.decode(content).message
    if isinstance(message, HelloRefused):
        raise _refusal_error(message, daemon_id)
    if not isinstance(message, expected):
        raise _handshake_error(
            f"unexpected message {type(message).__name__}", daemon_id
        )
    return message


def _refusal_error(refusal: HelloRefused, daemon_id: str) -> HandshakeFailed:
    if refusal.reason is RefusalReason.STALE:
        return StaleIncarnation(refusal.incarnation, peer=daemon_id)
    return _handshake_error(f"refused by the peer: {refusal.reason.value}", daemon_id)
