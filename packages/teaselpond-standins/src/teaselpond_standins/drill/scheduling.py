"""Draw a random schedule, and wait for or cancel the tasks that run it."""

import asyncio
import random
from collections.abc import Callable, Iterable, Sequence
from typing import Protocol, TypeVar


class SeededGenerator(Protocol):
    """Draw events from one seeded random generator."""

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
    """Return events at random times between ``start`` and ``end``.

    Call each draw function once, in random order, before any is called again.
    All times are in seconds.
    """
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
    """Wait for tasks; describe those that failed or did not end in time."""
    done, pending = await asyncio.wait(tasks, timeout=seconds)
    failures = [repr(task.exception()) for task in done if task.exception() is not None]
    failures += [f"did not end in time: {task.get_coro()!r}" for task in pending]
    return failures


async def cancel(tasks: Iterable[asyncio.Task]) -> None:
    """Cancel tasks and wait until they have ended."""
    tasks = list(tasks)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
