"""Measure one whole daemon with its upstreams from the command line."""

import asyncio

from ..capacity.daemon import MeasuredDaemon
from ..capacity.points import (
    RelayPoint,
    StorePoint,
    describe_run,
    load_points,
    save_points,
)

IDLE_SECONDS = (15, 30)
ORDER_COUNTS = (40, 80, 160)
PLAN_COUNTS = (8, 16, 32)
# Chats and tokens per chat.
CHAT_LOADS = ((32, 20), (32, 80), (32, 160), (64, 20), (64, 80))


class CapacityDaemonCommand:
    """Measure a daemon's processor time and its use of the stores."""

    name = "capacity-daemon"

    def __call__(self) -> None:
        """Measure the points, print them and store them."""
        run = describe_run(self.name)
        stores, relays = asyncio.run(_measure())
        points = load_points()
        points.runs["daemon"] = run
        points.stores, points.relays = stores, relays
        save_points(points)


async def _measure() -> tuple[list[StorePoint], list[RelayPoint]]:
    async with MeasuredDaemon() as daemon:
        stores = [await daemon.measure_idle(seconds) for seconds in IDLE_SECONDS]
        stores += [await daemon.measure_orders(count) for count in ORDER_COUNTS]
        stores += [await daemon.measure_plans(count) for count in PLAN_COUNTS]
        relays = [
            await daemon.measure_chats(count, tokens) for count, tokens in CHAT_LOADS
        ]
    for point in (*stores, *relays):
        print(point, flush=True)
    return stores, relays
