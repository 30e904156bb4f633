"""Decide which versions serve when an order comes, and after it.

Handles one decision for each order, over the upstreams of one service.
"""

from collections.abc import Iterable, Sequence

from ..engines import EngineState
from ..routing_state import EngineRecord
from .orders import RolloutOrder, Stage
from .rollout import Rollout


def blocked_versions(previous: Rollout | None, order: RolloutOrder) -> frozenset[str]:
    """Return the versions of earlier orders that may get nothing."""
    if previous is None:
        return frozenset()
    blocked = set(previous.blocked)
    if previous.has_replaced:
        # The old upstreams are stopped, though they may be listed still.
        blocked |= previous.old_versions
    elif previous.stage is not Stage.FULL:
        blocked.add(previous.order.to_version)
    return frozenset(blocked - {order.to_version})


def versions_in_use(rollout: Rollout) -> frozenset[str]:
    """Return the versions that serve after a roll-out, as far as it went."""
    ordered = frozenset({rollout.order.to_version})
    if rollout.has_replaced:
        return ordered
    return rollout.old_versions | (ordered if rollout.stage is Stage.FULL else set())


def is_in_use(
    previous: Rollout | None, order: RolloutOrder, records: Iterable[EngineRecord]
) -> bool:
    """Return whether an order names a version that serves already."""
    if previous is not None and previous.has_replaced:
        return previous.is_new(order.to_version)
    if previous is not None:
        # Upstreams of a third version may be listed before their order.
        return order.to_version in previous.old_versions
    return serves_alone(order, records)


def serves_alone(order: RolloutOrder, records: Iterable[EngineRecord]) -> bool:
    """Return whether upstreams of the ordered version alone are listed."""
    versions = {
        record.engine.version
        for record in records
        if record.engine.service == order.service
    }
    return versions == {order.to_version}


def has_ready(order: RolloutOrder, records: Iterable[EngineRecord]) -> bool:
    """Return whether an upstream of the ordered version is ready."""
    return any(
        record.engine.service == order.service
        and record.engine.version == order.to_version
        and record.engine.state is EngineState.READY
        for record in records
    )


def successors(
    rollout: Rollout, listed: Sequence[EngineRecord], records: Iterable[EngineRecord]
) -> list[EngineRecord]:
    """Return upstreams that replaced the version in use without an order.

    They serve once the order has ended and that version has no upstream that
    is ready; ``listed`` are available ones, ``records`` all known ones.
    """
    if rollout.stage < Stage.BAD or not rollout.is_written:
        return []
    used = versions_in_use(rollout)
    if any(
        record.engine.service == rollout.order.service
        and record.engine.version in used
        and record.engine.state is EngineState.READY
        for record in records
    ):
        return []
    judged = rollout.blocked | rollout.old_versions | {rollout.order.to_version}
    return [record for record in listed if record.engine.version not in judged]
