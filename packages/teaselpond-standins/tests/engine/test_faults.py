"""Test each fault of the stand-in engine."""

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
# Six words, the finish reason and the end marker.
ALL_EVENTS = 8
# Caller and engine share an event loop, so a pause of it is silence too.
SILENCE_SECONDS = 2.0


@frozen
class Observed:
    """Hold what a caller observed of a streamed answer."""

    status: int = 0
    request_id: str = ""
    event_ids: tuple[int, ...] = ()
    ending: str = ""
    can_resume: bool = False
    rubbish: bool = False


@frozen
class Case:
    """Define a fault and what a caller must observe.

    ``ran`` and ``crashes`` are what the engine must have recorded.
    """

    kind: Kind
    observed: Observed
    event: int = 0
    ran: int = 1
    crashes: int = 0


def event_ids_up_to(last: int) -> tuple[int, ...]:
    """Return the event ids from 1 to ``last``."""
    return tuple(range(1, last + 1))


INTERRUPTED = Observed(200, "r1", (), "broken", can_resume=True)
CASES = (
    Case(Kind.REFUSE, Observed(503, ending="whole"), ran=0),
    Case(Kind.DROP, Observed(), ran=0),
    Case(Kind.BREAK, INTERRUPTED),
    Case(Kind.BREAK, evolve(INTERRUPTED, event_ids=event_ids_up_to(3)), event=3),
    Case(
        Kind.FORGET,
        evolve(INTERRUPTED, event_ids=event_ids_up_to(3), can_resume=False),
        event=3,
    ),
    Case(
        Kind.SILENCE,
        evolve(INTERRUPTED, event_ids=event_ids_up_to(2), ending="silent"),
        event=2,
    ),
    Case(
        Kind.TRUNCATE,
        evolve(INTERRUPTED, event_ids=event_ids_up_to(5), ending="whole"),
        event=5,
    ),
    Case(
        Kind.CRASH,
        evolve(INTERRUPTED, event_ids=event_ids_up_to(1), can_resume=False),
        event=1,
        crashes=1,
    ),
    Case(Kind.CROSS, Observed(200, "someone-else", event_ids_up_to(26), "whole", True)),
    Case(
        Kind.DUPLICATE,
        Observed(200, "r1", (1, 2, 2, *range(3, 9)), "whole", True),
        event=2,
    ),
    Case(
        Kind.RUBBISH,
        Observed(200, "r1", event_ids_up_to(ALL_EVENTS), "whole", True, True),
        event=2,
    ),
    Case(Kind.FAIL, Observed(500, ending="whole")),
)


