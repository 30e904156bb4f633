"""Keep what is known of the prefixes in an engine's cache."""

from collections.abc import Iterable, Sequence

from attrs import define, field

from teaselpond_model.contracts import CacheEvent, CacheEventKind, CacheEventPage

MILESTONES_PER_DOUBLING = 4
PREFIXES_PER_REQUEST = 8


def is_milestone(block: int) -> bool:
    """Tell whether requests and indexes name the prefix of so many blocks.

    Milestones grow sparser with the length, a fixed number for each doubling,
    so that a long history needs few of them and keeps them as it grows.
    """
    step = 1 << max(0, block.bit_length() - MILESTONES_PER_DOUBLING.bit_length())
    return block % step == 0


def select_prefixes(chain: Sequence[str]) -> tuple[str, ...]:
    """Choose the hashes of a prompt's blocks that a request carries."""
    milestones = [
        prefix for block, prefix in enumerate(chain, 1) if is_milestone(block)
    ]
    return tuple(milestones[-PREFIXES_PER_REQUEST:])


@define
class PrefixIndex:
    """Follow one engine's cache by its events, which are late and gappy."""

    capacity: int
    block_tokens: int
    incarnation: str = ""
    last_sequence: int = 0
    has_gap: bool = False
    tokens_by_prefix: dict[int, int] = field(factory=dict)

    def __len__(self) -> int:
        return len(self.tokens_by_prefix)

    def clear(self) -> None:
        """Forget every prefix."""
        self.tokens_by_prefix.clear()

    def restart(self, incarnation: str) -> None:
        """Begin anew with an engine that has started again."""
        self.clear()
        self.incarnation = incarnation
        self.last_sequence = 0
        self.has_gap = False

    def add(self, prefix: str, tokens: int) -> None:
        """Note a prefix; the one noted longest ago gives way."""
        if tokens % self.block_tokens or not is_milestone(tokens // self.block_tokens):
            return
        key = int(prefix, 16)
        self.tokens_by_prefix.pop(key, None)
        self.tokens_by_prefix[key] = tokens
        if len(self.tokens_by_prefix) > self.capacity:
            del self.tokens_by_prefix[next(iter(self.tokens_by_prefix))]

    def discard(self, prefix: str) -> None:
        """Forget one prefix."""
        self.tokens_by_prefix.pop(int(prefix, 16), None)

    def cached_tokens(self, prefixes: Iterable[int]) -> int:
        """Return the length of the first of these prefixes that is held."""
        for prefix in prefixes:
            tokens = self.tokens_by_prefix.get(prefix)
            if tokens is not None:
                return tokens
        return 0

    def observe(self, page: CacheEventPage) -> bool:
        """Apply a page of events; return True when the cache was cleared.

        Events that are older than those applied are passed over; a gap is
        noted, for the caller to fetch a snapshot.
        """
        cleared = False
        for event in sorted(page.events, key=lambda event: event.sequence):
            if event.sequence <= self.last_sequence:
                continue
            if event.sequence != self.last_sequence + 1:
                self.has_gap = True
            self.last_sequence = event.sequence
            cleared = self._apply(event) or cleared
        if page.last_sequence > self.last_sequence:
            self.has_gap = True
            self.last_sequence = page.last_sequence
        return cleared

    def resynchronise(
        self, incarnation: str, last_sequence: int, events: Iterable[CacheEvent]
    ) -> None:
        """Replace what is known by a snapshot, given as stored prefixes."""
        if incarnation == self.incarnation and last_sequence < self.last_sequence:
            return
        self.restart(incarnation)
        for event in events:
            self.add(event.prefix, event.tokens)
        self.last_sequence = last_sequence

    def _apply(self, event: CacheEvent) -> bool:
        if event.kind is CacheEventKind.STORED:
            self.add(event.prefix, event.tokens)
        elif event.kind is CacheEventKind.EVICTED:
            self.discard(event.prefix)
        else:
            self.clear()
            return True
        return False
