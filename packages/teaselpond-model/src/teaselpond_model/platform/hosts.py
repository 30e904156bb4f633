"""Provide the client of the platform's list of hosts."""

from urllib.parse import quote

from attrs import field, frozen

from ..contracts import Host
from ..store_calls import PlatformConnection
from .converters import make_converter, parse_answer


@frozen
class _HostsAnswer:
    hosts: tuple[Host, ...]


@frozen
class HttpHostDirectory:
    """Read and change the platform's list of hosts."""

    _connection: PlatformConnection = field(alias="connection")

    async def list_hosts(self) -> tuple[Host, ...]:
        """Return every listed host; raise StoreUnavailable."""
        step = "hosts.list"
        answer = await self._connection.read("/hosts", step)
        try:
            answer.expect_status(200)
            return parse_answer(answer, _HostsAnswer).hosts
        except ValueError as error:
            raise self._connection.unavailable(step, error) from error

    async def register(self, host: Host) -> None:
        """Add or update a host; raise StoreUnavailable."""
        body = make_converter().unstructure(host)
        await self._write("PUT", host.host_id, "hosts.register", body)

    async def remove(self, host_id: str) -> None:
        """Remove a host from the list; raise StoreUnavailable."""
        await self._write("DELETE", host_id, "hosts.remove", b"")

    async def _write(self, method: str, host_id: str, step: str, body: object) -> None:
        path = f"/hosts/{quote(host_id, safe='')}"
        answer = await self._connection.write(method, path, step, body)
        if answer.status != 204:
            cause = f"status {answer.status}"
            raise self._connection.outcome_unknown(step, cause)
