"""Sign and verify the tokens with which callers resume their streams."""

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
    """Report a token that is malformed, forged, expired or for another use."""


@frozen
class SigningKey:
    """Hold a secret and its id; the secret never appears in logs."""

    key_id: str
    secret: bytes = field(repr=False)

    @secret.validator
    def _check_secret(self, _attribute, value: bytes) -> None:
        if len(value) < MINIMUM_KEY_BYTES:
            raise ValueError(
                f"signing key {self.key_id}: expected {MINIMUM_KEY_BYTES} or more bytes"
            )

    @classmethod
    def parse_all(cls, text: str) -> tuple["SigningKey", ...]:
        """Parse ``id:hex,id:hex``; raise ValueError.

        The first key signs; all of them verify.
        """
        keys = []
        for part in text.split(","):
            key_id, separator, secret = part.strip().partition(":")
            if not separator or not key_id:
                raise ValueError("signing keys: expected id:hex, separated by commas")
            try:
                keys.append(cls(key_id, bytes.fromhex(secret)))
            except ValueError:
                # The cause's message would contain the secret.
                raise ValueError(
                    f"signing key {key_id}: the secret is too short or not hex"
                ) from None
        return tuple(keys)


@frozen
class StreamLocation:
    """Identify the stream that a caller reads and the engine that has it.

    ``issued_at`` is in whole seconds of the wall clock. The fields' order is
    their order in a token.
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
    """Hold a stream's location and the number of the last event received."""

    location: StreamLocation
    after_event: int


class TokenSigner:
    """Sign with the first key and verify with any, so that keys can rotate."""

    def __init__(self, keys: Iterable[SigningKey]) -> None:
        self._keys_by_id = {key.key_id: key for key in keys}
        if not self._keys_by_id:
            raise ValueError("expected at least one signing key")
        self._signing_key = next(iter(self._keys_by_id.values()))

    def sign(self, purpose: str, values: list) -> str:
        """Return a signed token that holds CBOR values for one purpose."""
        payload = cbor2.dumps([self._signing_key.key_id, purpose, values])
        return _encode(payload + _mac(self._signing_key, payload))

    def verify(self, purpose: str, token: str) -> list:
        """Return a token's values; raise InvalidToken if it is not valid."""
        if len(token) > MAX_TOKEN_CHARACTERS:
            raise InvalidToken("the token is too long")
        raw = _decode(token)
        payload, mac = raw[:-MAC_BYTES], raw[-MAC_BYTES:]
        try:
            key_id, found_purpose, values = cbor2.loads(payload)
            key = self._keys_by_id[key_id]
        except (cbor2.CBORDecodeError, ValueError, TypeError, KeyError):
            raise InvalidToken("the token is malformed") from None
        if not hmac.compare_digest(mac, _mac(key, payload)):
            raise InvalidToken("the token's signature is wrong")
        if found_purpose != purpose or not isinstance(values, list):
            raise InvalidToken("the token is for another purpose")
        return values


class ResumeTokens:
    """Write and read the event ids of streams, which are resume tokens.

    An event id is the signed stream location, a full stop and the engine's
    event number. The number is not signed: a caller that changes it reads
    another part of its own answer.
    """

    def __init__(
        self, signer: TokenSigner, max_age_seconds: float = TOKEN_LIFETIME_SECONDS
    ) -> None:
        self._signer = signer
        self._max_age_seconds = max_age_seconds

    def event_id_prefix(self, location: StreamLocation) -> str:
        """Return the signed part that all event ids of a stream share."""
        return self._signer.sign("stream", list(asdict(location).values()))

    def read(self, token: str, workspace: str, now: float) -> ResumeToken:
        """Verify and parse an event id; ``now`` is in wall-clock seconds.

        Raise InvalidToken if it isn't valid or is for another workspace.
        """
        event_id_prefix, _, number = token.rpartition(".")
        if not (number.isascii() and number.isdigit() and len(number) <= 9):
            raise InvalidToken("the token has no event number")
        values = self._signer.verify("stream", event_id_prefix)
        try:
            location = cattrs.structure_attrs_fromtuple(values, StreamLocation)
        except (ValueError, TypeError, IndexError):
            raise InvalidToken("the token is malformed") from None
        if location.workspace != workspace:
            raise InvalidToken("the token is for another workspace")
        if now - location.issued_at > self._max_age_seconds:
            raise InvalidToken("the token has expired")
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
        raise InvalidToken("the token is malformed") from None
