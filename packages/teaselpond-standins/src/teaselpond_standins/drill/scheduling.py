"""Draw what goes wrong at which time, and wait until all of it is over."""

import asyncio
import random
from collections.abc import Callable, Iterable, Sequence
from typing import Protocol, TypeVar


class SeededGenerator(Protocol):
    """Draw from one seeded source."""

    random: random.Random


D = TypeVar("D", bound=SeededGenerator)
T = TypeVar("T")


def draw_in_turn(
    generator: D,
    draw_functions: Sequence[Callable[[D, float], T]],
    start: float,
    end: float,
    mean_gap_seconds: float,
) -> tuple[T, ...]:
    """Draw at random times, from all drawers in turn."""
    events: list[T] = []
    at = start
    remaining: list[Callable[[D, float], T]] = []
    while at < end:
        if not remaining:
            remaining = list(draw_functions)
            generator.random.shuffle(remaining)
        events.append(remaining.pop()(generator, round(at, 2)))
        at += generator.random.uniform(0, 2 * mean_gap_seconds)
    return tuple(events)


async def wait_for_tasks(tasks: Iterable[asyncio.Task], seconds: float) -> list[str]:
    """Wait for tasks, and return what failed or never ended."""
    done, pending = await asyncio.wait(tasks, timeout=seconds)
    failures = [repr(task.exception()) for task in done if task.exception() is not None]
    failures += [f"never ended: {task.get_coro()!r}" for task in pending]
    return failures


async def cancel(tasks: Iterable[asyncio.Task]) -> None:
    """Cancel tasks, and wait until they have ended."""
    tasks = list(tasks)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
