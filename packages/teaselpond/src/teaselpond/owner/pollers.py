"""Poll each engine that this daemon owns in a separate task."""

import asyncio
import random
from collections.abc import Iterable

from absl import logging

from teaselpond_model.contracts import Address, Host
from teaselpond_model.exceptions import TeaselpondError

from ..logs import log_event
from ..metrics import Metrics
from ..upstreams import EngineClient
from .broker import SlotBroker

# Share of the interval by which a delay is lengthened or shortened.
JITTER_RATIO = 0.2


class EnginePollers:
    """Read load reports and cache events of owned engines periodically."""

    def __init__(
        self,
        broker: SlotBroker,
        engines: EngineClient,
        metrics: Metrics,
        interval_seconds: float,
    ) -> None:
        self._broker = broker
        self._engines = engines
        self._metrics = metrics
        self._interval_seconds = interval_seconds
        self._tasks_by_engine: dict[str, asyncio.Task] = {}
        self._addresses_by_engine: dict[str, Address] = {}

    def set_engines(self, hosts: Iterable[Host]) -> None:
        """Start and stop polls so that exactly these engines are polled.

        An engine whose address has changed is polled at the new one.
        """
        addresses_by_engine = {host.host_id: host.address for host in hosts}
        for engine_id in list(self._tasks_by_engine):
            if (
                addresses_by_engine.get(engine_id)
                != self._addresses_by_engine[engine_id]
            ):
                self._tasks_by_engine.pop(engine_id).cancel()
        for engine_id, address in addresses_by_engine.items():
            if engine_id not in self._tasks_by_engine:
                self._addresses_by_engine[engine_id] = address
                self._tasks_by_engine[engine_id] = asyncio.create_task(
                    self._poll(engine_id, address), name=f"poll {engine_id}"
                )

    async def stop(self) -> None:
        """Cancel all polls and wait until they have ended."""
        tasks = list(self._tasks_by_engine.values())
        self._tasks_by_engine.clear()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _poll(self, engine_id: str, address: Address) -> None:
        last_sequence = 0
        while True:
            try:
                await self._poll_load(engine_id, address)
                last_sequence = await self._poll_cache(
                    engine_id, address, last_sequence
                )
            except TeaselpondError as error:
                self._metrics.incr("polls.failed")
                log_event(
                    f"poll failed: {error}",
                    level=logging.DEBUG,
                    step=error.step,
                    peer=engine_id,
                )
            max_jitter_seconds = JITTER_RATIO * self._interval_seconds
            await asyncio.sleep(
                self._interval_seconds
                + random.uniform(-max_jitter_seconds, max_jitter_seconds)
            )

    async def _poll_load(self, engine_id: str, address: Address) -> None:
        report = await self._engines.load(address)
        self._broker.observe_load(engine_id, report)

    async def _poll_cache(
        self, engine_id: str, address: Address, last_sequence: int
    ) -> int:
        page = await self._engines.cache_events(address, last_sequence)
        if self._broker.observe_cache(engine_id, page):
            snapshot = await self._engines.cache_snapshot(address)
            self._broker.observe_snapshot(engine_id, snapshot)
            return snapshot.last_sequence
        return page.last_sequence
