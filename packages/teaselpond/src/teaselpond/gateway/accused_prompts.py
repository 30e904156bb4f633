"""Find the parts that long prompts which crashed upstreams have in common.

A prompt may have a thousand parts, of which one crashes upstreams. To keep and
pass on evidence against each of them would cost more the longer prompts are.
What two such prompts have in common is little, however. So hosts keep of each
prompt only fragments of its parts' fingerprints, and tell one another of
these. A host whose own prompt crashes an upstream looks up its parts in the
fragments of earlier ones, and accuses those that it finds.

Two parts may have the same fragment. So fragments are taken from different
places of the fingerprints for different processes: such a part is found in
some prompts, but not in as many as it takes to refuse it.
"""

import struct
from collections import Counter
from collections.abc import Callable, Iterable, Iterator

from attrs import define, field, frozen

from .ages import AGE_UNIT_SECONDS, HOP_SECONDS, encode_long_age
from .suspects import EndedProcess
from .traits import FINGERPRINT_BYTES, Trait

# The key of the process, the ages of its end and of the request that it was
# sent, and how many fragments follow.
HEADER = struct.Struct("<IHHH")
# With fewer bytes, the parts of all prompts that a crash cuts would have many
# fragments in common.
FRAGMENT_BYTES = 3
FRAGMENT = struct.Struct(f"{FRAGMENT_BYTES}s")
PLACE_COUNT = FINGERPRINT_BYTES - FRAGMENT_BYTES + 1
# More parts do not fit into the head of a request of usual size.
MAX_PARTS = 4096
# Bounds memory. Prompts that were cut beside the crashing ones count too.
MAX_FRAGMENTS = 128 * 1024
MAX_PROMPTS = 512
# A prompt is told in so many rounds of heartbeats by each host that knows it,
# unless that takes longer than this.
TELLINGS = 3
RELAYED_SECONDS = 1.5
# Bounds a heartbeat, beside the first prompt that it tells.
MAX_TOLD_BYTES = 4096


@define
class FragmentIndex:
    """Find some parts by the fragments of their fingerprints."""

    parts: tuple[Trait, ...]
    _parts_by_fragment_by_place: dict[int, dict[bytes, list[Trait]]] = field(
        factory=dict
    )

    def at_place(self, place: int) -> dict[bytes, list[Trait]]:
        """Return the parts by the fragments from one place."""
        found = self._parts_by_fragment_by_place.get(place)
        if found is None:
            found = self._parts_by_fragment_by_place[place] = {}
            for part in self.parts:
                found.setdefault(_fragment_of(part, place), []).append(part)
        return found


@frozen
class AccusedPrompt:
    """Hold which parts a prompt had whose upstream's process ended.

    ``fragments`` are those of all its shared parts, ``sent_at`` is when it was
    sent and ``at`` when the process ended, on the boot clock.
    """

    process_key: int
    sent_at: float
    at: float
    fragments: bytes

    @classmethod
    def of_parts(
        cls, parts: Iterable[Trait], process_key: int, sent_at: float, at: float
    ) -> "AccusedPrompt":
        """Return what is kept of a prompt with these parts."""
        place = process_key % PLACE_COUNT
        fragments = sorted({_fragment_of(part, place) for part in parts})
        return cls(process_key, sent_at, at, b"".join(fragments[:MAX_PARTS]))

    @property
    def key(self) -> tuple[int, bytes]:
        """Return what is the same at all hosts that know of the prompt."""
        return self.process_key, self.fragments

    def may_have(self, index: FragmentIndex) -> list[Trait]:
        """Return the indexed parts whose fragments the prompt has."""
        parts_by_fragment = index.at_place(self.process_key % PLACE_COUNT)
        return [
            part
            for (fragment,) in FRAGMENT.iter_unpack(self.fragments)
            if fragment in parts_by_fragment
            for part in parts_by_fragment[fragment]
        ]

    def accuse(self, part: Trait) -> EndedProcess:
        """Return the evidence against a part that the prompt may have."""
        return EndedProcess(part, self.process_key, self.sent_at, self.at)


