"""Property: every message is decoded as it was encoded.

The fields are set one by one; they must be those that the conversion from a
dictionary in pycapnp, used by earlier versions, sets.
"""

from __future__ import annotations

from enum import Enum
from typing import Any, get_args, get_origin

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st
from testtools import TestCase

from orchidrail.wire import codec
from orchidrail.wire.messages import ENVELOPE_TYPES, Message, PeerState

_EXAMPLES = 400
_correlations = st.integers(0, 2**64 - 1)
_PLAIN: dict[type, st.SearchStrategy[Any]] = {
    str: st.text(st.characters(exclude_categories=('Cs',))),
    bytes: st.binary(),
    bool: st.booleans(),
    int: st.integers(-(2**63), 2**63 - 1),
    float: st.floats(allow_nan=False),
}


def _values(annotation: Any) -> st.SearchStrategy[Any]:
    """Return a strategy for the values of a field."""
    if get_origin(annotation) is list:
        return st.lists(_values(get_args(annotation)[0]), max_size=3)
    if hasattr(annotation, '__supertype__'):
        return _values(annotation.__supertype__)
    if issubclass(annotation, Enum):
        return st.sampled_from(annotation)
    if issubclass(annotation, msgspec.Struct):
        return _records(annotation)
    return _PLAIN[annotation]


def _records(record_type: type[msgspec.Struct]) -> st.SearchStrategy[Any]:
    fields = msgspec.structs.fields(record_type)
    return st.builds(
        record_type,
        **{field.name: _values(field.type) for field in fields},
    )


_messages = st.one_of(*map(_records, ENVELOPE_TYPES))


def _encode_from_dictionary(correlation: int, message: Message) -> bytes:
    name = type(message).__name__
    fields = msgspec.to_builtins(message, builtin_types=(bytes,))
    envelope = codec._schema.Envelope.new_message(
        correlation=correlation,
        body={name[0].lower() + name[1:]: fields},
    )
    return bytes(envelope.to_bytes_packed())


class CodecTest(TestCase):
    @settings(max_examples=_EXAMPLES, deadline=None)
    @given(_correlations, _messages)
    def test_messages_survive_encoding(
        self, correlation: int, message: Message
    ) -> None:
        frame = codec.encode(correlation, message)
        self.assertEqual((correlation, message), codec.decode(frame))

    @settings(max_examples=_EXAMPLES, deadline=None)
    @given(_correlations, _messages)
    def test_earlier_frames_decode_alike(
        self, correlation: int, message: Message
    ) -> None:
        earlier = _encode_from_dictionary(correlation, message)
        frame = codec.encode(correlation, message)
        self.assertEqual(codec.decode(earlier), codec.decode(frame))

    @settings(max_examples=_EXAMPLES, deadline=None)
    @given(
        st.lists(st.tuples(_correlations, st.integers(0, 2)), max_size=12),
        st.tuples(*map(_records, (PeerState, PeerState, PeerState))),
    )
    def test_repeated_heartbeats_are_encoded_alike(
        self,
        sent: list[tuple[int, int]],
        heartbeats: tuple[PeerState, ...],
    ) -> None:
        """Guards against a kept frame that is used for another message."""
        for correlation, number in sent:
            message = heartbeats[number]
            frame = codec.encode(correlation, message)
            self.assertEqual((correlation, message), codec.decode(frame))
            self.assertEqual((correlation, message), codec._decode(frame))

    @settings(deadline=None)
    @given(_correlations, _records(PeerState), st.data())
    def test_truncated_heartbeats_are_rejected(
        self, correlation: int, message: PeerState, data: st.DataObject
    ) -> None:
        frame = codec.encode(correlation, message)
        codec.decode(frame)
        length = data.draw(st.integers(0, len(frame) - 1))
        self.assertRaises(codec.CodecError, codec.decode, frame[:length])
