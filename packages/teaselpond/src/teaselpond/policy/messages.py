"""Define the messages between entry daemons and owner daemons.

The entry daemon of a request has received it from the caller and sends it to
an engine. The owner daemon of an engine grants the engine's slots.
"""

import enum

from attrs import frozen

from .reasons import RefusalReason

NO_ENGINE = ""


class RequestClass(enum.Enum):
    """Enumerate the classes of requests, the most urgent first."""

    ORDER = "order"
    INTERACTIVE = "interactive"
    LOOKUP = "lookup"
    LABEL = "label"
    PLAN = "plan"


@frozen
class SlotRequest:
    """Ask an owner daemon for a slot of an engine.

    ``prefixes`` are the prompt's chain hashes in hexadecimal that
    ``select_prefixes`` returns, the longest prefix last. ``deadline`` is in
    seconds of the owner's clock. ``hint_engine`` is the engine that answered
    the chat last, ``excluded`` are engines not to use. ``attempt`` counts
    from 1.
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
    """Assign one slot of an engine to a request.

    ``priority`` is the urgency of the request's class; 0 is the highest.
    ``cached_tokens`` is how many prompt tokens the engine is expected to have
    in its cache.
    """

    grant_id: str
    request_id: str
    engine_id: str
    priority: int
    cached_tokens: int


@frozen
class Redirect:
    """Refer a request to an owner and engine that probably have a slot."""

    request_id: str
    owner_id: str
    engine_id: str


@frozen
class Queued:
    """Report a request's position in the queue, counted from 1."""

    request_id: str
    position: int


@frozen
class Refusal:
    """Refuse a request before it ran; ``retry_after`` is in seconds."""

    request_id: str
    reason: RefusalReason
    retry_after: float


class Outcome(enum.Enum):
    """Enumerate the ways in which the use of a slot ends."""

    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"
    REFUSED_BY_ENGINE = "refused-by-engine"


@frozen
class Release:
    """Release a slot and report what was observed of the engine.

    ``first_token_seconds`` is None if no token was received.
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
    """Sum the load of one owner's engines of a model in a zone.

    ``slots`` and ``engines`` count only engines that accept work. ``version``
    increases with each sum that the owner sends.
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
    """Pass the state of an engine from its former owner to the next.

    ``in_flight`` counts the requests still running on the engine, and
    ``limit`` is its warm-up limit in this ``incarnation``.
    """

    engine_id: str
    from_owner: str
    to_owner: str
    in_flight: int
    limit: int
    incarnation: str


@frozen
class HeldGrants:
    """List the grants of one owner that an entry daemon still holds."""

    origin_daemon: str
    grant_ids: tuple[str, ...]


Decision = Grant | Redirect | Queued | Refusal
