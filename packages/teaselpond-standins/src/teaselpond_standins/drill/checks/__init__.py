"""Check each promise against the records of callers and upstreams."""

from collections.abc import Callable

from ..records import DrillRecords
from ..upstreams import UpstreamReports
from ..verdicts import Verdict
from .engines import (
    check_caps,
    check_cold_starts,
    check_leaving,
    check_overruns,
    check_poison,
    check_sudden_cold,
    check_zones,
)
from .operators import (
    check_in_force,
    check_planned_stops,
    check_races,
    check_reverts,
)
from .work import (
    check_not_run,
    check_orders,
    check_own_answers,
    check_plans,
    check_repeats,
    check_whole_answers,
)

__all__ = ["CHECKS", "check_all"]

Check = Callable[[DrillRecords, UpstreamReports], Verdict]
CHECKS: tuple[Check, ...] = (
    check_whole_answers,
    check_own_answers,
    check_orders,
    check_repeats,
    check_not_run,
    check_plans,
    check_zones,
    check_leaving,
    check_overruns,
    check_caps,
    check_cold_starts,
    check_sudden_cold,
    check_poison,
    check_planned_stops,
    check_reverts,
    check_in_force,
    check_races,
)


def check_all(records: DrillRecords, upstreams: UpstreamReports) -> tuple[Verdict, ...]:
    """Run all checks and return their verdicts, in the order of CHECKS."""
    return tuple(check(records, upstreams) for check in CHECKS)
