"""Send malformed and hostile requests to a real daemon."""

import asyncio
import json

import aiohttp
from attrs import frozen

from teaselpond_standins.fleet import Caller, Fleet, FleetPlan
from teaselpond_standins.testing import AsyncTestCase

ANSWER_SECONDS = 3.0
SILENCE_SECONDS = 1.0
CLOSED = b""
CHAT = b"POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nX-Workspace: axams\r\n"
ORDER = b"POST /v1/services/orders/x HTTP/1.1\r\nHost: h\r\nX-Workspace: axams\r\n"
BODY = json.dumps(
    {"model": "fitting", "messages": [{"role": "user", "content": "hi"}]}
).encode()


def with_body(head: bytes, body: bytes = BODY) -> bytes:
    """Return a request with the correct Content-Length of its body."""
    return head + b"Content-Length: %d\r\n\r\n" % len(body) + body


@frozen
class MalformedRequest:
    """Hold a malformed request's bytes and the statuses allowed for it."""

    name: str
    raw: bytes
    statuses: tuple[bytes, ...] = (b"400",)


SMUGGLED = b"GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n"
MALFORMED_REQUESTS = (
    MalformedRequest(
        "no HTTP", b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n"
    ),
    MalformedRequest("no version", b"GET /\r\n\r\n", (b"400", b"404")),
    MalformedRequest(
        "two lengths", CHAT + b"Content-Length: 1\r\nContent-Length: 2\r\n\r\nab"
    ),
    MalformedRequest(
        "length and chunks",
        CHAT + b"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    ),
    MalformedRequest("negative length", CHAT + b"Content-Length: -1\r\n\r\n"),
    MalformedRequest("signed length", CHAT + b"Content-Length: +5\r\n\r\nhello"),
    MalformedRequest(
        "unknown coding", CHAT + b"Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n"
    ),
    MalformedRequest(
        "twice chunked", CHAT + b"Transfer-Encoding: chunked, chunked\r\n\r\n"
    ),
    MalformedRequest(
        "bad chunk", CHAT + b"Transfer-Encoding: chunked\r\n\r\nzz\r\n\r\n"
    ),
    MalformedRequest("blank before colon", CHAT + b"Content-Length : 4\r\n\r\nabcd"),
    MalformedRequest("bare return", CHAT + b"X-Chat: a\rX-Evil: 1\r\n\r\n"),
    MalformedRequest("null in a header", CHAT + b"X-Chat: a\x00b\r\n\r\n"),
    MalformedRequest("huge header", CHAT + b"X-Chat: " + b"a" * 70_000 + b"\r\n\r\n"),
    MalformedRequest("huge target", b"GET /" + b"a" * 70_000 + b" HTTP/1.1\r\n\r\n"),
    MalformedRequest("huge body", with_body(CHAT, b"x" * 5_000_000), (b"413",)),
    MalformedRequest(
        "huge length", CHAT + b"Content-Length: 99999999999\r\n\r\n", (b"413",)
    ),
    MalformedRequest("invalid UTF-8", with_body(CHAT, b'{"model": "\xff\xfe"}')),
    MalformedRequest("deep JSON", with_body(CHAT, b"[" * 200_000)),
    MalformedRequest("no JSON", with_body(CHAT, b"hello")),
    MalformedRequest("injected id", with_body(CHAT + b"X-Request-Id: a b\r\n")),
    MalformedRequest("injected key", with_body(ORDER + b"Idempotency-Key: a\tb\r\n")),
    MalformedRequest("no key", with_body(ORDER)),
    MalformedRequest(
        "other's service", with_body(ORDER.replace(b"orders", b"none")), (b"404",)
    ),
    MalformedRequest(
        "no workspace",
        with_body(CHAT.replace(b"axams", b"nobody")),
        (b"401", b"403", b"404"),
    ),
    MalformedRequest(
        "forged token", with_body(CHAT + b"Last-Event-ID: abc.1\r\n"), (b"403",)
    ),
    MalformedRequest(
        "short body", CHAT + b"Content-Length: 50\r\n\r\nab", (b"400", b"408", CLOSED)
    ),
    MalformedRequest(
        "second request hidden in the first one's body",
        CHAT + b"Content-Length: %d\r\n\r\n" % len(SMUGGLED) + SMUGGLED,
    ),
)


class HostileCallerTests(AsyncTestCase):
    """Check that the daemon refuses, runs nothing and keeps serving."""

    async def test_malformed_requests(self) -> None:
        """Answer each malformed request with exactly one refusal."""
        plan = FleetPlan(zones=("imst",), engines_per_zone=1, daemons=1)
        self.fleet = await self.enter(Fleet(plan))
        (self.daemon,) = self.fleet.daemons_by_id.values()
        answers = await asyncio.gather(
            *(self._send(malformed.raw) for malformed in MALFORMED_REQUESTS)
        )
        wrong = {
            malformed.name: answer[:200]
            for malformed, answer in zip(MALFORMED_REQUESTS, answers, strict=True)
            if not self._is_refused(malformed, answer)
        }
        self.assertEqual({}, wrong)
        self.session = await self.enter(aiohttp.ClientSession())
        self.assertEqual(0, await self._count_runs())
        await self._check_workspace_isolation()
        caller = Caller(self.session, (self.daemon.address,), "axams")
        messages = [{"role": "user", "content": "words:5"}]
        answer = await caller.chat("c", messages)
        self.assertEqual(5, len(answer.text.split()))

    def _is_refused(self, malformed: MalformedRequest, answer: bytes) -> bool:
        if answer == CLOSED:
            return CLOSED in malformed.statuses
        if answer.count(b"HTTP/") != 1:
            return False
        return answer.split(b" ")[1] in malformed.statuses

    async def _send(self, raw: bytes) -> bytes:
        ip, port = self.daemon.address.split(":")
        reader, writer = await asyncio.open_connection(ip, int(port))
        received = b""
        try:
            writer.write(raw)
            seconds = ANSWER_SECONDS
            while part := await asyncio.wait_for(reader.read(65536), seconds):
                received += part
                seconds = SILENCE_SECONDS
        except (ConnectionError, TimeoutError):
            # The bytes received so far are checked.
            pass
        finally:
            writer.close()
        return received

    async def _count_runs(self) -> int:
        total = 0
        for process in (
            *self.fleet.engines_by_id.values(),
            *self.fleet.services_by_id.values(),
        ):
            async with self.session.get(process.url + "/_ran") as response:
                total += (await response.json())["total"]
        return total

    async def _check_workspace_isolation(self) -> None:
        """Check that a workspace can't access another one's job or stream."""
        url = self.daemon.url
        own, other = {"X-Workspace": "axams"}, {"X-Workspace": "imst"}
        document = json.loads(BODY) | {"stream": True}
        async with self.session.post(
            f"{url}/v1/jobs", json=json.loads(BODY), headers=own
        ) as response:
            self.assertEqual(202, response.status)
            job_id = (await response.json())["job_id"]
        async with self.session.get(
            f"{url}/v1/jobs/{job_id}", headers=other
        ) as response:
            self.assertEqual(404, response.status)
        async with self.session.post(
            f"{url}/v1/chat/completions", json=document, headers=own
        ) as response:
            first = (await response.content.readline()).decode()
        token = first.removeprefix("id: ").strip()
        async with self.session.post(
            f"{url}/v1/chat/completions",
            json=document,
            headers=other | {"Last-Event-ID": token},
        ) as response:
            self.assertEqual(403, response.status)
            self.assertEqual("token-invalid", (await response.json())["reason"])
