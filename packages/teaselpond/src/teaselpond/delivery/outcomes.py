"""Store answers of services, with large bodies as objects."""

import asyncio
from collections.abc import Callable, Mapping

from teaselpond_model.contracts import ObjectStore
from teaselpond_model.exceptions import StoreUnavailable

from .records import (
    ServiceOutcome,
    StoredOutcome,
    VersionedRecord,
    decode_body,
    encode_body,
)

INLINE_BODY_BYTES = 8 * 1024
RECORDED_HEADERS = ("Content-Type", "Location", "ETag")
MAX_RECORDED_HEADER_CHARACTERS = 1024
RETRY_SECONDS = 0.2
RETRY_LIMIT_SECONDS = 5.0


def select_recorded_headers(headers: Mapping[str, str]) -> dict[str, str]:
    """Return the headers to record with an answer and return to the caller."""
    return {
        name: headers[name]
        for name in RECORDED_HEADERS
        if 0 < len(headers.get(name, "")) <= MAX_RECORDED_HEADER_CHARACTERS
    }


class OutcomeStore:
    """Convert answers to and from their stored form."""

    def __init__(self, objects: ObjectStore) -> None:
        self._objects = objects

    async def store(
        self,
        versioned: VersionedRecord,
        outcome: ServiceOutcome,
        *,
        deadline: float,
        clock: Callable[[], float],
    ) -> StoredOutcome:
        """Return the stored form, after writing a large body as an object.

        The object's name contains the attempt's id, so writing it again is
        safe. If the object can't be written by the deadline, only the status
        is stored. ``deadline`` is in seconds of ``clock``.
        """
        headers = dict(outcome.headers_by_name)
        if len(outcome.body) <= INLINE_BODY_BYTES:
            return StoredOutcome(outcome.status, headers, encode_body(outcome.body))
        name = f"{versioned.key}/{versioned.record.attempt}"
        delay = RETRY_SECONDS
        while clock() + delay < deadline:
            try:
                await self._objects.put(name, outcome.body)
                return StoredOutcome(outcome.status, headers, "", name)
            except StoreUnavailable:
                await asyncio.sleep(delay)
                delay = min(delay * 2, RETRY_LIMIT_SECONDS)
        return StoredOutcome(outcome.status, {}, "")

    async def load(self, stored: StoredOutcome) -> ServiceOutcome:
        """Return an answer from its stored form; raise StoreUnavailable."""
        body = decode_body(stored.body)
        if stored.object_name:
            content = await self._objects.get(stored.object_name)
            if content is None:
                raise StoreUnavailable(
                    f"recorded answer {stored.object_name} does not exist",
                    step="object",
                )
            body = content
        return ServiceOutcome(stored.status, dict(stored.headers_by_name), body)
