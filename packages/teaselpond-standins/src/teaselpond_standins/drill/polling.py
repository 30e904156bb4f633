"""Poll the state that each daemon reports during a drill."""

import asyncio
import time

import aiohttp

from ..fleet import Fleet
from .records import DrillRecords, OwnerView, VersionSeen

POLL_INTERVAL_SECONDS = 0.5
REQUEST_TIMEOUT_SECONDS = 1.0


async def poll_daemons(
    fleet: Fleet, session: aiohttp.ClientSession, records: DrillRecords
) -> None:
    """Record the state of every running daemon until cancelled."""
    while True:
        daemons = dict(fleet.daemons_by_id)
        await asyncio.gather(
            *(
                _poll_daemon(daemon_id, daemon.url, session, records)
                for daemon_id, daemon in daemons.items()
                if daemon.running
            )
        )
        await asyncio.sleep(POLL_INTERVAL_SECONDS)


async def _poll_daemon(
    daemon_id: str, url: str, session: aiohttp.ClientSession, records: DrillRecords
) -> None:
    timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_SECONDS)
    # A daemon that was paused may answer late, with a state as old as the
    # request.
    asked = time.time()
    try:
        async with session.get(f"{url}/readyz", timeout=timeout) as response:
            ready = response.status == 200
        async with session.get(f"{url}/ops/status", timeout=timeout) as response:
            status = await response.json()
    except (aiohttp.ClientError, TimeoutError, ValueError):
        return
    records.versions_seen.append(
        VersionSeen(
            time=asked,
            daemon_id=daemon_id,
            incarnation=str(status["incarnation"]),
            version=status["config_version"],
            ready=ready,
        )
    )
    for engine in status["engines"]:
        records.owner_views.append(
            OwnerView(
                time=asked,
                daemon_id=daemon_id,
                engine_id=engine["engine_id"],
                in_flight=engine["in_flight"],
                limit=engine["limit"],
                takes_work=engine["takes_work"],
                queued=engine["queued"],
            )
        )
