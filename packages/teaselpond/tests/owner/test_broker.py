"""Check that slots are granted across daemons and always freed again."""

import asyncio
import itertools
import json
import time

from attrs import frozen

from teaselpond.daemon import Daemon
from teaselpond.exceptions import Refused
from teaselpond.links import (
    AnswerLost,
    Identity,
    LinkKeys,
    LinkManager,
    PeerUnavailable,
)
from teaselpond.metrics import Metrics
from teaselpond.owner import AcquireSlot, SlotBroker
from teaselpond.policy import (
    Dispatcher,
    EngineProfile,
    Grant,
    Outcome,
    PolicySettings,
    Release,
    RequestClass,
    SlotRequest,
)
from teaselpond_model.contracts import Address, Host, HostKind, LoadReport
from teaselpond_standins.testing import AsyncTestCase
from teaselpond_standins.testing.fleets import TestFleet

CHATS = 12
WORDS = 30
START_SECONDS = 10.0


@frozen
class LinkFault:
    """Describe which slot messages fail on a daemon's links, and how."""

    name: str
    message_class: type
    answer_lost: bool


LINK_FAULTS = (
    LinkFault("release lost", Release, False),
    LinkFault("request refused", AcquireSlot, False),
    LinkFault("answer to a request lost", AcquireSlot, True),
)


class FaultyLinks:
    """Wrap links and fail every second message of one class."""

    def __init__(self, links: LinkManager, fault: LinkFault) -> None:
        self._links = links
        self._fault = fault
        self._match_count = itertools.count()

    async def send(self, daemon_id: str, message: object) -> None:
        """Send the message or raise PeerUnavailable."""
        if self._should_fail(message):
            raise PeerUnavailable("spoiled", step="send", peer=daemon_id)
        await self._links.send(daemon_id, message)

    async def call(self, daemon_id: str, message: object, seconds: float) -> object:
        """Call the peer, or raise PeerUnavailable or AnswerLost.

        AnswerLost is raised after the peer has answered the call.
        """
        if not self._should_fail(message):
            return await self._links.call(daemon_id, message, seconds)
        if self._fault.answer_lost:
            await self._links.call(daemon_id, message, seconds)
            raise AnswerLost("spoiled", step="call", peer=daemon_id)
        raise PeerUnavailable("spoiled", step="call", peer=daemon_id)

    def _should_fail(self, message: object) -> bool:
        matches = isinstance(message, self._fault.message_class)
        return matches and next(self._match_count) % 2 == 0


