"""Define the operator's orders of roll-outs and what is reported of them."""

import enum
import zlib

from attrs import field, frozen


class RolloutState(enum.Enum):
    """Define what the operator is told of a roll-out."""

    RUNNING = "running"
    DONE = "done"
    ROLLED_BACK = "rolled-back"


class Stage(enum.IntEnum):
    """Order the stages of a roll-out; hosts adopt the highest that they hear.

    BAD takes all traffic back. DONE is reached only by the status row in the
    store, after which the old upstreams are stopped.
    """

    TRIAL = 0
    FIRST_STEP = 1
    SECOND_STEP = 2
    FULL = 3
    BAD = 4
    DONE = 5


STATES_BY_STAGE = {
    Stage.BAD: RolloutState.ROLLED_BACK,
    Stage.DONE: RolloutState.DONE,
}


@frozen
class RolloutOrder:
    """Hold an order: move a service to a version within some seconds."""

    service: str
    to_version: str
    duration_seconds: float
    service_key: int = field(init=False, eq=False)

    @service_key.default
    def _hash_service(self) -> int:
        return zlib.crc32(f"{self.service} {self.to_version}".encode())


@frozen
class RolloutStatus:
    """Hold what a status row says."""

    state: RolloutState
    to_version: str
