"""Compute the membership from records and listed hosts."""

from attrs import define, field

from teaselpond_model.contracts import Address, Host, HostKind, HostState

from .members import (
    Daemon,
    DaemonState,
    Membership,
    Upstream,
    UpstreamState,
)
from .records import MemberRecord, RecordState

_STATES_BY_RECORD = {
    RecordState.ALIVE: DaemonState.ALIVE,
    RecordState.SUSPECT: DaemonState.SUSPECT,
    RecordState.LEAVING: DaemonState.LEAVING,
    RecordState.GONE: DaemonState.GONE,
}


@define
class MembershipView:
    """Update the membership incrementally.

    Changes take effect in ``membership`` with the next ``refresh``.
    """

    membership: Membership = field(factory=Membership)
    _records_by_id: dict[str, MemberRecord] = field(factory=dict)
    _incarnations_by_id: dict[str, int] = field(factory=dict)
    _hosts_by_id: dict[str, Host] = field(factory=dict)
    _flapping_ids: frozenset[str] = frozenset()
    _changed_ids: set[str] = field(factory=set)

    def set_record(
        self, daemon_id: str, incarnation: int, record: MemberRecord
    ) -> None:
        """Set a daemon's newest record."""
        self._records_by_id[daemon_id] = record
        self._incarnations_by_id[daemon_id] = incarnation
        self._changed_ids.add(daemon_id)

    def remove_record(self, daemon_id: str) -> None:
        """Remove a daemon's expired record."""
        self._records_by_id.pop(daemon_id, None)
        self._incarnations_by_id.pop(daemon_id, None)
        self._changed_ids.add(daemon_id)

    def set_host(self, host_id: str, host: Host | None) -> bool:
        """Set or remove a host of the list; return whether it joined or left.

        A ``host`` of None means that the list no longer contains it.
        """
        previous = self._hosts_by_id.pop(host_id, None)
        if host is not None:
            self._hosts_by_id[host_id] = host
        self._changed_ids.add(host_id)
        return (previous is None) != (host is None)

    def set_flapping(self, host_ids: frozenset[str]) -> None:
        """Set the hosts that joined and left too often recently."""
        self._changed_ids |= host_ids ^ self._flapping_ids
        self._flapping_ids = host_ids

    def record_ids(self) -> frozenset[str]:
        """Return the ids of the daemons that have a record."""
        return frozenset(self._records_by_id)

    def is_listed(self, host_id: str) -> bool:
        """Return whether the platform lists a host."""
        return host_id in self._hosts_by_id

    def host_count(self) -> int:
        """Return the number of listed hosts."""
        return len(self._hosts_by_id)

    def refresh(self) -> bool:
        """Apply the pending changes; return whether the membership changed."""
        if not self._changed_ids:
            return False
        changed_ids, self._changed_ids = self._changed_ids, set()
        daemons_by_id = dict(self.membership.daemons_by_id)
        upstreams_by_id = dict(self.membership.upstreams_by_id)
        changed = False
        for host_id in changed_ids:
            changed |= _replace(daemons_by_id, host_id, self._daemon(host_id))
            changed |= _replace(upstreams_by_id, host_id, self._upstream(host_id))
        if changed:
            version = self.membership.version + 1
            self.membership = Membership(daemons_by_id, upstreams_by_id, version)
        return changed

    def _daemon(self, daemon_id: str) -> Daemon | None:
        host = self._hosts_by_id.get(daemon_id)
        if host is not None and host.kind is not HostKind.ENTRY:
            host = None
        record = self._records_by_id.get(daemon_id)
        if record is not None:
            return self._daemon_from_record(daemon_id, record, host)
        if host is None:
            return None
        return Daemon(
            daemon_id=daemon_id,
            incarnation=0,
            zone=host.zone,
            address=host.peer_address or host.address,
            caller_address=host.address,
            state=DaemonState.LISTED,
        )

    def _daemon_from_record(
        self, daemon_id: str, record: MemberRecord, host: Host | None
    ) -> Daemon | None:
        state = _STATES_BY_RECORD[record.state]
        if state is DaemonState.GONE and host is None:
            return None
        is_leaving = host is not None and host.state is HostState.LEAVING
        if is_leaving and state is not DaemonState.GONE:
            state = DaemonState.LEAVING
        return Daemon(
            daemon_id=daemon_id,
            incarnation=self._incarnations_by_id[daemon_id],
            zone=record.zone,
            address=Address.parse(record.address),
            caller_address=Address.parse(record.caller_address),
            state=state,
        )

    def _upstream(self, host_id: str) -> Upstream | None:
        host = self._hosts_by_id.get(host_id)
        if host is None or host.kind is HostKind.ENTRY:
            return None
        state = UpstreamState.LIVE
        if host.state is HostState.LEAVING:
            state = UpstreamState.LEAVING
        elif host_id in self._flapping_ids:
            state = UpstreamState.FLAPPING
        return Upstream(host_id, host.kind, host.zone, host.address, state)


def _replace(by_id: dict, host_id: str, value: object | None) -> bool:
    if by_id.get(host_id) == value:
        return False
    if value is None:
        del by_id[host_id]
    else:
        by_id[host_id] = value
    return True
