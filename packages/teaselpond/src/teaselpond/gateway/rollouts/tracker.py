"""Track the roll-outs of all services, and exchange what is known of them.

Handles every request of the host with a look-up by service; without an order,
and with one version of a service's upstreams, nothing more is done.
"""

import math
import random
from collections.abc import Callable, Collection, Iterable, Sequence

from attrs import define, field

from ..calls import Call
from ..engines import Engine
from ..journal import Journal
from ..routing_state import EngineRecord
from . import succession
from .evidence import Outcome
from .exposure import ExposureBudget
from .holds import VersionHolds
from .news import pack_news, unpack_news
from .orders import RolloutOrder, RolloutState, Stage
from .rollout import MAX_SAMPLES, Rollout
from .runs import NO_RUN, NoRun, OpenRuns, VersionRun, route_key

# After its order is gone, a version that was not proven gets nothing for this
# long; its upstreams are stopped meanwhile.
BLOCKED_SECONDS = 60.0
# A restored store may lack an order, which the operator writes again.
LAPSE_SECONDS = 10.0
# The order counts as older than its sighting by the time since the operator's
# rows were last confirmed, at most this.
MAX_UNCONFIRMED_SECONDS = 1.0
MAX_ROLLOUTS_IN_NEWS = 4
# The longest run is forgotten over some hundred requests.
RUN_DECAY = 0.99