class EngineFaultTests(AsyncTestCase):
    """Test faults of streams and other calls, crashes and pauses."""

    async def open_engine(self, settings: EngineSettings = FAST) -> EngineStandin:
        """Start an engine and open a client session for it."""
        standin = await self.enter(EngineStandin(settings))
        self.session = await self.enter(aiohttp.ClientSession(standin.base_url))
        return standin

    async def request_stream(self, text: str = "words:6 please") -> Observed:
        """Request a stream and return what was observed."""
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
                return await self.read_stream(response)
        except aiohttp.ClientError:
            return Observed()

    async def read_stream(self, response: aiohttp.ClientResponse) -> Observed:
        """Read a stream until it ends, breaks or falls silent."""
        lines, ending = [], "whole"
        try:
            async for line in response.content:
                lines.append(line.decode().strip())
        except aiohttp.ServerTimeoutError:
            ending = "silent"
        except aiohttp.ClientError:
            ending = "broken"
        stream_id = response.headers.get("X-Stream-Id")
        return Observed(
            status=response.status,
            request_id=response.headers.get("X-Request-Id", ""),
            event_ids=tuple(int(line[4:]) for line in lines if line[:3] == "id:"),
            ending=ending,
            can_resume=stream_id is not None and await self.can_resume(stream_id),
            rubbish="data: {rubbish" in lines,
        )

    async def can_resume(self, stream_id: str) -> bool:
        """Return whether the whole stream can be read again."""
        try:
            async with self.session.get(f"/streams/{stream_id}?after=0") as response:
                return "[DONE]" in await response.text()
        except aiohttp.ClientError:
            return False

    async def test_streams(self) -> None:
        """Inject each fault of the table, then request an intact stream."""
        for case in CASES:
            standin = await self.open_engine()
            standin.add_fault(case.kind, event=case.event)
            self.assertEqual(case.observed, await self.request_stream(), case)
            records = standin.records
            self.assertEqual(case.ran, records.starts_by_request_id["r1"], case)
            self.assertEqual(case.crashes, len(records.crash_times), case)
            await self.wait_until(lambda s=standin: s.server.is_listening)
            whole = Observed(200, "r1", event_ids_up_to(ALL_EVENTS), "whole", True)
            self.assertEqual(whole, await self.request_stream(), case)

    async def test_whole_answers(self) -> None:
        """Inject faults into answers that are not streamed."""
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
            observed = None
            try:
                async with self.session.post(
                    "/v1/chat/completions",
                    json=body,
                    timeout=aiohttp.ClientTimeout(sock_read=SILENCE_SECONDS),
                ) as response:
                    observed = response.status
                    await response.json()
            except aiohttp.ServerTimeoutError:
                observed = "silent"
            except aiohttp.ClientError:
                observed = "cut" if observed == 200 else observed
            self.assertEqual(outcome, observed, kind)

    async def test_cold_engine_crashes(self) -> None:
        """Crash above the cold limit and restart cold, a new incarnation."""
        standin = await self.open_engine(evolve(FAST, cold_limit=2))
        before = standin.engine.incarnation
        observed = await asyncio.gather(*(self.request_stream() for _ in range(3)))
        self.assertNotIn("whole", [one.ending for one in observed])
        self.assertEqual(1, standin.records.cold_crashes)
        self.assertEqual(0, standin.engine.cache.tokens)
        self.assertNotEqual(before, standin.engine.incarnation)
        await self.wait_until(lambda: standin.server.is_listening)
        # After four answers it can run four requests at once.
        for _ in range(4):
            self.assertEqual("whole", (await self.request_stream()).ending)
        observed = await asyncio.gather(*(self.request_stream() for _ in range(4)))
        self.assertEqual({"whole"}, {one.ending for one in observed})
        self.assertEqual(1, len(standin.records.crash_times))

    async def test_sudden_cold(self) -> None:
        """Tolerate running requests; apply the cold limit after one answer."""
        standin = await self.open_engine(evolve(FAST, cold_limit=2))
        standin.engine.batch.answers = 100
        await asyncio.gather(*(self.request_stream() for _ in range(8)))
        standin.engine.turn_cold()
        await asyncio.gather(*(self.request_stream() for _ in range(2)))
        self.assertEqual([], standin.records.crash_times)
        await asyncio.gather(*(self.request_stream() for _ in range(4)))
        records = standin.records
        self.assertEqual((0, 1), (records.cold_crashes, records.sudden_cold_crashes))

    async def test_poison(self) -> None:
        """Crash the engine that runs a poison prompt."""
        standin = await self.open_engine()
        observed = await asyncio.gather(
            self.request_stream("poison-7 please"), self.request_stream()
        )
        self.assertNotIn("whole", [one.ending for one in observed])
        self.assertEqual({"poison-7": 1}, standin.records.crashes_by_poison)

    async def test_pause(self) -> None:
        """Stall with open connections, then continue."""
        standin = await self.open_engine()
        standin.engine.pause()
        stream = asyncio.create_task(self.request_stream())
        load = asyncio.create_task(self.session.get("/load"))
        done, _ = await asyncio.wait({stream, load}, timeout=SILENCE_SECONDS / 3)
        self.assertEqual(set(), done)
        standin.engine.unpause()
        self.assertEqual("whole", (await stream).ending)
        (await load).close()

    async def test_load_report_lag(self) -> None:
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
        """Inject faults into load reports over HTTP."""
        await self.open_engine()
        for kind, observed in (("refuse", 503), ("rubbish", 200), ("break", None)):
            fault_order = {"kind": kind, "operation": "load"}
            async with self.session.post("/_faults", json=fault_order) as response:
                self.assertEqual(204, response.status)
            self.assertEqual(observed, await self.get_load_status())
            self.assertEqual(200, await self.get_load_status())

    async def get_load_status(self) -> int | None:
        """Return the HTTP status of a load report, or None if it broke."""
        try:
            async with self.session.get(
                "/load", middlewares=(forbid_resend,)
            ) as response:
                return response.status
        except aiohttp.ClientError:
            return None
