"""Describe the platform's object store."""

from typing import Protocol


class ObjectStore(Protocol):
    """Store objects by name; each is written and read as a whole."""

    async def put(self, name: str, content: bytes) -> None:
        """Store an object; raise StoreUnavailable or StoreOutcomeUnknown."""

    async def get(self, name: str) -> bytes | None:
        """Return an object, or None if absent; raise StoreUnavailable."""

    async def delete(self, name: str) -> None:
        """Remove an object; raise StoreUnavailable or StoreOutcomeUnknown."""
