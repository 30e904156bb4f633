"""Describe answers of upstreams."""

from attrs import frozen
from multidict import CIMultiDict


@frozen
class AnswerHead:
    """Describe the status and headers of an upstream's answer.

    ``not_run`` is true if the upstream reports that it did not run the
    request, ``is_other_engine`` if another upstream has the address now.
    ``is_signed`` tells whether the answer has an upstream's signature.
    ``cold_seconds`` is how long the upstream can take only little load, None
    if it does not report it. ``load`` is the number of its running and waiting
    requests, None if it does not report them. ``is_leaving`` is true if the
    upstream will end soon. ``backoff_seconds`` is how long an upstream that
    turned the request away wants no further ones, None if it does not say so
    and NaN if it cannot be read. ``is_event_stream`` tells whether the body is
    a series of events. ``slowness`` is how much longer work currently takes
    at the upstream than usual (1.0), None if it does not report it.
    ``unreadable_load`` is the start of a load header that could not be read
    in full, else None.
    """

    status: int
    headers: CIMultiDict[str]
    is_signed: bool
    is_encoded: bool
    not_run: bool
    is_other_engine: bool
    cold_seconds: float | None
    load: int | None = None
    is_leaving: bool = False
    backoff_seconds: float | None = None
    is_event_stream: bool = False
    slowness: float | None = None
    unreadable_load: str | None = None

    @property
    def is_success(self) -> bool:
        """Return whether the status is 2xx."""
        return 200 <= self.status < 300
