"""Test chats and plans while processes are killed, paused and stopped."""

import asyncio
import itertools
import json
import signal
import time

import aiohttp
from testtools import content

from teaselpond_standins.engine import expected_answer
from teaselpond_standins.fleet import Fleet, FleetPlan, ManagedProcess
from teaselpond_standins.testing import AsyncTestCase

HEADERS = {"X-Workspace": "axams"}
RESULT_SECONDS = 30.0
DONE = "[DONE]"


class Chat:
    """Read one streamed chat, resuming after an interruption."""

    def __init__(self, session: aiohttp.ClientSession, name: str, words: int) -> None:
        self.session = session
        prompt = f"{name} words:{words}"
        self.messages = [{"role": "user", "content": prompt}]
        self.parts: list[str] = []
        self.last_event_id = ""
        self.engine = ""
        self.whole = False
        self.refusal = ""
        self.started = asyncio.Event()

    async def read(self, daemon: ManagedProcess) -> "Chat":
        """Read from the start, or from the last event, until it ends."""
        headers = HEADERS | {"X-Chat": self.messages[0]["content"].split()[0]}
        if self.last_event_id:
            headers["Last-Event-ID"] = self.last_event_id
        body = {"model": "fitting", "messages": self.messages, "stream": True}
        url = f"{daemon.url}/v1/chat/completions"
        try:
            async with self.session.post(url, json=body, headers=headers) as response:
                if response.status != 200:
                    problem = await response.json()
                    self.refusal = f"{problem['reason']} {problem['run']}"
                    return self
                self.engine = response.headers["X-Engine"]
                async for line in response.content:
                    self._read_line(line.decode().rstrip("\n"))
        except aiohttp.ClientError:
            # The stream was interrupted, so ``whole`` stays false.
            pass
        return self

    def _read_line(self, line: str) -> None:
        name, _, value = line.partition(": ")
        if name == "id":
            self.last_event_id = value
        if name != "data":
            return
        self.whole = value == DONE
        if self.whole:
            return
        event = json.loads(value)
        if "choices" not in event:
            raise AssertionError(f"the stream ended with a problem: {value}")
        self.parts.append(event["choices"][0]["delta"].get("content", ""))
        self.started.set()

    @property
    def is_correct(self) -> bool:
        """Return whether the complete, exact answer was received."""
        return self.whole and "".join(self.parts) == expected_answer(self.messages)


