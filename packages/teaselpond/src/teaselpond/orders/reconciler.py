"""Compare engines with their desired states and start changes."""

import asyncio
import random
from collections import Counter
from collections.abc import Callable, Collection, Iterable

from absl import logging

from teaselpond_model.configuration import Document
from teaselpond_model.contracts import Address
from teaselpond_model.exceptions import StoreUnavailable

from .change import ChangeContext, ChangePlan, EngineChange
from .desired_states import DesiredState, desired_states_by_engine, next_order
from .settings import rollout_limits


class EngineReconciler:
    """Change this daemon's engines to the states that the document sets."""

    def __init__(
        self,
        context: ChangeContext,
        document: Callable[[], Document | None],
        *,
        jitter: Callable[[], float] = random.random,
    ) -> None:
        self.context = context
        self.document = document
        self.jitter = jitter
        self._tasks_by_engine: dict[str, asyncio.Task[bool]] = {}
        # Owned engines that have their desired state and were removed from
        # their rollout, as far as this daemon has observed.
        self._converged: set[str] = set()
        self._in_rollout: set[str] = set()
        self._attempts_by_engine: Counter[str] = Counter()
        self._desired_states_document: Document | None = None
        self._desired_states_by_engine: dict[str, DesiredState] = {}

    async def run(self) -> None:
        """Check engines periodically; when cancelled, cancel all changes."""
        try:
            while True:
                await self.check()
                jitter_factor = 0.5 + self.jitter()
                await asyncio.sleep(
                    self.context.settings.check_interval_seconds * jitter_factor
                )
        finally:
            await self.stop()

    async def check(self) -> None:
        """Start changes of owned engines that lack their desired state.

        Start at most one per model, and release claims on engines that this
        daemon no longer owns.
        """
        owned = self.context.fleet.owned_engines()
        self._converged &= owned.keys()
        self._in_rollout &= owned.keys()
        for engine_id in self._select_engines(owned.keys()):
            self._start(engine_id, owned[engine_id])
        await self._release_unowned_claims(owned.keys())

    def _select_engines(self, owned: Iterable[str]) -> list[str]:
        """Return one engine per model that needs a change.

        An engine that is part of a rollout goes first, then the one with the
        fewest attempts. Only one is selected because each attempt to join a
        full rollout costs the table service a read.
        """
        desired_states = self._desired_states()
        selected_by_model: dict[str, str] = {}
        for engine_id in sorted(owned, key=self._priority):
            if engine_id in desired_states and self._needs_change(
                desired_states[engine_id]
            ):
                selected_by_model.setdefault(desired_states[engine_id].model, engine_id)
        return list(selected_by_model.values())

    def _priority(self, engine_id: str) -> tuple[bool, int]:
        return engine_id not in self._in_rollout, self._attempts_by_engine[engine_id]

    def _needs_change(self, desired: DesiredState) -> bool:
        report = self.context.fleet.last_report(desired.engine_id)
        if report is None or self._is_changing(desired.engine_id):
            return False
        if next_order(desired, report) is not None:
            self._converged.discard(desired.engine_id)
        return desired.engine_id not in self._converged

    def _desired_states(self) -> dict[str, DesiredState]:
        document = self.document()
        if document is not self._desired_states_document:
            self._desired_states_by_engine = (
                desired_states_by_engine(document) if document else {}
            )
            self._desired_states_document = document
        return self._desired_states_by_engine

    def _start(self, engine_id: str, address: Address) -> None:
        change = EngineChange(
            self.context, engine_id, address, self._plan_for(engine_id)
        )
        self._attempts_by_engine[engine_id] += 1
        task = asyncio.create_task(change.run(), name=f"change {engine_id}")
        task.add_done_callback(lambda done: self._handle_result(change, done))
        self._tasks_by_engine[engine_id] = task

    def _handle_result(self, change: EngineChange, task: asyncio.Task[bool]) -> None:
        engine_id = change.engine_id
        self._in_rollout.discard(engine_id)
        if task.cancelled():
            return
        if task.exception() is not None:
            logging.error(
                "unexpected error in the change of %s: %r",
                engine_id,
                task.exception(),
            )
        elif task.result():
            self._converged.add(engine_id)
        elif change.in_rollout:
            self._in_rollout.add(engine_id)

    def _is_changing(self, engine_id: str) -> bool:
        task = self._tasks_by_engine.get(engine_id)
        return task is not None and not task.done()

    def _plan_for(self, engine_id: str) -> Callable[[], ChangePlan | None]:
        def current_plan() -> ChangePlan | None:
            desired_states = self._desired_states()
            document = self._desired_states_document
            owned = self.context.fleet.owned_engines()
            if (
                document is None
                or engine_id not in desired_states
                or engine_id not in owned
            ):
                return None
            policy = document.policy
            return ChangePlan(
                desired_states[engine_id],
                rollout_limits(policy),
                # A lease that is renewed in time stays valid for this long.
                min(
                    policy.order_timeout_seconds,
                    self.context.leases.settings.max_order_seconds,
                ),
                frozenset(desired_states),
            )

        return current_plan

    async def _release_unowned_claims(self, owned: Collection[str]) -> None:
        for engine_id in sorted(self.context.claims.claimed_engines):
            if engine_id in owned or self._is_changing(engine_id):
                continue
            try:
                await self.context.claims.release(engine_id)
            except StoreUnavailable as error:
                logging.info(
                    "claim on %s not released, store unavailable: %s",
                    engine_id,
                    error,
                )

    async def stop(self) -> None:
        """Cancel all running changes and wait until they have ended."""
        tasks = list(self._tasks_by_engine.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self._tasks_by_engine.clear()
