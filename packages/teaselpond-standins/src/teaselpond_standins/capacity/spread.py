"""Measure how soon a change is in force on every daemon of a fleet."""

import asyncio
import time
from contextlib import AsyncExitStack

from attrs import define, field, frozen

from teaselpond.assembly.configuration_links import LinkedConfiguration
from teaselpond.configuration import ConfigurationKeeper, NoLinks
from teaselpond.links import Identity, LinkKeys, LinkManager
from teaselpond.links.exchange import FactExchange
from teaselpond.links.facts import FactStore
from teaselpond.membership import MembershipService
from teaselpond.membership.records import HOST_TOPIC, MEMBER_TOPIC
from teaselpond_model.configuration import AdminState, Outage
from teaselpond_model.configuration.proposals import (
    DocumentProposal,
    Proposal,
    StateProposal,
)
from teaselpond_model.configuration.store import Author, Commit, ConfigurationStore
from teaselpond_model.contracts import Address
from teaselpond_model.platform import Platform

from ..platform import PlatformFaultKind, PlatformStandin
from .documents import make_document

SETTLE_SECONDS = 60.0
KINDS = ("config-notice", "config-request", "config-delta")


@frozen
class Spread:
    """Hold the times of changes until the last daemon had them in force."""

    daemons: int
    way: str
    seconds: tuple[float, ...]
    link_bytes_per_change: int
    table_reads_per_second: float

    def quantile(self, share: float) -> float:
        """Return the time that a share of the changes kept to."""
        ordered = sorted(self.seconds)
        return ordered[min(int(share * len(ordered)), len(ordered) - 1)]


@define(eq=False)
class Follower:
    """Hold the parts of one daemon that follow the configuration."""

    daemon_id: str
    zone: str
    platform: Platform
    linked: bool
    keeper: ConfigurationKeeper = field(init=False)
    links: LinkManager = field(init=False)
    exchange: FactExchange = field(init=False)
    membership: MembershipService = field(init=False)
    _task: asyncio.Task | None = None

    async def __aenter__(self) -> "Follower":
        identity = Identity(
            self.daemon_id, int(time.time() * 1000), self.zone, Address("127.0.0.1", 0)
        )
        self.links = LinkManager(identity, LinkKeys((b"measured",)))
        self.exchange = FactExchange(
            self.links, FactStore(), (MEMBER_TOPIC, HOST_TOPIC)
        )
        self.membership = MembershipService(
            self.links, self.exchange, self.platform.hosts, Address("127.0.0.1", 1)
        )
        carried = LinkedConfiguration(self.links) if self.linked else NoLinks()
        self.keeper = ConfigurationKeeper(self.platform.table, carried)
        if self.linked:
            carried.attach(self.keeper)
        await self.links.start()
        self.exchange.start()
        self.membership.start()
        self._task = asyncio.create_task(self.keeper.run())
        return self

    async def __aexit__(self, *exception: object) -> None:
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)
        await self.membership.stop()
        await self.exchange.stop()
        await self.links.stop()

    async def reach(self, version: int, outages: int = 0) -> None:
        """Wait until a version with some open orders is in force."""
        reached = asyncio.Event()

        def look(value) -> None:
            if value and value.version >= version and len(value.outages) >= outages:
                reached.set()

        with self.keeper.in_force.subscribe(look):
            await asyncio.wait_for(reached.wait(), SETTLE_SECONDS)

    def link_bytes(self) -> int:
        """Return the bytes of configuration messages sent."""
        return sum(self.links.traffic.bytes_sent_by_kind[kind] for kind in KINDS)


async def measure_spread(
    daemons: int, changes: int, workspaces: int, *, linked: bool
) -> Spread:
    """Commit changes one after the other, and time each of them."""
    async with AsyncExitStack() as stack:
        standin = await stack.enter_async_context(PlatformStandin())
        platform = await stack.enter_async_context(Platform.open(standin.base_url))
        store = ConfigurationStore(standin.table)
        await _commit(store, DocumentProposal(make_document(workspaces), 0))
        followers = await _start(stack, platform, daemons, linked)
        await asyncio.gather(*(each.reach(1) for each in followers))
        await asyncio.sleep(3.0)
        seconds = []
        sent = sum(each.link_bytes() for each in followers)
        reads, started = standin.faults.reads, time.monotonic()
        for number in range(changes):
            state = AdminState.IN if number % 2 else AdminState.OUT
            version = await _commit(store, StateProposal("zones", "zone-0", state))
            accepted = time.monotonic()
            await asyncio.gather(*(each.reach(version) for each in followers))
            seconds.append(time.monotonic() - accepted)
        sent = sum(each.link_bytes() for each in followers) - sent
        passed = time.monotonic() - started
        reads = standin.faults.reads - reads
    way = "push and poll" if linked else "poll alone"
    return Spread(daemons, way, tuple(seconds), sent // changes, reads / passed)


async def measure_outages(daemons: int, orders: int, workspaces: int) -> Spread:
    """Order hosts out by the links alone, while the platform is away."""
    async with AsyncExitStack() as stack:
        standin = await stack.enter_async_context(PlatformStandin())
        platform = await stack.enter_async_context(Platform.open(standin.base_url))
        store = ConfigurationStore(standin.table)
        await _commit(store, DocumentProposal(make_document(workspaces), 0))
        followers = await _start(stack, platform, daemons, True)
        await asyncio.gather(*(each.reach(1) for each in followers))
        await asyncio.sleep(3.0)
        standin.faults.add(PlatformFaultKind.REFUSE)
        seconds = []
        sent = sum(each.link_bytes() for each in followers)
        for number in range(orders):
            accepted = time.monotonic()
            outage = Outage(f"o-{number}", "hosts", f"engine-{number}", "operator")
            followers[number % daemons].keeper.start_outage(outage, force=True)
            waits = (each.reach(1, number + 1) for each in followers)
            await asyncio.gather(*waits)
            seconds.append(time.monotonic() - accepted)
        sent = sum(each.link_bytes() for each in followers) - sent
    return Spread(daemons, "links, store away", tuple(seconds), sent // orders, 0.0)


async def _start(
    stack: AsyncExitStack, platform: Platform, daemons: int, linked: bool
) -> list[Follower]:
    return [
        await stack.enter_async_context(
            Follower(f"daemon-{number}", f"zone-{number % 3}", platform, linked)
        )
        for number in range(daemons)
    ]


async def _commit(store: ConfigurationStore, proposal: Proposal) -> int:
    replica = await store.load()
    edit = await store.edit(proposal, replica)
    apply_id = f"apply-{replica.head.version}"
    commit = Commit(edit, Author("operator"), apply_id, time.time(), force=True)
    return (await store.commit(commit, replica)).version
