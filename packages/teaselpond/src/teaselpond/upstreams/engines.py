"""Call the HTTP interface of model engines."""

import asyncio
import json
from collections.abc import AsyncIterator, Mapping
from typing import Any

import aiohttp
import cattrs
from attrs import asdict, frozen

from teaselpond_model.contracts import (
    Address,
    CacheEvent,
    CacheEventKind,
    CacheEventPage,
    EngineOrder,
    LoadReport,
)

from ..exceptions import UpstreamBroken, UpstreamRefused, UpstreamStreamMissing
from .connections import Answer, UpstreamClient, check_path, translate_upstream_errors
from .events import EventBatch, EventSplitter

POLL_TIMEOUT_SECONDS = 3.0
CANCEL_TIMEOUT_SECONDS = 3.0
FINISH_TIMEOUT_SECONDS = 0.5
MAX_ERROR_BODY_BYTES = 64 * 1024

_converter = cattrs.Converter()
_converter.register_structure_hook(
    CacheEventKind, lambda value, _type: CacheEventKind(value)
)


@frozen
class StreamHead:
    """Hold the response headers of an engine's stream."""

    stream_id: str
    incarnation: str
    cached_tokens: int
    prompt_tokens: int

    @classmethod
    def read(cls, headers: Mapping[str, str]) -> "StreamHead":
        """Return the head from response headers; read invalid numbers as 0."""
        return cls(
            headers.get("X-Stream-Id", ""),
            headers.get("X-Incarnation", ""),
            _parse_count(headers.get("X-Cached-Tokens")),
            _parse_count(headers.get("X-Prompt-Tokens")),
        )


class EngineStream:
    """Read the events of one answer from one connection.

    ``after`` is the number of the last event that was received before.
    """

    def __init__(
        self,
        client: UpstreamClient,
        address: Address,
        response: aiohttp.ClientResponse,
        idle_seconds: float,
        after: int = 0,
    ) -> None:
        self.address = address
        self.idle_seconds = idle_seconds
        self.head = StreamHead.read(response.headers)
        self._client = client
        self._response = response
        self._splitter = EventSplitter(after)

    @property
    def last_event_number(self) -> int:
        """Return the number of the last complete event."""
        return self._splitter.last_event_number

    @property
    def is_complete(self) -> bool:
        """Return whether the terminal event has been read."""
        return self._splitter.terminal

    def stop_idle_timer(self) -> None:
        """Turn off the HTTP library's read timeout for this stream.

        The library restarts a timer for each chunk that it reads. The caller
        must detect an engine that stops sending.
        """
        connection = self._response.connection
        if connection is not None and connection.protocol is not None:
            connection.protocol.read_timeout = None

    async def batches(self) -> AsyncIterator[EventBatch]:
        """Yield complete events as they arrive, up to the terminal event.

        Raise UpstreamBroken if the connection ends before it, or if events
        are malformed or missing.
        """
        peer = str(self.address)
        content = self._response.content
        while not self.is_complete:
            with translate_upstream_errors(peer):
                chunk = await content.readany()
            if not chunk:
                raise UpstreamBroken(
                    f"the connection ended after event {self.last_event_number}",
                    step="stream",
                    peer=peer,
                )
            batch = self._splitter.feed(chunk)
            if batch is not None:
                yield batch
            if self._splitter.fault:
                raise UpstreamBroken(self._splitter.fault, step="stream", peer=peer)

    async def finish(self) -> None:
        """Read to the end of the answer and release the connection."""
        try:
            async with asyncio.timeout(FINISH_TIMEOUT_SECONDS):
                # Bytes after the last event may come without end.
                async for _ in self._response.content.iter_any():
                    pass
        except (TimeoutError, aiohttp.ClientError, ConnectionError):
            # close() does not reuse a connection whose answer has not ended.
            pass
        self.close()

    def close(self) -> None:
        """Release the connection; close it if the answer has unread bytes."""
        self._client.finish(self._response)


