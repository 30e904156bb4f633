"""Check the limits of a rollout and the sequence of orders."""

import testtools

from teaselpond.orders import (
    DesiredState,
    desired_states_by_engine,
    next_order,
)
from teaselpond_model.configuration import read_toml
from teaselpond_model.contracts import LoadReport, OrderKind
from teaselpond_model.rollouts import ModelCapacity, Rollout, RolloutLimits

SLOTS = {"e1": 8, "e2": 8, "e3": 8, "e4": 8}
DOCUMENT = """
[zones.innsbruck]
region = "tyrol"
[capacity.pools.fitting]
model = "fitting"
hosts = ["e1", "e2"]
role = "serve"
checks_fence = false
[models.fitting]
version = "4"
adapters = ["labels"]
"""


def rollout(*changing: str, failed: tuple[str, ...] = ()) -> Rollout:
    """Return a rollout to a fixed target."""
    return Rollout("t", frozenset(changing), dict.fromkeys(failed, "why"))


class RolloutTests(testtools.TestCase):
    """Check which engines may change at the same time."""

    def test_admission_table(self) -> None:
        """Keep enough capacity for the load, and stop after failures.

        The columns: the rollout, the outstanding requests, the concurrency,
        the capacity floor, the engine and whether its change may begin.
        """
        for state, requests, concurrency, floor, engine_id, admitted in (
            (rollout(), 0, 1, 0.75, "e1", True),
            (rollout(), 24, 1, 0.75, "e1", True),
            (rollout(), 25, 1, 0.75, "e1", False),
            (rollout(), 0, 1, 1.0, "e1", True),
            (rollout("e2"), 0, 1, 0.5, "e1", False),
            (rollout("e2"), 0, 2, 0.5, "e1", True),
            (rollout("e2"), 0, 2, 0.75, "e1", False),
            (rollout("e2"), 17, 2, 0.5, "e1", False),
            (rollout("e1"), 32, 1, 0.75, "e1", True),
            (rollout("gone"), 0, 1, 0.75, "e1", True),
            (rollout("e2"), 32, 1, 0.75, "out", True),
            (rollout(failed=("e1",)), 0, 1, 0.75, "e1", False),
            (rollout(failed=("e2",)), 0, 1, 0.75, "e1", True),
            (rollout(failed=("e2", "e3")), 0, 1, 0.75, "e1", False),
            (rollout("e1", failed=("e2", "e3")), 0, 1, 0.75, "e1", True),
        ):
            capacity = ModelCapacity(SLOTS, requests)
            limits = RolloutLimits(concurrency, floor)
            found = state.may_start(engine_id, capacity, limits)
            self.assertEqual(admitted, found, (state, requests, engine_id))

    def test_new_target_clears_failures(self) -> None:
        """Allow a rollback of a stopped rollout by setting another target."""
        stopped = rollout("e1", failed=("e2", "e3"))
        self.assertTrue(stopped.is_stopped)
        self.assertIs(stopped, stopped.with_target("t"))
        rolled_back = stopped.with_target("other")
        self.assertEqual(Rollout("other", frozenset({"e1"})), rolled_back)

    def test_engines_join_and_leave_rollout(self) -> None:
        """Begin, finish and fail changes; remove unconfigured engines."""
        state = rollout().begin("e1").begin("e2").fail("e2", "broken")
        self.assertEqual(rollout("e1").changing, state.changing)
        self.assertTrue(state.tracks("e2"))
        self.assertEqual(state, Rollout.from_value(state.to_value()))
        self.assertEqual(rollout("e1"), state.finish("e2"))
        self.assertEqual(frozenset(), state.without_removed(frozenset("e9")).changing)


class DesiredStateTests(testtools.TestCase):
    """Check which orders lead an engine to its desired state."""

    def test_order_sequence(self) -> None:
        """Load the model first, then the adapters, then set the role."""
        desired = desired_states_by_engine(read_toml(DOCUMENT).document)["e1"]
        expected = DesiredState("e1", "fitting", "4", ("labels",), "serve", False)
        self.assertEqual(expected, desired)
        for model, version, adapters, role, kind in (
            ("fitting", "3", (), "serve", OrderKind.LOAD_MODEL),
            ("other", "4", ("labels",), "serve", OrderKind.LOAD_MODEL),
            ("fitting", "4", ("old",), "idle", OrderKind.LOAD_ADAPTER),
            ("fitting", "4", ("labels",), "idle", OrderKind.SET_ROLE),
            ("fitting", "4", ("old", "labels"), "serve", None),
        ):
            report = LoadReport("i", 1, 0, 0, 0, model, version, adapters, role)
            order = next_order(desired, report, 7)
            self.assertIs(kind, order and order.kind)
            self.assertEqual(7 if kind else None, order and order.fence)
