"""Track how far a call has got through its attempts."""

from attrs import define, field

from ..upstreams.positions import StreamPosition
from .sending import AttemptFailed
from .traits import Trait


@define
class Progress:
    """Track the attempts of one call.

    ``traits`` name what the request has in common with others that may crash
    upstreams. The caller has the events up to ``position``.
    ``placements`` counts the upstreams that the call was placed on,
    ``arrivals`` the failed attempts that may have reached one, and ``runs``
    those of them that may have run. ``may_run`` is true if any attempt may
    have run or may still run. ``shed_ids`` are the tried upstreams that did
    not run it, and ``engine_id`` is the one that was tried last.

    ``is_trial`` is true if the call may be sent in spite of a probation, until
    it ends a process, ``is_quarantine_trial`` if it may be sent in spite of a
    quarantine, until it may have run. It waits for the trial of another call
    since ``held_since``, and for peers to confirm what this host has used of
    the retry budget since ``unconfirmed_since``. It waits for upstreams that
    have capacity since ``held_for_capacity_since``.
    """

    traits: tuple[Trait, ...]
    position: StreamPosition = field(factory=StreamPosition)
    tried_ids: set[str] = field(factory=set)
    shed_ids: set[str] = field(factory=set)
    refused_by_ids: set[str] = field(factory=set)
    placements: int = 0
    arrivals: int = 0
    runs: int = 0
    may_run: bool = False
    last_failure: AttemptFailed | None = None
    engine_id: str = ""
    is_trial: bool = False
    is_quarantine_trial: bool = False
    held_since: float | None = None
    held_for_capacity_since: float | None = None
    unconfirmed_since: float | None = None
    is_retry_refused: bool = False
