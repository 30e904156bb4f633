"""Keep the whole answers of services, small ones in the table."""

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
KEPT_HEADERS = ("Content-Type", "Location", "ETag")
MAX_KEPT_HEADER_CHARACTERS = 1024
RETRY_SECONDS = 0.2
RETRY_LIMIT_SECONDS = 5.0


def kept_headers(headers: Mapping[str, str]) -> dict[str, str]:
    """Return the headers that an answer is given and recorded with."""
    return {
        name: headers[name]
        for name in KEPT_HEADERS
        if 0 < len(headers.get(name, "")) <= MAX_KEPT_HEADER_CHARACTERS
    }


class OutcomeStore:
    """Move answers to and from their stored form."""

    def __init__(self, objects: ObjectStore) -> None:
        self._objects = objects

    async def store(
        self,
        held: VersionedRecord,
        outcome: ServiceOutcome,
        *,
        deadline: float,
        clock: Callable[[], float],
    ) -> StoredOutcome:
        """Return the stored form; a large body becomes an object first.

        The object's name holds the attempt, so that writing it again does
        no harm. If that fails to the deadline the status alone is kept.
        """
        headers = dict(outcome.headers_by_name)
        if len(outcome.body) <= INLINE_BODY_BYTES:
            return StoredOutcome(outcome.status, headers, encode_body(outcome.body))
        name = f"{held.key}/{held.record.attempt}"
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
                raise StoreUnavailable("recorded answer is missing", step="object")
            body = content
        return ServiceOutcome(stored.status, dict(stored.headers_by_name), body)
