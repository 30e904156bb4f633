"""Test memberships over real links, with crashes and blocked links."""

import asyncio
import contextlib
import random

from attrs import define, evolve, field

from teaselpond.links import (
    Identity,
    LinkKeys,
    LinkManager,
    LinkSettings,
    PeerUnavailable,
)
from teaselpond.links.exchange import ExchangeSettings, FactExchange
from teaselpond.links.facts import FactStore
from teaselpond.links.link import Link
from teaselpond.links.messages import HelloRefused, RefusalReason
from teaselpond.membership import (
    DaemonState,
    MembershipService,
    MembershipSettings,
    UpstreamState,
)
from teaselpond.membership.damping import DampingSettings
from teaselpond.membership.records import HOST_TOPIC, MEMBER_TOPIC
from teaselpond.membership.suspicion import SuspicionSettings
from teaselpond_model.contracts import Address, Host, HostKind, HostState
from teaselpond_model.exceptions import StoreUnavailable
from teaselpond_standins.testing import AsyncTestCase
from teaselpond_standins.testing.waiting import wait_until

LOOPBACK = Address("127.0.0.1", 0)
ENGINE = Host("e1", Address("127.0.0.1", 8), "zone-a", HostKind.ENGINE)
LINKS = LinkSettings(
    heartbeat_seconds=0.05,
    silence_seconds=0.4,
    handshake_seconds=0.5,
    redial_min_seconds=0.02,
    redial_max_seconds=0.2,
)
SETTINGS = MembershipSettings(
    poll_seconds=0.1,
    tick_seconds=0.05,
    reconnect_seconds=0.2,
    list_lag_seconds=0.5,
    suspicion=SuspicionSettings(0.2, 1.0, 0.5),
    damping=DampingSettings(half_life_seconds=1.5),
)
EXCHANGE = ExchangeSettings(push_seconds=0.02, digest_seconds=0.2)


@define
class Directory:
    """Stand in for the platform's host list."""

    hosts_by_id: dict[str, Host] = field(factory=dict)
    is_unavailable: bool = False
    frozen_hosts: tuple[Host, ...] | None = None

    async def list_hosts(self) -> tuple[Host, ...]:
        """Return the registered hosts, or ``frozen_hosts`` if they are set."""
        if self.is_unavailable:
            raise StoreUnavailable("the host list is unavailable", step="hosts")
        if self.frozen_hosts is not None:
            return self.frozen_hosts
        return tuple(self.hosts_by_id.values())

    async def register(self, host: Host) -> None:
        """Add or replace a host."""
        if self.is_unavailable:
            raise StoreUnavailable("the host list is unavailable", step="hosts")
        self.hosts_by_id[host.host_id] = host


@define(eq=False)
class BlockableLinks(LinkManager):
    """Refuse incoming and outgoing links with blocked daemons."""

    blocked_ids: set[str] = field(factory=set)

    def block(self, daemon_id: str) -> None:
        """Abort the links with a daemon and refuse new ones."""
        self.blocked_ids.add(daemon_id)
        for link in self._links.to_peer(daemon_id):
            link.abort("blocked")

    def _check_peer(self, peer: Identity) -> HelloRefused | None:
        if peer.daemon_id in self.blocked_ids:
            return HelloRefused(RefusalReason.WRONG_KEY)
        return LinkManager._check_peer(self, peer)

    async def _dial(self, daemon_id: str, *, persistent: bool) -> Link:
        if daemon_id in self.blocked_ids:
            raise PeerUnavailable("blocked", step="dial", peer=daemon_id)
        return await LinkManager._dial(self, daemon_id, persistent=persistent)


@define(eq=False)
class Node:
    """Hold one daemon's links, facts and membership."""

    links: BlockableLinks
    exchange: FactExchange
    service: MembershipService

    async def start(self) -> None:
        """Start the parts in order."""
        await self.links.start()
        self.exchange.start()
        self.service.start()

    async def stop(self) -> None:
        """Stop the parts in order."""
        await self.service.stop()
        await self.exchange.stop()
        await self.links.stop()

    async def crash(self) -> None:
        """Stop without announcing it to other daemons."""
        for task in [*self.service._tasks, *self.exchange._tasks]:
            task.cancel()
        for link in list(self.links._links):
            link.abort("crash")
        await self.links.stop()

    def state_of(self, daemon_id: str) -> DaemonState | None:
        """Return the state of another daemon in this daemon's membership."""
        daemon = self.service.membership.daemons_by_id.get(daemon_id)
        return daemon.state if daemon is not None else None

    def alive_ids(self) -> set[str]:
        """Return the daemons that are alive in this daemon's membership."""
        daemons = self.service.membership.daemons_by_id.values()
        return {each.daemon_id for each in daemons if each.state is DaemonState.ALIVE}


def make_node(
    daemon_id: str, directory: Directory, incarnation: int = 1, **changes
) -> Node:
    """Create a daemon that is not started."""
    identity = Identity(daemon_id, incarnation, "zone-a", LOOPBACK)
    links = BlockableLinks(identity, LinkKeys((b"k",)), LINKS, random.Random(daemon_id))
    topics = (MEMBER_TOPIC, HOST_TOPIC)
    exchange = FactExchange(
        links, FactStore(), topics, EXCHANGE, random.Random(daemon_id)
    )
    service = MembershipService(
        links,
        exchange,
        directory,
        Address("127.0.0.1", 9),
        evolve(SETTINGS, **changes),
        random.Random(daemon_id),
    )
    return Node(links, exchange, service)


