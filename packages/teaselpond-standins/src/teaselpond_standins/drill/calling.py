"""Make single attempts of calls and record how each one ended."""

import json
import time
from collections.abc import Sequence
from contextlib import AbstractAsyncContextManager
from typing import Any

import aiohttp
from attrs import define, frozen

from .records import READ_TIMEOUT_SECONDS, Attempt, Ending

CONNECT_TIMEOUT_SECONDS = 2.0
CALL_TIMEOUT_SECONDS = 60.0
LOCATE_TIMEOUT_SECONDS = 2.0
END_OF_STREAM = "[DONE]"

CONNECT_ERRORS = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)
CALL_ERRORS = (aiohttp.ClientError, TimeoutError, ValueError)


@frozen
class Call:
    """Describe a request that any daemon can serve."""

    method: str
    path: str
    request_id: str
    workspace: str
    headers: dict[str, str]
    body: dict[str, Any] | None = None


@define
class PartialAnswer:
    """Hold the part of a streamed answer that has been received so far."""

    text: str = ""
    last_event_id: str = ""
    is_whole: bool = False
    problem: dict[str, Any] | None = None
    _event: str = ""

    def read_line(self, line: str) -> None:
        """Parse one line of a stream; raise ValueError for malformed data."""
        name, _, value = line.partition(":")
        value = value.strip()
        if not line:
            self._event = ""
        elif name == "id":
            self.last_event_id = value
        elif name == "event":
            self._event = value
        elif name == "data":
            self._read_data(value)

    def _read_data(self, data: str) -> None:
        if data == END_OF_STREAM:
            self.is_whole = True
            return
        content = json.loads(data)
        if self._event == "error":
            self.problem = content
            return
        for choice in content.get("choices", ()):
            self.text += choice.get("delta", {}).get("content") or ""


@define(eq=False)
class Client:
    """Call daemons, with a new connection for each request."""

    session: aiohttp.ClientSession

    @classmethod
    def open(cls) -> "Client":
        """Return a client; call this inside a running event loop."""
        # With keep-alive, a request could fail because its idle connection
        # was closed, and a planned stop would be blamed for it.
        connector = aiohttp.TCPConnector(force_close=True, limit=0)
        timeout = aiohttp.ClientTimeout(
            total=CALL_TIMEOUT_SECONDS,
            sock_connect=CONNECT_TIMEOUT_SECONDS,
            sock_read=READ_TIMEOUT_SECONDS,
        )
        return cls(aiohttp.ClientSession(connector=connector, timeout=timeout))

    async def close(self) -> None:
        """Close the session."""
        await self.session.close()

    async def locate(
        self, addresses: Sequence[str], workspace: str, chat: str
    ) -> tuple[str, ...]:
        """Return the addresses to use, from the first daemon that answers.

        Return no addresses if no daemon answers.
        """
        params = {"workspace": workspace, "chat": chat}
        timeout = aiohttp.ClientTimeout(total=LOCATE_TIMEOUT_SECONDS)
        for address in addresses:
            try:
                async with self.session.get(
                    f"http://{address}/v1/locate", params=params, timeout=timeout
                ) as response:
                    if response.status == 200:
                        return tuple((await response.json())["addresses"])
            except CALL_ERRORS:
                continue
        return ()

    async def attempt(self, address: str, call: Call) -> Attempt:
        """Send a call whose answer is not streamed."""
        started = time.time()
        try:
            async with self._send(address, call) as response:
                text = await response.text()
                if response.status >= 400:
                    return _refused_attempt(address, call, started, response, text)
                return Attempt(
                    call.request_id,
                    address,
                    started,
                    time.time(),
                    Ending.WHOLE,
                    status=response.status,
                    text=text,
                )
        except CALL_ERRORS as error:
            return _failed_attempt(address, call, started, error)

    async def stream(self, address: str, call: Call, partial: PartialAnswer) -> Attempt:
        """Send a call whose answer is streamed, and extend ``partial``."""
        started = time.time()
        reason = ""
        ending = Ending.CUT
        try:
            async with self._send(address, call) as response:
                if response.status >= 400:
                    text = await response.text()
                    return _refused_attempt(address, call, started, response, text)
                async for line in response.content:
                    partial.read_line(line.decode().rstrip("\r\n"))
        except CONNECT_ERRORS as error:
            return _failed_attempt(address, call, started, error)
        except CALL_ERRORS as error:
            reason = repr(error)[:120]
            ending = _ending_of(error)
        problem = partial.problem or {}
        partial.problem = None
        return Attempt(
            call.request_id,
            address,
            started,
            time.time(),
            Ending.WHOLE if partial.is_whole else ending,
            status=200,
            run=problem.get("run", ""),
            reason=problem.get("reason", reason),
            text=partial.text,
        )

    def _send(self, address: str, call: Call) -> AbstractAsyncContextManager:
        headers = {
            "X-Request-Id": call.request_id,
            "X-Workspace": call.workspace,
            **call.headers,
        }
        return self.session.request(
            call.method,
            f"http://{address}{call.path}",
            json=call.body,
            headers=headers,
            allow_redirects=False,
        )


def _refused_attempt(
    address: str,
    call: Call,
    started: float,
    response: aiohttp.ClientResponse,
    text: str,
) -> Attempt:
    try:
        problem = json.loads(text)
    except ValueError:
        problem = {}
    return Attempt(
        call.request_id,
        address,
        started,
        time.time(),
        Ending.REFUSED,
        status=response.status,
        run=response.headers.get("X-Run", ""),
        reason=str(problem.get("reason", text[:80])),
    )


def _failed_attempt(
    address: str, call: Call, started: float, error: Exception
) -> Attempt:
    return Attempt(
        call.request_id,
        address,
        started,
        time.time(),
        _ending_of(error),
        reason=repr(error)[:120],
    )


def _ending_of(error: Exception) -> Ending:
    if isinstance(error, CONNECT_ERRORS):
        return Ending.UNREACHABLE
    return Ending.SILENT if isinstance(error, TimeoutError) else Ending.CUT
