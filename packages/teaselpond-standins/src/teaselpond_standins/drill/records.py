"""Record what a drill's callers, operators and watchers saw.

All times are in seconds of the wall clock.
"""

import enum

from attrs import define, field, frozen


class WorkKind(enum.Enum):
    """Name the kinds of work that callers ask for."""

    CHAT = "chat"
    LABEL = "label"
    ORDER = "order"
    LOOKUP = "lookup"
    PLAN = "plan"
    POISON = "poison"


class Ending(enum.Enum):
    """Name how one attempt ended at its caller."""

    WHOLE = "whole"
    REFUSED = "refused"
    # The connection could not be made, so that nothing was sent.
    UNREACHABLE = "unreachable"
    # The connection ended after it was made.
    CUT = "cut"
    # The caller left, after it had heard nothing for its patience.
    SILENT = "silent"


NOT_RUN = "not-run"
# How long a caller waits for the next byte.
READ_TIMEOUT_SECONDS = 12.0


@frozen
class Attempt:
    """Tell how one request to one daemon went."""

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
    """Hold one piece of work, what its answer must be, and its attempts."""

    kind: WorkKind
    work_id: str
    expected: str = ""
    result: str | None = None
    accepted: bool = False
    gave_up: bool = False
    attempts: list[Attempt] = field(factory=list)

    @property
    def is_known_not_run(self) -> bool:
        """Tell whether each attempt's word was that it had not run."""
        return bool(self.attempts) and all(
            attempt.run == NOT_RUN or attempt.ending is Ending.UNREACHABLE
            for attempt in self.attempts
        )


@frozen
class Interval:
    """Tell what was done to a host or a zone, from when to when."""

    name: str
    start: float
    end: float


@frozen
class PlannedStop:
    """Tell how a planned stop of a daemon went."""

    daemon_id: str
    address: str
    asked: float
    ended: float
    exit_code: int | None


@frozen
class VersionSeen:
    """Tell which configuration a daemon said was in force."""

    time: float
    daemon_id: str
    incarnation: str
    version: int
    ready: bool


@frozen
class OwnerView:
    """Tell what a daemon said of an engine that it owns."""

    time: float
    daemon_id: str
    engine_id: str
    in_flight: int
    limit: int
    takes_work: bool
    queued: int


@frozen
class VersionAccepted:
    """Tell when an operator's change was accepted, and as what."""

    time: float
    version: int


@frozen
class Race:
    """Tell which of some operators' equal claims were accepted."""

    base: int
    accepted: tuple[int, ...]
    refused: int


@define
class DrillRecords:
    """Gather everything that the verdicts are made from."""

    started: float = 0.0
    work: list[Work] = field(factory=list)
    zones_out: list[Interval] = field(factory=list)
    engines_leaving: list[Interval] = field(factory=list)
    engines_troubled: list[Interval] = field(factory=list)
    planned_stops: list[PlannedStop] = field(factory=list)
    versions_seen: list[VersionSeen] = field(factory=list)
    # For reading a dump: no verdict rests on it.
    owner_views: list[OwnerView] = field(factory=list)
    versions_accepted: list[VersionAccepted] = field(factory=list)
    races: list[Race] = field(factory=list)
    poison_words: list[str] = field(factory=list)
    failures: list[str] = field(factory=list)
