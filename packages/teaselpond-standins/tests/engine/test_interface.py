"""Put the engine's stand-in to the page of the engine's interface."""

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


def ask(text: str, **extra) -> dict:
    """Return the body of a chat request."""
    messages = [{"role": "user", "content": text}]
    return {"model": "fitting", "messages": messages, **extra}


class EngineCase(AsyncTestCase):
    """Open an engine and a session."""

    async def open_engine(self, settings: EngineSettings = FAST) -> EngineStandin:
        """Start an engine that is as warm as its cold limit says."""
        standin = await self.enter(EngineStandin(settings))
        timeout = aiohttp.ClientTimeout(total=15)
        session = aiohttp.ClientSession(standin.base_url, timeout=timeout)
        self.session = await self.enter(session)
        return standin

    async def chat(self, body: dict, **headers: str) -> tuple[str, dict]:
        """Return a whole answer's text and headers."""
        async with self.session.post(
            "/v1/chat/completions", json=body, headers=headers
        ) as response:
            self.assertEqual(200, response.status)
            whole = await response.json()
            return whole["choices"][0]["message"]["content"], response.headers

    async def stream(self, body: dict, **headers: str) -> tuple[list, dict]:
        """Return a streamed answer's events, as far as they came."""
        async with self.session.post(
            "/v1/chat/completions", json=body | {"stream": True}, headers=headers
        ) as response:
            return await read_events(response), response.headers

    async def get(self, path: str) -> dict:
        """Return a JSON answer."""
        async with self.session.get(path) as response:
            self.assertEqual(200, response.status)
            return await response.json()


async def read_events(response: aiohttp.ClientResponse) -> list[tuple[int, str]]:
    """Return the events of a stream until it ends, however it ends."""
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


def joined(events: list[tuple[int, str]]) -> str:
    """Return the text of a stream's events."""
    deltas = [json.loads(data)["choices"][0]["delta"] for _, data in events[:-1]]
    return "".join(delta.get("content", "") for delta in deltas)


