"""Track an owner's engines, queue and load for one model."""

from attrs import define, field

from .cap import FleetLoad, SumTable, load_cap
from .engines import OwnedEngine
from .messages import LoadSum, SlotRequest
from .outliers import ejections_allowed
from .queue import RequestQueue
from .settings import PolicySettings
from .shares import WorkspaceShares
from .slots import EngineSlots

INITIAL_SERVICE_SECONDS = 5.0
SERVICE_SMOOTHING = 0.1


@define
class AvailableEngine:
    """Pair an engine that accepts work with its usable slots."""

    engine: OwnedEngine
    slots: EngineSlots
    usable: int


@define
class EligibleEngines:
    """List the engines that may get a request, and the least loaded one."""

    engines: list[OwnedEngine] = field(factory=list)
    least_loaded: OwnedEngine | None = None


@define
class ModelPool:
    """Group an owner's engines of one model and compute their load.

    The available engines and their total load are cached between decisions.
    ``count_grant`` and ``count_release`` update them; call ``invalidate``
    after any other change of an engine.
    """

    model: str
    settings: PolicySettings
    queue: RequestQueue
    sums: SumTable
    shares: WorkspaceShares = field(factory=WorkspaceShares)
    engines_by_id: dict[str, OwnedEngine] = field(factory=dict)
    configured_load: FleetLoad = FleetLoad()
    service_seconds: float = INITIAL_SERVICE_SECONDS
    reviewed_at: float = float("-inf")
    _available: list[AvailableEngine] | None = None
    _in_flight: int = 0
    _slots: int = 0
    _ejected: int = 0

    @classmethod
    def create(cls, model: str, settings: PolicySettings) -> "ModelPool":
        """Create a pool without engines."""
        queue = RequestQueue(settings.ageing_seconds)
        return cls(model, settings, queue, SumTable(settings.sum_stale_seconds))

    def configure(
        self, settings: PolicySettings, engines_by_id: dict[str, OwnedEngine]
    ) -> None:
        """Apply the settings and the engines that this owner has now."""
        self.settings = settings
        self.engines_by_id = engines_by_id
        self.queue.ageing_seconds = settings.ageing_seconds
        self.sums.stale_seconds = settings.sum_stale_seconds
        # Review the queue at once: its engines may have left service.
        self.reviewed_at = float("-inf")
        self.invalidate()

    def invalidate(self) -> None:
        """Discard the cached available engines and their load."""
        self._available = None

    def available_engines(self, now: float) -> list[AvailableEngine]:
        """Return the engines that are in service and not ejected."""
        if self._available is None:
            self._available = [
                AvailableEngine(engine, engine.slots, engine.usable_slots())
                for engine in self.engines_by_id.values()
                if engine.takes_work(now)
            ]
            self._in_flight = sum(e.engine.slots.in_flight for e in self._available)
            self._slots = sum(each.usable for each in self._available)
            self._ejected = sum(
                engine.outliers.is_ejected(now)
                for engine in self.engines_by_id.values()
            )
        return self._available

    def can_serve(self, request: SlotRequest, now: float) -> bool:
        """Return whether the request allows at least one available engine."""
        return any(
            each.engine.engine_id not in request.excluded
            for each in self.available_engines(now)
        )

    def count_grant(self) -> None:
        """Count a slot granted on an available engine."""
        self._in_flight += 1

    def count_release(self, engine: OwnedEngine) -> None:
        """Count a released slot of an engine."""
        if engine.engine_id not in self.engines_by_id or not engine.profile.takes_work:
            self.invalidate()
        else:
            self._in_flight -= 1

    def own_load(self, now: float) -> FleetLoad:
        """Return the load of this owner's available engines."""
        engines = len(self.available_engines(now))
        return FleetLoad(self._in_flight, self._slots, engines, self._ejected)

    def fleet_load(self, now: float) -> FleetLoad:
        """Return the model's estimated load over all owners.

        The other owners' load is reduced by ``sum_discount``, since some of
        their requests may have ended since they sent their load sums.
        """
        own = self.own_load(now)
        others = self.sums.total(now)
        # Engines missing from the load sums count as idle. Without them, the
        # mean would cover only the few engines that are reported.
        reported = own.engines + own.ejected + others.engines + others.ejected
        unreported = max(0, self.configured_load.engines - reported)
        unreported_slots = (
            unreported
            * self.configured_load.slots
            // max(1, self.configured_load.engines)
        )
        counted = int(others.in_flight * (1 - self.settings.sum_discount))
        return FleetLoad(
            own.in_flight + counted,
            own.slots + others.slots + unreported_slots,
            own.engines + others.engines + unreported,
            own.ejected + others.ejected,
        )

    def eligible_engines(
        self, request: SlotRequest, multiple: float, now: float
    ) -> EligibleEngines:
        """Return the engines that may get a request.

        Their load is below the cap that ``load_cap`` computes with
        ``multiple``, their claims allow a grant, and the request doesn't
        exclude them.
        """
        load = self.fleet_load(now)
        floor = self.settings.load_floor
        caps_by_slots: dict[int, int] = {}
        eligible = EligibleEngines()
        least = float("inf")
        for each in self.available_engines(now):
            usable = each.usable
            cap = caps_by_slots.get(usable)
            if cap is None:
                cap = caps_by_slots[usable] = load_cap(load, usable, multiple, floor)
            slots = each.slots
            in_flight = len(slots.uses_by_grant) + slots.foreign
            if in_flight >= cap or not each.engine.claim_allows_grant(cap):
                continue
            if request.excluded and each.engine.engine_id in request.excluded:
                continue
            eligible.engines.append(each.engine)
            if in_flight < least * usable:
                least = in_flight / usable
                eligible.least_loaded = each.engine
        return eligible

    def free_slots(self, now: float) -> int:
        """Return the number of free slots on all available engines."""
        load = self.own_load(now)
        return load.slots - load.in_flight

    def observe_service_seconds(self, seconds: float) -> None:
        """Update the moving average of how long requests hold a slot."""
        self.service_seconds += SERVICE_SMOOTHING * (seconds - self.service_seconds)

    def wait_seconds(self, ahead: int, now: float) -> float:
        """Estimate the wait of a request with ``ahead`` others before it."""
        capacity = self.own_load(now).slots
        if capacity == 0:
            return float("inf")
        return (ahead + 1) * self.service_seconds / capacity

    def workspace_wait_seconds(self, workspace: str, ahead: int) -> float:
        """Estimate the wait for slots that a workspace itself releases."""
        in_use = self.shares.in_use_by_workspace[workspace]
        return (ahead + 1) * self.service_seconds / max(1, in_use)

    def may_eject(self, now: float) -> bool:
        """Return whether one more of the model's engines may be ejected."""
        load = self.fleet_load(now)
        engines = load.engines + load.ejected
        return load.ejected < ejections_allowed(engines, self.settings)

    def sums_by_zone(self, owner_id: str, version: int, now: float) -> list[LoadSum]:
        """Return the load sums for the other owners, one for each zone."""
        zones = sorted({e.profile.host.zone for e in self.engines_by_id.values()})
        return [self._sum(zone, owner_id, version, now) for zone in zones]

    def _sum(self, zone: str, owner_id: str, version: int, now: float) -> LoadSum:
        # Two claimants of an engine would both count it.
        confirmed = [
            each
            for each in self.available_engines(now)
            if each.engine.profile.host.zone == zone and each.engine.is_confirmed
        ]
        return LoadSum(
            model=self.model,
            zone=zone,
            owner_id=owner_id,
            in_flight=sum(each.engine.slots.in_flight for each in confirmed),
            queued=len(self.queue),
            slots=sum(each.usable for each in confirmed),
            engines=len(confirmed),
            version=version,
            ejected=sum(
                engine.profile.host.zone == zone and engine.outliers.is_ejected(now)
                for engine in self.engines_by_id.values()
            ),
        )
