"""Send a call to one upstream, and check that its answer is complete."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import TypeVar

import aiohttp
from attrs import define, frozen

from ..exceptions import (
    TeaselpondError,
    UpstreamBroken,
    UpstreamInvalid,
    UpstreamReset,
    UpstreamSilent,
    UpstreamUnavailable,
)
from ..timeouts import PauseAwareTimeout, PauseProbe
from ..upstreams.connections import UpstreamClient, translate_upstream_errors
from ..upstreams.held_answers import HeldAnswers
from .answers import AnswerHead
from .calls import Call, Forwarding
from .codec import HeaderCodec
from .engines import Engine
from .health import Result
from .overload.new_connections import NewConnections

# An upstream that lives answers a health check within this time unless all of
# its slots are busy.
CHECK_TIMEOUT_SECONDS = 0.25
# A connection that ends within this time was accepted by nobody.
RESET_SECONDS = 0.05
CHECK_ID = "health-check"

T = TypeVar("T")


@frozen
class WholeAnswer:
    """Describe a complete answer of an upstream."""

    head: AnswerHead
    body: bytes


class AttemptFailed(TeaselpondError):
    """Report a call that an upstream did not answer with success.

    ``may_have_arrived`` is true if the upstream may have received the call,
    ``not_run`` if it is certain that the call did not run and will not.
    ``answer`` is the upstream's own answer, None if there is none.
    ``was_reset`` is true if a new connection ended before the call was sent.
    """

    def __init__(
        self,
        result: Result,
        reason: str,
        *,
        may_have_arrived: bool = True,
        not_run: bool = False,
        answer: WholeAnswer | None = None,
        was_reset: bool = False,
        peer: str = "",
    ) -> None:
        super().__init__(reason, step="send", peer=peer)
        self.was_reset = was_reset
        self.result = result
        self.reason = reason
        self.may_have_arrived = may_have_arrived
        self.not_run = not_run
        self.answer = answer


@define(eq=False)
class OpenAnswer:
    """Read the body of an answer whose head was received."""

    head: AnswerHead
    response: aiohttp.ClientResponse
    peer: str

    async def parts(self) -> AsyncIterator[bytes]:
        """Yield the body in parts; raise UpstreamBroken if incomplete."""
        with translate_upstream_errors(self.peer):
            async for part in self.response.content.iter_any():
                yield part

    async def read(self, held_answers: HeldAnswers) -> bytes:
        """Return the body; raise UpstreamBroken if incomplete or too large."""
        length = self.response.content_length
        if length is not None and length > held_answers.limit_bytes:
            raise UpstreamInvalid(
                f"the answer has {length} bytes", step="answer", peer=self.peer
            )
        body = bytearray()
        with held_answers.hold(body) as held:
            async for part in self.parts():
                held.add(len(part))
                body += part
            return bytes(body)


@define(eq=False)
class Sender:
    """Send calls to upstreams.

    Each call that must not run twice gets a new connection: no answer to
    another call can arrive on it, and no idle timeout can close it. So does
    one that the upstream has refused before: that refusal may arrive again.
    """

    codec: HeaderCodec
    pooled_client: UpstreamClient
    single_use_client: UpstreamClient
    check_client: UpstreamClient
    new_connections: NewConnections

    async def open(
        self,
        call: Call,
        engine: Engine,
        remaining_seconds: float,
        forwarding: Forwarding,
        *,
        was_refused: bool = False,
    ) -> OpenAnswer:
        """Send a call and return its answer with the body unread.

        ``was_refused`` is true if this upstream has refused the call before.
        Raise AttemptFailed if no head of an answer arrives.
        """
        client = self.single_use_client
        if call.may_repeat and not was_refused:
            client = self.pooled_client
        peer = str(engine.address)
        loop = asyncio.get_running_loop()
        started_at = loop.time()

        async def send() -> aiohttp.ClientResponse:
            left_seconds = remaining_seconds - (loop.time() - started_at)
            return await client.open(
                engine.address,
                call.head.method,
                call.head.target,
                request_id=call.head.request_id,
                headers_by_name=self.codec.encode_request(
                    call, engine, left_seconds, forwarding
                ),
                body=call.body or None,
                host=call.head.host,
                allow_first_error_without_id=True,
            )

        try:
            response = await _connect_again_after_pause(client, send)
        except (UpstreamUnavailable, UpstreamBroken) as error:
            if _is_reset(error, client, loop.time() - started_at):
                self.new_connections.record_short(peer)
            raise attempt_failure(error, peer) from error
        head = self.codec.decode_answer(response.status, response.headers)
        if head.not_run:
            self.new_connections.record_short(peer)
        return OpenAnswer(head, response, peer)

    async def check_health(self, engine: Engine, path: str) -> AnswerHead:
        """Ask an upstream for its health, and return the head of its answer.

        Raise AttemptFailed if none arrives.
        """
        peer = str(engine.address)

        async def ask() -> aiohttp.ClientResponse:
            response = await self.check_client.open(
                engine.address,
                "GET",
                path,
                request_id=CHECK_ID,
                check_id=False,
            )
            # The body has no meaning, and may have no end.
            self.check_client.finish(response)
            return response

        try:
            async with PauseAwareTimeout(CHECK_TIMEOUT_SECONDS):
                answer = await _connect_again_after_pause(self.check_client, ask)
        except (UpstreamUnavailable, UpstreamBroken) as error:
            raise attempt_failure(error, peer) from error
        except TimeoutError:
            raise AttemptFailed(Result.SILENT, "silent check", peer=peer) from None
        return self.codec.decode_answer(answer.status, answer.headers)

    async def close(self) -> None:
        """Close the connections to all upstreams."""
        await self.pooled_client.close()
        await self.single_use_client.close()
        await self.check_client.close()

    def release(self, answer: OpenAnswer) -> None:
        """Release an answer's connection; close it if the body is unread."""
        # finish() works for the answers of both clients.
        self.pooled_client.finish(answer.response)


