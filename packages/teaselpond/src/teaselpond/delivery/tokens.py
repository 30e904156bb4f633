"""Sign the tokens that callers hold, so that only their owner can use them."""

import base64
import hashlib
import hmac
from collections.abc import Iterable

import cattrs
import cbor2
from attrs import asdict, field, frozen

from teaselpond_model.contracts import Address

MAC_BYTES = 16
MAX_TOKEN_CHARACTERS = 1024
MINIMUM_KEY_BYTES = 16
TOKEN_LIFETIME_SECONDS = 3600.0


class InvalidToken(ValueError):
    """Report a token that is malformed, forged, expired or another's."""


@frozen
class SigningKey:
    """Hold a named secret; the secret never shows in logs."""

    key_id: str
    secret: bytes = field(repr=False)

    @secret.validator
    def _check_secret(self, _attribute, value: bytes) -> None:
        if len(value) < MINIMUM_KEY_BYTES:
            raise ValueError(f"key {self.key_id} is under {MINIMUM_KEY_BYTES} bytes")

    @classmethod
    def parse_all(cls, text: str) -> tuple["SigningKey", ...]:
        """Read ``id:hex,id:hex``, the signing key first; raise ValueError."""
        keys = []
        for part in text.split(","):
            key_id, separator, secret = part.strip().partition(":")
            if not separator or not key_id:
                raise ValueError("a key is written id:hex")
            try:
                keys.append(cls(key_id, bytes.fromhex(secret)))
            except ValueError:
                # The cause would show the secret's text.
                raise ValueError(f"key {key_id} is unusable") from None
        return tuple(keys)


@frozen
class StreamLocation:
    """Say which stream of which engine a caller is reading.

    ``issued_at`` is in whole seconds of the wall clock.
    """

    workspace: str
    request_id: str
    engine_id: str
    engine_address: str
    stream_id: str
    issued_at: int

    @property
    def address(self) -> Address:
        """Return the engine's address."""
        return Address.parse(self.engine_address)


@frozen
class ResumeToken:
    """Hold a stream's place and the last event that the caller has."""

    location: StreamLocation
    after: int


class TokenSigner:
    """Sign with the first key and accept every key, so that keys rotate."""

    def __init__(self, keys: Iterable[SigningKey]) -> None:
        self._keys_by_id = {key.key_id: key for key in keys}
        if not self._keys_by_id:
            raise ValueError("no signing key")
        self._signing_key = next(iter(self._keys_by_id.values()))

    def sign(self, purpose: str, values: list) -> str:
        """Return a signed token of plain values for one purpose."""
        payload = cbor2.dumps([self._signing_key.key_id, purpose, values])
        return _encode(payload + _mac(self._signing_key, payload))

    def verify(self, purpose: str, token: str) -> list:
        """Return a token's values; raise InvalidToken."""
        if len(token) > MAX_TOKEN_CHARACTERS:
            raise InvalidToken("too long")
        raw = _decode(token)
        payload, mac = raw[:-MAC_BYTES], raw[-MAC_BYTES:]
        try:
            key_id, found_purpose, values = cbor2.loads(payload)
            key = self._keys_by_id[key_id]
        except (cbor2.CBORDecodeError, ValueError, TypeError, KeyError):
            raise InvalidToken("malformed") from None
        if not hmac.compare_digest(mac, _mac(key, payload)):
            raise InvalidToken("forged")
        if found_purpose != purpose or not isinstance(values, list):
            raise InvalidToken("of another purpose")
        return values


class ResumeTokens:
    """Write and read the event ids of streams.

    An event id is the signed place, a full stop and the engine's event
    number. The number is not signed: a caller who changes it reads another
    part of its own answer.
    """

    def __init__(
        self, signer: TokenSigner, max_age_seconds: float = TOKEN_LIFETIME_SECONDS
    ) -> None:
        self._signer = signer
        self._max_age_seconds = max_age_seconds

    def prefix(self, location: StreamLocation) -> str:
        """Return the part that all event ids of a place share."""
        return self._signer.sign("stream", list(asdict(location).values()))

    def read(self, token: str, workspace: str, now: float) -> ResumeToken:
        """Return what an event id says; ``now`` is in wall-clock seconds.

        Raise InvalidToken, also when it is another workspace's.
        """
        prefix, _, number = token.rpartition(".")
        if not (number.isascii() and number.isdigit() and len(number) <= 9):
            raise InvalidToken("no event number")
        values = self._signer.verify("stream", prefix)
        try:
            location = cattrs.structure_attrs_fromtuple(values, StreamLocation)
        except (ValueError, TypeError, IndexError):
            raise InvalidToken("malformed") from None
        if location.workspace != workspace:
            raise InvalidToken("of another workspace")
        if now - location.issued_at > self._max_age_seconds:
            raise InvalidToken("expired")
        return ResumeToken(location, int(number))


def _mac(key: SigningKey, payload: bytes) -> bytes:
    return hmac.digest(key.secret, payload, hashlib.sha256)[:MAC_BYTES]


def _encode(raw: bytes) -> str:
    return base64.urlsafe_b64encode(raw).rstrip(b"=").decode()


def _decode(text: str) -> bytes:
    try:
        encoded = text.encode("ascii")
        return base64.b64decode(
            encoded + b"=" * (-len(encoded) % 4), altchars=b"-_", validate=True
        )
    except (ValueError, UnicodeEncodeError):
        raise InvalidToken("malformed") from None
