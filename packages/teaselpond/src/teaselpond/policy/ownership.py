"""Choose the one daemon that owns an engine."""

from collections.abc import Iterable

from teaselpond_model.contracts import Host, HostState

from .hashing import hash64


def rank_owners(engine: Host, daemons: Iterable[Host]) -> list[Host]:
    """Return the live daemons, the engine's owner first.

    Daemons of the engine's own zone come before the others; rendezvous
    hashing orders each part.
    """
    live = [daemon for daemon in daemons if daemon.state is HostState.LIVE]
    return sorted(
        live,
        key=lambda daemon: (
            daemon.zone != engine.zone,
            -hash64(engine.host_id, daemon.host_id),
            daemon.host_id,
        ),
    )


def owner_of(engine: Host, daemons: Iterable[Host]) -> Host | None:
    """Return the daemon that owns an engine, None when no daemon lives."""
    live = [daemon for daemon in daemons if daemon.state is HostState.LIVE]
    # Only where the engine's own zone has no daemon do the others matter.
    eligible = [daemon for daemon in live if daemon.zone == engine.zone] or live
    return min(
        eligible,
        key=lambda daemon: (-hash64(engine.host_id, daemon.host_id), daemon.host_id),
        default=None,
    )
