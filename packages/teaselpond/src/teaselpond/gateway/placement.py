"""Choose the upstream for a call."""

import math
import random
from collections.abc import Collection, Mapping, Sequence

from attrs import define, field

from .backoffs import Backoffs
from .balancing.choices import choose, weigh
from .balancing.decisions import Decision, NoPlacement, Placement, Sifted
from .balancing.metrics import Spread
from .balancing.orders import (
    choose_below_limit,
    is_among_first,
    order_by_affinity,
    order_by_load,
    put_first,
)
from .balancing.prompts import (
    is_underused,
    read_seconds,
    spread_count,
    weigh_prompt,
)
from .budgets import ColdBudget
from .calls import Call
from .configuration import Service
from .engines import Engine, EngineState, engine_key
from .health import HealthTracker
from .loads import LOAD_CAP_SLACK, LoadTracker
from .prefix_rates import LONG_WINDOW_SECONDS, PrefixRates
from .prefixes import PrefixTracker, PrefixUse, prefix_key
from .rollouts.tracker import Rollouts
from .routing_state import EngineRecord, RoutingState

# Upstreams with more requests than LOAD_CAP_RATIO times the deployment's load
# cap, plus LOAD_SLACK, are a last choice. The margin below the cap covers
# requests that peers sent since their last heartbeat; the cap itself allows
# three extra requests.
LOAD_CAP_RATIO = 0.875
LOAD_SLACK = 2
# In fleets from this size on, calls without a prompt go to random upstreams
# also while a host hears of no other: it was cut off, or has just started. It
# is above all sizes at which heartbeats are fresh enough to order by load.
LARGE_FLEET_HOSTS = 40
# A caller that only an unproven version could serve comes back after this; a
# verdict on the version takes some seconds.
UNPROVEN_RETRY_SECONDS = 1.0


