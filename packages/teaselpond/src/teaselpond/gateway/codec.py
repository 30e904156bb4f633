"""Say what the gateway needs from whoever speaks the platform's language."""

from collections.abc import Iterable, Mapping
from typing import Protocol

from multidict import CIMultiDict, CIMultiDictProxy

from teaselpond_model.contracts import Address

from .answers import AnswerHead
from .calls import Call, Head, PromptPart
from .engines import Engine


class HeaderCodec(Protocol):
    """Translate the headers of requests and answers."""

    REQUEST_ID: str

    def decode_head(
        self, method: str, target: str, headers: CIMultiDictProxy[str]
    ) -> Head:
        """Return what a request says; raise MalformedRequest."""

    def encode_request(
        self,
        call: Call,
        engine: Engine,
        remaining_seconds: float,
        last_event_id: str | None,
        copy_from: Engine | None,
    ) -> CIMultiDict[str]:
        """Return the headers of a call to an upstream, but for its id."""

    def decode_answer(self, status: int, headers: CIMultiDictProxy[str]) -> AnswerHead:
        """Return what the head of an answer says."""

    def strip_signature(self, headers: CIMultiDict[str]) -> CIMultiDict[str]:
        """Return headers without the upstream's signature."""

    def encode_refusal(
        self, request_id: str, retry_after: float | None
    ) -> CIMultiDict[str]:
        """Return the headers of an answer of the gateway's own."""


class DirectoryCodec(Protocol):
    """Translate the calls by which callers and the platform find hosts."""

    RESOLVE_PATH: str
    READY_PATH: str

    def decode_caller_zone(self, query: Mapping[str, str]) -> str:
        """Return the availability zone that a caller asks from."""

    def encode_addresses(
        self, addresses: Iterable[Address], lifetime_seconds: float
    ) -> bytes:
        """Return the body that names the hosts to connect to."""


class CacheCodec(Protocol):
    """Translate the call that lists what an engine's cache holds."""

    CACHE_PATH: str

    def decode_cache(self, content: bytes) -> list[PromptPart]:
        """Return the parts that an engine holds; raise MalformedEntry."""
