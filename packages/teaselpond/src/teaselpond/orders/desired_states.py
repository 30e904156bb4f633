"""Compare an engine's desired state with the state that it reports."""

from attrs import frozen

from teaselpond_model.configuration import Document
from teaselpond_model.contracts import EngineOrder, LoadReport, OrderKind


@frozen
class DesiredState:
    """Describe what one engine should run, as set by the configuration.

    ``checks_fence`` is true if the engine refuses orders whose fencing token
    is lower than one it has seen.
    """

    engine_id: str
    model: str
    version: str
    adapters: tuple[str, ...]
    role: str
    checks_fence: bool

    @property
    def target(self) -> str:
        """Return a string that identifies the target of a rollout."""
        return ":".join((self.model, self.version, self.role, *self.adapters))


def desired_states_by_engine(document: Document) -> dict[str, DesiredState]:
    """Return the desired state of each engine in the configured pools."""
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
    """Return the next order towards the desired state, None if reached."""
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
    """Return whether an order requires the engine to be idle."""
    return order.kind is not OrderKind.LOAD_ADAPTER
