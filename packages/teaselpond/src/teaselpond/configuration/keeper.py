"""Follow the accepted configuration, and never go back."""

import asyncio
import random
import time
from collections.abc import Callable, Iterable

from absl import logging
from attrs import frozen
from reactivex.subject import BehaviorSubject

from teaselpond_model.configuration import (
    CONFIGURATION_PREFIX,
    HEAD_KEY,
    DocumentInvalid,
    Outage,
)
from teaselpond_model.configuration.exceptions import ReplicaBroken
from teaselpond_model.configuration.outages import commit_outage
from teaselpond_model.configuration.replica import Replica
from teaselpond_model.configuration.store import ConfigurationStore
from teaselpond_model.contracts import Check, TableEntry, TableService
from teaselpond_model.exceptions import (
    StoreUnavailable,
    TeaselpondError,
    TransactionConflict,
)

from .in_force import ConfigurationInForce, in_force_from
from .links import ConfigurationLinks
from .messages import (
    ChangedEntry,
    ConfigurationDelta,
    ConfigurationNotice,
    ConfigurationRequest,
)
from .outages import PendingOutages, check_outage

POLL_SECONDS = 2.0
POLL_JITTER_RATIO = 0.25
STORE_TIMEOUT_SECONDS = 2.0
PULL_TIMEOUT_SECONDS = 1.0
WRITE_TIMEOUT_SECONDS = 5.0
STORE = "store"


@frozen
class KeeperSettings:
    """Set how often the table service is asked, and for how long."""

    poll_seconds: float = POLL_SECONDS
    store_timeout_seconds: float = STORE_TIMEOUT_SECONDS
    pull_timeout_seconds: float = PULL_TIMEOUT_SECONDS


