"""Define the records that the callers and operators of a drill make.

All times are in seconds of the wall clock.
"""

import enum

from attrs import define, field, frozen


class WorkKind(enum.Enum):
    """List the kinds of work that callers request."""

    CHAT = "chat"
    LABEL = "label"
    ORDER = "order"
    LOOKUP = "lookup"
    PLAN = "plan"
    POISON = "poison"


class Ending(enum.Enum):
    """List how one attempt can end for its caller."""

    WHOLE = "whole"
    REFUSED = "refused"
    # No connection could be made, and nothing was sent.
    UNREACHABLE = "unreachable"
    # The connection was established and then broke.
    CUT = "cut"
    # The caller received nothing for READ_TIMEOUT_SECONDS and disconnected.
    SILENT = "silent"


NOT_RUN = "not-run"
# How long a caller waits for the next byte.
READ_TIMEOUT_SECONDS = 12.0


@frozen
class Attempt:
    """Record the outcome of one request to one daemon.

    ``run`` is the value of the X-Run header or of the stream's error event.
    """

    request_id: str
    address: str
    started: float
    ended: float
    ending: Ending
    status: int = 0
    run: str = ""
    reason: str = ""
    text: str = ""


@define
class Work:
    """Hold one piece of work, the answer expected, and all attempts."""

    kind: WorkKind
    work_id: str
    expected: str = ""
    result: str | None = None
    accepted: bool = False
    gave_up: bool = False
    attempts: list[Attempt] = field(factory=list)

    @property
    def is_known_not_run(self) -> bool:
        """Return whether each attempt was refused as not run or never sent."""
        return bool(self.attempts) and all(
            attempt.run == NOT_RUN or attempt.ending is Ending.UNREACHABLE
            for attempt in self.attempts
        )


@frozen
class Interval:
    """Record when a host or zone was disturbed.

    ``name`` is the id of the host or zone.
    """

    name: str
    start: float
    end: float


@frozen
class PlannedStop:
    """Record the outcome of a planned stop of a daemon.

    ``exit_code`` is None if the daemon did not end in time.
    """

    daemon_id: str
    address: str
    asked: float
    ended: float
    exit_code: int | None


@frozen
class VersionSeen:
    """Record the configuration version that a daemon reported in force."""

    time: float
    daemon_id: str
    incarnation: str
    version: int
    ready: bool


@frozen
class OwnerView:
    """Record the state that a daemon reported of an engine that it owns."""

    time: float
    daemon_id: str
    engine_id: str
    in_flight: int
    limit: int
    takes_work: bool
    queued: int


@frozen
class VersionAccepted:
    """Record when an operator's change was accepted, and its version."""

    time: float
    version: int


@frozen
class Race:
    """Record which of several concurrent changes of one base were accepted.

    ``base`` and ``accepted`` are versions; ``refused`` is a count.
    """

    base: int
    accepted: tuple[int, ...]
    refused: int


@define
class DrillRecords:
    """Collect everything that the checks need to know about a drill."""

    started: float = 0.0
    work: list[Work] = field(factory=list)
    zones_out: list[Interval] = field(factory=list)
    engines_leaving: list[Interval] = field(factory=list)
    engines_troubled: list[Interval] = field(factory=list)
    planned_stops: list[PlannedStop] = field(factory=list)
    versions_seen: list[VersionSeen] = field(factory=list)
    # Only for the dump: no check reads it.
    owner_views: list[OwnerView] = field(factory=list)
    versions_accepted: list[VersionAccepted] = field(factory=list)
    races: list[Race] = field(factory=list)
    poison_words: list[str] = field(factory=list)
    failures: list[str] = field(factory=list)
