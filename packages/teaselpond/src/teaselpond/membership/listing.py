"""Publish changes of the platform's host list as facts.

The list may lag behind, and every poll reads it in full. So the longer it is,
the less often each daemon polls. The links replicate the changes that one
daemon finds to all others.
"""

from attrs import define, field

from teaselpond_model.contracts import Address, Host, HostKind, HostState

from ..links.facts import FactStore, FactVersion
from .records import HOST_TOPIC, HostRecord

REMOVED_HOST_RECORD = HostRecord(kind="")
REMOVED_RECORD_LIFETIME_SECONDS = 3600.0
ESTIMATED_HOST_BYTES = 110
MAX_POLL_BYTES_PER_SECOND = 1000


def record_from_host(host: Host) -> HostRecord:
    """Convert a host to the record that is sent to other daemons."""
    return HostRecord(
        host.kind.value,
        str(host.address),
        host.zone,
        host.state.value,
        str(host.peer_address) if host.peer_address is not None else "",
    )


def host_from_record(host_id: str, record: HostRecord) -> Host | None:
    """Convert a record to a host, or to None if the host was removed.

    Raise ValueError if an address, the kind or the state is invalid.
    """
    if not record.kind:
        return None
    return Host(
        host_id,
        Address.parse(record.address),
        record.zone,
        HostKind(record.kind),
        HostState(record.state),
        Address.parse(record.peer_address) if record.peer_address else None,
    )


def poll_interval(host_count: int, min_interval_seconds: float) -> float:
    """Return the seconds between two polls of a list of this length."""
    return max(
        min_interval_seconds,
        host_count * ESTIMATED_HOST_BYTES / MAX_POLL_BYTES_PER_SECOND,
    )


def _is_leaving_transition(known: HostRecord, record: HostRecord) -> bool:
    return known.state == HostState.LIVE.value and (
        record.state == HostState.LEAVING.value
    )


@define
class HostListReconciler:
    """Compare polls of the host list with the known hosts and publish changes.

    For ``lag_seconds`` after a peer reported a change of a host, polls do not
    change that host, because the polled list may be older than the report.
    The exception is a live host that is listed as leaving, which is applied
    at once.
    """

    store: FactStore
    lag_seconds: float = 10.0
    _peer_changed_at_by_id: dict[str, float] = field(factory=dict)

    def record_peer_change(self, host_id: str, now: float) -> None:
        """Record that a peer reported a change of a host."""
        self._peer_changed_at_by_id[host_id] = now

    def apply(self, hosts: tuple[Host, ...], now: float) -> int:
        """Publish the changes that a poll found; return how many it found."""
        self._expire_peer_changes(now)
        records_by_id = {host.host_id: record_from_host(host) for host in hosts}
        known_by_id = self.store.values(HOST_TOPIC, now)
        for host_id in known_by_id.keys() - records_by_id.keys():
            records_by_id[host_id] = REMOVED_HOST_RECORD
        changed = 0
        for host_id, record in records_by_id.items():
            known = known_by_id.get(host_id, REMOVED_HOST_RECORD)
            if record != known and self._may_apply(host_id, known, record):
                self._publish_record(host_id, record, now)
                changed += 1
        return changed

    def _may_apply(self, host_id: str, known: HostRecord, record: HostRecord) -> bool:
        return host_id not in self._peer_changed_at_by_id or _is_leaving_transition(
            known, record
        )

    def _publish_record(self, host_id: str, record: HostRecord, now: float) -> None:
        fact = self.store.get(HOST_TOPIC, host_id, now)
        version = FactVersion(0, fact.number + 1 if fact is not None else 1)
        lifetime = None if record.kind else REMOVED_RECORD_LIFETIME_SECONDS
        self.store.publish(HOST_TOPIC, host_id, record, version, now, lifetime)

    def _expire_peer_changes(self, now: float) -> None:
        self._peer_changed_at_by_id = {
            host_id: changed_at
            for host_id, changed_at in self._peer_changed_at_by_id.items()
            if now - changed_at < self.lag_seconds
        }
