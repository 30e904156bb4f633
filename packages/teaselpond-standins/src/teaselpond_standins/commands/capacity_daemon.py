"""Measure one whole daemon with its upstreams."""

import asyncio

from ..capacity.points import (
    RelayPoint,
    StorePoint,
    describe_run,
    load_points,
    save_points,
)
from ..capacity.whole import WholeDaemon

IDLE_SECONDS = (15, 30)
ORDERS = (40, 80, 160)
PLANS = (8, 16, 32)
CHATS = ((32, 20), (32, 80), (32, 160), (64, 20), (64, 80))


class CapacityDaemonCommand:
    """Measure a daemon's processor time and its use of the stores."""

    name = "capacity-daemon"

    def __call__(self) -> None:
        """Measure, print and keep the points."""
        run = describe_run(self.name)
        stores, relays = asyncio.run(_measure())
        points = load_points()
        points.runs["daemon"] = run
        points.stores, points.relays = stores, relays
        save_points(points)


async def _measure() -> tuple[list[StorePoint], list[RelayPoint]]:
    async with WholeDaemon() as daemon:
        stores = [await daemon.idle(seconds) for seconds in IDLE_SECONDS]
        stores += [await daemon.orders(count) for count in ORDERS]
        stores += [await daemon.plans(count) for count in PLANS]
        relays = [await daemon.chats(count, tokens) for count, tokens in CHATS]
    for point in (*stores, *relays):
        print(point, flush=True)
    return stores, relays
