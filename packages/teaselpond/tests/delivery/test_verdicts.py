"""Check the verdicts and the response bodies made from them."""

import ast
import json
from pathlib import Path

import testtools

import teaselpond
from teaselpond.delivery import problems
from teaselpond.delivery.verdicts import (
    VERDICTS,
    RefusalCause,
    Run,
    RunHistory,
    refuse,
    refuse_admission,
)
from teaselpond.policy import Refusal, RefusalReason, RetryReason
from teaselpond.reasons import Reason
from teaselpond_model.contracts import Address

ROOT = Path(__file__).parents[4]
SOURCE = Path(teaselpond.__file__).parent


class VerdictTests(testtools.TestCase):
    """Check that each cause has one verdict, defined in one module."""

    def test_every_cause_has_a_verdict_and_every_reason_a_cause(self) -> None:
        """Find no cause without a verdict and no unused reason."""
        self.assertEqual(set(RefusalCause), set(VERDICTS))
        used = {verdict.reason for verdict in VERDICTS.values()}
        self.assertEqual(set(Reason), used)

    def test_every_reason_is_documented(self) -> None:
        """Find each reason and each retry reason in the reference page."""
        page = (ROOT / "docs" / "reference" / "reasons.md").read_text()
        for reason in (*Reason, *RetryReason):
            self.assertIn(f"`{reason.value}`", page)

    def test_cause_names_match_the_verdict(self) -> None:
        """Report not-run for causes before the send, and never after it."""
        for cause, verdict in VERDICTS.items():
            if cause.value.endswith("before-send"):
                self.assertEqual(Run.NOT_RUN, verdict.run, cause)
            if cause.value.endswith("after-send"):
                self.assertNotEqual(Run.NOT_RUN, verdict.run, cause)

    def test_only_one_module_creates_refusals(self) -> None:
        """Find no other module that creates a refusal or sets its run."""
        found = set()
        for path in SOURCE.rglob("*.py"):
            for node in ast.walk(ast.parse(path.read_text())):
                if self._sets_run_or_refuses(node):
                    found.add(path.relative_to(SOURCE).as_posix())
        self.assertEqual({"delivery/verdicts.py"}, found)

    def _sets_run_or_refuses(self, node: ast.AST) -> bool:
        if isinstance(node, ast.Call) and isinstance(node.func, ast.Name):
            return node.func.id == "Refused"
        if not isinstance(node, ast.Assign | ast.keyword | ast.Return):
            return False
        value = node.value
        return (
            isinstance(value, ast.Attribute)
            and isinstance(value.value, ast.Name)
            and value.value.id == "Run"
        )

    def test_policy_reasons_are_mapped(self) -> None:
        """Map each refusal reason of the policy to a cause with not-run."""
        for reason in RefusalReason:
            refused = refuse_admission(Refusal("r", reason, 2.0))
            self.assertEqual((Run.NOT_RUN, 2.0), (refused.run, refused.retry_after))

    def test_history(self) -> None:
        """Keep the run of earlier attempts in a later refusal."""
        unsent, sent, answered = RunHistory(), RunHistory(), RunHistory()
        unsent.record_send()
        unsent.record_not_run()
        sent.record_send()
        sent.record_send()
        sent.record_not_run()
        answered.record_answer()
        answered.record_send()
        for history, run in (
            (unsent, Run.NOT_RUN),
            (sent, Run.MAY_HAVE_RUN),
            (answered, Run.RAN),
        ):
            self.assertEqual(
                run, history.apply(refuse(RefusalCause.CONNECT_FAILED)).run
            )

    def test_problem(self) -> None:
        """Render the members for people, programs and OpenAI clients."""
        refused = refuse(
            RefusalCause.DAEMON_LEAVING,
            retry_after=0.2,
            alternatives=(Address("10.0.0.1", 80),),
            peer="10.9.9.9:1",
        )
        problem = problems.render(refused, "r1")
        body = json.loads(problem.body)
        self.assertEqual(503, problem.status)
        self.assertEqual("1", problem.headers_by_name["Retry-After"])
        self.assertEqual(
            ("leaving", "not-run", ["10.0.0.1:80"], "leaving"),
            (
                body["reason"],
                body["run"],
                body["alternatives"],
                body["error"]["type"],
            ),
        )
        self.assertNotIn(b"10.9.9.9", problem.body)
        event = problems.render_event(refused)
        self.assertEqual(2, event.count(b"\n") - 1)
