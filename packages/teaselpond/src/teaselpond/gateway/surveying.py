"""Find out which engines have cached which prefixes after a gap in the news.

Hosts tell one another which engines processed a prefix, once. A process that
has just started, and a host that was cut off or frozen, missed some of it.
"""

import asyncio
import random
from collections.abc import Callable, Sequence
from operator import attrgetter

from attrs import define, field

from teaselpond_model.exceptions import TeaselpondError

from ..upstreams.connections import UpstreamClient
from .backoffs import Backoffs
from .codec import CacheCodec
from .engines import Engine
from .exceptions import MalformedEntry
from .journal import Journal
from .members import Member, Members, MemberState
from .prefixes import PrefixTracker, PrefixUse, prefix_key
from .routing_state import RoutingState
from .sharing import PeerUnavailable, RoutingStateSharing

# Peers answer the first heartbeat of a process at once, so the running ones
# are known within this time of its start.
PEER_WAIT_SECONDS = 0.05
# Listing a cache delays its engine and has a cost. If all hosts restart, each
# host asks each engine, so larger fleets skip the listing.
MAX_LISTINGS = 100
LISTING_TIMEOUT_SECONDS = 0.5
# Hosts that were cut off return together, so each waits for a random part of
# this before it asks one of them.
RETURN_CHECK_SECONDS = 0.5
# In a large fleet a few hosts are unseen for a moment at any time. If this
# share of them returns together, this host or they were cut off.
RETURNED_RATIO = 0.25
# Only the largest parts of an engine's cache are worth knowing.
PARTS_PER_ENGINE = 200


@define(eq=False)
class PrefixSurvey:
    """Ask peers for the engines' cached prefixes, or the engines themselves.

    Engines are asked if no peer knows a prefix. The first start of a host
    skips the survey.
    """

    routing_state: RoutingState
    prefixes: PrefixTracker
    members: Members
    sharing: RoutingStateSharing
    client: UpstreamClient
    codec: CacheCodec
    journal: Journal
    clock: Callable[[], float]
    is_first_start: bool
    backoffs: Backoffs
    rng: random.Random = field(factory=random.Random)

    async def run(self) -> None:
        """Survey the caches once, then ask peers that return; never end."""
        if not self.is_first_start:
            await self._survey()
        self.sharing.can_serve_prefixes = True
        while True:
            pause = RETURN_CHECK_SECONDS * self.rng.uniform(0.5, 1.5)
            await asyncio.sleep(pause)
            returned = self.members.take_returned()
            known = len(self.members.members_by_host)
            if returned and len(returned) >= RETURNED_RATIO * known:
                await self._query_peers(returned)

    async def _survey(self) -> None:
        await self.sharing.applier.completed.wait()
        await asyncio.sleep(PEER_WAIT_SECONDS)
        if await self._query_peers(self.members.recent(self.clock())):
            return
        engines = self._engines()
        host_count = self.members.count(self.clock())
        if len(engines) * host_count > MAX_LISTINGS:
            self.journal.write(
                "survey-left-out",
                self.clock(),
                engines=len(engines),
                hosts=host_count,
            )
            return
        await asyncio.gather(*(self._list_cache(engine) for engine in engines))

    async def _query_peers(self, members: Sequence[Member]) -> bool:
        peers = [
            member
            for member in members
            if member.state in (MemberState.SERVING, MemberState.UNCONFIRMED)
        ]
        self.rng.shuffle(peers)
        for peer in peers[:2]:
            try:
                count = await self.sharing.fetch_prefixes(peer)
            except PeerUnavailable as error:
                self.journal.write(
                    "peer-silent",
                    self.clock(),
                    peer=peer.heartbeat.host,
                    error=str(error),
                )
                continue
            self.journal.write(
                "prefixes-from-peer",
                self.clock(),
                peer=peer.heartbeat.host,
                count=count,
            )
            if count:
                return True
        return False

    def _engines(self) -> list[Engine]:
        configuration = self.routing_state.configuration
        if configuration is None:
            return []
        services = configuration.services_by_name
        return [
            record.engine
            for record in self.routing_state.engines_by_id.values()
            if (service := services.get(record.engine.service)) is not None
            and service.engine is not None
            and not self.backoffs.is_active(record.engine, self.clock())
        ]

    async def _list_cache(self, engine: Engine) -> None:
        try:
            async with asyncio.timeout(LISTING_TIMEOUT_SECONDS):
                answer = await self.client.fetch(
                    engine.address,
                    "GET",
                    self.codec.CACHE_PATH,
                    request_id=f"list-{self.rng.getrandbits(32):08x}",
                    check_id=False,
                )
            parts = self.codec.decode_cache(answer.body)
        except (TeaselpondError, MalformedEntry, TimeoutError) as error:
            self.journal.write(
                "cache-not-listed",
                self.clock(),
                engine=engine.engine_id,
                error=repr(error),
            )
            return
        parts.sort(key=attrgetter("tokens"))
        now = self.clock()
        for part in parts[-PARTS_PER_ENGINE:]:
            key = prefix_key(engine.service, part.part_id)
            use = PrefixUse(key, engine.engine_id, now)
            self.prefixes.record(use, is_news=False)
        self.journal.write(
            "cache-listed", now, engine=engine.engine_id, parts=len(parts)
        )
