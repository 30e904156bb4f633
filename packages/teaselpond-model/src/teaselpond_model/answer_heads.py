"""Check the heads of answers before the HTTP library's parser reads them.

Servers in trouble send bytes that are no answer, and parsers let through more
than RFC 9112 defines. A body whose framing is not defined may be another one
than the server sent. So each head must be valid and frame its body in one of
the defined ways. This module imports nothing that is slow to load.
"""

import re
from collections.abc import Sequence

import aiohttp
from attrs import define, field

INTERIM_STATUSES = range(100, 200)
SWITCHING_PROTOCOLS = 101
NO_CONTENT = 204
# Heads of these statuses announce no body.
EMPTY_STATUSES = frozenset({NO_CONTENT, 205})
CHUNKED = [b"chunked"]

# Lines may end in LF alone. A reason may be missing together with its blank.
_HEAD_END = re.compile(rb"\r?\n\r?\n")
# The longest match of the above but its last byte.
_HEAD_END_OVERLAP = 3
_STATUS_LINE = re.compile(
    rb"HTTP/1\.([0-9]) ([1-5][0-9]{2})(?: [\t\x20-\x7e\x80-\xff]*)?"
)
_FIELD_LINE = re.compile(rb"([!#$%&'*+.^_`|~0-9A-Za-z-]+):([\t\x20-\x7e\x80-\xff]*)")
_LENGTH = re.compile(rb"[0-9]{1,18}")


class InvalidHead(aiohttp.ClientError):
    """Report bytes that are no head of an answer."""


@define
class HeadChecker:
    """Check the heads that a server sends in answer to one request."""

    _received: bytearray = field(factory=bytearray)
    _is_done: bool = False

    def feed(self, data: bytes) -> None:
        """Receive bytes; raise InvalidHead if a complete head is invalid.

        What follows the answer's own head is its body.
        """
        while not self._is_done:
            start = max(0, len(self._received) - _HEAD_END_OVERLAP)
            self._received += data
            end = _HEAD_END.search(self._received, start)
            if end is None:
                return
            status = check_head(bytes(self._received[: end.start()]))
            data = bytes(self._received[end.end() :])
            self._received.clear()
            self._is_done = status not in INTERIM_STATUSES


def check_head(head: bytes) -> int:
    """Return the status of a head; raise InvalidHead."""
    status_line, *field_lines = (line.removesuffix(b"\r") for line in head.split(b"\n"))
    match = _STATUS_LINE.fullmatch(status_line)
    if match is None:
        raise InvalidHead(f"invalid status line: {status_line[:100]!r}")
    minor_version, status = int(match[1]), int(match[2])
    if status == SWITCHING_PROTOCOLS:
        raise InvalidHead("the protocol was switched, which no request asks for")
    codings, lengths = [], []
    for line in field_lines:
        match = _FIELD_LINE.fullmatch(line)
        if match is None:
            raise InvalidHead(f"invalid field line: {line[:100]!r}")
        name, value = match[1].lower(), match[2].strip(b" \t")
        if name == b"transfer-encoding":
            codings.append(value.lower())
        elif name == b"content-length":
            lengths.append(value)
    if codings:
        _check_codings(codings, lengths, minor_version, status)
    elif lengths:
        _check_lengths(lengths, status)
    return status


def _check_codings(
    codings: Sequence[bytes], lengths: Sequence[bytes], minor_version: int, status: int
) -> None:
    """Check the framing of a body that is sent in chunks."""
    if codings != CHUNKED:
        raise InvalidHead(f"unknown transfer coding: {codings!r}")
    if lengths:
        raise InvalidHead(f"a body in chunks with a length of {lengths!r}")
    if minor_version == 0:
        raise InvalidHead("a body in chunks in HTTP/1.0")
    if status in INTERIM_STATUSES or status == NO_CONTENT:
        raise InvalidHead(f"a body in chunks with status {status}")


def _check_lengths(lengths: Sequence[bytes], status: int) -> None:
    """Check the framing of a body that has a length."""
    if len(lengths) > 1 or not _LENGTH.fullmatch(lengths[0]):
        raise InvalidHead(f"invalid length: {lengths!r}")
    is_empty = status in INTERIM_STATUSES or status in EMPTY_STATUSES
    if is_empty and int(lengths[0]) > 0:
        raise InvalidHead(f"a body of {lengths[0]!r} bytes with status {status}")
