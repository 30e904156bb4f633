"""Connect daemons with each other: links, messages, calls and facts."""

from .events import LinkClosed, LinkOpened, Superseded
from .exceptions import (
    AnswerLost,
    CallFailed,
    FrameTooLarge,
    HandshakeFailed,
    LinkError,
    MalformedFrame,
    PeerUnavailable,
    StaleIncarnation,
    UnknownMessage,
)
from .manager import LinkManager
from .messages import Done, Failure, message, register
from .peers import Identity, LinkKeys, LinkSettings, Peer
from .traffic import Traffic, TrafficTotals

__all__ = [
    "AnswerLost",
    "CallFailed",
    "Done",
    "Failure",
    "FrameTooLarge",
    "HandshakeFailed",
    "Identity",
    "LinkClosed",
    "LinkError",
    "LinkKeys",
    "LinkManager",
    "LinkOpened",
    "LinkSettings",
    "MalformedFrame",
    "Peer",
    "PeerUnavailable",
    "StaleIncarnation",
    "Superseded",
    "Traffic",
    "TrafficTotals",
    "UnknownMessage",
    "message",
    "register",
]
