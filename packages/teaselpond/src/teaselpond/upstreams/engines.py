"""Talk to model engines: chats, load, cache events, orders, KV cache."""

import asyncio
import json
from collections.abc import AsyncIterator, Mapping

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

POLL_SECONDS = 3.0
CANCEL_SECONDS = 3.0
FINISH_SECONDS = 0.5
MAX_ERROR_BYTES = 64 * 1024

_converter = cattrs.Converter()
_converter.register_structure_hook(
    CacheEventKind, lambda value, _type: CacheEventKind(value)
)


@frozen
class StreamHead:
    """Hold what an engine says of a stream before its first event."""

    stream_id: str
    incarnation: str
    cached_tokens: int
    prompt_tokens: int

    @classmethod
    def read(cls, headers: Mapping[str, str]) -> "StreamHead":
        """Read the answer's headers; numbers that are none count as 0."""
        return cls(
            headers.get("X-Stream-Id", ""),
            headers.get("X-Incarnation", ""),
            _whole_number(headers.get("X-Cached-Tokens")),
            _whole_number(headers.get("X-Prompt-Tokens")),
        )


class EngineStream:
    """Read one answer's events from one connection.

    ``whole`` turns true when the terminal event has been read.
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
        """Return the number of the last whole event."""
        return self._splitter.last_event_number

    @property
    def is_complete(self) -> bool:
        """Tell whether the terminal event has been read."""
        return self._splitter.terminal

    def stop_idle_timer(self) -> None:
        """Leave it to the caller to notice an engine that is silent.

        The library sets a timer anew for each part that it reads.
        """
        connection = self._response.connection
        if connection is not None and connection.protocol is not None:
            connection.protocol.read_timeout = None

    async def batches(self) -> AsyncIterator[EventBatch]:
        """Yield whole events as they come, up to the terminal one.

        Raise UpstreamBroken when the connection ends before it.
        """
        peer = str(self.address)
        content = self._response.content
        while not self.is_complete:
            with translate_upstream_errors(peer):
                part = await content.readany()
            if not part:
                raise UpstreamBroken(
                    f"cut after event {self.last_event_number}",
                    step="stream",
                    peer=peer,
                )
            batch = self._splitter.feed(part)
            if batch is not None:
                yield batch
            if self._splitter.fault:
                raise UpstreamBroken(self._splitter.fault, step="stream", peer=peer)

    async def finish(self) -> None:
        """Free the connection for reuse, once the answer's end is read."""
        try:
            async with asyncio.timeout(FINISH_SECONDS):
                await self._response.content.read()
        except (TimeoutError, aiohttp.ClientError, ConnectionError):
            # A connection that doesn't end its answer isn't reused.
            pass
        self.close()

    def close(self) -> None:
        """Free the connection; unless the answer was read out, close it."""
        self._client.finish(self._response)


