"""Replicate suspicions of requests that made engines die."""

import time
from collections.abc import Callable

from attrs import evolve, frozen

from ..delivery.poison import QUARANTINE_SECONDS, Quarantine, Suspicion
from ..links import MalformedFrame
from ..links.exchange import FactExchange
from ..links.facts import FactChange, FactVersion, Topic, decode_value

MILLISECONDS_PER_SECOND = 1000


@frozen
class SuspicionLifted:
    """Announce that a request may run again.

    ``lifted_at`` is in wall-clock seconds.
    """

    lifted_at: float


SUSPICION_TOPIC = Topic("suspicion", Suspicion, QUARANTINE_SECONDS)
LIFTED_TOPIC = Topic("lifted", SuspicionLifted, QUARANTINE_SECONDS)


class LinkedQuarantine:
    """Implement QuarantinePeers with replicated facts, one for each death.

    If a request had one fact for all deaths, daemons that publish at the same
    time would overwrite each other's, and deaths would be lost.
    """

    def __init__(
        self,
        exchange: FactExchange,
        clock: Callable[[], float] = time.monotonic,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        self._exchange = exchange
        self._clock = clock
        self._wall_clock = wall_clock
        self._quarantine: Quarantine | None = None
        self._lifted_at_by_fingerprint: dict[str, float] = {}

    def attach(self, quarantine: Quarantine) -> None:
        """Start to pass the facts of other daemons to a quarantine."""
        self._quarantine = quarantine
        store = self._exchange.store
        store.observe(SUSPICION_TOPIC).subscribe(self._receive_suspicion)
        store.observe(LIFTED_TOPIC).subscribe(self._receive_lifted)

    async def send_suspicions(self, suspicions: tuple[Suspicion, ...]) -> None:
        """Publish suspicions and send them immediately."""
        for suspicion in suspicions:
            for death_id in suspicion.death_ids:
                self._exchange.store.publish(
                    SUSPICION_TOPIC,
                    f"{suspicion.fingerprint}/{death_id}",
                    evolve(suspicion, death_ids=frozenset({death_id})),
                    _version_at(suspicion.last_death_at),
                    self._clock(),
                )
        self._exchange.push()

    async def send_lifted(self, fingerprint: str) -> None:
        """Publish the end of a suspicion and send it immediately."""
        now = self._wall_clock()
        self._exchange.store.publish(
            LIFTED_TOPIC,
            fingerprint,
            SuspicionLifted(now),
            _version_at(now),
            self._clock(),
        )
        self._exchange.push()

    def _receive_suspicion(self, change: FactChange) -> None:
        if not change.source_id:
            return
        try:
            suspicion = decode_value(change.fact, SUSPICION_TOPIC)
        except MalformedFrame:
            return
        lifted_at = self._lifted_at_by_fingerprint.get(suspicion.fingerprint, 0.0)
        if suspicion.last_death_at > lifted_at:
            self._quarantine.receive(suspicion)

    def _receive_lifted(self, change: FactChange) -> None:
        try:
            lifted = decode_value(change.fact, LIFTED_TOPIC)
        except MalformedFrame:
            return
        self._lifted_at_by_fingerprint[change.fact.key] = lifted.lifted_at
        if change.source_id:
            self._quarantine.receive_lifted(change.fact.key)


def _version_at(wall_time: float) -> FactVersion:
    return FactVersion(0, int(wall_time * MILLISECONDS_PER_SECOND))
