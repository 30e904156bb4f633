"""Look up the engine of a chat and the daemon that owns an engine."""

from collections.abc import Iterable, Iterator
from itertools import islice

from attrs import frozen

from teaselpond_model.contracts import Host

from .affinity import EngineRing
from .cap import FleetLoad
from .ownership import owner_of
from .profiles import EngineProfile

CANDIDATES_PER_CHAT = 8


@frozen
class EngineLocation:
    """Identify an engine and the daemon that owns it."""

    engine_id: str
    owner_id: str


class EngineDirectory:
    """Index the fleet's engines by id and model, and cache their owners."""

    def __init__(self) -> None:
        self.engines_by_id: dict[str, EngineProfile] = {}
        self.daemons_by_id: dict[str, Host] = {}
        self._rings_by_model: dict[str, EngineRing] = {}
        self._owners_by_engine: dict[str, Host | None] = {}
        self._ring_keys_by_model: dict[str, tuple] = {}

    def set_engines(self, engines: Iterable[EngineProfile]) -> None:
        """Replace the fleet's engines and rebuild the rings that changed."""
        former = self.engines_by_id
        self.engines_by_id = {engine.engine_id: engine for engine in engines}
        self._invalidate_moved_engines(former)
        by_model: dict[str, list[EngineProfile]] = {}
        for engine in self.engines_by_id.values():
            by_model.setdefault(engine.model, []).append(engine)
        for model in self._rings_by_model.keys() - by_model.keys():
            del self._rings_by_model[model]
            del self._ring_keys_by_model[model]
        for model, members in by_model.items():
            # An engine that accepts no work stays on the ring: its chats
            # return to it when it is back in service.
            ring_key = tuple(sorted((e.engine_id, e.slots, e.weight) for e in members))
            if self._ring_keys_by_model.get(model) != ring_key:
                self._ring_keys_by_model[model] = ring_key
                self._rings_by_model[model] = EngineRing(members)

    def configured_load(self, model: str) -> FleetLoad:
        """Return a model's slots and engines that are in service."""
        available = [
            engine
            for engine in self.engines_by_id.values()
            if engine.model == model and engine.takes_work
        ]
        return FleetLoad(
            slots=sum(each.slots for each in available), engines=len(available)
        )

    def set_daemons(self, daemons: Iterable[Host]) -> None:
        """Replace the daemons that this daemon considers alive."""
        former = self.daemons_by_id
        self.daemons_by_id = {daemon.host_id: daemon for daemon in daemons}
        removed_ids = {
            host_id
            for host_id, host in former.items()
            if self.daemons_by_id.get(host_id) != host
        }
        added = [
            host
            for host_id, host in self.daemons_by_id.items()
            if former.get(host_id) != host
        ]
        if removed_ids or added:
            self._update_owners(removed_ids, added)

    def _update_owners(self, removed_ids: set[str], added: list[Host]) -> None:
        """Update the cached owners after a change of the live daemons.

        A daemon whose host data changed counts as removed and added. An owner
        that was not removed is compared only with the added daemons.
        """
        for engine_id, owner in list(self._owners_by_engine.items()):
            if owner is None or owner.host_id in removed_ids:
                del self._owners_by_engine[engine_id]
            elif added:
                engine = self.engines_by_id[engine_id]
                self._owners_by_engine[engine_id] = owner_of(
                    engine.host, (owner, *added)
                )

    def _invalidate_moved_engines(self, former: dict[str, EngineProfile]) -> None:
        for engine_id in list(self._owners_by_engine):
            engine = self.engines_by_id.get(engine_id)
            if engine is None or engine.host.zone != former[engine_id].host.zone:
                del self._owners_by_engine[engine_id]

    def has_model(self, model: str) -> bool:
        """Return whether any engine of the fleet serves a model."""
        return model in self._rings_by_model

    def owner(self, engine_id: str) -> Host | None:
        """Return the daemon that owns an engine.

        Return None if the engine is unknown or no daemon is alive.
        """
        if engine_id not in self._owners_by_engine:
            engine = self.engines_by_id.get(engine_id)
            if engine is None:
                return None
            self._owners_by_engine[engine_id] = owner_of(
                engine.host, self.daemons_by_id.values()
            )
        return self._owners_by_engine[engine_id]

    def candidates(self, workspace: str, chat: str, model: str) -> Iterator[str]:
        """Yield the ids of the engines preferred for a chat, the home first.

        These are at most ``CANDIDATES_PER_CHAT`` engines that accept work.
        """
        ring = self._rings_by_model.get(model)
        if ring is None:
            return iter(())
        available = (
            engine_id
            for engine_id in ring.ranking(workspace, chat)
            if self.engines_by_id[engine_id].takes_work
        )
        return islice(available, CANDIDATES_PER_CHAT)

    def location_of(self, engine_id: str) -> EngineLocation | None:
        """Return an engine with its owner, or None if it has no owner."""
        owner = self.owner(engine_id)
        return EngineLocation(engine_id, owner.host_id) if owner else None

    def home(
        self, workspace: str, chat: str, model: str, hint_engine: str = ""
    ) -> EngineLocation | None:
        """Return a chat's home engine, or None if no engine can serve it.

        ``hint_engine`` is the engine that served the chat last according to
        the caller. It is preferred while it accepts work for the model.
        """
        hinted = self.engines_by_id.get(hint_engine)
        if hinted and hinted.model == model and hinted.takes_work:
            return self.location_of(hint_engine)
        for engine_id in self.candidates(workspace, chat, model):
            owner = self.owner(engine_id)
            if owner is not None:
                return EngineLocation(engine_id, owner.host_id)
        return None