class EngineClient:
    """Ask engines for answers and reports, and give them orders.

    ``fresh_client`` doesn't reuse connections: a stream is resumed over a
    new one, as the pool may hold others that have gone silent as well.
    """

    def __init__(self, client: UpstreamClient, fresh_client: UpstreamClient) -> None:
        self._client = client
        self._fresh_client = fresh_client

    async def open_stream(
        self,
        address: Address,
        body: bytes,
        *,
        request_id: str,
        priority: int = 0,
        idle_seconds: float | None = None,
    ) -> EngineStream:
        """Send a chat and return its stream, which the caller closes.

        Raise UpstreamRefused for an error status, else as
        ``UpstreamClient.open``.
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
        idle = self._client.idle_seconds if idle_seconds is None else idle_seconds
        return EngineStream(self._client, address, response, idle)

    async def resume(
        self,
        address: Address,
        stream_id: str,
        after: int,
        *,
        request_id: str,
        idle_seconds: float | None = None,
    ) -> EngineStream:
        """Return the rest of a stream after an event number.

        Raise UpstreamStreamMissing when the engine no longer keeps it, else
        as ``open_stream``.
        """
        response = await self._fresh_client.open(
            address,
            "GET",
            f"/streams/{_path_part(stream_id)}?after={after}",
            request_id=request_id,
            idle_seconds=idle_seconds,
            check_id=False,
        )
        if response.status == 404:
            self._fresh_client.finish(response)
            raise UpstreamStreamMissing(stream_id, step="resume", peer=str(address))
        if response.status != 200:
            raise await _read_refusal(self._fresh_client, response, address)
        idle = self._client.idle_seconds if idle_seconds is None else idle_seconds
        return EngineStream(self._fresh_client, address, response, idle, after)

    async def cancel(
        self, address: Address, stream_id: str, *, request_id: str
    ) -> None:
        """Stop a stream; raise as ``UpstreamClient.exchange``."""
        await self._client.fetch(
            address,
            "DELETE",
            f"/streams/{_path_part(stream_id)}",
            request_id=request_id,
            idle_seconds=CANCEL_SECONDS,
            check_id=False,
        )

    async def load(self, address: Address) -> LoadReport:
        """Return the engine's load report."""
        answer = await self._get(address, "/load")
        return _structure(answer, LoadReport, address)

    async def cache_events(self, address: Address, after: int) -> CacheEventPage:
        """Return the cache events after a sequence number."""
        answer = await self._get(address, f"/cache/events?after={after}")
        return _structure(answer, CacheEventPage, address)

    async def cache_snapshot(self, address: Address) -> CacheEventPage:
        """Return the cached prefixes as events of the last sequence number."""
        answer = await self._get(address, "/cache/snapshot")
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
                f"not a snapshot: {error!r}", step="poll", peer=str(address)
            ) from error

    async def order(
        self, address: Address, order: EngineOrder, *, seconds: float
    ) -> None:
        """Give an order; raise UpstreamRefused with 409 for an old fence."""
        body = asdict(order)
        body["kind"] = order.kind.value
        answer = await self._client.fetch(
            address,
            "POST",
            "/orders",
            request_id=f"order-{order.fence}",
            headers_by_name={"Content-Type": "application/json"},
            body=json.dumps(body).encode(),
            idle_seconds=seconds,
            check_id=False,
        )
        _check_answer(answer, address, "order")

    async def kv_export(self, address: Address, prefix: str) -> bytes | None:
        """Return the KV cache of a prefix, or None when it is not cached."""
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
        return _check_answer(answer, address, "export").body

    async def kv_import(self, address: Address, content: bytes) -> None:
        """Give an engine the export of another one."""
        answer = await self._client.fetch(
            address,
            "POST",
            "/kv/import",
            request_id="import",
            headers_by_name={"Content-Type": "application/octet-stream"},
            body=content,
            check_id=False,
        )
        _check_answer(answer, address, "import")

    async def _get(self, address: Address, path: str) -> Answer:
        answer = await self._client.fetch(
            address,
            "GET",
            path,
            request_id="poll",
            idle_seconds=POLL_SECONDS,
            check_id=False,
        )
        return _check_answer(answer, address, "poll")


async def _read_refusal(
    client: UpstreamClient, response: aiohttp.ClientResponse, address: Address
) -> UpstreamRefused:
    peer = str(address)
    try:
        with translate_upstream_errors(peer):
            content = await response.content.read(MAX_ERROR_BYTES)
    finally:
        client.finish(response)
    return UpstreamRefused(
        response.status,
        content,
        not_run=response.headers.get("X-Run") == "not-run",
        step="answer",
        peer=peer,
    )


def _check_answer(answer: Answer, address: Address, step: str) -> Answer:
    if not 200 <= answer.status < 300:
        raise UpstreamRefused(
            answer.status, answer.body, not_run=False, step=step, peer=str(address)
        )
    return answer


def _structure(answer: Answer, type_: type, address: Address):
    try:
        return _converter.structure(json.loads(answer.body), type_)
    except Exception as error:
        # The converter gathers its errors in groups of many types.
        raise UpstreamBroken(
            f"not a {type_.__name__}: {error!r}", step="poll", peer=str(address)
        ) from error


def _path_part(stream_id: str) -> str:
    check_path(f"/{stream_id}")
    if any(character in stream_id for character in "/?&%"):
        raise ValueError(f"not a stream id: {stream_id!r}")
    return stream_id


def _whole_number(text: str | None) -> int:
    if text is None or not (text.isascii() and text.isdigit()):
        return 0
    return int(text)
