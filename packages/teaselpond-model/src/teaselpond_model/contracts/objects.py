"""Describe the platform's object store."""

from typing import Protocol


class ObjectStore(Protocol):
    """Keep whole objects by name."""

    async def put(self, name: str, content: bytes) -> None:
        """Store an object; raise StoreUnavailable or StoreOutcomeUnknown."""

    async def get(self, name: str) -> bytes | None:
        """Return an object or None; raise StoreUnavailable."""

    async def delete(self, name: str) -> None:
        """Remove an object; raise StoreUnavailable or StoreOutcomeUnknown."""
