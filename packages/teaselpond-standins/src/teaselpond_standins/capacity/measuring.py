"""Measure a structure's memory and the time of an operation on it."""

import gc
import statistics
import time
import tracemalloc
from collections.abc import Callable
from typing import Any

from attrs import frozen

from .points import StructurePoint

REPEATS = 5
SHORTEST_SECONDS = 0.02


@frozen
class Structure:
    """Name a structure, how to make one of a size, and what to do with it.

    ``operate`` takes what ``make`` gave and a number that grows.
    """

    name: str
    role: str
    unit: str
    operation: str
    sizes: tuple[int, ...]
    make: Callable[[int], Any]
    operate: Callable[[Any, int], Any]
    repeats: int = REPEATS


def measure(structure: Structure) -> list[StructurePoint]:
    """Measure a structure at each of its sizes."""
    return [_measure_size(structure, size) for size in structure.sizes]


def _measure_size(structure: Structure, size: int) -> StructurePoint:
    # Once without being counted, so that caches shared by all are filled.
    structure.make(min(size, structure.sizes[0]))
    gc.collect()
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    made = structure.make(size)
    gc.collect()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    times = _time_operations(structure, made)
    return StructurePoint(
        structure.name,
        size,
        after - before,
        round(statistics.median(times), 9),
        round(max(times), 9),
    )


def _time_operations(structure: Structure, made: Any) -> list[float]:
    number = 0
    times = []
    for _ in range(structure.repeats):
        count = 0
        started = time.process_time()
        while time.process_time() - started < SHORTEST_SECONDS:
            structure.operate(made, number)
            number += 1
            count += 1
        times.append((time.process_time() - started) / count)
    return times
