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
    highest version of a cached row, and can exceed ``version``.
    """

    version: int = UNKNOWN_VERSION
    newest_row_version: int = 0
    rows_by_key: dict[str, Row] = field(factory=dict)

    def merge_page(self, page: Page, is_whole: bool) -> list[Row]:
        """Merge a response of the store; return the rows that changed.

        Cached rows that a whole table lacks have been removed.
        """
        changed = [row for row in page.rows if self._is_newer(row)]
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
        are missing, and the known version stays as it is.
        """
        changed = [row for row in page.rows if self._is_newer(row)]
        self._store(changed)
        if after <= self.version:
            self.version = max(self.version, page.version)
        return changed

    def rows_after(self, version: int) -> Iterable[Row]:
        """Return the rows with a version above the given one."""
        return [row for row in self.rows_by_key.values() if row.version > version]

    def _store(self, rows: Iterable[Row]) -> None:
        for row in rows:
            self.rows_by_key[row.key] = row
            self.newest_row_version = max(self.newest_row_version, row.version)

    def _is_newer(self, row: Row) -> bool:
        cached = self.rows_by_key.get(row.key)
        return cached is None or row.version > cached.version
