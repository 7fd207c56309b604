"""Values that wait for the next append of a journal."""

from __future__ import annotations

from collections.abc import Callable

from orchidrail.store import KeyedRecord

#: Returns a value as it is now.
EncodeValue = Callable[[], bytes]


class QueuedValues:
    """The latest value of each key, in the order in which they were put.

    A key that is put again moves to the end, so that a value is never written
    before one that was put earlier: a large batch is split into several
    appends, and the owner may fail between two.

    Examples
    --------
    >>> queued = QueuedValues()
    >>> queued.put('a', b'12')
    >>> queued.put_lazily('a', lambda: b'345')
    >>> queued.size
    3
    >>> queued.take()
    [KeyedRecord(key='a', value=b'345')]
    """

    def __init__(self) -> None:
        """Start empty."""
        self._value_by_key: dict[str, bytes] = {}
        #: Values that are not encoded yet; these have an empty entry above.
        self._encode_by_key: dict[str, EncodeValue] = {}
        self._encoded_bytes = 0

    def __len__(self) -> int:
        """Return the number of keys."""
        return len(self._value_by_key)

    def put(self, key: str, value: bytes) -> None:
        """Replace the value of a key."""
        self.remove(key)
        self._value_by_key[key] = value
        self._encoded_bytes += len(value)

    def put_lazily(self, key: str, encode_value: EncodeValue) -> None:
        """Replace the value of a key; it is encoded when it is needed."""
        self.put(key, b'')
        self._encode_by_key[key] = encode_value

    def remove(self, key: str) -> bool:
        """Remove a key; return whether it had a value."""
        self._encode_by_key.pop(key, None)
        value = self._value_by_key.pop(key, None)
        self._encoded_bytes -= len(value or b'')
        return value is not None

    @property
    def size(self) -> int:
        """Total size of the values in bytes; encodes those that are not."""
        self._encode_all()
        return self._encoded_bytes

    def take(self) -> list[KeyedRecord]:
        """Remove and return all values."""
        self._encode_all()
        records = [
            KeyedRecord(key, value) for key, value in self._value_by_key.items()
        ]
        self._value_by_key = {}
        self._encoded_bytes = 0
        return records

    def _encode_all(self) -> None:
        for key, encode_value in self._encode_by_key.items():
            value = encode_value()
            self._value_by_key[key] = value
            self._encoded_bytes += len(value)
        self._encode_by_key.clear()
