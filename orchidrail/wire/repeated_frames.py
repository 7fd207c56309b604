"""Frames that repeat except for their correlation id.

Heartbeats make up most of the frames between idle instances, and most of them
equal the last one of their sender. Their encoding is kept, and only the
correlation id is replaced.

A packed message starts with the segment table, the root pointer and the first
data word of the envelope, which is the correlation id. A packed word is a tag
byte, whose bits say which bytes of the word are not zero, and these bytes.
"""

from __future__ import annotations

from typing import Generic, NamedTuple, TypeVar

MessageT = TypeVar('MessageT')
_WORD_BYTES = 8
#: Tags that are followed by a count of further words.
_RUN_TAGS = frozenset((0, 0xFF))
_SEGMENT_COUNT = 0b1111
#: Frames that are kept for decoding. An instance receives a few distinct ones
#: of each peer within their lifetime.
_MAX_FRAMES = 1024


class SplitFrame(NamedTuple):
    """A frame without its correlation id."""

    head: bytes
    correlation: int
    tail: bytes

    def join(self, correlation: int) -> bytes | None:
        """Return the frame with another id; None if it is packed otherwise."""
        word = correlation.to_bytes(_WORD_BYTES, 'little')
        tag = sum(1 << index for index, byte in enumerate(word) if byte)
        if tag in _RUN_TAGS:
            return None
        packed = bytes(byte for byte in word if byte)
        return b''.join((self.head, bytes((tag,)), packed, self.tail))


def split_frame(frame: bytes) -> SplitFrame | None:
    """Split a frame; None if it has several segments or starts otherwise."""
    try:
        return _split(frame)
    except IndexError:
        return None


def _split(frame: bytes) -> SplitFrame | None:
    table = frame[0]
    if table in _RUN_TAGS or table & _SEGMENT_COUNT:
        return None
    root = 1 + table.bit_count()
    if frame[root] in _RUN_TAGS:
        return None
    start = root + 1 + frame[root].bit_count()
    tag = frame[start]
    if tag in _RUN_TAGS:
        return None
    end = start + 1 + tag.bit_count()
    if end > len(frame):
        return None
    values = iter(frame[start + 1 : end])
    correlation = sum(
        next(values) << (_WORD_BYTES * index)
        for index in range(_WORD_BYTES)
        if tag >> index & 1
    )
    return SplitFrame(frame[:start], correlation, frame[end:])


class RepeatedFrames(Generic[MessageT]):
    """Encodings of messages of one immutable type that repeat."""

    def __init__(self) -> None:
        """Start without frames."""
        self._last_message: MessageT | None = None
        self._last_frame: SplitFrame | None = None
        self._message_by_rest: dict[tuple[bytes, bytes], MessageT] = {}

    def encode(self, correlation: int, message: MessageT) -> bytes | None:
        """Return the frame of a message that was encoded last, else None."""
        if self._last_frame is None or self._last_message != message:
            return None
        return self._last_frame.join(correlation)

    def note_encoded(self, message: MessageT, frame: bytes) -> None:
        """Keep the encoding of a message."""
        self._last_message = message
        self._last_frame = split_frame(frame)

    def decode(self, split: SplitFrame) -> MessageT | None:
        """Return the message of a frame that was decoded before, else None."""
        return self._message_by_rest.get((split.head, split.tail))

    def note_decoded(self, split: SplitFrame, message: MessageT) -> None:
        """Keep a decoded message."""
        if len(self._message_by_rest) >= _MAX_FRAMES:
            self._message_by_rest.clear()
        self._message_by_rest[split.head, split.tail] = message
