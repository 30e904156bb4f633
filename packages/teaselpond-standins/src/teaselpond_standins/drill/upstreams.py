"""Read the records of the stand-in upstreams."""

from bisect import bisect_right
from collections import Counter
from typing import Any

import aiohttp
from attrs import frozen

from teaselpond_model.platform import make_converter

from ..engine.records import LoadChange, RunStart
from ..fleet import Fleet


@frozen
class EngineReport:
    """Hold the records of one engine.

    ``overrun`` is set if it ever had more requests than slots.
    """

    engine_id: str
    slots: int
    overrun: bool
    cold_crashes: int
    sudden_cold_crashes: int
    crashes_by_poison: dict[str, int]
    crash_times: tuple[float, ...]
    starts: tuple[RunStart, ...]
    history: tuple[LoadChange, ...]

    @property
    def zone(self) -> str:
        """Return the engine's availability zone."""
        return self.engine_id.split("-")[1]

    def capacity_at(self, time: float) -> int:
        """Return how many requests the engine could run at ``time``."""
        index = bisect_right(self.history, time, key=lambda change: change.time)
        return self.history[index - 1].bearing if index else self.slots

    def crashed_within(self, start: float, end: float) -> bool:
        """Return whether the engine crashed after ``start``, up to ``end``."""
        return any(start < time <= end for time in self.crash_times)


@frozen
class ServiceReport:
    """Hold the records of one plain service."""

    service_id: str
    runs_by_key: dict[str, int]


@frozen
class UpstreamReports:
    """Hold the records of all upstreams."""

    engines: tuple[EngineReport, ...]
    services: tuple[ServiceReport, ...]

    def starts_by_request_id(self) -> Counter[str]:
        """Count the runs that the engines started for each request id."""
        return Counter(
            start.request_id for engine in self.engines for start in engine.starts
        )

    def runs_by_key(self) -> Counter[str]:
        """Count the runs of the services for each idempotency key."""
        runs: Counter[str] = Counter()
        for service in self.services:
            runs.update(service.runs_by_key)
        return runs


async def read_upstreams(
    fleet: Fleet, session: aiohttp.ClientSession
) -> UpstreamReports:
    """Fetch the records of every upstream of a fleet."""
    engines = []
    for engine_id, process in fleet.engines_by_id.items():
        content = await _read(session, f"{process.url}/_ran?history=1")
        engines.append(_engine_report(engine_id, fleet.plan.slots, content))
    services = []
    for service_id, process in fleet.services_by_id.items():
        content = await _read(session, f"{process.url}/_ran")
        services.append(ServiceReport(service_id, content["by_key"]))
    return UpstreamReports(tuple(engines), tuple(services))


def _engine_report(engine_id: str, slots: int, content: dict[str, Any]) -> EngineReport:
    structure = make_converter().structure
    return EngineReport(
        engine_id=engine_id,
        slots=slots,
        overrun=content["overrun"],
        cold_crashes=content["cold_crashes"],
        sudden_cold_crashes=content["sudden_cold_crashes"],
        crashes_by_poison=content["crashes_by_poison"],
        crash_times=tuple(content["crash_times"]),
        starts=structure(content["starts"], tuple[RunStart, ...]),
        history=structure(content["history"], tuple[LoadChange, ...]),
    )


async def _read(session: aiohttp.ClientSession, url: str) -> dict[str, Any]:
    async with session.get(url) as response:
        return await response.json()
