"""Serve tables of versioned rows and a feed of their changes from memory."""

import asyncio
import base64
import json
import time
from typing import Any

from aiohttp import web
from attrs import define, field, frozen

from ..server import abort

# The largest page of the platform's row store.
PAGE_ROWS = 500


@frozen
class StoreCopy:
    """Hold the rows of a store as of a version."""

    rows_by_table_and_key: dict[tuple[str, str], dict[str, Any]]
    version: int


@define(eq=False)
class MemoryRows:
    """Stand in for the platform's row store, with injectable faults.

    While ``is_down`` is set, every connection is reset; while ``is_silent``
    is set, no call is answered. ``answer_delay_seconds`` delays each answer.
    ``loses_answers`` resets the connection after the call has run. The feed
    refuses requests for changes before ``oldest_version`` with status 410, as
    it does those after a version that the store does not have. ``era`` counts
    the restores.
    """

    is_down: bool = False
    is_silent: bool = False
    loses_answers: bool = False
    answer_delay_seconds: float = 0.0
    oldest_version: int = 0
    version: int = 0
    era: int = 1
    calls: int = 0
    _rows_by_table_and_key: dict[tuple[str, str], dict[str, Any]] = field(factory=dict)
    _changed: asyncio.Condition = field(factory=asyncio.Condition)

    def routes(self) -> list[web.RouteDef]:
        """Return the HTTP routes of the store."""
        return [
            web.get("/v1/rows-get", self._apply_faults(self._get)),
            web.get("/v1/rows-feed", self._apply_faults(self._feed)),
            web.post("/v1/rows-tx", self._apply_faults(self._transact)),
        ]

    async def put(self, table: str, key: str, value: bytes) -> int:
        """Write a row, and return its version."""
        self._set(table, key, base64.b64encode(value).decode())
        return await self._notify()

    async def put_json(self, table: str, key: str, value: object) -> int:
        """Write a row with a JSON value, and return its version."""
        return await self.put(table, key, json.dumps(value).encode())

    async def remove(self, table: str, key: str) -> int:
        """Remove a row, and return the version of its removal."""
        self._set(table, key, None)
        return await self._notify()

    def forget_history(self) -> None:
        """Discard the history of the feed up to the current version."""
        self.oldest_version = self.version

    def copy(self) -> "StoreCopy":
        """Return a copy of all rows, to restore later."""
        rows = {key: dict(row) for key, row in self._rows_by_table_and_key.items()}
        return StoreCopy(rows, self.version)

    async def restore(self, copy: "StoreCopy") -> None:
        """Return to a copy: what was written since is lost.

        Versions are given out again, and the history is gone.
        """
        self._rows_by_table_and_key = {
            key: dict(row) for key, row in copy.rows_by_table_and_key.items()
        }
        self.version = self.oldest_version = copy.version
        self.era += 1
        async with self._changed:
            self._changed.notify_all()

    def value(self, table: str, key: str) -> bytes | None:
        """Return a row's value, or None if it is absent or removed."""
        row = self._rows_by_table_and_key.get((table, key))
        if row is None or row["Value"] is None:
            return None
        return base64.b64decode(row["Value"])

    def _apply_faults(self, handler):
        async def handle_with_faults(request: web.Request) -> web.StreamResponse:
            self.calls += 1
            if self.is_down:
                return abort(request)
            if self.is_silent:
                await asyncio.Event().wait()
            response = await handler(request)
            await asyncio.sleep(self.answer_delay_seconds)
            if self.is_down or self.loses_answers:
                return abort(request)
            return response

        return handle_with_faults

    async def _get(self, request: web.Request) -> web.Response:
        table = request.query["Table"]
        start = request.query.get("From", "")
        limit = min(int(request.query.get("Limit", PAGE_ROWS)), PAGE_ROWS)
        keys = sorted(
            key
            for (row_table, key), row in self._rows_by_table_and_key.items()
            if row_table == table and key >= start and row["Value"] is not None
        )
        rows = [self._rows_by_table_and_key[table, key] for key in keys[:limit]]
        return self._answer(rows, HasMore=len(keys) > limit)

    async def _feed(self, request: web.Request) -> web.Response:
        table = request.query["Table"]
        after = int(request.query["After"])
        if not self.oldest_version <= after <= self.version:
            return web.Response(status=410, headers=self._headers)
        seconds = int(request.query.get("WaitMs", 0)) / 1000
        try:
            async with asyncio.timeout(seconds), self._changed:
                await self._changed.wait_for(
                    lambda: self._list_changed_rows(table, after)
                )
        except TimeoutError:
            return self._answer([])
        return self._answer(self._list_changed_rows(table, after))

    async def _transact(self, request: web.Request) -> web.Response:
        body = await request.json()
        differing = [row for row in body["ExpectedRev"] if self._differs(row)]
        if differing:
            keys = [(row["Table"], row["Key"]) for row in differing]
            found = [self._rows_by_table_and_key.get(key) for key in keys]
            rows = [row for row in found if row is not None]
            return self._answer(rows, status=412)
        for row in body["SetKeys"]:
            self._set(row["Table"], row["Key"], row["Value"])
        for row in body["Remove"]:
            self._set(row["Table"], row["Key"], None)
        await self._notify()
        return self._answer([])

    def _differs(self, expected: dict[str, Any]) -> bool:
        """Return whether a row has another version than a write expects."""
        row = self._rows_by_table_and_key.get((expected["Table"], expected["Key"]))
        is_present = row is not None and row["Value"] is not None
        return (row["Ver"] if is_present else 0) != expected["Ver"]

    def _set(self, table: str, key: str, value: str | None) -> None:
        row = {"Table": table, "part": "", "Key": key, "Value": value}
        row["Ver"] = self.version + 1
        if value is None:
            row["Removed"] = True
        self._rows_by_table_and_key[table, key] = row

    async def _notify(self) -> int:
        self.version += 1
        async with self._changed:
            self._changed.notify_all()
        return self.version

    def _list_changed_rows(self, table: str, after: int) -> list[dict[str, Any]]:
        rows = [
            row
            for (row_table, _), row in self._rows_by_table_and_key.items()
            if row_table == table and row["Ver"] > after
        ]
        return sorted(rows, key=lambda row: row["Ver"])

    def _answer(
        self, rows: list[dict[str, Any]], status: int = 200, **fields: Any
    ) -> web.Response:
        now_ms = time.monotonic() * 1000
        return web.json_response(
            {"Rows": rows, "Ver": self.version, "NowMs": now_ms, **fields},
            headers=self._headers,
            status=status,
        )

    @property
    def _headers(self) -> dict[str, str]:
        return {"Store-Era": str(self.era)}
