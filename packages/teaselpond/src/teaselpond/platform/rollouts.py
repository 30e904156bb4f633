"""Translate the rows that tell the operator the status of roll-outs."""

import json

from ..gateway.exceptions import MalformedEntry
from ..gateway.rollouts.orders import RolloutState, RolloutStatus
from .entries import MALFORMED_ERRORS, ROLLOUT_PREFIX

WIRE_STATES = {
    RolloutState.RUNNING: "running",
    RolloutState.DONE: "done",
    RolloutState.ROLLED_BACK: "rolled_back",
}
STATES_BY_WIRE = {wire: state for state, wire in WIRE_STATES.items()}


def status_key(service: str) -> str:
    """Return the key of a service's status row."""
    return ROLLOUT_PREFIX + service


def encode_status(status: RolloutStatus) -> bytes:
    """Return the value of a status row."""
    raw = {"State": WIRE_STATES[status.state], "To": status.to_version}
    return json.dumps(raw).encode()


def decode_status(value: bytes) -> RolloutStatus:
    """Read the value of a status row; raise MalformedEntry."""
    try:
        raw = json.loads(value)
        return RolloutStatus(STATES_BY_WIRE[raw["State"]], str(raw["To"]))
    except MALFORMED_ERRORS as error:
        raise MalformedEntry(repr(error), step="decode_status") from error
