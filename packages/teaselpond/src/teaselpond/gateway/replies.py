"""Define the gateway's own replies, sent when no answer can be relayed."""

import enum
import random

from attrs import frozen
from multidict import CIMultiDict


class Refusal(enum.Enum):
    """List the reasons why the gateway refuses a request or a call fails.

    The value is the body of the reply.
    """

    MALFORMED = "malformed"
    TOO_LARGE = "too-large"
    BODY_SLOW = "body-slow"
    NO_ROOM = "no-room"
    NO_ROUTE = "no-route"
    KEY_UNKNOWN = "key-unknown"
    NOT_READY = "not-ready"
    LEAVING = "leaving"
    UNCONFIRMED = "unconfirmed"
    NO_UPSTREAM = "no-upstream"
    OVERLOADED = "overloaded"
    SHED = "shed"
    POISONOUS = "poisonous"
    SUSPECTED = "suspected"
    TIMEOUT_UNSENT = "timeout-unsent"
    TIMEOUT_SENT = "timeout-sent"
    BROKEN = "broken"
    STOPPED = "stopped"
    INTERNAL = "internal"


@frozen
class RefusalResponse:
    """Describe a refusal's status and when the caller may retry.

    ``retry_after`` is the mean delay in seconds, None if a retry is of no
    use; the reply then has no Retry-After header.
    """

    status: int
    retry_after: float | None = None


# The statuses 408, 421, 429 and 503 promise that the call did not run.
RESPONSES_BY_REFUSAL: dict[Refusal, RefusalResponse] = {
    Refusal.MALFORMED: RefusalResponse(400),
    Refusal.TOO_LARGE: RefusalResponse(413),
    Refusal.BODY_SLOW: RefusalResponse(408),
    # Callers that do not go on are ended after half a second.
    Refusal.NO_ROOM: RefusalResponse(503, 0.5),
    Refusal.NO_ROUTE: RefusalResponse(404),
    Refusal.KEY_UNKNOWN: RefusalResponse(401),
    # A process that has just started loads its configuration in this time.
    Refusal.NOT_READY: RefusalResponse(503, 0.3),
    # Other hosts can serve the caller immediately.
    Refusal.LEAVING: RefusalResponse(503, 0.02),
    Refusal.UNCONFIRMED: RefusalResponse(503, 0.1),
    # Unreachable upstreams are tried again after this time.
    Refusal.NO_UPSTREAM: RefusalResponse(503, 0.5),
    Refusal.OVERLOADED: RefusalResponse(503, 0.4),
    Refusal.SHED: RefusalResponse(503, 0.2),
    Refusal.POISONOUS: RefusalResponse(503, 2.0),
    # Another request like it is under way, and clears it if it is answered.
    Refusal.SUSPECTED: RefusalResponse(503, 0.5),
    Refusal.TIMEOUT_UNSENT: RefusalResponse(503),
    Refusal.TIMEOUT_SENT: RefusalResponse(504),
    Refusal.BROKEN: RefusalResponse(502),
    # The host ends before the upstream has answered.
    Refusal.STOPPED: RefusalResponse(502),
    Refusal.INTERNAL: RefusalResponse(502),
}
# Randomises Retry-After by up to this fraction in both directions, so that
# callers refused together do not all retry at once.
RETRY_AFTER_JITTER = 0.5


@frozen
class Reply:
    """Describe a complete answer to a caller.

    ``refusal`` is set if the gateway made the reply, None if an upstream did.
    """

    status: int
    headers: CIMultiDict[str]
    body: bytes
    refusal: Refusal | None = None


def jittered_retry_after(
    response: RefusalResponse, earliest: float | None, rng: random.Random
) -> float | None:
    """Return a refusal's randomised Retry-After in seconds, if it has one.

    An earlier return than ``earliest``, if it is known, would be of no use.
    """
    if response.retry_after is None:
        return None
    if earliest is not None:
        return earliest * rng.uniform(1, 1 + RETRY_AFTER_JITTER)
    return response.retry_after * rng.uniform(
        1 - RETRY_AFTER_JITTER, 1 + RETRY_AFTER_JITTER
    )
