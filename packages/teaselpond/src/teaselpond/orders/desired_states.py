"""Compare what the configuration wishes with what an engine reports."""

from attrs import frozen

from teaselpond_model.configuration import Document
from teaselpond_model.contracts import EngineOrder, LoadReport, OrderKind


@frozen
class DesiredState:
    """Describe what one engine should run.

    ``checks_fence`` tells whether the engine refuses old fencing numbers.
    """

    engine_id: str
    model: str
    version: str
    adapters: tuple[str, ...]
    role: str
    checks_fence: bool

    @property
    def target(self) -> str:
        """Name the state that a rolling change leads to."""
        return ":".join((self.model, self.version, self.role, *self.adapters))


def wishes_by_engine(document: Document) -> dict[str, DesiredState]:
    """Return the wish for each engine of the pools."""
    wishes = {}
    for pool in document.pools_by_id.values():
        model = document.models_by_id.get(pool.model)
        if model is None:
            continue
        for engine_id in pool.hosts:
            wishes[engine_id] = DesiredState(
                engine_id,
                model.model_id,
                model.version,
                model.adapters,
                pool.role,
                pool.checks_fence,
            )
    return wishes


def next_order(
    wish: DesiredState, report: LoadReport, fence: int = 0
) -> EngineOrder | None:
    """Return the order that brings an engine nearer to the wish, if any."""
    if (report.model, report.model_version) != (wish.model, wish.version):
        return EngineOrder(
            OrderKind.LOAD_MODEL, fence, model=wish.model, model_version=wish.version
        )
    for adapter in wish.adapters:
        if adapter not in report.adapters:
            return EngineOrder(
                OrderKind.LOAD_ADAPTER, fence, model=wish.model, adapter=adapter
            )
    if report.role != wish.role:
        return EngineOrder(OrderKind.SET_ROLE, fence, role=wish.role)
    return None


def interrupts_work(order: EngineOrder) -> bool:
    """Tell whether an engine must be idle for an order."""
    return order.kind is not OrderKind.LOAD_ADAPTER
