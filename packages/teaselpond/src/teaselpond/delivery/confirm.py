"""Write to the table service until the outcome of the write is known."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

from attrs import frozen

from teaselpond_model.contracts import Check, Put, TableEntry, TableService
from teaselpond_model.exceptions import (
    StoreOutcomeUnknown,
    StoreUnavailable,
    TransactionConflict,
)

CALL_SECONDS = 2.0
READ_BACK_SECONDS = 0.05
READ_BACK_LIMIT_SECONDS = 1.0


@frozen
class Written:
    """Tell that a write took effect, and at which version."""

    version: int


@frozen
class WriteConflict:
    """Hold the entry that stands instead of the write (None: no entry)."""

    entry: TableEntry | None


async def write_confirmed(
    table: TableService,
    key: str,
    value: Any,
    *,
    expected_version: int,
    is_own: Callable[[Any], bool],
    deadline: float,
    clock: Callable[[], float],
) -> Written | WriteConflict:
    """Put a value by compare-and-set, and read back a lost answer.

    ``is_own`` tells whether a value that was read is the one of this write.
    A write is only sent again once the entry was seen to stand at the
    expected version, and the same check guards it, so that a delayed first
    write and a second one can't both take effect. Raise StoreUnavailable
    when nothing was written by the deadline, StoreOutcomeUnknown when it may
    have been.
    """
    uncertain = False
    delay = READ_BACK_SECONDS
    while True:
        try:
            version = await _within(
                table.transact((Check(key, expected_version),), (Put(key, value),)),
                _call_seconds(deadline - clock()),
            )
            return Written(version)
        except StoreOutcomeUnknown:
            uncertain = True
        except StoreUnavailable:
            if clock() + delay >= deadline:
                raise _given_up(key, uncertain) from None
        except TransactionConflict:
            # A conflict with this very write, after its answer was lost, is
            # a success; only reading back can tell.
            uncertain = True
        if uncertain:
            entry = await _read_back(table, key, deadline, clock)
            if entry is not None and is_own(entry.value):
                return Written(entry.version)
            found = entry.version if entry is not None else 0
            if found != expected_version:
                return WriteConflict(entry)
        if clock() + delay >= deadline:
            raise _given_up(key, uncertain)
        await asyncio.sleep(delay)
        delay = min(delay * 2, READ_BACK_LIMIT_SECONDS)


async def _read_back(
    table: TableService, key: str, deadline: float, clock: Callable[[], float]
) -> TableEntry | None:
    delay = READ_BACK_SECONDS
    while True:
        try:
            return await _within(table.get(key), _call_seconds(deadline - clock()))
        except StoreUnavailable:
            if clock() + delay >= deadline:
                raise _given_up(key, True) from None
        await asyncio.sleep(delay)
        delay = min(delay * 2, READ_BACK_LIMIT_SECONDS)


def _call_seconds(remaining: float) -> float:
    """Return one call's time limit, which leaves time to read back."""
    return min(CALL_SECONDS, remaining / 2)


async def _within(awaitable: Awaitable, seconds: float) -> Any:
    """Bound a platform call, whatever its client's own timeout is."""
    try:
        async with asyncio.timeout(max(seconds, 0.0)):
            return await awaitable
    except TimeoutError as error:
        raise StoreOutcomeUnknown("no answer in time", step="table") from error


def _given_up(key: str, uncertain: bool) -> StoreUnavailable:
    if uncertain:
        return StoreOutcomeUnknown(f"outcome of {key} unknown", step="table")
    return StoreUnavailable(f"nothing written at {key}", step="table")