class AnswerTests(EngineCase):
    """Check whole, streamed, limited and continued answers."""

    async def test_answer_headers_and_reuse(self) -> None:
        """Echo the request id, and read a returning chat from the cache."""
        standin = await self.open_engine()
        messages = ask(LONG_PROMPT)["messages"]
        text, headers = await self.chat(ask(LONG_PROMPT), **{"X-Request-Id": "r1"})
        self.assertEqual(expected_answer(messages), text)
        self.assertEqual("r1", headers["X-Request-Id"])
        self.assertEqual(("0", "41"), cached_of(headers))
        messages += [{"role": "assistant", "content": text}]
        kept = len(prefix_hashes(prompt_text(messages))) * 16
        messages += [{"role": "user", "content": "and the left foot?"}]
        _, headers = await self.chat({"model": "fitting", "messages": messages})
        self.assertEqual(str(kept), headers["X-Cached-Tokens"])
        self.assertGreater(kept, 41)
        self.assertEqual(1, standin.records.starts_by_request_id["r1"])
        ran = await self.get("/_ran")
        self.assertEqual(
            (2, 2, False), (ran["total"], ran["completed"], ran["overrun"])
        )

    async def test_stream_resume_and_limit(self) -> None:
        """Number events without gaps, and give the same ones again."""
        await self.open_engine()
        body = ask("words:9 please")
        events, headers = await self.stream(body)
        ids = [event_id for event_id, _ in events]
        self.assertEqual(list(range(1, len(events) + 1)), ids)
        self.assertEqual("[DONE]", events[-1][1])
        self.assertEqual(expected_answer(body["messages"]), joined(events))
        path = f"/streams/{headers['X-Stream-Id']}"
        for after in (0, 4, len(events)):
            async with self.session.get(f"{path}?after={after}") as response:
                self.assertEqual(events[after:], await read_events(response))
        text, _ = await self.chat(body | {"max_tokens": 4})
        self.assertEqual(expected_answer(body["messages"], 4), text)
        async with self.session.get("/streams/none?after=0") as response:
            self.assertEqual(404, response.status)

    async def test_continued_text_gives_the_rest(self) -> None:
        """Continue from every cut of an answer, within words too."""
        await self.open_engine()
        messages = ask("words:3 please")["messages"]
        whole = expected_answer(messages)
        for cut in range(0, len(whole) + 1, 3):
            partial = {"role": "assistant", "content": whole[:cut]}
            body = {"model": "fitting", "messages": [*messages, partial]}
            text, _ = await self.chat(body)
            self.assertEqual(whole, whole[:cut] + text)
        # Without a length of its own, an answer goes on to the limit.
        messages = ask("please")["messages"]
        whole = expected_answer(messages, 40)
        self.assertEqual(40, len(whole.split()))
        partial = {"role": "assistant", "content": expected_answer(messages, 30)}
        body = {"model": "fitting", "messages": [*messages, partial], "max_tokens": 10}
        text, _ = await self.chat(body)
        self.assertEqual(whole, partial["content"] + text)

    async def test_cancel(self) -> None:
        """End a stream at once and make room for others."""
        standin = await self.open_engine()
        body = ask("words:5000") | {"stream": True}
        async with self.session.post("/v1/chat/completions", json=body) as response:
            path = f"/streams/{response.headers['X-Stream-Id']}"
            async with self.session.delete(path) as cancelled:
                self.assertEqual(204, cancelled.status)
            events = await read_events(response)
        self.assertNotIn("[DONE]", [data for _, data in events])
        self.assertEqual((0, 1), (standin.engine.batch.load, standin.records.cancelled))

    async def test_caller_that_leaves(self) -> None:
        """Cancel a whole answer that nobody awaits, but not a stream."""
        standin = await self.open_engine()
        for is_stream, load in ((False, 0), (True, 1)):
            body = ask("words:5000", stream=is_stream)
            call = asyncio.create_task(self.chat(body))
            await self.wait_until(lambda: standin.engine.batch.running)
            call.cancel()
            await asyncio.gather(call, return_exceptions=True)
            await self.wait_until(lambda n=load: standin.engine.batch.load == n)

    async def test_priority_and_refusal(self) -> None:
        """Serve 0 first, and refuse truthfully what would not fit."""
        standin = await self.open_engine(evolve(FAST, slots=1, cold_limit=1))
        order = []

        async def call(name: str, priority: str) -> None:
            headers = {"X-Request-Id": name, "X-Priority": priority}
            await self.chat(ask("words:20 " + name), **headers)
            order.append(name)

        first = asyncio.create_task(call("first", "5"))
        await self.wait_until(lambda: standin.engine.batch.running)
        others = [asyncio.create_task(call(f"p{n}", str(n))) for n in (3, 2, 1, 0)]
        await self.wait_until(lambda: standin.engine.batch.load == 5)
        async with self.session.post("/v1/chat/completions", json=ask("x")) as refused:
            self.assertEqual(
                (503, "not-run"), (refused.status, refused.headers["X-Run"])
            )
        await asyncio.gather(first, *others)
        self.assertEqual(["first", "p0", "p1", "p2", "p3"], order)
        self.assertEqual(5, standin.records.max_load)
        self.assertTrue(standin.records.overrun)

    async def test_malformed_requests(self) -> None:
        """Refuse what is no request, and wrong models."""
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
    """Check events, snapshots, limits, export and import."""

    async def test_events_snapshot_and_eviction(self) -> None:
        """Tell of what is stored and evicted, as the snapshot shows."""
        await self.open_engine(evolve(FAST, cache_tokens=64))
        for number in range(4):
            await self.chat(ask(f"chat-{number} " + LONG_PROMPT))
        page = await self.get("/cache/events?after=0")
        kept: dict[str, int] = {}
        for event in page["events"]:
            if event["kind"] == "stored":
                kept[event["prefix"]] = event["tokens"]
            else:
                del kept[event["prefix"]]
        snapshot = await self.get("/cache/snapshot")
        held = {entry["prefix"]: entry["tokens"] for entry in snapshot["prefixes"]}
        self.assertEqual(kept, held)
        self.assertEqual(4, len(held))
        self.assertEqual(page["last_sequence"], snapshot["last_sequence"])
        later = await self.get(f"/cache/events?after={page['last_sequence']}")
        self.assertEqual([], later["events"])

    async def test_events_come_late_and_with_gaps(self) -> None:
        """Skip some sequence numbers, and say nothing before the lag."""
        gappy = evolve(FAST, cache_event_gap_share=0.5)
        standin = await self.open_engine(gappy)
        await self.chat(ask("scan " * 400))
        page = await self.get("/cache/events?after=0")
        self.assertGreater(page["last_sequence"], len(page["events"]))
        self.assertEqual(page["last_sequence"], standin.engine.cache.last_sequence)
        await self.open_engine(evolve(FAST, cache_event_lag_seconds=1e6))
        await self.chat(ask(LONG_PROMPT))
        self.assertEqual([], (await self.get("/cache/events?after=0"))["events"])

    async def test_export_and_import(self) -> None:
        """Carry a prefix to another engine, which then reuses it."""
        await self.open_engine()
        await self.chat(ask(LONG_PROMPT))
        prefix = prefix_hashes(prompt_text(ask(LONG_PROMPT)["messages"]))[-1]
        async with self.session.post("/kv/export", json={"prefix": prefix}) as response:
            content = await response.read()
        async with self.session.post("/kv/export", json={"prefix": "0"}) as response:
            self.assertEqual(404, response.status)
        await self.open_engine()
        for data, status in ((b"rubbish", 400), (content, 204)):
            async with self.session.post("/kv/import", data=data) as response:
                self.assertEqual(status, response.status)
        _, headers = await self.chat(ask(LONG_PROMPT))
        self.assertEqual(("32", "41"), cached_of(headers))


