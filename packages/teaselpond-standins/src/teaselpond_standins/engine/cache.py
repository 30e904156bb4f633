"""Cache prompt prefixes in limited memory and record cache events."""

import json
import random
from collections import OrderedDict

from attrs import define, field, frozen

from teaselpond_model.contracts import CacheEvent, CacheEventKind
from teaselpond_model.prefixes import BLOCK_TOKENS

KV_BYTES_PER_TOKEN = 64


@frozen
class CachedBlock:
    """Hold a cached block of a prompt.

    ``prefix`` is the hash of the chain up to this block, ``parent`` that of
    the previous block, and ``tokens`` the length of that chain.
    """

    prefix: str
    parent: str
    tokens: int


@frozen
class TimedEvent:
    """Hold a cache event, its time, and whether it is omitted from answers."""

    time: float
    event: CacheEvent
    lost: bool


@define
class PrefixCache:
    """Cache blocks, with eviction of the least recently used.

    Within a chain, later blocks are evicted before earlier ones.
    ``gap_share`` is the share of events that are lost.
    """

    max_tokens: int
    gap_share: float = 0.0
    seed: int = 0
    _blocks_by_prefix: OrderedDict[str, CachedBlock] = field(factory=OrderedDict)
    _events: list[TimedEvent] = field(factory=list)
    _random: random.Random = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._random = random.Random(self.seed)

    @property
    def tokens(self) -> int:
        """Return the number of cached tokens."""
        return len(self._blocks_by_prefix) * BLOCK_TOKENS

    @property
    def blocks(self) -> tuple[CachedBlock, ...]:
        """Return the cached blocks, the least recently used first."""
        return tuple(self._blocks_by_prefix.values())

    @property
    def last_sequence(self) -> int:
        """Return the sequence number of the last event."""
        return len(self._events)

    def match(self, prefixes: tuple[str, ...]) -> int:
        """Return how many leading tokens of a chain of prefixes are cached."""
        tokens = 0
        for prefix in prefixes:
            if prefix not in self._blocks_by_prefix:
                break
            tokens += BLOCK_TOKENS
        return tokens

    def store(self, prefixes: tuple[str, ...], now: float) -> None:
        """Cache a chain of prefixes, given from its first block on."""
        parent = ""
        for index, prefix in enumerate(prefixes, start=1):
            if prefix not in self._blocks_by_prefix:
                block = CachedBlock(prefix, parent, index * BLOCK_TOKENS)
                self._blocks_by_prefix[prefix] = block
                self._record_event(CacheEventKind.STORED, now, prefix, block.tokens)
            parent = prefix
        for prefix in reversed(prefixes):
            self._blocks_by_prefix.move_to_end(prefix)
        while self.tokens > self.max_tokens:
            prefix, block = self._blocks_by_prefix.popitem(last=False)
            self._record_event(CacheEventKind.EVICTED, now, prefix, block.tokens)

    def clear(self, now: float) -> None:
        """Remove all blocks."""
        self._blocks_by_prefix.clear()
        self._record_event(CacheEventKind.CLEARED, now)

    def events(self, after: int, until: float) -> tuple[TimedEvent, ...]:
        """Return the events after a sequence number, up to a time."""
        later = self._events[max(after, 0) :]
        return tuple(timed for timed in later if timed.time <= until)

    def export(self, prefix: str) -> bytes | None:
        """Return the chain that ends in a prefix, or None if it isn't cached.

        The bytes are padded to KV_BYTES_PER_TOKEN for each token.
        """
        chain = []
        block = self._blocks_by_prefix.get(prefix)
        while block is not None:
            chain.append(block.prefix)
            block = self._blocks_by_prefix.get(block.parent)
        if not chain:
            return None
        header = json.dumps(chain[::-1]).encode() + b"\n"
        return header.ljust(len(chain) * BLOCK_TOKENS * KV_BYTES_PER_TOKEN, b"\0")

    def load(self, content: bytes, now: float) -> None:
        """Store an exported chain; raise ValueError if it is malformed."""
        header, separator, _ = content.partition(b"\n")
        chain = json.loads(header) if separator else None
        if not isinstance(chain, list) or not all(type(p) is str for p in chain):
            raise ValueError("expected a first line with a JSON list of prefixes")
        self.store(tuple(chain), now)

    def _record_event(
        self, kind: CacheEventKind, now: float, prefix: str = "", tokens: int = 0
    ) -> None:
        event = CacheEvent(len(self._events) + 1, kind, prefix, tokens)
        lost = self._random.random() < self.gap_share
        self._events.append(TimedEvent(now, event, lost))
