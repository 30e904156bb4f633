"""Test requests to upstreams whose connections fail or misbehave."""

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

Fault = ServiceFaultKind


class UpstreamClientTests(AsyncTestCase):
    """Check that a request is sent once and no connection mixes up answers."""

    async def fetch(self, client, service, method="GET", name="r", **headers):
        return await client.fetch(
            service.address, method, "/x", request_id=name, headers_by_name=headers
        )

    async def test_request_on_dropped_connection_is_not_sent_again(self) -> None:
        """Raise UpstreamBroken for every method instead of sending again."""
        for method in ("GET", "PUT", "DELETE", "POST"):
            async with ServiceStandin() as service, UpstreamClient() as client:
                await self.fetch(client, service, name="first")
                service.add_fault(Fault.DROP_REUSED, count=-1)
                error = await self._error(self.fetch(client, service, method))
                self.assertIsInstance(error, UpstreamBroken)
                self.assertEqual(1, service.received_by_key["r"])

    async def test_error_types(self) -> None:
        """Distinguish unsent requests from those that may have been sent."""
        for kind, expected in (
            (Fault.CROSS, UpstreamCrossed),
            (Fault.HALF, UpstreamBroken),
            (Fault.SILENCE, UpstreamSilent),
            (Fault.RUN_THEN_DROP, UpstreamBroken),
        ):
            async with ServiceStandin() as service:
                async with UpstreamClient(idle_seconds=0.2) as client:
                    service.add_fault(kind)
                    error = await self._error(self.fetch(client, service))
                    self.assertIs(expected, type(error))
        async with ServiceStandin() as service, UpstreamClient() as client:
            await service.server.start_outage()
            error = await self._error(self.fetch(client, service))
            self.assertIs(UpstreamUnavailable, type(error))

    async def test_timed_out_connection_is_not_used_again(self) -> None:
        """Discard an answer that arrives after its request timed out."""
        async with ServiceStandin() as service:
            async with UpstreamClient(idle_seconds=0.2) as client:
                service.add_fault(Fault.LATE, seconds=0.3)
                error = await self._error(self.fetch(client, service, name="late"))
                self.assertIsInstance(error, UpstreamSilent)
                for number in range(5):
                    answer = await self.fetch(client, service, name=f"r{number}")
                    self.assertIn(b"r%d" % number, answer.body)
                    await asyncio.sleep(0.05)

    async def test_cancelled_connection_is_not_used_again(self) -> None:
        """Close the connections of cancelled calls, so answers do not mix."""
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
        """Return a redirect as the answer."""
        async with ServiceStandin() as service, UpstreamClient() as client:
            service.add_fault(Fault.REDIRECT)
            answer = await client.fetch(
                service.address, "POST", "/x", request_id="r", check_id=False
            )
            self.assertEqual((307, 0), (answer.status, service.runs_by_key.total()))

    async def test_answer_size_is_limited(self) -> None:
        """Raise UpstreamBroken for an answer larger than the limit."""
        async with ServiceStandin() as service:
            async with UpstreamClient(max_answer_bytes=1000) as client:
                call = client.fetch(
                    service.address, "POST", "/x", request_id="r", body=b"x" * 5000
                )
                self.assertIsInstance(await self._error(call), UpstreamBroken)

    async def test_connect_times_out(self) -> None:
        """Raise UpstreamUnavailable when connecting times out."""
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
    """Check that no header or path can inject a second message."""

    @settings(derandomize=True, max_examples=500)
    @given(st.text(max_size=30), st.text(max_size=30))
    def test_headers(self, name: str, value: str) -> None:
        """Accept only headers that stay on one line."""
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
        """Accept only paths that stay within one request line."""
        try:
            check_path("/" + text)
        except ValueError:
            return
        self.assertEqual(2, len(f"GET /{text}".split()))
        self.assertFalse(text.startswith("/"))

    def test_framing_headers(self) -> None:
        """Reject every header that frames the upstream's message."""
        for name in ("Transfer-Encoding", "content-length", "HOST", "Connection"):
            with testtools.ExpectedException(ValueError):
                check_header(name, "1")
