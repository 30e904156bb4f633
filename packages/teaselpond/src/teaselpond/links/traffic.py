"""Count the bytes and messages that links carry, by kind of message."""

from collections import Counter

from attrs import define, field, frozen

WEBSOCKET_MASK_BYTES = 4
SHORT_LENGTH_LIMIT = 126
MEDIUM_LENGTH_LIMIT = 1 << 16
# IPv4 and TCP headers with timestamps.
PACKET_HEADER_BYTES = 52


def websocket_bytes(payload_bytes: int, *, masked: bool) -> int:
    """Return a WebSocket frame's size in bytes (RFC 6455, section 5.2)."""
    header_bytes = 2
    if payload_bytes >= MEDIUM_LENGTH_LIMIT:
        header_bytes += 8
    elif payload_bytes >= SHORT_LENGTH_LIMIT:
        header_bytes += 2
    return payload_bytes + header_bytes + (WEBSOCKET_MASK_BYTES if masked else 0)


@frozen
class TrafficTotals:
    """Hold sums over all kinds: frames, and bytes with WebSocket headers."""

    frames_sent: int
    frames_received: int
    bytes_sent: int
    bytes_received: int

    @property
    def bytes_with_packets(self) -> int:
        """Return the bytes in both directions, with a packet per frame."""
        frames = self.frames_sent + self.frames_received
        return self.bytes_sent + self.bytes_received + frames * PACKET_HEADER_BYTES


@define
class Traffic:
    """Count frames and bytes by message name."""

    frames_sent_by_kind: Counter[str] = field(factory=Counter)
    frames_received_by_kind: Counter[str] = field(factory=Counter)
    bytes_sent_by_kind: Counter[str] = field(factory=Counter)
    bytes_received_by_kind: Counter[str] = field(factory=Counter)
    faults_by_reason: Counter[str] = field(factory=Counter)

    def count_sent(self, kind: str, size_bytes: int) -> None:
        """Count a frame sent."""
        self.frames_sent_by_kind[kind] += 1
        self.bytes_sent_by_kind[kind] += size_bytes

    def count_received(self, kind: str, size_bytes: int) -> None:
        """Count a frame received."""
        self.frames_received_by_kind[kind] += 1
        self.bytes_received_by_kind[kind] += size_bytes

    def totals(self) -> TrafficTotals:
        """Return the sums over all kinds."""
        return TrafficTotals(
            self.frames_sent_by_kind.total(),
            self.frames_received_by_kind.total(),
            self.bytes_sent_by_kind.total(),
            self.bytes_received_by_kind.total(),
        )
