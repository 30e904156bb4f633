"""Exchange rows of the store and prompt prefixes with peers over HTTP."""

import asyncio
import random
import zlib
from collections.abc import Callable, Mapping
from typing import Any

import aiohttp
import cbor2
from aiohttp.web_request import BaseRequest
from attrs import define, field, frozen

from teaselpond_model.bounded_answers import read_bounded
from teaselpond_model.exceptions import TeaselpondError

from . import web
from .applying import StoreApplier
from .datagrams import TableChanges
from .explaining.view import EXPLAIN_PATH, ExplanationView
from .journal import Journal
from .members import Heartbeat, Member, Members
from .prefixes import PrefixTracker, PrefixUse
from .rowcache import UNKNOWN_VERSION
from .rows import Page, Row
from .tables import FOLLOWED_TABLES
from .wire_values import read_bytes, read_integer, read_seconds

ROUTING_STATE_PATH = "/beliefs"
PREFIXES_PATH = "/prefixes"
# Stands for the era in requests of builds that know none.
UNKNOWN_ERA = -1
# How often a host looks for a peer with newer rows when no new heartbeat
# shows one.
CATCH_UP_SECONDS = 0.3
# Limit for connecting to a peer, and for each read from it.
READ_TIMEOUT_SECONDS = 0.5
# Limit for a whole response. Several hosts may fetch a large configuration
# over one link of 5 Mbit/s, the slowest of the deployments.
RESPONSE_TIMEOUT_SECONDS = 2.0
# Values of this size and above are compressed. A configuration of a thousand
# routes is 300 kB and shrinks to a tenth; smaller values fit into a packet or
# two anyway.
MIN_COMPRESSED_BYTES = 4096
# The fastest level, because compression blocks the event loop.
COMPRESSION_LEVEL = 1
# Pause between a heartbeat with newer versions and the fetch. The changed rows
# often arrive by datagram in this time, which makes the fetch unnecessary.
CATCH_UP_DELAY_SECONDS = 0.02


@define
class RowCompressor:
    """Compress large values of rows, and cache the newest of each key."""

    _compressed_by_key: dict[str, tuple[int, bytes]] = field(factory=dict)

    def compress(self, row: Row) -> list[Any]:
        """Return a row as its key, value, version and ``is_compressed``."""
        if row.value is None or len(row.value) < MIN_COMPRESSED_BYTES:
            return [row.key, row.value, row.version, False]
        version, compressed = self._compressed_by_key.get(row.key, (None, b""))
        if version != row.version:
            compressed = zlib.compress(row.value, COMPRESSION_LEVEL)
            self._compressed_by_key[row.key] = (row.version, compressed)
        return [row.key, compressed, row.version, True]


def decode_row(key: str, value: bytes | None, version: int, is_compressed: bool) -> Row:
    """Decode a row sent by a peer; raise ValueError if it is corrupt."""
    if is_compressed:
        try:
            value = zlib.decompress(value)
        except zlib.error as error:
            raise ValueError(f"row {key!r}: expected a zlib value: {error}") from error
    return Row(key, value, version)


@frozen
class FetchedState:
    """Hold the routing state that a peer sent.

    ``age`` is that of its confirmation, at the time ``confirmed`` of the
    store's clock. ``tables`` are versions and rows in the order of the
    followed tables. ``configuration_row`` is set if a restored store may lack
    the configuration in force. ``whole_tables`` tells which of the tables are
    whole.
    """

    age: float
    confirmed: float
    tables: list[tuple[int, list[Row]]]
    era: int
    configuration_row: Row | None
    whole_tables: tuple[bool, ...]


class PeerUnavailable(TeaselpondError):
    """Report a peer that did not respond, or whose response was malformed."""


