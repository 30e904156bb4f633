"""Cache the rows of a table, for detecting changes and serving peers."""

from collections.abc import Iterable

from attrs import define, field

from .rows import Page, Row

# The version of a table that was never read; the store's versions begin at 0.
UNKNOWN_VERSION = -1


@define
class RowCache:
    """Cache a table's newest rows by key, removed ones as tombstones.

    All changes up to ``version`` are known. ``newest_row_version`` is the
    highest version of a cached row, and can exceed ``version``. All versions
    are those of one ``era`` of the store. Removals before ``history_from``
    may be missing, as a whole table does not show them.
    """

    era: int = 0
    version: int = UNKNOWN_VERSION
    newest_row_version: int = 0
    history_from: int = 0
    rows_by_key: dict[str, Row] = field(factory=dict)

    def merge_page(self, page: Page, is_whole: bool) -> list[Row]:
        """Merge a response of the store; return the rows that changed.

        Cached rows that a whole table lacks have been removed. A whole table
        of a later era replaces the cached one. Ignore any other response of
        another era.
        """
        if page.era != self.era:
            if page.era < self.era or not is_whole:
                return []
            return self._replace(page)
        changed = [row for row in page.rows if self._is_newer(row)]
        if is_whole or self.version == UNKNOWN_VERSION:
            self.history_from = max(self.history_from, page.version)
        if is_whole:
            present_keys = {row.key for row in page.rows}
            changed.extend(
                Row(key, None, page.version)
                for key, row in self.rows_by_key.items()
                if key not in present_keys
                and row.value is not None
                and row.version <= page.version
            )
        self._store(changed)
        self.version = max(self.version, page.version)
        return changed

    def merge_changes(self, after: int, page: Page) -> list[Row]:
        """Merge the changes after a version; return the rows that changed.

        If ``after`` is above the known version, the changes between the two
        are missing, and the known version stays as it is. Changes of another
        era are ignored.
        """
        if page.era != self.era:
            return []
        changed = [row for row in page.rows if self._is_newer(row)]
        self._store(changed)
        if after <= self.version:
            self.version = max(self.version, page.version)
        return changed

    @property
    def complete_from(self) -> int:
        """Return the version after which all that changed is known here.

        A peer that knows less may miss a removal if it gets only what changes
        from now on.
        """
        return max(self.newest_row_version, self.history_from)

    def rows_after(self, version: int) -> Iterable[Row]:
        """Return the rows with a version above the given one."""
        return [row for row in self.rows_by_key.values() if row.version > version]

    def _replace(self, page: Page) -> list[Row]:
        """Replace the table by that of a later era; return what changed."""
        present = {row.key: row for row in page.rows}
        changed = [row for row in page.rows if not self._has_value(row.key, row.value)]
        changed.extend(
            Row(key, None, page.version)
            for key in self.rows_by_key
            if key not in present and not self._has_value(key, None)
        )
        self.era = page.era
        self.version = self.newest_row_version = self.history_from = page.version
        self.rows_by_key = present
        return changed

    def _has_value(self, key: str, value: bytes | None) -> bool:
        cached = self.rows_by_key.get(key)
        return (cached.value if cached is not None else None) == value

    def _store(self, rows: Iterable[Row]) -> None:
        for row in rows:
            self.rows_by_key[row.key] = row
            self.newest_row_version = max(self.newest_row_version, row.version)

    def _is_newer(self, row: Row) -> bool:
        cached = self.rows_by_key.get(row.key)
        return cached is None or row.version > cached.version
