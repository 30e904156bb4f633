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
class RefusalResponse:
    """Hold a refusal's status and when the caller may come back.

    ``retry_after`` is the mean in seconds, None where coming back is no use.
    """

    status: int
    retry_after: float | None = None


# The statuses 408, 421, 429 and 503 promise that nothing ran.
RESPONSES_BY_REFUSAL: dict[Refusal, RefusalResponse] = {
    Refusal.MALFORMED: RefusalResponse(400),
    Refusal.TOO_LARGE: RefusalResponse(413),
    Refusal.BODY_SLOW: RefusalResponse(408),
    Refusal.NO_ROUTE: RefusalResponse(404),
    Refusal.KEY_UNKNOWN: RefusalResponse(401),
    # A fresh process reads its configuration within this time.
    Refusal.NOT_READY: RefusalResponse(503, 0.3),
    # Another host takes the call at once.
    Refusal.LEAVING: RefusalResponse(503, 0.02),
    Refusal.UNCONFIRMED: RefusalResponse(503, 0.1),
    # Upstreams that could not be reached are tried again after this time.
    Refusal.NO_UPSTREAM: RefusalResponse(503, 0.5),
    Refusal.OVERLOADED: RefusalResponse(503, 0.4),
    Refusal.SHED: RefusalResponse(503, 0.2),
    Refusal.POISONOUS: RefusalResponse(503, 2.0),
    Refusal.TIMEOUT_UNSENT: RefusalResponse(503),
    Refusal.TIMEOUT_SENT: RefusalResponse(504),
    Refusal.BROKEN: RefusalResponse(502),
    Refusal.INTERNAL: RefusalResponse(502),
}
# Callers that are refused together come back spread over this part of the
# time they are told.
RETRY_AFTER_JITTER = 0.5


@frozen
class Reply:
    """Hold a whole answer to a caller."""

    status: int
    headers: CIMultiDict[str]
    body: bytes
    refusal: Refusal | None = None


def jittered_retry_after(response: RefusalResponse, rng: random.Random) -> float | None:
    """Return when a caller may come back, in seconds."""
    if response.retry_after is None:
        return None
    return response.retry_after * rng.uniform(
        1 - RETRY_AFTER_JITTER, 1 + RETRY_AFTER_JITTER
    )
