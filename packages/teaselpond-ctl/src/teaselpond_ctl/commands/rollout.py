"""Show the rollouts of models and retry their failed engines."""

from fire import decorators

from teaselpond_model.contracts import Check, Put
from teaselpond_model.rollouts import ROLLOUT_PREFIX, Rollout, rollout_key

from ..exceptions import CommandRefused
from .base import Command

COLUMNS = ("model", "target", "state", "changing", "failed")


class RolloutCommand(Command):
    """Show the rollouts of models and retry their failed engines."""

    async def status(self) -> None:
        """List each model's latest rollout and its failed engines."""
        async with self._open_session() as session:
            page = await session.platform.table.scan(ROLLOUT_PREFIX)
        rows = []
        for entry in page.entries:
            if entry.value is None:
                continue
            rollout = Rollout.from_value(entry.value)
            failed = rollout.reasons_by_failed_engine
            rows.append(
                {
                    "model": entry.key.removeprefix(ROLLOUT_PREFIX),
                    "target": rollout.target,
                    "state": "stopped" if rollout.is_stopped else "open",
                    "changing": sorted(rollout.changing),
                    "failed": [f"{key}: {failed[key]}" for key in sorted(failed)],
                }
            )
        self._output.print_table(rows, COLUMNS)

    @decorators.SetParseFn(str)
    async def retry(self, model: str) -> None:
        """Retry the failed engines of a model's rollout."""
        async with self._open_session() as session:
            table = session.platform.table
            entry = await table.get(rollout_key(model))
            if entry is None:
                raise CommandRefused(f"model {model} has no rollout to retry")
            rollout = Rollout.from_value(entry.value).without_failures()
            put = Put(entry.key, rollout.to_value())
            await table.transact((Check(entry.key, entry.version),), (put,))
        self._output.print_text(f"retrying the failed engines of {model}")
        self._output.print_json(rollout.to_value())
