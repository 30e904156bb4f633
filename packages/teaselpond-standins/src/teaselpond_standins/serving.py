"""Run a stand-in as a process until it is told to stop."""

import asyncio
import json
import signal
from typing import Protocol

from teaselpond_model.contracts import Address, Host
from teaselpond_model.platform import Platform


class Standin(Protocol):
    """Describe what can be served as a process."""

    @property
    def address(self) -> Address:
        """Return the address served, once started."""

    async def start(self) -> None:
        """Listen."""

    async def stop(self) -> None:
        """Stop listening and end every connection."""


async def serve(standin: Standin) -> None:
    """Serve until SIGTERM or SIGINT, after one JSON line with the address."""
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    await standin.start()
    try:
        print(json.dumps({"listening": str(standin.address)}), flush=True)
        await stopped.wait()
    finally:
        await standin.stop()


async def register(platform_url: str, host: Host) -> None:
    """Tell the platform of a host; raise StoreUnavailable."""
    async with Platform.open(platform_url) as platform:
        await platform.hosts.register(host)
