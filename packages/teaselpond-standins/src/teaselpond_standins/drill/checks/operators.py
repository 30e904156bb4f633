"""Check planned stops and changes of the configuration."""

from ..records import READ_TIMEOUT_SECONDS, Attempt, DrillRecords, Ending, PlannedStop
from ..upstreams import UpstreamReports
from ..verdicts import Verdict

IN_FORCE_SECONDS = 5.0
STOP_SETTLE_SECONDS = 1.0


def check_planned_stops(records: DrillRecords, upstreams: UpstreamReports) -> Verdict:
    """Check that planned stops cut no request and ended with exit code 0."""
    violations = []
    for stop in records.planned_stops:
        if stop.exit_code != 0:
            violations.append(
                f"{stop.daemon_id} ended with exit code {stop.exit_code}, not 0"
            )
        violations += [
            f"{attempt.request_id} was cut by the stop of {stop.daemon_id}"
            for work in records.work
            for attempt in work.attempts
            if attempt.address == stop.address and _is_cut_by(stop, attempt)
        ]
    promise = "a planned stop cuts no request"
    return Verdict(promise, len(records.planned_stops), tuple(violations))


def check_reverts(records: DrillRecords, upstreams: UpstreamReports) -> Verdict:
    """Check that no daemon returned to an older configuration version."""
    last_by_daemon: dict[tuple[str, str], int] = {}
    violations = []
    for seen in records.versions_seen:
        key = (seen.daemon_id, seen.incarnation)
        if seen.version < last_by_daemon.get(key, 0):
            violations.append(f"{seen.daemon_id} returned to version {seen.version}")
        last_by_daemon[key] = max(seen.version, last_by_daemon.get(key, 0))
    promise = "no configuration in force ever reverted"
    return Verdict(promise, len(records.versions_seen), tuple(violations))


def check_in_force(records: DrillRecords, upstreams: UpstreamReports) -> Verdict:
    """Check that ready daemons apply an accepted version in time."""
    violations = []
    for seen in records.versions_seen:
        due = [
            accepted.version
            for accepted in records.versions_accepted
            if accepted.time + IN_FORCE_SECONDS < seen.time
        ]
        if due and seen.ready and seen.version < max(due):
            violations.append(
                f"{seen.daemon_id} at version {seen.version}, not {max(due)}"
            )
    promise = f"an accepted version is in force everywhere in {IN_FORCE_SECONDS:g} s"
    return Verdict(promise, len(records.versions_accepted), tuple(violations))


def check_races(records: DrillRecords, upstreams: UpstreamReports) -> Verdict:
    """Check that at most one of several changes of one base was accepted."""
    violations = tuple(
        f"on base {race.base}: versions {race.accepted} were all accepted"
        for race in records.races
        if len(race.accepted) > 1
    )
    promise = "at most one of several concurrent changes is accepted"
    return Verdict(promise, len(records.races), violations)


def _is_cut_by(stop: PlannedStop, attempt: Attempt) -> bool:
    if not stop.asked <= attempt.ended <= stop.ended + STOP_SETTLE_SECONDS:
        return False
    if attempt.ending is Ending.SILENT:
        # Silence that began before the stop was not caused by it.
        return attempt.ended >= stop.asked + READ_TIMEOUT_SECONDS
    return attempt.ending is Ending.CUT
