"""Measure the time until a change is in force on every daemon."""

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

VERSION_TIMEOUT_SECONDS = 60.0
CONFIGURATION_MESSAGE_KINDS = ("config-notice", "config-request", "config-delta")


@frozen
class Propagation:
    """Hold the seconds from each change until all daemons had it in force.

    ``transport`` names how the changes reached the daemons.
    """

    daemons: int
    transport: str
    seconds: tuple[float, ...]
    link_bytes_per_change: int
    table_reads_per_second: float

    def quantile(self, share: float) -> float:
        """Return the seconds within which a share of the changes arrived."""
        ordered = sorted(self.seconds)
        return ordered[min(int(share * len(ordered)), len(ordered) - 1)]


@define(eq=False)
class Follower:
    """Run the parts of one daemon that follow the configuration.

    Without ``linked``, the daemon only polls the platform's table.
    """

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
        configuration_links = (
            LinkedConfiguration(self.links) if self.linked else NoLinks()
        )
        self.keeper = ConfigurationKeeper(self.platform.table, configuration_links)
        if self.linked:
            configuration_links.attach(self.keeper)
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

    async def wait_for_version(self, version: int, outages: int = 0) -> None:
        """Wait until a version with this many open outages is in force.

        Raise TimeoutError after ``VERSION_TIMEOUT_SECONDS``.
        """
        reached = asyncio.Event()

        def check(configuration) -> None:
            if (
                configuration
                and configuration.version >= version
                and len(configuration.outages) >= outages
            ):
                reached.set()

        with self.keeper.in_force.subscribe(check):
            await asyncio.wait_for(reached.wait(), VERSION_TIMEOUT_SECONDS)

    def link_bytes(self) -> int:
        """Return the bytes of all configuration messages sent."""
        return sum(
            self.links.traffic.bytes_sent_by_kind[kind]
            for kind in CONFIGURATION_MESSAGE_KINDS
        )


async def measure_propagation(
    daemons: int, changes: int, workspaces: int, *, linked: bool
) -> Propagation:
    """Commit changes one after the other and time each of them."""
    async with AsyncExitStack() as stack:
        standin = await stack.enter_async_context(PlatformStandin())
        platform = await stack.enter_async_context(Platform.open(standin.base_url))
        store = ConfigurationStore(standin.table)
        await _commit(store, DocumentProposal(make_document(workspaces), 0))
        followers = await _start_followers(stack, platform, daemons, linked)
        await asyncio.gather(*(each.wait_for_version(1) for each in followers))
        await asyncio.sleep(3.0)
        seconds = []
        sent_bytes = sum(each.link_bytes() for each in followers)
        reads, started = standin.faults.reads, time.monotonic()
        for number in range(changes):
            state = AdminState.IN if number % 2 else AdminState.OUT
            version = await _commit(store, StateProposal("zones", "zone-0", state))
            accepted = time.monotonic()
            await asyncio.gather(
                *(each.wait_for_version(version) for each in followers)
            )
            seconds.append(time.monotonic() - accepted)
        sent_bytes = sum(each.link_bytes() for each in followers) - sent_bytes
        elapsed = time.monotonic() - started
        reads = standin.faults.reads - reads
    transport = "push and poll" if linked else "poll alone"
    return Propagation(
        daemons, transport, tuple(seconds), sent_bytes // changes, reads / elapsed
    )


async def measure_outage_propagation(
    daemons: int, outages: int, workspaces: int
) -> Propagation:
    """Time outages that reach the daemons by links only.

    The platform refuses all calls meanwhile.
    """
    async with AsyncExitStack() as stack:
        standin = await stack.enter_async_context(PlatformStandin())
        platform = await stack.enter_async_context(Platform.open(standin.base_url))
        store = ConfigurationStore(standin.table)
        await _commit(store, DocumentProposal(make_document(workspaces), 0))
        followers = await _start_followers(stack, platform, daemons, True)
        await asyncio.gather(*(each.wait_for_version(1) for each in followers))
        await asyncio.sleep(3.0)
        standin.faults.add(PlatformFaultKind.REFUSE)
        seconds = []
        sent_bytes = sum(each.link_bytes() for each in followers)
        for number in range(outages):
            accepted = time.monotonic()
            outage = Outage(f"o-{number}", "hosts", f"engine-{number}", "operator")
            followers[number % daemons].keeper.start_outage(outage, force=True)
            waits = (each.wait_for_version(1, number + 1) for each in followers)
            await asyncio.gather(*waits)
            seconds.append(time.monotonic() - accepted)
        sent_bytes = sum(each.link_bytes() for each in followers) - sent_bytes
    return Propagation(
        daemons, "links, store away", tuple(seconds), sent_bytes // outages, 0.0
    )


async def _start_followers(
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
