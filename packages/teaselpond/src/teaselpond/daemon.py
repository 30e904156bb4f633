"""Run one router daemon until it is told to stop."""

import asyncio
import json
import signal
import sys
import time

from absl import logging

from teaselpond_model.exceptions import StoreUnavailable
from teaselpond_model.platform import Platform

from .assembly.parts import DaemonParts
from .links import Superseded
from .logs import log_event
from .metrics import Metrics
from .settings import Settings, parse_address
from .upstreams import UpstreamClient

QUARANTINE_REFRESH_SECONDS = 5.0
OVERDUE_EXIT_CODE = 3


class Daemon:
    """Start the parts in order, serve, and stop them in reverse."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.incarnation = int(time.time() * 1000)
        self.metrics = Metrics(
            parse_address(settings, "statsd") if settings.statsd else None
        )
        self.started = asyncio.Event()
        self.parts: DaemonParts | None = None
        self._stop_requested = asyncio.Event()

    async def run(self) -> None:
        """Run until SIGTERM or SIGINT, then stop without cutting a request."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.request_stop)
        finished = await self.serve()
        if not finished:
            sys.exit(OVERDUE_EXIT_CODE)

    def request_stop(self) -> None:
        """Begin the planned stop."""
        self._stop_requested.set()

    async def serve(self) -> bool:
        """Serve until a stop is requested; tell whether all requests ended."""
        platform = Platform.open(
            self.settings.platform, self.settings.platform_timeout_seconds
        )
        async with (
            platform,
            UpstreamClient() as client,
            UpstreamClient(reuse=False) as single_use_client,
        ):
            self.parts = DaemonParts(
                self.settings,
                self.incarnation,
                self.metrics,
                platform,
                client,
                single_use_client,
            )
            try:
                await self.parts.start()
                return await self._serve_until_stopped(self.parts)
            finally:
                await self.parts.stop()

    async def _serve_until_stopped(self, parts: DaemonParts) -> bool:
        background = asyncio.create_task(self._run_background(parts))
        stop = asyncio.create_task(self._stop_requested.wait())
        parts.links.events.subscribe(self._follow_link_event)
        self._announce(parts)
        self.started.set()
        try:
            await asyncio.wait((background, stop), return_when=asyncio.FIRST_COMPLETED)
            if background.done():
                background.result()
            return await self._stop(parts)
        finally:
            for task in (background, stop):
                task.cancel()
            await asyncio.gather(background, stop, return_exceptions=True)

    def _follow_link_event(self, event: object) -> None:
        # Another run of this daemon serves under its name.
        if isinstance(event, Superseded):
            log_event("superseded", step="links", known=event.known_incarnation)
            self.request_stop()

    def _announce(self, parts: DaemonParts) -> None:
        line = {
            "listening": str(parts.caller_address),
            "peers": str(parts.links.identity.address),
        }
        print(json.dumps(line), flush=True)
        log_event("started", step="start", settings=self.settings.public())

    async def _run_background(self, parts: DaemonParts) -> None:
        async with asyncio.TaskGroup() as group:
            group.create_task(parts.keeper.run())
            group.create_task(parts.broker.run())
            group.create_task(parts.pauses.run())
            group.create_task(parts.load_sums.run())
            group.create_task(parts.leases.run())
            group.create_task(parts.orders.run())
            group.create_task(parts.jobs.run_forever())
            group.create_task(parts.sweeper.run_forever())
            group.create_task(self._refresh_quarantine(parts))

    async def _refresh_quarantine(self, parts: DaemonParts) -> None:
        while True:
            try:
                await parts.quarantine.refresh()
                await parts.quarantine.expire(time.time())
            except StoreUnavailable as error:
                log_event(
                    f"quarantine not read: {error}",
                    level=logging.WARNING,
                    step=error.step,
                )
            await asyncio.sleep(QUARANTINE_REFRESH_SECONDS)

    async def _stop(self, parts: DaemonParts) -> bool:
        log_event("stopping", step="stop", requests=parts.drain.active)
        parts.drain.start(time.monotonic())
        await parts.membership.leave()
        finished = await parts.drain.run(
            parts.jobs.release_running, parts.ledger.drain, parts.relay.drain
        )
        log_event("stopped", step="stop", finished=finished)
        return finished
