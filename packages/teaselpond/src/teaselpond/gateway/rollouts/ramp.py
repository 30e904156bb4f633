"""Decide when a roll-out moves on, and which requests go to the new version.

Handles any load: decisions are made five times a second for each roll-out, and
one comparison for each request.
"""

import math
import zlib
from collections.abc import Sequence

from attrs import frozen

from ..routing_state import EngineRecord
from .evidence import DOUBT_LIMIT, PROOF_LIMIT, Evidence
from .orders import Stage

# The share of requests in each stage after the trial.
SHARES_BY_STAGE = {
    Stage.FIRST_STEP: 0.2,
    Stage.SECOND_STEP: 0.4,
    Stage.FULL: 1.0,
    Stage.DONE: 1.0,
}
TRIAL_SHARE = 0.1
# Fresh evidence that the first step needs: about nine successes. A weak proof
# is taken when time presses, as a service may have few requests.
STEP_PROOF = 2.0
WEAK_PROOF = 2.0
# The last step needs about 20 successes: a version that fails 20% of its
# requests passes with a probability of 1%. With nine it was 13%, and 1 of 8
# simulated versions that began to fail late got all requests while failures
# were on the way.
FULL_PROOF = 4.6
# Without fresh failures nine are enough after this many steps' times, and a
# step passes with less after LATE_STEPS: services with 50 requests a second
# were not done in time in 16 of 20 simulated orders of 6 s. With failures the
# last step needs as much as the trial.
FULL_PROOF_STEPS = 1.2
LATE_STEPS = 1.5
LATE_STEPS_AFTER_FAILURES = 2.0
# The last step waits above this alarm: one failure of a version that fails
# rarely raises it by 2.3, and about ten successes lower it to zero.
FULL_DOUBT_LIMIT = 2.0
# What a host sent to old upstreams is known to nearly all after this time.
NEWS_SECONDS = 0.7
# A route needs about 22 successes of its own, unless time presses.
ROUTE_PROOF = 5.0
# A route that has more samples than this multiple of the fewest, plus some, is
# a candidate for this part of its requests alone.
MIN_SAMPLES = 8
ROUTE_EXCESS = 1.3
ROUTE_SLACK = 2
COMMON_RATIO = 0.15


def _clamp(value: float, smallest: float, largest: float) -> float:
    return max(smallest, min(largest, value))


@frozen
class Schedule:
    """Hold when each stage begins at the earliest, in seconds from the order.

    The trial lasts as long as possible, because a version may turn bad late
    and the exposure of a proven version is not limited. ``end_seconds`` leaves
    time for a slow store before the deadline.
    """

    first_seconds: float
    second_seconds: float
    full_seconds: float
    end_seconds: float
    step_seconds: float

    @classmethod
    def of(cls, duration_seconds: float, run_seconds: float = math.inf) -> "Schedule":
        """Plan an order that takes some seconds.

        ``run_seconds`` is how long requests that may not be repeated take.
        """
        step = _clamp(duration_seconds * 0.1, 0.3, 1.2)
        end = duration_seconds - _clamp(duration_seconds * 0.2, 0.3, 1.5)
        # Runs on old upstreams end, and all hosts learn of it.
        longest = _clamp(duration_seconds * 0.15, 0.4, 3.0)
        drain = _clamp(run_seconds * 1.2, 0.3, longest) + 2 * NEWS_SECONDS
        full = max(2 * step, end - drain)
        return cls(full - 2 * step, full - step, full, end, step)

    def begin_seconds(self, stage: Stage) -> float:
        """Return when a stage begins at the earliest."""
        return {
            Stage.FIRST_STEP: self.first_seconds,
            Stage.SECOND_STEP: self.second_seconds,
            Stage.FULL: self.full_seconds,
        }[stage]


@frozen
class Standing:
    """Hold what a decision on a roll-out is made of; times are in seconds.

    ``age`` is that of the order, ``stage_age`` that of the stage on this host.
    ``is_current`` tells whether other hosts were heard lately, ``has_new``
    whether upstreams of the new version are ready.
    """

    stage: Stage
    age: float
    stage_age: float
    is_current: bool
    has_new: bool


