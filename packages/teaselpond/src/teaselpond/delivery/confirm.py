"""Write table entries by compare-and-set, also when answers are lost."""

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

CALL_TIMEOUT_SECONDS = 2.0
RETRY_SECONDS = 0.05
RETRY_LIMIT_SECONDS = 1.0


@frozen
class Written:
    """Report that a write took effect, and its table version."""

    version: int


@frozen
class WriteConflict:
    """Hold the entry found instead of the written one (None: no entry)."""

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
    """Put a value by compare-and-set; read the entry if the answer is lost.

    ``is_own`` returns whether a value that was read is this write's value.
    ``deadline`` is in seconds of ``clock``. The write is retried only after
    the entry was read at the expected version, and with the same version
    check, so a delayed first write and a retry can't both take effect.

    Raise StoreUnavailable if nothing was written by the deadline, and
    StoreOutcomeUnknown if the write may have taken effect.
    """
    may_be_written = False
    delay = RETRY_SECONDS
    while True:
        try:
            version = await _call_with_timeout(
                table.transact((Check(key, expected_version),), (Put(key, value),)),
                _call_timeout(deadline - clock()),
            )
            return Written(version)
        except StoreOutcomeUnknown:
            may_be_written = True
        except StoreUnavailable:
            if clock() + delay >= deadline:
                raise _make_error(key, may_be_written) from None
        except TransactionConflict:
            # The conflict may be with this write itself, whose first answer
            # was lost; reading the entry decides.
            may_be_written = True
        if may_be_written:
            entry = await _read_back(table, key, deadline, clock)
            if entry is not None and is_own(entry.value):
                return Written(entry.version)
            found_version = entry.version if entry is not None else 0
            if found_version != expected_version:
                return WriteConflict(entry)
        if clock() + delay >= deadline:
            raise _make_error(key, may_be_written)
        await asyncio.sleep(delay)
        delay = min(delay * 2, RETRY_LIMIT_SECONDS)


async def _read_back(
    table: TableService, key: str, deadline: float, clock: Callable[[], float]
) -> TableEntry | None:
    delay = RETRY_SECONDS
    while True:
        try:
            return await _call_with_timeout(
                table.get(key), _call_timeout(deadline - clock())
            )
        except StoreUnavailable:
            if clock() + delay >= deadline:
                raise _make_error(key, True) from None
        await asyncio.sleep(delay)
        delay = min(delay * 2, RETRY_LIMIT_SECONDS)


def _call_timeout(remaining: float) -> float:
    """Return one call's timeout, which leaves time to read the entry."""
    return min(CALL_TIMEOUT_SECONDS, remaining / 2)


async def _call_with_timeout(awaitable: Awaitable, seconds: float) -> Any:
    """Await a platform call; raise StoreOutcomeUnknown on a timeout."""
    try:
        async with asyncio.timeout(max(seconds, 0.0)):
            return await awaitable
    except TimeoutError as error:
        raise StoreOutcomeUnknown(
            f"expected an answer of the table within {seconds:.3f} s, got none",
            step="table",
        ) from error


def _make_error(key: str, may_be_written: bool) -> StoreUnavailable:
    if may_be_written:
        return StoreOutcomeUnknown(
            f"write to {key} may have taken effect: no answer by the deadline",
            step="table",
        )
    return StoreUnavailable(
        f"write to {key} failed: table unavailable until the deadline", step="table"
    )
