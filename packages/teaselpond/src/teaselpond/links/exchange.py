"""Replicate facts to neighbours, and repair differences.

New facts are pushed in batches. Facts of frequent topics are sent along a
tree: a daemon that receives one twice asks the second sender to stop sending
facts of that name (after "Epidemic Broadcast Trees" by Leitao, Pereira and
Rodrigues). Digests that are compared at an interval find and repair every
difference, whatever its cause.
"""

import asyncio
import random
from collections.abc import Coroutine, Iterable
from typing import Any

from attrs import define, field, frozen, validators

from .digests import (
    Difference,
    name_fingerprint,
    pack_fingerprints,
    unpack_fingerprints,
)
from .events import LinkClosed, LinkOpened
from .exceptions import LinkError
from .fact_messages import (
    FactCells,
    FactDelta,
    FactOffer,
    FactPaths,
    FactRoot,
    FactsMissing,
    FactsWanted,
)
from .facts import Fact, FactChange, FactStore, StoredFact, Topic
from .manager import LinkManager
from .messages import Done
from .peers import Identity

BATCH_LIMIT_BYTES = 256 * 1024
CALL_TIMEOUT_SECONDS = 2.0
# Requests wait while a daemon catches up, so it soon gives up on a neighbour
# that does not answer.
CATCH_UP_CALL_TIMEOUT_SECONDS = 0.5


@frozen
class ExchangeSettings:
    """Configure the intervals of pushes and comparisons, in seconds."""

    push_seconds: float = field(default=0.2, validator=validators.gt(0))
    digest_seconds: float = field(default=5.0, validator=validators.gt(0))


