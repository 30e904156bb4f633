"""Define the codecs that a platform provides for its headers and bodies."""

from collections.abc import Iterable, Mapping
from typing import Protocol

from multidict import CIMultiDict, CIMultiDictProxy

from teaselpond_model.contracts import Address

from .answers import AnswerHead
from .calls import Call, Forwarding, Head, PromptPart
from .engines import Engine


class HeaderCodec(Protocol):
    """Encode and decode the headers of requests and answers.

    ``REQUEST_ID`` names the header with the id of a request.
    """

    REQUEST_ID: str

    def decode_head(
        self, method: str, target: str, headers: CIMultiDictProxy[str]
    ) -> Head:
        """Decode a request's line and headers; raise MalformedRequest."""

    def encode_request(
        self,
        call: Call,
        engine: Engine,
        remaining_seconds: float,
        forwarding: Forwarding,
    ) -> CIMultiDict[str]:
        """Return the headers of a call to an upstream, without its id."""

    def decode_answer(self, status: int, headers: CIMultiDictProxy[str]) -> AnswerHead:
        """Decode the status and headers of an upstream's answer."""

    def strip_signature(self, headers: CIMultiDict[str]) -> CIMultiDict[str]:
        """Return the headers without the upstream's signature."""

    def encode_refusal(
        self, request_id: str, retry_after: float | None
    ) -> CIMultiDict[str]:
        """Return the headers of a reply that the gateway makes itself."""


class DirectoryCodec(Protocol):
    """Encode and decode the calls that look up hosts and their readiness."""

    RESOLVE_PATH: str
    READY_PATH: str

    def decode_caller_zone(self, query: Mapping[str, str]) -> str:
        """Decode the availability zone of a caller from its query."""

    def encode_addresses(
        self, addresses: Iterable[Address], lifetime_seconds: float
    ) -> bytes:
        """Encode hosts' addresses and how long a caller may cache them."""


class CacheCodec(Protocol):
    """Decode the call that lists the prompt parts in an engine's cache."""

    CACHE_PATH: str

    def decode_cache(self, content: bytes) -> list[PromptPart]:
        """Decode the prompt parts that an engine has cached.

        Raise MalformedEntry if the list cannot be decoded.
        """
