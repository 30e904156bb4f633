"""Test the stand-in engine against the specified engine interface."""

import asyncio
import json

import aiohttp
from attrs import evolve

from teaselpond_model.prefixes import prefix_hashes, prompt_text
from teaselpond_standins.engine import EngineSettings, EngineStandin, expected_answer
from teaselpond_standins.testing import AsyncTestCase

FAST = EngineSettings(
    time_scale=0.01,
    cold_limit=8,
    load_lag_seconds=0.0,
    cache_event_lag_seconds=0.0,
    cache_event_gap_share=0.0,
    max_waiting=4,
)
LONG_PROMPT = "scan " * 40


def chat_body(text: str, **extra) -> dict:
    """Return the body of a chat request with one user message."""
    messages = [{"role": "user", "content": text}]
    return {"model": "fitting", "messages": messages, **extra}


class EngineCase(AsyncTestCase):
    """Provide an engine and a client session."""

    async def open_engine(self, settings: EngineSettings = FAST) -> EngineStandin:
        """Start a cold engine and open a client session for it."""
        standin = await self.enter(EngineStandin(settings))
        timeout = aiohttp.ClientTimeout(total=15)
        session = aiohttp.ClientSession(standin.base_url, timeout=timeout)
        self.session = await self.enter(session)
        return standin

    async def chat(self, body: dict, **headers: str) -> tuple[str, dict]:
        """Request an unstreamed answer and return its text and headers."""
        async with self.session.post(
            "/v1/chat/completions", json=body, headers=headers
        ) as response:
            self.assertEqual(200, response.status)
            whole = await response.json()
            return whole["choices"][0]["message"]["content"], response.headers

    async def stream(self, body: dict, **headers: str) -> tuple[list, dict]:
        """Request a stream; return the events received and the headers."""
        async with self.session.post(
            "/v1/chat/completions", json=body | {"stream": True}, headers=headers
        ) as response:
            return await read_events(response), response.headers

    async def get(self, path: str) -> dict:
        """Request a path and return its JSON answer."""
        async with self.session.get(path) as response:
            self.assertEqual(200, response.status)
            return await response.json()


async def read_events(response: aiohttp.ClientResponse) -> list[tuple[int, str]]:
    """Return the events of a stream until it ends or breaks."""
    events, event_id = [], 0
    try:
        async for line in response.content:
            name, _, value = line.decode().strip().partition(": ")
            if name == "id":
                event_id = int(value)
            elif name == "data":
                events.append((event_id, value))
    except aiohttp.ClientError:
        pass
    return events


def join_deltas(events: list[tuple[int, str]]) -> str:
    """Return the text of a stream's events, without the end marker."""
    deltas = [json.loads(data)["choices"][0]["delta"] for _, data in events[:-1]]
    return "".join(delta.get("content", "") for delta in deltas)