@define
class AccusedPrompts:
    """Keep the newest of the accused prompts of all hosts.

    It is a topic of heartbeats. ``on_new`` is called with each prompt that a
    peer has told of first, and the present time.
    """

    name = "accused-prompts"
    on_new: Callable[[AccusedPrompt, float], None] = lambda prompt, now: None
    _prompts_by_key: dict[tuple[int, bytes], AccusedPrompt] = field(factory=dict)
    _tellings_by_key: Counter[tuple[int, bytes]] = field(factory=Counter)
    _fragment_count: int = 0

    def add(self, prompt: AccusedPrompt) -> bool:
        """Add a prompt; return whether it was unknown."""
        key = prompt.key
        if key in self._prompts_by_key:
            return False
        self._prompts_by_key[key] = prompt
        self._fragment_count += len(prompt.fragments) // FRAGMENT_BYTES
        while (
            self._fragment_count > MAX_FRAGMENTS
            or len(self._prompts_by_key) > MAX_PROMPTS
        ):
            self._remove_oldest()
        return True

    def expire(self, oldest: float) -> None:
        """Remove the prompts that crashed upstreams before a time."""
        while self._prompts_by_key:
            if next(iter(self._prompts_by_key.values())).at > oldest:
                break
            self._remove_oldest()

    def find_ends(self, parts: Iterable[Trait]) -> Iterator[EndedProcess]:
        """Yield the processes that some parts may have ended."""
        if not self._prompts_by_key:
            return
        index = FragmentIndex(tuple(parts))
        for prompt in self._prompts_by_key.values():
            for part in prompt.may_have(index):
                yield prompt.accuse(part)

    def pack(self, now: float) -> bytes:
        """Encode new prompts, those first that were told least."""
        oldest = now - RELAYED_SECONDS
        due = [
            prompt
            for prompt in reversed(self._prompts_by_key.values())
            if prompt.at > oldest and self._tellings_by_key[prompt.key] < TELLINGS
        ]
        due.sort(key=lambda prompt: self._tellings_by_key[prompt.key])
        packed = b""
        for prompt in due:
            told = _pack_prompt(prompt, now)
            if packed and len(packed) + len(told) > MAX_TOLD_BYTES:
                continue
            packed += told
            self._tellings_by_key[prompt.key] += 1
        return packed

    def merge(self, packed: bytes, host: str, now: float) -> None:
        """Record the prompts that a peer tells of; raise ValueError."""
        for prompt in _unpack_prompts(packed, now):
            if self.add(prompt):
                self.on_new(prompt, now)

    def _remove_oldest(self) -> None:
        key = next(iter(self._prompts_by_key))
        prompt = self._prompts_by_key.pop(key)
        self._fragment_count -= len(prompt.fragments) // FRAGMENT_BYTES
        del self._tellings_by_key[key]


def _fragment_of(part: Trait, place: int) -> bytes:
    return part.fingerprint[place : place + FRAGMENT_BYTES]


def _pack_prompt(prompt: AccusedPrompt, now: float) -> bytes:
    header = HEADER.pack(
        prompt.process_key,
        encode_long_age(now - prompt.at),
        encode_long_age(now - prompt.sent_at),
        len(prompt.fragments) // FRAGMENT_BYTES,
    )
    return header + prompt.fragments


def _unpack_prompts(packed: bytes, now: float) -> Iterator[AccusedPrompt]:
    heard_at = now - HOP_SECONDS
    start = 0
    while start < len(packed):
        end = start + HEADER.size
        if end > len(packed):
            raise ValueError(f"expected a prompt, got {len(packed) - start} bytes")
        key, age, sent_age, count = HEADER.unpack(packed[start:end])
        start = end + count * FRAGMENT_BYTES
        fragments = packed[end:start]
        if len(fragments) < count * FRAGMENT_BYTES or count > MAX_PARTS:
            raise ValueError(f"expected {count} fragments, got {len(fragments)} bytes")
        yield AccusedPrompt(
            key,
            heard_at - sent_age * AGE_UNIT_SECONDS,
            heard_at - age * AGE_UNIT_SECONDS,
            fragments,
        )
