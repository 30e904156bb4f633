"""Choose the upstream for a call."""

import hashlib
import math
from collections.abc import Collection, Sequence

from attrs import define, frozen

from .beliefs import Beliefs, EngineBelief
from .budgets import ColdBudget
from .calls import Call
from .configuration import Service
from .engines import EngineState
from .health import HealthBook
from .loads import LoadBook

# An upstream is passed over when it holds more than this multiple of the mean
# and this many more. The deployment's cap is a multiple of 2 and 3 more; what
# peers sent within the last beat is not known here.
LOAD_FACTOR = 1.5
LOAD_SLACK = 2


@frozen
class Placement:
    """Hold a choice, and what decided it."""

    engine: EngineBelief
    load: int
    mean_load: float
    candidates: int
    rank: int


@frozen
class NoPlacement:
    """Hold why no upstream was chosen."""

    reason: str
    listed: int


@define(eq=False)
class Placer:
    """Choose upstreams by the beliefs, the loads and the results so far."""

    beliefs: Beliefs
    loads: LoadBook
    health: HealthBook
    cold_budget: ColdBudget
    availability_zone: str

    def place(
        self, call: Call, tried: Collection[str], now: float, host_count: int
    ) -> Placement | NoPlacement:
        """Return the upstream that a call goes to."""
        listed = self._listed(call.service)
        usable = [belief for belief in listed if belief.engine.engine_id not in tried]
        if not usable:
            return NoPlacement("all-tried" if listed else "none-listed", len(listed))
        sound_ids = self.health.sound([_id_of(belief) for belief in usable], now)
        sound = [belief for belief in usable if _id_of(belief) in set(sound_ids)]
        if not sound:
            return NoPlacement("all-unreachable", len(listed))
        service = self._service(call)
        warm = [belief for belief in sound if belief.cold_until <= now]
        placement = self._choose(call, warm, service)
        if placement is not None:
            return placement
        cold = [
            belief
            for belief in sound
            if belief.cold_until > now
            and self._may_warm_up(belief, service, now, host_count)
        ]
        placement = self._choose(call, cold, service)
        if placement is not None:
            return placement
        return NoPlacement("all-cold" if not warm else "all-full", len(listed))

    def note_sent(self, engine_id: str, now: float) -> None:
        """Count a request sent to an upstream."""
        self.cold_budget.note_sent(engine_id, now)

    def _listed(self, service: str) -> list[EngineBelief]:
        beliefs = self.beliefs
        return [
            belief
            for belief in beliefs.engines_by_id.values()
            if belief.engine.service == service
            and belief.engine.state is EngineState.READY
            and belief.engine.availability_zone not in beliefs.evacuated_zones
        ]

    def _service(self, call: Call) -> Service | None:
        configuration = self.beliefs.configuration
        if configuration is None:
            return None
        return configuration.services_by_name.get(call.service)

    def _may_warm_up(
        self,
        belief: EngineBelief,
        service: Service | None,
        now: float,
        host_count: int,
    ) -> bool:
        if service is None or service.cold_per_second <= 0:
            return True
        return self.cold_budget.allows(
            _id_of(belief), service.cold_per_second, now, host_count
        )

    def _choose(
        self, call: Call, candidates: Sequence[EngineBelief], service: Service | None
    ) -> Placement | None:
        if not candidates:
            return None
        loads = [self.loads.of(_id_of(belief)) for belief in candidates]
        mean = sum(loads) / len(loads)
        limit = math.floor(LOAD_FACTOR * mean + LOAD_SLACK)
        if call.head.prompt is not None and call.head.prompt.affinity_key:
            order = self._by_affinity(call.head.prompt.affinity_key, candidates)
        else:
            order = sorted(
                range(len(candidates)),
                key=lambda each: (
                    loads[each] / candidates[each].engine.slots,
                    candidates[each].engine.availability_zone != self.availability_zone,
                    _score(call.head.request_id, _id_of(candidates[each])),
                ),
            )
        for rank, each in enumerate(order):
            if loads[each] <= limit:
                break
        else:
            rank, each = 0, min(order, key=lambda index: loads[index])
        return Placement(candidates[each], loads[each], mean, len(candidates), rank)

    def _by_affinity(self, key: str, candidates: Sequence[EngineBelief]) -> list[int]:
        return sorted(
            range(len(candidates)),
            key=lambda each: _score(key, _id_of(candidates[each])),
            reverse=True,
        )


def _id_of(belief: EngineBelief) -> str:
    return belief.engine.engine_id


def _score(key: str, engine_id: str) -> int:
    digest = hashlib.blake2b(f"{key} {engine_id}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")
