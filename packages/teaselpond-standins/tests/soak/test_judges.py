"""Give each judge evidence that breaks its promise, and some that holds."""

import math
from collections import Counter

import testtools
from multidict import CIMultiDict

from teaselpond_standins.drill.records import Ending
from teaselpond_standins.platform.operator import KEY
from teaselpond_standins.service.listed import SeenCall
from teaselpond_standins.soak import judges
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


class JudgeTests(testtools.TestCase):
    """Judge records of one gateway and one engine."""

    def setUp(self) -> None:
        super().setUp()
        self.records = SoakRecords()
        self.calls: list[SeenCall] = []
        self.runs: Counter[str] = Counter()

    def attempt(self, kind: CallKind = CallKind.ORDER, **fields) -> Attempt:
        """Record an attempt that was answered in full, unless told else."""
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

    def arrive(self, attempt: Attempt, at: float = 100.0, **fields) -> None:
        """Record that an attempt's call reached the engine and ran."""
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

    def check(self, judge, *, held: bool, cases: int | None = None) -> None:
        """Demand a verdict."""
        evidence = judges.Evidence(self.records, {"plain-0": self.calls}, self.runs)
        verdict = judge(evidence)
        self.assertEqual(held, verdict.held, str(verdict))
        if cases is not None:
            self.assertEqual(cases, verdict.cases)

    def test_asked(self) -> None:
        self.arrive(self.attempt())
        self.check(judges.judge_asked, held=True, cases=1)
        self.arrive(self.attempt(), body=b"other")
        self.check(judges.judge_asked, held=False)

    def test_asked_with_key(self) -> None:
        attempt = self.attempt()
        headers = CIMultiDict({"X-Teaselpond-Tenant": "w1", "Authorization": "x"})
        self.arrive(attempt, headers=headers)
        self.check(judges.judge_asked, held=False)

    def test_asked_by_nobody(self) -> None:
        attempt = self.attempt()
        self.records.attempts.clear()
        self.arrive(attempt)
        self.check(judges.judge_asked, held=False)

    def test_answers(self) -> None:
        self.attempt()
        self.attempt(CallKind.STREAM)
        self.check(judges.judge_answers, held=True, cases=2)
        self.attempt(seal="")
        self.check(judges.judge_answers, held=False)

    def test_answers_of_another(self) -> None:
        self.attempt(body=b"POST /orders/99 by plain-0")
        self.check(judges.judge_answers, held=False)

    def test_stream_that_looks_complete(self) -> None:
        self.attempt(CallKind.SINGLE, body=EVENTS[:23])
        self.check(judges.judge_answers, held=False)

    def test_pieces(self) -> None:
        self.attempt(CallKind.STREAM, ending=Ending.CUT, body=EVENTS[:30])
        self.check(judges.judge_pieces, held=True, cases=1)
        self.attempt(CallKind.STREAM, ending=Ending.CUT, body=EVENTS[23:])
        self.check(judges.judge_pieces, held=False)

    def test_once(self) -> None:
        stock = self.attempt(CallKind.STOCK)
        order = self.attempt()
        for attempt in (stock, stock, order):
            self.arrive(attempt)
        self.check(judges.judge_once, held=True, cases=1)
        self.arrive(order)
        self.check(judges.judge_once, held=False)

    def test_not_run(self) -> None:
        refused = self.attempt(status=503, ending=Ending.REFUSED)
        self.check(judges.judge_not_run, held=True, cases=1)
        self.arrive(refused)
        self.check(judges.judge_not_run, held=False)

    def test_revoked(self) -> None:
        self.records.revoked_at_by_key["old"] = 90.0
        self.arrive(self.attempt(key="old", sent=94.9))
        self.check(judges.judge_revoked, held=True, cases=0)
        self.arrive(self.attempt(key="old", sent=95.1))
        self.check(judges.judge_revoked, held=False, cases=1)

    def test_denied(self) -> None:
        for _ in range(5):
            self.attempt(status=404, ending=Ending.REFUSED)
        self.check(judges.judge_denied, held=True, cases=5)
        self.attempt(status=401, ending=Ending.REFUSED)
        self.check(judges.judge_denied, held=False)

    def test_leaving(self) -> None:
        self.records.left_at_by_engine["plain-0"] = [(90.0, 100.0)]
        self.arrive(self.attempt(sent=92.9), at=93.1)
        self.check(judges.judge_leaving, held=True, cases=1)
        self.arrive(self.attempt(sent=93.1), at=93.2)
        self.check(judges.judge_leaving, held=False)

    def test_leaving_unheard(self) -> None:
        self.records.left_at_by_engine["plain-0"] = [(90.0, 100.0)]
        self.records.troubles.append(Trouble(STORE, "down", 91.0, 92.0))
        self.arrive(self.attempt(sent=95.0), at=95.0)
        self.check(judges.judge_leaving, held=True, cases=1)

    def test_in_time(self) -> None:
        self.attempt(ended=103.4)
        self.check(judges.judge_in_time, held=True, cases=1)
        self.attempt(ended=103.6, ending=Ending.SILENT)
        self.check(judges.judge_in_time, held=False)

    def test_in_time_at_a_paused_gateway(self) -> None:
        self.records.troubles.append(Trouble("edge-0", "paused", 99.0, math.inf))
        self.attempt(ended=105.0, ending=Ending.SILENT)
        self.check(judges.judge_in_time, held=True, cases=0)

    def test_told_when(self) -> None:
        self.attempt(status=503, ending=Ending.REFUSED, retry_after=0.1)
        self.check(judges.judge_told_when, held=True, cases=1)
        self.attempt(status=503, ending=Ending.REFUSED)
        self.check(judges.judge_told_when, held=False)

    def test_budget(self) -> None:
        stock = self.attempt(CallKind.STOCK)
        for _ in range(51):
            self.arrive(stock)
        self.check(judges.judge_budget, held=True, cases=50)
        self.arrive(stock)
        self.check(judges.judge_budget, held=False)

    def test_gone(self) -> None:
        for _ in range(3):
            gone = self.attempt(gave_up_at=100.1, ending=Ending.CUT)
            self.arrive(gone, at=100.7)
        self.check(judges.judge_gone, held=True, cases=3)
        self.arrive(gone, at=100.7)
        self.check(judges.judge_gone, held=False)

    def test_stops(self) -> None:
        self.records.stops.append(Stop("edge-0", 99.0, 104.0, 0))
        self.arrive(self.attempt())
        self.check(judges.judge_stops, held=True, cases=1)
        self.arrive(self.attempt(ending=Ending.CUT))
        self.check(judges.judge_stops, held=False)

    def test_stop_that_fails(self) -> None:
        self.records.stops.append(Stop("edge-0", 99.0, 104.0, 1))
        self.check(judges.judge_stops, held=False)

    def test_directory(self) -> None:
        self.records.troubles.append(Trouble("edge-1", "killed", 80.0, 200.0))
        for _ in range(3):
            self._name_both(100.0)
        self._name_both(87.0)
        self.check(judges.judge_directory, held=True, cases=4)
        self._name_both(100.0)
        self.check(judges.judge_directory, held=False)

    def _name_both(self, at: float) -> None:
        named = frozenset({"edge-0", "edge-1"})
        self.records.answers.append(DirectoryAnswer(at, "edge-0", named))

    def test_recovery(self) -> None:
        self.records.last_attempts.append(self.attempt())
        self.check(judges.judge_recovery, held=True, cases=1)
        self.records.unready_at_end.append("edge-0")
        self.check(judges.judge_recovery, held=False)
