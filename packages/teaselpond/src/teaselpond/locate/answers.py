"""Answer callers which daemons to use, and for how long."""

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
    """Name the chat and the caller; empty strings when unknown."""

    workspace: str
    chat: str = ""
    caller: str = ""
    zone: str = ""

    @property
    def key(self) -> str:
        """Return what spreads questions over the daemons."""
        return f"{self.workspace}\0{self.chat or self.caller}"


@frozen
class LocateAnswer:
    """Hold addresses, best first, and how long to keep them in seconds."""

    addresses: tuple[Address, ...]
    ttl_seconds: float


@frozen
class LocateSettings:
    """Set how long callers keep an answer and how many addresses it has."""

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
    """Return the addresses for a chat, its owner's first.

    ``owner_ids`` are the daemons that own the chat's engines, best first;
    ``loads_by_id`` are fractions of what each daemon can carry. Leaving
    daemons are named only when there is no other.
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
    # Spread, so that callers that asked together do not come back together.
    share = MIN_TTL_RATIO + TTL_JITTER_RATIO * hash_fraction(question.key, "ttl")
    return settings.ttl_seconds * share


def max_answer_lifetime_seconds(ttl_seconds: float) -> float:
    """Return for how long an answer may be kept, also one just given.

    A daemon that leaves is still named until its leaving is known.
    """
    max_ttl_seconds = ttl_seconds * (MIN_TTL_RATIO + TTL_JITTER_RATIO)
    return max_ttl_seconds + LEAVE_PROPAGATION_SECONDS
