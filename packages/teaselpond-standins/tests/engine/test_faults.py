"""Check that the engine's stand-in fails in each way that it should."""

import asyncio

import aiohttp
from attrs import evolve, frozen

from teaselpond_model.resends import forbid_resend
from teaselpond_standins.engine import EngineFaultKind as Kind
from teaselpond_standins.engine import EngineSettings, EngineStandin, expected_answer
from teaselpond_standins.testing import AsyncTestCase

FAST = EngineSettings(
    time_scale=0.01, cold_limit=8, restart_seconds=5, load_lag_seconds=0.0
)
MESSAGES = [{"role": "user", "content": "words:6 please"}]
WHOLE = expected_answer(MESSAGES)
# Six words, the finish and the end.
ALL_EVENTS = 8
SILENCE_SECONDS = 0.3


@frozen
class Seen:
    """Hold what a caller saw of a streamed answer."""

    status: int = 0
    request_id: str = ""
    event_ids: tuple[int, ...] = ()
    ending: str = ""
    can_resume: bool = False
    rubbish: bool = False


@frozen
class Case:
    """Say what a caller of a stream sees of a fault, and what has run."""

    kind: Kind
    seen: Seen
    event: int = 0
    ran: int = 1
    crashes: int = 0


def ids(last: int) -> tuple[int, ...]:
    """Return event ids up to one."""
    return tuple(range(1, last + 1))


STARTED = Seen(200, "r1", (), "broken", can_resume=True)
CASES = (
    Case(Kind.REFUSE, Seen(503, ending="whole"), ran=0),
    Case(Kind.DROP, Seen(), ran=0),
    Case(Kind.BREAK, STARTED),
    Case(Kind.BREAK, evolve(STARTED, event_ids=ids(3)), event=3),
    Case(Kind.FORGET, evolve(STARTED, event_ids=ids(3), can_resume=False), event=3),
    Case(Kind.SILENCE, evolve(STARTED, event_ids=ids(2), ending="silent"), event=2),
    Case(Kind.TRUNCATE, evolve(STARTED, event_ids=ids(5), ending="whole"), event=5),
    Case(
        Kind.CRASH,
        evolve(STARTED, event_ids=ids(1), can_resume=False),
        event=1,
        crashes=1,
    ),
    Case(Kind.CROSS, Seen(200, "someone-else", ids(26), "whole", True)),
    Case(
        Kind.DUPLICATE,
        Seen(200, "r1", (1, 2, 2, *range(3, 9)), "whole", True),
        event=2,
    ),
    Case(Kind.RUBBISH, Seen(200, "r1", ids(ALL_EVENTS), "whole", True, True), event=2),
    Case(Kind.FAIL, Seen(500, ending="whole")),
)


