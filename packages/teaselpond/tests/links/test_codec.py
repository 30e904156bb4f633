"""Check that no bytes can do more than raise a typed error."""

import cbor2
import testtools
from attrs import frozen
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from teaselpond.links import codec, messages
from teaselpond.links.exceptions import (
    FrameTooLarge,
    LinkError,
    MalformedFrame,
    UnknownMessage,
)
from teaselpond.links.messages import Flow, Frame, Heartbeat, Hello, HelloRefused
from teaselpond.owner.messages import AcquireSlot
from teaselpond.policy import (
    Grant,
    HeldGrants,
    Outcome,
    Refusal,
    RefusalReason,
    Release,
    RequestClass,
    SlotRequest,
)

SETTINGS = settings(
    derandomize=True,
    deadline=None,
    max_examples=150,
    suppress_health_check=list(HealthCheck),
)
PLAIN = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text() | st.binary(),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.text(max_size=3), inner, max_size=3)
    ),
    max_leaves=8,
)


@messages.message("test-newer")
@frozen
class Newer:
    """Stand for a message that a later version extended."""

    name: str
    count: int = 7


class CodecTests(testtools.TestCase):
    """Check frames against round trips, faults and random bytes."""

    def test_frames_survive_the_round_trip(self) -> None:
        """Read back what was written, for each flow."""
        for frame in (
            Frame(Heartbeat()),
            Frame(Hello(b"i", b"p"), Flow.CALL, 5),
            Frame(
                HelloRefused(messages.RefusalReason.STALE, 9),
                Flow.ANSWER,
                (1 << 64) - 1,
            ),
        ):
            self.assertEqual(frame, codec.decode(codec.encode(frame)))

    def test_grants_survive_the_round_trip(self) -> None:
        """Carry the policy's messages with their enums and options."""
        slot = SlotRequest("r", "w", "c", "m", RequestClass.PLAN, 5, ("ab",), 1.5, "d")
        for body in (
            AcquireSlot(slot, 2.5),
            Grant("g", "r", "e", 1, 7),
            Refusal("r", RefusalReason.NO_ENGINE, 2.0),
            Release("g", Outcome.COMPLETED, None, 1, 2, 3, "i"),
            HeldGrants("d", ("g", "h")),
        ):
            frame = Frame(body, Flow.CALL, 1)
            self.assertEqual(frame, codec.decode(codec.encode(frame)))

    def test_fields_may_be_added_at_the_end(self) -> None:
        """Fill in missing fields and ignore unknown ones."""
        for row, expected in (
            (["a"], Newer("a", 7)),
            (["a", 2], Newer("a", 2)),
            (["a", 2, "later"], Newer("a", 2)),
        ):
            content = cbor2.dumps(["test-newer", row])
            self.assertEqual(expected, codec.decode(content).message)

    def test_faults_have_types(self) -> None:
        """Raise the error that fits each broken frame."""
        for content, error in (
            (b"", MalformedFrame),
            (b"\xff", MalformedFrame),
            (cbor2.dumps("beat"), MalformedFrame),
            (cbor2.dumps(["beat", "x"]), MalformedFrame),
            (cbor2.dumps(["beat", [], 9, 1]), MalformedFrame),
            (cbor2.dumps(["beat", [], 1, -1]), MalformedFrame),
            (cbor2.dumps(["hello", ["text", b""]]), MalformedFrame),
            (cbor2.dumps(["hello", []]), MalformedFrame),
            (cbor2.dumps(["refused", ["no-such-reason"]]), MalformedFrame),
            (cbor2.dumps(["no-such-message", []]), UnknownMessage),
            (b"\x81" * 100_000, MalformedFrame),
            (bytes(codec.FRAME_LIMIT_BYTES + 1), FrameTooLarge),
        ):
            with testtools.ExpectedException(error):
                codec.decode(content)

    def test_unknown_call_keeps_its_number(self) -> None:
        """Let the receiver answer a call of a type it does not know."""
        content = cbor2.dumps(["no-such-message", [], 1, 77])
        error = self.assertRaises(UnknownMessage, codec.decode, content)
        self.assertEqual(77, error.call_id)

    def test_too_large_a_message_is_not_sent(self) -> None:
        """Refuse to encode a frame above the limit."""
        big = Frame(Hello(bytes(codec.FRAME_LIMIT_BYTES), b""))
        self.assertRaises(FrameTooLarge, codec.encode, big)

    @SETTINGS
    @given(st.binary(max_size=400))
    def test_random_bytes(self, content: bytes) -> None:
        """Raise nothing but link errors on random bytes."""
        self._decode(content)

    @SETTINGS
    @given(
        st.sampled_from(["hello", "challenge", "refused", "failure", "bye", "beat"]),
        st.lists(PLAIN, max_size=8),
        st.lists(PLAIN, max_size=3),
    )
    def test_random_fields(self, name: str, body: list, rest: list) -> None:
        """Raise nothing but link errors on random rows of a known type."""
        self._decode(cbor2.dumps([name, body, *rest]))

    @SETTINGS
    @given(st.data())
    def test_damaged_frames(self, data: st.DataObject) -> None:
        """Raise nothing but link errors when single bytes change."""
        frame = Frame(Hello(b"introduction", b"proof"), Flow.CALL, 3)
        content = bytearray(codec.encode(frame))
        position = data.draw(st.integers(0, len(content) - 1))
        content[position] = data.draw(st.integers(0, 255))
        self._decode(bytes(content))

    def _decode(self, content: bytes) -> None:
        try:
            frame = codec.decode(content)
        except LinkError:
            return
        self.assertIsInstance(frame, Frame)
