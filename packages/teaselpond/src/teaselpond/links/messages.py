"""Define the messages between daemons and the registry of their names."""

import enum
from collections.abc import Callable
from typing import Any, TypeVar

from attrs import field, frozen

from .exceptions import UnknownMessage

PROTOCOL_VERSION = 1
OLDEST_PROTOCOL_VERSION = 1

MessageClass = TypeVar("MessageClass", bound=type)

_classes_by_name: dict[str, type] = {}
_names_by_class: dict[type, str] = {}


def message(name: str) -> Callable[[MessageClass], MessageClass]:
    """Return a decorator that registers an attrs class under a name.

    The name identifies the class in encoded frames.
    """

    def decorate(cls: MessageClass) -> MessageClass:
        register(name, cls)
        return cls

    return decorate


def register(name: str, cls: type) -> None:
    """Register a message class; raise ValueError if the name is in use."""
    if _classes_by_name.get(name, cls) is not cls:
        raise ValueError(f"message name {name!r} is already registered")
    _classes_by_name[name] = cls
    _names_by_class[cls] = name


def message_class_for(name: str) -> type | None:
    """Return the class registered under a name, or None."""
    return _classes_by_name.get(name)


def message_name_for(cls: type) -> str:
    """Return the name of a registered class; raise UnknownMessage."""
    try:
        return _names_by_class[cls]
    except KeyError as error:
        raise UnknownMessage(cls.__name__) from error


class Flow(enum.IntEnum):
    """Distinguish one-way messages, calls and answers."""

    ONE_WAY = 0
    CALL = 1
    ANSWER = 2


@frozen
class Frame:
    """Hold one message and, for calls and answers, the call id."""

    message: Any
    flow: Flow = Flow.ONE_WAY
    call_id: int = 0


@message("challenge")
@frozen
class Challenge:
    """Send a nonce from the side that accepted a connection."""

    nonce: bytes
    protocol: int = PROTOCOL_VERSION


@frozen
class Introduction:
    """Describe the sending daemon when a connection opens.

    ``boot_id`` is random and differs between two processes that chose the
    same incarnation. ``persistent`` requests a link with heartbeats, as
    between neighbours.
    """

    daemon_id: str
    incarnation: int
    boot_id: bytes
    zone: str
    address: str
    nonce: bytes
    persistent: bool
    protocol: int = PROTOCOL_VERSION


@message("hello")
@frozen
class Hello:
    """Introduce a daemon and prove that it has a link key.

    ``introduction`` stays encoded: a daemon that does not know its newest
    fields can still verify the proof over it.
    """

    introduction: bytes
    proof: bytes = field(repr=False)


class RefusalReason(enum.Enum):
    """Give the reason for refusing a Hello."""

    WRONG_KEY = "wrong-key"
    PROTOCOL = "protocol"
    STALE = "stale"
    OWN_NAME = "own-name"


@message("refused")
@frozen
class HelloRefused:
    """Refuse a Hello; ``incarnation`` is the newest one known."""

    reason: RefusalReason
    incarnation: int = 0


@message("beat")
@frozen
class Heartbeat:
    """Show that the sender's event loop still runs."""


@message("probe")
@frozen
class Probe:
    """Check whether a connection that was long unused still works."""


@message("bye")
@frozen
class Goodbye:
    """Announce that the sender closes the link on purpose."""


@message("failure")
@frozen
class Failure:
    """Answer a call that could not be served."""

    reason: str
    detail: str = ""


@message("done")
@frozen
class Done:
    """Answer a call that returns no value."""
