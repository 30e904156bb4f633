"""Send single HTTP requests to upstreams, each at most once."""

import re
import socket
from collections.abc import Iterator, Mapping
from contextlib import contextmanager

import aiohttp
from attrs import frozen
from multidict import CIMultiDict
from yarl import URL

from teaselpond_model.contracts import Address
from teaselpond_model.resends import forbid_resend

from ..exceptions import (
    UpstreamBroken,
    UpstreamCrossed,
    UpstreamSilent,
    UpstreamUnavailable,
)

CONNECT_SECONDS = 2.0
IDLE_SECONDS = 20.0
MAX_ANSWER_BYTES = 16 * 1024 * 1024
READ_BUFFER_BYTES = 64 * 1024
REQUEST_ID_HEADER = "X-Request-Id"
# How long an unused connection is kept for another request.
KEEPALIVE_SECONDS = 15.0
# An upstream that acknowledges nothing for this long is taken for dead.
UNACKNOWLEDGED_MS = 3000
KEEPALIVE_PROBE_SECONDS = 1
KEEPALIVE_PROBES = 3

_HEADER_NAME = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
_HEADER_VALUE = re.compile(r"[\t\x20-\x7e]*")
_PATH = re.compile(r"/[\x21-\x7e]*")

# The client frames its own messages; a caller's framing must not get through.
FRAMING_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "host",
        "keep-alive",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


@frozen
class Answer:
    """Hold an upstream's whole answer."""

    status: int
    headers: Mapping[str, str]
    body: bytes


def check_header(name: str, value: str) -> None:
    """Raise ValueError for a header that could end or split a message."""
    if not _HEADER_NAME.fullmatch(name):
        raise ValueError(f"not a header name: {name!r}")
    if name.lower() in FRAMING_HEADERS:
        raise ValueError(f"not a header to pass on: {name!r}")
    if not _HEADER_VALUE.fullmatch(value):
        raise ValueError(f"not a value for header {name}: {value!r}")


def check_path(path: str) -> None:
    """Raise ValueError for a path that is not one of an origin request."""
    if not _PATH.fullmatch(path) or path.startswith("//") or "#" in path:
        raise ValueError(f"not a path: {path!r}")


