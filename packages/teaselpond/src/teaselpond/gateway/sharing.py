"""Learn from a peer what the store does not tell this host."""

import asyncio
import random
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
from .members import Member, Members
from .prefixes import PrefixBook, Reading
from .rows import Page, Row
from .tables import Table

BELIEFS_PATH = "/beliefs"
PREFIXES_PATH = "/prefixes"
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
    """Hand what this host knows to peers, and ask them for what they know."""

    applier: StoreApplier
    prefixes: PrefixBook
    members: Members
    journal: Journal
    clock: Callable[[], float]
    peer_port: int
    needs_help: Callable[[], bool]
    session: aiohttp.ClientSession
    knows_prefixes: bool = False
    chance: random.Random = field(factory=random.Random)

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
            [reading.key, reading.engine_id, now - reading.at]
            for reading in self.prefixes.all(now)
        ]
        return web.Response(body=cbor2.dumps(rows))

    def _answer_beliefs(self, request: BaseRequest) -> web.Response:
        """Return the rows newer than those that the peer has."""
        age = self.applier.beliefs.freshness.age(self.clock())
        try:
            versions = [int(each) for each in request.query["after"].split(",")]
        except (KeyError, ValueError):
            return web.Response(status=400)
        if len(versions) != len(TABLES):
            return web.Response(status=400)
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

    async def ask_prefixes(self, peer: Member) -> int:
        """Take what a peer knows of prompts; return how many readings.

        Raise PeerUnavailable.
        """
        rows = await self._get(peer, PREFIXES_PATH, {})
        now = self.clock()
        try:
            for key, engine_id, age in rows:
                self.prefixes.take(Reading(bytes(key), str(engine_id), now - age))
        except (TypeError, ValueError) as error:
            raise PeerUnavailable(repr(error), step="prefixes") from error
        return len(rows)

    async def _fetch(self, peer: Member) -> tuple[float, float, list]:
        caches = self.applier.caches_by_table
        after = ",".join(str(caches[table].version) for table in TABLES)
        answer = await self._get(peer, BELIEFS_PATH, {"after": after})
        try:
            age, confirmed, raw_tables = answer
            tables = [
                (int(version), [Row(*row) for row in rows])
                for version, rows in raw_tables
            ]
            return float(age), float(confirmed), tables
        except (TypeError, ValueError) as error:
            raise PeerUnavailable(repr(error), step="beliefs") from error

    async def _get(self, peer: Member, path: str, params: Mapping[str, str]) -> Any:
        url = f"http://{peer.beat.ip}:{self.peer_port}{path}"
        timeout = aiohttp.ClientTimeout(total=ANSWER_SECONDS)
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