class EngineClient:
    """Send chats, queries and orders to engines.

    ``single_use_client`` must not reuse connections. Streams are resumed on a
    new connection, because other pooled connections may have stopped
    responding as well.
    """

    def __init__(
        self, client: UpstreamClient, single_use_client: UpstreamClient
    ) -> None:
        self._client = client
        self._single_use_client = single_use_client

    async def open_stream(
        self,
        address: Address,
        body: bytes,
        *,
        request_id: str,
        priority: int = 0,
        idle_seconds: float | None = None,
    ) -> EngineStream:
        """Send a chat request and return its stream.

        The caller must close the stream. Raise UpstreamRefused for a status
        other than 200, and the errors of ``UpstreamClient.open``.
        """
        headers = {
            "Content-Type": "application/json",
            "Accept": "text/event-stream",
            "X-Priority": str(priority),
        }
        response = await self._client.open(
            address,
            "POST",
            "/v1/chat/completions",
            request_id=request_id,
            headers_by_name=headers,
            body=body,
            idle_seconds=idle_seconds,
            allow_errors_without_id=True,
        )
        if response.status != 200:
            raise await _read_refusal(self._client, response, address)
        idle_limit = self._client.idle_seconds if idle_seconds is None else idle_seconds
        return EngineStream(self._client, address, response, idle_limit)

    async def resume(
        self,
        address: Address,
        stream_id: str,
        after: int,
        *,
        request_id: str,
        idle_seconds: float | None = None,
    ) -> EngineStream:
        """Return a stream's events after an event number.

        Raise UpstreamStreamMissing if the engine no longer keeps the stream,
        and the errors of ``open_stream``.
        """
        response = await self._single_use_client.open(
            address,
            "GET",
            f"/streams/{_path_segment(stream_id)}?after={after}",
            request_id=request_id,
            idle_seconds=idle_seconds,
            check_id=False,
        )
        if response.status == 404:
            self._single_use_client.finish(response)
            raise UpstreamStreamMissing(stream_id, step="resume", peer=str(address))
        if response.status != 200:
            raise await _read_refusal(self._single_use_client, response, address)
        idle_limit = self._client.idle_seconds if idle_seconds is None else idle_seconds
        return EngineStream(
            self._single_use_client, address, response, idle_limit, after
        )

    async def cancel(
        self, address: Address, stream_id: str, *, request_id: str
    ) -> None:
        """Stop a stream; raise the errors of ``UpstreamClient.fetch``."""
        await self._fetch_within(
            CANCEL_TIMEOUT_SECONDS,
            address,
            "DELETE",
            f"/streams/{_path_segment(stream_id)}",
            request_id=request_id,
        )

    async def load(self, address: Address) -> LoadReport:
        """Return the engine's load report."""
        answer = await self._poll(address, "/load")
        return _structure_answer(answer, LoadReport, address)

    async def cache_events(self, address: Address, after: int) -> CacheEventPage:
        """Return the cache events after a sequence number."""
        answer = await self._poll(address, f"/cache/events?after={after}")
        return _structure_answer(answer, CacheEventPage, address)

    async def cache_snapshot(self, address: Address) -> CacheEventPage:
        """Return all cached prefixes as events of the last sequence number."""
        answer = await self._poll(address, "/cache/snapshot")
        try:
            document = json.loads(answer.body)
            sequence = int(document["last_sequence"])
            events = tuple(
                CacheEvent(
                    sequence,
                    CacheEventKind.STORED,
                    str(entry["prefix"]),
                    int(entry["tokens"]),
                )
                for entry in document["prefixes"]
            )
            return CacheEventPage(str(document["incarnation"]), events, sequence)
        except (ValueError, KeyError, TypeError) as error:
            raise UpstreamBroken(
                f"invalid cache snapshot: {error!r}", step="poll", peer=str(address)
            ) from error

    async def order(
        self, address: Address, order: EngineOrder, *, seconds: float
    ) -> None:
        """Send an order; an old fence raises UpstreamRefused with 409."""
        body = asdict(order)
        body["kind"] = order.kind.value
        answer = await self._fetch_within(
            seconds,
            address,
            "POST",
            "/orders",
            request_id=f"order-{order.fence}",
            headers_by_name={"Content-Type": "application/json"},
            body=json.dumps(body).encode(),
        )
        _require_success(answer, address, "order")

    async def kv_export(self, address: Address, prefix: str) -> bytes | None:
        """Return the exported KV cache of a prefix, or None if not cached."""
        answer = await self._client.fetch(
            address,
            "POST",
            "/kv/export",
            request_id=f"export-{prefix}",
            headers_by_name={"Content-Type": "application/json"},
            body=json.dumps({"prefix": prefix}).encode(),
            check_id=False,
        )
        if answer.status == 404:
            return None
        return _require_success(answer, address, "export").body

    async def kv_import(self, address: Address, content: bytes) -> None:
        """Import the KV cache that another engine exported."""
        answer = await self._client.fetch(
            address,
            "POST",
            "/kv/import",
            request_id="import",
            headers_by_name={"Content-Type": "application/octet-stream"},
            body=content,
            check_id=False,
        )
        _require_success(answer, address, "import")

    async def _poll(self, address: Address, path: str) -> Answer:
        answer = await self._fetch_within(
            POLL_TIMEOUT_SECONDS, address, "GET", path, request_id="poll"
        )
        return _require_success(answer, address, "poll")

    async def _fetch_within(
        self, seconds: float, address: Address, method: str, path: str, **options: Any
    ) -> Answer:
        """Return an answer that is complete after some seconds.

        An engine may send a few bytes at a time without end. Raise
        UpstreamSilent then, and the errors of ``UpstreamClient.fetch``.
        """
        with translate_upstream_errors(str(address)):
            async with asyncio.timeout(seconds):
                return await self._client.fetch(
                    address, method, path, check_id=False, **options
                )


async def _read_refusal(
    client: UpstreamClient, response: aiohttp.ClientResponse, address: Address
) -> UpstreamRefused:
    peer = str(address)
    try:
        with translate_upstream_errors(peer):
            content = await response.content.read(MAX_ERROR_BODY_BYTES)
    finally:
        client.finish(response)
    return UpstreamRefused(
        response.status,
        content,
        not_run=response.headers.get("X-Run") == "not-run",
        step="answer",
        peer=peer,
    )


def _require_success(answer: Answer, address: Address, step: str) -> Answer:
    if not 200 <= answer.status < 300:
        raise UpstreamRefused(
            answer.status, answer.body, not_run=False, step=step, peer=str(address)
        )
    return answer


def _structure_answer(answer: Answer, type_: type, address: Address):
    try:
        return _converter.structure(json.loads(answer.body), type_)
    except Exception as error:
        # The converter raises exception groups and errors of many types.
        raise UpstreamBroken(
            f"invalid {type_.__name__}: {error!r}", step="poll", peer=str(address)
        ) from error


def _path_segment(stream_id: str) -> str:
    check_path(f"/{stream_id}")
    if any(character in stream_id for character in "/?&%"):
        raise ValueError(f"invalid stream id: {stream_id!r}")
    return stream_id


def _parse_count(text: str | None) -> int:
    if text is None or not (text.isascii() and text.isdigit()):
        return 0
    return int(text)
