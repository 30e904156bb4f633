"""Compare ways in which two daemons find the facts they do not share.

Bytes are those of finding the differences, both ways, without the facts
themselves, which every way then sends alike. Upkeep is the processor time to
add one fact to a summary, and time that of one comparison.
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

from .filters import COUNTING_CELL_BYTES, Buckets, CountingFilter

ROOT_BYTES = 2 * FINGERPRINT_BYTES
INVERTIBLE_CELL_BYTES = 16
COUNTING_CELLS_PER_ELEMENT = 20
SET_SIZES = (50, 800, 9000)
DIFFERENCES = (0, 1, 10, 100, 1000)
ROUNDS = 5

Elements = frozenset[int]


@frozen
class Found:
    """Hold what a way found and the bytes it sent."""

    size_bytes: int
    differing: Elements


@frozen
class Way:
    """Name a way, how it summarises a set and how it compares two."""

    name: str
    make: Callable[[int], Any]
    compare: Callable[[Any, Any], Found]


@frozen
class Comparison:
    """Hold the medians of one way at one size and difference."""

    way: str
    set_size: int
    changed: int
    size_bytes: int
    milliseconds: float
    upkeep_microseconds: float
    found_share: float


@frozen
class PlainSet:
    """Hold a set without any summary."""

    elements: set[int] = field(factory=set)

    def add(self, element: int) -> None:
        """Add an element."""
        self.elements.add(element)


def _exchange_all(one: PlainSet, two: PlainSet) -> Found:
    wanted = one.elements - two.elements
    size_bytes = FINGERPRINT_BYTES * (len(one.elements) + len(wanted))
    return Found(size_bytes, frozenset(one.elements ^ two.elements))


def _compare_buckets(one: Buckets, two: Buckets) -> Found:
    pairs = zip(one.sums, two.sums, strict=True)
    differing = [bucket for bucket, (a, b) in enumerate(pairs) if a != b]
    offered: set[int] = set()
    held: set[int] = set()
    for bucket in differing:
        offered |= one.elements_by_bucket.get(bucket, set())
        held |= two.elements_by_bucket.get(bucket, set())
    size_bytes = FINGERPRINT_BYTES * (one.count + len(offered) + len(offered - held))
    return Found(size_bytes, frozenset(offered ^ held))


class ListedDigest(FactDigest):
    """Keep the elements too, to list them when they cannot be decoded."""

    def __init__(self) -> None:
        super().__init__()
        self.elements: set[int] = set()

    def add(self, value: int, times: int = 1) -> None:
        """Add an element."""
        super().add(value, times)
        self.elements.add(value)


def _compare_invertible(one: ListedDigest, two: ListedDigest) -> Found:
    size_bytes = 0
    for mine, other in zip(one.filters, two.filters, strict=True):
        packed = other.pack()
        size_bytes += len(packed)
        difference = mine.difference(packed)
        if difference is not None:
            size_bytes += FINGERPRINT_BYTES * len(difference.only_remote)
            return Found(size_bytes, difference.only_local | difference.only_remote)
    # As the daemons do when no filter is large enough.
    every = _exchange_all(PlainSet(one.elements), PlainSet(two.elements))
    return Found(size_bytes + every.size_bytes, every.differing)


def _compare_counting(one: CountingFilter, two: CountingFilter) -> Found:
    size_bytes = COUNTING_CELL_BYTES * (one.cells + two.cells)
    return Found(size_bytes, frozenset(one.only_here(two) | two.only_here(one)))


WAYS = (
    Way("full exchange", lambda size: PlainSet(), _exchange_all),
    Way("64 buckets", lambda size: Buckets(64), _compare_buckets),
    Way("256 buckets", lambda size: Buckets(256), _compare_buckets),
    Way("1024 buckets", lambda size: Buckets(1024), _compare_buckets),
    Way(
        f"invertible filters {CELL_COUNTS}",
        lambda size: ListedDigest(),
        _compare_invertible,
    ),
    Way(
        "invertible counting filter",
        lambda size: CountingFilter(COUNTING_CELLS_PER_ELEMENT * size),
        _compare_counting,
    ),
)


def compare(seed: int = 1, rounds: int = ROUNDS) -> list[Comparison]:
    """Measure every way at every size and number of changed facts."""
    chance = random.Random(seed)
    return [
        _measure(way, size, changed, chance, rounds)
        for size in SET_SIZES
        for changed in DIFFERENCES
        if changed <= size
        for way in WAYS
    ]


def _measure(
    way: Way, size: int, changed: int, chance: random.Random, rounds: int
) -> Comparison:
    sizes, times, upkeeps, shares = [], [], [], []
    for _ in range(rounds):
        first, second = _make_sets(size, changed, chance)
        one, two = way.make(size), way.make(size)
        started = time.process_time()
        for element in first:
            one.add(element)
        for element in second:
            two.add(element)
        built = time.process_time()
        found = _compare(way, one, two, first == second)
        times.append(time.process_time() - built)
        upkeeps.append((built - started) / (2 * size))
        sizes.append(found.size_bytes)
        truth = first ^ second
        shares.append(len(found.differing & truth) / len(truth) if truth else 1.0)
    return Comparison(
        way.name,
        size,
        changed,
        round(statistics.median(sizes)),
        round(1e3 * statistics.median(times), 3),
        round(1e6 * statistics.median(upkeeps), 2),
        round(statistics.mean(shares), 4),
    )


def _compare(way: Way, one: Any, two: Any, is_same: bool) -> Found:
    # Every way first compares roots, which the daemons keep up to date.
    if is_same:
        return Found(ROOT_BYTES, frozenset())
    found = way.compare(one, two)
    return Found(found.size_bytes + ROOT_BYTES, found.differing)


def _make_sets(
    size: int, changed: int, chance: random.Random
) -> tuple[Elements, Elements]:
    # A changed fact is one old and one new fingerprint, one on each side.
    shared = {chance.getrandbits(64) for _ in range(size - changed)}
    first = {chance.getrandbits(64) for _ in range(changed)}
    second = {chance.getrandbits(64) for _ in range(changed)}
    return frozenset(shared | first), frozenset(shared | second)
