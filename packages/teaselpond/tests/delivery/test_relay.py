"""Test the relay with each fault of an engine at each event of a chat."""

import asyncio
import json
import time

from attrs import frozen

from teaselpond.delivery.tokens import SigningKey
from teaselpond.policy import Grant, Outcome, PolicySettings, SlotRequest
from teaselpond_standins.engine import EngineFaultKind, EngineSettings
from teaselpond_standins.testing import AsyncTestCase

from .relay_harness import RecordingCaller, RelayHarness, answer_to, make_call

F = EngineFaultKind
# An answer of 12 words has 14 events: words, finish reason, terminal event.
EVENTS = 14
# Each event takes longer than the harness's limits on silence together.
SLOW_ENGINE = EngineSettings(cold_factor=1.0, step_seconds=1.7)
# A second request waits for the end of the first one.
BUSY_ENGINE = EngineSettings(slots=1, cold_limit=1, cold_factor=1.0, step_seconds=0.4)
# The first request ends in this time.
LATE_SLOT_SECONDS = 2.0


@frozen
class Case:
    """Hold a fault at an event and how often engines may start the request."""

    kind: EngineFaultKind
    event: int
    operation: str = "chat"
    starts: int = 1


RESUMED = (F.BREAK, F.TRUNCATE, F.SILENCE, F.DUPLICATE, F.RUBBISH)
CONTINUED = (F.FORGET, F.CRASH)
CASES = [
    *(Case(kind, event) for kind in RESUMED for event in range(EVENTS + 1)),
    *(Case(kind, event, starts=2) for kind in CONTINUED for event in range(EVENTS + 1)),
    Case(F.REFUSE, 0),
    Case(F.DROP, 0),
    Case(F.CROSS, 0, starts=2),
    Case(F.FAIL, 0, starts=2),
]


class RelayFaultTests(AsyncTestCase):
    """Check that callers receive complete, exact answers."""

    async def test_each_fault_at_each_event(self) -> None:
        """Resume at the same engine or continue at another one."""
        seen = []
        for start in range(0, len(CASES), 30):
            part = CASES[start : start + 30]
            seen += await asyncio.gather(*(self._run(case) for case in part))
        wrong = [
            (case, found)
            for case, found in zip(CASES, seen, strict=True)
            if found != "whole"
        ]
        self.assertEqual([], wrong)

    async def _run(self, case: Case) -> str:
        async with RelayHarness() as harness:
            harness.standins[0].add_fault(case.kind, event=case.event)
            result = await harness.run_call(make_call())
            if harness.slots.engine_ids_by_grant_id:
                return f"slots held: {harness.slots.engine_ids_by_grant_id}"
            starts = sum(
                standin.records.starts_by_request_id["r1"]
                for standin in harness.standins
            )
            return result if starts <= case.starts else f"{starts} starts"

    async def test_each_break_of_a_resumed_stream(self) -> None:
        """Complete the answer when the resumed stream breaks as well."""
        for kind in (F.BREAK, F.DROP, F.SILENCE, F.TRUNCATE, F.REFUSE):
            async with RelayHarness() as harness:
                harness.standins[0].add_fault(F.BREAK, event=3)
                harness.standins[0].add_fault(kind, "resume", event=6)
                self.assertEqual("whole", await harness.run_call(make_call()), kind)

    async def test_two_engines_fail_in_turn(self) -> None:
        """Continue an answer at a third engine after two have failed."""
        async with RelayHarness() as harness:
            for event, standin in enumerate(harness.standins[:2], 4):
                standin.add_fault(F.FORGET, event=event)
            self.assertEqual("whole", await harness.run_call(make_call()))
            outcomes = [release.outcome for release in harness.slots.releases]
            failed, done = Outcome.FAILED, Outcome.COMPLETED
            self.assertEqual([failed, failed, done], outcomes)

    async def test_engines_return_after_a_crash(self) -> None:
        """Continue an answer when no engine is available for a short time."""
        async with RelayHarness() as harness:
            harness.standins[0].add_fault(F.CRASH, event=4)
            harness.slots.refused_continuations = 2
            self.assertEqual("whole", await harness.run_call(make_call()))

    async def test_no_engine_before_the_first_event(self) -> None:
        """Refuse at once if the caller has received no event yet."""
        async with RelayHarness() as harness:
            harness.standins[0].add_fault(F.REFUSE)
            harness.slots.refused_continuations = 2
            self.assertEqual("no-upstream not-run", await harness.run_call(make_call()))
            self.assertEqual(2, len(harness.slots.requests))

    async def test_token_limit_spans_engines(self) -> None:
        """Count tokens sent by an earlier engine against max_tokens."""
        async with RelayHarness() as harness:
            harness.standins[0].add_fault(F.CRASH, event=4)
            call = make_call(document={"max_tokens": 6})
            self.assertEqual("whole", await harness.run_call(call))

    async def test_answer_that_is_not_streamed(self) -> None:
        """Return a complete answer despite a crash."""
        async with RelayHarness() as harness:
            harness.standins[0].add_fault(F.CRASH, event=4)
            call = make_call(document={"stream": False})
            answer = await harness.relay.answer(call)
            document = json.loads(answer.body)
            message = document["choices"][0]["message"]
            self.assertEqual(answer_to(call), message["content"])
            self.assertEqual("stop", document["choices"][0]["finish_reason"])
            self.assertIn("completion_tokens", document["usage"])


