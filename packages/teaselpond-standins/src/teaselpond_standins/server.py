"""Serve a stand-in on loopback and simulate its outages."""

import asyncio
import contextlib
import socket

from aiohttp import web
from attrs import define, field

from teaselpond_model.contracts import Address

LOOPBACK = "127.0.0.1"
SHUTDOWN_TIMEOUT_SECONDS = 1.0
MAX_BODY_BYTES = 64 * 1024 * 1024


@define
class LoopbackServer:
    """Serve an application on a loopback port that outages don't change."""

    app: web.Application
    port: int = 0
    # Whether a client that disconnects cancels the handler of its request.
    cancels_handlers: bool = False
    _runner: web.AppRunner | None = field(default=None, init=False)
    _site: web.TCPSite | None = field(default=None, init=False)
    _end_outage_task: asyncio.Task | None = field(default=None, init=False)
    # Several may end an outage at the same time.
    _listen_lock: asyncio.Lock = field(factory=asyncio.Lock, init=False)

    @property
    def address(self) -> Address:
        """Return the address served; its port is known once started."""
        return Address(LOOPBACK, self.port)

    @property
    def base_url(self) -> str:
        """Return the URL served; its port is known once started."""
        return f"http://{self.address}"

    @property
    def is_listening(self) -> bool:
        """Return whether connections are accepted."""
        return self._site is not None

    async def start(self) -> None:
        """Listen on the port; if it is 0, on one that the system chooses."""
        self._runner = web.AppRunner(
            self.app,
            access_log=None,
            handler_cancellation=self.cancels_handlers,
            shutdown_timeout=SHUTDOWN_TIMEOUT_SECONDS,
        )
        await self._runner.setup()
        await self._listen()

    async def stop(self) -> None:
        """Stop listening and close every connection."""
        if self._end_outage_task is not None:
            self._end_outage_task.cancel()
        if self._runner is not None:
            self.abort_connections()
            await self._runner.cleanup()
        self._runner = self._site = None

    async def start_outage(self, seconds: float | None = None) -> None:
        """Refuse connections and reset the open ones.

        The outage ends after ``seconds``, or by ``end_outage`` if None.
        """
        site, self._site = self._site, None
        if site is not None:
            await site.stop()
        self.abort_connections()
        if seconds is not None:
            self._end_outage_task = asyncio.create_task(self._end_outage_after(seconds))

    async def _end_outage_after(self, seconds: float) -> None:
        await asyncio.sleep(seconds)
        await self.end_outage()

    async def end_outage(self) -> None:
        """Listen again on the same port after an outage."""
        async with self._listen_lock:
            if self._site is None:
                await self._listen()

    def abort_connections(self) -> None:
        """Reset every open connection."""
        if self._runner is None or self._runner.server is None:
            return
        for connection in list(self._runner.server.connections):
            if connection.transport is not None:
                connection.transport.abort()

    async def _listen(self) -> None:
        site = web.TCPSite(self._runner, LOOPBACK, self.port)
        await site.start()
        self._site = site
        self.port = self._runner.addresses[-1][1]


def free_ports(ip: str, count: int) -> list[int]:
    """Return distinct ports that nothing listens on."""
    with contextlib.ExitStack() as stack:
        # Each socket stays open until all ports are chosen; otherwise the
        # system could return the same port twice.
        probes = [stack.enter_context(socket.socket()) for _ in range(count)]
        for probe in probes:
            probe.bind((ip, 0))
        return [probe.getsockname()[1] for probe in probes]


def abort(request: web.Request) -> web.Response:
    """Reset a request's connection; the returned response is never sent."""
    if request.transport is not None:
        request.transport.abort()
    return web.Response()


async def send_truncated(
    request: web.Request, complete: web.Response
) -> web.StreamResponse:
    """Send the first half of a response and close its connection."""
    content = complete.body
    response = web.StreamResponse(status=complete.status, headers=complete.headers)
    response.content_length = len(content)
    await response.prepare(request)
    await response.write(content[: len(content) // 2])
    # A reset would discard data that the client has not read yet, and it
    # could not distinguish half a response from none.
    request.transport.close()
    return response


def make_app() -> web.Application:
    """Return an application that accepts bodies up to ``MAX_BODY_BYTES``."""
    return web.Application(client_max_size=MAX_BODY_BYTES)
