"""Define the stored form of a lease in the table service."""

from collections.abc import Mapping
from typing import Any

from attrs import frozen

from teaselpond_model.contracts import TableEntry

LEASE_PREFIX = "leases/"


def lease_key(daemon_id: str) -> str:
    """Return the table key of a daemon's lease."""
    return f"{LEASE_PREFIX}{daemon_id}"


@frozen
class LeaseRecord:
    """Represent a lease as stored in the table service.

    ``fence`` is 0 in the write that acquires the lease, because the table
    version of that write becomes the fencing token. ``write_id`` identifies
    the write, so that its sender recognizes it when the answer was lost.
    """

    incarnation: str
    write_id: str
    duration_seconds: float
    fence: int = 0

    def to_value(self) -> dict[str, Any]:
        """Return the JSON value to store."""
        return {
            "incarnation": self.incarnation,
            "write_id": self.write_id,
            "duration_seconds": self.duration_seconds,
            "fence": self.fence,
        }

    @classmethod
    def from_value(cls, value: Mapping[str, Any]) -> "LeaseRecord":
        """Parse a stored JSON value; raise KeyError for a missing member."""
        return cls(
            value["incarnation"],
            value["write_id"],
            value["duration_seconds"],
            value["fence"],
        )


def stored_fence(entry: TableEntry) -> int:
    """Return the fencing token of a stored lease."""
    return LeaseRecord.from_value(entry.value).fence or entry.version
