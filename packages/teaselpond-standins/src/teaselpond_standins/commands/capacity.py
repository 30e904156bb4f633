"""Measure the control traffic for the capacity page."""

import asyncio

from ..capacity.fleet import ControlFleet, ControlPoint
from ..capacity.node import Load
from ..capacity.points import describe_run, load_points, save_points

FLEET_SIZES = (3, 7, 14, 28)
GRANT_RATES = (0.0, 5.0, 15.0, 47.0)
SETTLE_SECONDS = 30.0


class CapacityCommand:
    """Measure control traffic and processor time, and store the points.

    Each daemon's control parts run in a separate process with real sockets;
    remote grants are requested from a random other daemon.
    """

    name = "capacity"

    def __call__(
        self, sizes: tuple[int, ...] = FLEET_SIZES, seconds: float = 15.0
    ) -> None:
        """Measure fleets of these sizes, for ``seconds`` under each load."""
        run = describe_run("capacity")
        control = asyncio.run(_measure_fleets(tuple(sizes), seconds))
        points = load_points()
        points.runs["control"] = run
        points.control = control
        save_points(points)


async def _measure_fleets(sizes: tuple[int, ...], seconds: float) -> list[ControlPoint]:
    loads = [Load(seconds, True, rate) for rate in GRANT_RATES]
    points = []
    for size in sizes:
        async with ControlFleet(size) as fleet:
            points.append(await fleet.measure(Load(seconds, False, 0.0)))
            # Wait until duplicate paths of the owners' sums are pruned.
            await fleet.measure(Load(SETTLE_SECONDS, True, 0.0))
            for load in loads:
                points.append(await fleet.measure(load))
        for point in points[-1 - len(loads) :]:
            _print_point(point)
    return points


def _print_point(point: ControlPoint) -> None:
    print(
        f"{point.daemons:3} daemons, loads {point.tells_loads!s:5}, "
        f"{point.grants_per_second:5.1f} grants/s: "
        f"{point.bytes_per_second:9.0f} B/s, "
        f"{100 * point.processor_share:6.3f}% of a core, "
        f"{point.lasting_links:5.2f} lasting links",
        flush=True,
    )
