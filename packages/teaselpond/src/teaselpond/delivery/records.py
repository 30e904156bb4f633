"""Describe the table records of non-idempotent calls."""

import base64
import enum
import hashlib
from collections.abc import Mapping
from typing import Any

import cattrs
from attrs import field, frozen

from teaselpond_model.contracts import Address

OUTCOME_RETENTION_SECONDS = 24 * 3600.0
UNRESOLVED_RETENTION_SECONDS = 7 * 24 * 3600.0
LEDGER_PREFIX = "ledger/"
MAX_KEY_CHARACTERS = 255


class RecordState(enum.Enum):
    """Name the states of a record.

    Only in the state ``dispatched`` may a call have been sent without a
    recorded outcome.
    """

    CLAIMED = "claimed"
    DISPATCHED = "dispatched"
    RELEASED = "released"
    DONE = "done"


@frozen
class ServiceCall:
    """Hold one call of a service that isn't an engine.

    ``addresses`` are the service's upstreams in order of preference;
    ``deadline`` is in seconds of this daemon's monotonic clock.
    """

    workspace: str
    service: str
    request_id: str
    method: str
    path: str
    addresses: tuple[Address, ...]
    deadline: float
    key: str = ""
    headers_by_name: Mapping[str, str] = field(factory=dict)
    body: bytes = field(default=b"", repr=False)


@frozen
class ServiceOutcome:
    """Hold a service's complete answer.

    ``repeated`` is set if it was returned from the record of an earlier call.
    """

    status: int
    headers_by_name: dict[str, str]
    body: bytes = field(repr=False)
    repeated: bool = False


@frozen
class StoredOutcome:
    """Hold an answer in the form that is stored in the table.

    ``object_name`` names the object with a body that is too large for the
    table. Otherwise it is empty and ``body`` is the body in base64.
    """

    status: int
    headers_by_name: dict[str, str]
    body: str
    object_name: str = ""


@frozen
class LedgerRecord:
    """Hold the state of the call with one idempotency key.

    ``attempt`` is the id of the attempt that wrote the record, ``daemon`` its
    daemon. ``expires_at`` is in wall-clock seconds.
    """

    state: RecordState
    attempt: str
    daemon: str
    fingerprint: str
    expires_at: float
    outcome: StoredOutcome | None = None


@frozen
class VersionedRecord:
    """Hold a record with the table version at which it was written."""

    key: str
    record: LedgerRecord
    version: int


def record_key(call: ServiceCall) -> str:
    """Return the table key of a call's record, spread over 256 shards."""
    digest = digest_parts(call.workspace, call.service, call.key)
    return f"{LEDGER_PREFIX}{digest[:2]}/{digest}"


def call_fingerprint(call: ServiceCall) -> str:
    """Return a digest that is equal for repeats of the same call."""
    return digest_parts(call.method, call.path, call.body)


def digest_parts(*parts: str | bytes) -> str:
    """Return a digest of parts; their lengths are included as separators."""
    digest = hashlib.blake2b(digest_size=16)
    for part in parts:
        content = part.encode() if isinstance(part, str) else part
        digest.update(len(content).to_bytes(8, "big"))
        digest.update(content)
    return digest.hexdigest()


def encode_body(body: bytes) -> str:
    """Return a body in the form that is stored in the table."""
    return base64.b64encode(body).decode()


def decode_body(text: str) -> bytes:
    """Return the body from its stored form."""
    return base64.b64decode(text)


def unstructure(record: Any) -> Any:
    """Return a record as a JSON value."""
    return cattrs.unstructure(record)


def structure_record(value: Any) -> LedgerRecord:
    """Read a record from its JSON value."""
    return cattrs.structure(value, LedgerRecord)
