"""Test a fleet of daemons through its HTTP interface."""

import asyncio
import json

import aiohttp
import openai
from attrs import frozen

from teaselpond_model.configuration import AdminState
from teaselpond_standins.engine.answers import expected_answer
from teaselpond_standins.fleet import FleetPlan
from teaselpond_standins.testing import AsyncTestCase
from teaselpond_standins.testing.fleets import TestFleet

MESSAGES = [{"role": "user", "content": "a question of some words"}]
BODY = json.dumps({"model": "fitting", "messages": MESSAGES, "max_tokens": 8})
CHATS = "/v1/chat/completions"
JOBS = "/v1/jobs"
ORDERS = "/v1/services/orders/orders"
WORKSPACE = {"X-Workspace": "axams"}


@frozen
class BadCall:
    """Describe an invalid call and the problem response it must get."""

    name: str
    status: int
    reason: str
    path: str = CHATS
    method: str = "POST"
    headers: dict = WORKSPACE
    body: str | bytes = BODY
    run: str = "not-run"


BAD_CALLS = (
    BadCall("no workspace", 400, "bad-request", headers={}),
    BadCall("unknown workspace", 401, "unauthorized", headers={"X-Workspace": "x"}),
    BadCall("odd workspace", 400, "bad-request", headers={"X-Workspace": "a b"}),
    BadCall("unknown class", 400, "bad-request", headers=WORKSPACE | {"X-Class": "x"}),
    BadCall(
        "deadline in words",
        400,
        "bad-request",
        headers=WORKSPACE | {"X-Deadline-Seconds": "soon"},
    ),
    BadCall(
        "deadline not finite",
        400,
        "bad-request",
        headers=WORKSPACE | {"X-Deadline-Seconds": "nan"},
    ),
    BadCall("not JSON", 400, "bad-request", body="{"),
    BadCall("not UTF-8", 400, "bad-request", body=b"\xff\xfe"),
    BadCall("a list", 400, "bad-request", body="[]"),
    BadCall("deeply nested", 400, "bad-request", body="[" * 50_000),
    BadCall("no messages", 400, "bad-request", body='{"model": "fitting"}'),
    BadCall(
        "unknown model",
        404,
        "unknown-model",
        body=json.dumps({"model": "other", "messages": MESSAGES}),
    ),
    BadCall("too large", 413, "too-large", body="x" * 200_000),
    BadCall(
        "forged resume token",
        403,
        "token-invalid",
        headers=WORKSPACE | {"Last-Event-ID": "AAAA.3"},
    ),
    BadCall("unknown path", 404, "not-found", path="/v2/nothing"),
    BadCall("wrong method", 405, "bad-request", method="PUT"),
    BadCall("order without key", 400, "key-missing", path=ORDERS),
    BadCall("unknown service", 404, "unknown-service", path="/v1/services/none/orders"),
    # An unknown job may be one that ran and has been deleted since.
    BadCall(
        "unknown job",
        404,
        "not-found",
        path=f"{JOBS}/none",
        method="GET",
        run="may-have-run",
    ),
    BadCall("plan that cannot run", 400, "bad-request", path=JOBS, body="{}"),
)


