"""Decide what a caller is told when there is no answer to hand on."""

import enum
import random

from attrs import frozen
from multidict import CIMultiDict


class Refusal(enum.Enum):
    """Name why the gateway answers by itself."""

    MALFORMED = "malformed"
    TOO_LARGE = "too-large"
    BODY_SLOW = "body-slow"
    NO_ROUTE = "no-route"
    KEY_UNKNOWN = "key-unknown"
    NOT_READY = "not-ready"
    LEAVING = "leaving"
    UNCONFIRMED = "unconfirmed"
    NO_UPSTREAM = "no-upstream"
    OVERLOADED = "overloaded"
    SHED = "shed"
    POISONOUS = "poisonous"
    TIMEOUT_UNSENT = "timeout-unsent"
    TIMEOUT_SENT = "timeout-sent"
    BROKEN = "broken"
    INTERNAL = "internal"


@frozen
class Ruling:
    """Hold a refusal's status and when the caller may come back.

    ``retry_after`` is the mean in seconds, None where coming back is no use.
    """

    status: int
    retry_after: float | None = None


# The statuses 408, 421, 429 and 503 promise that nothing ran.
RULINGS: dict[Refusal, Ruling] = {
    Refusal.MALFORMED: Ruling(400),
    Refusal.TOO_LARGE: Ruling(413),
    Refusal.BODY_SLOW: Ruling(408),
    Refusal.NO_ROUTE: Ruling(404),
    Refusal.KEY_UNKNOWN: Ruling(401),
    # A fresh process reads its configuration within this time.
    Refusal.NOT_READY: Ruling(503, 0.3),
    # Another host takes the call at once.
    Refusal.LEAVING: Ruling(503, 0.02),
    Refusal.UNCONFIRMED: Ruling(503, 0.1),
    # Upstreams that could not be reached are tried again after this time.
    Refusal.NO_UPSTREAM: Ruling(503, 0.5),
    Refusal.OVERLOADED: Ruling(503, 0.4),
    Refusal.SHED: Ruling(503, 0.2),
    Refusal.POISONOUS: Ruling(503, 2.0),
    Refusal.TIMEOUT_UNSENT: Ruling(503),
    Refusal.TIMEOUT_SENT: Ruling(504),
    Refusal.BROKEN: Ruling(502),
    Refusal.INTERNAL: Ruling(502),
}
# Callers that are refused together come back spread over this part of the
# time they are told.
SPREAD = 0.5


@frozen
class Reply:
    """Hold a whole answer to a caller."""

    status: int
    headers: CIMultiDict[str]
    body: bytes
    refusal: Refusal | None = None


def retry_after(ruling: Ruling, rng: random.Random) -> float | None:
    """Return when a caller may come back, in seconds."""
    if ruling.retry_after is None:
        return None
    return ruling.retry_after * rng.uniform(1 - SPREAD, 1 + SPREAD)