class UpstreamClient:
    """Hold the connections towards engines and services.

    With ``reuse`` off, each request goes over a connection of its own.
    ``id_header`` names the header that carries a request's id, and
    ``skip_auto_headers`` those that the HTTP library must not add.
    """

    def __init__(
        self,
        *,
        reuse: bool = True,
        connect_seconds: float = CONNECT_SECONDS,
        idle_seconds: float = IDLE_SECONDS,
        max_answer_bytes: int = MAX_ANSWER_BYTES,
        keepalive_seconds: float = KEEPALIVE_SECONDS,
        id_header: str = REQUEST_ID_HEADER,
        skip_auto_headers: tuple[str, ...] = ("User-Agent",),
    ) -> None:
        self.idle_seconds = idle_seconds
        self.max_answer_bytes = max_answer_bytes
        self._reuse = reuse
        self._connect_seconds = connect_seconds
        self._keepalive_seconds = keepalive_seconds
        self._id_header = id_header
        self._skip_auto_headers = skip_auto_headers
        self._session: aiohttp.ClientSession | None = None

    def _open_session(self) -> aiohttp.ClientSession:
        keepalive = {"keepalive_timeout": self._keepalive_seconds}
        connector = aiohttp.TCPConnector(
            limit=0,
            force_close=not self._reuse,
            socket_factory=_open_socket,
            **(keepalive if self._reuse else {}),
        )
        return aiohttp.ClientSession(
            connector=connector,
            middlewares=(forbid_resend,),
            auto_decompress=False,
            cookie_jar=aiohttp.DummyCookieJar(),
            read_bufsize=READ_BUFFER_BYTES,
            skip_auto_headers=self._skip_auto_headers,
            trust_env=False,
        )

    async def close(self) -> None:
        """Close every connection."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    async def __aenter__(self) -> "UpstreamClient":
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        await self.close()

    async def open(
        self,
        address: Address,
        method: str,
        path: str,
        *,
        request_id: str,
        headers_by_name: Mapping[str, str] | None = None,
        body: bytes | None = None,
        idle_seconds: float | None = None,
        check_id: bool = True,
        allow_errors_without_id: bool = False,
        host: str | None = None,
    ) -> aiohttp.ClientResponse:
        """Send one request and return its answer, of which the head is read.

        ``host`` is the Host header, that of the address if it is None.

        With ``bare_errors`` an error status may come without a request id;
        another request's id is never let pass.
        The caller gives the answer to ``finish``. Raise UpstreamUnavailable
        when nothing was sent, UpstreamSilent, UpstreamCrossed or
        UpstreamBroken when something may have been.
        """
        headers = CIMultiDict(headers_by_name or {})
        headers[self._id_header] = request_id
        for name, value in headers.items():
            check_header(name, value)
        if host is not None:
            headers["Host"] = host
        check_path(path)
        idle = self.idle_seconds if idle_seconds is None else idle_seconds
        timeout = aiohttp.ClientTimeout(
            total=None, sock_connect=self._connect_seconds, sock_read=idle
        )
        if self._session is None:
            self._session = self._open_session()
        peer = str(address)
        with translate_upstream_errors(peer):
            response = await self._session.request(
                method,
                # Callers' paths are passed on as they came, not normalised.
                URL(f"http://{peer}{path}", encoded=True),
                headers=headers,
                data=body,
                timeout=timeout,
                allow_redirects=False,
            )
        if check_id and not self._is_bare_error(response, allow_errors_without_id):
            self._check_echo(response, request_id, peer)
        return response

    def _is_bare_error(self, response: aiohttp.ClientResponse, allowed: bool) -> bool:
        bare = self._id_header not in response.headers
        return allowed and bare and response.status >= 400

    def _check_echo(
        self, response: aiohttp.ClientResponse, request_id: str, peer: str
    ) -> None:
        echoed = response.headers.get(self._id_header)
        if echoed != request_id:
            response.close()
            raise UpstreamCrossed(
                f"asked as {request_id}, answered as {echoed}",
                step="answer",
                peer=peer,
            )

    def finish(self, response: aiohttp.ClientResponse) -> None:
        """Free an answer's connection.

        A connection whose answer was not read to the end may still carry
        bytes of it, so it is closed and never goes back to the pool.
        """
        if response.content.at_eof():
            response.release()
        else:
            response.close()

    async def fetch(
        self,
        address: Address,
        method: str,
        path: str,
        *,
        request_id: str,
        headers_by_name: Mapping[str, str] | None = None,
        body: bytes | None = None,
        idle_seconds: float | None = None,
        check_id: bool = True,
    ) -> Answer:
        """Send one request and return its whole answer; raise as ``open``."""
        response = await self.open(
            address,
            method,
            path,
            request_id=request_id,
            headers_by_name=headers_by_name,
            body=body,
            idle_seconds=idle_seconds,
            check_id=check_id,
        )
        try:
            content = await self._read(response, str(address))
            return Answer(response.status, response.headers, content)
        finally:
            self.finish(response)

    async def _read(self, response: aiohttp.ClientResponse, peer: str) -> bytes:
        parts = []
        size = 0
        with translate_upstream_errors(peer):
            async for part in response.content.iter_any():
                parts.append(part)
                size += len(part)
                if size > self.max_answer_bytes:
                    raise UpstreamBroken("answer too large", step="answer", peer=peer)
        return b"".join(parts)


@contextmanager
def translate_upstream_errors(peer: str) -> Iterator[None]:
    """Turn the HTTP library's errors into the daemon's own."""
    try:
        yield
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
        raise UpstreamUnavailable(
            str(error) or "no connection in time", step="connect", peer=peer
        ) from error
    except TimeoutError as error:
        raise UpstreamSilent("silent", step="answer", peer=peer) from error
    except (aiohttp.ClientError, ConnectionError, ValueError) as error:
        raise UpstreamBroken(
            str(error) or type(error).__name__, step="answer", peer=peer
        ) from error


def is_unframed(response: aiohttp.ClientResponse) -> bool:
    """Tell whether an answer's body ends only with its connection."""
    encoding = response.headers.get("Transfer-Encoding", "").lower()
    return "Content-Length" not in response.headers and "chunked" not in encoding


def _open_socket(address_info: tuple) -> socket.socket:
    family, kind, protocol, _, _ = address_info
    opened = socket.socket(family, kind, protocol)
    opened.setblocking(False)
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_KEEPIDLE, KEEPALIVE_PROBE_SECONDS),
        (socket.TCP_KEEPINTVL, KEEPALIVE_PROBE_SECONDS),
        (socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        (socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS),
    ):
        opened.setsockopt(socket.IPPROTO_TCP, option, value)
    return opened