async def _connect_again_after_pause(
    client: UpstreamClient, send: Callable[[], Awaitable[T]]
) -> T:
    """Send a request; do so again if this process stood still meanwhile.

    It may have been connected then.
    """
    probe = PauseProbe(client.connect_seconds)
    try:
        return await send()
    except UpstreamUnavailable:
        if not probe.has_paused(asyncio.get_running_loop().time()):
            raise
        return await send()
    finally:
        probe.stop()


def _is_reset(
    error: TeaselpondError, client: UpstreamClient, after_seconds: float
) -> bool:
    """Return whether a new connection was reset, not one under way."""
    if isinstance(error, UpstreamReset):
        return True
    return (
        not client.reuse
        and isinstance(
            error.__cause__, ConnectionError | aiohttp.ServerDisconnectedError
        )
        and after_seconds < RESET_SECONDS
    )


def attempt_failure(error: TeaselpondError, peer: str) -> AttemptFailed:
    """Convert an error of the connection to an AttemptFailed."""
    if isinstance(error, UpstreamUnavailable):
        return AttemptFailed(
            Result.UNREACHABLE,
            str(error),
            may_have_arrived=False,
            not_run=True,
            was_reset=isinstance(error, UpstreamReset),
            peer=peer,
        )
    result = Result.BROKEN
    if isinstance(error, UpstreamSilent):
        result = Result.SILENT
    elif isinstance(error, UpstreamInvalid):
        result = Result.INVALID
    return AttemptFailed(result, str(error), peer=peer)


def check_answer(answer: WholeAnswer, peer: str) -> None:
    """Raise AttemptFailed unless an answer is valid.

    A call that was shed, a status of 500 or above, and a success that is
    unsigned or encoded are failures.
    """
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


def check_continuation(head: AnswerHead, peer: str) -> None:
    """Raise AttemptFailed for an answer that cannot go on with a stream.

    The caller has the head and events of another answer already.
    """
    if not head.is_success:
        raise AttemptFailed(
            Result.INVALID, f"status {head.status} for the rest of a stream", peer=peer
        )
    if not head.is_event_stream:
        raise AttemptFailed(
            Result.INVALID, "no event stream for the rest of a stream", peer=peer
        )


def check_success_head(head: AnswerHead, peer: str) -> None:
    """Raise AttemptFailed for a success that is unsigned or encoded."""
    if not head.is_success:
        return
    if not head.is_signed:
        raise AttemptFailed(Result.INVALID, "success without a signature", peer=peer)
    if head.is_encoded:
        raise AttemptFailed(Result.INVALID, "success with an encoded body", peer=peer)
