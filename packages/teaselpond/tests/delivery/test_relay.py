"""Strike each event of a chat with each fault of an engine."""

import asyncio
import json

from attrs import frozen

from teaselpond.delivery.tokens import SigningKey
from teaselpond.policy import Outcome
from teaselpond_standins.engine import EngineFaultKind
from teaselpond_standins.testing import AsyncTestCase

from .relays import Caller, RelayBench, answer_to, make_call

F = EngineFaultKind
# An answer of 12 words is 14 events: the words, the finish, the terminal one.
EVENTS = 14


@frozen
class Case:
    """Hold a fault at an event and how many engines may have to run it."""

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
    """Check that callers get whole answers, byte for byte."""

    async def test_each_fault_at_each_event(self) -> None:
        """Resume on the same engine or continue on another one."""
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
        async with RelayBench() as bench:
            bench.standins[0].add_fault(case.kind, event=case.event)
            result = await bench.ask(make_call())
            if bench.slots.held_by_grant:
                return f"slots held: {bench.slots.held_by_grant}"
            starts = sum(
                standin.records.starts_by_request_id["r1"] for standin in bench.standins
            )
            return result if starts <= case.starts else f"{starts} starts"

    async def test_each_break_of_a_resumed_stream(self) -> None:
        """Go on when the resumed stream breaks as well."""
        for kind in (F.BREAK, F.DROP, F.SILENCE, F.TRUNCATE, F.REFUSE):
            async with RelayBench() as bench:
                bench.standins[0].add_fault(F.BREAK, event=3)
                bench.standins[0].add_fault(kind, "resume", event=6)
                self.assertEqual("whole", await bench.ask(make_call()), kind)

    async def test_two_engines_fail_in_turn(self) -> None:
        """Continue a continued answer on a third engine."""
        async with RelayBench() as bench:
            for event, standin in enumerate(bench.standins[:2], 4):
                standin.add_fault(F.FORGET, event=event)
            self.assertEqual("whole", await bench.ask(make_call()))
            outcomes = [release.outcome for release in bench.slots.releases]
            failed, done = Outcome.FAILED, Outcome.COMPLETED
            self.assertEqual([failed, failed, done], outcomes)

    async def test_engines_return_after_a_crash(self) -> None:
        """Continue an answer when no engine is there for a moment."""
        async with RelayBench() as bench:
            bench.standins[0].add_fault(F.CRASH, event=4)
            bench.slots.refused_continuations = 2
            self.assertEqual("whole", await bench.ask(make_call()))

    async def test_no_engine_before_the_first_event(self) -> None:
        """Refuse at once what has shown nothing yet."""
        async with RelayBench() as bench:
            bench.standins[0].add_fault(F.REFUSE)
            bench.slots.refused_continuations = 2
            self.assertEqual("no-upstream not-run", await bench.ask(make_call()))
            self.assertEqual(2, len(bench.slots.requests))

    async def test_limit_of_tokens_holds_over_engines(self) -> None:
        """Count what was sent against the caller's max_tokens."""
        async with RelayBench() as bench:
            bench.standins[0].add_fault(F.CRASH, event=4)
            call = make_call(document={"max_tokens": 6})
            self.assertEqual("whole", await bench.ask(call))

    async def test_answer_that_is_not_streamed(self) -> None:
        """Gather a whole answer over a crash."""
        async with RelayBench() as bench:
            bench.standins[0].add_fault(F.CRASH, event=4)
            call = make_call(document={"stream": False})
            answer = await bench.relay.answer(call)
            document = json.loads(answer.body)
            message = document["choices"][0]["message"]
            self.assertEqual(answer_to(call), message["content"])
            self.assertEqual("stop", document["choices"][0]["finish_reason"])
            self.assertIn("completion_tokens", document["usage"])


