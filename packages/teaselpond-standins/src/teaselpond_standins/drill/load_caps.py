"""Find the times at which an engine's load exceeded its cap."""

import math
from bisect import bisect_right
from collections.abc import Iterator, Sequence

from attrs import frozen

from .records import Interval
from .upstreams import EngineReport

LOAD_MULTIPLE = 1.25
LOAD_FLOOR = 2
# The mean may fall between the admission of a request and its arrival.
ADMISSION_WINDOW_SECONDS = 1.0
# A violation is reported with the shortest of these windows in which the
# highest total load would have allowed it.
LOAD_LOOKBACK_SECONDS = (2.0, 3.0, 5.0, 8.0)
RECOVERY_SECONDS = 15.0


@frozen
class LoadHistory:
    """Hold an engine's load (requests running and waiting) over time."""

    times: tuple[float, ...]
    loads: tuple[int, ...]

    @classmethod
    def of(cls, engine: EngineReport) -> "LoadHistory":
        """Create a history from the load changes that an engine recorded."""
        return cls(
            tuple(change.time for change in engine.history),
            tuple(change.running + change.waiting for change in engine.history),
        )

    def load_at(self, time: float) -> int:
        """Return the load at a time."""
        index = bisect_right(self.times, time)
        return self.loads[index - 1] if index else 0

    def increases(self) -> Iterator[tuple[float, int]]:
        """Yield the time and the new load of each increase."""
        previous = 0
        for time, load in zip(self.times, self.loads, strict=True):
            if load > previous:
                yield time, load
            previous = load

    def times_within(self, start: float, end: float) -> Sequence[float]:
        """Return the times of the changes after ``start``, up to ``end``."""
        return self.times[
            bisect_right(self.times, start) : bisect_right(self.times, end)
        ]


def find_loads_above_cap(
    engines: Sequence[EngineReport], troubles: Sequence[Interval], started: float
) -> Iterator[str]:
    """Yield a description of each load increase above an engine's cap.

    The cap is LOAD_MULTIPLE times the engine's share of the total load,
    rounded up, and at least LOAD_FLOOR. The share is computed from slots and
    from current capacities among the engines in service, and the larger one
    counts. The total load is the highest of the last
    ADMISSION_WINDOW_SECONDS. An engine or zone listed in ``troubles`` at that
    time, or one that crashed within RECOVERY_SECONDS, is not in service.
    """
    histories = [LoadHistory.of(engine) for engine in engines]
    for engine, load_history in zip(engines, histories, strict=True):
        for time, load in load_history.increases():
            others = _others_in_service(engine, engines, troubles, time)
            if load <= LOAD_FLOOR or not others:
                continue
            share = _share(engine, others, time)
            total = _highest_total(histories, time, ADMISSION_WINDOW_SECONDS)
            if load > _cap(total, share):
                yield (
                    f"{engine.engine_id} had load {load}, cap {_cap(total, share)}, at "
                    f"{time - started:.2f} s: total load {total}, share {share:.2f}, "
                    + _explain(histories, time, load, share)
                )


def _cap(total: int, share: float) -> int:
    return max(LOAD_FLOOR, math.ceil(LOAD_MULTIPLE * total * share))


def _explain(
    histories: Sequence[LoadHistory], time: float, load: int, share: float
) -> str:
    for seconds in LOAD_LOOKBACK_SECONDS:
        if load <= _cap(_highest_total(histories, time, seconds), share):
            return f"allowed by the highest total load of the last {seconds:g} s"
    return f"not allowed by any total load of the last {LOAD_LOOKBACK_SECONDS[-1]:g} s"


def _others_in_service(
    engine: EngineReport,
    engines: Sequence[EngineReport],
    troubles: Sequence[Interval],
    time: float,
) -> list[EngineReport]:
    troubled = {one.name for one in troubles if one.start < time < one.end}
    return [
        other
        for other in engines
        if other is not engine
        and other.engine_id not in troubled
        and other.zone not in troubled
        and not other.crashed_within(time - RECOVERY_SECONDS, time)
    ]


def _share(engine: EngineReport, others: Sequence[EngineReport], time: float) -> float:
    capacity = engine.capacity_at(time)
    by_capacity = capacity / (
        capacity + sum(other.capacity_at(time) for other in others)
    )
    by_slots = engine.slots / (engine.slots + sum(other.slots for other in others))
    return max(by_capacity, by_slots)


def _highest_total(
    histories: Sequence[LoadHistory], time: float, seconds: float
) -> int:
    start = time - seconds
    change_times = {start, time}
    for load_history in histories:
        change_times.update(load_history.times_within(start, time))
    return max(
        sum(load_history.load_at(change_time) for load_history in histories)
        for change_time in change_times
    )