class BadCallTests(AsyncTestCase):
    """Check that bad calls are refused and do not affect other calls."""

    async def test_each_gets_a_problem_response(self) -> None:
        """Send every bad call, then a valid one."""
        fleet = await self.enter(TestFleet())
        for case in BAD_CALLS:
            async with fleet.session.request(
                case.method,
                fleet.url() + case.path,
                headers=case.headers,
                data=case.body,
            ) as response:
                problem = json.loads(await response.text())
                received = (response.status, problem["reason"], problem["run"])
                self.assertEqual(
                    (case.status, case.reason, case.run), received, case.name
                )
                self.assertEqual("application/problem+json", response.content_type)
        async with fleet.session.post(
            fleet.url() + CHATS, headers=WORKSPACE, data=BODY
        ) as response:
            self.assertEqual(200, response.status)
        self.assertEqual(0, sum(s.runs_by_key.total() for s in _services(fleet)))

    async def test_broken_http_does_not_stop_the_daemon(self) -> None:
        """Send bytes that are not HTTP, and attempts at request smuggling."""
        fleet = await self.enter(TestFleet())
        address = fleet.daemons_by_id["entry-1"].parts.caller_address
        requests = (
            b"\x00\xff\r\n\r\n",
            b"GET / HTTP/9.9\r\n\r\n",
            b"POST /v1/jobs HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET / HTTP/1.1\r\n\r\n",
            b"POST /v1/jobs HTTP/1.1\r\nHost: x\r\nContent-Length: -1\r\n\r\n",
            b"GET / HTTP/1.1\r\nHost: x\r\nX: " + b"a" * 100_000 + b"\r\n\r\n",
            b"GET / HTTP/1.1\r\nHost: x\r\nBad Name: 1\r\n\r\n",
        )
        for request in requests:
            reader, writer = await asyncio.open_connection(address.ip, address.port)
            writer.write(request)
            answer = await asyncio.wait_for(reader.read(64), 10)
            writer.close()
            self.assertIn(b" 400 ", answer, request[:60])
        self.assertEqual(200, await fleet.ready_status("entry-1"))


class OpenAIClientTests(AsyncTestCase):
    """Check that the OpenAI client library can be used."""

    async def test_stream_answer_and_error(self) -> None:
        """Stream a turn, fetch one as a single response, and read an error."""
        fleet = await self.enter(TestFleet())
        client = openai.AsyncOpenAI(
            base_url=f"{fleet.url()}/v1",
            api_key="none",
            max_retries=0,
            default_headers=WORKSPACE,
        )
        async with client:
            stream = await client.chat.completions.create(
                model="fitting", messages=MESSAGES, stream=True, max_tokens=20
            )
            parts = [
                c.choices[0].delta.content or "" async for c in stream if c.choices
            ]
            self.assertEqual(expected_answer(MESSAGES, 20), "".join(parts))
            whole = await client.chat.completions.create(
                model="fitting", messages=MESSAGES, max_tokens=20
            )
            self.assertEqual("".join(parts), whole.choices[0].message.content)
            try:
                await client.chat.completions.create(model="no", messages=MESSAGES)
                self.fail("an unknown model was served")
            except openai.NotFoundError as error:
                self.assertEqual("unknown-model", error.body["type"])


class IsolationTests(AsyncTestCase):
    """Check that a workspace cannot use another one's resources."""

    async def test_keys_jobs_and_tokens_belong_to_one_workspace(self) -> None:
        """Try to use another workspace's job, resume token and order key."""
        fleet = await self.enter(TestFleet())
        other = {"X-Workspace": "imst"}
        async with fleet.session.post(
            fleet.url() + JOBS, headers=WORKSPACE, data=BODY
        ) as response:
            job_id = (await response.json())["job_id"]
        async with fleet.session.get(
            f"{fleet.url()}{JOBS}/{job_id}", headers=other
        ) as response:
            self.assertEqual(404, response.status)
        events = await _stream(fleet, "entry-1", WORKSPACE, 4)
        async with fleet.session.post(
            fleet.url() + CHATS,
            headers=other | {"Last-Event-ID": events[0]},
            data=BODY,
        ) as response:
            self.assertEqual(403, response.status)
        for headers in (WORKSPACE, other):
            async with fleet.session.post(
                fleet.url() + ORDERS,
                headers=headers | {"Idempotency-Key": "same"},
                data=BODY,
            ) as response:
                self.assertEqual("false", response.headers["X-Repeated"])


class ResumeTests(AsyncTestCase):
    """Check that any daemon can resume an answer."""

    async def test_another_daemon_resumes_at_every_event(self) -> None:
        """Resume an answer on another daemon after each of its events."""
        fleet = await self.enter(TestFleet())
        events = await _stream(fleet, "entry-1", WORKSPACE, 6)
        for index, event_id in enumerate(events[:-1]):
            remaining = await _stream(
                fleet, "entry-2", WORKSPACE | {"Last-Event-ID": event_id}, 6
            )
            self.assertEqual(len(events) - index - 1, len(remaining))


