"""Provide the client of the platform's object store."""

from urllib.parse import quote

from attrs import field, frozen

from ..store_calls import PlatformConnection


@frozen
class HttpObjectStore:
    """Read, write and delete objects of the platform's object store."""

    _connection: PlatformConnection = field(alias="connection")

    async def put(self, name: str, content: bytes) -> None:
        """Store an object; raise StoreUnavailable or StoreOutcomeUnknown."""
        await self._write("PUT", name, "objects.put", content)

    async def get(self, name: str) -> bytes | None:
        """Return an object, or None if absent; raise StoreUnavailable."""
        step = "objects.get"
        answer = await self._connection.read(_path(name), step)
        if answer.status == 404:
            return None
        if answer.status != 200:
            raise self._connection.unavailable(step, f"status {answer.status}")
        return answer.content

    async def delete(self, name: str) -> None:
        """Remove an object; raise StoreUnavailable or StoreOutcomeUnknown."""
        await self._write("DELETE", name, "objects.delete", b"")

    async def _write(self, method: str, name: str, step: str, content: bytes) -> None:
        answer = await self._connection.write(method, _path(name), step, content)
        if answer.status != 204:
            cause = f"status {answer.status}"
            raise self._connection.outcome_unknown(step, cause)


def _path(name: str) -> str:
    return f"/objects/{quote(name, safe='')}"
