"""Change one engine to its desired state by a series of orders."""

import asyncio
import time
from collections.abc import Awaitable, Callable

from absl import logging
from attrs import evolve, frozen

from teaselpond_model.contracts import (
    Address,
    EngineOrder,
    LoadReport,
    OrderKind,
    WeightStore,
)
from teaselpond_model.exceptions import (
    LeaseLost,
    TeaselpondError,
    TransactionConflict,
    UpstreamUnavailable,
)
from teaselpond_model.rollouts import ModelCapacity, RolloutLimits

from ..exceptions import UpstreamRefused
from ..leases import LeaseManager
from .claims import ClaimPending, EngineClaims, FenceTooLow
from .desired_states import DesiredState, next_order, requires_idle_engine
from .fleet import EngineApi, EngineFleet
from .rollout_store import RolloutStore
from .settings import OrderSettings

# HTTP status by which an engine refuses a fencing token that is too low.
STALE_FENCE_STATUS = 409

Sleep = Callable[[float], Awaitable[None]]


@frozen
class ChangeContext:
    """Bundle the dependencies that all engine changes share."""

    leases: LeaseManager
    claims: EngineClaims
    rollouts: RolloutStore
    fleet: EngineFleet
    engine_api: EngineApi
    weights: WeightStore
    settings: OrderSettings
    clock: Callable[[], float] = time.monotonic
    sleep: Sleep = asyncio.sleep
    count: Callable[[str], None] = lambda name: None


@frozen
class ChangePlan:
    """Define an engine's desired state and the limits of its change.

    ``order_seconds`` is the timeout of one order and ``engine_ids`` are all
    configured engines.
    """

    desired: DesiredState
    limits: RolloutLimits
    order_seconds: float
    engine_ids: frozenset[str]


class OrderFailed(TeaselpondError):
    """Report that an order failed or didn't take effect in time."""


class DesiredStateChanged(TeaselpondError):
    """Report that the desired state has changed since the change began."""