class RelayRefusalTests(AsyncTestCase):
    """Check the refusal when no complete answer is possible."""

    async def test_verdicts(self) -> None:
        """Report "not-run" only if no attempt was run."""
        for kind, event, expected in (
            (F.REFUSE, 0, "overloaded not-run"),
            (F.DROP, 0, "upstream-broken may-have-run"),
            (F.SILENCE, 0, "upstream-silent may-have-run"),
            (F.CROSS, 0, "upstream-broken may-have-run"),
        ):
            async with RelayHarness() as harness:
                for standin in harness.standins:
                    standin.add_fault(kind, event=event, count=-1)
                    standin.add_fault(F.REFUSE, "resume", count=-1)
                self.assertEqual(expected, await harness.run_call(make_call()), kind)
                self.assertEqual({}, harness.slots.engine_ids_by_grant_id)

    async def test_mixed_attempts_are_not_reported_as_not_run(self) -> None:
        """Report that an earlier attempt may have run."""
        async with RelayHarness() as harness:
            harness.standins[0].add_fault(F.DROP)
            for standin in harness.standins[1:]:
                standin.add_fault(F.REFUSE)
            self.assertEqual(
                "overloaded may-have-run", await harness.run_call(make_call())
            )

    async def test_all_engines_down(self) -> None:
        """Report "not-run" if no connection could be made."""
        async with RelayHarness() as harness:
            for standin in harness.standins:
                await standin.server.start_outage()
            expected = "retries-exhausted not-run"
            self.assertEqual(expected, await harness.run_call(make_call()))

    async def test_retries_stay_within_their_budget(self) -> None:
        """Make at most 1.1 attempts per request when every engine is down."""
        async with RelayHarness(engines=2) as harness:
            for standin in harness.standins:
                await standin.server.start_outage()
            for index in range(300):
                await harness.run_call(make_call(request_id=f"r{index}"))
            self.assertLessEqual(len(harness.slots.requests), 330)


class SlowEngineTests(AsyncTestCase):
    """Check engines that pause for longer than an attempt may be silent."""

    async def run_slow_call(self, **fields: object) -> tuple[str, int]:
        """Return a call's result, and how many slots were granted."""
        async with RelayHarness(engine=SLOW_ENGINE, **fields) as harness:
            result = await harness.run_call(make_call("words:2"))
            return result, len(harness.slots.releases)

    async def test_only_engine_is_waited_for(self) -> None:
        """Guard against answers given up because no other engine is free."""
        self.assertEqual(("whole", 1), await self.run_slow_call(engines=1))

    async def test_engine_is_waited_for_without_a_retry(self) -> None:
        """Guard against answers given up because a retry is refused."""
        policy = PolicySettings(attempts_per_request=1)
        result, granted = await self.run_slow_call(engines=2, policy=policy)
        self.assertEqual("whole", result)
        self.assertLessEqual(granted, 2)

    async def test_reserved_slot_of_a_begun_stream_has_time(self) -> None:
        """Guard against retries whose slot is refused as too late."""
        async with RelayHarness(engines=2) as harness:
            harness.standins[0].add_fault(F.SILENCE, event=4)
            harness.standins[0].add_fault(F.SILENCE, "resume", count=-1)
            call = make_call(seconds=0.5)
            self.assertEqual("whole", await harness.run_call(call))
            _, retry = harness.slots.requests
            self.assertGreater(retry.deadline, call.deadline)

    async def test_answer_that_begins_late_is_waited_for(self) -> None:
        """Guard against calls given up before the head of their answer."""
        async with RelayHarness(engine=BUSY_ENGINE, engines=1) as harness:
            calls = (make_call("words:2", request_id=name) for name in "ab")
            results = await asyncio.gather(*map(harness.run_call, calls))
            self.assertEqual(["whole", "whole"], results)

    async def test_reserved_slot_is_released_when_the_engine_answers(self) -> None:
        """Guard against slots that are held for the time of a stream."""
        async with RelayHarness(
            engine=BUSY_ENGINE, engines=2, resume_idle_seconds=5.0
        ) as harness:
            slots = harness.slots
            acquire, granted = slots.acquire, asyncio.Event()

            async def acquire_late(request: SlotRequest) -> Grant:
                if request.excluded:
                    await asyncio.sleep(LATE_SLOT_SECONDS)
                    granted.set()
                return await acquire(request)

            slots.acquire = acquire_late
            first = harness.run_call(make_call("words:2", request_id="a"))
            second = harness.run_call(make_call("words:9", request_id="b"))
            running = asyncio.gather(first, second)
            await granted.wait()
            await asyncio.sleep(0.1)
            self.assertEqual(["e0"], list(slots.engine_ids_by_grant_id.values()))
            self.assertEqual(["whole", "whole"], await running)

    async def test_silence_ends_with_the_time_of_the_call(self) -> None:
        """Guard against a call that waits for a silent engine for ever."""
        async with RelayHarness(engines=1, continuation_seconds=1.0) as harness:
            for event in (0, 4):
                harness.standins[0].add_fault(F.SILENCE, event=event)
                harness.standins[0].add_fault(F.SILENCE, "resume", count=-1)
                call = make_call(request_id=f"r{event}", seconds=2.0)
                started_at = time.monotonic()
                result = await harness.run_call(call)
                self.assertNotEqual("whole", result)
                self.assertLess(time.monotonic() - started_at, 6.0)


