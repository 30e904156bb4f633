"""Provide in-memory fleets of configuration keepers for tests."""

import asyncio

from teaselpond.configuration import (
    ConfigurationDelta,
    ConfigurationKeeper,
    ConfigurationNotice,
    ConfigurationRequest,
    KeeperSettings,
)
from teaselpond_model.configuration import AdminState, read_toml
from teaselpond_model.configuration.proposals import DocumentProposal, StateProposal
from teaselpond_model.configuration.store import Author, Commit, ConfigurationStore
from teaselpond_model.exceptions import StoreUnavailable
from teaselpond_standins.platform import MemoryTable
from teaselpond_standins.testing import AsyncTestCase

DOCUMENT = """
[zones.innsbruck]
region = "tyrol"
[zones.lienz]
region = "tyrol"
"""


class Fleet:
    """Connect keepers in memory; their links can be cut."""

    def __init__(self, table: MemoryTable, size: int) -> None:
        self.table = table
        self.keepers_by_id: dict[str, ConfigurationKeeper] = {}
        self.cut_links: set[frozenset[str]] = set()
        self.pulled_entries = 0
        for number in range(size):
            self.start(f"d{number}")

    def start(self, daemon_id: str) -> ConfigurationKeeper:
        """Add a daemon, or replace it by one without a configuration."""
        keeper = ConfigurationKeeper(
            self.table,
            MemoryLinks(self, daemon_id),
            settings=KeeperSettings(poll_seconds=0.01),
            jitter=lambda: 0.5,
        )
        self.keepers_by_id[daemon_id] = keeper
        return keeper

    def versions(self) -> list[int]:
        """Return the version in force on each daemon, or 0 without one."""
        values = (keeper.in_force.value for keeper in self.keepers_by_id.values())
        return [value.version if value else 0 for value in values]


class MemoryLinks:
    """Implement ConfigurationLinks for one keeper of a fleet."""

    def __init__(self, fleet: Fleet, daemon_id: str) -> None:
        self.fleet = fleet
        self.daemon_id = daemon_id

    def peer_ids(self) -> tuple[str, ...]:
        """Return the daemons whose links are not cut."""
        return tuple(
            peer_id
            for peer_id in self.fleet.keepers_by_id
            if peer_id != self.daemon_id
            and frozenset((peer_id, self.daemon_id)) not in self.fleet.cut_links
        )

    def announce(self, notice: ConfigurationNotice) -> None:
        """Deliver the notice to all linked keepers immediately."""
        for peer_id in self.peer_ids():
            peer = self.fleet.keepers_by_id[peer_id]
            peer.handle_notice(self.daemon_id, notice)

    async def pull(
        self, peer_id: str, request: ConfigurationRequest
    ) -> ConfigurationDelta:
        """Return the peer's delta, or raise an error if the link is cut."""
        if peer_id not in self.peer_ids():
            raise StoreUnavailable("the link is cut", peer=peer_id)
        await asyncio.sleep(0)
        delta = self.fleet.keepers_by_id[peer_id].build_delta(request)
        self.fleet.pulled_entries += len(delta.entries)
        return delta


class KeeperTestCase(AsyncTestCase):
    """Provide a table and helpers that commit versions to it."""

    def setUp(self) -> None:
        super().setUp()
        self.table = MemoryTable()
        self.applied = 0

    async def commit(self, proposal) -> int:
        """Commit a proposal and return its version."""
        store = ConfigurationStore(self.table)
        replica = await store.load()
        edit = await store.edit(proposal, replica)
        self.applied += 1
        apply_id = f"apply-{self.applied}"
        commit = Commit(edit, Author("operator"), apply_id, 0.0, force=True)
        return (await store.commit(commit, replica)).version

    async def advance(self) -> int:
        """Commit the first version, or one that takes a zone out or in."""
        if not self.applied:
            document = read_toml(DOCUMENT).document
            return await self.commit(DocumentProposal(document, 0))
        state = AdminState.OUT if self.applied % 2 else AdminState.IN
        return await self.commit(StateProposal("zones", "lienz", state))
