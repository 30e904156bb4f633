"""Hold back versions that no order allows.

Handles every request of services without an order, by one comparison for each
listed upstream. Upstreams may be listed before the order that they belong to,
and again after it was taken back.
"""

from collections.abc import Callable, Iterable, Sequence

from attrs import define, field

from ..engines import EngineState
from ..routing_state import EngineRecord


@define
class VersionHolds:
    """Remember which versions of each service are in use.

    They are those that were listed first, then the one that a roll-out ended
    with. ``engines`` returns the known upstreams, also those that cannot serve
    now. Upstreams without a version are always in use.
    """

    engines: Callable[[], Iterable[EngineRecord]] = tuple
    _in_use_by_service: dict[str, frozenset[str]] = field(factory=dict)

    def copy(self, service: str) -> "VersionHolds":
        """Return an independent copy for one service."""
        in_use = self._in_use_by_service.get(service)
        known = {service: in_use} if in_use is not None else {}
        return VersionHolds(self.engines, known)

    def in_use(self, service: str) -> frozenset[str]:
        """Return the versions in use; empty if they are not known."""
        return self._in_use_by_service.get(service, frozenset())

    def record_in_use(self, service: str, versions: frozenset[str]) -> None:
        """Record the versions that are in use after a roll-out."""
        if versions:
            self._in_use_by_service[service] = versions

    def split(
        self, service: str, listed: Sequence[EngineRecord]
    ) -> list[Sequence[EngineRecord]]:
        """Return the upstreams that may serve.

        Other versions take over once the ones in use have no upstream left:
        they were replaced without an order. They serve already while the last
        of these drain, as nothing else can, but are not in use until then.
        """
        versions = frozenset(record.engine.version for record in listed)
        in_use = self.in_use(service)
        if versions <= in_use:
            return [listed]
        allowed = in_use | {""}
        used = [record for record in listed if record.engine.version in allowed]
        if used and in_use:
            return [used]
        states = self._states(service, in_use)
        if EngineState.READY in states:
            # An evacuated zone may hold it, for example.
            return [used]
        if not states:
            self.record_in_use(service, versions)
        return [listed]

    def _states(self, service: str, versions: frozenset[str]) -> set[EngineState]:
        return {
            record.engine.state
            for record in self.engines()
            if record.engine.service == service and record.engine.version in versions
        }
