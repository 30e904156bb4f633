"""Assign each engine to one owner daemon by rendezvous hashing."""

from collections.abc import Iterable

from teaselpond_model.contracts import Host, HostState

from .hashing import hash64


def rank_owners(engine: Host, daemons: Iterable[Host]) -> list[Host]:
    """Return the live daemons in order of precedence, the owner first.

    Daemons in the engine's zone precede those in other zones. Each group is
    ordered by rendezvous hashing.
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
    """Return the daemon that owns an engine, or None if none is live."""
    live = [daemon for daemon in daemons if daemon.state is HostState.LIVE]
    # Daemons in other zones count only if the engine's zone has none.
    eligible = [daemon for daemon in live if daemon.zone == engine.zone] or live
    return min(
        eligible,
        key=lambda daemon: (-hash64(engine.host_id, daemon.host_id), daemon.host_id),
        default=None,
    )
