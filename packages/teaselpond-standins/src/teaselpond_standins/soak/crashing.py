"""Send requests that crash their upstreams to the gateways of a site."""

import asyncio
import time
from collections.abc import Awaitable, Callable, Mapping

import aiohttp
from attrs import define, field

from ..service import PREFIX_HASH, SeenCall
from .single_calls import send_call
from .site import SoakEngine, SoakSite

MARKER = b"crashes"
GAP_SECONDS = 0.4
PLAY_SECONDS = 14.0
DOWN_SECONDS = 0.6
CONTACT_SECONDS = 3.0


@define(eq=False)
class CrashingSite:
    """Run gateways before upstreams that a marked request crashes.

    Each of the upstreams starts again under its id soon afterwards. The
    marker is part of a request's target or body, or is the id of a part of
    its prompt. ``crashes_allowed`` is how many crashes may come before such
    requests must be kept away. While ``keeps_entries`` is set, an upstream
    that starts again does not write its entry anew.
    """

    site: SoakSite
    session: aiohttp.ClientSession
    is_silent: bool = False
    crashes_allowed: int = 3
    keeps_entries: bool = False
    down_seconds: float = DOWN_SECONDS
    crashed_at: list[float] = field(factory=list)
    _restarting: set[asyncio.Task] = field(factory=set)
    _number: int = 0

    def prepare(self) -> None:
        """Make all upstreams crash when a marked request runs."""
        for engine in self.site.engines_by_id.values():
            engine.upstream.crash_marker = MARKER
            engine.upstream.crash = self._make_crash(engine)

    def _make_crash(self, engine: SoakEngine) -> Callable[[], Awaitable[None]]:
        async def crash() -> None:
            self.crashed_at.append(time.monotonic())
            if self.is_silent:
                # What was sent to it is never answered, nor is it refused.
                await asyncio.Event().wait()
            restart = asyncio.create_task(self._restart(engine))
            self._restarting.add(restart)
            restart.add_done_callback(self._restarting.discard)

        return crash

    async def _restart(self, engine: SoakEngine) -> None:
        await engine.upstream.server.start_outage()
        engine.proxy.reset()
        await asyncio.sleep(self.down_seconds)
        await engine.upstream.server.end_outage()
        engine.incarnation += 1
        if not self.keeps_entries:
            await self.site.list_engine(engine)

    async def __aenter__(self) -> "CrashingSite":
        return self

    async def __aexit__(self, *exception: object) -> None:
        for task in self._restarting:
            task.cancel()
        await asyncio.gather(*self._restarting, return_exceptions=True)

    async def send(
        self,
        path: str,
        body: bytes | None,
        headers: Mapping[str, str] | None = None,
    ) -> int | None:
        """Send a request to the next gateway; return the answer's status."""
        self._number += 1
        gateways = self.site.gateways
        gateway = gateways[self._number % len(gateways)]
        address = self.site.get_entry_address(gateway)
        request_id = f"id-{self._number}"
        return await send_call(
            self.session, address, path, request_id, body=body, headers=headers
        )

    async def send_repeatedly(
        self,
        path: str,
        body: bytes | None,
        *,
        gap_seconds: float = GAP_SECONDS,
        gateways_at_once: int = 1,
        has_other_queries: bool = False,
    ) -> None:
        """Send the same request again and again for the time of a play.

        Each time it goes to some gateways at once. It gets another query each
        time if ``has_other_queries`` is set.
        """
        end = time.monotonic() + PLAY_SECONDS
        async with asyncio.TaskGroup() as tasks:
            while time.monotonic() < end:
                for _ in range(gateways_at_once):
                    target = path
                    if has_other_queries:
                        target += f"?page={self._number}&sort=new"
                    tasks.create_task(self.send(target, body))
                    await asyncio.sleep(0)
                await asyncio.sleep(gap_seconds)

    def late_calls(self) -> list[float]:
        """Return when marked requests reached upstreams after the bound."""
        if len(self.crashed_at) < self.crashes_allowed:
            return []
        bound = sorted(self.crashed_at)[self.crashes_allowed - 1] + CONTACT_SECONDS
        return [
            call.at - bound
            for engine in self.site.engines_by_id.values()
            for call in engine.upstream.seen_calls
            if call.at > bound and _is_marked(call)
        ]


def _is_marked(call: SeenCall) -> bool:
    parts = call.headers.get(PREFIX_HASH, "")
    return MARKER in b" ".join((call.target.encode(), call.body, parts.encode()))
