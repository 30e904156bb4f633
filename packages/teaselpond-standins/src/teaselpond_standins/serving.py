"""Run a stand-in as a process until it receives SIGTERM or SIGINT."""

import asyncio
import json
import signal
from typing import Protocol

from attrs import frozen

from teaselpond_model.contracts import Address, Host, HostKind
from teaselpond_model.platform import Platform


class Standin(Protocol):
    """Define the interface of a server that can run as a process."""

    @property
    def address(self) -> Address:
        """Return the address served; its port is known once started."""

    async def start(self) -> None:
        """Start listening."""

    async def stop(self) -> None:
        """Stop listening and close every connection."""


@frozen
class Registration:
    """Describe a stand-in's host for the platform's host list.

    An empty ``platform_url`` means that the host isn't registered.
    """

    platform_url: str
    host_id: str
    zone: str
    kind: HostKind

    async def register(self, address: Address) -> None:
        """Register the host with the platform; raise StoreUnavailable."""
        if not self.platform_url:
            return
        host = Host(self.host_id, address, self.zone, self.kind)
        async with Platform.open(self.platform_url) as platform:
            await platform.hosts.register(host)


async def serve(standin: Standin, registration: Registration | None = None) -> None:
    """Print the address as a JSON line and serve until SIGTERM or SIGINT."""
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    await standin.start()
    try:
        if registration is not None:
            await registration.register(standin.address)
        print(json.dumps({"listening": str(standin.address)}), flush=True)
        await stop_requested.wait()
    finally:
        await standin.stop()
