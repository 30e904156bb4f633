"""Provide fakes and a harness for tests of the relay."""

import asyncio
import json
import random
import time
from contextlib import AsyncExitStack

from attrs import define, evolve, field

from teaselpond.delivery.chats import ChatCall, parse_chat
from teaselpond.delivery.poison import Quarantine
from teaselpond.delivery.relay import ChatRelay, RelaySettings
from teaselpond.delivery.retries import RetryPolicy
from teaselpond.delivery.sinks import AnswerHead
from teaselpond.delivery.tokens import ResumeTokens, SigningKey, TokenSigner
from teaselpond.delivery.verdicts import RefusalCause, refuse
from teaselpond.exceptions import CallerGone, Refused
from teaselpond.policy import (
    Grant,
    PolicySettings,
    Release,
    RequestClass,
    SlotRequest,
)
from teaselpond.upstreams import EngineClient, UpstreamClient
from teaselpond_model.contracts import Address
from teaselpond_standins.engine import EngineSettings, EngineStandin, expected_answer
from teaselpond_standins.platform import MemoryTable

ENGINE = EngineSettings(cold_limit=8, time_scale=0.1)
KEYS = (SigningKey("k1", b"k" * 16),)


class FakeSlots:
    """Grant slots of the first engine that isn't excluded, without limits."""

    def __init__(self, standins: list[EngineStandin]) -> None:
        self.standins_by_engine_id = {f"e{n}": each for n, each in enumerate(standins)}
        self.engine_ids_by_grant_id: dict[str, str] = {}
        self.requests: list[SlotRequest] = []
        self.releases: list[Release] = []
        # How many requests that exclude an engine are still refused.
        self.refused_continuations = 0

    async def acquire(self, request: SlotRequest) -> Grant:
        self.requests.append(request)
        if request.excluded and self.refused_continuations:
            self.refused_continuations -= 1
            raise refuse(RefusalCause.NO_CANDIDATE, retry_after=1.0)
        for engine_id in self.standins_by_engine_id:
            if engine_id not in request.excluded:
                grant_id = f"g{len(self.requests)}"
                self.engine_ids_by_grant_id[grant_id] = engine_id
                return Grant(grant_id, request.request_id, engine_id, 1, 0)
        raise refuse(RefusalCause.NO_CANDIDATE, retry_after=1.0)

    async def release(self, release: Release) -> None:
        del self.engine_ids_by_grant_id[release.grant_id]
        self.releases.append(release)

    def address_of(self, engine_id: str) -> Address:
        return self.standins_by_engine_id[engine_id].address

    def zone_of(self, engine_id: str) -> str:
        return "z1"


@define
class RecordingCaller:
    """Record received events; disconnect or stall after some of them."""

    disconnects_after: int | None = None
    stalls_after: int | None = None
    head: AnswerHead | None = None
    events: list[bytes] = field(factory=list)

    async def begin(self, head: AnswerHead) -> None:
        self.head = head

    async def write(self, raw: bytes) -> None:
        for event in raw.split(b"\n\n")[:-1]:
            if len(self.events) == self.disconnects_after:
                raise CallerGone("left", step="test")
            if len(self.events) == self.stalls_after:
                await asyncio.Event().wait()
            self.events.append(event)

    @property
    def text(self) -> str:
        """Return the text that was received."""
        return "".join(
            json.loads(data)["choices"][0]["delta"].get("content", "")
            for data in self.data
            if data != b"[DONE]"
        )

    @property
    def data(self) -> list[bytes]:
        """Return each event's data."""
        return [event.rpartition(b"data: ")[2] for event in self.events]

    @property
    def last_event_id(self) -> str:
        """Return the Last-Event-ID header to resume after the last event."""
        return self.events[-1].partition(b"\n")[0].removeprefix(b"id: ").decode()

    @property
    def whole(self) -> bool:
        """Return whether there is one terminal event, at the end."""
        return [index for index, data in enumerate(self.data) if data == b"[DONE]"] == [
            len(self.data) - 1
        ]


class RelayHarness:
    """Run relays of several daemons that share the same engines."""

    def __init__(
        self,
        engines: int = 3,
        engine: EngineSettings = ENGINE,
        policy: PolicySettings | None = None,
        **settings: float,
    ) -> None:
        self.standins = [EngineStandin(engine) for _ in range(engines)]
        self.slots = FakeSlots(self.standins)
        self.table = MemoryTable()
        self.settings = evolve(
            RelaySettings(
                event_idle_seconds=0.6,
                resume_idle_seconds=0.3,
                abandoned_slot_seconds=0.1,
            ),
            **settings,
        )
        self.policy = policy or PolicySettings(backoff_seconds=0.01)

    async def __aenter__(self) -> "RelayHarness":
        self.stack = AsyncExitStack()
        for standin in self.standins:
            await self.stack.enter_async_context(standin)
        self.client = await self.stack.enter_async_context(UpstreamClient())
        self.fresh = await self.stack.enter_async_context(UpstreamClient(reuse=False))
        self.relay = self.make_relay("d1")
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        await self.relay.drain()
        await self.stack.aclose()

    def make_relay(self, daemon: str, keys: tuple[SigningKey, ...] = KEYS) -> ChatRelay:
        """Return the relay of another daemon."""
        return ChatRelay(
            slots=self.slots,
            addresses=self.slots,
            engines=EngineClient(self.client, self.fresh),
            quarantine=Quarantine(self.table),
            tokens=ResumeTokens(TokenSigner(keys)),
            retries=RetryPolicy(self.policy, random_source=random.Random(1)),
            daemon=daemon,
            settings=self.settings,
        )

    async def run_call(
        self,
        call: ChatCall,
        caller: RecordingCaller | None = None,
        relay: ChatRelay | None = None,
    ) -> str:
        """Run a call and return "whole", "gone" or the refusal.

        An incomplete or wrong answer is returned as "not whole: ...".
        """
        relay = relay or self.relay
        caller = caller or RecordingCaller()
        try:
            await relay.run(call, caller)
        except Refused as refused:
            return f"{refused.reason.value} {refused.run.value}"
        except CallerGone:
            return "gone"
        finally:
            await relay.drain()
        if not caller.whole or caller.text != answer_to(call):
            return f"not whole: {caller.text}"
        return "whole"

    @property
    def cancelled(self) -> int:
        """Return the number of runs that the engines cancelled."""
        return sum(standin.records.cancelled for standin in self.standins)


def make_call(
    prompt: str = "fit my boots words:12",
    request_id: str = "r1",
    seconds: float = 10.0,
    **changes: object,
) -> ChatCall:
    """Return a streamed chat call."""
    messages = [{"role": "user", "content": prompt}]
    document = {"model": "fitting", "messages": messages, "stream": True}
    call = parse_chat(
        json.dumps(document | changes.pop("document", {})).encode(),
        workspace="w",
        chat="c",
        request_id=request_id,
        request_class=RequestClass.INTERACTIVE,
        deadline=time.monotonic() + seconds,
    )
    return evolve(call, **changes)


def answer_to(call: ChatCall) -> str:
    """Return the complete answer of an engine to a call."""
    return expected_answer(call.document["messages"], call.document.get("max_tokens"))
