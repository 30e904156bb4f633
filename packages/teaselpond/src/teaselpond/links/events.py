"""Define what the links report."""

from attrs import frozen

from .peers import Identity


@frozen
class LinkOpened:
    """Tell that a link to a peer was admitted."""

    peer: Identity
    persistent: bool
    dialed: bool


@frozen
class LinkClosed:
    """Tell that a link ended; ``orderly`` when either end meant it to."""

    peer: Identity
    persistent: bool
    reason: str
    graceful: bool


@frozen
class Superseded:
    """Tell that another run of this daemon took over; this one must stop."""

    known_incarnation: int