class AnswerTests(EngineCase):
    """Test whole, streamed, limited and continued answers."""

    async def test_answer_headers_and_reuse(self) -> None:
        """Echo the request id, and reuse the cache for a chat's next turn."""
        standin = await self.open_engine()
        messages = chat_body(LONG_PROMPT)["messages"]
        text, headers = await self.chat(
            chat_body(LONG_PROMPT), **{"X-Request-Id": "r1"}
        )
        self.assertEqual(expected_answer(messages), text)
        self.assertEqual("r1", headers["X-Request-Id"])
        self.assertEqual(("0", "41"), cached_and_prompt_tokens(headers))
        messages += [{"role": "assistant", "content": text}]
        reused_tokens = len(prefix_hashes(prompt_text(messages))) * 16
        messages += [{"role": "user", "content": "and the left foot?"}]
        _, headers = await self.chat({"model": "fitting", "messages": messages})
        self.assertEqual(str(reused_tokens), headers["X-Cached-Tokens"])
        self.assertGreater(reused_tokens, 41)
        self.assertEqual(1, standin.records.starts_by_request_id["r1"])
        ran = await self.get("/_ran")
        self.assertEqual(
            (2, 2, False), (ran["total"], ran["completed"], ran["overrun"])
        )

    async def test_stream_resume_and_limit(self) -> None:
        """Number events without gaps, and resume with the same ones."""
        await self.open_engine()
        body = chat_body("words:9 please")
        events, headers = await self.stream(body)
        ids = [event_id for event_id, _ in events]
        self.assertEqual(list(range(1, len(events) + 1)), ids)
        self.assertEqual("[DONE]", events[-1][1])
        self.assertEqual(expected_answer(body["messages"]), join_deltas(events))
        path = f"/streams/{headers['X-Stream-Id']}"
        for after in (0, 4, len(events)):
            async with self.session.get(f"{path}?after={after}") as response:
                self.assertEqual(events[after:], await read_events(response))
        text, _ = await self.chat(body | {"max_tokens": 4})
        self.assertEqual(expected_answer(body["messages"], 4), text)
        async with self.session.get("/streams/none?after=0") as response:
            self.assertEqual(404, response.status)

    async def test_continue_partial_answer(self) -> None:
        """Continue an answer from any position, within words too."""
        await self.open_engine()
        messages = chat_body("words:3 please")["messages"]
        whole = expected_answer(messages)
        for cut in range(0, len(whole) + 1, 3):
            partial = {"role": "assistant", "content": whole[:cut]}
            body = {"model": "fitting", "messages": [*messages, partial]}
            text, _ = await self.chat(body)
            self.assertEqual(whole, whole[:cut] + text)
        # A prompt that sets no length gets an answer of max_tokens.
        messages = chat_body("please")["messages"]
        whole = expected_answer(messages, 40)
        self.assertEqual(40, len(whole.split()))
        partial = {"role": "assistant", "content": expected_answer(messages, 30)}
        body = {"model": "fitting", "messages": [*messages, partial], "max_tokens": 10}
        text, _ = await self.chat(body)
        self.assertEqual(whole, partial["content"] + text)

    async def test_cancel(self) -> None:
        """End a cancelled stream at once and free its slot."""
        standin = await self.open_engine()
        body = chat_body("words:5000") | {"stream": True}
        async with self.session.post("/v1/chat/completions", json=body) as response:
            path = f"/streams/{response.headers['X-Stream-Id']}"
            async with self.session.delete(path) as cancelled:
                self.assertEqual(204, cancelled.status)
            events = await read_events(response)
        self.assertNotIn("[DONE]", [data for _, data in events])
        self.assertEqual((0, 1), (standin.engine.batch.load, standin.records.cancelled))

    async def test_caller_disconnects(self) -> None:
        """Cancel a whole answer, but not a stream, on a disconnect."""
        standin = await self.open_engine()
        for is_stream, load in ((False, 0), (True, 1)):
            body = chat_body("words:5000", stream=is_stream)
            call = asyncio.create_task(self.chat(body))
            await self.wait_until(lambda: standin.engine.batch.running)
            call.cancel()
            await asyncio.gather(call, return_exceptions=True)
            await self.wait_until(lambda n=load: standin.engine.batch.load == n)

    async def test_priority_and_refusal(self) -> None:
        """Run priority 0 first; refuse as not run if the queue is full."""
        standin = await self.open_engine(evolve(FAST, slots=1, cold_limit=1))
        order = []

        async def call(name: str, priority: str, words: int = 20) -> None:
            headers = {"X-Request-Id": name, "X-Priority": priority}
            await self.chat(chat_body(f"words:{words} {name}"), **headers)
            order.append(name)

        # It must run until the queue is full and the last request is refused.
        first = asyncio.create_task(call("first", "5", words=500))
        await self.wait_until(lambda: standin.engine.batch.running)
        others = [asyncio.create_task(call(f"p{n}", str(n))) for n in (3, 2, 1, 0)]
        await self.wait_until(lambda: standin.engine.batch.load == 5)
        async with self.session.post(
            "/v1/chat/completions", json=chat_body("x")
        ) as refused:
            self.assertEqual(
                (503, "not-run"), (refused.status, refused.headers["X-Run"])
            )
        await asyncio.gather(first, *others)
        self.assertEqual(["first", "p0", "p1", "p2", "p3"], order)
        self.assertEqual(5, standin.records.max_load)
        self.assertTrue(standin.records.overrun)

    async def test_malformed_requests(self) -> None:
        """Refuse malformed requests and unknown models."""
        await self.open_engine()
        for content, status in (
            ("{", 400),
            ("[]", 400),
            ('{"model": "fitting"}', 400),
            ('{"model": "other", "messages": []}', 503),
        ):
            async with self.session.post(
                "/v1/chat/completions", data=content
            ) as response:
                self.assertEqual(status, response.status, content)


