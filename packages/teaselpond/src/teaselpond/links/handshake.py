"""Prove to each other that both ends of a connection hold a link key.

The accepting side opens with a nonce. Each side's Hello carries a proof over
its own fields, its role and both nonces, so that no proof fits another
connection, another daemon or the other direction.
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
    """Hold what a handshake established about the peer."""

    peer: Identity
    persistent: bool


Admit = Callable[[Identity], HelloRefused | None]


async def dial(
    connection: Connection,
    own: Identity,
    keys: LinkKeys,
    daemon_id: str,
    *,
    persistent: bool,
) -> Admission:
    """Introduce this daemon to the one that was dialed.

    Raise HandshakeFailed, or StaleIncarnation when this run was replaced.
    """
    challenge = await _receive(connection, Challenge, daemon_id)
    nonce = secrets.token_bytes(NONCE_BYTES)
    hello = _make_hello(own, keys, DIALER, challenge.nonce, nonce, persistent)
    await connection.send(codec.encode(Frame(hello)))
    answer = await _receive(connection, Hello, daemon_id)
    if not _is_proven(answer, keys, ACCEPTOR, nonce):
        raise _failure("the peer holds no link key", daemon_id)
    introduction = codec.unpack(answer.introduction, Introduction)
    if introduction.protocol < OLDEST_PROTOCOL_VERSION:
        raise _failure(f"the peer speaks {introduction.protocol}", daemon_id)
    if introduction.daemon_id != daemon_id:
        raise _failure(f"met {introduction.daemon_id} instead", daemon_id)
    return Admission(_identity_of(introduction), persistent)


async def accept(
    connection: Connection, own: Identity, keys: LinkKeys, admit: Admit
) -> Admission:
    """Check the dialing daemon's introduction and answer with one's own.

    ``admit`` returns a refusal or None. Raise HandshakeFailed.
    """
    nonce = secrets.token_bytes(NONCE_BYTES)
    await connection.send(codec.encode(Frame(Challenge(nonce))))
    hello = await _receive(connection, Hello, "")
    if not _is_proven(hello, keys, DIALER, nonce):
        await _refuse(connection, HelloRefused(RefusalReason.WRONG_KEY), "")
    introduction = codec.unpack(hello.introduction, Introduction)
    daemon_id = introduction.daemon_id
    if introduction.protocol < OLDEST_PROTOCOL_VERSION:
        await _refuse(connection, HelloRefused(RefusalReason.PROTOCOL), daemon_id)
    peer = _identity_of(introduction)
    refusal = admit(peer)
    if refusal is not None:
        await _refuse(connection, refusal, daemon_id)
    persistent = introduction.persistent
    answer = _make_hello(own, keys, ACCEPTOR, introduction.nonce, nonce, persistent)
    await connection.send(codec.encode(Frame(answer)))
    return Admission(peer, persistent)


async def _refuse(
    connection: Connection, refusal: HelloRefused, daemon_id: str
) -> NoReturn:
    await connection.send(codec.encode(Frame(refusal)))
    raise _failure(f"refused: {refusal.reason.value}", daemon_id)


def _make_hello(
    own: Identity,
    keys: LinkKeys,
    role: bytes,
    challenge: bytes,
    nonce: bytes,
    persistent: bool,
) -> Hello:
    introduction = Introduction(
        daemon_id=own.daemon_id,
        incarnation=own.incarnation,
        boot_id=own.boot_id,
        zone=own.zone,
        address=str(own.address),
        nonce=nonce,
        persistent=persistent,
    )
    content = codec.pack(introduction)
    return Hello(content, keys.sign(_signed_content(role, challenge, content)))


def _is_proven(hello: Hello, keys: LinkKeys, role: bytes, challenge: bytes) -> bool:
    signed = _signed_content(role, challenge, hello.introduction)
    return keys.verify(signed, hello.proof)


def _signed_content(role: bytes, challenge: bytes, introduction: bytes) -> bytes:
    return codec.pack((role, challenge, introduction))


def _failure(reason: str, daemon_id: str) -> HandshakeFailed:
    return HandshakeFailed(reason, step="handshake", peer=daemon_id)


def _identity_of(introduction: Introduction) -> Identity:
    daemon_id = introduction.daemon_id
    try:
        address = Address.parse(introduction.address)
    except ValueError as error:
        raise _failure(str(error), daemon_id) from error
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
        raise MalformedFrame("a text frame", step="handshake", peer=daemon_id)
    message = codec.decode(content).message
    if isinstance(message, HelloRefused):
        raise _refusal_error(message, daemon_id)
    if not isinstance(message, expected):
        raise _failure(f"met a {type(message).__name__}", daemon_id)
    return message


def _refusal_error(refusal: HelloRefused, daemon_id: str) -> HandshakeFailed:
    if refusal.reason is RefusalReason.STALE:
        return StaleIncarnation(refusal.incarnation, peer=daemon_id)
    return _failure(f"refused: {refusal.reason.value}", daemon_id)
