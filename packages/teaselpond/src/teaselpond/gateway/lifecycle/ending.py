"""End what still runs at the end of a planned stop, within bounds."""

import asyncio
from collections.abc import Iterable

from attrs import define

from ..drain import Phase
from ..entry import CallerRequestHandler
from ..host import GatewayHost
from ..peers import PeerExchange
from ..sending import Sender
from ..servers import HttpServer

CHECK_SECONDS = 0.1
# Heartbeats that announce a stop to all peers; some datagrams may be lost.
LEAVING_HEARTBEATS = 3
# Limits the time for the final answers of the calls that still run at the end.
FINAL_ANSWERS_SECONDS = 0.2
FINAL_ANSWERS_CHECK_SECONDS = 0.01
# A connection with bytes that its peer does not take is never closed
# otherwise: the HTTP library waits until all is sent. With 0.15 s, a busy
# machine came too close to the kernel's timer.
CLOSE_SECONDS = 0.05


@define(eq=False)
class Ending:
    """Wait for the end of a planned stop, and close what is open then."""

    host: GatewayHost
    exchange: PeerExchange
    handler: CallerRequestHandler
    servers: list[HttpServer]
    sender: Sender

    async def wait(self) -> None:
        """Wait until the process may end, or must."""
        loop = asyncio.get_running_loop()
        drain = self.host.drain
        sent_count = 0
        while True:
            now = self.host.clock()
            phase = drain.phase(now)
            if phase is Phase.ENDED and (
                drain.is_grace_over(now) or not _have_unsent_bytes(self.servers)
            ):
                return
            if phase is Phase.REFUSING:
                self.handler.end_reading(loop.time())
            if phase is not Phase.SERVING and sent_count < LEAVING_HEARTBEATS:
                self.exchange.send_heartbeats(to_all=True)
                sent_count += 1
            await asyncio.sleep(CHECK_SECONDS)

    async def end_calls(self) -> None:
        """Answer the calls that still run, and wait until that is sent."""
        host = self.host
        if not host.drain.running:
            return
        now = host.clock()
        host.journal.write("ending-calls", now, running=host.drain.running)
        self.handler.end_calls(asyncio.get_running_loop().time())
        for _ in range(round(FINAL_ANSWERS_SECONDS / FINAL_ANSWERS_CHECK_SECONDS)):
            await asyncio.sleep(FINAL_ANSWERS_CHECK_SECONDS)
            if not host.drain.running and not _have_unsent_bytes(self.servers):
                return
        # Callers that do not read get no more.
        host.journal.write("calls-cut", host.clock(), running=host.drain.running)

    async def close(self) -> None:
        """Close all connections; leave those that do not close in time."""
        self.exchange.close()
        try:
            async with asyncio.timeout(CLOSE_SECONDS):
                await asyncio.gather(
                    self.sender.close(), *(server.close() for server in self.servers)
                )
        except TimeoutError:
            self.host.journal.write("close-cut", self.host.clock())


def _have_unsent_bytes(servers: Iterable[HttpServer]) -> bool:
    return any(server.has_unsent_bytes() for server in servers)
