"""Exchange load sums with the other owners of engines."""

import asyncio
import time
from collections.abc import Callable

from ..links.facts import FactStore
from ..links.loads import LoadPublisher, LoadSettings, subscribe_to_load_sums
from ..owner import SMALL_FLEET_DAEMONS
from ..policy import Dispatcher

PUBLISH_CHECK_SECONDS = 0.1
# In a small fleet, sending nearly every change is cheap enough.
SMALL_FLEET_SETTINGS = LoadSettings(
    utilization_step=0.001, min_interval_seconds=0.1, max_interval_seconds=0.4
)
LARGE_FLEET_SETTINGS = LoadSettings()


class LoadSums:
    """Publish this daemon's load sums as facts and observe those of others.

    Sums are published more often in a small fleet.
    """

    def __init__(
        self,
        dispatcher: Dispatcher,
        store: FactStore,
        incarnation: int,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._dispatcher = dispatcher
        self._clock = clock
        self._publisher = LoadPublisher(
            store, dispatcher.daemon_id, incarnation, SMALL_FLEET_SETTINGS
        )
        subscribe_to_load_sums(
            store,
            dispatcher.daemon_id,
            lambda load_sum: dispatcher.observe_sum(load_sum, clock()),
        )

    async def run(self) -> None:
        """Publish the sums when they are due, until cancelled."""
        while True:
            await asyncio.sleep(PUBLISH_CHECK_SECONDS)
            daemons = len(self._dispatcher.directory.daemons_by_id)
            is_small = daemons <= SMALL_FLEET_DAEMONS
            self._publisher.settings = (
                SMALL_FLEET_SETTINGS if is_small else LARGE_FLEET_SETTINGS
            )
            now = self._clock()
            self._publisher.publish_if_due(self._dispatcher.sums(now), now, daemons)
