"""Test each check of a drill with records that pass and that violate it."""

import testtools
from attrs import evolve, frozen

from teaselpond_standins.drill.checks import CHECKS, check_all
from teaselpond_standins.drill.records import (
    Attempt,
    DrillRecords,
    Ending,
    Interval,
    PlannedStop,
    Race,
    VersionAccepted,
    VersionSeen,
    Work,
    WorkKind,
)
from teaselpond_standins.drill.upstreams import (
    EngineReport,
    ServiceReport,
    UpstreamReports,
)
from teaselpond_standins.engine.records import LoadChange, RunStart

ENGINE = EngineReport("engine-imst-1", 8, False, 0, 0, {}, (), (), ())
OTHER = evolve(ENGINE, engine_id="engine-lienz-1")
NOTHING = UpstreamReports((), ())


def attempt(ending: Ending = Ending.WHOLE, **fields) -> Attempt:
    """Return an attempt that lasted from 10 s to 11 s."""
    return Attempt("w.1", "daemon:1", 10.0, 11.0, ending, **fields)


def work(kind: WorkKind, result: str | None, *attempts: Attempt) -> DrillRecords:
    """Return records of one piece of work whose answer should be "a b"."""
    one = Work(kind, "w", "a b", result, accepted=True, attempts=list(attempts))
    return DrillRecords(work=[one])


def ran(times: int) -> UpstreamReports:
    """Return the records of a service that ran the work ``times`` times."""
    return UpstreamReports((), (ServiceReport("s", {"w": times}),))


def started(*times: float) -> UpstreamReports:
    """Return the records of an engine that started the work at these times."""
    starts = tuple(RunStart(time, "w.1") for time in times)
    return UpstreamReports((evolve(ENGINE, starts=starts),), ())


def loaded(load: int, other_load: int) -> UpstreamReports:
    """Return the records of two engines with these loads."""
    engines = (
        evolve(ENGINE, history=(LoadChange(5.0, load, 0, 8),)),
        evolve(OTHER, history=(LoadChange(4.0, other_load, 0, 8),)),
    )
    return UpstreamReports(engines, ())


def versions(*seen: tuple[float, int], ready: bool = True) -> DrillRecords:
    """Return the versions a daemon reported after 5 was accepted at 0 s."""
    return DrillRecords(
        versions_seen=[VersionSeen(time, "d", "i", v, ready) for time, v in seen],
        versions_accepted=[VersionAccepted(0.0, 5)],
    )


def stopped(ending: Ending, exit_code: int = 0, asked: float = 10.5) -> DrillRecords:
    """Return records of a planned stop during an attempt."""
    records = work(WorkKind.CHAT, "a b", attempt(ending))
    records.planned_stops.append(PlannedStop("d", "daemon:1", asked, 12.0, exit_code))
    return records


OUT = DrillRecords(zones_out=[Interval("imst", 10.0, 20.0)])
LEAVING = DrillRecords(engines_leaving=[Interval("engine-imst-1", 10.0, 20.0)])
CHAT, ORDER, PLAN = WorkKind.CHAT, WorkKind.ORDER, WorkKind.PLAN
NOT_RUN = attempt(Ending.REFUSED, run="not-run")


@frozen
class Case:
    """Define the records for a check and the violations it must find."""

    check: str
    records: DrillRecords
    upstreams: UpstreamReports
    violations: int


