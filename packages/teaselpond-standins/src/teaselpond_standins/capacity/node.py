"""Run one daemon's control parts alone, and measure what they cost."""

import asyncio
import random
import resource
import time

from attrs import asdict, define, evolve, field, frozen

from teaselpond.links import Identity, LinkError, LinkKeys, LinkManager
from teaselpond.links.exchange import FactExchange
from teaselpond.links.facts import FactStore
from teaselpond.links.loads import LOAD_TOPIC, LoadPublisher, subscribe_to_load_sums
from teaselpond.membership import MembershipService
from teaselpond.membership.records import HOST_TOPIC, MEMBER_TOPIC
from teaselpond.owner.messages import AcquireSlot
from teaselpond.policy import (
    Grant,
    LoadSum,
    Outcome,
    Release,
    RequestClass,
    SlotRequest,
)
from teaselpond_model.contracts import Address
from teaselpond_model.platform import Platform

MODELS = ("large-fit", "assistant", "label")
SLOTS_A_MODEL = 112
ENGINES_A_MODEL = 7
SERVICE_SECONDS = 8.0
PREFIXES = tuple(f"{number:016x}" for number in range(8))
CALL_SECONDS = 2.0


@frozen
class Load:
    """Say what a node does while it is measured."""

    seconds: float
    tells_loads: bool
    grants_per_second: float


@frozen
class Sample:
    """Hold what one node spent over a time, all both ways."""

    seconds: float
    processor_seconds: float
    frames: int
    frame_bytes: int
    packet_bytes: int
    lasting_links: int
    links: int
    facts_learned: int
    loads_told: int
    grants: int
    grants_failed: int
    resident_bytes: int
    bytes_by_kind: dict[str, int]


@define
class LoadWalk:
    """Let a model's work in flight wander as independent calls would."""

    model: str
    chance: random.Random
    in_flight: float = SLOTS_A_MODEL / 2

    def step(self) -> LoadSum:
        """Advance by a second and return the sum."""
        mean = SLOTS_A_MODEL / 2
        pull = (mean - self.in_flight) / SERVICE_SECONDS
        noise = self.chance.gauss(0.0, (2 * mean / SERVICE_SECONDS) ** 0.5)
        self.in_flight = min(max(self.in_flight + pull + noise, 0.0), SLOTS_A_MODEL)
        return LoadSum(
            model=self.model,
            zone="zone-1",
            owner_id="",
            in_flight=round(self.in_flight),
            queued=0,
            slots=SLOTS_A_MODEL,
            engines=ENGINES_A_MODEL,
            version=0,
        )