class SlotTests(AsyncTestCase):
    """Check grants of another daemon's engines while links fail."""

    async def test_no_slot_leaks(self) -> None:
        """Run chats while every second message of one kind fails.

        A lost release, request or answer must not leave a slot in use.
        """
        fleet = await self.enter(TestFleet())
        for fault in LINK_FAULTS:
            for daemon in fleet.daemons_by_id.values():
                links = daemon.parts.links
                daemon.parts.broker._links = FaultyLinks(links, fault)
            statuses = await asyncio.gather(
                *(
                    self._chat(fleet, f"{fault.name}-{n}", daemon=f"entry-{1 + n % 2}")
                    for n in range(CHATS)
                )
            )
            self.assertEqual([200] * CHATS, statuses, fault.name)
            await self.wait_until(lambda: self._slots_in_use(fleet) == 0)
        remote_requests = sum(
            daemon.metrics.counts_by_name["slots.asked_remotely"]
            for daemon in fleet.daemons_by_id.values()
        )
        self.assertGreater(remote_requests, 0)

    async def test_excluded_engine_is_never_granted(self) -> None:
        """Grant a slot of another engine if the request excludes one.

        The fleet is idle, so the owner of the other engine must be selected
        although nothing is queued.
        """
        fleet = await self.enter(TestFleet())
        (daemon, *_) = fleet.daemons_by_id.values()
        broker = daemon.parts.broker
        engine_ids = set(fleet.engines_by_id)
        for number, excluded in itertools.product(range(CHATS), engine_ids):
            request = SlotRequest(
                request_id=f"r{number}",
                workspace="axams",
                chat=f"c{number}",
                model="fitting",
                request_class=RequestClass.INTERACTIVE,
                prompt_tokens=10,
                prefixes=(),
                deadline=time.monotonic() + START_SECONDS,
                origin_daemon=daemon.settings.daemon_id,
                excluded=(excluded,),
            )
            grant = await self._acquire(broker, request)
            self.assertIn(grant.engine_id, engine_ids - {excluded})
            await broker.release(Release(grant.grant_id, Outcome.COMPLETED))

    async def _acquire(self, broker: SlotBroker, request: SlotRequest) -> Grant:
        """Retry until the deadline: a new fleet's engines join one by one."""
        while True:
            try:
                return await broker.acquire(request)
            except Refused:
                if time.monotonic() >= request.deadline:
                    raise
            await asyncio.sleep(0.1)

    async def test_killed_daemons_slots_are_freed(self) -> None:
        """Kill a daemon while its callers' streams run."""
        fleet = await self.enter(TestFleet())
        streams = [
            asyncio.create_task(self._chat(fleet, f"c{n}", words=600, daemon="entry-2"))
            for n in range(CHATS)
        ]
        remaining_daemon = fleet.daemons_by_id["entry-1"]
        await self.wait_until(lambda: self._granted_slots(remaining_daemon) > 0)
        await fleet.kill_daemon("entry-2")
        await asyncio.gather(*streams, return_exceptions=True)
        await self.wait_until(lambda: self._granted_slots(remaining_daemon) == 0, 30.0)

    async def _chat(
        self, fleet: TestFleet, chat: str, *, daemon: str, words: int = WORDS
    ) -> int:
        body = {
            "model": "fitting",
            "stream": True,
            "max_tokens": words,
            "messages": [{"role": "user", "content": chat}],
        }
        async with fleet.session.post(
            f"{fleet.url(daemon)}/v1/chat/completions",
            headers={"X-Workspace": "axams", "X-Chat": chat.replace(" ", "-")},
            data=json.dumps(body),
        ) as response:
            text = await response.text()
            if response.status == 200:
                self.assertIn("[DONE]", text)
            return response.status

    def _slots_in_use(self, fleet: TestFleet) -> int:
        daemons = fleet.daemons_by_id.values()
        return sum(self._granted_slots(d) + d.parts.broker.held_count for d in daemons)

    def _granted_slots(self, daemon: Daemon) -> int:
        engines = daemon.parts.broker.dispatcher.engines
        owned_and_former = (*engines.by_id.values(), *engines.former_by_id.values())
        return sum(len(engine.slots.uses_by_grant) for engine in owned_and_former)


class PauseTests(AsyncTestCase):
    """Check an owner whose process is paused.

    Other daemons may take over its engines during the pause.
    """

    async def test_no_grant_before_fresh_reports_after_pause(self) -> None:
        """Grant nothing after a pause until the engine has reported again."""
        self.now = 100.0
        broker = self._make_broker()
        self.assertEqual("e1", (await broker.acquire(self._make_request(1))).engine_id)
        self.now += 12.0
        waiting = asyncio.create_task(broker.acquire(self._make_request(2)))
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        self.assertFalse(waiting.done())
        for sequence in range(1, 4):
            self.now += 2.5
            broker.observe_load("e1", self._make_report(sequence))
            broker.drop_origin("nobody")
        self.assertEqual("e1", (await waiting).engine_id)

    def _make_broker(self) -> SlotBroker:
        dispatcher = Dispatcher("d1", "i1")
        own = Host("d1", Address("127.0.0.1", 1), "a", HostKind.ENTRY)
        engine = Host("e1", Address("127.0.0.1", 2), "a", HostKind.ENGINE)
        profile = EngineProfile(engine, "fitting", 4, 4)
        settings = PolicySettings(
            claim_wait_seconds=0.0, claim_seconds=0.0, claim_report_seconds=0.0
        )
        dispatcher.configure(settings, (profile,), self.now)
        dispatcher.set_daemons((own,), self.now)
        dispatcher.advance(self.now)
        dispatcher.configure(PolicySettings(), (profile,), self.now)
        identity = Identity("d1", 1, "a", Address("127.0.0.1", 0))
        links = LinkManager(identity, LinkKeys((b"key",)))
        return SlotBroker(dispatcher, links, Metrics(), 1, lambda: self.now)

    def _make_request(self, number: int) -> SlotRequest:
        return SlotRequest(
            request_id=f"r{number}",
            workspace="w",
            chat=f"c{number}",
            model="fitting",
            request_class=RequestClass.INTERACTIVE,
            prompt_tokens=10,
            prefixes=(),
            deadline=self.now + 1000.0,
            origin_daemon="d1",
        )

    def _make_report(self, sequence: int) -> LoadReport:
        return LoadReport("i1", sequence, 1, 0, 0, "fitting", "1")
