"""Accept connections up to a limit."""

import asyncio
import contextlib
import socket
from collections import Counter
from collections.abc import Awaitable, Callable
from typing import Any

from aiohttp.web_server import Server
from attrs import define, field

from .connections import ConnectionHooks, InboundConnection
from .seats import Seat, choose_ended

# How often a connection that waits for another one to end asks again.
ASK_AGAIN_SECONDS = 0.1
# Accepted connections without a place, as a part of the limit.
PENDING_PART = 8
MIN_PENDING = 4
# One that finds no place in this time is closed if others wait behind it and
# its address has further connections.
PENDING_SECONDS = 0.5


class InboundServer(Server):
    """Make the connections of one port."""

    def __init__(self, hooks: ConnectionHooks, *args: Any, **options: Any) -> None:
        super().__init__(*args, **options)
        self.hooks = hooks

    def __call__(self) -> InboundConnection:
        """Return the protocol of a new connection."""
        return InboundConnection(self.hooks, self, loop=self._loop, **self._kwargs)


@define(eq=False)
class Pending:
    """Hold an accepted socket that has no place yet."""

    socket: socket.socket
    ip: str
    since: float


@define(eq=False)
class Acceptor:
    """Accept connections on a listener while the limit allows.

    A few more are accepted without a place, since their addresses tell which
    of them may have that of another connection. The others wait in the
    system's queue.
    """

    server: InboundServer
    listener: socket.socket
    limit: int
    _pending: list[Pending] = field(factory=list)
    _freed: asyncio.Event = field(factory=asyncio.Event)
    _tasks: list[asyncio.Task] = field(factory=list)
    _opening: set[asyncio.Task] = field(factory=set)

    def start(self) -> None:
        """Start to accept."""
        self.server.hooks.freed = self._freed.set
        self._tasks = [
            asyncio.create_task(self._keep_running(self._accept)),
            asyncio.create_task(self._keep_running(self._give_places)),
        ]

    def close(self) -> None:
        """Stop accepting, and close the listener."""
        asyncio.get_running_loop().remove_reader(self.listener)
        for task in self._tasks:
            task.cancel()
        for pending in self._pending:
            pending.socket.close()
        self.listener.close()

    @property
    def _connections(self) -> dict[Seat, InboundConnection]:
        return self.server.hooks.connections_by_seat

    @property
    def _has_place(self) -> bool:
        return len(self._connections) + len(self._opening) < self.limit

    async def _keep_running(self, step: Callable[[], Awaitable[None]]) -> None:
        """Run a step again and again, also after errors.

        Without descriptors, accepting fails until one is free.
        """
        while True:
            try:
                await step()
            except Exception as error:
                self.server.hooks.report("connection", type(error).__name__, "")
                await asyncio.sleep(ASK_AGAIN_SECONDS)

    async def _accept(self) -> None:
        if len(self._pending) >= get_pending_limit(self.limit):
            await asyncio.sleep(ASK_AGAIN_SECONDS)
            return
        loop = asyncio.get_running_loop()
        accepted, address = await loop.sock_accept(self.listener)
        if self._pending or not self._has_place:
            self._pending.append(Pending(accepted, address[0], loop.time()))
            self._freed.set()
        else:
            self._open(accepted)

    def _open(self, accepted: socket.socket) -> None:
        task = asyncio.create_task(self._connect(accepted))
        self._opening.add(task)
        task.add_done_callback(self._opening.discard)

    async def _connect(self, accepted: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        try:
            await loop.connect_accepted_socket(self.server, accepted)
        except OSError:
            # The caller closed the connection already.
            accepted.close()

    async def _give_places(self) -> None:
        """Give places to accepted connections as others end."""
        timeout = ASK_AGAIN_SECONDS if self._pending else None
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout):
                await self._freed.wait()
        self._freed.clear()
        while self._pending and self._has_place:
            pending = self._choose_pending()
            self._pending.remove(pending)
            self._open(pending.socket)
        if self._pending:
            self._end_others()
            self._drop_pending()

    def _choose_pending(self) -> Pending:
        """Return the one whose address has the fewest connections."""
        counts = Counter(seat.ip for seat in self._connections)
        return min(self._pending, key=lambda each: (counts[each.ip], each.since))

    def _end_others(self) -> None:
        hooks = self.server.hooks
        now = asyncio.get_running_loop().time()
        seats = [each.update_seat() for each in self._connections.values()]
        resumed_at = hooks.gate.pauses.resumed_at(now)
        ip = self._choose_pending().ip
        missing = len(self._pending) - sum(seat.is_ending for seat in seats)
        for _ in range(missing):
            ended = choose_ended(seats, ip, now, resumed_at, hooks.get_idle_seconds())
            if ended is None:
                return
            ended.is_ending = True
            self._connections[ended].end_for_other()

    def _drop_pending(self) -> None:
        """Close those that have waited in vain, so that others are accepted.

        Only those are closed whose addresses have further connections; closing
        others would help nobody with fewer. A pause of the process does not
        count as waiting.
        """
        if len(self._pending) < get_pending_limit(self.limit):
            return
        hooks = self.server.hooks
        now = asyncio.get_running_loop().time()
        resumed_at = hooks.gate.pauses.resumed_at(now)
        counts = Counter(seat.ip for seat in self._connections)
        counts.update(each.ip for each in self._pending)
        for pending in sorted(self._pending, key=lambda each: -counts[each.ip]):
            seconds = now - max(pending.since, resumed_at)
            if seconds >= PENDING_SECONDS and counts[pending.ip] > 1:
                counts[pending.ip] -= 1
                self._pending.remove(pending)
                pending.socket.close()
                hooks.report("connection", "no-connection", pending.ip)


def get_pending_limit(limit: int) -> int:
    """Return how many connections may be accepted beyond the limit."""
    return max(MIN_PENDING, limit // PENDING_PART)
