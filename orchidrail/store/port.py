"""Interface to the store: partitions of keyed records with growing offsets.

The store retains the newest record of each key permanently and the others for
a limited time. An append may name the end that it expects; the store then
accepts it only if nothing else was appended since. All fencing relies on that.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple, Protocol

from orchidrail.types import Offset, Seconds

#: Size of a record's key at most, in bytes: its length is one byte.
MAX_KEY_BYTES = 255
_LENGTH_BYTES = 4
_MAX_RECORD_OVERHEAD = _LENGTH_BYTES + 1 + MAX_KEY_BYTES


class Topic(NamedTuple):
    """One partition of one stream of keyed records."""

    name: str
    partition: int = 0


class KeyedRecord(NamedTuple):
    """A record; without a value it removes its key."""

    key: str
    value: bytes


class StoreLimits(NamedTuple):
    """Sizes up to which the store accepts records and calls, in bytes.

    Examples
    --------
    >>> StoreLimits(record_bytes=10).fits_record(KeyedRecord('key', b'123456'))
    True
    >>> StoreLimits(record_bytes=10).fits_record(KeyedRecord('key', b'1234567'))
    False
    """

    record_bytes: int = 262_144
    call_bytes: int = 2_097_152

    @property
    def max_part_bytes(self) -> int:
        """Size of a value that fits one record under any key."""
        return self.record_bytes - MAX_KEY_BYTES - 1

    @property
    def max_value_bytes(self) -> int:
        """Size up to which a value fits one call, in several records."""
        records = self.call_bytes // self.max_part_bytes + 1
        return self.call_bytes - records * _MAX_RECORD_OVERHEAD

    def fits_record(self, record: KeyedRecord) -> bool:
        """Whether the store accepts a record of this size."""
        key_bytes = len(record.key.encode())
        if key_bytes > MAX_KEY_BYTES:
            return False
        return 1 + key_bytes + len(record.value) <= self.record_bytes

    def fit_call(self, records: Sequence[KeyedRecord]) -> bool:
        """Whether the store accepts these records in one call."""
        if not all(map(self.fits_record, records)):
            return False
        return sum(map(stored_size, records)) <= self.call_bytes


DEFAULT_LIMITS = StoreLimits()


def stored_size(record: KeyedRecord) -> int:
    """Return the bytes that a record takes in a call, with its lengths."""
    return _LENGTH_BYTES + 1 + len(record.key.encode()) + len(record.value)


class Appended(NamedTuple):
    """The records are in the store, the first of them at `offset`."""

    offset: Offset
    end: Offset


class EndMoved(NamedTuple):
    """Nothing was appended: the partition's end is not the expected one."""

    end: Offset


class NotAppended(NamedTuple):
    """Nothing was appended: the store rejected the call or is unreachable."""

    reason: str


class Refused(NamedTuple):
    """Nothing was appended, and the store will never accept these records."""

    reason: str


class Uncertain(NamedTuple):
    """No response: the append may be executed, now or some seconds later."""

    reason: str


class RecordPage(NamedTuple):
    """Records in order from the requested offset."""

    end: Offset
    records: list[KeyedRecord]


class LatestPage(NamedTuple):
    """One page of the newest records by key.

    `after` continues the listing and is empty on the last page. `end` is the
    end of the partition when the page was read; the pages of a listing are not
    a consistent snapshot. A page that is not `complete` leaves out records that
    can't be decoded.
    """

    records: list[KeyedRecord]
    after: str
    end: Offset
    complete: bool = True


class Trimmed(NamedTuple):
    """The requested records are trimmed; `first` is the oldest retained."""

    first: Offset


class Unavailable(NamedTuple):
    """The store gave no usable response."""

    reason: str


AppendOutcome = Appended | EndMoved | NotAppended | Refused | Uncertain
ReadOutcome = RecordPage | Trimmed | Unavailable


class StoreLog(Protocol):
    """Calls to the store; external failures are returned, not raised."""

    async def append(
        self,
        topic: Topic,
        records: list[KeyedRecord],
        expected_end: Offset | None = None,
    ) -> AppendOutcome:
        """Append all of `records`, or none."""

    async def read(
        self,
        topic: Topic,
        start: Offset,
        wait: Seconds = 0,
    ) -> ReadOutcome:
        """Return records from `start`; wait up to `wait` for the first."""

    async def latest(
        self,
        topic: Topic,
        after: str = '',
    ) -> LatestPage | Unavailable:
        """Return one page of the newest records by key."""
