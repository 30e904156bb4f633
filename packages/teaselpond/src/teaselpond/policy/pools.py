"""Hold one model's engines, queue and load as their owner sees them."""

from collections.abc import Iterator

from attrs import define, field

from .cap import FleetLoad, SumTable
from .engines import OwnedEngine
from .messages import LoadSum, SlotRequest
from .outliers import ejections_allowed
from .queue import RequestQueue
from .settings import PolicySettings
from .shares import WorkspaceShares

SERVICE_SECONDS_AT_START = 5.0
SERVICE_SMOOTHING = 0.1


@define
class ModelPool:
    """Decide which of an owner's engines of one model has room."""

    model: str
    settings: PolicySettings
    queue: RequestQueue
    shares: WorkspaceShares
    sums: SumTable
    engines_by_id: dict[str, OwnedEngine] = field(factory=dict)
    service_seconds: float = SERVICE_SECONDS_AT_START

    @classmethod
    def create(cls, model: str, settings: PolicySettings) -> "ModelPool":
        """Make an empty pool."""
        return cls(
            model,
            settings,
            RequestQueue(settings.ageing_seconds),
            WorkspaceShares(),
            SumTable(settings.sum_stale_seconds),
        )

    def able(self, now: float) -> Iterator[OwnedEngine]:
        """Yield the engines that count in the mean."""
        for engine in self.engines_by_id.values():
            if engine.takes_work(now):
                yield engine

    def own_load(self, now: float) -> FleetLoad:
        """Return the load of the owner's engines that may take work."""
        in_flight = slots = engines = 0
        for engine in self.able(now):
            in_flight += engine.slots.in_flight
            slots += engine.usable_slots()
            engines += 1
        return FleetLoad(in_flight, slots, engines, self._count_ejected(now))

    def fleet_load(self, now: float) -> FleetLoad:
        """Return the model's load over all owners, as far as it is known."""
        own = self.own_load(now)
        others = self.sums.total(now)
        return FleetLoad(
            own.in_flight + int(others.in_flight * (1 - self.settings.sum_discount)),
            own.slots + others.slots,
            own.engines + others.engines,
            own.ejected + others.ejected,
        )

    def roomy(
        self, request: SlotRequest, multiple: float, now: float
    ) -> list[OwnedEngine]:
        """Return the engines that have room for a request below a multiple."""
        load = self.fleet_load(now)
        return [
            engine
            for engine in self.able(now)
            if engine.has_room(load, multiple)
            and engine.engine_id not in request.excluded
        ]

    def capacity(self, now: float) -> int:
        """Return how many requests all engines could bear together."""
        return sum(engine.usable_slots() for engine in self.able(now))

    def in_use(self) -> int:
        """Return the slots that are granted and not released."""
        return sum(
            len(engine.slots.uses_by_grant) for engine in self.engines_by_id.values()
        )

    def learn_service(self, seconds: float) -> None:
        """Take the time that one request held its slot."""
        self.service_seconds += SERVICE_SMOOTHING * (seconds - self.service_seconds)

    def wait_seconds(self, ahead: int, now: float) -> float:
        """Estimate how long a request waits behind so many others."""
        capacity = self.capacity(now)
        if capacity == 0:
            return float("inf")
        return (ahead + 1) * self.service_seconds / capacity

    def may_eject(self, now: float) -> bool:
        """Tell whether one more of the model's engines may be ejected."""
        load = self.fleet_load(now)
        engines = load.engines + load.ejected
        return load.ejected < ejections_allowed(engines, self.settings)

    def sums_by_zone(self, owner_id: str, version: int, now: float) -> list[LoadSum]:
        """Return what the other owners need to know, a sum for each zone."""
        zones = sorted({e.profile.host.zone for e in self.engines_by_id.values()})
        return [self._sum(zone, owner_id, version, now) for zone in zones]

    def _sum(self, zone: str, owner_id: str, version: int, now: float) -> LoadSum:
        # An engine that two daemons claim would count twice.
        able = [
            engine
            for engine in self.able(now)
            if engine.profile.host.zone == zone and engine.is_confirmed
        ]
        return LoadSum(
            model=self.model,
            zone=zone,
            owner_id=owner_id,
            in_flight=sum(engine.slots.in_flight for engine in able),
            queued=len(self.queue),
            slots=sum(engine.usable_slots() for engine in able),
            engines=len(able),
            version=version,
            ejected=sum(
                engine.profile.host.zone == zone and engine.outliers.is_ejected(now)
                for engine in self.engines_by_id.values()
            ),
        )

    def _count_ejected(self, now: float) -> int:
        return sum(e.outliers.is_ejected(now) for e in self.engines_by_id.values())