class MembershipServiceTests(AsyncTestCase):
    """Test the states of daemons and upstreams in each membership."""

    @contextlib.asynccontextmanager
    async def fleet(self, size: int, **changes):
        """Run daemons, and wait until each sees all of them alive."""
        directory = Directory()
        nodes = [
            make_node(f"d{number}", directory, **changes) for number in range(size)
        ]
        for node in nodes:
            await node.start()
        ids = {f"d{number}" for number in range(size)}
        try:
            await wait_until(lambda: all(node.alive_ids() == ids for node in nodes), 20)
            yield nodes, directory
        finally:
            for node in nodes:
                await node.stop()

    async def test_small_fleet_forms_full_mesh(self) -> None:
        """Link every pair of a small fleet."""
        async with self.fleet(4) as (nodes, _):
            await wait_until(
                lambda: all(len(node.links.linked_peers()) == 3 for node in nodes)
            )

    async def test_crashed_daemon_is_gone_and_rejoins_after_restart(self) -> None:
        """Detect a crash, and a restart under a new incarnation."""
        async with self.fleet(4) as (nodes, directory):
            crashed = nodes.pop()
            await crashed.crash()
            await wait_until(
                lambda: all(n.state_of("d3") is DaemonState.GONE for n in nodes)
            )
            restarted = make_node("d3", directory, incarnation=2)
            nodes.append(restarted)
            await restarted.start()
            await wait_until(
                lambda: all(n.state_of("d3") is DaemonState.ALIVE for n in nodes)
            )

    async def test_leaving_spreads_without_the_platform(self) -> None:
        """Announce over the links only that a daemon leaves."""
        async with self.fleet(3) as (nodes, directory):
            directory.is_unavailable = True
            await nodes[0].service.leave()
            await wait_until(
                lambda: all(n.state_of("d0") is DaemonState.LEAVING for n in nodes)
            )
            self.assertEqual(2, len(nodes[1].service.membership.usable_daemons()))

    async def test_membership_survives_platform_outage(self) -> None:
        """Keep the members, and admit a new daemon that knows one of them."""
        async with self.fleet(3) as (nodes, directory):
            directory.is_unavailable = True
            newcomer = make_node("new", directory)
            nodes.append(newcomer)
            newcomer.links.set_peers([])
            await newcomer.start()
            newcomer.service._view.set_host("d0", directory.hosts_by_id["d0"])
            await wait_until(lambda: all(len(n.alive_ids()) == 4 for n in nodes))
            # Long enough for the poll of every daemon to fail.
            await asyncio.sleep(1.0)
            directory.is_unavailable = False
            await directory.register(ENGINE)
            await wait_until(
                lambda: all(n.service.membership.upstreams_by_id for n in nodes)
            )

    async def test_stale_list_does_not_restore_crashed_daemon(self) -> None:
        """Keep a crashed daemon gone while a stale list still contains it."""
        async with self.fleet(3) as (nodes, directory):
            directory.frozen_hosts = tuple(directory.hosts_by_id.values())
            crashed = nodes.pop()
            await crashed.crash()
            del directory.hosts_by_id["d2"]
            await wait_until(
                lambda: all(n.state_of("d2") is DaemonState.GONE for n in nodes)
            )
            await asyncio.sleep(0.5)
            self.assertEqual(DaemonState.GONE, nodes[0].state_of("d2"))
            directory.frozen_hosts = None
            await wait_until(lambda: all(n.state_of("d2") is None for n in nodes))

    async def test_one_broken_path_removes_no_daemon(self) -> None:
        """Let a daemon refute the suspicion of one that cannot reach it."""
        async with self.fleet(3) as (nodes, _):
            states = []
            nodes[2].service.memberships.subscribe(
                lambda membership: states.append(membership.daemons_by_id["d1"].state)
            )
            nodes[0].links.block("d1")
            nodes[1].links.block("d0")
            await wait_until(lambda: DaemonState.SUSPECT in states)
            await wait_until(
                lambda: (
                    nodes[2].state_of("d1") is DaemonState.ALIVE
                    and nodes[0].state_of("d1") is DaemonState.ALIVE
                )
            )
            self.assertNotIn(DaemonState.GONE, states)

    async def test_partition_heals(self) -> None:
        """Declare the other side gone, and rejoin after the partition."""
        async with self.fleet(4) as (nodes, _):
            sides = (nodes[:2], nodes[2:])
            for side, other in (sides, sides[::-1]):
                for node in side:
                    for remote in other:
                        node.links.block(remote.links.identity.daemon_id)
            await wait_until(lambda: all(self.sees_gone(n, 2) for n in nodes))
            for node in nodes:
                node.links.blocked_ids.clear()
            await wait_until(lambda: all(len(n.alive_ids()) == 4 for n in nodes))

    def sees_gone(self, node: Node, count: int) -> bool:
        """Return whether a daemon sees exactly ``count`` others as gone."""
        daemons = node.service.membership.daemons_by_id.values()
        return count == sum(each.state is DaemonState.GONE for each in daemons)

    async def test_upstreams_join_leave_and_flap(self) -> None:
        """Update listed upstreams on all daemons, and damp flapping ones."""
        async with self.fleet(2, list_lag_seconds=0.0) as (nodes, directory):

            def state() -> set:
                found = (n.service.membership.upstreams_by_id.get("e1") for n in nodes)
                return {each and each.state for each in found}

            await directory.register(ENGINE)
            await wait_until(lambda: state() == {UpstreamState.LIVE})
            await directory.register(evolve(ENGINE, state=HostState.LEAVING))
            await wait_until(lambda: state() == {UpstreamState.LEAVING})
            for _ in range(3):
                del directory.hosts_by_id["e1"]
                await wait_until(lambda: state() == {None})
                await directory.register(ENGINE)
                await wait_until(lambda: None not in state())
            self.assertIn(UpstreamState.FLAPPING, state())
            await wait_until(lambda: state() == {UpstreamState.LIVE})
