"""Drop, silence and abuse the connections towards upstreams."""

import asyncio

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from teaselpond.exceptions import (
    TeaselpondError,
    UpstreamBroken,
    UpstreamCrossed,
    UpstreamSilent,
    UpstreamUnavailable,
)
from teaselpond.upstreams import UpstreamClient
from teaselpond.upstreams.connections import check_header, check_path
from teaselpond_model.contracts import Address
from teaselpond_standins.service import ServiceFaultKind, ServiceStandin
from teaselpond_standins.testing import AsyncTestCase

S = ServiceFaultKind


class UpstreamClientTests(AsyncTestCase):
    """Check that a request is sent once and its connection kept clean."""

    async def fetch(self, client, service, method="GET", name="r", **headers):
        return await client.fetch(
            service.address, method, "/x", request_id=name, headers_by_name=headers
        )

    async def test_dropped_kept_connection_is_not_sent_again(self) -> None:
        """Report a drop for every method, and leave the retry to others."""
        for method in ("GET", "PUT", "DELETE", "POST"):
            async with ServiceStandin() as service, UpstreamClient() as client:
                await self.fetch(client, service, name="first")
                service.add_fault(S.DROP_REUSED, count=-1)
                error = await self._error(self.fetch(client, service, method))
                self.assertIsInstance(error, UpstreamBroken)
                self.assertEqual(1, service.received_by_key["r"])

    async def test_errors(self) -> None:
        """Tell what was not sent from what may have been."""
        for kind, wanted in (
            (S.CROSS, UpstreamCrossed),
            (S.HALF, UpstreamBroken),
            (S.SILENCE, UpstreamSilent),
            (S.RUN_THEN_DROP, UpstreamBroken),
        ):
            async with ServiceStandin() as service:
                async with UpstreamClient(idle_seconds=0.2) as client:
                    service.add_fault(kind)
                    error = await self._error(self.fetch(client, service))
                    self.assertIs(wanted, type(error))
        async with ServiceStandin() as service, UpstreamClient() as client:
            await service.server.go_down()
            error = await self._error(self.fetch(client, service))
            self.assertIs(UpstreamUnavailable, type(error))

    async def test_timed_out_connection_is_not_used_again(self) -> None:
        """Give a late answer to nobody."""
        async with ServiceStandin() as service:
            async with UpstreamClient(idle_seconds=0.2) as client:
                service.add_fault(S.LATE, seconds=0.3)
                error = await self._error(self.fetch(client, service, name="late"))
                self.assertIsInstance(error, UpstreamSilent)
                for number in range(5):
                    answer = await self.fetch(client, service, name=f"r{number}")
                    self.assertIn(b"r%d" % number, answer.body)
                    await asyncio.sleep(0.05)

    async def test_cancelled_connection_is_not_used_again(self) -> None:
        """Close the connection of a cancelled call."""
        async with ServiceStandin(work_seconds=0.1) as service:
            async with UpstreamClient() as client:
                calls = [
                    asyncio.create_task(self.fetch(client, service, name=f"c{number}"))
                    for number in range(10)
                ]
                await self.wait_until(lambda: len(service.received_by_key) == 10)
                for call in calls[::2]:
                    call.cancel()
                answers = await asyncio.gather(*calls, return_exceptions=True)
                for number, answer in list(enumerate(answers))[1::2]:
                    self.assertIn(b"c%d" % number, answer.body)

    async def test_redirect_is_not_followed(self) -> None:
        """Treat a redirect as an answer."""
        async with ServiceStandin() as service, UpstreamClient() as client:
            service.add_fault(S.REDIRECT)
            answer = await client.fetch(
                service.address, "POST", "/x", request_id="r", check_id=False
            )
            self.assertEqual((307, 0), (answer.status, service.runs_by_key.total()))

    async def test_answer_is_bounded(self) -> None:
        """Refuse an answer that is larger than the set size."""
        async with ServiceStandin() as service:
            async with UpstreamClient(max_answer_bytes=1000) as client:
                call = client.fetch(
                    service.address, "POST", "/x", request_id="r", body=b"x" * 5000
                )
                self.assertIsInstance(await self._error(call), UpstreamBroken)

    async def test_unreachable_address(self) -> None:
        """Give up on a connection that isn't made in time."""
        server = await asyncio.start_server(lambda *_: None, "127.0.0.1", 0, backlog=0)
        address = Address(*server.sockets[0].getsockname())
        server.close()
        await server.wait_closed()
        async with UpstreamClient(connect_seconds=0.2) as client:
            call = client.fetch(address, "GET", "/", request_id="r")
            self.assertIsInstance(await self._error(call), UpstreamUnavailable)

    async def _error(self, awaitable) -> TeaselpondError:
        try:
            answer = await awaitable
        except TeaselpondError as error:
            return error
        return self.fail(f"answered: {answer}")


class InjectionTests(testtools.TestCase):
    """Check that no header or path can split a message."""

    @settings(derandomize=True, max_examples=500)
    @given(st.text(max_size=30), st.text(max_size=30))
    def test_headers(self, name: str, value: str) -> None:
        """Let through only what stays one header line."""
        try:
            check_header(name, value)
        except ValueError:
            return
        line = f"{name}: {value}"
        self.assertEqual([line], line.splitlines())
        self.assertEqual(name, line.partition(":")[0])

    @settings(derandomize=True, max_examples=500)
    @given(st.text(max_size=30))
    def test_paths(self, text: str) -> None:
        """Let through only what stays the target of one request line."""
        try:
            check_path("/" + text)
        except ValueError:
            return
        self.assertEqual(2, len(f"GET /{text}".split()))
        self.assertFalse(text.startswith("/"))

    def test_framing_headers(self) -> None:
        """Let no caller frame the upstream's message."""
        for name in ("Transfer-Encoding", "content-length", "HOST", "Connection"):
            with testtools.ExpectedException(ValueError):
                check_header(name, "1")
