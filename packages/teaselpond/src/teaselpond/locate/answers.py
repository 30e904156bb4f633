"""Choose the daemons that a caller should use, and for how long."""

from collections.abc import Mapping

from attrs import field, frozen, validators

from teaselpond_model.contracts import Address

from ..membership import Daemon, DaemonState, Membership
from .ordering import hash_fraction, nearest_first

MIN_TTL_RATIO = 0.75
TTL_JITTER_RATIO = 0.5
LEAVE_PROPAGATION_SECONDS = 2.0


@frozen
class LocateQuestion:
    """Describe the chat and its caller; unknown values are empty."""

    workspace: str
    chat: str = ""
    caller: str = ""
    zone: str = ""

    @property
    def key(self) -> str:
        """Return the hash key that distributes questions over the daemons."""
        return f"{self.workspace}\0{self.chat or self.caller}"


@frozen
class LocateAnswer:
    """Hold the addresses, best first, and how long to cache them."""

    addresses: tuple[Address, ...]
    ttl_seconds: float


@frozen
class LocateSettings:
    """Configure the lifetime of answers and their number of addresses.

    ``degraded_ttl_seconds`` applies when fewer than two daemons of an answer
    are alive.
    """

    ttl_seconds: float = field(default=30.0, validator=validators.gt(0))
    degraded_ttl_seconds: float = 5.0
    address_limit: int = 4


def locate(
    membership: Membership,
    question: LocateQuestion,
    owner_ids: tuple[str, ...],
    loads_by_id: Mapping[str, float],
    settings: LocateSettings,
) -> LocateAnswer:
    """Return the addresses for a chat, those of its owners first.

    ``owner_ids`` are the daemons that own the chat's engines, best first.
    ``loads_by_id`` are fractions of each daemon's capacity. Leaving daemons
    are returned only if no other daemon is usable.
    """
    daemons = membership.usable_daemons() or _leaving(membership)
    usable_by_id = {daemon.daemon_id: daemon for daemon in daemons}
    owners = [usable_by_id[each] for each in owner_ids if each in usable_by_id]
    zone = owners[0].zone if owners and not question.zone else question.zone
    others = [daemon for daemon in daemons if daemon.daemon_id not in owner_ids]
    limit = settings.address_limit
    nearest = nearest_first(others, question.key, zone, loads_by_id, limit)
    chosen = (owners + nearest)[:limit]
    return LocateAnswer(
        tuple(daemon.caller_address for daemon in chosen),
        _ttl(question, chosen, settings),
    )


def _leaving(membership: Membership) -> tuple[Daemon, ...]:
    daemons = membership.daemons_by_id.values()
    return tuple(each for each in daemons if each.state is DaemonState.LEAVING)


def _ttl(
    question: LocateQuestion, chosen: list[Daemon], settings: LocateSettings
) -> float:
    alive = [each for each in chosen if each.state is DaemonState.ALIVE]
    if len(alive) < min(2, settings.address_limit):
        return settings.degraded_ttl_seconds
    # Vary the lifetime, or callers that asked at the same time would also
    # ask again at the same time.
    ttl_ratio = MIN_TTL_RATIO + TTL_JITTER_RATIO * hash_fraction(question.key, "ttl")
    return settings.ttl_seconds * ttl_ratio


def max_answer_lifetime_seconds(ttl_seconds: float) -> float:
    """Return for how long callers may still use a daemon that leaves.

    This is the longest lifetime of an answer plus the time until all daemons
    know that it leaves, because their answers contain it until then.
    """
    max_ttl_seconds = ttl_seconds * (MIN_TTL_RATIO + TTL_JITTER_RATIO)
    return max_ttl_seconds + LEAVE_PROPAGATION_SECONDS
