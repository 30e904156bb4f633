"""Track which upstreams recently processed a shared prompt prefix."""

import hashlib
import struct
from collections import OrderedDict, deque
from collections.abc import Callable, Iterable

from attrs import define, field, frozen

from .ages import AGE_UNIT_SECONDS, HOP_SECONDS, encode_age
from .engines import engine_key

KEY_BYTES = 8
# Bounds memory: some hundred bytes per entry.
MAX_KEYS = 4096
# An upstream's cache covers minutes of prompts at the usual rates; an older
# prefix may have been evicted.
PREFIX_CACHED_SECONDS = 45.0
MAX_HOLDERS = 3
# A use is news to peers unless they heard of one at the same upstream within
# this time.
REPEATED_SECONDS = 10.0
# A heartbeat passes on this many news at most.
MAX_NEWS = 64
NEWS = struct.Struct(f"<{KEY_BYTES}sI")
# Older news are not passed on. They have reached most hosts, or there are more
# of them than heartbeats can carry.
RELAYED_SECONDS = 2.0


@frozen
class PrefixUse:
    """Record that an upstream processed a prompt prefix.

    ``at`` is on the boot clock.
    """

    key: bytes
    engine_id: str
    at: float


def prefix_key(service: str, part_id: str) -> bytes:
    """Return a hash that identifies a prompt prefix at a service.

    ``part_id`` is the id of the last part of the prefix.
    """
    text = f"{service} {part_id}".encode()
    return hashlib.blake2b(text, digest_size=KEY_BYTES).digest()


@frozen
class PrefixNews:
    """Hold the uses of prefixes that a heartbeat passes on.

    ``ages`` has a byte for each use; older builds send none.
    """

    uses: bytes = b""
    ages: bytes = b""


@define
class PrefixTracker:
    """Track the last upstreams that processed each prompt prefix."""

    _holders_by_key: OrderedDict[bytes, dict[str, float]] = field(factory=OrderedDict)
    _news: deque[PrefixUse] = field(factory=lambda: deque(maxlen=MAX_KEYS))

    def record(self, prefix_use: PrefixUse, *, is_news: bool = True) -> None:
        """Record the use of a prefix, of this host or a peer.

        Unless ``is_news`` is false, pass it on to peers that may not know it.
        """
        holders = self._holders_by_key.setdefault(prefix_use.key, {})
        known_at = holders.get(prefix_use.engine_id)
        if known_at is not None and known_at > prefix_use.at:
            return
        if is_news and (
            known_at is None or prefix_use.at - known_at >= REPEATED_SECONDS
        ):
            self._news.append(prefix_use)
        self._holders_by_key.move_to_end(prefix_use.key)
        holders.pop(prefix_use.engine_id, None)
        holders[prefix_use.engine_id] = prefix_use.at
        while len(holders) > MAX_HOLDERS:
            del holders[next(iter(holders))]
        while len(self._holders_by_key) > MAX_KEYS:
            self._holders_by_key.popitem(last=False)

    def holders(self, key: bytes, now: float) -> list[str]:
        """Return upstreams that should have a prefix cached, newest first."""
        holders = self._holders_by_key.get(key, {})
        return [
            engine_id
            for engine_id, at in reversed(holders.items())
            if now - at < PREFIX_CACHED_SECONDS
        ]

    def recent_uses(self, now: float) -> Iterable[PrefixUse]:
        """Return the uses that should still be cached, oldest first."""
        return [
            PrefixUse(key, engine_id, at)
            for key, holders in self._holders_by_key.items()
            for engine_id, at in holders.items()
            if now - at < PREFIX_CACHED_SECONDS
        ]

    def pack_news(self, now: float) -> PrefixNews:
        """Encode the newest news for peers, and count them as told.

        Each host passes on what is news to it, once.
        """
        while self._news and now - self._news[0].at >= RELAYED_SECONDS:
            self._news.popleft()
        uses = []
        ages = bytearray()
        while self._news and len(uses) < MAX_NEWS:
            prefix_use = self._news.pop()
            age = now - prefix_use.at
            if age < RELAYED_SECONDS:
                uses.append(NEWS.pack(prefix_use.key, engine_key(prefix_use.engine_id)))
                ages.append(encode_age(age))
        return PrefixNews(b"".join(uses), bytes(ages))

    def merge_news(
        self,
        news: PrefixNews,
        find_engine_id: Callable[[int], str | None],
        now: float,
    ) -> None:
        """Record a peer's news of upstreams that this host knows."""
        ages = news.ages or bytes(len(news.uses) // NEWS.size)
        uses = NEWS.iter_unpack(news.uses)
        for (key, engine_number), age in zip(uses, ages, strict=True):
            engine_id = find_engine_id(engine_number)
            if engine_id is None:
                continue
            at = now - HOP_SECONDS - age * AGE_UNIT_SECONDS
            holders = self._holders_by_key.get(key)
            known_at = holders.get(engine_id) if holders is not None else None
            if known_at is None or at - known_at >= REPEATED_SECONDS:
                self.record(PrefixUse(key, engine_id, at))