class CacheTests(EngineCase):
    """Test events, snapshots, eviction, export and import."""

    async def test_events_snapshot_and_eviction(self) -> None:
        """Report stored and evicted blocks consistently with the snapshot."""
        await self.open_engine(evolve(FAST, cache_tokens=64))
        for number in range(4):
            await self.chat(chat_body(f"chat-{number} " + LONG_PROMPT))
        page = await self.get("/cache/events?after=0")
        event_tokens: dict[str, int] = {}
        for event in page["events"]:
            if event["kind"] == "stored":
                event_tokens[event["prefix"]] = event["tokens"]
            else:
                del event_tokens[event["prefix"]]
        snapshot = await self.get("/cache/snapshot")
        snapshot_tokens = {
            entry["prefix"]: entry["tokens"] for entry in snapshot["prefixes"]
        }
        self.assertEqual(event_tokens, snapshot_tokens)
        self.assertEqual(4, len(snapshot_tokens))
        self.assertEqual(page["last_sequence"], snapshot["last_sequence"])
        later = await self.get(f"/cache/events?after={page['last_sequence']}")
        self.assertEqual([], later["events"])

    async def test_delayed_events_with_gaps(self) -> None:
        """Skip some sequence numbers, and report no events before the lag."""
        gappy = evolve(FAST, cache_event_gap_share=0.5)
        standin = await self.open_engine(gappy)
        await self.chat(chat_body("scan " * 400))
        page = await self.get("/cache/events?after=0")
        self.assertGreater(page["last_sequence"], len(page["events"]))
        self.assertEqual(page["last_sequence"], standin.engine.cache.last_sequence)
        await self.open_engine(evolve(FAST, cache_event_lag_seconds=1e6))
        await self.chat(chat_body(LONG_PROMPT))
        self.assertEqual([], (await self.get("/cache/events?after=0"))["events"])

    async def test_export_and_import(self) -> None:
        """Export a prefix to another engine, which then reuses it."""
        await self.open_engine()
        await self.chat(chat_body(LONG_PROMPT))
        prefix = prefix_hashes(prompt_text(chat_body(LONG_PROMPT)["messages"]))[-1]
        async with self.session.post("/kv/export", json={"prefix": prefix}) as response:
            content = await response.read()
        async with self.session.post("/kv/export", json={"prefix": "0"}) as response:
            self.assertEqual(404, response.status)
        await self.open_engine()
        for data, status in ((b"rubbish", 400), (content, 204)):
            async with self.session.post("/kv/import", data=data) as response:
                self.assertEqual(status, response.status)
        _, headers = await self.chat(chat_body(LONG_PROMPT))
        self.assertEqual(("32", "41"), cached_and_prompt_tokens(headers))


class OrderTests(EngineCase):
    """Test orders, with and without fence checks, and their effects."""

    async def order(self, kind: str, fence: int, **arguments: str) -> int:
        """Send an order and return the HTTP status."""
        body = {"kind": kind, "fence": fence, **arguments}
        async with self.session.post("/orders", json=body) as response:
            return response.status

    async def test_fences(self) -> None:
        """Refuse older fences if they are checked, and accept them if not."""
        for checks, status in ((True, 409), (False, 200)):
            standin = await self.open_engine(evolve(FAST, checks_fences=checks))
            self.assertEqual(200, await self.order("set-role", 7, role="drain"))
            self.assertEqual(status, await self.order("set-role", 6, role="serve"))
            self.assertEqual(200, await self.order("set-role", 7, role="serve"))
            self.assertEqual(7, standin.engine.fence)

    async def test_orders_change_model_and_role(self) -> None:
        """Load a model version and an adapter, and change the role."""
        standin = await self.open_engine()
        incarnation = (await self.get("/load"))["incarnation"]
        await self.chat(chat_body(LONG_PROMPT))
        arguments = {"model": "fitting", "model_version": "2"}
        self.assertEqual(200, await self.order("load-model", 1, **arguments))
        self.assertEqual(200, await self.order("load-adapter", 1, adapter="brides"))
        self.assertEqual(0, standin.engine.cache.tokens)
        await self.chat(chat_body("x") | {"model": "brides"})
        self.assertEqual(200, await self.order("set-role", 1, role="drain"))
        async with self.session.post(
            "/v1/chat/completions", json=chat_body("x")
        ) as response:
            self.assertEqual(503, response.status)
        reports = [await self.get("/load")]
        while reports[-1]["role"] != "drain":
            reports.append(await self.get("/load"))
        self.assertEqual(1, reports[-1]["fence"])
        sequences = [report["sequence"] for report in reports]
        self.assertEqual(sorted(sequences), sequences)
        seen = (reports[-1]["model_version"], reports[-1]["adapters"])
        self.assertEqual(("2", ["brides"]), seen)
        self.assertEqual(incarnation, reports[-1]["incarnation"])


def cached_and_prompt_tokens(headers) -> tuple[str, str]:
    """Return the numbers of cached and of all prompt tokens in headers."""
    return headers["X-Cached-Tokens"], headers["X-Prompt-Tokens"]
