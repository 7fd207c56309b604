"""Values larger than a record of the store, kept in several records.

The last part is stored under the value's own key, behind a header that counts
the parts. The others precede it in the same append, under keys derived from
that one. So whoever reads the header has read all parts before it, and a value
is replaced as a whole or not at all.
"""

from __future__ import annotations

import struct
import zlib
from collections import defaultdict
from typing import NamedTuple

from orchidrail.store import KeyedRecord, StoreLimits

#: Marker, number of parts and checksum of the whole value.
_HEADER = struct.Struct('>BHI')
#: First byte of a header. No MessagePack value begins with it.
_MARKER = 0xC1
_PART_PREFIX = '+'


class PartKey(NamedTuple):
    """Key of a part that precedes the last one.

    Examples
    --------
    >>> PartKey.parse(PartKey(0, 'j5c0e').encode())
    PartKey(number=0, key='j5c0e')
    >>> PartKey.parse('j5c0e') is None
    True
    """

    number: int
    key: str

    def encode(self) -> str:
        """Return the key under which the part is stored."""
        return f'{_PART_PREFIX}{self.number}:{self.key}'

    @classmethod
    def parse(cls, stored: str) -> PartKey | None:
        """Return the parts of a stored key, None for the key of a value."""
        number, separator, key = stored.removeprefix(_PART_PREFIX).partition(
            ':'
        )
        if not separator or not stored.startswith(_PART_PREFIX):
            return None
        return cls(int(number), key) if number.isdecimal() else None


def split_value(
    key: str, value: bytes, limits: StoreLimits
) -> list[KeyedRecord]:
    """Return the records of a value, its own key last.

    Examples
    --------
    >>> split_value('k', b'abc', StoreLimits())
    [KeyedRecord(key='k', value=b'abc')]
    >>> len(split_value('k', bytes(1000), StoreLimits(record_bytes=600)))
    3
    """
    whole = KeyedRecord(key, value)
    if limits.fits_record(whole) and value[:1] != bytes((_MARKER,)):
        return [whole]
    room = limits.max_part_bytes - _HEADER.size
    parts = [
        value[start : start + room] for start in range(0, len(value), room)
    ]
    header = _HEADER.pack(_MARKER, len(parts), zlib.crc32(value))
    return [
        *(
            KeyedRecord(PartKey(number, key).encode(), part)
            for number, part in enumerate(parts[:-1])
        ),
        KeyedRecord(key, header + parts[-1]),
    ]


class PartStore:
    """Parts of split values as read from the store.

    Examples
    --------
    >>> parts = PartStore()
    >>> limits = StoreLimits(record_bytes=600)
    >>> *others, last = split_value('k', bytes(1000), limits)
    >>> [parts.take(record) for record in others]
    [True, True]
    >>> parts.join(last) == bytes(1000)
    True
    """

    def __init__(self) -> None:
        """Start without parts."""
        self._part_by_number_by_key: defaultdict[str, dict[int, bytes]] = (
            defaultdict(dict)
        )
        #: Number of parts in the current value of each split one.
        self._joined_by_key: dict[str, int] = {}

    def clear(self) -> None:
        """Forget all parts."""
        self._part_by_number_by_key.clear()
        self._joined_by_key.clear()

    def take(self, record: KeyedRecord) -> bool:
        """Keep a record if it is a part; return whether it is one."""
        part_key = PartKey.parse(record.key)
        if part_key is None:
            return False
        part_by_number = self._part_by_number_by_key[part_key.key]
        if record.value:
            part_by_number[part_key.number] = record.value
        else:
            part_by_number.pop(part_key.number, None)
        if not part_by_number:
            self._part_by_number_by_key.pop(part_key.key)
        return True

    def join(self, record: KeyedRecord) -> bytes | None:
        """Return the value of a record; None if the parts don't belong to it.

        The pages of a listing are no snapshot, so parts of a newer value may be
        listed with an older last one.
        """
        self._joined_by_key.pop(record.key, None)
        if record.value[:1] != bytes((_MARKER,)):
            return record.value
        _, count, checksum = _HEADER.unpack_from(record.value)
        part_by_number = self._part_by_number_by_key.get(record.key, {})
        parts = [part_by_number.get(number, b'') for number in range(count - 1)]
        value = b''.join((*parts, record.value[_HEADER.size :]))
        if zlib.crc32(value) != checksum:
            return None
        self._joined_by_key[record.key] = count - 1
        return value

    def leftovers(self, key: str, kept: int) -> list[KeyedRecord]:
        """Return the removals of a value's parts but for the first ones."""
        return [
            KeyedRecord(PartKey(number, key).encode(), b'')
            for number in self._part_by_number_by_key.get(key, ())
            if number >= kept
        ]

    def orphans(self) -> list[str]:
        """Return the stored keys of parts that no value has joined.

        They are left if an owner fails between two appends of a batch.
        """
        return [
            PartKey(number, key).encode()
            for key, part_by_number in self._part_by_number_by_key.items()
            for number in part_by_number
            if number >= self._joined_by_key.get(key, 0)
        ]
