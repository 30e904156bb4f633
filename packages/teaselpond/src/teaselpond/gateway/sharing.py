"""Learn from a peer what the store does not tell this host."""

import asyncio
import random
import zlib
from collections.abc import Callable, Mapping
from typing import Any

import aiohttp
import cbor2
from aiohttp import web
from aiohttp.web_request import BaseRequest
from attrs import define, field

from teaselpond_model.exceptions import TeaselpondError

from .applying import StoreApplier
from .journal import Journal
from .members import Heartbeat, Member, Members
from .peers import TableChanges
from .prefixes import PrefixTracker, PrefixUse
from .rows import Page, Row
from .tables import FOLLOWED_TABLES

BELIEFS_PATH = "/beliefs"
PREFIXES_PATH = "/prefixes"
# How often a host that knows nothing yet looks for a peer that does, and how
# long a peer may take to answer.
ASK_SECONDS = 0.3
SILENCE_SECONDS = 0.5
# Several hosts may fetch a large configuration over one link of 5 Mbit/s, the
# slowest of the deployments.
ANSWER_SECONDS = 2.0
# Larger values are packed: a configuration of a thousand routes is 300 kB and
# shrinks to a tenth, while smaller ones fit into a packet or two.
MIN_COMPRESSED_BYTES = 4096
# The fastest level: an answer is made while others wait for their events.
PACKING_LEVEL = 1
# A peer that tells of news is asked after this time, so that the news itself
# can come before.
NEWS_SECONDS = 0.02


@define
class RowCompressor:
    """Keep the large values of rows packed, the newest of each key."""

    _packed_by_key: dict[str, tuple[int, bytes]] = field(factory=dict)

    def pack(self, row: Row) -> list[Any]:
        """Return a row for a peer, and whether its value is packed."""
        if row.value is None or len(row.value) < MIN_COMPRESSED_BYTES:
            return [row.key, row.value, row.version, False]
        version, packed = self._packed_by_key.get(row.key, (None, b""))
        if version != row.version:
            packed = zlib.compress(row.value, PACKING_LEVEL)
            self._packed_by_key[row.key] = (row.version, packed)
        return [row.key, packed, row.version, True]


def decode_row(key: str, value: bytes | None, version: int, is_packed: bool) -> Row:
    """Return a row that a peer sent; raise ValueError."""
    if is_packed:
        try:
            value = zlib.decompress(value)
        except zlib.error as error:
            raise ValueError(str(error)) from error
    return Row(key, value, version)


class PeerUnavailable(TeaselpondError):
    """Report a peer that did not hand on what it knows."""