class ConfigurationKeeper:
    """Hold the newest accepted configuration that this daemon has learned.

    ``in_force`` emits None until the configuration is confirmed: by a
    check of the table service that no stale read passes, or by a peer.
    """

    def __init__(
        self,
        table: TableService,
        links: ConfigurationLinks,
        *,
        settings: KeeperSettings | None = None,
        jitter: Callable[[], float] = random.random,
        count: Callable[[str], None] = lambda name: None,
    ) -> None:
        self.table = table
        self.store = ConfigurationStore(table)
        self.links = links
        self.settings = settings or KeeperSettings()
        self.jitter = jitter
        self.count = count
        self.replica = Replica()
        self.pending = PendingOutages()
        self.in_force: BehaviorSubject[ConfigurationInForce | None] = BehaviorSubject(
            None
        )
        self.store_answered_at: float | None = None
        self._confirmed = False
        self._table_versions_by_peer: dict[str, int] = {}
        self._behind = asyncio.Event()

    @property
    def is_ready(self) -> bool:
        """Tell whether a configuration is in force."""
        return self.in_force.value is not None

    async def run(self) -> None:
        """Follow the table service and the peers until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._follow_store())
            group.create_task(self._follow_peers())

    async def _follow_store(self) -> None:
        while True:
            answers = await self.poll(time.monotonic())
            if not self._confirmed:
                await self.ask_peers()
            if answers:
                await self.write_outages(time.time())
            spread = 1 + POLL_JITTER_RATIO * (2 * self.jitter() - 1)
            await asyncio.sleep(self.settings.poll_seconds * spread)

    async def _follow_peers(self) -> None:
        while True:
            await self._behind.wait()
            self._behind.clear()
            await self.catch_up()

    async def poll(self, now: float) -> bool:
        """Take what changed from the table service; tell if it answers."""
        try:
            async with asyncio.timeout(self.settings.store_timeout_seconds):
                await self._read_store()
                if not self._confirmed:
                    await self._confirm()
        except (StoreUnavailable, TimeoutError) as error:
            self.count("configuration.store_unavailable")
            logging.log_every_n_seconds(
                logging.WARNING, "configuration isn't polled: %s", 10, error
            )
            return False
        self.store_answered_at = now
        return True

    async def _read_store(self) -> None:
        known = self.replica
        page = await self.table.scan(CONFIGURATION_PREFIX, known.table_version)
        self.adopt(page.entries, known, STORE)

    async def _confirm(self) -> None:
        # A read may come from a stale copy of the table; a transaction may
        # not. Its check holds only if the head that was read is the last.
        check = Check(HEAD_KEY, self.replica.table_version)
        try:
            await self.table.transact((check,), ())
        except TransactionConflict:
            self.count("configuration.stale_read")
            return
        self._confirm_by(STORE)

    def _confirm_by(self, source: str) -> None:
        if self._confirmed or not self.replica.head.version:
            return
        self._confirmed = True
        logging.info(
            "configuration version %d is confirmed by %s",
            self.replica.head.version,
            source,
        )
        self._publish()

    def adopt(self, entries: Iterable[TableEntry], known: Replica, source: str) -> bool:
        """Put newer entries in force, and tell whether there were any.

        ``known`` is the replica that the entries follow.
        """
        try:
            advanced = known.with_entries(entries)
        except (ReplicaBroken, DocumentInvalid, KeyError, ValueError) as error:
            self.count("configuration.delta_refused")
            logging.error("a delta from %s is refused: %s", source, error)
            return False
        if advanced.table_version <= self.replica.table_version:
            return False
        self.replica = advanced
        self.pending.drop_settled(advanced)
        if self._confirmed:
            self._publish()
        return True

    def _publish(self) -> None:
        head = self.replica.head
        self.count("configuration.in_force")
        logging.info("configuration version %d is in force", head.version)
        self.links.announce(self.notice())
        try:
            self.in_force.on_next(in_force_from(self.replica, self.pending))
        except Exception:
            # One listener's fault must not stop the daemon from following.
            self.count("configuration.listener_failed")
            logging.exception("a listener to the configuration failed")

    def take_outages(self, outages: Iterable[Outage]) -> None:
        """Carry out orders that are news, and pass them on."""
        if not self.pending.add(outages, self.replica):
            return
        self.count("configuration.outage")
        if self._confirmed:
            self._publish()
        else:
            self.links.announce(self.notice())

    def order_out(self, outage: Outage, force: bool = False) -> None:
        """Carry out an operator's order that the table can't take now.

        Raise DocumentInvalid or DocumentError when it is refused.
        """
        if not force:
            check_outage(in_force_from(self.replica, self.pending).document, outage)
        logging.warning("%s took out %s", outage.who, outage.item_id)
        self.take_outages((outage,))

    async def write_outages(self, now: float) -> None:
        """Write the orders down that no version holds, as the store allows.

        ``now`` is in seconds since the epoch.
        """
        for outage in self.pending:
            try:
                async with asyncio.timeout(WRITE_TIMEOUT_SECONDS):
                    replica = await self.store.load(self.replica)
                    if not outage.is_resolved(replica):
                        await commit_outage(self.store, outage, replica, now)
            except (TeaselpondError, DocumentInvalid, TimeoutError) as error:
                self.count("configuration.outage_unwritten")
                logging.warning("an order isn't written down yet: %s", error)

    def notice(self) -> ConfigurationNotice:
        """Return what peers are told of this daemon's version."""
        if not self._confirmed:
            return ConfigurationNotice(0, 0, tuple(self.pending))
        return ConfigurationNotice(
            self.replica.head.version, self.replica.table_version, tuple(self.pending)
        )

    def handle_notice(self, peer_id: str, notice: ConfigurationNotice) -> None:
        """Learn a peer's version; it is asked for a delta if it is newer."""
        self._table_versions_by_peer[peer_id] = notice.table_version
        self.take_outages(notice.outages)
        if notice.table_version > self.replica.table_version:
            self._behind.set()

    def forget_peer(self, peer_id: str) -> None:
        """Drop a peer that is no longer linked."""
        self._table_versions_by_peer.pop(peer_id, None)

    def answer(self, request: ConfigurationRequest) -> ConfigurationDelta:
        """Return what a peer lacks; nothing until it is confirmed here."""
        after, outages = request.after_table_version, tuple(self.pending)
        if not self._confirmed:
            return ConfigurationDelta(after, 0, (), outages)
        entries = self.replica.changed_after(after)
        changed = tuple(ChangedEntry(e.key, e.value, e.version) for e in entries)
        return ConfigurationDelta(after, self.replica.table_version, changed, outages)

    async def catch_up(self) -> None:
        """Pull from peers that are ahead, until one delta brings it level."""
        versions = self._table_versions_by_peer
        for peer_id in sorted(versions, key=lambda p: (-versions[p], self.jitter())):
            if versions.get(peer_id, 0) > self.replica.table_version:
                await self.pull(peer_id)

    async def ask_peers(self) -> None:
        """Pull from every peer, and confirm the highest version they have."""
        peer_ids = self.links.peer_ids()
        answered = await asyncio.gather(*(self.pull(peer_id) for peer_id in peer_ids))
        if any(answered):
            self._confirm_by("peers")

    async def pull(self, peer_id: str) -> bool:
        """Take a peer's delta; tell whether the peer has a configuration."""
        known = self.replica
        request = ConfigurationRequest(known.table_version)
        try:
            async with asyncio.timeout(self.settings.pull_timeout_seconds):
                delta = await self.links.pull(peer_id, request)
        except (TeaselpondError, TimeoutError) as error:
            self.count("configuration.pull_failed")
            logging.warning("peer %s gave no configuration: %s", peer_id, error)
            return False
        if delta.after_table_version != known.table_version:
            return False
        entries = [TableEntry(e.key, e.value, e.version) for e in delta.entries]
        self.adopt(entries, known, peer_id)
        self.take_outages(delta.outages)
        return delta.table_version > 0
