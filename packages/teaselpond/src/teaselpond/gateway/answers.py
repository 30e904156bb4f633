"""Describe what an upstream answered."""

from attrs import frozen
from multidict import CIMultiDict


@frozen
class AnswerHead:
    """Hold what the head of an upstream's answer says.

    ``not_run`` is the upstream's word that it did not run the request;
    ``is_other_engine`` that another upstream has the address now.
    ``is_signed`` tells whether the answer bears an upstream's signature,
    ``cold_seconds`` how long the upstream bears little load, if it says so.
    """

    status: int
    headers: CIMultiDict[str]
    is_signed: bool
    is_encoded: bool
    not_run: bool
    is_other_engine: bool
    cold_seconds: float | None

    @property
    def is_success(self) -> bool:
        """Tell whether the status is one of success."""
        return 200 <= self.status < 300