class RelayRefusalTests(AsyncTestCase):
    """Check what is said when no whole answer can be had."""

    async def test_verdicts(self) -> None:
        """Say "not run" only when each attempt was not run."""
        for kind, event, wanted in (
            (F.REFUSE, 0, "overloaded not-run"),
            (F.DROP, 0, "upstream-broken may-have-run"),
            (F.SILENCE, 0, "upstream-silent may-have-run"),
            (F.CROSS, 0, "upstream-broken may-have-run"),
        ):
            async with RelayBench() as bench:
                for standin in bench.standins:
                    standin.add_fault(kind, event=event, count=-1)
                    standin.add_fault(F.REFUSE, "resume", count=-1)
                self.assertEqual(wanted, await bench.ask(make_call()), kind)
                self.assertEqual({}, bench.slots.held_by_grant)

    async def test_mixed_attempts_are_not_called_not_run(self) -> None:
        """Remember that an earlier attempt may have run."""
        async with RelayBench() as bench:
            bench.standins[0].add_fault(F.DROP)
            for standin in bench.standins[1:]:
                standin.add_fault(F.REFUSE)
            self.assertEqual("overloaded may-have-run", await bench.ask(make_call()))

    async def test_all_engines_down(self) -> None:
        """Say "not run" when no connection could be made."""
        async with RelayBench() as bench:
            for standin in bench.standins:
                await standin.server.start_outage()
            wanted = "retries-exhausted not-run"
            self.assertEqual(wanted, await bench.ask(make_call()))

    async def test_retries_do_not_storm(self) -> None:
        """Make at most 1.1 attempts a request when everything is down."""
        async with RelayBench(engines=2) as bench:
            for standin in bench.standins:
                await standin.server.start_outage()
            for index in range(300):
                await bench.ask(make_call(request_id=f"r{index}"))
            self.assertLessEqual(len(bench.slots.requests), 330)


class RelayCallerTests(AsyncTestCase):
    """Check callers that leave, stall and come back."""

    async def test_engine_is_told_that_a_caller_left(self) -> None:
        """Cancel at the engine, whenever the caller leaves."""
        for events in (0, 1, 5):
            async with RelayBench() as bench:
                call = make_call("long words:400")
                gone = await bench.ask(call, Caller(leaves_after=events))
                self.assertEqual("gone", gone)
                self.assertEqual(1, bench.cancelled)
                self.assertEqual({}, bench.slots.held_by_grant)

    async def test_stalled_caller_is_left(self) -> None:
        """Give up on a caller that takes no bytes, and free the slot."""
        async with RelayBench(caller_seconds=0.1) as bench:
            call = make_call("long words:400")
            self.assertEqual("gone", await bench.ask(call, Caller(stalls_after=3)))
            self.assertEqual((1, {}), (bench.cancelled, bench.slots.held_by_grant))

    async def test_cancelled_call_frees_all(self) -> None:
        """Cancel at the engine before and after the first event."""
        await self._cancel_when(lambda _, records: records.starts_by_request_id)
        await self._cancel_when(lambda caller, _: caller.events)

    async def _cancel_when(self, condition) -> None:
        async with RelayBench() as bench:
            caller = Caller()
            call = make_call("long words:400")
            task = asyncio.create_task(bench.relay.run(call, caller))
            records = bench.standins[0].records
            await self.wait_until(lambda: condition(caller, records))
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            await bench.relay.drain()
            self.assertEqual((1, {}), (bench.cancelled, bench.slots.held_by_grant))

    async def test_slot_is_kept_while_the_engine_may_still_run(self) -> None:
        """Keep the slot of a crossed answer, whose stream has no name."""
        async with RelayBench(abandoned_seconds=4.0) as bench:
            bench.standins[0].add_fault(F.CROSS)
            await bench.relay.run(make_call(), Caller())
            held = bench.slots.held_by_grant
            await self.wait_until(lambda: list(held.values()) == ["e0"])
            await bench.relay.drain()
            self.assertEqual({}, held)

    async def test_caller_resumes_at_another_daemon(self) -> None:
        """Give each rest of an answer by the event id alone."""
        for events in range(1, EVENTS):
            async with RelayBench(engines=1) as bench:
                call = make_call(resumable=True)
                caller = Caller(leaves_after=events)
                await bench.ask(call, caller)
                caller.leaves_after = None
                other = bench.make_relay("d2")
                await other.resume(caller.last_event_id, "w", caller)
                self.assertEqual(answer_to(call), caller.text)
                self.assertTrue(caller.whole)

    async def test_token_of_another_is_refused(self) -> None:
        """Refuse another workspace's token, a forged and a lost one."""
        async with RelayBench(engines=1) as bench:
            caller = Caller(leaves_after=3)
            await bench.ask(make_call(resumable=True), caller)
            token = caller.last_event_id
            rotated = bench.make_relay("d2", (SigningKey("k2", b"z" * 16),))
            for relay, workspace, text in (
                (bench.relay, "other", token),
                (bench.relay, "w", token[:-6] + "AAAA.3"),
                (rotated, "w", token),
            ):
                refused = await self._refusal(relay.resume(text, workspace, Caller()))
                self.assertEqual("token-invalid not-run", refused)
            bench.standins[0].engine.crash()
            refused = await self._refusal(bench.relay.resume(token, "w", Caller()))
            self.assertEqual("stream-lost ran", refused)

    async def _refusal(self, awaitable) -> str:
        try:
            await awaitable
        except Exception as error:
            return f"{error.reason.value} {error.run.value}"
        return "served"
