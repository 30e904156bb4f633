"""Define how a lease is stored in the table service."""

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
    """Describe a stored lease.

    ``fence`` is 0 in the write that acquires it: the table version of that
    write is the fencing number. ``write_id`` names the write.
    """

    incarnation: str
    write_id: str
    duration_seconds: float
    fence: int = 0

    def to_value(self) -> dict[str, Any]:
        """Convert to a JSON value."""
        return {
            "incarnation": self.incarnation,
            "write_id": self.write_id,
            "duration_seconds": self.duration_seconds,
            "fence": self.fence,
        }

    @classmethod
    def from_value(cls, value: Mapping[str, Any]) -> "LeaseRecord":
        """Read a JSON value; raise KeyError when a member is missing."""
        return cls(
            value["incarnation"],
            value["write_id"],
            value["duration_seconds"],
            value["fence"],
        )


def stored_fence(entry: TableEntry) -> int:
    """Return the fencing number of a stored lease."""
    return LeaseRecord.from_value(entry.value).fence or entry.version
