"""Describe what the platform's store answers."""

from attrs import frozen


@frozen
class Row:
    """Hold one row as of its version; a value of None marks a removed row."""

    key: str
    value: bytes | None
    version: int


@frozen
class Page:
    """Hold the rows of one answer of the store.

    ``version`` is the store's newest one and ``store_seconds`` the store's
    own steady clock, both as of the answer.
    """

    rows: tuple[Row, ...]
    version: int
    store_seconds: float
    has_more: bool
