"""Define daemon identities, link keys and the settings of links."""

import hashlib
import hmac
import secrets

from attrs import field, frozen, validators

from teaselpond_model.contracts import Address
from teaselpond_model.exceptions import ImproperlyConfigured

BOOT_ID_BYTES = 8


@frozen
class Identity:
    """Identify one run of one daemon.

    ``incarnation`` grows with each start; ``boot_id`` distinguishes two
    processes that were started with the same incarnation.
    """

    daemon_id: str
    incarnation: int
    zone: str
    address: Address
    boot_id: bytes = field(factory=lambda: secrets.token_bytes(BOOT_ID_BYTES))

    @property
    def rank(self) -> tuple[int, bytes]:
        """Return the sort key of a daemon's runs; the highest one is valid."""
        return (self.incarnation, self.boot_id)


@frozen
class Peer:
    """Hold the address and zone of a daemon."""

    daemon_id: str
    address: Address
    zone: str = ""


@frozen
class LinkKeys:
    """Hold the fleet's link keys; the first one signs, all can verify."""

    keys: tuple[bytes, ...] = field(repr=False)

    def __attrs_post_init__(self) -> None:
        if not self.keys or not all(self.keys):
            raise ImproperlyConfigured(
                "expected one or more link keys, none of them empty", step="link keys"
            )

    def sign(self, content: bytes) -> bytes:
        """Return the first key's HMAC of the content."""
        return self._compute_proof(self.keys[0], content)

    def verify(self, content: bytes, proof: bytes) -> bool:
        """Return whether any key made the proof, in constant time per key."""
        matches = [
            hmac.compare_digest(self._compute_proof(key, content), proof)
            for key in self.keys
        ]
        return any(matches)

    @staticmethod
    def _compute_proof(key: bytes, content: bytes) -> bytes:
        return hmac.digest(key, content, hashlib.sha256)


@frozen
class LinkSettings:
    """Configure the timeouts, in seconds, and the limits of links."""

    heartbeat_seconds: float = field(default=1.0, validator=validators.gt(0))
    silence_seconds: float = field(default=3.5, validator=validators.gt(0))
    handshake_seconds: float = 2.0
    redial_min_seconds: float = 0.2
    redial_max_seconds: float = 5.0
    idle_seconds: float = 120.0
    queue_limit_frames: int = 1024
    max_concurrent_calls: int = 256
