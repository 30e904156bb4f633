"""Send a call to one upstream, and read its answer exactly."""

import asyncio
from collections.abc import AsyncIterator

import aiohttp
from attrs import define, frozen

from ..exceptions import (
    TeaselpondError,
    UpstreamBroken,
    UpstreamSilent,
    UpstreamUnavailable,
)
from ..upstreams.connections import UpstreamClient, is_unframed, upstream_errors
from .answers import AnswerHead
from .calls import Call
from .codec import HeaderCodec
from .engines import Engine
from .health import Result

# How long the end of a connection may take that ends an answer of no length.
CLOSE_SECONDS = 0.2


@frozen
class WholeAnswer:
    """Hold an upstream's whole answer."""

    head: AnswerHead
    body: bytes


class AttemptFailed(TeaselpondError):
    """Report a call that an upstream did not answer with success.

    ``has_arrived`` tells whether the upstream may have got it, ``not_run``
    whether it is certain that it does not run. ``answer`` is the upstream's
    own answer where there is one.
    """

    def __init__(
        self,
        result: Result,
        reason: str,
        *,
        has_arrived: bool = True,
        not_run: bool = False,
        answer: WholeAnswer | None = None,
        peer: str = "",
    ) -> None:
        super().__init__(reason, step="send", peer=peer)
        self.result = result
        self.reason = reason
        self.has_arrived = has_arrived
        self.not_run = not_run
        self.answer = answer


@define(eq=False)
class OpenAnswer:
    """Hold an answer of which the head is read."""

    head: AnswerHead
    response: aiohttp.ClientResponse
    protocol: aiohttp.client_proto.ResponseHandler | None
    is_unframed: bool
    peer: str

    async def parts(self) -> AsyncIterator[bytes]:
        """Yield the body; raise UpstreamBroken unless it is complete."""
        with upstream_errors(self.peer):
            async for part in self.response.content.iter_any():
                yield part
        if self.is_unframed:
            await self._check_end()

    async def read(self, limit: int) -> bytes:
        """Return the body; raise UpstreamBroken as ``parts``."""
        body = bytearray()
        async for part in self.parts():
            body += part
            if len(body) > limit:
                raise UpstreamBroken("answer too large", step="answer", peer=self.peer)
        return bytes(body)

    async def _check_end(self) -> None:
        # Only an orderly end of the connection ends a body without a length.
        closed = self.protocol.closed if self.protocol is not None else None
        if closed is None:
            return
        try:
            async with asyncio.timeout(CLOSE_SECONDS):
                await asyncio.shield(closed)
        except (aiohttp.ClientError, OSError) as error:
            raise UpstreamBroken(str(error), step="answer", peer=self.peer) from error
        except TimeoutError:
            return


@define(eq=False)
class Sender:
    """Send calls to upstreams.

    Calls that may not run twice go over connections of their own, on which
    no other answer can arrive and which no idle timeout can close.
    """

    codec: HeaderCodec
    pooled_client: UpstreamClient
    single_use_client: UpstreamClient

    async def open(
        self,
        call: Call,
        engine: Engine,
        remaining_seconds: float,
        last_event_id: str | None,
        copy_from: Engine | None = None,
    ) -> OpenAnswer:
        """Send a call and return its open answer; raise AttemptFailed."""
        client = self.pooled_client if call.may_repeat else self.single_use_client
        peer = str(engine.address)
        head = call.head
        headers = self.codec.encode_request(
            call, engine, remaining_seconds, last_event_id, copy_from
        )
        try:
            response = await client.open(
                engine.address,
                head.method,
                head.target,
                request_id=head.request_id,
                headers_by_name=headers,
                body=call.body or None,
                host=head.host,
                bare_errors=True,
            )
        except (UpstreamUnavailable, UpstreamBroken) as error:
            raise attempt_error(error, peer) from error
        protocol = response.connection.protocol if response.connection else None
        opened = OpenAnswer(
            self.codec.decode_answer(response.status, response.headers),
            response,
            protocol,
            is_unframed(response),
            peer,
        )
        if opened.is_unframed and protocol is not None:
            # Makes the protocol keep how its connection ends.
            _ = protocol.closed
        return opened

    async def close(self) -> None:
        """Close every connection."""
        await self.pooled_client.close()
        await self.single_use_client.close()

    def finish(self, answer: OpenAnswer) -> None:
        """Free an answer's connection; close it if the answer is not read."""
        self.pooled_client.finish(answer.response)


def attempt_error(error: TeaselpondError, peer: str) -> AttemptFailed:
    """Return what an error of the connection means for the attempt."""
    if isinstance(error, UpstreamUnavailable):
        return AttemptFailed(
            Result.UNREACHABLE,
            str(error),
            has_arrived=False,
            not_run=True,
            peer=peer,
        )
    result = Result.SILENT if isinstance(error, UpstreamSilent) else Result.BROKEN
    return AttemptFailed(result, str(error), peer=peer)


def check_answer(answer: WholeAnswer, peer: str) -> None:
    """Raise AttemptFailed unless an answer is one of success."""
    head = answer.head
    if head.not_run:
        raise AttemptFailed(
            Result.SHED,
            "other engine" if head.is_other_engine else f"shed with {head.status}",
            not_run=True,
            answer=answer,
            peer=peer,
        )
    check_success_head(head, peer)
    if head.status >= 500:
        raise AttemptFailed(
            Result.FAILED, f"status {head.status}", answer=answer, peer=peer
        )


def check_success_head(head: AnswerHead, peer: str) -> None:
    """Raise AttemptFailed for a success that no upstream vouches for."""
    if not head.is_success:
        return
    if not head.is_signed:
        raise AttemptFailed(Result.BROKEN, "success without a signature", peer=peer)
    if head.is_encoded:
        raise AttemptFailed(Result.BROKEN, "success with an encoded body", peer=peer)
