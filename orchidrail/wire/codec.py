"""Encoding of messages with Cap'n Proto."""

from __future__ import annotations

import pathlib
from typing import Any, NamedTuple

import capnp
import msgspec

from orchidrail.wire.messages import ENVELOPE_TYPES, Message

_SCHEMA_FILE = pathlib.Path(__file__).with_name('schema.capnp')
#: Bytes shown of a frame that holds no message.
_SHOWN = 32
_schema: Any = capnp.load(str(_SCHEMA_FILE))


def _member_name(kind: type[Message]) -> str:
    return kind.__name__[0].lower() + kind.__name__[1:]


_name_by_type = {kind: _member_name(kind) for kind in ENVELOPE_TYPES}
_type_by_name = {name: kind for kind, name in _name_by_type.items()}


class Envelope(NamedTuple):
    """A message with the number that pairs a request and its answer."""

    correlation: int
    message: Message


class CodecError(ValueError):
    """Bytes that don't hold a message of this version."""


def encode(correlation: int, message: Message) -> bytes:
    """Encode a message, packed.

    Examples
    --------
    >>> from orchidrail.wire.messages import Ack
    >>> decode(encode(7, Ack()))
    Envelope(correlation=7, message=Ack())
    """
    name = _name_by_type[type(message)]
    fields = msgspec.to_builtins(message, builtin_types=(bytes,))
    body = {name: fields}
    envelope = _schema.Envelope.new_message(
        correlation=correlation,
        body=body,
    )
    return bytes(envelope.to_bytes_packed())


def decode(frame: bytes) -> Envelope:
    """Decode what `encode` made.

    Raises
    ------
    CodecError
        If the bytes hold no message.
    """
    try:
        envelope = _schema.Envelope.from_bytes_packed(frame)
        name = envelope.body.which()
        fields = getattr(envelope.body, str(name)).to_dict()
    except Exception as error:
        # pycapnp raises its own KjException as well as plain ones here.
        raise CodecError(
            f'expected a message, got {frame[:_SHOWN]!r}'
        ) from error
    kind = _type_by_name[str(name)]
    return Envelope(envelope.correlation, msgspec.convert(fields, kind))
