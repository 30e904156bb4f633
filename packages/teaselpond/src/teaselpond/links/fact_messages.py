"""Define the messages by which daemons exchange facts."""

from attrs import frozen

from .facts import Fact
from .messages import message


@message("facts")
@frozen
class FactDelta:
    """Send facts that the receiver may not have."""

    facts: tuple[Fact, ...]


@message("root")
@frozen
class FactRoot:
    """Request a digest's filter unless the whole sets are equal.

    ``root`` is the checksum of the sender's set. ``level`` is the index of
    the filter's size; it grows when smaller filters fail.
    """

    root: bytes
    level: int = 0


@message("cells")
@frozen
class FactCells:
    """Answer a root that differs; ``content`` is a packed filter."""

    content: bytes


@message("wanted")
@frozen
class FactsWanted:
    """Request the facts with the given fingerprints."""

    fingerprints: bytes


@message("offer")
@frozen
class FactOffer:
    """List the fingerprints of all facts, when no filter is large enough."""

    fingerprints: bytes


@message("missing")
@frozen
class FactsMissing:
    """Answer an offer.

    ``facts`` are missing from the offer; ``wanted`` contains the packed
    fingerprints of offered facts that the sender does not have.
    """

    facts: tuple[Fact, ...]
    wanted: bytes


@message("paths")
@frozen
class FactPaths:
    """Ask a neighbour to resume or stop sending the facts of some names.

    ``names`` contains packed name fingerprints. An empty value with
    ``wanted`` resumes every name.
    """

    names: bytes
    wanted: bool
