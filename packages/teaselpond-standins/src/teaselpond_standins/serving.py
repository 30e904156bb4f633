"""Run a stand-in as a process until it is told to stop."""

import asyncio
import json
import signal
from typing import Protocol

from attrs import frozen

from teaselpond_model.contracts import Address, Host, HostKind
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


@frozen
class Registration:
    """Say how a stand-in's host is listed by the platform, if it is at all."""

    platform_url: str
    host_id: str
    zone: str
    kind: HostKind

    async def register(self, address: Address) -> None:
        """Tell the platform of the host; raise StoreUnavailable."""
        if not self.platform_url:
            return
        host = Host(self.host_id, address, self.zone, self.kind)
        async with Platform.open(self.platform_url) as platform:
            await platform.hosts.register(host)


async def serve(standin: Standin, registration: Registration | None = None) -> None:
    """Serve until SIGTERM or SIGINT, after one JSON line with the address."""
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    await standin.start()
    try:
        if registration is not None:
            await registration.register(standin.address)
        print(json.dumps({"listening": str(standin.address)}), flush=True)
        await stopped.wait()
    finally:
        await standin.stop()