class EngineFaultTests(AsyncTestCase):
    """Put streams to the fault table, and engines to crashes."""

    async def open_engine(self, settings: EngineSettings = FAST) -> EngineStandin:
        """Start an engine and a session."""
        standin = await self.enter(EngineStandin(settings))
        self.session = await self.enter(aiohttp.ClientSession(standin.base_url))
        return standin

    async def look(self, text: str = "words:6 please") -> Seen:
        """Ask for a stream and return what came of it."""
        body = {
            "model": "fitting",
            "messages": [{"role": "user", "content": text}],
            "stream": True,
        }
        timeout = aiohttp.ClientTimeout(sock_read=SILENCE_SECONDS)
        try:
            async with self.session.post(
                "/v1/chat/completions",
                json=body,
                headers={"X-Request-Id": "r1"},
                timeout=timeout,
            ) as response:
                return await self.read(response)
        except aiohttp.ClientError:
            return Seen()

    async def read(self, response: aiohttp.ClientResponse) -> Seen:
        """Read a stream to its end, if it has one."""
        lines, ending = [], "whole"
        try:
            async for line in response.content:
                lines.append(line.decode().strip())
        except aiohttp.ServerTimeoutError:
            ending = "silent"
        except aiohttp.ClientError:
            ending = "broken"
        stream_id = response.headers.get("X-Stream-Id")
        return Seen(
            status=response.status,
            request_id=response.headers.get("X-Request-Id", ""),
            event_ids=tuple(int(line[4:]) for line in lines if line[:3] == "id:"),
            ending=ending,
            can_resume=stream_id is not None and await self.can_resume(stream_id),
            rubbish="data: {rubbish" in lines,
        )

    async def can_resume(self, stream_id: str) -> bool:
        """Tell whether the whole stream can be had again."""
        try:
            async with self.session.get(f"/streams/{stream_id}?after=0") as response:
                return "[DONE]" in await response.text()
        except aiohttp.ClientError:
            return False

    async def test_streams(self) -> None:
        """Put a stream to each row of the table, and another one after it."""
        for case in CASES:
            standin = await self.open_engine()
            standin.add_fault(case.kind, event=case.event)
            self.assertEqual(case.seen, await self.look(), case)
            records = standin.records
            self.assertEqual(case.ran, records.starts_by_request_id["r1"], case)
            self.assertEqual(case.crashes, len(records.crash_times), case)
            await self.wait_until(lambda s=standin: s.server.is_listening)
            whole = Seen(200, "r1", ids(ALL_EVENTS), "whole", True)
            self.assertEqual(whole, await self.look(), case)

    async def test_whole_answers(self) -> None:
        """Spoil answers that are not streamed."""
        body = {"model": "fitting", "messages": MESSAGES}
        for kind, outcome in (
            (Kind.REFUSE, 503),
            (Kind.FAIL, 500),
            (Kind.DROP, None),
            (Kind.BREAK, None),
            (Kind.CRASH, None),
            (Kind.TRUNCATE, "cut"),
            (Kind.RUBBISH, "cut"),
            (Kind.SILENCE, "silent"),
        ):
            standin = await self.open_engine()
            standin.add_fault(kind)
            seen = None
            try:
                async with self.session.post(
                    "/v1/chat/completions",
                    json=body,
                    timeout=aiohttp.ClientTimeout(sock_read=SILENCE_SECONDS),
                ) as response:
                    seen = response.status
                    await response.json()
            except aiohttp.ServerTimeoutError:
                seen = "silent"
            except aiohttp.ClientError:
                seen = "cut" if seen == 200 else seen
            self.assertEqual(outcome, seen, kind)

    async def test_cold_engine_falls_over(self) -> None:
        """Crash over the cold limit, and come back cold with a new name."""
        standin = await self.open_engine(evolve(FAST, cold_limit=2))
        before = standin.engine.incarnation
        seen = await asyncio.gather(*(self.look() for _ in range(3)))
        self.assertNotIn("whole", [one.ending for one in seen])
        self.assertEqual(1, standin.records.cold_crashes)
        self.assertEqual(0, standin.engine.cache.tokens)
        self.assertNotEqual(before, standin.engine.incarnation)
        await self.wait_until(lambda: standin.server.is_listening)
        # Four answers later it bears four at once.
        for _ in range(4):
            self.assertEqual("whole", (await self.look()).ending)
        seen = await asyncio.gather(*(self.look() for _ in range(4)))
        self.assertEqual({"whole"}, {one.ending for one in seen})
        self.assertEqual(1, len(standin.records.crash_times))

    async def test_sudden_cold(self) -> None:
        """Bear what runs, and after one answer no more than a cold start."""
        standin = await self.open_engine(evolve(FAST, cold_limit=2))
        standin.engine.batch.answers = 100
        await asyncio.gather(*(self.look() for _ in range(8)))
        standin.engine.turn_cold()
        await asyncio.gather(*(self.look() for _ in range(2)))
        self.assertEqual([], standin.records.crash_times)
        await asyncio.gather(*(self.look() for _ in range(4)))
        records = standin.records
        self.assertEqual((0, 1), (records.cold_crashes, records.sudden_cold_crashes))

    async def test_poison(self) -> None:
        """Crash the engine that runs a poison prompt."""
        standin = await self.open_engine()
        seen = await asyncio.gather(self.look("poison-7 please"), self.look())
        self.assertNotIn("whole", [one.ending for one in seen])
        self.assertEqual({"poison-7": 1}, standin.records.crashes_by_poison)

    async def test_pause(self) -> None:
        """Stand still with open connections, and then go on."""
        standin = await self.open_engine()
        standin.engine.pause()
        look = asyncio.create_task(self.look())
        load = asyncio.create_task(self.session.get("/load"))
        done, _ = await asyncio.wait({look, load}, timeout=SILENCE_SECONDS / 3)
        self.assertEqual(set(), done)
        standin.engine.unpause()
        self.assertEqual("whole", (await look).ending)
        (await load).close()

    async def test_load_lags(self) -> None:
        """Report the load of some time ago, with its age."""
        settings = evolve(FAST, load_lag_seconds=20, load_interval_seconds=1)
        standin = await self.open_engine(settings)
        engine = standin.engine
        lag = settings.load_lag_seconds * settings.time_scale
        before = asyncio.get_running_loop().time()
        engine.submit("r1", [{"role": "user", "content": "words:5000"}], 0, None)
        await self.wait_until(lambda: engine.report(before + 1e6).running == 1)
        self.assertEqual(0, engine.report(before).running)
        self.assertGreaterEqual(engine.report(before + 1e6).age, lag)
        async with self.session.get("/load") as response:
            report = await response.json()
        self.assertEqual(engine.incarnation, report["incarnation"])

    async def test_other_calls(self) -> None:
        """Refuse, garble and break load reports, over HTTP."""
        await self.open_engine()
        for kind, seen in (("refuse", 503), ("rubbish", 200), ("break", None)):
            order = {"kind": kind, "operation": "load"}
            async with self.session.post("/_faults", json=order) as response:
                self.assertEqual(204, response.status)
            self.assertEqual(seen, await self.load_status())
            self.assertEqual(200, await self.load_status())

    async def load_status(self) -> int | None:
        """Return the status of a load report."""
        try:
            async with self.session.get(
                "/load", middlewares=(forbid_resend,)
            ) as response:
                return response.status
        except aiohttp.ClientError:
            return None