@define(eq=False)
class Rollouts:
    """Track roll-outs by service; the topic of heartbeats about them.

    It is off until ``configure`` was called with the bounds of the deployment.
    ``engines`` returns the known upstreams.
    """

    name: str = "rollouts"
    host_count: Callable[[], int] = lambda: 1
    engines: Callable[[], Iterable[EngineRecord]] = tuple
    journal: Journal | None = None
    rng: random.Random = field(factory=random.Random)
    rollouts_by_service: dict[str, Rollout] = field(factory=dict)
    stage_counts: dict[tuple[str, str], int] = field(factory=dict)
    request_counts: dict[tuple[str, str], int] = field(factory=dict)
    _ratio: float | None = None
    _slack: float = 0.0
    _open_by_engine: dict[str, OpenRuns] = field(factory=dict)
    _run_seconds: dict[str, float] = field(factory=dict)
    holds: VersionHolds = field(factory=VersionHolds)

    def __attrs_post_init__(self) -> None:
        self.holds.engines = lambda: self.engines()

    def configure(self, ratio: float | None, slack: float | None) -> None:
        """Set the bounds of the exposure; a ratio of None turns this off."""
        self._ratio = ratio
        self._slack = slack or 0.0

    @property
    def is_enabled(self) -> bool:
        """Return whether the deployment rolls out versions."""
        return self._ratio is not None

    def record_order(
        self,
        order: RolloutOrder,
        row_version: int,
        era: int,
        now: float,
        *,
        unconfirmed_seconds: float | None,
        is_found: bool,
    ) -> None:
        """Record an order; ``is_found`` if it is older than this process.

        ``unconfirmed_seconds`` is the age of the last confirmation of the
        operator's rows, without the order.
        """
        if self._ratio is None:
            return
        previous = self.rollouts_by_service.get(order.service)
        if previous is not None and previous.is_earlier(order, row_version, era):
            # A restored store; the operator may write the later order again.
            self.withdraw(order.service, now, is_lapsed=True)
            return
        if previous is not None and previous.is_same(order, row_version, era):
            previous.row_versions.add(row_version)
            previous.status_floor = row_version
            previous.era = era
            previous.withdrawn_at = previous.lapsed_at = None
            return
        slack = 0.0 if is_found else self._slack / max(1, self.host_count())
        age = MAX_UNCONFIRMED_SECONDS
        if unconfirmed_seconds is not None:
            age = min(age, max(0.0, unconfirmed_seconds))
        rollout = Rollout(
            order,
            {row_version},
            era,
            now - age,
            now,
            ExposureBudget(self._ratio, slack, self.rng),
            is_found,
            self._run_seconds.get(order.service, math.inf),
            succession.blocked_versions(previous, order),
            self.rng,
            self.host_count(),
        )
        rollout.status_floor = row_version
        in_use = self.holds.in_use(order.service)
        if previous is not None:
            in_use = succession.versions_in_use(previous)
        rollout.old_versions = in_use - {order.to_version} - rollout.blocked
        if not rollout.old_versions:
            rollout.record_versions(self.engines())
        if previous is not None:
            rollout.record_earlier(previous)
        self.rollouts_by_service[order.service] = rollout
        self._log("rollout-ordered", rollout, now, row_version=row_version)
        if not is_found and succession.is_in_use(previous, order, self.engines()):
            self._enter(rollout, Stage.FULL, "in-use", now)

    def withdraw(self, service: str, now: float, *, is_lapsed: bool) -> None:
        """Record that an order is gone, for a time only if it has lapsed."""
        rollout = self.rollouts_by_service.get(service)
        if rollout is None or rollout.withdrawn_at is not None:
            return
        if is_lapsed:
            rollout.lapsed_at = now
            self._log("rollout-lapsed", rollout, now)
            return
        rollout.withdrawn_at = now
        self._log("rollout-withdrawn", rollout, now)
        if rollout.stage < Stage.BAD:
            self._enter(rollout, Stage.BAD, "withdrawn", now)

    def candidates(
        self,
        call: Call,
        listed: Sequence[EngineRecord],
        tried: Collection[str],
        now: float,
    ) -> list[Sequence[EngineRecord]]:
        """Return the sets of upstreams that a call may go to, in order.

        ``listed`` are those that are ready, ``tried`` those that the call was
        sent to.
        """
        if self._ratio is None:
            return [listed]
        rollout = self.rollouts_by_service.get(call.service)
        if rollout is None:
            return self.holds.split(call.service, listed)
        if not rollout.old_versions:
            rollout.record_versions(listed)
        groups = rollout.candidates(
            route_key(call),
            call.head.request_id,
            listed,
            now,
            is_retry=bool(tried),
            host_count=self.host_count(),
        )
        if any(groups):
            return groups
        return [succession.successors(rollout, listed, self.engines())]

    def may_send(self, run: VersionRun, now: float) -> bool:
        """Return whether an attempt may still be sent, as far as is known."""
        rollout = self.rollouts_by_service.get(run.call.service)
        if rollout is None:
            return True
        return rollout.may_send(run.engine.version, now, self.host_count())

    def must_spill(self, service: str, records: Sequence[EngineRecord]) -> bool:
        """Return whether a call goes to the old version if these are full.

        ``records`` are candidates. At the end of a roll-out the new upstreams
        carry all requests, which is above the mean while old ones are listed.
        """
        rollout = self.rollouts_by_service.get(service)
        if rollout is None or rollout.stage >= Stage.FULL:
            return False
        return any(rollout.is_new(record.engine.version) for record in records)

    def may_copy(self, source: Engine, target: Engine) -> bool:
        """Return whether an upstream may copy a prompt from another one."""
        is_same = source.version == target.version
        return is_same or target.service not in self.rollouts_by_service

    def begin(
        self, call: Call, record: EngineRecord, now: float, *, is_held: bool
    ) -> VersionRun | NoRun:
        """Record an attempt that is sent now."""
        if self._ratio is None:
            return NO_RUN
        engine = record.engine
        is_cold = record.cold_until > now
        run = VersionRun(self, call, engine, now, is_held, is_cold)
        open_runs = self._open_by_engine.setdefault(engine.engine_id, OpenRuns(engine))
        open_runs.all += 1
        open_runs.fixed += not call.may_repeat
        rollout = self.rollouts_by_service.get(call.service)
        if rollout is None:
            return run
        is_new = rollout.is_new(engine.version)
        rollout.budget.record_sent(is_new)
        label = (call.service, "new" if is_new else "old")
        self.request_counts[label] = self.request_counts.get(label, 0) + 1
        if not is_new:
            rollout.record_busy(now, is_fixed=not call.may_repeat)
        rate = rollout.new_rate if is_new else rollout.old_rate
        if rollout.stage < Stage.BAD and rate.take(now, self.host_count()):
            run.rollout = rollout
        return run

    def record_outcome(
        self,
        run: VersionRun,
        outcome: Outcome,
        latency_seconds: float | None,
        now: float,
    ) -> None:
        """Add an answer to the samples of its roll-out."""
        rollout, number = run.rollout, self.rng.getrandbits(32)
        sample = run.make_sample(number, outcome, latency_seconds, now)
        rollout.add_sample(sample)
        if sample.is_new and rollout.stage < Stage.BAD and rollout.evidence.is_bad():
            self._enter(rollout, Stage.BAD, "evidence", now)

    def record_end(self, run: VersionRun, now: float) -> None:
        """Record that an attempt is open no more."""
        is_fixed, engine_id = not run.call.may_repeat, run.engine.engine_id
        open_runs = self._open_by_engine[engine_id]
        open_runs.all -= 1
        open_runs.fixed -= is_fixed
        if not open_runs.all:
            del self._open_by_engine[engine_id]
        service = run.call.service
        if is_fixed:
            longest = self._run_seconds.get(service, 0.0) * RUN_DECAY
            self._run_seconds[service] = max(longest, now - run.sent_at)
        rollout = self.rollouts_by_service.get(service)
        if rollout is not None and not rollout.is_new(run.engine.version):
            rollout.record_busy(now, is_fixed=is_fixed)

    def record_status(
        self,
        rollout: Rollout,
        state: RolloutState | None,
        row_version: int | None,
        restores: int,
        now: float,
    ) -> None:
        """Record the status row; ``state`` is None if it is not of this order.

        A ``row_version`` of None is unknown.
        """
        rollout.status = state
        rollout.status_version = row_version
        rollout.status_restores = restores
        if (
            rollout.is_found
            and state is None
            and succession.serves_alone(rollout.order, self.engines())
        ):
            # Old upstreams stop only at the end of a roll-out. The store has
            # lost its status.
            rollout.is_found = False
            self._enter(rollout, Stage.DONE, "in-use", now)
        elif rollout.is_found and state in (None, RolloutState.RUNNING):
            # Its stage and age are known from peers alone; without any, the
            # trial begins anew with this host's own requests.
            if rollout.status_read_at > rollout.seen_at + MAX_UNCONFIRMED_SECONDS:
                rollout.is_found = False
        else:
            rollout.is_found = False
        if state is RolloutState.DONE and rollout.stage is not Stage.DONE:
            self._enter(rollout, Stage.DONE, "status", now)
        elif state is RolloutState.ROLLED_BACK and rollout.stage < Stage.BAD:
            self._enter(rollout, Stage.BAD, "status", now)
        rollout.is_written = state in (RolloutState.DONE, RolloutState.ROLLED_BACK)

    def pack(self, now: float) -> bytes:
        """Advance all roll-outs, and return the news of them."""
        if not self.rollouts_by_service:
            return b""
        self._advance(now)
        # A process that found an order does not know its stage.
        rollouts = [
            each for each in self.rollouts_by_service.values() if not each.is_found
        ]
        if len(rollouts) > MAX_ROLLOUTS_IN_NEWS:
            rollouts = self.rng.sample(rollouts, MAX_ROLLOUTS_IN_NEWS)
        remaining = MAX_SAMPLES
        packed = []
        for rollout in rollouts:
            news = rollout.take_news(now, remaining)
            remaining -= len(news.samples)
            packed.append(pack_news(news, now))
        return b"".join(packed)

    def merge(self, packed: bytes, host: str, now: float) -> None:
        """Record a peer's news; raise ValueError if malformed."""
        rollouts_by_key = {
            rollout.order.service_key: rollout
            for rollout in self.rollouts_by_service.values()
        }
        for news in unpack_news(packed, now):
            rollout = rollouts_by_key.get(news.service_key)
            if rollout is None or not rollout.matches(news):
                continue
            if news.is_closing:
                self._close(rollout, now, peer=host)
            rollout.merge(news, now)
            if news.stage > rollout.stage:
                self._enter(rollout, news.stage, "peer", now, peer=host)
                rollout.is_written = news.is_written

    def _advance(self, now: float) -> None:
        for open_runs in self._open_by_engine.values():
            rollout = self.rollouts_by_service.get(open_runs.engine.service)
            if rollout is not None and not rollout.is_new(open_runs.engine.version):
                rollout.record_busy(now, is_fixed=bool(open_runs.fixed))
        host_count = self.host_count()
        for service, rollout in list(self.rollouts_by_service.items()):
            if self._expire(service, rollout, now):
                continue
            has_new = succession.has_ready(rollout.order, self.engines())
            change = rollout.decide(now, host_count, has_new=has_new)
            if change is not None:
                self._enter(rollout, *change, now)
            elif has_new and rollout.may_close(now, host_count):
                self._close(rollout, now)

    def _expire(self, service: str, rollout: Rollout, now: float) -> bool:
        lapsed_at = rollout.lapsed_at
        if lapsed_at is not None and now - lapsed_at >= LAPSE_SECONDS:
            rollout.lapsed_at = None
            self.withdraw(service, now, is_lapsed=False)
        withdrawn_at = rollout.withdrawn_at
        if withdrawn_at is None:
            return False
        is_over = rollout.stage is Stage.DONE or now - withdrawn_at >= BLOCKED_SECONDS
        if is_over:
            self.holds.record_in_use(service, succession.versions_in_use(rollout))
            del self.rollouts_by_service[service]
        return is_over

    def _close(self, rollout: Rollout, now: float, peer: str = "") -> None:
        if rollout.closing_at is not None:
            return
        rollout.closing_at = now
        self._count_stage("closing", "peer" if peer else "proven")
        self._log("rollout-closing", rollout, now, peer=peer or None)

    def _count_stage(self, name: str, reason: str) -> None:
        count = self.stage_counts.get((name, reason), 0)
        self.stage_counts[name, reason] = count + 1

    def _enter(
        self, rollout: Rollout, stage: Stage, reason: str, now: float, peer: str = ""
    ) -> None:
        was = rollout.stage
        rollout.enter(stage, reason, now)
        self._count_stage(stage.name.lower(), reason)
        self._log(
            "rollout-stage",
            rollout,
            now,
            stage=stage.name.lower(),
            was=was.name.lower(),
            reason=reason,
            peer=peer or None,
            **rollout.evidence.describe(),
            sent=rollout.budget.sent,
            requests=rollout.budget.requests,
            heard_seconds=round(now - rollout.heard_at, 3),
        )

    def _log(self, event: str, rollout: Rollout, now: float, **fields: object) -> None:
        if self.journal is not None:
            self.journal.write(
                event,
                now,
                service=rollout.order.service,
                to=rollout.order.to_version,
                age_seconds=round(rollout.age(now), 3),
                **fields,
            )
