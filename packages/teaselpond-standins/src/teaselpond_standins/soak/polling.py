"""Poll paths of a site whose upstreams are away for a while."""

import asyncio
import time
from collections import defaultdict

from attrs import define, field

from .crashing import CrashingSite
from .site import SoakEngine

POLL_GAP_SECONDS = 0.2


@define(eq=False)
class PolledSite:
    """Send sound requests again and again, and keep their answers.

    ``answers_by_path`` holds when each request was sent and the status of its
    answer, None if it was cut.
    """

    crashing: CrashingSite
    answers_by_path: defaultdict[str, list[tuple[float, int | None]]] = field(
        factory=lambda: defaultdict(list)
    )

    async def poll(self, path: str, seconds: float) -> None:
        """Send a request for a path to the gateways in turn."""
        end = time.monotonic() + seconds
        async with asyncio.TaskGroup() as tasks:
            while time.monotonic() < end:
                tasks.create_task(self._send(path))
                await asyncio.sleep(POLL_GAP_SECONDS)

    async def _send(self, path: str) -> None:
        sent_at = time.monotonic()
        status = await self.crashing.send(path, None)
        self.answers_by_path[path].append((sent_at, status))

    def unserved_since(self, since: float) -> dict[str, list[int | None]]:
        """Return the failed requests that were sent after a time, by path."""
        failed_by_path = {
            path: [status for at, status in answers if at >= since and status != 200]
            for path, answers in self.answers_by_path.items()
        }
        return {path: failed for path, failed in failed_by_path.items() if failed}


async def take_away(engine: SoakEngine, seconds: float) -> None:
    """Stop an upstream for some time; the path to it accepts connections.

    It resets them, as nothing answers behind it. The entry in the store stays.
    """
    await engine.upstream.server.start_outage()
    engine.proxy.reset()
    await asyncio.sleep(seconds)
    await engine.upstream.server.end_outage()