class RelayCallerTests(AsyncTestCase):
    """Check callers that disconnect, stall and resume."""

    async def test_disconnected_caller_cancels_the_run(self) -> None:
        """Cancel at the engine, whenever the caller disconnects."""
        for events in (0, 1, 5):
            async with RelayHarness() as harness:
                call = make_call("long words:400")
                result = await harness.run_call(
                    call, RecordingCaller(disconnects_after=events)
                )
                self.assertEqual("gone", result)
                self.assertEqual(1, harness.cancelled)
                self.assertEqual({}, harness.slots.engine_ids_by_grant_id)

    async def test_stalled_caller_times_out(self) -> None:
        """End a call whose caller reads nothing, and release the slot."""
        async with RelayHarness(caller_idle_seconds=0.1) as harness:
            call = make_call("long words:400")
            self.assertEqual(
                "gone", await harness.run_call(call, RecordingCaller(stalls_after=3))
            )
            self.assertEqual(
                (1, {}), (harness.cancelled, harness.slots.engine_ids_by_grant_id)
            )

    async def test_cancelled_call_releases_its_slot(self) -> None:
        """Cancel at the engine before and after the first event."""
        await self._cancel_when(lambda _, records: records.starts_by_request_id)
        await self._cancel_when(lambda caller, _: caller.events)

    async def _cancel_when(self, condition) -> None:
        async with RelayHarness() as harness:
            caller = RecordingCaller()
            call = make_call("long words:400")
            task = asyncio.create_task(harness.relay.run(call, caller))
            records = harness.standins[0].records
            await self.wait_until(lambda: condition(caller, records))
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            await harness.relay.drain()
            self.assertEqual(
                (1, {}), (harness.cancelled, harness.slots.engine_ids_by_grant_id)
            )

    async def test_slot_is_kept_while_the_engine_may_still_run(self) -> None:
        """Keep the slot after an answer with another request's id.

        Its stream id is unknown, so the run can't be cancelled.
        """
        async with RelayHarness(abandoned_slot_seconds=4.0) as harness:
            harness.standins[0].add_fault(F.CROSS)
            await harness.relay.run(make_call(), RecordingCaller())
            held = harness.slots.engine_ids_by_grant_id
            await self.wait_until(lambda: list(held.values()) == ["e0"])
            await harness.relay.drain()
            self.assertEqual({}, held)

    async def test_caller_resumes_at_another_daemon(self) -> None:
        """Resume an answer after each event, given only the event id."""
        for events in range(1, EVENTS):
            async with RelayHarness(engines=1) as harness:
                call = make_call(resumable=True)
                caller = RecordingCaller(disconnects_after=events)
                await harness.run_call(call, caller)
                caller.disconnects_after = None
                other = harness.make_relay("d2")
                await other.resume(caller.last_event_id, "w", caller)
                self.assertEqual(answer_to(call), caller.text)
                self.assertTrue(caller.whole)

    async def test_invalid_token_is_refused(self) -> None:
        """Refuse invalid tokens, and a valid one whose stream is lost."""
        async with RelayHarness(engines=1) as harness:
            caller = RecordingCaller(disconnects_after=3)
            await harness.run_call(make_call(resumable=True), caller)
            token = caller.last_event_id
            rotated = harness.make_relay("d2", (SigningKey("k2", b"z" * 16),))
            for relay, workspace, text in (
                (harness.relay, "other", token),
                (harness.relay, "w", token[:-6] + "AAAA.3"),
                (rotated, "w", token),
            ):
                refused = await self._refusal(
                    relay.resume(text, workspace, RecordingCaller())
                )
                self.assertEqual("token-invalid not-run", refused)
            harness.standins[0].engine.crash()
            refused = await self._refusal(
                harness.relay.resume(token, "w", RecordingCaller())
            )
            self.assertEqual("stream-lost ran", refused)

    async def _refusal(self, awaitable) -> str:
        try:
            await awaitable
        except Exception as error:
            return f"{error.reason.value} {error.run.value}"
        return "served"