@define(eq=False)
class FactExchange:
    """Replicate the facts of a store to and from the neighbours."""

    links: LinkManager
    store: FactStore
    topics: tuple[Topic, ...]
    settings: ExchangeSettings = field(factory=ExchangeSettings)
    rng: random.Random = field(factory=random.Random)
    # Peers that are known to have each fact that is to be pushed.
    _known_holders_by_name: dict[str, set[str]] = field(factory=dict)
    # Fingerprints of the names that each peer asked not to receive.
    _pruned_names_by_id: dict[str, set[int]] = field(factory=dict)
    # Fingerprints of the names that each peer is to be asked not to send.
    _pending_prunes_by_id: dict[str, set[int]] = field(factory=dict)
    _source_by_name: dict[str, str] = field(factory=dict)
    _frequent_names: frozenset[str] = field(init=False)
    _has_pending_facts: asyncio.Event = field(factory=asyncio.Event)
    _tasks: set[asyncio.Task] = field(factory=set)

    def __attrs_post_init__(self) -> None:
        frequent = (topic.name for topic in self.topics if topic.is_frequent)
        self._frequent_names = frozenset(frequent)
        self.links.handle(FactDelta, self._handle_delta)
        self.links.handle(FactRoot, self._handle_root)
        self.links.handle(FactsWanted, self._handle_wanted)
        self.links.handle(FactOffer, self._handle_offer)
        self.links.handle(FactPaths, self._handle_paths)
        self.store.changes.subscribe(self._handle_fact_change)
        self.links.events.subscribe(self._handle_link_event)

    def start(self) -> None:
        """Start the tasks that push facts and compare digests."""
        self._spawn(self._push_forever())
        self._spawn(self._compare_forever())

    async def stop(self) -> None:
        """Cancel the tasks and push the remaining facts."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self.push()

    def push(self) -> None:
        """Send each neighbour the new facts that it is not known to have."""
        self._has_pending_facts.clear()
        now = asyncio.get_running_loop().time()
        holders_by_name, self._known_holders_by_name = self._known_holders_by_name, {}
        for link in self.links.persistent_links():
            peer_id = link.peer.daemon_id
            pruned = self._pruned_names_by_id.get(peer_id, frozenset())
            names = [
                name
                for name, holders in holders_by_name.items()
                if peer_id not in holders
                and not (pruned and name_fingerprint(name) in pruned)
            ]
            stored = (self.store.get_stored(name) for name in names)
            self._send_facts(peer_id, stored, now)
            self._send_prunes(peer_id)

    async def catch_up(self) -> bool:
        """Compare with neighbours until one answers.

        Return whether one did.
        """
        for daemon_id in sorted(self.links.linked_peers()):
            try:
                async with asyncio.timeout(CATCH_UP_CALL_TIMEOUT_SECONDS):
                    await self.compare(daemon_id)
                return True
            except (LinkError, TimeoutError):
                self.links.traffic.faults_by_reason["compare"] += 1
        return False

    async def compare(self, daemon_id: str) -> None:
        """Find and repair differences with one daemon; raise LinkError."""
        digest = self.store.digest
        for level, own_filter in enumerate(digest.filters):
            root = FactRoot(digest.root(), level)
            cells = await self._call(daemon_id, root)
            if not isinstance(cells, FactCells):
                return
            difference = own_filter.difference(cells.content)
            if difference is not None:
                await self._repair(daemon_id, difference)
                return
        await self._repair_by_full_list(daemon_id)

    async def _repair(self, daemon_id: str, difference: Difference) -> None:
        if difference.only_remote:
            wanted = pack_fingerprints(sorted(difference.only_remote))
            delta = await self._call(daemon_id, FactsWanted(wanted))
            await self._merge_repaired(daemon_id, delta.facts)
        # Facts just replaced by the peer's newer versions are not sent.
        await self._send_stored(daemon_id, difference.only_local)

    async def _repair_by_full_list(self, daemon_id: str) -> None:
        fingerprints = [stored.fingerprint for stored in self.store]
        offer = FactOffer(pack_fingerprints(fingerprints))
        missing = await self._call(daemon_id, offer)
        await self._merge_repaired(daemon_id, missing.facts)
        await self._send_stored(daemon_id, unpack_fingerprints(missing.wanted))

    async def _merge_repaired(self, daemon_id: str, facts: Iterable[Fact]) -> None:
        names = self._merge(facts, daemon_id)
        frequent = [name for name in names if self._is_frequent(name)]
        if frequent:
            # Their path to this daemon is broken: ask the peer to send them.
            packed_names = pack_fingerprints(
                [name_fingerprint(name) for name in frequent]
            )
            await self.links.send(daemon_id, FactPaths(packed_names, wanted=True))

    async def _send_stored(self, daemon_id: str, fingerprints: Iterable[int]) -> None:
        now = asyncio.get_running_loop().time()
        for batch in _batches(self._find_stored(fingerprints), now):
            await self.links.send(daemon_id, FactDelta(batch))

    async def _call(self, daemon_id: str, message: object) -> Any:
        return await self.links.call(daemon_id, message, CALL_TIMEOUT_SECONDS)

    async def _push_forever(self) -> None:
        while True:
            await self._has_pending_facts.wait()
            # Facts that change in the meantime are sent in the same batch.
            await asyncio.sleep(self.settings.push_seconds)
            self.push()

    async def _compare_forever(self) -> None:
        while True:
            interval = self.settings.digest_seconds
            await asyncio.sleep(self.rng.uniform(0.5, 1.5) * interval)
            self.store.expire(asyncio.get_running_loop().time())
            peers = sorted(self.links.linked_peers())
            if not peers:
                continue
            await self._try_compare(self.rng.choice(peers))

    async def _try_compare(self, daemon_id: str) -> None:
        try:
            await self.compare(daemon_id)
        except LinkError:
            # The next comparison picks a neighbour at random again.
            self.links.traffic.faults_by_reason["compare"] += 1

    def _spawn(self, coroutine: Coroutine) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _handle_fact_change(self, change: FactChange) -> None:
        name = change.fact.name
        self._known_holders_by_name[name] = {change.source_id} - {""}
        self._source_by_name[name] = change.source_id
        self._has_pending_facts.set()

    def _handle_link_event(self, event: object) -> None:
        if isinstance(event, LinkOpened) and event.persistent:
            # Prunes from an earlier run or link are no longer valid.
            self._pruned_names_by_id.pop(event.peer.daemon_id, None)
            if event.dialed and self._tasks:
                self._spawn(self._try_compare(event.peer.daemon_id))
        elif isinstance(event, LinkClosed) and event.persistent:
            self._restore_paths(event.peer.daemon_id)

    def _restore_paths(self, closed_peer_id: str) -> None:
        self._pruned_names_by_id.pop(closed_peer_id, None)
        self._pending_prunes_by_id.pop(closed_peer_id, None)
        if closed_peer_id in self._source_by_name.values():
            self.links.broadcast(FactPaths(b"", wanted=True))

    def _send_facts(self, peer_id: str, stored: Iterable, now: float) -> None:
        present = (each for each in stored if each is not None)
        for batch in _batches(present, now):
            self._try_send(peer_id, FactDelta(batch))

    def _send_prunes(self, peer_id: str) -> None:
        names = self._pending_prunes_by_id.pop(peer_id, None)
        if names:
            content = pack_fingerprints(sorted(names))
            self._try_send(peer_id, FactPaths(content, wanted=False))

    def _try_send(self, peer_id: str, message: object) -> None:
        link = self.links.link_to(peer_id)
        try:
            if link is not None:
                link.send(message)
        except LinkError:
            # The next comparison of digests repairs the loss.
            self.links.traffic.faults_by_reason["push"] += 1

    def _handle_delta(self, delta: FactDelta, sender: Identity) -> None:
        self._merge(delta.facts, sender.daemon_id)

    def _merge(self, facts: Iterable[Fact], sender_id: str) -> list[str]:
        now = asyncio.get_running_loop().time()
        new_names = []
        for fact in facts:
            if self.store.merge(fact, now, sender_id):
                new_names.append(fact.name)
            else:
                self._handle_duplicate(fact, sender_id)
        return new_names

    def _handle_duplicate(self, fact: Fact, sender_id: str) -> None:
        stored = self.store.get_stored(fact.name)
        if stored is None or stored.fact.rank != fact.rank:
            return
        self._known_holders_by_name.get(fact.name, set()).add(sender_id)
        source_id = self._source_by_name.get(fact.name)
        if self._is_frequent(fact.name) and source_id != sender_id:
            prunes = self._pending_prunes_by_id.setdefault(sender_id, set())
            prunes.add(name_fingerprint(fact.name))
            self._has_pending_facts.set()

    def _handle_root(self, root: FactRoot, sender: Identity) -> object:
        digest = self.store.digest
        if root.root == digest.root():
            return Done()
        level = min(max(root.level, 0), len(digest.filters) - 1)
        return FactCells(digest.filters[level].pack())

    def _handle_wanted(self, wanted: FactsWanted, sender: Identity) -> FactDelta:
        now = asyncio.get_running_loop().time()
        stored = self._find_stored(unpack_fingerprints(wanted.fingerprints))
        return FactDelta(next(iter(_batches(stored, now)), ()))

    def _handle_offer(self, offer: FactOffer, sender: Identity) -> FactsMissing:
        now = asyncio.get_running_loop().time()
        offered = set(unpack_fingerprints(offer.fingerprints))
        not_offered = (each for each in self.store if each.fingerprint not in offered)
        batch = next(iter(_batches(not_offered, now)), ())
        wanted = offered - {each.fingerprint for each in self.store}
        return FactsMissing(batch, pack_fingerprints(sorted(wanted)))

    def _handle_paths(self, paths: FactPaths, sender: Identity) -> None:
        pruned = self._pruned_names_by_id.setdefault(sender.daemon_id, set())
        names = unpack_fingerprints(paths.names)
        if not paths.wanted:
            pruned.update(names)
        elif names:
            pruned.difference_update(names)
        else:
            pruned.clear()

    def _find_stored(self, fingerprints: Iterable[int]) -> list[StoredFact]:
        chosen = frozenset(fingerprints)
        return [stored for stored in self.store if stored.fingerprint in chosen]

    def _is_frequent(self, name: str) -> bool:
        return name.partition("/")[0] in self._frequent_names


def _batches(stored: Iterable[StoredFact], now: float) -> Iterable[tuple[Fact, ...]]:
    batch: list[Fact] = []
    size_bytes = 0
    for each in stored:
        fact = each.with_remaining_lifetime(now)
        if fact is None:
            continue
        batch.append(fact)
        size_bytes += len(fact.content) + len(fact.name)
        if size_bytes > BATCH_LIMIT_BYTES:
            yield tuple(batch)
            batch, size_bytes = [], 0
    if batch:
        yield tuple(batch)
