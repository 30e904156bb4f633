"""Stop gateway processes as planned while callers use their connections."""

import asyncio
import signal
import time

from attrs import frozen

from teaselpond_standins.platform.operator import HOST, KEY, wire_configuration
from teaselpond_standins.soak.site import GRACE_SECONDS, SoakPlan, SoakSite
from teaselpond_standins.testing import AsyncTestCase

PLAN = SoakPlan(gateways=2, model_engines=1, plain_engines=2, callers=0)
START_SECONDS = 20.0
DEADLINE_MS = 15_000
ROUTE_TIMEOUT_MS = 20_000
BODY = b"asked" * 100
# Of the rule on planned stops: requests that were sent later than this after
# the signal must be answered whatever their upstream does.
EXCUSED_SECONDS = 3.0
# More than the kernel buffers of a connection hold.
LARGE_BODY_BYTES = 12_000_000


@frozen
class Ending:
    """Describe how a request's connection ended.

    ``status`` is None if no head of an answer came. ``is_whole`` tells whether
    the answer has its whole length.
    """

    status: int | None
    is_whole: bool
    seconds: float


async def read_ending(reader: asyncio.StreamReader, started_at: float) -> Ending:
    """Read an answer to its end."""

    def end(status: int | None, *, is_whole: bool) -> Ending:
        return Ending(status, is_whole, time.monotonic() - started_at)

    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return end(None, is_whole=False)
    status = int(head.split()[1])
    lines = head.decode().lower().split("\r\n")
    lengths = [line.split(":")[1] for line in lines if line.startswith("content-len")]
    try:
        if lengths:
            await reader.readexactly(int(lengths[0]))
        else:
            await reader.readuntil(b"\r\n0\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return end(status, is_whole=False)
    return end(status, is_whole=True)


class StoppedGatewaysTests(AsyncTestCase):
    """Send SIGTERM to one of two gateways."""

    async def start(self, work_seconds: float) -> SoakSite:
        """Start a site whose plain upstreams work for some seconds."""
        configuration = wire_configuration()
        for route in configuration["Routes"]:
            route["TimeoutMs"] = ROUTE_TIMEOUT_MS
        site = await self.enter(SoakSite(PLAN, configuration))
        self.assertEqual([], await site.wait_until_ready(START_SECONDS))
        for engine in site.engines_by_id.values():
            engine.upstream.work_seconds = work_seconds
        return site

    async def send(
        self,
        site: SoakSite,
        request_id: str,
        path: str,
        *,
        body_at: float = 0.0,
        limit: int = 2**16,
        read_at: float = 0.0,
    ) -> Ending:
        """Send a request whose body follows ``body_at`` seconds later.

        Read the answer from ``read_at`` seconds on.
        """
        ip, port = site.get_entry_address(site.gateways[0]).split(":")
        reader, writer = await asyncio.open_connection(ip, int(port), limit=limit)
        started_at = time.monotonic()
        head = [
            f"POST {path} HTTP/1.1",
            f"Host: {HOST}",
            f"X-Teaselpond-Attempt-Id: {request_id}",
            f"X-Teaselpond-Deadline-Ms: {DEADLINE_MS}",
            f"Authorization: Bearer {KEY}",
            f"Content-Length: {len(BODY)}",
        ]
        writer.write("\r\n".join([*head, "", ""]).encode() + BODY[:1])

        async def send_rest() -> None:
            await asyncio.sleep(body_at)
            writer.write(BODY[1:])

        sending = asyncio.create_task(send_rest())
        await asyncio.sleep(read_at)
        try:
            return await read_ending(reader, started_at)
        finally:
            sending.cancel()
            writer.close()

    async def stop(self, site: SoakSite) -> float:
        """Send the signal; return how long the process ran after it."""
        started_at = time.monotonic()
        process = site.gateways[0].process
        process.send_signal(signal.SIGTERM)
        self.assertEqual(0, await process.wait(GRACE_SECONDS))
        return time.monotonic() - started_at

    def count_runs(self, site: SoakSite, request_id: str) -> int:
        """Return how often a request ran."""
        return sum(
            each.upstream.runs_by_id[request_id] for each in site.engines_by_id.values()
        )

    async def test_bodies_that_are_complete_late_in_the_grace(self) -> None:
        """They are not passed on, and their callers hear it at once."""
        site = await self.start(work_seconds=5.0)
        times = (1.5, 2.5, 3.2, 4.0)
        calls = [
            asyncio.create_task(
                self.send(site, f"order-{each}", "/orders/x", body_at=each + 0.2)
            )
            for each in times
        ]
        await asyncio.sleep(0.2)
        await self.stop(site)
        for each, call in zip(times, calls, strict=True):
            ending = await call
            self.assertIsNotNone(ending.status, f"no answer to the body of {each} s")
            if each < EXCUSED_SECONDS:
                continue
            self.assertEqual((503, True), (ending.status, ending.is_whole))
            self.assertLess(ending.seconds, EXCUSED_SECONDS + 1)
            self.assertEqual(0, self.count_runs(site, f"order-{each}"))

    async def test_calls_that_run_at_the_end_of_the_grace(self) -> None:
        """They get a final answer, which does not promise that none ran."""
        site = await self.start(work_seconds=12.0)
        calls = [
            asyncio.create_task(self.send(site, f"id-{number}", path))
            for number, path in enumerate(("/orders/x", "/stock/x", "/orders/y"))
        ]
        await asyncio.sleep(0.5)
        self.assertLess(await self.stop(site), GRACE_SECONDS)
        self.assertEqual([502] * 3, [(await call).status for call in calls])

    async def test_answer_to_a_slow_reader(self) -> None:
        """A long answer is sent to its end while the grace lasts."""
        site = await self.start(work_seconds=0.2)
        for engine in site.engines_by_id.values():
            engine.upstream.answer_bytes = LARGE_BODY_BYTES
        call = asyncio.create_task(
            self.send(site, "long", "/orders/x", limit=2**10, read_at=5.5)
        )
        await asyncio.sleep(0.1)
        await self.stop(site)
        ending = await call
        self.assertEqual((200, True), (ending.status, ending.is_whole))