CASES = (
    Case("whole_answers", work(CHAT, "a b"), NOTHING, 0),
    Case("whole_answers", work(CHAT, "a"), NOTHING, 1),
    Case("whole_answers", work(CHAT, None, attempt(Ending.CUT)), NOTHING, 1),
    Case("own_answers", work(CHAT, None, attempt(text="a")), NOTHING, 0),
    Case("own_answers", work(CHAT, "a b", attempt(text="a a")), NOTHING, 1),
    Case("orders", work(ORDER, "ok"), ran(1), 0),
    Case("orders", work(ORDER, "ok"), ran(2), 1),
    Case("orders", work(ORDER, "ok"), ran(0), 1),
    Case("orders", work(ORDER, None), ran(1), 0),
    Case("repeats", work(ORDER, "1", *[attempt(text="1")] * 2), ran(1), 0),
    Case("repeats", work(ORDER, "1", attempt(text="1"), attempt(text="2")), ran(1), 1),
    Case("not_run", work(ORDER, None, NOT_RUN), ran(0), 0),
    Case("not_run", work(ORDER, None, NOT_RUN), ran(1), 1),
    Case("not_run", work(ORDER, None, NOT_RUN, attempt(Ending.CUT)), ran(1), 0),
    Case("not_run", work(CHAT, None, NOT_RUN), started(), 0),
    Case("not_run", work(CHAT, None, NOT_RUN), started(10.5), 1),
    Case("plans", work(PLAN, "a b"), NOTHING, 0),
    Case("plans", work(PLAN, None), NOTHING, 1),
    Case("plans", work(PLAN, "b"), NOTHING, 1),
    Case("zones", OUT, started(9.0, 12.9, 20.1), 0),
    Case("zones", OUT, started(13.1, 19.9), 2),
    Case("leaving", LEAVING, started(9.0, 14.9, 20.1), 0),
    Case("leaving", LEAVING, started(15.1), 1),
    Case("overruns", DrillRecords(), UpstreamReports((ENGINE,), ()), 0),
    Case(
        "overruns",
        DrillRecords(),
        UpstreamReports((evolve(ENGINE, overrun=True),), ()),
        1,
    ),
    Case("caps", DrillRecords(), loaded(2, 0), 0),
    Case("caps", DrillRecords(), loaded(3, 1), 0),
    Case("caps", DrillRecords(), loaded(4, 0), 1),
    # With no other engine in service there is no cap.
    Case(
        "caps",
        DrillRecords(engines_troubled=[Interval("engine-lienz-1", 0.0, 9.0)]),
        loaded(8, 0),
        0,
    ),
    Case("cold_starts", DrillRecords(), UpstreamReports((ENGINE,), ()), 0),
    Case(
        "cold_starts",
        DrillRecords(),
        UpstreamReports((evolve(ENGINE, cold_crashes=1),), ()),
        1,
    ),
    Case(
        "sudden_cold",
        DrillRecords(),
        UpstreamReports((evolve(ENGINE, sudden_cold_crashes=1),), ()),
        1,
    ),
    Case(
        "poison",
        DrillRecords(poison_words=["p"]),
        UpstreamReports((evolve(ENGINE, crashes_by_poison={"p": 2}),), ()),
        0,
    ),
    Case(
        "poison",
        DrillRecords(poison_words=["p"]),
        UpstreamReports((evolve(ENGINE, crashes_by_poison={"p": 2}),) * 2, ()),
        1,
    ),
    Case("planned_stops", stopped(Ending.WHOLE), NOTHING, 0),
    Case("planned_stops", stopped(Ending.UNREACHABLE), NOTHING, 0),
    Case("planned_stops", stopped(Ending.CUT), NOTHING, 1),
    Case("planned_stops", stopped(Ending.WHOLE, exit_code=1), NOTHING, 1),
    Case("planned_stops", stopped(Ending.SILENT), NOTHING, 0),
    Case("planned_stops", stopped(Ending.SILENT, asked=-1.0), NOTHING, 1),
    Case("reverts", versions((1.0, 4), (2.0, 5), (3.0, 5)), NOTHING, 0),
    Case("reverts", versions((1.0, 5), (2.0, 4)), NOTHING, 1),
    Case("in_force", versions((4.9, 4), (5.1, 5), (9.0, 6)), NOTHING, 0),
    Case("in_force", versions((5.1, 4)), NOTHING, 1),
    Case("in_force", versions((5.1, 4), ready=False), NOTHING, 0),
    Case("races", DrillRecords(races=[Race(3, (4,), 2)]), NOTHING, 0),
    Case("races", DrillRecords(races=[Race(3, (4, 5), 1)]), NOTHING, 1),
)


class CheckTests(testtools.TestCase):
    """Run every check on its rows of the table."""

    def test_checks(self) -> None:
        """Find exactly the expected violations in each case."""
        checks_by_name = {
            check.__name__.removeprefix("check_"): check for check in CHECKS
        }
        for case in CASES:
            verdict = checks_by_name[case.check](case.records, case.upstreams)
            self.assertEqual(case.violations, len(verdict.violations), (case, verdict))
            self.assertEqual(case.violations == 0, verdict.held)
        self.assertEqual(set(checks_by_name), {case.check for case in CASES})
        broken = {case.check for case in CASES if case.violations}
        self.assertEqual(set(checks_by_name), broken)

    def test_verdict_text(self) -> None:
        """Print each verdict as held, broken or not tried."""
        summaries = [str(verdict) for verdict in check_all(OUT, started(14.0))]
        self.assertTrue(all(" cases)" in line for line in summaries))
        count_by_word = {word: 0 for word in ("held", "BROKEN", "not tried")}
        for line in summaries:
            count_by_word[
                next(word for word in count_by_word if line.startswith(word))
            ] += 1
        self.assertEqual({"held": 3, "BROKEN": 1, "not tried": 13}, count_by_word)
