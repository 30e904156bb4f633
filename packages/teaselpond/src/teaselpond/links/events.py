"""Define the events that links emit."""

from attrs import frozen

from .peers import Identity


@frozen
class LinkOpened:
    """Report that a link to a peer was opened."""

    peer: Identity
    persistent: bool
    dialed: bool


@frozen
class LinkClosed:
    """Report that a link closed; ``graceful`` if an end did so on purpose."""

    peer: Identity
    persistent: bool
    reason: str
    graceful: bool


@frozen
class Superseded:
    """Report that a newer run replaced this one, which must stop."""

    known_incarnation: int
