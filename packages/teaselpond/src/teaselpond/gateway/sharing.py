"""Learn from a peer what the store does not tell this host."""

import asyncio
import random
from collections.abc import Callable

import aiohttp
import cbor2
from aiohttp import web
from aiohttp.web_request import BaseRequest
from attrs import define, field

from teaselpond_model.exceptions import TeaselpondError

from .applying import StoreApplier
from .journal import Journal
from .members import Member, Members
from .rows import Page, Row
from .tables import Table

BELIEFS_PATH = "/beliefs"
TABLES = (Table.OPERATOR, Table.ENGINES)
# How often a host whose store gives no answer looks for a peer that knows
# more, and how long that peer may take.
ASK_SECONDS = 0.5
ANSWER_SECONDS = 0.5
# A peer is asked when it was confirmed by the store this much later.
NEWER_SECONDS = 0.3


class PeerUnavailable(TeaselpondError):
    """Report a peer that did not hand on what it knows."""


@define(eq=False)
class BeliefSharing:
    """Hand what the store said to peers, and ask them for it."""

    applier: StoreApplier
    members: Members
    journal: Journal
    clock: Callable[[], float]
    peer_port: int
    needs_help: Callable[[], bool]
    session: aiohttp.ClientSession
    chance: random.Random = field(factory=random.Random)

    async def handle(self, request: BaseRequest) -> web.Response:
        """Answer a peer: the rows newer than those that it has."""
        age = self.applier.beliefs.freshness.age(self.clock())
        try:
            versions = [int(each) for each in request.query["after"].split(",")]
        except (KeyError, ValueError):
            return web.Response(status=400)
        if request.path != BELIEFS_PATH or len(versions) != len(TABLES):
            return web.Response(status=404)
        if age is None:
            return web.Response(status=503)
        confirmed = self.applier.beliefs.freshness.confirmed_store_seconds
        tables = []
        for table, after in zip(TABLES, versions, strict=True):
            cache = self.applier.caches_by_table[table]
            rows = [
                [row.key, row.value, row.version] for row in cache.newer_than(after)
            ]
            tables.append([cache.version, rows])
        return web.Response(body=cbor2.dumps([age, confirmed, tables]))

    async def run(self) -> None:
        """Ask peers while the store gives no answer, until cancelled."""
        while True:
            if self.needs_help():
                peer = self._choose_peer()
                if peer is not None:
                    await self._ask(peer)
            await asyncio.sleep(ASK_SECONDS * self.chance.uniform(0.8, 1.2))

    def _choose_peer(self) -> Member | None:
        own = self.applier.beliefs.freshness.confirmed_store_seconds or 0.0
        better = [
            member
            for member in self.members.heard(self.clock())
            if member.beat.confirmed_store_seconds > own + NEWER_SECONDS
        ]
        return self.chance.choice(better) if better else None

    async def _ask(self, peer: Member) -> None:
        asked_at = self.clock()
        try:
            age, confirmed, tables = await self._fetch(peer)
        except PeerUnavailable as error:
            self.journal.write(
                "peer-silent", self.clock(), peer=peer.beat.host, error=str(error)
            )
            return
        now = self.clock()
        for table, (version, rows) in zip(TABLES, tables, strict=True):
            page = Page(tuple(rows), version, confirmed, False)
            self.applier.apply(table, page, False, asked_at - age, now)
        self.journal.write(
            "confirmed-by-peer",
            now,
            peer=peer.beat.host,
            peer_age_seconds=round(age, 3),
            rows=[len(rows) for _, rows in tables],
        )

    async def _fetch(self, peer: Member) -> tuple[float, float, list]:
        caches = self.applier.caches_by_table
        after = ",".join(str(caches[table].version) for table in TABLES)
        url = f"http://{peer.beat.ip}:{self.peer_port}{BELIEFS_PATH}"
        timeout = aiohttp.ClientTimeout(total=ANSWER_SECONDS)
        try:
            async with self.session.get(
                url, params={"after": after}, timeout=timeout
            ) as response:
                content = await response.read()
            if response.status != 200:
                raise PeerUnavailable(f"status {response.status}", step="beliefs")
            age, confirmed, raw_tables = cbor2.loads(content)
            tables = [
                (int(version), [Row(*row) for row in rows])
                for version, rows in raw_tables
            ]
            return float(age), float(confirmed), tables
        except (
            aiohttp.ClientError,
            TimeoutError,
            OSError,
            cbor2.CBORDecodeError,
            TypeError,
            ValueError,
        ) as error:
            raise PeerUnavailable(repr(error), step="beliefs") from error