def next_stage(
    standing: Standing, schedule: Schedule, evidence: Evidence
) -> tuple[Stage, str] | None:
    """Return the next stage and the reason, None for no change."""
    stage = standing.stage
    if stage >= Stage.BAD:
        return None
    if evidence.is_bad():
        return Stage.BAD, "evidence"
    if stage is Stage.FULL:
        return None
    if not standing.has_new:
        is_over = standing.age >= schedule.end_seconds
        return (Stage.BAD, "no-upstream") if is_over else None
    if standing.age >= schedule.end_seconds and stage is Stage.TRIAL:
        return Stage.BAD, "not-proven"
    has_failed = evidence.fresh_failures and evidence.overall.fresh > -WEAK_PROOF
    is_doubtful = evidence.alarm() >= DOUBT_LIMIT or has_failed
    if standing.age >= schedule.end_seconds and is_doubtful:
        return Stage.BAD, "in-doubt"
    following = Stage(stage + 1)
    is_due = standing.age >= schedule.begin_seconds(following)
    if not is_due or not standing.is_current or evidence.alarm() >= DOUBT_LIMIT:
        return None
    if stage is Stage.TRIAL:
        if evidence.is_proven() and evidence.are_routes_proven(ROUTE_PROOF):
            return following, "proven"
        # Without requests nothing can be learnt, and nothing is exposed.
        is_idle = not evidence.old_count and not evidence.new_count
        is_weak = evidence.is_proven(WEAK_PROOF) or is_idle
        if standing.age >= schedule.second_seconds and is_weak:
            return following, "idle" if is_idle else "weakly-proven"
        return None
    proof = STEP_PROOF
    if following is Stage.FULL:
        if evidence.alarm() >= FULL_DOUBT_LIMIT:
            return None
        is_early = standing.stage_age < FULL_PROOF_STEPS * schedule.step_seconds
        if evidence.fresh_failures:
            proof = PROOF_LIMIT
        elif is_early:
            proof = FULL_PROOF
    is_fresh = evidence.overall.fresh <= -proof
    # Late, or with few requests, a step passes without fresh failures, or with
    # nine more successes than they outweigh.
    is_clean = not evidence.fresh_failures or evidence.overall.fresh <= -WEAK_PROOF
    late_steps = LATE_STEPS
    if evidence.fresh_failures:
        late_steps = LATE_STEPS_AFTER_FAILURES
    is_late = is_clean and standing.stage_age >= late_steps * schedule.step_seconds
    if standing.stage_age >= schedule.step_seconds * 0.8 and (is_fresh or is_late):
        return following, "fresh-evidence" if is_fresh else "late"
    return None


def wants_route(
    evidence: Evidence, route_key: int, request_id: str, order_key: int
) -> bool:
    """Return whether a request is a candidate for the trial.

    Rare routes are taken more often, so that each route gets as much evidence.
    """
    route = evidence.routes_by_key.get(route_key)
    if evidence.new_count < MIN_SAMPLES or route is None:
        return True
    fewest = min(each.new_count for each in evidence.routes_by_key.values())
    if route.new_count <= fewest * ROUTE_EXCESS + ROUTE_SLACK:
        return True
    return score(request_id, order_key) < COMMON_RATIO


def is_in_share(stage: Stage, request_id: str, order_key: int) -> bool:
    """Return whether a request goes to the new version after the trial."""
    return score(request_id, order_key) < SHARES_BY_STAGE.get(stage, 0.0)


def score(request_id: str, order_key: int) -> float:
    """Return a number from 0 to 1 that is the same for one request."""
    return zlib.crc32(request_id.encode("utf-8", "replace"), order_key) / 2**32


def concentrate(
    stage: Stage,
    new_records: Sequence[EngineRecord],
    old_count: int,
    order_key: int,
    now: float,
) -> list[EngineRecord]:
    """Return the few upstreams that get the new version's share.

    They are as many as would serve this share in the old version, so each gets
    a normal load: some versions are bad only under load. All hosts choose the
    same; warm upstreams come first.
    """
    share = SHARES_BY_STAGE.get(stage, TRIAL_SHARE)
    count = max(1, round(share * old_count)) if share < 1 else len(new_records)
    ranked = sorted(
        new_records,
        key=lambda record: (
            record.cold_until > now,
            zlib.crc32(record.engine.engine_id.encode(), order_key),
        ),
    )
    return ranked[:count]
