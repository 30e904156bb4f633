"""Judge each promise from what callers and upstreams recorded."""

from collections.abc import Callable

from ..records import DrillRecords
from ..upstreams import UpstreamReports
from ..verdicts import Verdict
from .engines import (
    judge_caps,
    judge_cold_starts,
    judge_leaving,
    judge_overruns,
    judge_poison,
    judge_sudden_cold,
    judge_zones,
)
from .operators import (
    judge_in_force,
    judge_planned_stops,
    judge_races,
    judge_reverts,
)
from .work import (
    judge_not_run,
    judge_orders,
    judge_own_answers,
    judge_plans,
    judge_repeats,
    judge_whole_answers,
)

__all__ = ["JUDGES", "judge_all"]

Judge = Callable[[DrillRecords, UpstreamReports], Verdict]
JUDGES: tuple[Judge, ...] = (
    judge_whole_answers,
    judge_own_answers,
    judge_orders,
    judge_repeats,
    judge_not_run,
    judge_plans,
    judge_zones,
    judge_leaving,
    judge_overruns,
    judge_caps,
    judge_cold_starts,
    judge_sudden_cold,
    judge_poison,
    judge_planned_stops,
    judge_reverts,
    judge_in_force,
    judge_races,
)


def judge_all(records: DrillRecords, upstreams: UpstreamReports) -> tuple[Verdict, ...]:
    """Judge every promise."""
    return tuple(judge(records, upstreams) for judge in JUDGES)
