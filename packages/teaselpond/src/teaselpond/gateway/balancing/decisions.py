"""Describe the choice of an upstream for a call, and the steps to it."""

from collections.abc import Mapping, Sequence

from attrs import define, field, frozen

from ..engines import Engine
from ..routing_state import EngineRecord


@frozen
class Placement:
    """Describe a chosen upstream and how it was chosen.

    ``rank`` is its position in the order of preference, starting at 0.
    ``is_held`` tells whether its cache should contain the prompt's shared
    prefix. If not, ``copy_from`` is an upstream to copy the prefix from.
    ``is_random`` tells that it was chosen by capacity and chance, not by rank.
    """

    record: EngineRecord
    load: int
    mean_load: float
    candidates: int
    rank: int
    is_held: bool = False
    copy_from: Engine | None = None
    is_random: bool = False


@frozen
class NoPlacement:
    """Explain why no upstream was chosen.

    ``listed`` counts the service's upstreams that are ready and not in an
    evacuated zone, including those already tried. If all of them
    asked this host to wait, ``retry_seconds`` is how long, else None.
    """

    reason: str
    listed: int
    retry_seconds: float | None = None


# Not frozen, which would make its creation for each call slow.
@define
class Sifted:
    """Hold the upstreams of a group that are left after each check.

    Each list is a part of the one before: ``untried`` by this call, ``usable``
    as they did not ask this host to wait, ``healthy``, and ``candidates``,
    which are all warm, or all cold within the budget. ``refusal`` is set
    if there is no candidate.
    """

    untried: Sequence[EngineRecord]
    usable: Sequence[EngineRecord] = ()
    healthy: Sequence[EngineRecord] = ()
    candidates: Sequence[EngineRecord] = ()
    refusal: NoPlacement | None = None


@define
class Decision:
    """Hold the choice for a call, and what it is based on.

    ``records`` are all upstreams of the service, ``listed`` those that are
    ready and not in an evacuated zone. ``groups`` are the sets that the call
    may go to in a roll-out, in order; ``sifted_groups`` has an element for
    each of them that was considered, the last of which decided.
    """

    records: Sequence[EngineRecord]
    loads_by_id: Mapping[str, int]
    mean: float
    listed: Sequence[EngineRecord]
    groups: Sequence[Sequence[EngineRecord]]
    placement: Placement | NoPlacement
    sifted_groups: list[Sifted] = field(factory=list)