class FleetFaultTests(AsyncTestCase):
    """Check what callers receive when processes end during their requests."""

    async def start(self, daemons: int, engines: int = 2) -> list[ManagedProcess]:
        """Start a fleet and return its daemons."""
        plan = FleetPlan(
            zones=("imst", "lienz"), engines_per_zone=engines, daemons=daemons
        )
        self.fleet = await self.enter(Fleet(plan))
        self.session = await self.enter(aiohttp.ClientSession())
        self.addOnException(lambda _: self.keep_logs())
        return list(self.fleet.daemons_by_id.values())

    def keep_logs(self) -> None:
        """Attach the daemons' logs to this test's report if it fails."""
        for daemon in self.fleet.daemons_by_id.values():
            lines = "\n".join(daemon.log_lines)
            self.addDetail(daemon.name, content.text_content(lines))

    async def test_processes_end_in_the_middle(self) -> None:
        """Kill, pause and stop daemons of one fleet at the same time."""
        one, two, three, four, five = await self.start(5)
        await asyncio.gather(
            self._kill(one, two, three),
            self._pause_holder(four, three),
            self._stop(five),
        )

    async def _kill(
        self, one: ManagedProcess, two: ManagedProcess, three: ManagedProcess
    ) -> None:
        """Kill a daemon that has a stream and a plan, then kill an engine."""
        plan_id = await self._submit(two, "plan words:150")
        killed_daemon = Chat(self.session, "daemon", 120)
        reading = await self._begin(killed_daemon, two)
        await asyncio.sleep(0.2)
        await two.kill()
        await reading
        self.assertFalse(killed_daemon.whole)
        await killed_daemon.read(three)
        self.assertTrue(killed_daemon.is_correct)
        killed_engine = Chat(self.session, "engine", 80)
        reading = await self._begin(killed_engine, one)
        await self.fleet.engines_by_id[killed_engine.engine].kill()
        await reading
        self.assertTrue(killed_engine.is_correct)
        result = await self._result(three, plan_id)
        message = result["choices"][0]["message"]["content"]
        messages = [{"role": "user", "content": "plan words:150"}]
        self.assertEqual(expected_answer(messages), message)

    async def _pause_holder(self, one: ManagedProcess, two: ManagedProcess) -> None:
        """Keep the first result of a plan when its paused holder goes on."""
        plan_id = await self._submit(one, "plan words:60")
        one.send_signal(signal.SIGSTOP)
        first = await self._result(two, plan_id)
        one.send_signal(signal.SIGCONT)
        await asyncio.sleep(3.0)
        self.assertEqual(first, await self._result(one, plan_id))
        self.assertEqual(first, await self._result(two, plan_id))

    async def test_poison_at_three_daemons(self) -> None:
        """Crash at most two of six engines, and still serve other requests."""
        daemons = await self.start(3, engines=3)
        await self._use_all_engines(daemons)
        seen = []
        for daemon in (*daemons, daemons[0]):
            chat = await Chat(self.session, "poison-a please", 30).read(daemon)
            seen.append(chat.refusal)
        crashes = 0
        for engine in self.fleet.engines_by_id.values():
            crashes += await self._count_crashes(engine)
        self.assertLessEqual(crashes, 2)
        self.assertEqual(["quarantined not-run"] * 3, seen[1:])
        self.assertIn("quarantined", seen[0])
        healthy = await Chat(self.session, "sound", 10).read(daemons[1])
        self.assertTrue(healthy.is_correct)

    async def _stop(self, one: ManagedProcess) -> None:
        """Finish requests in progress, refuse new ones and exit with 0."""
        chat = Chat(self.session, "long", 300)
        reading = await self._begin(chat, one)
        one.send_signal(signal.SIGTERM)
        served = 0
        last_refusal = ""
        stopped_at = time.monotonic()
        # When each request after the signal ended, and its refusal if any.
        stale_ends: list[tuple[float, str]] = []
        while last_refusal != "leaving not-run" and not reading.done():
            stale = await Chat(self.session, "stale", 5).read(one)
            # The cold engines of a new fleet may briefly have no free slot.
            self.assertTrue(stale.is_correct or stale.refusal.endswith("not-run"))
            served += stale.is_correct
            last_refusal = stale.refusal
            seconds = round(time.monotonic() - stopped_at, 2)
            stale_ends.append((seconds, stale.refusal))
            await asyncio.sleep(0.1)
        self.assertEqual("leaving not-run", last_refusal, stale_ends)
        self.assertGreater(served, 0, stale_ends)
        self.assertFalse(reading.done())
        await reading
        self.assertTrue(chat.is_correct)
        self.assertEqual(0, await one.wait(10.0))

    async def _use_all_engines(self, daemons: list[ManagedProcess]) -> None:
        """Wait until all owners have claimed their engines and serve chats."""
        used: set[str] = set()
        async with asyncio.timeout(RESULT_SECONDS):
            for number in itertools.count():
                if used >= set(self.fleet.engines_by_id):
                    return
                daemon = daemons[number % len(daemons)]
                chat = await Chat(self.session, f"sound-{number}", 2).read(daemon)
                used.add(chat.engine)

    async def _count_crashes(self, engine: ManagedProcess) -> int:
        async with asyncio.timeout(RESULT_SECONDS):
            while True:
                try:
                    async with self.session.get(engine.url + "/_ran") as response:
                        return len((await response.json())["crash_times"])
                except aiohttp.ClientConnectorError:
                    # The engine is restarting after a crash.
                    await asyncio.sleep(0.1)

    async def _begin(self, chat: Chat, daemon: ManagedProcess) -> asyncio.Task:
        """Start to read a chat, retrying while it is refused as not run."""
        while True:
            reading = asyncio.create_task(chat.read(daemon))
            await self.wait_until(
                lambda task=reading: chat.started.is_set() or task.done()
            )
            if chat.started.is_set():
                return reading
            self.assertIn("not-run", chat.refusal)
            await asyncio.sleep(0.2)

    async def _submit(self, daemon: ManagedProcess, prompt: str) -> str:
        messages = [{"role": "user", "content": prompt}]
        body = {"model": "fitting", "messages": messages}
        url = f"{daemon.url}/v1/jobs"
        async with self.session.post(url, json=body, headers=HEADERS) as response:
            self.assertEqual(202, response.status)
            return (await response.json())["job_id"]

    async def _result(self, daemon: ManagedProcess, job_id: str) -> dict:
        url = f"{daemon.url}/v1/jobs/{job_id}"
        async with asyncio.timeout(RESULT_SECONDS):
            while True:
                async with self.session.get(url, headers=HEADERS) as response:
                    job = await response.json()
                if job.get("state") == "done":
                    return job["result"]
                await asyncio.sleep(0.2)
