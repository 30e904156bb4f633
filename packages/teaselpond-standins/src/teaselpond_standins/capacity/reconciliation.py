"""Compare strategies by which two daemons find the facts they don't share.

Bytes are those sent in both directions to find the differences, without the
facts themselves, which every strategy then sends alike. Upkeep is the
processor time to add one fact to a summary; time is that of one comparison.
"""

import random
import statistics
import time
from collections.abc import Callable
from typing import Any

from attrs import field, frozen

from teaselpond.links.digests import (
    CELL_COUNTS,
    FINGERPRINT_BYTES,
    FactDigest,
)

from .filters import COUNTING_CELL_BYTES, CountingFilter, XorBuckets

ROOT_BYTES = 2 * FINGERPRINT_BYTES
INVERTIBLE_CELL_BYTES = 16
COUNTING_CELLS_PER_ELEMENT = 20
SET_SIZES = (50, 800, 9000)
DIFFERENCES = (0, 1, 10, 100, 1000)
ROUNDS = 5

Elements = frozenset[int]


@frozen
class ComparisonResult:
    """Hold the differing elements that were found and the bytes sent."""

    size_bytes: int
    differing: Elements


@frozen
class Strategy:
    """Define how a strategy summarizes a set and compares two summaries."""

    name: str
    make: Callable[[int], Any]
    compare: Callable[[Any, Any], ComparisonResult]


@frozen
class Comparison:
    """Hold one strategy's medians at one set size and change count.

    ``found_share`` is the mean share of the differing elements found.
    """

    strategy: str
    set_size: int
    changed: int
    size_bytes: int
    milliseconds: float
    upkeep_microseconds: float
    found_share: float


@frozen
class PlainSet:
    """Keep a set without a summary."""

    elements: set[int] = field(factory=set)

    def add(self, element: int) -> None:
        """Add an element."""
        self.elements.add(element)


def _exchange_all(local: PlainSet, remote: PlainSet) -> ComparisonResult:
    missing = local.elements - remote.elements
    size_bytes = FINGERPRINT_BYTES * (len(local.elements) + len(missing))
    return ComparisonResult(size_bytes, frozenset(local.elements ^ remote.elements))


def _compare_buckets(local: XorBuckets, remote: XorBuckets) -> ComparisonResult:
    pairs = zip(local.sums, remote.sums, strict=True)
    differing = [bucket for bucket, (a, b) in enumerate(pairs) if a != b]
    offered: set[int] = set()
    present: set[int] = set()
    for bucket in differing:
        offered |= local.elements_by_bucket.get(bucket, set())
        present |= remote.elements_by_bucket.get(bucket, set())
    size_bytes = FINGERPRINT_BYTES * (
        local.count + len(offered) + len(offered - present)
    )
    return ComparisonResult(size_bytes, frozenset(offered ^ present))


class EnumerableDigest(FactDigest):
    """Keep the elements too, to send all of them if decoding fails."""

    def __init__(self) -> None:
        super().__init__()
        self.elements: set[int] = set()

    def add(self, value: int, times: int = 1) -> None:
        """Add an element."""
        super().add(value, times)
        self.elements.add(value)


def _compare_invertible(
    local: EnumerableDigest, remote: EnumerableDigest
) -> ComparisonResult:
    size_bytes = 0
    for local_filter, remote_filter in zip(local.filters, remote.filters, strict=True):
        packed = remote_filter.pack()
        size_bytes += len(packed)
        difference = local_filter.difference(packed)
        if difference is not None:
            size_bytes += FINGERPRINT_BYTES * len(difference.only_remote)
            return ComparisonResult(
                size_bytes, difference.only_local | difference.only_remote
            )
    # The daemons also exchange everything if no filter is large enough.
    fallback = _exchange_all(PlainSet(local.elements), PlainSet(remote.elements))
    return ComparisonResult(size_bytes + fallback.size_bytes, fallback.differing)


def _compare_counting(
    local: CountingFilter, remote: CountingFilter
) -> ComparisonResult:
    size_bytes = COUNTING_CELL_BYTES * (local.cells + remote.cells)
    return ComparisonResult(
        size_bytes,
        frozenset(
            local.elements_missing_in(remote) | remote.elements_missing_in(local)
        ),
    )


STRATEGIES = (
    Strategy("full exchange", lambda size: PlainSet(), _exchange_all),
    Strategy("64 buckets", lambda size: XorBuckets(64), _compare_buckets),
    Strategy("256 buckets", lambda size: XorBuckets(256), _compare_buckets),
    Strategy("1024 buckets", lambda size: XorBuckets(1024), _compare_buckets),
    Strategy(
        f"invertible filters {CELL_COUNTS}",
        lambda size: EnumerableDigest(),
        _compare_invertible,
    ),
    Strategy(
        "invertible counting filter",
        lambda size: CountingFilter(COUNTING_CELLS_PER_ELEMENT * size),
        _compare_counting,
    ),
)


def compare(seed: int = 1, rounds: int = ROUNDS) -> list[Comparison]:
    """Measure every strategy at every size and number of changed facts."""
    rng = random.Random(seed)
    return [
        _measure(strategy, size, changed, rng, rounds)
        for size in SET_SIZES
        for changed in DIFFERENCES
        if changed <= size
        for strategy in STRATEGIES
    ]


def _measure(
    strategy: Strategy, size: int, changed: int, rng: random.Random, rounds: int
) -> Comparison:
    sizes, times, upkeeps, shares = [], [], [], []
    for _ in range(rounds):
        first, second = _make_sets(size, changed, rng)
        local, remote = strategy.make(size), strategy.make(size)
        started = time.process_time()
        for element in first:
            local.add(element)
        for element in second:
            remote.add(element)
        built = time.process_time()
        result = _compare(strategy, local, remote, first == second)
        times.append(time.process_time() - built)
        upkeeps.append((built - started) / (2 * size))
        sizes.append(result.size_bytes)
        expected = first ^ second
        shares.append(
            len(result.differing & expected) / len(expected) if expected else 1.0
        )
    return Comparison(
        strategy.name,
        size,
        changed,
        round(statistics.median(sizes)),
        round(1e3 * statistics.median(times), 3),
        round(1e6 * statistics.median(upkeeps), 2),
        round(statistics.mean(shares), 4),
    )


def _compare(
    strategy: Strategy, local: Any, remote: Any, is_same: bool
) -> ComparisonResult:
    # Every strategy first compares root fingerprints, which the daemons
    # keep up to date.
    if is_same:
        return ComparisonResult(ROOT_BYTES, frozenset())
    result = strategy.compare(local, remote)
    return ComparisonResult(result.size_bytes + ROOT_BYTES, result.differing)


def _make_sets(
    size: int, changed: int, rng: random.Random
) -> tuple[Elements, Elements]:
    # A changed fact has its old fingerprint on one side and its new one on
    # the other.
    shared = {rng.getrandbits(64) for _ in range(size - changed)}
    first = {rng.getrandbits(64) for _ in range(changed)}
    second = {rng.getrandbits(64) for _ in range(changed)}
    return frozenset(shared | first), frozenset(shared | second)
