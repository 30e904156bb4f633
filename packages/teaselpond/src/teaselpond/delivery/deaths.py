"""Detect engine processes that ended while they ran requests."""

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager

from ..exceptions import TeaselpondError, UpstreamSilent
from ..upstreams import EngineClient
from .chats import ChatCall
from .poison import EngineDeath, Quarantine
from .slots import EngineAddresses

# A healthy engine reports its load within this time; a request isn't delayed
# any longer.
INCARNATION_TIMEOUT_SECONDS = 0.3


class EngineDeathDetector:
    """Track the requests on each engine, and report engine deaths."""

    def __init__(
        self, engines: EngineClient, quarantine: Quarantine, addresses: EngineAddresses
    ) -> None:
        self._engines = engines
        self._quarantine = quarantine
        self._addresses = addresses
        self._running_by_engine: dict[str, dict[str, ChatCall]] = {}
        self._incarnations_by_engine: dict[str, str] = {}

    @contextmanager
    def running(self, engine_id: str, call: ChatCall) -> Iterator[None]:
        """Track a request as running on an engine within the context."""
        calls = self._running_by_engine.setdefault(engine_id, {})
        calls[call.request_id] = call
        try:
            yield
        finally:
            calls.pop(call.request_id, None)
            if not calls and self._running_by_engine.get(engine_id) is calls:
                del self._running_by_engine[engine_id]

    def record_incarnation(self, engine_id: str, incarnation: str) -> None:
        """Remember the incarnation that an engine's answer contained."""
        if incarnation:
            self._incarnations_by_engine[engine_id] = incarnation

    async def fetch_incarnation(self, engine_id: str) -> str:
        """Return an engine's incarnation, asking the engine if none is known.

        Without it, an engine that restarts before it is asked again could
        not be distinguished from one that never died. Return an empty string
        if the incarnation is unknown.
        """
        known = self._incarnations_by_engine.get(engine_id, "")
        address = self._addresses.address_of(engine_id)
        if known or address is None:
            return known
        try:
            async with asyncio.timeout(INCARNATION_TIMEOUT_SECONDS):
                report = await self._engines.load(address)
        except (TeaselpondError, TimeoutError):
            # The request is sent anyway; its answer has the incarnation.
            return ""
        self.record_incarnation(engine_id, report.incarnation)
        return report.incarnation

    async def detect_death(self, engine_id: str, incarnation: str) -> bool:
        """Return whether an engine died, and record the death if so.

        ``incarnation`` is the one that the request was sent to, empty if
        unknown. The remembered one may already be its successor's.
        """
        if not await self._is_dead(engine_id, incarnation):
            return False
        calls = tuple(self._running_by_engine.get(engine_id, {}).values())
        await self._quarantine.record_death(
            EngineDeath(engine_id, incarnation),
            tuple((call.workspace, call.fingerprint) for call in calls),
            zone=self._addresses.zone_of(engine_id),
        )
        return True

    async def _is_dead(self, engine_id: str, incarnation: str) -> bool:
        address = self._addresses.address_of(engine_id)
        if address is None:
            return False
        try:
            report = await self._engines.load(address)
        except UpstreamSilent:
            # The network may be at fault: the engine isn't known to be dead.
            return False
        except TeaselpondError:
            return True
        return bool(incarnation) and report.incarnation != incarnation
