"""Keep the rows of a table as last seen, to hand them to peers."""

from collections.abc import Iterable

from attrs import define, field

from .rows import Page, Row


@define
class RowCache:
    """Hold a table's newest rows by key; removed ones keep their version."""

    version: int = 0
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
        for row in news:
            self.rows_by_key[row.key] = row
        self.version = max(self.version, page.version)
        return news

    def newer_than(self, version: int) -> Iterable[Row]:
        """Return the rows that changed after a version."""
        return [row for row in self.rows_by_key.values() if row.version > version]

    def _is_newer(self, row: Row) -> bool:
        known = self.rows_by_key.get(row.key)
        return known is None or row.version > known.version