class OrderTests(EngineCase):
    """Check orders with and without fences, and what they change."""

    async def order(self, kind: str, fence: int, **wanted: str) -> int:
        """Give an order and return the answer's status."""
        body = {"kind": kind, "fence": fence, **wanted}
        async with self.session.post("/orders", json=body) as response:
            return response.status

    async def test_fences(self) -> None:
        """Refuse older fences where they are checked, and obey elsewhere."""
        for checks, status in ((True, 409), (False, 200)):
            standin = await self.open_engine(evolve(FAST, checks_fences=checks))
            self.assertEqual(200, await self.order("set-role", 7, role="drain"))
            self.assertEqual(status, await self.order("set-role", 6, role="serve"))
            self.assertEqual(200, await self.order("set-role", 7, role="serve"))
            self.assertEqual(7, standin.engine.fence)

    async def test_orders_change_what_is_served(self) -> None:
        """Load a version and an adapter, and change the role."""
        standin = await self.open_engine()
        incarnation = (await self.get("/load"))["incarnation"]
        await self.chat(ask(LONG_PROMPT))
        wanted = {"model": "fitting", "model_version": "2"}
        self.assertEqual(200, await self.order("load-model", 1, **wanted))
        self.assertEqual(200, await self.order("load-adapter", 1, adapter="brides"))
        self.assertEqual(0, standin.engine.cache.tokens)
        await self.chat(ask("x") | {"model": "brides"})
        self.assertEqual(200, await self.order("set-role", 1, role="drain"))
        async with self.session.post("/v1/chat/completions", json=ask("x")) as response:
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


def cached_of(headers) -> tuple[str, str]:
    """Return the cached and all prompt tokens that headers tell."""
    return headers["X-Cached-Tokens"], headers["X-Prompt-Tokens"]
