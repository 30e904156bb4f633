"""Run one router daemon from its start to its planned stop."""

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

QUARANTINE_REFRESH_INTERVAL_SECONDS = 5.0
UNFINISHED_EXIT_CODE = 3


class Daemon:
    """Start the daemon's parts, serve, and stop.

    ``incarnation`` is the start time in milliseconds and tells the runs of a
    daemon apart.
    """

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
        """Run until SIGTERM or SIGINT, then let running requests finish.

        Exit with UNFINISHED_EXIT_CODE if some did not finish in time.
        """
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, self.request_stop)
        finished = await self.serve()
        if not finished:
            sys.exit(UNFINISHED_EXIT_CODE)

    def request_stop(self) -> None:
        """Start the planned stop."""
        self._stop_requested.set()

    async def serve(self) -> bool:
        """Serve until asked to stop; return whether all requests ended."""
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
        parts.links.events.subscribe(self._stop_if_superseded)
        self._report_start(parts)
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

    def _stop_if_superseded(self, event: object) -> None:
        # A newer run of this daemon uses the same id, so this one must stop.
        if isinstance(event, Superseded):
            log_event("superseded", step="links", known=event.known_incarnation)
            self.request_stop()

    def _report_start(self, parts: DaemonParts) -> None:
        addresses = {
            "listening": str(parts.caller_address),
            "peers": str(parts.links.identity.address),
        }
        print(json.dumps(addresses), flush=True)
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
                    f"the quarantine could not be refreshed: {error}",
                    level=logging.WARNING,
                    step=error.step,
                )
            await asyncio.sleep(QUARANTINE_REFRESH_INTERVAL_SECONDS)

    async def _stop(self, parts: DaemonParts) -> bool:
        log_event("stopping", step="stop", requests=parts.drain.active)
        parts.drain.start(time.monotonic())
        await parts.membership.leave()
        finished = await parts.drain.run(
            parts.jobs.release_running, parts.ledger.drain, parts.relay.drain
        )
        log_event("stopped", step="stop", finished=finished)
        return finished
