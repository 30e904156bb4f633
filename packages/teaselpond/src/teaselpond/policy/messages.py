"""Define what entry daemons and owner daemons tell each other."""

import enum

from attrs import frozen

from .reasons import RefusalReason

NO_ENGINE = ""


class RequestClass(enum.Enum):
    """Name the kinds of work, the most urgent first."""

    ORDER = "order"
    INTERACTIVE = "interactive"
    LOOKUP = "lookup"
    LABEL = "label"
    PLAN = "plan"


@frozen
class SlotRequest:
    """Ask an owner daemon for a slot of an engine.

    ``prefixes`` holds chain hashes in hexadecimal, the longest last, as
    ``select_prefixes`` gives them. ``deadline`` is in seconds of the owner's
    clock. ``hint_engine`` is the engine that answered the chat last.
    """

    request_id: str
    workspace: str
    chat: str
    model: str
    request_class: RequestClass
    prompt_tokens: int
    prefixes: tuple[str, ...]
    deadline: float
    origin_daemon: str
    hint_engine: str = NO_ENGINE
    excluded: tuple[str, ...] = ()
    attempt: int = 1


@frozen
class Grant:
    """Give a request one slot of an engine."""

    grant_id: str
    request_id: str
    engine_id: str
    priority: int
    cached_tokens: int


@frozen
class Redirect:
    """Name the owner that is likely to grant a slot, and its engine."""

    request_id: str
    owner_id: str
    engine_id: str


@frozen
class Queued:
    """Tell a request's place in the queue, counted from 1."""

    request_id: str
    position: int


@frozen
class Refusal:
    """Refuse a request that did not run; ``retry_after`` is in seconds."""

    request_id: str
    reason: RefusalReason
    retry_after: float


class Outcome(enum.Enum):
    """Name how the use of a slot ended."""

    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"
    REFUSED_BY_ENGINE = "refused-by-engine"


@frozen
class Release:
    """Give a slot back and tell what the engine showed.

    ``first_token_seconds`` is None when no token came.
    """

    grant_id: str
    outcome: Outcome
    first_token_seconds: float | None = None
    prompt_tokens: int = 0
    cached_tokens: int = 0
    output_tokens: int = 0
    incarnation: str = ""


@frozen
class LoadSum:
    """Sum one owner's engines of a model in a zone.

    ``slots`` and ``engines`` count those that may take work; ``version``
    grows with each sum that the owner sends.
    """

    model: str
    zone: str
    owner_id: str
    in_flight: int
    queued: int
    slots: int
    engines: int
    version: int
    ejected: int = 0


@frozen
class Handover:
    """Tell an engine's next owner what the former one knew of it.

    ``in_flight`` counts the slots that the former owner still has out, and
    ``limit`` how warm the engine was in this ``incarnation``.
    """

    engine_id: str
    from_owner: str
    to_owner: str
    in_flight: int
    limit: int
    incarnation: str


@frozen
class HeldGrants:
    """List the grants of one owner that an entry daemon still uses."""

    origin_daemon: str
    grant_ids: tuple[str, ...]


Decision = Grant | Redirect | Queued | Refusal
