"""Send single HTTP requests to upstreams, each at most once."""

import re
import socket
from collections.abc import Iterator, Mapping
from contextlib import contextmanager
from types import SimpleNamespace

import aiohttp
from attrs import define, frozen
from multidict import CIMultiDict
from yarl import URL

from teaselpond_model.answer_heads import InvalidHead
from teaselpond_model.bounded_answers import ExcessiveFraming, open_bounded_socket
from teaselpond_model.contracts import Address
from teaselpond_model.resends import forbid_resend

from ..exceptions import (
    UpstreamBroken,
    UpstreamCrossed,
    UpstreamInvalid,
    UpstreamReset,
    UpstreamSilent,
    UpstreamUnavailable,
)
from .held_answers import HeldAnswers
from .watched_connections import ResetBeforeRequest, WatchedConnector, WatchSeconds

CONNECT_TIMEOUT_SECONDS = 2.0
IDLE_TIMEOUT_SECONDS = 20.0
MAX_ANSWER_BYTES = 16 * 1024 * 1024
# Several large answers of services may be read at a time.
MAX_HELD_BYTES = 64 * 1024 * 1024
READ_BUFFER_BYTES = 64 * 1024
REQUEST_ID_HEADER = "X-Request-Id"
# How long the pool keeps an idle connection for another request.
KEEPALIVE_TIMEOUT_SECONDS = 15.0
# The kernel closes a connection whose sent data is not acknowledged in time.
ACKNOWLEDGEMENT_TIMEOUT_MS = 3000
KEEPALIVE_PROBE_INTERVAL_SECONDS = 1
KEEPALIVE_PROBE_COUNT = 3
# An upstream that sends such an answer lives.
INVALID_ANSWER_ERRORS = (
    aiohttp.ClientResponseError,
    ExcessiveFraming,
    InvalidHead,
    ValueError,
)

_HEADER_NAME_PATTERN = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
_HEADER_VALUE_PATTERN = re.compile(r"[\t\x20-\x7e]*")
_PATH_PATTERN = re.compile(r"/[\x21-\x7e]*")

# The client frames its own messages; headers that frame a caller's message are
# not forwarded.
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
    """Hold an upstream's complete answer."""

    status: int
    headers: Mapping[str, str]
    body: bytes


@define
class ConnectionUsage:
    """Tell whether a request was sent on a connection of an earlier one."""

    is_reused: bool = False


def check_header(name: str, value: str) -> None:
    """Raise ValueError for a header that must not be forwarded.

    A line break in it could end or split the message, and a framing header
    could change where the message ends.
    """
    if not _HEADER_NAME_PATTERN.fullmatch(name):
        raise ValueError(f"invalid header name: {name!r}")
    if name.lower() in FRAMING_HEADERS:
        raise ValueError(f"framing header {name!r} cannot be forwarded")
    if not _HEADER_VALUE_PATTERN.fullmatch(value):
        raise ValueError(f"invalid value of header {name}: {value!r}")


def check_path(path: str) -> None:
    """Raise ValueError unless a path is absolute and has no fragment."""
    if not _PATH_PATTERN.fullmatch(path) or path.startswith("//") or "#" in path:
        raise ValueError(f"invalid request path: {path!r}")


