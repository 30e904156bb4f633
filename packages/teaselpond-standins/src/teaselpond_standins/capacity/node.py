"""Run only the control parts of a daemon and measure their costs."""

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
SLOTS_PER_MODEL = 112
ENGINES_PER_MODEL = 7
SERVICE_SECONDS = 8.0
PREFIXES = tuple(f"{number:016x}" for number in range(8))
CALL_TIMEOUT_SECONDS = 2.0


@frozen
class Load:
    """Define a node's work while it is measured.

    ``tells_loads`` means that the node publishes load facts.
    """

    seconds: float
    tells_loads: bool
    grants_per_second: float


@frozen
class Sample:
    """Hold one node's resource use and traffic over a time.

    Frames and bytes are counted in both directions. ``facts_learned`` counts
    the load facts received, ``loads_told`` those published.
    """

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
    """Simulate a model's in-flight work as a random walk around its mean.

    It varies like the number of independent calls that take
    ``SERVICE_SECONDS`` each.
    """

    model: str
    chance: random.Random
    in_flight: float = SLOTS_PER_MODEL / 2

    def step(self) -> LoadSum:
        """Advance the walk by a second and return the load."""
        mean = SLOTS_PER_MODEL / 2
        drift = (mean - self.in_flight) / SERVICE_SECONDS
        noise = self.chance.gauss(0.0, (2 * mean / SERVICE_SECONDS) ** 0.5)
        self.in_flight = min(max(self.in_flight + drift + noise, 0.0), SLOTS_PER_MODEL)
        return LoadSum(
            model=self.model,
            zone="zone-1",
            owner_id="",
            in_flight=round(self.in_flight),
            queued=0,
            slots=SLOTS_PER_MODEL,
            engines=ENGINES_PER_MODEL,
            version=0,
        )


@define(eq=False)
class ControlNode:
    """Run a daemon's links, facts and membership under a simulated load."""

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
    _rng: random.Random = field(init=False)
    _publisher: LoadPublisher = field(init=False)
    _tasks: set[asyncio.Task] = field(factory=set)

    def __attrs_post_init__(self) -> None:
        self._rng = random.Random(self.daemon_id)
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
        subscribe_to_load_sums(store, self.daemon_id, self._count_load_sum)
        self.links.handle(AcquireSlot, self._handle_acquire)
        self.links.handle(Release, lambda release, sender: None)

    async def start(self) -> None:
        """Start the parts in the same order as the daemon."""
        await self.links.start()
        self.exchange.start()
        self.membership.start()

    async def stop(self) -> None:
        """Stop the parts in the same order as the daemon."""
        await self.membership.stop()
        await self.exchange.stop()
        await self.links.stop()

    async def measure(self, load: Load) -> Sample:
        """Work under a load for its duration and return what it used."""
        traffic = self.links.traffic
        counts_before = (
            self.facts_learned,
            self.loads_told,
            self.grants,
            self.grants_failed,
        )
        before = traffic.totals()
        bytes_by_kind_before = (
            traffic.bytes_sent_by_kind + traffic.bytes_received_by_kind
        )
        started, processor_started = time.monotonic(), time.process_time()
        await self._work(load)
        after = traffic.totals()
        processor_seconds = time.process_time() - processor_started
        bytes_by_kind = traffic.bytes_sent_by_kind + traffic.bytes_received_by_kind
        bytes_by_kind.subtract(bytes_by_kind_before)
        frames = _frame_count(after) - _frame_count(before)
        return Sample(
            seconds=time.monotonic() - started,
            processor_seconds=processor_seconds,
            frames=frames,
            frame_bytes=_byte_count(after) - _byte_count(before),
            packet_bytes=after.bytes_with_packets - before.bytes_with_packets,
            lasting_links=len(self.links.persistent_links()),
            links=self.links.link_count(),
            facts_learned=self.facts_learned - counts_before[0],
            loads_told=self.loads_told - counts_before[1],
            grants=self.grants - counts_before[2],
            grants_failed=self.grants_failed - counts_before[3],
            resident_bytes=resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * 1024,
            bytes_by_kind={
                kind: count for kind, count in bytes_by_kind.items() if count
            },
        )

    async def _work(self, load: Load) -> None:
        workers = []
        if load.tells_loads:
            workers.append(asyncio.create_task(self._publish_loads()))
        if load.grants_per_second:
            rate = load.grants_per_second
            workers.append(asyncio.create_task(self._request_grants(rate)))
        await asyncio.sleep(load.seconds)
        for worker in workers:
            worker.cancel()
        await asyncio.gather(*workers, return_exceptions=True)

    async def _publish_loads(self) -> None:
        walks = [LoadWalk(model, self._rng) for model in MODELS]
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(1.0)
            sums = tuple(walk.step() for walk in walks)
            owners = len(self.membership.membership.usable_daemons())
            self.loads_told += self._publisher.publish_if_due(sums, loop.time(), owners)

    async def _request_grants(self, rate: float) -> None:
        while True:
            await asyncio.sleep(self._rng.expovariate(rate))
            task = asyncio.create_task(self._request_grant())
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _request_grant(self) -> None:
        peer_ids = [
            daemon.daemon_id
            for daemon in self.membership.membership.usable_daemons()
            if daemon.daemon_id != self.daemon_id
        ]
        owner_id = self._rng.choice(peer_ids)
        try:
            grant = await self.links.call(
                owner_id, self._make_acquire_message(), CALL_TIMEOUT_SECONDS
            )
            release = Release(grant.grant_id, Outcome.COMPLETED, 0.21, 3200, 3072, 220)
            await self.links.send(owner_id, release)
            self.grants += 1
        except LinkError:
            self.grants_failed += 1

    def _make_acquire_message(self) -> AcquireSlot:
        number = self._rng.getrandbits(20)
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

    def _handle_acquire(self, message: AcquireSlot, sender: Identity) -> Grant:
        request = evolve(message.request, deadline=message.remaining_seconds)
        return Grant(f"g-{request.request_id}", request.request_id, "engine-17", 1, 64)

    def _count_load_sum(self, load_sum: LoadSum) -> None:
        # A load fact has one sum per model; count the fact once.
        self.facts_learned += load_sum.model == MODELS[0]


def _frame_count(totals) -> int:
    return totals.frames_sent + totals.frames_received


def _byte_count(totals) -> int:
    return totals.bytes_sent + totals.bytes_received


def sample_as_dict(sample: Sample) -> dict:
    """Return a sample as a dictionary that can be encoded as JSON."""
    return asdict(sample)
