"""Detect requests that break the upstreams that run them."""

import hashlib
from collections import OrderedDict, deque

from attrs import define, field, frozen

from .calls import Call

# A request that this many upstreams broke off is not sent again; fewer may be
# coincidental failures of the upstreams.
POISON_THRESHOLD = 3
# A broken attempt is passed on to peers for this long after it became known,
# in which most hosts of a large fleet hear of it.
RELAYED_SECONDS = 1.5
# The same attempt is passed on again only after this time, when no copy of it
# is on its way any more.
REPEATED_SECONDS = 10.0
# Callers that retry such a request do so within this time.
POISON_SECONDS = 60.0
# Bounds memory: some hundred bytes per entry.
MAX_REQUESTS = 1024
FINGERPRINT_BYTES = 8


@frozen
class BrokenAttempt:
    """Record that an upstream broke off a request.

    ``at`` is on the boot clock.
    """

    fingerprint: bytes
    engine_id: str
    at: float


def fingerprint_of(call: Call) -> bytes | None:
    """Return a hash that identifies a request when it is sent again.

    Return None for requests without a body, which many callers repeat.
    """
    if not call.body:
        return None
    workspace = call.workspace.name if call.workspace else ""
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for part in (workspace.encode(), call.head.target.encode(), call.body):
        digest.update(len(part).to_bytes(4, "big") + part)
    return digest.digest()


@define
class PoisonTracker:
    """Count the upstreams that broke off each request."""

    _broken_at_by_fingerprint: OrderedDict[bytes, dict[str, float]] = field(
        factory=OrderedDict
    )
    _attempts: deque[BrokenAttempt] = field(factory=lambda: deque(maxlen=MAX_REQUESTS))

    def record_own(self, fingerprint: bytes, engine_id: str, now: float) -> bool:
        """Record that an upstream broke off a request of this host.

        Return whether the request counts as poisonous from now on.
        """
        return self.record(BrokenAttempt(fingerprint, engine_id, now))

    def record(self, attempt: BrokenAttempt) -> bool:
        """Record a broken attempt of this host or a peer.

        Return whether the request counts as poisonous from now on.
        """
        was_poisonous = self.is_poisonous(attempt.fingerprint, attempt.at)
        broken_at_by_engine = self._broken_at_by_fingerprint.setdefault(
            attempt.fingerprint, {}
        )
        known_at = broken_at_by_engine.get(attempt.engine_id)
        if known_at is not None and attempt.at - known_at < REPEATED_SECONDS:
            return False
        broken_at_by_engine[attempt.engine_id] = attempt.at
        self._attempts.append(attempt)
        self._broken_at_by_fingerprint.move_to_end(attempt.fingerprint)
        while len(self._broken_at_by_fingerprint) > MAX_REQUESTS:
            self._broken_at_by_fingerprint.popitem(last=False)
        return not was_poisonous and self.is_poisonous(attempt.fingerprint, attempt.at)

    def is_poisonous(self, fingerprint: bytes, now: float) -> bool:
        """Return whether too many upstreams broke off a request recently."""
        broken_at_by_engine = self._broken_at_by_fingerprint.get(fingerprint, {})
        recent = [
            at for at in broken_at_by_engine.values() if now - at < POISON_SECONDS
        ]
        return len(recent) >= POISON_THRESHOLD

    def relayed(self, now: float) -> dict[bytes, tuple[str, ...]]:
        """Return the requests to tell peers of, with their upstreams."""
        engines_by_fingerprint: dict[bytes, tuple[str, ...]] = {}
        for attempt in reversed(self._attempts):
            if now - attempt.at >= RELAYED_SECONDS:
                break
            known = engines_by_fingerprint.get(attempt.fingerprint, ())
            engines_by_fingerprint[attempt.fingerprint] = (*known, attempt.engine_id)
        return engines_by_fingerprint
