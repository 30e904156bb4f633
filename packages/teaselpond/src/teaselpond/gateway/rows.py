"""Define rows and pages of the platform's store."""

from attrs import frozen


@frozen
class Row:
    """Hold a row's value as of a version; None marks a removed row."""

    key: str
    value: bytes | None
    version: int


@frozen
class Page:
    """Hold the rows of one response of the store.

    ``version`` is the store's newest version and ``store_seconds`` the time
    of its monotonic clock, both when it responded. ``era`` rises each time the
    store returns from an older copy; versions are comparable within an era.
    If ``has_more``, the next page begins after ``last_key``.
    """

    rows: tuple[Row, ...]
    version: int
    store_seconds: float
    has_more: bool
    era: int = 0
    last_key: str | None = None