class EngineChange:
    """Send one engine the orders that it needs, one after the other."""

    def __init__(
        self,
        context: ChangeContext,
        engine_id: str,
        address: Address,
        current_plan: Callable[[], ChangePlan | None],
    ) -> None:
        self.context = context
        self.engine_id = engine_id
        self.address = address
        self.current_plan = current_plan
        self.in_rollout = False
        self._is_on_hold = False

    async def run(self) -> bool:
        """Send orders until the engine has its desired state.

        Return whether it has; False means that the caller should retry later.
        """
        try:
            while True:
                plan = self._require_plan()
                report = await self.context.engine_api.load(self.address)
                order = next_order(plan.desired, report)
                if order is None:
                    return await self._finish(plan)
                if not await self._execute(order, plan, report):
                    return False
        except FenceTooLow:
            await self._acquire_higher_fence()
        except (
            ClaimPending,
            TransactionConflict,
            DesiredStateChanged,
            LeaseLost,
        ) as error:
            logging.info("change of %s must wait: %s", self.engine_id, error)
        except TeaselpondError as error:
            self.context.count("orders.put_off")
            logging.warning("change of %s postponed: %s", self.engine_id, error)
        finally:
            if self._is_on_hold:
                self._is_on_hold = False
                self.context.fleet.resume(self.engine_id)
        return False

    def _require_plan(self) -> ChangePlan:
        plan = self.current_plan()
        if plan is None:
            raise DesiredStateChanged(
                f"{self.engine_id} is no longer configured or owned by this daemon"
            )
        return plan

    async def _finish(self, plan: ChangePlan) -> bool:
        rollout = await self.context.rollouts.read(plan.desired)
        if rollout.tracks(self.engine_id):
            await self.context.rollouts.finish(plan.desired)
        return True

    async def _execute(
        self, order: EngineOrder, plan: ChangePlan, report: LoadReport
    ) -> bool:
        if requires_idle_engine(order):
            self.in_rollout = await self._join_rollout(plan)
            if not self.in_rollout:
                return False
            await self._drain(plan)
        elif (await self.context.rollouts.read(plan.desired)).has_failed(
            self.engine_id
        ):
            return False
        if order.kind is OrderKind.LOAD_MODEL:
            await self._await_weights_grant(order, plan)
        try:
            await self._send(order, plan, report)
        except OrderFailed as error:
            await self._fail(plan, error)
            return False
        return True

    async def _join_rollout(self, plan: ChangePlan) -> bool:
        fleet, model = self.context.fleet, plan.desired.model
        capacity = ModelCapacity(
            fleet.slots_by_engine(model), fleet.outstanding_requests(model)
        )
        return await self.context.rollouts.try_begin(
            plan.desired, capacity, plan.limits, plan.engine_ids
        )

    async def _drain(self, plan: ChangePlan) -> None:
        """Stop dispatching to the engine; wait until its requests finish."""
        fleet = self.context.fleet
        self._is_on_hold = True
        fleet.hold(self.engine_id)
        while fleet.in_flight(self.engine_id):
            await self.context.sleep(self.context.settings.report_interval_seconds)
            self._assert_unchanged(plan)

    async def _await_weights_grant(self, order: EngineOrder, plan: ChangePlan) -> None:
        """Wait until the weight store permits a download of the weights.

        The store limits the download rate of the whole fleet.
        """
        while True:
            grant = await self.context.weights.request(
                self.engine_id, order.model, order.model_version
            )
            if grant.granted:
                return
            self.context.count("orders.weights_awaited")
            await self.context.sleep(grant.retry_after)
            self._assert_unchanged(plan)

    def _assert_unchanged(self, plan: ChangePlan) -> None:
        if self._require_plan().desired != plan.desired:
            raise DesiredStateChanged(
                f"the desired state of {self.engine_id} has changed"
            )

    async def _send(
        self, order: EngineOrder, plan: ChangePlan, report: LoadReport
    ) -> None:
        context = self.context
        seconds = plan.order_seconds
        lease = context.leases.assert_held(context.clock(), seconds)
        if plan.desired.checks_fence and report.fence > lease.fence:
            raise FenceTooLow(
                f"{self.engine_id} has seen fencing token {report.fence}, "
                f"the lease has only {lease.fence}"
            )
        await context.claims.claim(plan.desired, lease, seconds)
        self._assert_unchanged(plan)
        # Check again right before sending: the claim's transaction took time.
        lease.assert_held(context.clock(), seconds)
        context.count(f"orders.{order.kind.value}")
        try:
            async with asyncio.timeout(seconds):
                await context.engine_api.order(
                    self.address, evolve(order, fence=lease.fence), seconds=seconds
                )
        except UpstreamRefused as error:
            if error.status == STALE_FENCE_STATUS and plan.desired.checks_fence:
                raise FenceTooLow(
                    f"{self.engine_id} refused fencing token {lease.fence} as too low"
                ) from error
            if error.not_run:
                raise
            raise OrderFailed(str(error), step=order.kind.value) from error
        except UpstreamUnavailable:
            # Nothing was sent. The engine stays in the rollout for the retry.
            raise
        except (TeaselpondError, TimeoutError) as error:
            # The order may have taken effect: the engine's report shows it.
            logging.warning("no answer of %s to an order: %s", self.engine_id, error)
        await self._await_effect(order, plan)

    async def _await_effect(self, order: EngineOrder, plan: ChangePlan) -> None:
        context = self.context
        deadline = context.clock() + context.settings.settle_timeout_seconds
        while context.clock() < deadline:
            try:
                report = await context.engine_api.load(self.address)
            except TeaselpondError as error:
                logging.info("no load report of %s: %s", self.engine_id, error)
            else:
                if next_order(plan.desired, report) != order:
                    return
            await context.sleep(context.settings.report_interval_seconds)
        raise OrderFailed(
            f"{self.engine_id} didn't report the new state within "
            f"{context.settings.settle_timeout_seconds:g} s",
            step=order.kind.value,
        )

    async def _fail(self, plan: ChangePlan, error: OrderFailed) -> None:
        self.context.count("orders.failed")
        logging.error("order to %s failed: %s", self.engine_id, error)
        await self.context.rollouts.fail(plan.desired, str(error))
        self.in_rollout = False

    async def _acquire_higher_fence(self) -> None:
        self.context.count("orders.fence_too_low")
        await self.context.leases.reacquire(self.context.clock())