@define(eq=False)
class ControlNode:
    """Hold a daemon's links, facts and membership, and make work for them."""

    daemon_id: str
    zone: str
    platform: Platform
    links: LinkManager = field(init=False)
    exchange: FactExchange = field(init=False)
    membership: MembershipService = field(init=False)
    facts_learned: int = 0
    loads_told: int = 0
    grants: int = 0
    grants_failed: int = 0
    _chance: random.Random = field(init=False)
    _publisher: LoadPublisher = field(init=False)
    _tasks: set[asyncio.Task] = field(factory=set)

    def __attrs_post_init__(self) -> None:
        self._chance = random.Random(self.daemon_id)
        identity = Identity(
            self.daemon_id, int(time.time() * 1000), self.zone, Address("127.0.0.1", 0)
        )
        self.links = LinkManager(identity, LinkKeys((b"measured",)))
        topics = (MEMBER_TOPIC, HOST_TOPIC, LOAD_TOPIC)
        store = FactStore()
        self.exchange = FactExchange(self.links, store, topics)
        self.membership = MembershipService(
            self.links, self.exchange, self.platform.hosts, Address("127.0.0.1", 1)
        )
        self._publisher = LoadPublisher(store, self.daemon_id, identity.incarnation)
        subscribe_to_load_sums(store, self.daemon_id, self._note_sum)
        self.links.handle(AcquireSlot, self._grant)
        self.links.handle(Release, lambda release, sender: None)

    async def start(self) -> None:
        """Start the parts in the daemon's order."""
        await self.links.start()
        self.exchange.start()
        self.membership.start()

    async def stop(self) -> None:
        """Stop the parts in the daemon's order."""
        await self.membership.stop()
        await self.exchange.stop()
        await self.links.stop()

    async def measure(self, load: Load) -> Sample:
        """Work for a time and return what it cost."""
        traffic = self.links.traffic
        counted = (self.facts_learned, self.loads_told, self.grants, self.grants_failed)
        before = traffic.totals()
        kinds = traffic.bytes_sent_by_kind + traffic.bytes_received_by_kind
        started, spent = time.monotonic(), time.process_time()
        await self._work(load)
        after = traffic.totals()
        processor_seconds = time.process_time() - spent
        later = traffic.bytes_sent_by_kind + traffic.bytes_received_by_kind
        later.subtract(kinds)
        frames = _frames(after) - _frames(before)
        return Sample(
            seconds=time.monotonic() - started,
            processor_seconds=processor_seconds,
            frames=frames,
            frame_bytes=_bytes(after) - _bytes(before),
            packet_bytes=after.bytes_with_packets - before.bytes_with_packets,
            lasting_links=len(self.links.persistent_links()),
            links=self.links.link_count(),
            facts_learned=self.facts_learned - counted[0],
            loads_told=self.loads_told - counted[1],
            grants=self.grants - counted[2],
            grants_failed=self.grants_failed - counted[3],
            resident_bytes=resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * 1024,
            bytes_by_kind={kind: count for kind, count in later.items() if count},
        )

    async def _work(self, load: Load) -> None:
        workers = []
        if load.tells_loads:
            workers.append(asyncio.create_task(self._tell_loads()))
        if load.grants_per_second:
            rate = load.grants_per_second
            workers.append(asyncio.create_task(self._ask_for_grants(rate)))
        await asyncio.sleep(load.seconds)
        for worker in workers:
            worker.cancel()
        await asyncio.gather(*workers, return_exceptions=True)

    async def _tell_loads(self) -> None:
        walks = [LoadWalk(model, self._chance) for model in MODELS]
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(1.0)
            sums = tuple(walk.step() for walk in walks)
            owners = len(self.membership.membership.usable_daemons())
            self.loads_told += self._publisher.publish_if_due(sums, loop.time(), owners)

    async def _ask_for_grants(self, rate: float) -> None:
        while True:
            await asyncio.sleep(self._chance.expovariate(rate))
            task = asyncio.create_task(self._ask_for_grant())
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _ask_for_grant(self) -> None:
        others = [
            daemon.daemon_id
            for daemon in self.membership.membership.usable_daemons()
            if daemon.daemon_id != self.daemon_id
        ]
        owner_id = self._chance.choice(others)
        try:
            grant = await self.links.call(owner_id, self._make_ask(), CALL_SECONDS)
            release = Release(grant.grant_id, Outcome.COMPLETED, 0.21, 3200, 3072, 220)
            await self.links.send(owner_id, release)
            self.grants += 1
        except LinkError:
            self.grants_failed += 1

    def _make_ask(self) -> AcquireSlot:
        number = self._chance.getrandbits(20)
        request = SlotRequest(
            request_id=f"{self.daemon_id}/{self.links.identity.incarnation}/{number}",
            workspace=f"workspace-{number % 2800}",
            chat=f"chat-{number:08x}",
            model=MODELS[0],
            request_class=RequestClass.INTERACTIVE,
            prompt_tokens=3200,
            prefixes=PREFIXES,
            deadline=0.0,
            origin_daemon=self.daemon_id,
        )
        return AcquireSlot(request, 30.0)

    def _grant(self, ask: AcquireSlot, sender: Identity) -> Grant:
        request = evolve(ask.request, deadline=ask.remaining_seconds)
        return Grant(f"g-{request.request_id}", request.request_id, "engine-17", 1, 64)

    def _note_sum(self, load_sum: LoadSum) -> None:
        self.facts_learned += load_sum.model == MODELS[0]


def _frames(totals) -> int:
    return totals.frames_sent + totals.frames_received


def _bytes(totals) -> int:
    return totals.bytes_sent + totals.bytes_received


def sample_as_dict(sample: Sample) -> dict:
    """Return a sample as plain JSON."""
    return asdict(sample)
