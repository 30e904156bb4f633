"""Index the prompt prefixes in an engine's cache."""

from collections.abc import Iterable, Sequence

from attrs import define, field

from teaselpond_model.contracts import CacheEvent, CacheEventKind, CacheEventPage

MILESTONES_PER_DOUBLING = 4
PREFIXES_PER_REQUEST = 8


def is_milestone(block: int) -> bool:
    """Return whether prefixes of ``block`` blocks are sent and indexed.

    The number of milestones for each doubling of the length is constant, so a
    long prompt needs few of them, and a milestone stays one as a prompt grows.
    """
    step = 1 << max(0, block.bit_length() - MILESTONES_PER_DOUBLING.bit_length())
    return block % step == 0


def select_prefixes(chain: Sequence[str]) -> tuple[str, ...]:
    """Return the chain hashes of a prompt to send with its request.

    ``chain`` has one hash for each block of the prompt, which covers the
    prompt up to the end of that block. The hashes returned are the last
    ``PREFIXES_PER_REQUEST`` milestones, longest last.
    """
    milestones = [
        prefix for block, prefix in enumerate(chain, 1) if is_milestone(block)
    ]
    return tuple(milestones[-PREFIXES_PER_REQUEST:])


@define
class PrefixIndex:
    """Mirror one engine's cache from its events.

    Events may arrive late or be missing; ``has_gap`` is True after a loss.
    """

    capacity: int
    block_tokens: int
    incarnation: str = ""
    last_sequence: int = 0
    has_gap: bool = False
    tokens_by_prefix: dict[int, int] = field(factory=dict)

    def __len__(self) -> int:
        return len(self.tokens_by_prefix)

    def clear(self) -> None:
        """Remove every prefix."""
        self.tokens_by_prefix.clear()

    def restart(self, incarnation: str) -> None:
        """Reset the index for a new incarnation of the engine."""
        self.clear()
        self.incarnation = incarnation
        self.last_sequence = 0
        self.has_gap = False

    def add(self, prefix: str, tokens: int) -> None:
        """Add a milestone prefix and evict the oldest entry if full.

        Prefixes that are no milestones are ignored.
        """
        if tokens % self.block_tokens or not is_milestone(tokens // self.block_tokens):
            return
        key = int(prefix, 16)
        self.tokens_by_prefix.pop(key, None)
        self.tokens_by_prefix[key] = tokens
        if len(self.tokens_by_prefix) > self.capacity:
            del self.tokens_by_prefix[next(iter(self.tokens_by_prefix))]

    def discard(self, prefix: str) -> None:
        """Remove one prefix, if it is indexed."""
        self.tokens_by_prefix.pop(int(prefix, 16), None)

    def cached_tokens(self, prefixes: Iterable[int]) -> int:
        """Return the tokens of the first prefix that is cached, or 0."""
        for prefix in prefixes:
            tokens = self.tokens_by_prefix.get(prefix)
            if tokens is not None:
                return tokens
        return 0

    def observe(self, page: CacheEventPage) -> bool:
        """Apply a page of events; return True if the cache was cleared.

        Events that were applied already are skipped. If events are missing,
        ``has_gap`` is set and the caller should fetch a snapshot.
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
        """Replace the index by a snapshot, given as STORED events.

        A snapshot older than the last applied event is ignored.
        """
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
