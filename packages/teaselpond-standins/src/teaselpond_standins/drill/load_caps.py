"""Find the moments at which an engine was loaded above the cap."""

import math
from bisect import bisect_right
from collections.abc import Iterator, Sequence

from attrs import frozen

from .records import Interval
from .upstreams import EngineReport

LOAD_MULTIPLE = 1.25
LOAD_FLOOR = 2
# A request is admitted before it arrives, and the mean may fall meanwhile.
ADMISSION_WINDOW_SECONDS = 1.0
# A breach is told apart by how old the load is that would have allowed it.
LOAD_LOOKBACK_SECONDS = (2.0, 3.0, 5.0, 8.0)
RECOVERY_SECONDS = 15.0


@frozen
class LoadHistory:
    """Hold an engine's load over time."""

    times: tuple[float, ...]
    loads: tuple[int, ...]

    @classmethod
    def of(cls, engine: EngineReport) -> "LoadHistory":
        """Return an engine's load from its recorded changes."""
        return cls(
            tuple(change.time for change in engine.history),
            tuple(change.running + change.waiting for change in engine.history),
        )

    def load_at(self, time: float) -> int:
        """Return the load at a time."""
        index = bisect_right(self.times, time)
        return self.loads[index - 1] if index else 0

    def increases(self) -> Iterator[tuple[float, int]]:
        """Yield when the load grew, and to what."""
        previous = 0
        for time, load in zip(self.times, self.loads, strict=True):
            if load > previous:
                yield time, load
            previous = load

    def times_within(self, start: float, end: float) -> Sequence[float]:
        """Return the times of change within a span."""
        return self.times[
            bisect_right(self.times, start) : bisect_right(self.times, end)
        ]


def find_loads_above_cap(
    engines: Sequence[EngineReport], troubles: Sequence[Interval], started: float
) -> Iterator[str]:
    """Yield each rise of an engine's load above the cap.

    The cap is the engine's share of all load, by the slots of the engines that
    may take work or by what they can bear, whichever gives it more, times the
    multiple, rounded up, and at least the floor. The load counted is the
    highest of the last second, and an engine that was in trouble counts as
    one that takes no work.
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
                    f"{engine.engine_id} at {load}, cap {_cap(total, share)}, at "
                    f"{time - started:.2f} s: {total} in all, its share {share:.2f}, "
                    + _explain(histories, time, load, share)
                )


def _cap(total: int, share: float) -> int:
    return max(LOAD_FLOOR, math.ceil(LOAD_MULTIPLE * total * share))


def _explain(
    histories: Sequence[LoadHistory], time: float, load: int, share: float
) -> str:
    for seconds in LOAD_LOOKBACK_SECONDS:
        if load <= _cap(_highest_total(histories, time, seconds), share):
            return f"within it by the load of up to {seconds:g} s before"
    return f"nor within it by any load of {LOAD_LOOKBACK_SECONDS[-1]:g} s before"


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
