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


def desired_states_by_engine(document: Document) -> dict[str, DesiredState]:
    """Return the wish for each engine of the pools."""
    desired_states = {}
    for pool in document.pools_by_id.values():
        model = document.models_by_id.get(pool.model)
        if model is None:
            continue
        for engine_id in pool.hosts:
            desired_states[engine_id] = DesiredState(
                engine_id,
                model.model_id,
                model.version,
                model.adapters,
                pool.role,
                pool.checks_fence,
            )
    return desired_states


def next_order(
    desired: DesiredState, report: LoadReport, fence: int = 0
) -> EngineOrder | None:
    """Return the order that brings an engine nearer to the wish, if any."""
    if (report.model, report.model_version) != (desired.model, desired.version):
        return EngineOrder(
            OrderKind.LOAD_MODEL,
            fence,
            model=desired.model,
            model_version=desired.version,
        )
    for adapter in desired.adapters:
        if adapter not in report.adapters:
            return EngineOrder(
                OrderKind.LOAD_ADAPTER, fence, model=desired.model, adapter=adapter
            )
    if report.role != desired.role:
        return EngineOrder(OrderKind.SET_ROLE, fence, role=desired.role)
    return None


def requires_idle_engine(order: EngineOrder) -> bool:
    """Tell whether an engine must be idle for an order."""
    return order.kind is not OrderKind.LOAD_ADAPTER
