"""Track which upstreams recently processed a shared prompt prefix."""

import hashlib
from collections import OrderedDict, deque
from collections.abc import Iterable

from attrs import define, field, frozen

# An upstream's cache covers minutes of prompts at the usual rates; an older
# prefix may have been evicted.
PREFIX_CACHED_SECONDS = 45.0
MAX_HOLDERS = 3
# Bounds memory: some hundred bytes per entry.
MAX_KEYS = 4096
KEY_BYTES = 8


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


@define
class PrefixTracker:
    """Track the last upstreams that processed each prompt prefix."""

    _holders_by_key: OrderedDict[bytes, dict[str, float]] = field(factory=OrderedDict)
    _own_uses: deque[PrefixUse] = field(factory=lambda: deque(maxlen=MAX_KEYS))

    def record_own(self, key: bytes, engine_id: str, now: float) -> None:
        """Record that an upstream processed a prefix for this host."""
        self.record(PrefixUse(key, engine_id, now))
        self._own_uses.append(PrefixUse(key, engine_id, now))

    def record(self, prefix_use: PrefixUse) -> None:
        """Record the use of a prefix, of this host or a peer."""
        holders = self._holders_by_key.setdefault(prefix_use.key, {})
        if holders.get(prefix_use.engine_id, prefix_use.at) > prefix_use.at:
            return
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

    def own_since(self, since: float) -> Iterable[PrefixUse]:
        """Return this host's newest use per key and upstream since a time."""
        newest: dict[tuple[bytes, str], PrefixUse] = {}
        for prefix_use in reversed(self._own_uses):
            if prefix_use.at < since:
                break
            newest.setdefault((prefix_use.key, prefix_use.engine_id), prefix_use)
        return newest.values()