@define(eq=False)
class RoutingStateSharing:
    """Hand what this host knows to peers, and ask them for what they know."""

    applier: StoreApplier
    prefixes: PrefixTracker
    members: Members
    journal: Journal
    clock: Callable[[], float]
    peer_port: int
    session: aiohttp.ClientSession
    knows_prefixes: bool = False
    chance: random.Random = field(factory=random.Random)
    _is_behind: asyncio.Event = field(factory=asyncio.Event)
    _packed: RowCompressor = field(factory=RowCompressor)

    def receive_heartbeat(self, heartbeat: Heartbeat, now: float) -> None:
        """Take what a peer's beat says of the store."""
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
        if self._knows_more(heartbeat):
            self._is_behind.set()

    def receive_changes(self, changes: TableChanges, now: float) -> None:
        """Take rows of the store that a peer passes on."""
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
        """Answer a peer."""
        if request.path == BELIEFS_PATH:
            return self._answer_beliefs(request)
        if request.path == PREFIXES_PATH:
            return self._answer_prefixes()
        return web.Response(status=404)

    def _answer_prefixes(self) -> web.Response:
        if not self.knows_prefixes:
            return web.Response(status=503)
        now = self.clock()
        rows = [
            [prefix_use.key, prefix_use.engine_id, now - prefix_use.at]
            for prefix_use in self.prefixes.recent_uses(now)
        ]
        return web.Response(body=cbor2.dumps(rows))

    def _answer_beliefs(self, request: BaseRequest) -> web.Response:
        """Return the rows newer than those that the peer has."""
        age = self.applier.routing_state.freshness.age(self.clock())
        try:
            versions = [int(each) for each in request.query["after"].split(",")]
        except (KeyError, ValueError):
            return web.Response(status=400)
        if len(versions) != len(FOLLOWED_TABLES):
            return web.Response(status=400)
        if age is None:
            return web.Response(status=503)
        confirmed = self.applier.routing_state.freshness.confirmed_store_seconds
        tables = []
        for table, after in zip(FOLLOWED_TABLES, versions, strict=True):
            cache = self.applier.caches_by_table[table]
            rows = [self._packed.pack(row) for row in cache.rows_after(after)]
            tables.append([cache.version, rows])
        return web.Response(body=cbor2.dumps([age, confirmed, tables]))

    async def run(self) -> None:
        """Ask peers that know more than this host, until cancelled."""
        while True:
            try:
                async with asyncio.timeout(ASK_SECONDS):
                    await self._is_behind.wait()
            except TimeoutError:
                pass
            self._is_behind.clear()
            await asyncio.sleep(NEWS_SECONDS)
            peer = self._choose_peer()
            if peer is not None:
                await self._ask(peer)

    def _choose_peer(self) -> Member | None:
        better = [
            member
            for member in self.members.recent(self.clock())
            if self._knows_more(member.heartbeat)
        ]
        return self.chance.choice(better) if better else None

    def _knows_more(self, heartbeat: Heartbeat) -> bool:
        if not heartbeat.confirmed_store_seconds:
            return False
        if self.applier.routing_state.freshness.confirmed_store_seconds is None:
            return True
        versions = zip(heartbeat.row_versions, self.applier.versions(), strict=True)
        return any(theirs > own for theirs, own in versions)

    async def _ask(self, peer: Member) -> None:
        asked_at = self.clock()
        try:
            age, confirmed, tables = await self._fetch(peer)
        except PeerUnavailable as error:
            self.journal.write(
                "peer-silent", self.clock(), peer=peer.heartbeat.host, error=str(error)
            )
            return
        now = self.clock()
        for table, (version, rows) in zip(FOLLOWED_TABLES, tables, strict=True):
            page = Page(tuple(rows), version, confirmed, False)
            self.applier.apply(table, page, False, asked_at - age, now)
        self.journal.write(
            "beliefs-from-peer",
            now,
            peer=peer.heartbeat.host,
            peer_age_seconds=round(age, 3),
            rows=[len(rows) for _, rows in tables],
        )

    async def fetch_prefixes(self, peer: Member) -> int:
        """Take what a peer knows of prompts; return how many readings.

        Raise PeerUnavailable.
        """
        rows = await self._get(peer, PREFIXES_PATH, {})
        now = self.clock()
        try:
            for key, engine_id, age in rows:
                self.prefixes.record(PrefixUse(bytes(key), str(engine_id), now - age))
        except (TypeError, ValueError) as error:
            raise PeerUnavailable(repr(error), step="prefixes") from error
        return len(rows)

    async def _fetch(self, peer: Member) -> tuple[float, float, list]:
        after = ",".join(str(version) for version in self.applier.versions())
        answer = await self._get(peer, BELIEFS_PATH, {"after": after})
        try:
            age, confirmed, raw_tables = answer
            tables = [
                (int(version), [decode_row(*row) for row in rows])
                for version, rows in raw_tables
            ]
            return float(age), float(confirmed), tables
        except (TypeError, ValueError) as error:
            raise PeerUnavailable(repr(error), step="beliefs") from error

    async def _get(self, peer: Member, path: str, params: Mapping[str, str]) -> Any:
        url = f"http://{peer.heartbeat.ip}:{self.peer_port}{path}"
        timeout = aiohttp.ClientTimeout(
            total=ANSWER_SECONDS,
            sock_connect=SILENCE_SECONDS,
            sock_read=SILENCE_SECONDS,
        )
        try:
            async with self.session.get(url, params=params, timeout=timeout) as answer:
                content = await answer.read()
            if answer.status != 200:
                raise PeerUnavailable(f"status {answer.status}", step=path)
            return cbor2.loads(content)
        except (
            aiohttp.ClientError,
            TimeoutError,
            OSError,
            cbor2.CBORDecodeError,
        ) as error:
            raise PeerUnavailable(repr(error), step=path) from error
