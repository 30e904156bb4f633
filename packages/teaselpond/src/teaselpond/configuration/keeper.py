"""Replicate the accepted configuration without reverting to old versions."""

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

from .in_force import ConfigurationInForce, build_in_force
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
STORE_SOURCE = "store"


@frozen
class KeeperSettings:
    """Configure the poll interval and the timeouts of store and peers."""

    poll_seconds: float = POLL_SECONDS
    store_timeout_seconds: float = STORE_TIMEOUT_SECONDS
    pull_timeout_seconds: float = PULL_TIMEOUT_SECONDS


class ConfigurationKeeper:
    """Hold the newest accepted configuration that this daemon received.

    ``in_force`` emits None until the configuration is confirmed. It is
    confirmed by a peer whose configuration is confirmed, or by a transaction
    of the table service, which fails if the entries were read from a stale
    copy. ``count`` is called with the name of a counter to increment.
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
        self._peer_ahead = asyncio.Event()

    @property
    def is_ready(self) -> bool:
        """Return whether a configuration is in force."""
        return self.in_force.value is not None

    async def run(self) -> None:
        """Poll the table service and pull from peers until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._poll_store_forever())
            group.create_task(self._catch_up_forever())

    async def _poll_store_forever(self) -> None:
        while True:
            store_answered = await self.poll(time.monotonic())
            if not self._confirmed:
                await self.pull_from_peers()
            if store_answered:
                await self.write_outages(time.time())
            jitter_factor = 1 + POLL_JITTER_RATIO * (2 * self.jitter() - 1)
            await asyncio.sleep(self.settings.poll_seconds * jitter_factor)

    async def _catch_up_forever(self) -> None:
        while True:
            await self._peer_ahead.wait()
            self._peer_ahead.clear()
            await self.catch_up()

    async def poll(self, now: float) -> bool:
        """Apply changes from the table service; return whether it answered."""
        try:
            async with asyncio.timeout(self.settings.store_timeout_seconds):
                await self._read_store()
                if not self._confirmed:
                    await self._confirm()
        except (StoreUnavailable, TimeoutError) as error:
            self.count("configuration.store_unavailable")
            logging.log_every_n_seconds(
                logging.WARNING, "cannot poll the configuration: %s", 10, error
            )
            return False
        self.store_answered_at = now
        return True

    async def _read_store(self) -> None:
        base = self.replica
        page = await self.table.scan(CONFIGURATION_PREFIX, base.table_version)
        self.apply_entries(page.entries, base, STORE_SOURCE)

    async def _confirm(self) -> None:
        # Reads may return a stale copy of the table, transactions may not:
        # the check succeeds only if the head that was read is the latest.
        check = Check(HEAD_KEY, self.replica.table_version)
        try:
            await self.table.transact((check,), ())
        except TransactionConflict:
            self.count("configuration.stale_read")
            return
        self._mark_confirmed(STORE_SOURCE)

    def _mark_confirmed(self, source: str) -> None:
        if self._confirmed or not self.replica.head.version:
            return
        self._confirmed = True
        logging.info(
            "configuration version %d is confirmed by %s",
            self.replica.head.version,
            source,
        )
        self._publish()

    def apply_entries(
        self, entries: Iterable[TableEntry], base: Replica, source: str
    ) -> bool:
        """Apply newer entries; return whether the replica changed.

        ``base`` is the replica to which the entries are a delta; ``source``
        names their sender in log lines. Invalid entries are logged and leave
        the replica unchanged.
        """
        try:
            advanced = base.with_entries(entries)
        except (ReplicaBroken, DocumentInvalid, KeyError, ValueError) as error:
            self.count("configuration.delta_refused")
            logging.error(
                "rejected an invalid configuration delta from %s: %s", source, error
            )
            return False
        if advanced.table_version <= self.replica.table_version:
            return False
        self.replica = advanced
        self.pending.remove_resolved(advanced)
        if self._confirmed:
            self._publish()
        return True

    def _publish(self) -> None:
        head = self.replica.head
        self.count("configuration.in_force")
        logging.info("configuration version %d is in force", head.version)
        self.links.announce(self.notice())
        try:
            self.in_force.on_next(build_in_force(self.replica, self.pending))
        except Exception:
            # A failing listener must not stop further updates.
            self.count("configuration.listener_failed")
            logging.exception("a listener of the configuration failed")

    def add_outages(self, outages: Iterable[Outage]) -> None:
        """Apply new outages and announce them to peers."""
        if not self.pending.add(outages, self.replica):
            return
        self.count("configuration.outage")
        if self._confirmed:
            self._publish()
        else:
            self.links.announce(self.notice())

    def start_outage(self, outage: Outage, force: bool = False) -> None:
        """Apply an operator's outage while the table service is unavailable.

        Unless ``force`` is true, raise DocumentInvalid if the outage is
        dangerous, and DocumentError if it cannot be applied.
        """
        if not force:
            check_outage(build_in_force(self.replica, self.pending).document, outage)
        logging.warning("%s took %s out of service", outage.who, outage.item_id)
        self.add_outages((outage,))

    async def write_outages(self, now: float) -> None:
        """Store the pending outages as new versions.

        An outage that cannot be stored now stays pending. ``now`` is in
        seconds since the epoch.
        """
        for outage in self.pending:
            try:
                async with asyncio.timeout(WRITE_TIMEOUT_SECONDS):
                    replica = await self.store.load(self.replica)
                    if not outage.is_resolved(replica):
                        await commit_outage(self.store, outage, replica, now)
            except (TeaselpondError, DocumentInvalid, TimeoutError) as error:
                self.count("configuration.outage_unwritten")
                logging.warning("cannot store a pending outage yet: %s", error)

    def notice(self) -> ConfigurationNotice:
        """Return the notice that announces this daemon's version to peers."""
        if not self._confirmed:
            return ConfigurationNotice(0, 0, tuple(self.pending))
        return ConfigurationNotice(
            self.replica.head.version, self.replica.table_version, tuple(self.pending)
        )

    def handle_notice(self, peer_id: str, notice: ConfigurationNotice) -> None:
        """Record a peer's version, and schedule a pull if it is newer."""
        self._table_versions_by_peer[peer_id] = notice.table_version
        self.add_outages(notice.outages)
        if notice.table_version > self.replica.table_version:
            self._peer_ahead.set()

    def remove_peer(self, peer_id: str) -> None:
        """Remove a peer that is no longer linked."""
        self._table_versions_by_peer.pop(peer_id, None)

    def build_delta(self, request: ConfigurationRequest) -> ConfigurationDelta:
        """Return the entries that a peer lacks and the pending outages.

        There are no entries until this daemon's configuration is confirmed.
        """
        after, outages = request.after_table_version, tuple(self.pending)
        if not self._confirmed:
            return ConfigurationDelta(after, 0, (), outages)
        entries = self.replica.changed_after(after)
        changed = tuple(ChangedEntry(e.key, e.value, e.version) for e in entries)
        return ConfigurationDelta(after, self.replica.table_version, changed, outages)

    async def catch_up(self) -> None:
        """Pull from peers with newer versions, the newest first."""
        versions = self._table_versions_by_peer
        for peer_id in sorted(versions, key=lambda p: (-versions[p], self.jitter())):
            if versions.get(peer_id, 0) > self.replica.table_version:
                await self.pull(peer_id)

    async def pull_from_peers(self) -> None:
        """Pull from every peer, and confirm the highest version received."""
        peer_ids = self.links.peer_ids()
        confirmed_by_peers = await asyncio.gather(
            *(self.pull(peer_id) for peer_id in peer_ids)
        )
        if any(confirmed_by_peers):
            self._mark_confirmed("peers")

    async def pull(self, peer_id: str) -> bool:
        """Pull and apply a peer's delta.

        Return whether the peer has a confirmed configuration.
        """
        base = self.replica
        request = ConfigurationRequest(base.table_version)
        try:
            async with asyncio.timeout(self.settings.pull_timeout_seconds):
                delta = await self.links.pull(peer_id, request)
        except (TeaselpondError, TimeoutError) as error:
            self.count("configuration.pull_failed")
            logging.warning(
                "cannot pull the configuration from peer %s: %s", peer_id, error
            )
            return False
        if delta.after_table_version != base.table_version:
            return False
        entries = [TableEntry(e.key, e.value, e.version) for e in delta.entries]
        self.apply_entries(entries, base, peer_id)
        self.add_outages(delta.outages)
        return delta.table_version > 0
