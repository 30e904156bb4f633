"""Index an owner's grants until they are released."""

from collections.abc import Iterable
from itertools import count

from attrs import define, field

from .messages import Grant, SlotRequest
from .slots import SlotUse


@define
class GrantRegistry:
    """Index open grants by their id, request and entry daemon.

    Each grant id starts with ``prefix``, which names the owner and its
    incarnation.
    """

    prefix: str
    _uses_by_grant: dict[str, SlotUse] = field(factory=dict)
    _grants_by_request: dict[str, Grant] = field(factory=dict)
    _grants_by_origin: dict[str, set[str]] = field(factory=dict)
    _numbers: count = field(factory=lambda: count(1))

    def __len__(self) -> int:
        return len(self._uses_by_grant)

    def issue(
        self,
        request: SlotRequest,
        engine_id: str,
        priority: int,
        cached_tokens: int,
        expected_first_token_seconds: float,
        now: float,
    ) -> tuple[Grant, SlotUse]:
        """Create and store a grant for a slot of an engine."""
        grant_id = f"{self.prefix}.{next(self._numbers)}"
        grant = Grant(grant_id, request.request_id, engine_id, priority, cached_tokens)
        use = SlotUse(
            grant_id,
            request,
            engine_id,
            now,
            expected_first_token_seconds,
            cached_tokens,
        )
        self._uses_by_grant[grant_id] = use
        self._grants_by_request[request.request_id] = grant
        self._grants_by_origin.setdefault(request.origin_daemon, set()).add(grant_id)
        return grant, use

    def close(self, grant_id: str) -> SlotUse | None:
        """Remove a grant; return its use, or None if it is not open."""
        use = self._uses_by_grant.pop(grant_id, None)
        if use is None:
            return None
        del self._grants_by_request[use.request.request_id]
        grant_ids = self._grants_by_origin[use.request.origin_daemon]
        grant_ids.discard(grant_id)
        if not grant_ids:
            del self._grants_by_origin[use.request.origin_daemon]
        return use

    def open_ids(self) -> tuple[str, ...]:
        """Return the ids of all open grants."""
        return tuple(self._uses_by_grant)

    def by_request(self, request_id: str) -> Grant | None:
        """Return the open grant of a request, or None."""
        return self._grants_by_request.get(request_id)

    def by_origin(self, daemon_id: str) -> tuple[str, ...]:
        """Return the ids of the open grants of an entry daemon."""
        return tuple(sorted(self._grants_by_origin.get(daemon_id, ())))

    def not_held(
        self, daemon_id: str, held: Iterable[str], granted_before: float
    ) -> tuple[str, ...]:
        """Return the open grants that an entry daemon does not hold.

        Only grants issued before ``granted_before`` are compared.
        """
        held = frozenset(held)
        return tuple(
            grant_id
            for grant_id in self.by_origin(daemon_id)
            if grant_id not in held
            and self._uses_by_grant[grant_id].granted_at < granted_before
        )
