"""Update the engines that a daemon owns when the live daemons change."""

from collections.abc import Mapping

from attrs import define, field

from teaselpond_model.contracts import Host, HostState

from .claims import ClaimState
from .directory import EngineDirectory, EngineLocation
from .engines import OwnedEngine
from .messages import Handover
from .ownership import owner_of, rank_owners
from .settings import PolicySettings


@define
class OwnedEngines:
    """Store the engines that a daemon owns, and those that it owned.

    A former engine is kept until its last slot is released.
    """

    daemon_id: str
    directory: EngineDirectory
    by_id: dict[str, OwnedEngine] = field(factory=dict)
    former_by_id: dict[str, OwnedEngine] = field(factory=dict)

    def get(self, engine_id: str) -> OwnedEngine | None:
        """Return an owned engine, or a former one with slots in use."""
        return self.by_id.get(engine_id) or self.former_by_id.get(engine_id)

    def update(self, settings: PolicySettings, now: float) -> tuple[Handover, ...]:
        """Apply the directory's ownership; return the handovers to send."""
        handovers = []
        for engine_id in list(self.by_id):
            owner = self.directory.owner(engine_id)
            if owner is None or owner.host_id != self.daemon_id:
                handovers.append(self._hand_over(engine_id, owner))
        for engine_id, profile in self.directory.engines_by_id.items():
            owner = self.directory.owner(engine_id)
            if owner is None or owner.host_id != self.daemon_id:
                continue
            if engine_id not in self.by_id:
                self._acquire(engine_id, settings, now)
            self.by_id[engine_id].settings = settings
            self.by_id[engine_id].update_profile(profile, now)
        return tuple(handover for handover in handovers if handover)

    def contest(
        self, former: Mapping[str, Host], settings: PolicySettings, now: float
    ) -> None:
        """Contest claims that a lost or returned daemon may share.

        A daemon that this one can't reach may still be running and claim the
        engines for which it ranks second. When it returns, it releases them
        only a moment later. If half of the daemons or more are lost or return
        at once, this daemon itself may be partitioned, and all of its claims
        are contested.
        """
        present = self.directory.daemons_by_id
        lost = _live_ids(former) - present.keys()
        returned = _live_ids(present) - former.keys()
        self._contest_claims_of(lost, former, settings.claim_seconds, now)
        self._contest_claims_of(returned, present, settings.claim_wait_seconds, now)

    def _contest_claims_of(
        self,
        claimants: set[str],
        daemons: Mapping[str, Host],
        seconds: float,
        now: float,
    ) -> None:
        claimants.discard(self.daemon_id)
        if not claimants:
            return
        may_be_partitioned = 2 * len(claimants) >= len(daemons)
        for engine in self.by_id.values():
            ranking = rank_owners(engine.profile.host, daemons.values())
            next_owner_ids = {daemon.host_id for daemon in ranking[1:2]}
            if may_be_partitioned or claimants & next_owner_ids:
                engine.claim.contest(seconds, now)

    def former_owner(self, engine: OwnedEngine) -> EngineLocation | None:
        """Return an engine's former owner, or None if its claim isn't waiting.

        The owner is computed from the other live daemons.
        """
        if engine.claim.state is not ClaimState.WAITING:
            return None
        others = [
            daemon
            for daemon in self.directory.daemons_by_id.values()
            if daemon.host_id != self.daemon_id
        ]
        owner = owner_of(engine.profile.host, others)
        return EngineLocation(engine.engine_id, owner.host_id) if owner else None

    def remove_idle_former(self) -> None:
        """Remove the former engines that have no slots in use."""
        for engine_id, engine in list(self.former_by_id.items()):
            if not engine.slots.uses_by_grant:
                del self.former_by_id[engine_id]

    def _acquire(self, engine_id: str, settings: PolicySettings, now: float) -> None:
        profile = self.directory.engines_by_id[engine_id]
        engine = self.former_by_id.pop(engine_id, None)
        if engine is None:
            engine = OwnedEngine.take_over(profile, settings, now)
        else:
            engine.claim = engine.claim.begin(settings, now)
        self.by_id[engine_id] = engine

    def _hand_over(self, engine_id: str, owner: Host | None) -> Handover | None:
        engine = self.by_id.pop(engine_id)
        self.former_by_id[engine_id] = engine
        if owner is None or engine.claim.state is ClaimState.WAITING:
            return None
        return Handover(
            engine_id=engine_id,
            from_owner=self.daemon_id,
            to_owner=owner.host_id,
            in_flight=engine.slots.in_flight,
            limit=engine.warmup.limit,
            incarnation=engine.warmup.incarnation,
        )


def _live_ids(daemons: Mapping[str, Host]) -> set[str]:
    return {
        host_id for host_id, host in daemons.items() if host.state is HostState.LIVE
    }
