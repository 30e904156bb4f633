"""Define the messages by which daemons exchange facts."""

from attrs import frozen

from .facts import Fact
from .messages import message


@message("facts")
@frozen
class FactDelta:
    """Hand over facts that the receiver may not know."""

    facts: tuple[Fact, ...]


@message("root")
@frozen
class FactRoot:
    """Ask for a filter unless the whole set is the same.

    ``level`` counts the filters' sizes up, as smaller ones fail.
    """

    root: bytes
    level: int = 0


@message("cells")
@frozen
class FactCells:
    """Answer a root that differs with a filter's cells."""

    content: bytes


@message("wanted")
@frozen
class FactsWanted:
    """Ask for the facts of some fingerprints."""

    fingerprints: bytes


@message("offer")
@frozen
class FactOffer:
    """List every fingerprint held, when no filter is large enough."""

    fingerprints: bytes


@message("missing")
@frozen
class FactsMissing:
    """Answer an offer: facts it lacks, and fingerprints that are wanted."""

    facts: tuple[Fact, ...]
    wanted: bytes


@message("paths")
@frozen
class FactPaths:
    """Ask a neighbour to stop or to resume sending some names' facts.

    ``names`` holds name fingerprints; none at all stands for every name.
    """

    names: bytes
    wanted: bool
