"""Hold what one host knows of one roll-out.

Handles the samples of one service: at most some hundred a second, each once.
"""

import math
import random
from collections.abc import Iterable, Sequence

from attrs import define, field

from ..ages import AGE_UNIT_SECONDS, MAX_AGE
from ..routing_state import EngineRecord
from .evidence import DOUBT_LIMIT, Evidence, Sample
from .exposure import ExposureBudget
from .news import AGE_TOLERANCE_SECONDS, RolloutNews, newer_time
from .orders import RolloutOrder, RolloutState, Stage
from .ramp import (
    NEWS_SECONDS,
    Schedule,
    Standing,
    concentrate,
    is_in_share,
    next_stage,
    wants_route,
)
from .sampling import NEW_PER_SECOND, OLD_PER_SECOND, SampleNews, SampleRate

# A host that heard nothing of the roll-out for longer than news take may not
# know the verdict.
SILENCE_SECONDS = 1.0
MAX_SAMPLES = 24
# The slack is spent over the trial: at once, it would go to the common routes,
# before it is known which ones are rare.
FIRST_RELEASE = 0.3
# Requests to come are expected at the rate of those counted for this long or
# longer, as a rate over less time is mostly chance.
MIN_COUNTED_SECONDS = 1.0


@define(eq=False)
class Rollout:
    """Track one order; times are on the boot clock.

    ``began_at`` is the latest time at which some host knew that the order was
    not written yet, so it counts as older than it is by the time between two
    confirmations at most. It is ``is_found`` if the process started after the
    order: it then waits until a peer or the status row told the stage.
    ``row_versions`` are those of the order's row, several after a restore.
    ``blocked`` are versions of earlier orders that were not proven,
    ``old_versions`` those that served when the order was recorded.
    A status row below the version ``status_floor`` is of an earlier order: a
    restored store gives versions out again, so it follows the current row.
    ``earlier_order`` is the order that this one replaced, ``earlier_versions``
    are those of its row.
    ``busy_at`` is when any host had a request at other upstreams than those
    of the new version, ``fixed_at`` one that may not be repeated;
    ``run_seconds`` is how long such requests take, ``host_count`` the number
    of hosts at the order.
    From ``closing_at`` on this host knows that the old upstreams are about to
    be stopped: it sends nothing to them unless the status row says that the
    roll-out was taken back.
    """

    order: RolloutOrder
    row_versions: set[int]
    era: int
    began_at: float
    seen_at: float
    budget: ExposureBudget
    is_found: bool = False
    run_seconds: float = math.inf
    blocked: frozenset[str] = frozenset()
    rng: random.Random = field(factory=random.Random, repr=False)
    host_count: int = 1
    stage: Stage = Stage.TRIAL
    stage_at: float = field(init=False)
    reason: str = ""
    evidence: Evidence = field(factory=Evidence, repr=False)
    schedule: Schedule = field(init=False)
    heard_at: float = field(init=False)
    fixed_at: float = -math.inf
    busy_at: float = -math.inf
    withdrawn_at: float | None = None
    lapsed_at: float | None = None
    # What the store holds as far as this host knows: the version of the
    # status row (None: to be read), its state for this order, and the count
    # of the store's restores for which that holds.
    status_version: int | None = None
    status: RolloutState | None = None
    status_restores: int = 0
    status_read_at: float = -math.inf
    is_written: bool = False
    new_rate: SampleRate = field(init=False, repr=False)
    old_rate: SampleRate = field(init=False, repr=False)
    old_versions: frozenset[str] = frozenset()
    status_floor: int = 0
    earlier_order: RolloutOrder | None = None
    earlier_versions: frozenset[int] = frozenset()
    closing_at: float | None = None
    _news: SampleNews = field(factory=SampleNews, repr=False)

    def __attrs_post_init__(self) -> None:
        self.schedule = Schedule.of(self.order.duration_seconds, self.run_seconds)
        self.stage_at = self.heard_at = self.seen_at
        now, count = self.seen_at, self.host_count
        self.new_rate = SampleRate(NEW_PER_SECOND, now, count, self.rng)
        self.old_rate = SampleRate(OLD_PER_SECOND, now, count, self.rng)

    @property
    def version(self) -> int:
        """Return the newest version of the order's row."""
        return max(self.row_versions)

    def age(self, now: float) -> float:
        """Return how old the order is at most, in seconds."""
        return now - self.began_at

    def is_current(self, now: float, host_count: int) -> bool:
        """Return whether this host would know of a verdict."""
        return host_count <= 1 or now - self.heard_at <= SILENCE_SECONDS

    def is_new(self, version: str) -> bool:
        """Return whether a version is the one that is rolled out."""
        return version == self.order.to_version

    def is_same(self, order: RolloutOrder, row_version: int, era: int) -> bool:
        """Return whether an order is this one, perhaps in a restored store."""
        if self.order != order:
            return False
        return row_version in self.row_versions or era != self.era

    def is_earlier(self, order: RolloutOrder, row_version: int, era: int) -> bool:
        """Return whether a restored store shows the order before this one."""
        return (
            era != self.era
            and order != self.order
            and order == self.earlier_order
            and row_version in self.earlier_versions
        )

    def record_earlier(self, previous: "Rollout") -> None:
        """Record the order that this one replaced."""
        self.earlier_order = previous.order
        self.earlier_versions = frozenset(previous.row_versions)

    def record_versions(self, records: Iterable[EngineRecord]) -> None:
        """Record which versions served the service before this order."""
        self.old_versions = frozenset(
            record.engine.version
            for record in records
            if record.engine.service == self.order.service
            and record.engine.version != self.order.to_version
            and record.engine.version not in self.blocked
        )

    def candidates(
        self,
        route_key: int,
        request_id: str,
        listed: Sequence[EngineRecord],
        now: float,
        *,
        is_retry: bool,
        host_count: int,
    ) -> list[Sequence[EngineRecord]]:
        """Return the upstreams that a request may go to, preferred ones first.

        Each element is a set of upstreams of one kind of version.
        """
        new = [each for each in listed if self.is_new(each.engine.version)]
        old = [
            each
            for each in listed
            if not self.is_new(each.engine.version)
            and each.engine.version not in self.blocked
        ]
        # No order allows a version that appeared since.
        if self.old_versions:
            old = [each for each in old if each.engine.version in self.old_versions]
        if not self._may_use_old(now, host_count):
            old = []
        key = self.order.service_key
        match self.stage:
            case Stage.BAD:
                return [old]
            case Stage.DONE:
                return [new]
            case Stage.TRIAL:
                if not new or not self._may_expose(now, host_count):
                    return [old]
                if not old:
                    return [new]
                if is_retry or not wants_route(
                    self.evidence, route_key, request_id, key
                ):
                    return [old]
            case _:
                if not new:
                    return [old]
                is_proven = self.stage is Stage.FULL
                if not is_proven and not self._may_step(now, host_count):
                    return [old]
                if not old:
                    return [new]
                if not is_in_share(self.stage, request_id, key):
                    return [old, new]
        return [concentrate(self.stage, new, len(old), key, now), old]

    def _may_use_old(self, now: float, host_count: int) -> bool:
        """Return whether old upstreams may get requests.

        At full other hosts may have decided that they are stopped. A host that
        hears nothing cannot know, and reads the verdict in the status row.
        """
        if self.closing_at is not None:
            return self.stage is Stage.BAD and self.is_written
        if self.stage is Stage.FULL:
            return self.is_current(now, host_count)
        return self.stage is not Stage.DONE

    def may_send(self, version: str, now: float, host_count: int) -> bool:
        """Return whether a request may still go to a version chosen before."""
        if not self.is_new(version):
            return self._may_use_old(now, host_count)
        if self.stage >= Stage.FULL:
            return self.stage is not Stage.BAD
        return self.is_current(now, host_count)

    def may_close(self, now: float, host_count: int) -> bool:
        """Return whether hosts may stop using the old upstreams for good.

        By then nearly all hosts have sent to the new ones for a while.
        """
        return (
            self.stage is Stage.FULL
            and self.closing_at is None
            and not self.is_found
            and self.lapsed_at is None
            and now - self.stage_at >= NEWS_SECONDS
            and self.is_current(now, host_count)
            and self.evidence.alarm() < DOUBT_LIMIT
        )

    def _may_expose(self, now: float, host_count: int) -> bool:
        released = FIRST_RELEASE + self.age(now) / self.schedule.first_seconds
        self.budget.release = min(1.0, released)
        return (
            not self.is_found
            and self.is_current(now, host_count)
            and self.age(now) < self.order.duration_seconds
            and self.budget.may_send()
        )

    def _may_step(self, now: float, host_count: int) -> bool:
        """Return whether a request may go to a version that is in a step.

        The sum over all hosts stays within the exposure until the last step is
        passed, also if the version turns bad.
        """
        if self.is_found or not self.is_current(now, host_count):
            return False
        counted = max(MIN_COUNTED_SECONDS, now - self.seen_at)
        remaining = self.order.duration_seconds - self.age(now)
        return self.budget.may_step(max(-1.0, remaining / counted))

    def add_sample(self, sample: Sample) -> None:
        """Count a sample, and pass it on, if it is new to this host."""
        if self._news.add(sample) and self.stage < Stage.BAD:
            self.evidence.add(sample)

    def decide(
        self, now: float, host_count: int, *, has_new: bool
    ) -> tuple[Stage, str] | None:
        """Return the next stage and why, None if nothing changes."""
        if self.is_found or self.lapsed_at is not None:
            # The stage may be higher than this host knows.
            if self.stage < Stage.BAD and self.evidence.is_bad():
                return Stage.BAD, "evidence"
            return None
        standing = Standing(
            self.stage,
            self.age(now),
            now - self.stage_at,
            self.is_current(now, host_count),
            has_new,
        )
        return next_stage(standing, self.schedule, self.evidence)

    def enter(self, stage: Stage, reason: str, now: float) -> None:
        """Enter a stage."""
        self.stage = stage
        self.stage_at = now
        self.reason = reason
        self.is_written = False
        self.evidence.start_step()

    def is_drained(self, now: float, host_count: int) -> bool:
        """Return whether old upstreams may be stopped.

        By then nearly all hosts know that they are closing. Requests that may
        be repeated are waited for until the order's time is nearly over; they
        can go on elsewhere.
        """
        # Ages are rounded up at each hop, and small differences are ignored.
        idle_seconds = NEWS_SECONDS + AGE_TOLERANCE_SECONDS
        if self.stage is not Stage.FULL or self.closing_at is None:
            return False
        if now - self.closing_at < idle_seconds:
            return False
        if not self.is_current(now, host_count):
            # Other hosts may still send to old upstreams.
            return False
        if now - self.fixed_at < idle_seconds:
            return False
        is_idle = now - self.busy_at >= idle_seconds
        return is_idle or self.age(now) >= self.schedule.end_seconds

    def wanted_state(self, now: float, host_count: int) -> RolloutState:
        """Return what the status row should say."""
        if self.stage is Stage.BAD:
            return RolloutState.ROLLED_BACK
        if self.stage is Stage.DONE or self.is_drained(now, host_count):
            return RolloutState.DONE
        return RolloutState.RUNNING

    @property
    def has_replaced(self) -> bool:
        """Return whether the ordered version is the one in use by now."""
        is_closing = self.closing_at is not None and self.stage is Stage.FULL
        return self.stage is Stage.DONE or is_closing

    def record_busy(self, now: float, *, is_fixed: bool) -> None:
        """Record a request at an old upstream."""
        self.busy_at = now
        if is_fixed:
            self.fixed_at = now

    def matches(self, news: RolloutNews) -> bool:
        """Return whether a peer's news concern this order.

        A process that started after the order may know a lower version of
        its row than its peers, if the store was restored. News of a lower one
        may be those of an earlier order for the same version.
        """
        if news.service_key != self.order.service_key:
            return False
        known = {version & 0xFFFFFFFF for version in self.row_versions}
        if news.order_version in known:
            return True
        return self.is_found and news.order_version > max(known)

    def merge(self, news: RolloutNews, now: float) -> None:
        """Record a peer's news, but not its stage."""
        began_at = now - news.order_seconds
        if self.is_found or began_at > self.began_at + AGE_TOLERANCE_SECONDS:
            self.began_at = began_at
        if self.is_found:
            self.row_versions.add(news.order_version)
            self.is_found = False
        self.heard_at = now
        self.fixed_at = newer_time(self.fixed_at, news.fixed_seconds, now)
        self.busy_at = newer_time(self.busy_at, news.busy_seconds, now)
        if news.stage is self.stage and news.is_written:
            self.is_written = True
        for sample in news.samples:
            self.add_sample(sample)

    def take_news(self, now: float, max_samples: int) -> RolloutNews:
        """Return what to tell peers now."""
        return RolloutNews(
            self.order.service_key,
            self.version,
            self.age(now),
            self.stage,
            self.is_written,
            self._recent_age(now - self.fixed_at),
            self._recent_age(now - self.busy_at),
            self._news.take(now, max_samples),
            self.closing_at is not None,
        )

    def _recent_age(self, seconds: float) -> float | None:
        return seconds if seconds < MAX_AGE * AGE_UNIT_SECONDS else None
