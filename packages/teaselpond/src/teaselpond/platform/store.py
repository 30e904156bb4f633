"""Provide a client of the platform's store."""

import base64
import json
import logging
from urllib.parse import urlencode

import aiohttp
from attrs import field, frozen

from teaselpond_model.contracts import Address
from teaselpond_model.store_calls import PlatformAnswer, PlatformConnection

from ..gateway.exceptions import HistoryLost
from ..gateway.rows import Page, Row
from ..gateway.tables import Table
from ..gateway.wire_values import read_integer, read_seconds

logger = logging.getLogger(__name__)

MILLISECONDS_PER_SECOND = 1000.0
# A configuration of 1,500 routes makes a response of 0.7 MB, which takes this
# long on the slowest host's link of 5 Mbit/s beside its other traffic.
TRANSFER_SECONDS = 2.0
# Rises by one each time the store returns from an older copy. Older stores do
# not send it.
ERA = "Store-Era"
# The largest page that the store returns.
PAGE_ROWS = 500
# JSON that is nested too deep raises RecursionError, a list for a row raises
# AttributeError.
INVALID_ANSWER_ERRORS = (
    ValueError,
    KeyError,
    TypeError,
    AttributeError,
    OverflowError,
    RecursionError,
)
TABLE_NAMES = {
    Table.OPERATOR: "op",
    Table.ENGINES: "servers",
    Table.MEMBERS: "members",
    Table.QUARANTINES: "quarantines",
    Table.STATUS: "status",
}


@frozen
class RowStore:
    """Read, follow and write rows of the store."""

    _connection: PlatformConnection = field(alias="connection")

    async def read(self, table: Table, start: str = "") -> Page:
        """Return a table's rows from a key on, up to a page.

        Raise StoreUnavailable.
        """
        query = {"Table": TABLE_NAMES[table], "part": "", "Limit": PAGE_ROWS}
        if start:
            query["From"] = start
        answer = await self._get("/v1/rows-get", query)
        return self._page(answer, "rows-get")

    async def follow(self, table: Table, after: int, wait_seconds: float) -> Page:
        """Wait for rows that changed after a version, and return them.

        Raise StoreUnavailable, or HistoryLost if the store no longer has the
        changes.
        """
        wait_ms = round(wait_seconds * MILLISECONDS_PER_SECOND)
        name = TABLE_NAMES[table]
        query = {"Table": name, "After": after, "WaitMs": wait_ms}
        answer = await self._get("/v1/rows-feed", query, wait_seconds)
        if answer.status == 410:
            raise HistoryLost(
                f"table {name}: changes after version {after} are no longer kept",
                step="rows-feed",
            )
        return self._page(answer, "rows-feed")

    async def put(self, table: Table, key: str, value: bytes) -> None:
        """Write one row, whatever its current version.

        Raise StoreUnavailable or StoreOutcomeUnknown.
        """
        row = {"Table": TABLE_NAMES[table], "part": "", "Key": key}
        row["Value"] = base64.b64encode(value).decode()
        await self._transact({"ExpectedRev": [], "SetKeys": [row], "Remove": []})

    async def put_if(
        self, table: Table, key: str, value: bytes, expected_version: int
    ) -> Page | None:
        """Write one row that has a version, 0 if it must not exist.

        Return None if it was written, otherwise the rows as they are. Raise
        StoreUnavailable or StoreOutcomeUnknown.
        """
        row = {"Table": TABLE_NAMES[table], "part": "", "Key": key}
        body = {
            "ExpectedRev": [{**row, "Ver": expected_version}],
            "SetKeys": [{**row, "Value": base64.b64encode(value).decode()}],
            "Remove": [],
        }
        step = "rows-tx"
        answer = await self._connection.write("POST", "/v1/rows-tx", step, body)
        if answer.status == 200:
            return None
        if answer.status != 412:
            raise self._connection.unavailable(step, f"status {answer.status}")
        return self._page(answer, step, status=412)

    async def remove(self, table: Table, key: str) -> None:
        """Remove one row; raise the same errors as ``put``."""
        row = {"Table": TABLE_NAMES[table], "part": "", "Key": key}
        await self._transact({"ExpectedRev": [], "SetKeys": [], "Remove": [row]})

    async def _transact(self, body: dict) -> None:
        step = "rows-tx"
        answer = await self._connection.write("POST", "/v1/rows-tx", step, body)
        if answer.status != 200:
            raise self._connection.unavailable(step, f"status {answer.status}")

    async def _get(
        self, path: str, query: dict, wait_seconds: float = 0.0
    ) -> PlatformAnswer:
        return await self._connection.read(
            f"{path}?{urlencode(query, errors='surrogatepass')}",
            path,
            wait_seconds=wait_seconds,
        )

    def _page(self, answer: PlatformAnswer, step: str, status: int = 200) -> Page:
        if answer.status != status:
            raise self._connection.unavailable(step, f"status {answer.status}")
        try:
            raw = json.loads(answer.content)
            rows = [_decode_row(row) for row in raw["Rows"]]
            return Page(
                rows=tuple(row for row in rows if _has_valid_key(row)),
                version=_read_version(raw["Ver"]),
                store_seconds=read_seconds(raw["NowMs"] / MILLISECONDS_PER_SECOND),
                has_more=raw.get("HasMore", False),
                era=int(answer.headers.get(ERA, 0)),
                last_key=rows[-1].key if rows else None,
            )
        except INVALID_ANSWER_ERRORS as error:
            raise self._connection.unavailable(step, repr(error)) from error


def _decode_row(raw: dict) -> Row:
    value = None if raw.get("Removed") else base64.b64decode(raw["Value"])
    return Row(raw["Key"], value, _read_version(raw["Ver"]))


def _read_version(value: int) -> int:
    """Return a version; a greater one than the store's hides all changes."""
    version = read_integer(value)
    if version < 0:
        raise ValueError(f"expected a version from 0 on, got {value}")
    return version


def _has_valid_key(row: Row) -> bool:
    """Return whether a row's key can be encoded, as for peers."""
    try:
        row.key.encode()
    except UnicodeEncodeError:
        logger.warning("the store returned a row with an invalid key: %a", row.key)
        return False
    return True


def open_store(
    session: aiohttp.ClientSession, address: Address, timeout_seconds: float
) -> RowStore:
    """Create a client of the store at an address."""
    connection = PlatformConnection(
        session, f"http://{address}", timeout_seconds, TRANSFER_SECONDS
    )
    return RowStore(connection=connection)