class PlannedStopTests(AsyncTestCase):
    """Check that a planned stop does not interrupt requests."""

    async def test_stop_finishes_streams(self) -> None:
        """Stop a daemon while it streams; the stream must finish."""
        fleet = await self.enter(TestFleet())
        stream = asyncio.create_task(_stream(fleet, "entry-1", WORKSPACE, 200))
        await self.wait_until(
            lambda: fleet.daemons_by_id["entry-1"].parts.drain.active == 1
        )
        stopped = await fleet.stop_daemon("entry-1")
        self.assertTrue(stopped)
        self.assertEqual(201, len(await stream) - 1)

    async def test_host_out_refuses_and_host_in_serves(self) -> None:
        """Take a daemon's host out of service, then put it back."""
        fleet = await self.enter(TestFleet())
        await fleet.set_host("entry-1", AdminState.OUT)
        refused = await self._wait_for_status(fleet, 503)
        await self.wait_until(lambda: fleet.versions() == {2})
        async with fleet.session.get(
            f"{fleet.url('entry-2')}/v1/locate?workspace=axams"
        ) as response:
            addresses = (await response.json())["addresses"]
        own_address = str(fleet.daemons_by_id["entry-1"].parts.caller_address)
        self.assertNotIn(own_address, addresses)
        # No call may fail before the daemon refuses calls because it leaves,
        # even though the owner changes.
        self.assertEqual(
            ("leaving", "not-run", True, "close"),
            (
                refused["reason"],
                refused["run"],
                bool(refused["alternatives"]),
                refused["connection"],
            ),
        )
        await fleet.set_host("entry-1", AdminState.IN)
        await self._wait_for_status(fleet, 200)

    async def _wait_for_status(self, fleet: TestFleet, status: int) -> dict:
        async with asyncio.timeout(15):
            while True:
                async with fleet.session.post(
                    fleet.url() + CHATS, headers=WORKSPACE, data=BODY
                ) as response:
                    answer = json.loads(await response.text())
                    answer["connection"] = response.headers.get("Connection")
                    if response.status == status:
                        return answer
                await asyncio.sleep(0.1)


class ZoneOutTests(AsyncTestCase):
    """Check that a zone out of service gets no new work."""

    async def test_out_zone_gets_nothing_while_the_store_is_down(self) -> None:
        """Take a zone out of service, stop the store and send more calls."""
        fleet = await self.enter(TestFleet(FleetPlan(daemons=3, engines_per_zone=1)))
        zone = fleet.plan.zones[0]
        version = await fleet.set_zone(zone, AdminState.OUT)
        await self.wait_until(lambda: fleet.versions() == {version})
        await fleet.platform.stop()
        out_zone_starts = fleet.engines_by_id[
            f"engine-{zone}-1"
        ].records.starts_by_request_id
        starts_before = out_zone_starts.total()
        for number in range(12):
            daemon_id = fleet.plan.daemon_ids()[1 + number % 2]
            headers = WORKSPACE | {"X-Chat": f"chat-{number}"}
            self.assertEqual(9, len(await _stream(fleet, daemon_id, headers, 8)) - 1)
        self.assertEqual(starts_before, out_zone_starts.total())
        await fleet.platform.start()


async def _stream(
    fleet: TestFleet, daemon_id: str, headers: dict, max_tokens: int
) -> list[str]:
    """Return the event ids of a streamed answer; fail if it is incomplete."""
    body = {"model": "fitting", "messages": MESSAGES, "stream": True}
    event_ids = []
    async with fleet.session.post(
        fleet.url(daemon_id) + CHATS,
        headers=headers,
        json=body | {"max_tokens": max_tokens},
        timeout=aiohttp.ClientTimeout(total=30),
    ) as response:
        text = await response.text()
    if not text.rstrip().endswith("data: [DONE]"):
        raise AssertionError(f"the answer is incomplete, it ends with: {text[-300:]}")
    for line in text.splitlines():
        if line.startswith("id: "):
            event_ids.append(line[4:])
    return event_ids


def _services(fleet: TestFleet) -> tuple:
    return tuple(fleet.services_by_id.values())
