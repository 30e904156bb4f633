"""Check that decoding any bytes succeeds or raises a link error."""

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
CBOR_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text() | st.binary(),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.text(max_size=3), inner, max_size=3)
    ),
    max_leaves=8,
)


@messages.message("test-newer")
@frozen
class ExtendedMessage:
    """Represent a message to which a later version added a field."""

    name: str
    count: int = 7


class CodecTests(testtools.TestCase):
    """Check round trips, invalid frames and random bytes."""

    def test_frames_round_trip(self) -> None:
        """Decode what was encoded, for each flow."""
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

    def test_grants_round_trip(self) -> None:
        """Decode the policy's messages with enums and optional fields."""
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
            (["a"], ExtendedMessage("a", 7)),
            (["a", 2], ExtendedMessage("a", 2)),
            (["a", 2, "later"], ExtendedMessage("a", 2)),
        ):
            content = cbor2.dumps(["test-newer", row])
            self.assertEqual(expected, codec.decode(content).message)

    def test_invalid_frames_raise_typed_errors(self) -> None:
        """Raise the matching error for each invalid frame."""
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

    def test_unknown_message_error_keeps_call_id(self) -> None:
        """Keep the call id, so the receiver can answer an unknown call."""
        content = cbor2.dumps(["no-such-message", [], 1, 77])
        error = self.assertRaises(UnknownMessage, codec.decode, content)
        self.assertEqual(77, error.call_id)

    def test_too_large_message_is_not_encoded(self) -> None:
        """Raise FrameTooLarge for a frame above the limit."""
        too_large = Frame(Hello(bytes(codec.FRAME_LIMIT_BYTES), b""))
        self.assertRaises(FrameTooLarge, codec.encode, too_large)

    @SETTINGS
    @given(st.binary(max_size=400))
    def test_random_bytes(self, content: bytes) -> None:
        """Raise only link errors on random bytes."""
        self._check_decode(content)

    @SETTINGS
    @given(
        st.sampled_from(["hello", "challenge", "refused", "failure", "bye", "beat"]),
        st.lists(CBOR_VALUES, max_size=8),
        st.lists(CBOR_VALUES, max_size=3),
    )
    def test_random_fields(self, name: str, body: list, rest: list) -> None:
        """Raise only link errors on random fields of a known message."""
        self._check_decode(cbor2.dumps([name, body, *rest]))

    @SETTINGS
    @given(st.data())
    def test_damaged_frames(self, data: st.DataObject) -> None:
        """Raise only link errors when a single byte changes."""
        frame = Frame(Hello(b"introduction", b"proof"), Flow.CALL, 3)
        content = bytearray(codec.encode(frame))
        position = data.draw(st.integers(0, len(content) - 1))
        content[position] = data.draw(st.integers(0, 255))
        self._check_decode(bytes(content))

    def _check_decode(self, content: bytes) -> None:
        try:
            frame = codec.decode(content)
        except LinkError:
            return
        self.assertIsInstance(frame, Frame)
