"""Send HTTP calls to the platform and classify their outcomes."""

import json
from collections.abc import Mapping
from typing import Any

import aiohttp
import attrs
from attrs import field, frozen

from .bounded_answers import read_bounded
from .exceptions import StoreOutcomeUnknown, StoreUnavailable
from .resends import forbid_resend

DEFAULT_TIMEOUT_SECONDS = 2.0
# Shorter than the timeout of an answer, to detect an unreachable platform
# sooner than a slow one.
CONNECT_TIMEOUT_SECONDS = 1.0

# aiohttp raises these before it sends the first byte of a request.
NOT_SENT_ERRORS = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)
CONNECTION_ERRORS = (aiohttp.ClientError, TimeoutError, OSError)


@frozen
class PlatformAnswer:
    """Hold the status, the body and the headers of a complete answer."""

    status: int
    content: bytes
    headers: Mapping[str, str] = field(factory=dict)

    def expect_status(self, status: int) -> None:
        """Raise ValueError when the answer has another status."""
        if self.status != status:
            raise ValueError(f"expected status {status}, got {self.status}")


@frozen
class PlatformConnection:
    """Hold the session and the base URL that the platform's clients share.

    ``timeout_seconds`` limits the time without any received data, and
    ``transfer_seconds`` is added to it to limit the time of a whole answer.
    """

    session: aiohttp.ClientSession
    base_url: str
    timeout_seconds: float = DEFAULT_TIMEOUT_SECONDS
    transfer_seconds: float = 0.0
    _timeout: aiohttp.ClientTimeout = field(init=False)

    @_timeout.default
    def _make_timeout(self) -> aiohttp.ClientTimeout:
        return aiohttp.ClientTimeout(
            total=self.timeout_seconds + self.transfer_seconds,
            sock_read=self.timeout_seconds,
            sock_connect=min(CONNECT_TIMEOUT_SECONDS, self.timeout_seconds),
        )

    async def read(
        self,
        path: str,
        step: str,
        params: Mapping[str, Any] | None = None,
        wait_seconds: float = 0.0,
    ) -> PlatformAnswer:
        """Send a GET and return its answer; raise StoreUnavailable.

        ``wait_seconds`` is how long the platform may hold the request before
        it answers (long polling); it is added to the timeouts.
        """
        arguments: dict[str, Any] = {"params": params}
        if wait_seconds:
            read_timeout_seconds = self.timeout_seconds + wait_seconds
            arguments["timeout"] = attrs.evolve(
                self._timeout,
                total=read_timeout_seconds + self.transfer_seconds,
                sock_read=read_timeout_seconds,
            )
        try:
            answer = await self._send("GET", path, **arguments)
        except CONNECTION_ERRORS as error:
            raise self.unavailable(step, error) from error
        if answer.status >= 500:
            raise self.unavailable(step, f"status {answer.status}")
        return answer

    async def write(
        self, method: str, path: str, step: str, body: Any = None
    ) -> PlatformAnswer:
        """Send a write once, with raw bytes or an object as JSON.

        Return an answer with a status below 500. Raise StoreUnavailable when
        nothing was written, StoreOutcomeUnknown when it may have been.
        """
        data = body if isinstance(body, bytes) else json.dumps(body).encode()
        try:
            answer = await self._send(
                method, path, data=data, middlewares=(forbid_resend,)
            )
        except NOT_SENT_ERRORS as error:
            raise self.unavailable(step, error) from error
        except CONNECTION_ERRORS as error:
            raise self.outcome_unknown(step, error) from error
        if answer.status == 503:
            raise self.unavailable(step, "status 503")
        if answer.status >= 500:
            raise self.outcome_unknown(step, f"status {answer.status}")
        return answer

    async def _send(self, method: str, path: str, **arguments: Any) -> PlatformAnswer:
        arguments.setdefault("timeout", self._timeout)
        async with self.session.request(
            method, self.base_url + path, allow_redirects=False, **arguments
        ) as response:
            content = await read_bounded(response)
            return PlatformAnswer(response.status, content, response.headers)

    def unavailable(self, step: str, cause: object) -> StoreUnavailable:
        """Return the error for a call that wrote nothing."""
        return StoreUnavailable(_describe(cause), step=step, peer=self.base_url)

    def outcome_unknown(self, step: str, cause: object) -> StoreOutcomeUnknown:
        """Return the error for a write whose answer is missing or unusable."""
        return StoreOutcomeUnknown(_describe(cause), step=step, peer=self.base_url)


def _describe(cause: object) -> str:
    if isinstance(cause, BaseException):
        return f"{type(cause).__name__}: {cause}"
    return str(cause)
