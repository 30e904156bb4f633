"""Keep the rows of a table as last seen, to hand them to peers."""

from collections.abc import Iterable

from attrs import define, field

from .rows import Page, Row

# The version of a table of which nothing is known; the store's begin at 0.
UNKNOWN_VERSION = -1


@define
class RowCache:
    """Hold a table's newest rows by key; removed ones keep their version.

    All changes up to ``version`` are known; ``newest_row`` is the version of
    the newest row.
    """

    version: int = UNKNOWN_VERSION
    newest_row_version: int = 0
    rows_by_key: dict[str, Row] = field(factory=dict)

    def take(self, page: Page, is_whole: bool) -> list[Row]:
        """Take an answer of the store; return the rows that are news."""
        news = [row for row in page.rows if self._is_newer(row)]
        if is_whole:
            listed = {row.key for row in page.rows}
            news.extend(
                Row(key, None, page.version)
                for key, row in self.rows_by_key.items()
                if key not in listed
                and row.value is not None
                and row.version <= page.version
            )
        self._keep(news)
        self.version = max(self.version, page.version)
        return news

    def merge_changes(self, after: int, page: Page) -> list[Row]:
        """Take the changes from a version on; return the rows that are news.

        What lies between the known version and a later one is not known, so
        the known version moves only if there is nothing between.
        """
        news = [row for row in page.rows if self._is_newer(row)]
        self._keep(news)
        if after <= self.version:
            self.version = max(self.version, page.version)
        return news

    def rows_after(self, version: int) -> Iterable[Row]:
        """Return the rows that changed after a version."""
        return [row for row in self.rows_by_key.values() if row.version > version]

    def _keep(self, rows: Iterable[Row]) -> None:
        for row in rows:
            self.rows_by_key[row.key] = row
            self.newest_row_version = max(self.newest_row_version, row.version)

    def _is_newer(self, row: Row) -> bool:
        known = self.rows_by_key.get(row.key)
        return known is None or row.version > known.version
