"""Check which requests the engines received."""

from collections.abc import Iterable, Iterator

from ..load_caps import find_loads_above_cap
from ..records import DrillRecords, Interval
from ..upstreams import EngineReport, UpstreamReports
from ..verdicts import Verdict

# Every daemon must apply an accepted change within these times.
ZONE_OUT_GRACE_SECONDS = 3.0
LEAVING_GRACE_SECONDS = 5.0
MAX_ENGINES_PER_POISON = 2


def check_zones(records: DrillRecords, upstreams: UpstreamReports) -> Verdict:
    """Check that no request started in a zone taken out of service.

    Starts within the first ZONE_OUT_GRACE_SECONDS are allowed.
    """
    violations = []
    for interval in records.zones_out:
        engines = [e for e in upstreams.engines if e.zone == interval.name]
        violations += _starts_within(engines, interval, ZONE_OUT_GRACE_SECONDS)
    promise = f"a zone taken out gets no new work after {ZONE_OUT_GRACE_SECONDS:g} s"
    return Verdict(promise, len(records.zones_out), tuple(violations))


def check_leaving(records: DrillRecords, upstreams: UpstreamReports) -> Verdict:
    """Check that no request started on a leaving engine.

    Starts within the first LEAVING_GRACE_SECONDS are allowed.
    """
    violations = []
    for interval in records.engines_leaving:
        engines = [e for e in upstreams.engines if e.engine_id == interval.name]
        violations += _starts_within(engines, interval, LEAVING_GRACE_SECONDS)
    promise = f"a leaving engine gets no new work after {LEAVING_GRACE_SECONDS:g} s"
    return Verdict(promise, len(records.engines_leaving), tuple(violations))


def check_overruns(records: DrillRecords, upstreams: UpstreamReports) -> Verdict:
    """Check that no engine ever had more requests than slots."""
    violations = tuple(e.engine_id for e in upstreams.engines if e.overrun)
    promise = "no engine had more requests than slots"
    return Verdict(promise, len(upstreams.engines), violations)


def check_caps(records: DrillRecords, upstreams: UpstreamReports) -> Verdict:
    """Check that no engine's load exceeded its cap.

    See ``find_loads_above_cap`` for the definition of the cap.
    """
    changes = sum(len(engine.history) for engine in upstreams.engines)
    troubles = (
        *records.zones_out,
        *records.engines_leaving,
        *records.engines_troubled,
    )
    violations = tuple(
        find_loads_above_cap(upstreams.engines, troubles, records.started)
    )
    return Verdict("no engine was loaded above the cap", changes, violations)


def check_cold_starts(records: DrillRecords, upstreams: UpstreamReports) -> Verdict:
    """Check that no engine was overloaded into a crash in a cold start."""
    violations = tuple(
        f"{engine.engine_id} crashed {engine.cold_crashes} time(s)"
        for engine in upstreams.engines
        if engine.cold_crashes
    )
    promise = "no freshly started engine got more than it can run"
    return Verdict(promise, len(upstreams.engines), violations)


def check_sudden_cold(records: DrillRecords, upstreams: UpstreamReports) -> Verdict:
    """Check that no engine that turned cold was overloaded into a crash."""
    violations = tuple(
        f"{engine.engine_id} crashed {engine.sudden_cold_crashes} time(s)"
        for engine in upstreams.engines
        if engine.sudden_cold_crashes
    )
    promise = "no engine that turned cold got more than it can run"
    return Verdict(promise, len(upstreams.engines), violations)


def check_poison(records: DrillRecords, upstreams: UpstreamReports) -> Verdict:
    """Check that no poison request crashed too many engines."""
    violations = []
    for word in records.poison_words:
        crashes = sum(e.crashes_by_poison.get(word, 0) for e in upstreams.engines)
        if crashes > MAX_ENGINES_PER_POISON:
            violations.append(f"{word} crashed {crashes} engines")
    promise = f"a poison request crashes at most {MAX_ENGINES_PER_POISON} engines"
    return Verdict(promise, len(records.poison_words), tuple(violations))


def _starts_within(
    engines: Iterable[EngineReport], interval: Interval, settle_seconds: float
) -> Iterator[str]:
    for engine in engines:
        for start in engine.starts:
            if interval.start + settle_seconds < start.time < interval.end:
                late = f"{start.time - interval.start:.1f} s"
                yield f"{start.request_id} started on {engine.engine_id} after {late}"
