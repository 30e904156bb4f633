"""Test that each check accepts good records and reports bad ones."""

import math
from collections import Counter

import testtools
from multidict import CIMultiDict

from teaselpond_standins.drill.records import Ending
from teaselpond_standins.platform.operator import KEY
from teaselpond_standins.service.listed import SeenCall
from teaselpond_standins.soak import checks
from teaselpond_standins.soak.records import (
    STORE,
    Attempt,
    CallKind,
    DirectoryAnswer,
    SoakRecords,
    Stop,
    Trouble,
)

EVENTS = b"".join(b"id: %d\ndata: event %d\n\n" % (n, n) for n in range(1, 6))


class CheckTests(testtools.TestCase):
    """Run the checks on records of one gateway and one engine."""

    def setUp(self) -> None:
        super().setUp()
        self.records = SoakRecords()
        self.calls: list[SeenCall] = []
        self.runs: Counter[str] = Counter()

    def attempt(self, kind: CallKind = CallKind.ORDER, **fields) -> Attempt:
        """Record an attempt with a complete answer; ``fields`` change it."""
        number = len(self.records.attempts)
        method = "GET" if kind is CallKind.STOCK else "POST"
        target = f"/{kind.value}/{number}"
        values = {
            "request_id": f"request-{number}",
            "kind": kind,
            "gateway": "edge-0",
            "target": target,
            "key": KEY,
            "headers": {},
            "deadline_seconds": 3.0,
            "sent": 100.0,
            "ended": 100.1,
            "ending": Ending.WHOLE,
            "status": 200,
            "seal": "signed-by-plain-0",
            "body": EVENTS
            if kind.is_stream
            else f"{method} {target} by plain-0".encode(),
        }
        attempt = Attempt(**{**values, **fields})
        self.records.attempts.append(attempt)
        return attempt

    def record_call(self, attempt: Attempt, at: float = 100.0, **fields) -> None:
        """Record that an attempt reached the engine and ran.

        ``fields`` change the recorded call.
        """
        is_stock = attempt.kind is CallKind.STOCK
        values = {
            "at": at,
            "request_id": attempt.request_id,
            "method": "GET" if is_stock else "POST",
            "target": attempt.target,
            "headers": CIMultiDict({"X-Teaselpond-Tenant": "w1", **attempt.headers}),
            "body": b"" if is_stock else attempt.request_id.encode(),
        }
        self.calls.append(SeenCall(**{**values, **fields}))
        self.runs[attempt.request_id] += 1

    def assert_verdict(self, check, *, held: bool, cases: int | None = None) -> None:
        """Run a check, and assert its result and its number of cases."""
        evidence = checks.Evidence(self.records, {"plain-0": self.calls}, self.runs)
        verdict = check(evidence)
        self.assertEqual(held, verdict.held, str(verdict))
        if cases is not None:
            self.assertEqual(cases, verdict.cases)

    def test_requests_unchanged(self) -> None:
        self.record_call(self.attempt())
        self.assert_verdict(checks.check_requests_unchanged, held=True, cases=1)
        self.record_call(self.attempt(), body=b"other")
        self.assert_verdict(checks.check_requests_unchanged, held=False)

    def test_request_with_key(self) -> None:
        attempt = self.attempt()
        headers = CIMultiDict({"X-Teaselpond-Tenant": "w1", "Authorization": "x"})
        self.record_call(attempt, headers=headers)
        self.assert_verdict(checks.check_requests_unchanged, held=False)

    def test_request_without_attempt(self) -> None:
        attempt = self.attempt()
        self.records.attempts.clear()
        self.record_call(attempt)
        self.assert_verdict(checks.check_requests_unchanged, held=False)

    def test_answers(self) -> None:
        self.attempt()
        self.attempt(CallKind.STREAM)
        self.assert_verdict(checks.check_answers, held=True, cases=2)
        self.attempt(seal="")
        self.assert_verdict(checks.check_answers, held=False)

    def test_answers_of_another(self) -> None:
        self.attempt(body=b"POST /orders/99 by plain-0")
        self.assert_verdict(checks.check_answers, held=False)

    def test_stream_that_looks_complete(self) -> None:
        self.attempt(CallKind.SINGLE, body=EVENTS[:23])
        self.assert_verdict(checks.check_answers, held=False)

    def test_cut_streams(self) -> None:
        self.attempt(CallKind.STREAM, ending=Ending.CUT, body=EVENTS[:30])
        self.assert_verdict(checks.check_cut_streams, held=True, cases=1)
        self.attempt(CallKind.STREAM, ending=Ending.CUT, body=EVENTS[23:])
        self.assert_verdict(checks.check_cut_streams, held=False)

    def test_run_at_most_once(self) -> None:
        stock = self.attempt(CallKind.STOCK)
        order = self.attempt()
        for attempt in (stock, stock, order):
            self.record_call(attempt)
        self.assert_verdict(checks.check_run_at_most_once, held=True, cases=1)
        self.record_call(order)
        self.assert_verdict(checks.check_run_at_most_once, held=False)

    def test_refusals_not_run(self) -> None:
        refused = self.attempt(status=503, ending=Ending.REFUSED)
        self.assert_verdict(checks.check_refusals_not_run, held=True, cases=1)
        self.record_call(refused)
        self.assert_verdict(checks.check_refusals_not_run, held=False)

    def test_revoked_keys(self) -> None:
        self.records.revoked_at_by_key["old"] = 90.0
        self.record_call(self.attempt(key="old", sent=94.9))
        self.assert_verdict(checks.check_revoked_keys, held=True, cases=0)
        self.record_call(self.attempt(key="old", sent=95.1))
        self.assert_verdict(checks.check_revoked_keys, held=False, cases=1)

    def test_denials(self) -> None:
        for _ in range(5):
            self.attempt(status=404, ending=Ending.REFUSED)
        self.assert_verdict(checks.check_denials, held=True, cases=5)
        self.attempt(status=401, ending=Ending.REFUSED)
        self.assert_verdict(checks.check_denials, held=False)

    def test_removed_engines(self) -> None:
        self.records.left_at_by_engine["plain-0"] = [(90.0, 100.0)]
        self.record_call(self.attempt(sent=92.9), at=93.1)
        self.assert_verdict(checks.check_removed_engines, held=True, cases=1)
        self.record_call(self.attempt(sent=93.1), at=93.2)
        self.assert_verdict(checks.check_removed_engines, held=False)

    def test_removed_engine_during_store_outage(self) -> None:
        self.records.left_at_by_engine["plain-0"] = [(90.0, 100.0)]
        self.records.troubles.append(Trouble(STORE, "down", 91.0, 92.0))
        self.record_call(self.attempt(sent=95.0), at=95.0)
        self.assert_verdict(checks.check_removed_engines, held=True, cases=1)

    def test_deadlines(self) -> None:
        self.attempt(ended=103.4)
        self.assert_verdict(checks.check_deadlines, held=True, cases=1)
        self.attempt(ended=103.6, ending=Ending.SILENT)
        self.assert_verdict(checks.check_deadlines, held=False)

    def test_deadline_at_a_paused_gateway(self) -> None:
        self.records.troubles.append(Trouble("edge-0", "paused", 99.0, math.inf))
        self.attempt(ended=105.0, ending=Ending.SILENT)
        self.assert_verdict(checks.check_deadlines, held=True, cases=0)

    def test_retry_after(self) -> None:
        self.attempt(status=503, ending=Ending.REFUSED, retry_after=0.1)
        self.assert_verdict(checks.check_retry_after, held=True, cases=1)
        self.attempt(status=503, ending=Ending.REFUSED)
        self.assert_verdict(checks.check_retry_after, held=False)

    def test_retry_budget(self) -> None:
        stock = self.attempt(CallKind.STOCK)
        for _ in range(51):
            self.record_call(stock)
        self.assert_verdict(checks.check_retry_budget, held=True, cases=50)
        self.record_call(stock)
        self.assert_verdict(checks.check_retry_budget, held=False)

    def test_abandoned_requests(self) -> None:
        for _ in range(3):
            abandoned = self.attempt(gave_up_at=100.1, ending=Ending.CUT)
            self.record_call(abandoned, at=100.7)
        self.assert_verdict(checks.check_abandoned_requests, held=True, cases=3)
        self.record_call(abandoned, at=100.7)
        self.assert_verdict(checks.check_abandoned_requests, held=False)

    def test_planned_stops(self) -> None:
        self.records.stops.append(Stop("edge-0", 99.0, 104.0, 0))
        self.record_call(self.attempt())
        self.assert_verdict(checks.check_planned_stops, held=True, cases=1)
        self.record_call(self.attempt(ending=Ending.CUT))
        self.assert_verdict(checks.check_planned_stops, held=False)

    def test_planned_stop_with_exit_code(self) -> None:
        self.records.stops.append(Stop("edge-0", 99.0, 104.0, 1))
        self.assert_verdict(checks.check_planned_stops, held=False)

    def test_slow_engines(self) -> None:
        """Cut and given up before the deadline, with no other disturbance."""
        self.record_call(self.attempt())
        late = {"ended": 102.8, "ending": Ending.CUT}
        self.record_call(self.attempt(CallKind.STREAM, **late))
        self.assert_verdict(checks.check_slow_engines, held=True, cases=2)
        self.record_call(self.attempt(CallKind.STREAM, ending=Ending.CUT))
        self.assert_verdict(checks.check_slow_engines, held=False)

    def test_calls_of_slow_engines(self) -> None:
        """A 502 gives an engine up, unless its connection was disturbed."""
        self.record_call(self.attempt(CallKind.STOCK, status=502))
        self.assert_verdict(checks.check_slow_engines, held=False)
        self.records.troubles.append(Trouble("plain-0", "crashed", 100.0, 100.5))
        self.assert_verdict(checks.check_slow_engines, held=True, cases=0)

    def test_directory(self) -> None:
        self.records.troubles.append(Trouble("edge-1", "killed", 80.0, 200.0))
        for _ in range(3):
            self._record_directory_answer(100.0)
        self._record_directory_answer(87.0)
        self.assert_verdict(checks.check_directory, held=True, cases=4)
        self._record_directory_answer(100.0)
        self.assert_verdict(checks.check_directory, held=False)

    def _record_directory_answer(self, at: float) -> None:
        named = frozenset({"edge-0", "edge-1"})
        self.records.answers.append(DirectoryAnswer(at, "edge-0", named))

    def test_recovery(self) -> None:
        self.records.last_attempts.append(self.attempt())
        self.assert_verdict(checks.check_recovery, held=True, cases=1)
        self.records.unready_at_end.append("edge-0")
        self.assert_verdict(checks.check_recovery, held=False)
