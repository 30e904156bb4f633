"""Name what requests have in common, to find what crashes upstreams.

The same request may come again, also with another query, or requests that are
alike in one part of their prompts only. Hosts tell one another of such traits
by fingerprints.
"""

import enum
import functools
import hashlib

from attrs import frozen

from .calls import Call

FINGERPRINT_BYTES = 8
# Bounds memory: callers may send ids as long as the head of a request.
MAX_CACHED_CHARACTERS = 64
PART_DIGEST = hashlib.blake2b(digest_size=FINGERPRINT_BYTES, person=b"part")


class Scope(enum.IntEnum):
    """List what a trait covers.

    REQUEST: one request of a caller, when it comes again.
    LAST_SHARED_PART: all prompts with this part.
    EARLIER_PART: the same; other parts that prompts share may follow it.
    PATH: all requests of a caller with one path and body, whatever the query.

    Peers are told the values. Of several that are reported for a part, the
    highest holds.
    """

    REQUEST = 0
    LAST_SHARED_PART = 1
    EARLIER_PART = 2
    PATH = 3


@frozen
class Trait:
    """Identify one thing that requests may have in common."""

    fingerprint: bytes
    scope: Scope

    @property
    def is_part(self) -> bool:
        """Return whether it is a part of a prompt."""
        return self.scope is Scope.EARLIER_PART or self.scope is Scope.LAST_SHARED_PART


def traits_of(call: Call) -> tuple[Trait, ...]:
    """Return the traits of a request, the narrowest first.

    The part of a prompt that belongs only to the request is none.
    """
    traits = [Trait(fingerprint_of(call), Scope.REQUEST)]
    prompt = call.head.prompt
    if prompt is not None and prompt.shared_parts:
        *earlier, last = prompt.shared_parts
        traits.append(_last_part_trait(last.part_id))
        traits += [_earlier_part_trait(part.part_id) for part in reversed(earlier)]
    traits.append(Trait(path_fingerprint_of(call), Scope.PATH))
    return tuple(traits)


def fingerprint_of(call: Call) -> bytes:
    """Return a hash that identifies a request when it is sent again."""
    return _hash_parts(
        _caller_of(call),
        call.head.method.encode(),
        call.head.target.encode(),
        call.body,
    )


def path_fingerprint_of(call: Call) -> bytes:
    """Return a hash that identifies a request's caller, path and body."""
    return _hash_parts(
        _caller_of(call), call.head.path.encode(), call.body, person=b"path"
    )


def part_fingerprint(part_id: str) -> bytes:
    """Return a hash that identifies a part of prompts at all services."""
    digest = PART_DIGEST.copy()
    digest.update(part_id.lower().encode())
    return digest.digest()


def _last_part_trait(part_id: str) -> Trait:
    if len(part_id) > MAX_CACHED_CHARACTERS:
        return Trait(part_fingerprint(part_id), Scope.LAST_SHARED_PART)
    return _cached_last_part_trait(part_id)


def _earlier_part_trait(part_id: str) -> Trait:
    if len(part_id) > MAX_CACHED_CHARACTERS:
        return Trait(part_fingerprint(part_id), Scope.EARLIER_PART)
    return _cached_earlier_part_trait(part_id)


# Most parts come often, and prompts may have many.
@functools.lru_cache(maxsize=4096)
def _cached_last_part_trait(part_id: str) -> Trait:
    return Trait(part_fingerprint(part_id), Scope.LAST_SHARED_PART)


@functools.lru_cache(maxsize=16384)
def _cached_earlier_part_trait(part_id: str) -> Trait:
    return Trait(part_fingerprint(part_id), Scope.EARLIER_PART)


def _caller_of(call: Call) -> bytes:
    """Return what identifies a caller, who may use several keys."""
    return call.workspace.name.encode() if call.workspace else b""


def _hash_parts(*parts: bytes, person: bytes = b"") -> bytes:
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES, person=person)
    for part in parts:
        digest.update(len(part).to_bytes(4, "big") + part)
    return digest.digest()
