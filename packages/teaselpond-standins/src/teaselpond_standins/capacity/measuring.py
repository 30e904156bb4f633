"""Measure the memory of a data structure and the time of an operation."""

import gc
import statistics
import time
import tracemalloc
from collections.abc import Callable
from typing import Any

from attrs import frozen

from .points import StructurePoint

REPEATS = 5
MIN_TIMING_SECONDS = 0.02


@frozen
class Structure:
    """Describe a data structure to measure and the operation to time.

    ``make`` creates one of a size. ``operate`` takes the result and a number
    that increases with each call.
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
    # Fill shared caches first; their memory isn't the structure's.
    structure.make(min(size, structure.sizes[0]))
    gc.collect()
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    instance = structure.make(size)
    gc.collect()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    times = _time_operations(structure, instance)
    return StructurePoint(
        structure.name,
        size,
        after - before,
        round(statistics.median(times), 9),
        round(max(times), 9),
    )


def _time_operations(structure: Structure, instance: Any) -> list[float]:
    number = 0
    times = []
    for _ in range(structure.repeats):
        count = 0
        started = time.process_time()
        while time.process_time() - started < MIN_TIMING_SECONDS:
            structure.operate(instance, number)
            number += 1
            count += 1
        times.append((time.process_time() - started) / count)
    return times