class UpstreamClient:
    """Send requests to engines and services over pooled connections.

    Without ``reuse``, each request opens a new connection. ``idle_seconds``
    limits the time without received bytes, ``held_answers`` what all answers
    of ``fetch`` hold at a time. ``id_header`` names the header
    that carries a request's id. ``skip_auto_headers`` are headers that the
    HTTP library must not add. ``watch_seconds`` tells how long a new
    connection is watched before a request is written.
    """

    def __init__(
        self,
        *,
        reuse: bool = True,
        connect_seconds: float = CONNECT_TIMEOUT_SECONDS,
        idle_seconds: float = IDLE_TIMEOUT_SECONDS,
        max_answer_bytes: int = MAX_ANSWER_BYTES,
        keepalive_seconds: float = KEEPALIVE_TIMEOUT_SECONDS,
        held_answers: HeldAnswers | None = None,
        id_header: str = REQUEST_ID_HEADER,
        skip_auto_headers: tuple[str, ...] = ("User-Agent",),
        watch_seconds: WatchSeconds = lambda peer, handshake_seconds: 0.0,
    ) -> None:
        self.idle_seconds = idle_seconds
        self.max_answer_bytes = max_answer_bytes
        self.held_answers = held_answers or HeldAnswers(MAX_HELD_BYTES)
        self.reuse = reuse
        self.connect_seconds = connect_seconds
        self._keepalive_seconds = keepalive_seconds
        self._id_header = id_header
        self._skip_auto_headers = skip_auto_headers
        self._watch_seconds = watch_seconds
        self._session: aiohttp.ClientSession | None = None

    def _open_session(self) -> aiohttp.ClientSession:
        keepalive = {"keepalive_timeout": self._keepalive_seconds}
        connector = WatchedConnector(
            self._watch_seconds,
            limit=0,
            force_close=not self.reuse,
            socket_factory=_open_socket,
            **(keepalive if self.reuse else {}),
        )
        return aiohttp.ClientSession(
            connector=connector,
            middlewares=(forbid_resend,),
            auto_decompress=False,
            cookie_jar=aiohttp.DummyCookieJar(),
            read_bufsize=READ_BUFFER_BYTES,
            skip_auto_headers=self._skip_auto_headers,
            trust_env=False,
            trace_configs=[_trace_reuse()],
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
        allow_first_error_without_id: bool = False,
        host: str | None = None,
    ) -> aiohttp.ClientResponse:
        """Send one request and return its response with the body unread.

        The caller must pass the response to ``finish``. ``host`` replaces the
        address in the Host header.

        With ``check_id``, the response must carry the request's id. With
        ``allow_errors_without_id``, one with an error status may also carry
        none, but never another request's. ``allow_first_error_without_id``
        allows it for the first response on a connection, which can belong to
        no other request.

        Raise UpstreamUnavailable if nothing was sent. Raise UpstreamSilent,
        UpstreamCrossed or UpstreamBroken if the request may have been sent.
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
            total=None, sock_connect=self.connect_seconds, sock_read=idle
        )
        if self._session is None:
            self._session = self._open_session()
        peer = str(address)
        usage = ConnectionUsage()
        with translate_upstream_errors(peer):
            response = await self._session.request(
                method,
                # Forward callers' paths unchanged, without normalising them.
                URL(f"http://{peer}{path}", encoded=True),
                headers=headers,
                data=body,
                timeout=timeout,
                allow_redirects=False,
                trace_request_ctx=usage,
            )
        if check_id and not self._is_error_without_id(
            response,
            allow_errors_without_id
            or (allow_first_error_without_id and not usage.is_reused),
        ):
            self._check_response_id(response, request_id, peer)
        return response

    def _is_error_without_id(
        self, response: aiohttp.ClientResponse, allowed: bool
    ) -> bool:
        lacks_id = self._id_header not in response.headers
        return allowed and lacks_id and response.status >= 400

    def _check_response_id(
        self, response: aiohttp.ClientResponse, request_id: str, peer: str
    ) -> None:
        received_id = response.headers.get(self._id_header)
        if received_id != request_id:
            response.close()
            raise UpstreamCrossed(
                f"expected the answer to request {request_id}, "
                f"received that to {received_id}",
                step="answer",
                peer=peer,
            )

    def finish(self, response: aiohttp.ClientResponse) -> None:
        """Release a response's connection.

        A connection whose response was not read to the end may still carry
        bytes of it, so it is closed instead of returned to the pool.
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
        """Send one request and return its complete answer.

        Raise the same errors as ``open``, and UpstreamBroken if the body is
        larger than ``max_answer_bytes``.
        """
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
            content = await self._read_body(response, str(address))
            return Answer(response.status, response.headers, content)
        finally:
            self.finish(response)

    async def _read_body(self, response: aiohttp.ClientResponse, peer: str) -> bytes:
        body = bytearray()
        with translate_upstream_errors(peer), self.held_answers.hold(body) as held:
            async for chunk in response.content.iter_any():
                body += chunk
                held.add(len(chunk))
                if len(body) > self.max_answer_bytes:
                    raise UpstreamInvalid(
                        f"the answer is larger than {self.max_answer_bytes} bytes",
                        step="answer",
                        peer=peer,
                    )
            return bytes(body)


def _trace_reuse() -> aiohttp.TraceConfig:
    """Return a trace that marks the usage of each request's connection."""

    async def mark_reused(
        session: aiohttp.ClientSession, context: SimpleNamespace, params: object
    ) -> None:
        if context.trace_request_ctx is not None:
            context.trace_request_ctx.is_reused = True

    trace = aiohttp.TraceConfig()
    trace.on_connection_reuseconn.append(mark_reused)
    return trace


@contextmanager
def translate_upstream_errors(peer: str) -> Iterator[None]:
    """Translate the HTTP library's errors to subclasses of TeaselpondError."""
    try:
        yield
    except ResetBeforeRequest as error:
        raise UpstreamReset(str(error), step="connect", peer=peer) from error
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
        raise UpstreamUnavailable(
            str(error) or "the connection timed out", step="connect", peer=peer
        ) from error
    except TimeoutError as error:
        raise UpstreamSilent(
            "received nothing within the idle timeout", step="answer", peer=peer
        ) from error
    except INVALID_ANSWER_ERRORS as error:
        raise UpstreamInvalid(
            str(error) or type(error).__name__, step="answer", peer=peer
        ) from error
    except (aiohttp.ClientError, ConnectionError) as error:
        raise UpstreamBroken(
            str(error) or type(error).__name__, step="answer", peer=peer
        ) from error


def _open_socket(address_info: tuple) -> socket.socket:
    new_socket = open_bounded_socket(address_info)
    new_socket.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_KEEPIDLE, KEEPALIVE_PROBE_INTERVAL_SECONDS),
        (socket.TCP_KEEPINTVL, KEEPALIVE_PROBE_INTERVAL_SECONDS),
        (socket.TCP_KEEPCNT, KEEPALIVE_PROBE_COUNT),
        (socket.TCP_USER_TIMEOUT, ACKNOWLEDGEMENT_TIMEOUT_MS),
    ):
        new_socket.setsockopt(socket.IPPROTO_TCP, option, value)
    return new_socket