@define(eq=False)
class Placer:
    """Choose upstreams by state, load, health and cached prompt prefixes."""

    routing_state: RoutingState
    loads: LoadTracker
    health: HealthTracker
    cold_budget: ColdBudget
    prefixes: PrefixTracker
    availability_zone: str
    load_cap_factor: float
    rng: random.Random = field(factory=random.Random)
    prefix_rates: PrefixRates = field(factory=PrefixRates)
    backoffs: Backoffs = field(factory=Backoffs)
    spreads_by_service: dict[str, Spread] = field(factory=dict)
    rollouts: Rollouts = field(factory=Rollouts)

    def place(
        self, call: Call, tried: Collection[str], now: float, host_count: int
    ) -> Placement | NoPlacement:
        """Return the upstream to send a call to, or why there is none.

        ``tried`` contains the ids of upstreams to skip; ``host_count`` is the
        number of hosts that share the fleet's budgets.
        """
        decision = self.decide(call, tried, now, host_count)
        loads_by_id = decision.loads_by_id
        if loads_by_id:
            self.spreads_by_service[call.service] = Spread(
                max(loads_by_id.values()), decision.mean, self.loads.age_seconds()
            )
        return decision.placement

    def decide(
        self, call: Call, tried: Collection[str], now: float, host_count: int
    ) -> Decision:
        """Return the upstream to send a call to with the steps of the choice.

        The arguments are those of ``place``. The trackers may take a probe or
        a turn for a cold upstream by it.
        """
        service_records = [
            record
            for record in self.routing_state.engines_by_id.values()
            if record.engine.service == call.service
        ]
        loads_by_id = {
            (engine_id := record.engine.engine_id): self.loads.count(engine_id, now)
            for record in service_records
        }
        # Unavailable upstreams count too, because the deployment's load cap
        # includes those of an evacuated zone.
        mean = sum(loads_by_id.values()) / max(1, len(loads_by_id))
        listed = self._available(service_records)
        groups = self.rollouts.candidates(call, listed, tried, now)
        decision = Decision(
            service_records,
            loads_by_id,
            mean,
            listed,
            groups,
            NoPlacement("none-listed", 0),
        )
        for records in groups:
            sifted = self._sift(call, records, tried, now, host_count)
            decision.sifted_groups.append(sifted)
            if sifted.refusal is not None:
                decision.placement = sifted.refusal
                continue
            placement = self._choose(
                call, sifted.candidates, loads_by_id, mean, now, host_count
            )
            decision.placement = placement
            if (
                records is groups[-1]
                or placement.load <= self.load_limit(mean)
                or not self.rollouts.must_spill(call.service, records)
            ):
                return decision
        if listed and decision.placement.reason == "none-listed":
            # Only a version is left that may get few requests for now.
            decision.placement = NoPlacement(
                "version-unproven", len(listed), UNPROVEN_RETRY_SECONDS
            )
        return decision

    def _sift(
        self,
        call: Call,
        listed: Sequence[EngineRecord],
        tried: Collection[str],
        now: float,
        host_count: int,
    ) -> Sifted:
        """Return which of some upstreams a call may be sent to."""
        untried = [record for record in listed if _id_of(record) not in tried]
        usable = self._without_backoff(untried, now)
        sifted = Sifted(untried, usable)
        if not usable:
            sifted.refusal = self._explain_none_usable(listed, untried, now)
            return sifted
        usable_ids = [_id_of(record) for record in usable]
        healthy_ids = set(self.health.healthy(usable_ids, now))
        if not healthy_ids:
            # Nothing else tells that they are back if their entries stayed.
            listed_ids = [_id_of(record) for record in listed]
            healthy_ids = {self.health.take_probe(listed_ids, usable_ids, now)}
        healthy = [record for record in usable if _id_of(record) in healthy_ids]
        sifted.healthy = healthy
        if not healthy:
            sifted.refusal = NoPlacement("all-unreachable", len(listed))
            return sifted
        service = self._service(call)
        sifted.candidates = [
            record for record in healthy if record.cold_until <= now
        ] or [
            record
            for record in healthy
            if self._may_send_cold(record, service, now, host_count)
        ]
        if not sifted.candidates:
            sifted.refusal = NoPlacement("all-cold", len(listed))
        return sifted

    def record_sent(
        self, call: Call, placement: Placement, now: float, host_count: int
    ) -> None:
        """Record that a call is being sent to an upstream."""
        engine_id = _id_of(placement.record)
        key = _affinity_key(call)
        prefix = prefix_key(call.service, key) if key else b""
        self.loads.record_start(engine_id, now, prefix)
        service = self._service(call)
        if service is not None and service.cold_per_second > 0:
            self.cold_budget.record_sent(
                engine_id, service.cold_per_second, now, host_count
            )
        if key:
            self.prefix_rates.record(key, now)
            self.prefixes.record(PrefixUse(prefix, engine_id, now))

    def _available(self, service_records: Sequence[EngineRecord]) -> list[EngineRecord]:
        evacuated = self.routing_state.evacuated_zones
        return [
            record
            for record in service_records
            if record.engine.state is EngineState.READY
            and record.engine.availability_zone not in evacuated
        ]

    def _without_backoff(
        self, records: Sequence[EngineRecord], now: float
    ) -> list[EngineRecord]:
        return [
            record
            for record in records
            if not self.backoffs.is_active(record.engine, now)
        ]

    def _explain_none_usable(
        self,
        listed: Sequence[EngineRecord],
        untried: Sequence[EngineRecord],
        now: float,
    ) -> NoPlacement:
        waiting = untried or listed
        if waiting and not self._without_backoff(waiting, now):
            engines = [record.engine for record in waiting]
            seconds = self.backoffs.seconds_to_first_end(engines, now)
            return NoPlacement("all-back-off", len(listed), seconds)
        return NoPlacement("all-tried" if listed else "none-listed", len(listed))

    def _service(self, call: Call) -> Service | None:
        configuration = self.routing_state.configuration
        if configuration is None:
            return None
        return configuration.services_by_name.get(call.service)

    def _may_send_cold(
        self,
        record: EngineRecord,
        service: Service | None,
        now: float,
        host_count: int,
    ) -> bool:
        if service is None or service.cold_per_second <= 0:
            return True
        return self.cold_budget.allows(
            _id_of(record), service.cold_per_second, now, host_count
        )

    def _choose(
        self,
        call: Call,
        candidates: Sequence[EngineRecord],
        loads_by_id: Mapping[str, int],
        mean: float,
        now: float,
        host_count: int,
    ) -> Placement:
        order = self.order(call, candidates, loads_by_id, now, host_count)
        if order is None:
            return self._choose_at_random(candidates, loads_by_id, mean, now)
        key = _affinity_key(call)
        holders = self.holders(call, now)
        rank = self.choose_rank(call, order, loads_by_id, mean, now, host_count)
        chosen = order[rank]
        is_held = _id_of(chosen) in holders
        return Placement(
            chosen,
            loads_by_id[_id_of(chosen)],
            mean,
            len(candidates),
            rank,
            is_held,
            None
            if is_held or not key
            else self._choose_copy_source(holders, chosen.engine, now),
        )

    def holders(self, call: Call, now: float) -> list[str]:
        """Return the ids of upstreams that should hold a call's prefix."""
        key = prefix_key(call.service, _affinity_key(call))
        return self.prefixes.holders(key, now)

    def order(
        self,
        call: Call,
        candidates: Sequence[EngineRecord],
        loads_by_id: Mapping[str, int],
        now: float,
        host_count: int,
    ) -> list[EngineRecord] | None:
        """Return the candidates by preference, None to choose at random."""
        key = _affinity_key(call)
        if key and self.loads.uses_readings:
            return put_first(candidates, self.holders(call, now))
        if key:
            return order_by_affinity(key, candidates, self.holders(call, now))
        if self.loads.uses_readings or host_count >= LARGE_FLEET_HOSTS:
            return None
        return order_by_load(
            call.head.request_id, candidates, loads_by_id, self.availability_zone
        )

    def weigh(
        self,
        candidates: Sequence[EngineRecord],
        loads_by_id: Mapping[str, int],
        mean: float,
        now: float,
    ) -> list[float]:
        """Return the relative chances for a choice at random."""
        options = self.loads.options(
            [record.engine for record in candidates], loads_by_id, now
        )
        return weigh(options, self.load_limit(mean))

    def _choose_at_random(
        self,
        candidates: Sequence[EngineRecord],
        loads_by_id: Mapping[str, int],
        mean: float,
        now: float,
    ) -> Placement:
        """Choose an upstream where loads are too old to order upstreams by."""
        weights = self.weigh(candidates, loads_by_id, mean, now)
        chosen = candidates[choose(weights, self.rng)]
        return Placement(
            chosen,
            loads_by_id[_id_of(chosen)],
            mean,
            len(candidates),
            rank=0,
            is_random=True,
        )

    def choose_rank(
        self,
        call: Call,
        order: Sequence[EngineRecord],
        loads_by_id: Mapping[str, int],
        mean: float,
        now: float,
        host_count: int,
    ) -> int:
        """Return the position of the upstream to send an ordered call to."""
        if self.loads.uses_readings:
            weights = self.weigh_prompt(call, order, loads_by_id, now, host_count)
            return choose(weights, self.rng)
        key = _affinity_key(call)
        rate = self.prefix_rates.fleet_rate(key, now, host_count) if key else 0.0
        return choose_below_limit(
            [loads_by_id[_id_of(record)] for record in order],
            self.load_limit(mean),
            self.load_cap_factor * mean + LOAD_CAP_SLACK,
            mean,
            rate,
            self.loads.age_seconds(),
            self.rng,
        )

    def weigh_prompt(
        self,
        call: Call,
        candidates: Sequence[EngineRecord],
        service_ids: Collection[str],
        now: float,
        host_count: int,
    ) -> list[float]:
        """Return the relative chances for a prompt where loads are late.

        ``service_ids`` are those of all upstreams that the mean includes.
        """
        prompt = call.head.prompt
        shared = prompt.shared_parts if prompt is not None else ()
        key = _affinity_key(call)
        rate = max(
            self.prefix_rates.fleet_rate(key, now, host_count, LONG_WINDOW_SECONDS),
            self.loads.starts.prefix_rate(prefix_key(call.service, key), now),
        )
        tokens = sum(part.tokens for part in shared)
        read_cost = read_seconds(tokens, rate, len(candidates))
        holders = self.holders(call, now)
        ids = [_id_of(record) for record in candidates]
        remaining_by_id = {
            each: self.loads.remaining(each, now) for each in service_ids
        }
        mean = sum(remaining_by_id.values()) / len(remaining_by_id)
        cap = self.load_cap_factor * mean + LOAD_CAP_SLACK
        count = spread_count(rate, mean, cap)
        if count > 1 or not any(each in holders for each in ids):
            # All hosts prefer the same ones, which read it once each.
            preferred = order_by_affinity(key, candidates, ())[:count]
            holders += [_id_of(record) for record in preferred]
        holders += self._takers(key, ids)
        return weigh_prompt(
            [0.0 if each in holders else read_cost for each in ids],
            [remaining_by_id[each] for each in ids],
            cap,
        )

    def _takers(self, key: str, ids: Sequence[str]) -> list[str]:
        """Return the underused upstreams that a prompt moves to.

        Each takes its part of all prompts, the same ones for all hosts.
        """
        starts = self.loads.starts
        counts = [starts.count(engine_key(each)) for each in ids]
        mean = sum(counts) / len(counts)
        return [
            each
            for each, count in zip(ids, counts, strict=True)
            if is_underused(count, mean) and is_among_first(key, each, 1 / len(ids))
        ]

    def load_limit(self, mean: float) -> int:
        """Return the load above which an upstream is a last choice."""
        return math.floor(LOAD_CAP_RATIO * self.load_cap_factor * mean + LOAD_SLACK)

    def _choose_copy_source(
        self, holders: Sequence[str], target: Engine, now: float
    ) -> Engine | None:
        """Return an upstream to copy a prompt prefix from, if there is one."""
        for engine_id in holders:
            engine = self.routing_state.copy_source(engine_id, now)
            if engine is None or self.backoffs.is_active(engine, now):
                continue
            if not self.rollouts.may_copy(engine, target):
                continue
            if not self.health.get(engine_id).is_ejected(now):
                return engine
        return None


def _affinity_key(call: Call) -> str:
    prompt = call.head.prompt
    return prompt.affinity_key if prompt is not None else ""


def _id_of(record: EngineRecord) -> str:
    return record.engine.engine_id