@define(eq=False)
class RoutingStateSharing:
    """Serve this host's rows and prefixes to peers, and fetch theirs.

    This lets most hosts follow the store without reading it.
    """

    applier: StoreApplier
    prefixes: PrefixTracker
    members: Members
    journal: Journal
    clock: Callable[[], float]
    peer_port: int
    session: aiohttp.ClientSession
    can_serve_prefixes: bool = False
    explanations: ExplanationView | None = None
    rng: random.Random = field(factory=random.Random)
    _is_behind: asyncio.Event = field(factory=asyncio.Event)
    _compressor: RowCompressor = field(factory=RowCompressor)

    def receive_heartbeat(self, heartbeat: Heartbeat, now: float) -> None:
        """Record what a peer's heartbeat says about the store.

        If the peer has newer rows, ``run`` fetches them.
        """
        if heartbeat.era != self.applier.era:
            # Versions and times of another era are not comparable.
            if self._is_peer_ahead(heartbeat):
                self._is_behind.set()
            return
        if heartbeat.store_back_seconds:
            self.applier.record_store_answer(heartbeat.store_back_seconds, now)
        if heartbeat.confirmed_store_seconds:
            self.applier.record_store_answer(heartbeat.confirmed_store_seconds, now)
        if heartbeat.store_back_seconds:
            self.applier.routing_state.outages.record_peer_return(
                heartbeat.store_back_seconds
            )
        if heartbeat.confirmed_store_seconds:
            self.applier.merge_confirmation(
                heartbeat.confirmed_store_seconds, heartbeat.row_versions
            )
        if self._is_peer_ahead(heartbeat):
            self._is_behind.set()

    def receive_changes(self, changes: TableChanges, now: float) -> None:
        """Apply changed rows received from a peer."""
        count = self.applier.apply_changes(
            changes.table, changes.after, changes.page, now
        )
        if count:
            self.journal.write(
                "changes-from-peer",
                now,
                table=changes.table.value,
                rows=count,
                version=changes.page.version,
            )

    async def handle(self, request: BaseRequest) -> web.Response:
        """Handle a peer's HTTP request."""
        if request.path == ROUTING_STATE_PATH:
            return self._serve_routing_state(request)
        if request.path == PREFIXES_PATH:
            return self._serve_prefixes()
        if request.path == EXPLAIN_PATH and self.explanations is not None:
            return self.explanations.serve(request)
        return web.Response(status=404)

    def _serve_prefixes(self) -> web.Response:
        if not self.can_serve_prefixes:
            return web.Response(status=503)
        now = self.clock()
        rows = [
            [prefix_use.key, prefix_use.engine_id, now - prefix_use.at]
            for prefix_use in self.prefixes.recent_uses(now)
        ]
        return web.Response(body=cbor2.dumps(rows))

    def _serve_routing_state(self, request: BaseRequest) -> web.Response:
        """Return the rows above the versions in the query, one per table.

        To a host in another era of the store, return whole tables, and also
        to one that may have missed removals that this host never knew.
        Respond with status 503 if this host has no confirmed configuration, or
        has not read all tables of a restored store yet.
        """
        age = self.applier.routing_state.freshness.age(self.clock())
        try:
            versions = [int(version) for version in request.query["after"].split(",")]
            # Older builds send no era, and read an answer without one.
            asked_era = int(request.query.get("era", UNKNOWN_ERA))
        except (KeyError, ValueError):
            return web.Response(status=400)
        if len(versions) != len(FOLLOWED_TABLES):
            return web.Response(status=400)
        if age is None:
            return web.Response(status=503)
        confirmed = self.applier.routing_state.freshness.confirmed_store_seconds
        if confirmed is None or not self.applier.has_tables_of_one_era():
            return web.Response(status=503)
        if asked_era not in (UNKNOWN_ERA, self.applier.era):
            versions = [UNKNOWN_VERSION] * len(versions)
        knows_history = bool(request.query.get("history"))
        tables = []
        for table, after in zip(FOLLOWED_TABLES, versions, strict=True):
            cache = self.applier.caches_by_table[table]
            if knows_history and after < cache.history_from:
                after = UNKNOWN_VERSION
            rows = [self._compressor.compress(row) for row in cache.rows_after(after)]
            tables.append([cache.version, rows])
        answer = [age, confirmed, tables]
        if asked_era != UNKNOWN_ERA:
            answer += [self.applier.era, self._lost_configuration()]
        if knows_history:
            caches = self.applier.caches_by_table
            answer.append([caches[table].history_from for table in FOLLOWED_TABLES])
        return web.Response(body=cbor2.dumps(answer))

    def _lost_configuration(self) -> list[Any] | None:
        """Return the configuration in force if a restored store lacks it."""
        row = self.applier.newest_configuration_row
        if row is None or not self.applier.restores:
            return None
        return self._compressor.compress(row)

    async def run(self) -> None:
        """Fetch newer rows from peers until cancelled."""
        while True:
            try:
                async with asyncio.timeout(CATCH_UP_SECONDS):
                    await self._is_behind.wait()
            except TimeoutError:
                pass
            self._is_behind.clear()
            await asyncio.sleep(CATCH_UP_DELAY_SECONDS)
            peer = self._choose_peer()
            if peer is not None:
                await self._catch_up(peer)

    def _choose_peer(self) -> Member | None:
        candidates = [
            member
            for member in self.members.recent(self.clock())
            if self._is_peer_ahead(member.heartbeat)
        ]
        return self.rng.choice(candidates) if candidates else None

    def _is_peer_ahead(self, heartbeat: Heartbeat) -> bool:
        if not heartbeat.confirmed_store_seconds or heartbeat.era < self.applier.era:
            return False
        if heartbeat.era > self.applier.era:
            return True
        configuration = self.applier.routing_state.configuration
        version = configuration.version if configuration is not None else 0
        if heartbeat.configuration_version > version:
            return True
        if self.applier.routing_state.freshness.confirmed_store_seconds is None:
            return True
        own_versions = self.applier.comparable_versions()
        versions = zip(heartbeat.row_versions, own_versions, strict=True)
        return any(theirs > own for theirs, own in versions)

    async def _catch_up(self, peer: Member) -> None:
        asked_at = self.clock()
        try:
            fetched = await self._fetch_state(peer)
        except PeerUnavailable as error:
            self.journal.write(
                "peer-silent", self.clock(), peer=peer.heartbeat.host, error=str(error)
            )
            return
        now = self.clock()
        is_new_era = fetched.era > self.applier.era
        for table, (version, rows), is_whole in zip(
            FOLLOWED_TABLES, fetched.tables, fetched.whole_tables, strict=True
        ):
            if is_new_era:
                rows = [row for row in rows if row.value is not None]
            page = Page(tuple(rows), version, fetched.confirmed, False, fetched.era)
            # The peer computed the age after the request was sent, so the
            # store's confirmation is at most ``age`` older than the request.
            confirmed_at = asked_at - fetched.age
            self.applier.apply(table, page, is_new_era or is_whole, confirmed_at, now)
        if fetched.configuration_row is not None:
            self.applier.apply_configuration_row(fetched.configuration_row, now)
        self.journal.write(
            "beliefs-from-peer",
            now,
            peer=peer.heartbeat.host,
            peer_age_seconds=round(fetched.age, 3),
            rows=[len(rows) for _, rows in fetched.tables],
            era=fetched.era,
        )

    async def fetch_prefixes(self, peer: Member) -> int:
        """Fetch and record a peer's prefix uses; return their number.

        Raise PeerUnavailable.
        """
        rows = await self._get(peer, PREFIXES_PATH, {})
        now = self.clock()
        try:
            for key, engine_id, age in rows:
                key = read_bytes(key)
                used_at = now - read_seconds(age)
                use = PrefixUse(key, str(engine_id), used_at)
                self.prefixes.record(use, is_news=False)
        except (TypeError, ValueError) as error:
            raise PeerUnavailable(
                f"peer {peer.heartbeat.host}: malformed prefixes: {error!r}",
                step="prefixes",
            ) from error
        return len(rows)

    async def _fetch_state(self, peer: Member) -> "FetchedState":
        versions = self.applier.comparable_versions()
        response = await self._get(
            peer,
            ROUTING_STATE_PATH,
            {
                "after": ",".join(str(version) for version in versions),
                "era": str(self.applier.era),
                "history": "1",
            },
        )
        try:
            age, confirmed, raw_tables, *others = response
            tables = [
                (int(version), [decode_row(*row) for row in rows])
                for version, rows in raw_tables
            ]
            # Older builds answer without an era, or without their history.
            era, raw_row, *histories = others if others else (0, None)
            row = decode_row(*raw_row) if raw_row is not None else None
            starts = histories[0] if histories else (UNKNOWN_VERSION,) * len(versions)
            return FetchedState(
                read_seconds(age),
                read_seconds(confirmed),
                tables,
                int(era),
                row,
                tuple(
                    version < read_integer(start)
                    for version, start in zip(versions, starts, strict=True)
                ),
            )
        except (TypeError, ValueError) as error:
            raise PeerUnavailable(
                f"peer {peer.heartbeat.host}: malformed routing state: {error!r}",
                step="beliefs",
            ) from error

    async def _get(self, peer: Member, path: str, params: Mapping[str, str]) -> Any:
        url = f"http://{peer.heartbeat.ip}:{self.peer_port}{path}"
        timeout = aiohttp.ClientTimeout(
            total=RESPONSE_TIMEOUT_SECONDS,
            sock_connect=READ_TIMEOUT_SECONDS,
            sock_read=READ_TIMEOUT_SECONDS,
        )
        try:
            async with self.session.get(
                url, params=params, timeout=timeout
            ) as response:
                content = await read_bounded(response)
            if response.status != 200:
                raise PeerUnavailable(
                    f"peer {peer.heartbeat.host}: expected status 200,"
                    f" got {response.status}",
                    step=path,
                )
            return cbor2.loads(content)
        except (
            aiohttp.ClientError,
            TimeoutError,
            OSError,
            cbor2.CBORDecodeError,
        ) as error:
            raise PeerUnavailable(
                f"peer {peer.heartbeat.host}: request failed: {error!r}", step=path
            ) from error
