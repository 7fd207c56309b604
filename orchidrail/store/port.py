"""Interface to the store: partitions of keyed records with growing offsets.

The store retains the newest record of each key permanently and the others for
a limited time. An append may name the end that it expects; the store then
accepts it only if nothing else was appended since. All fencing relies on that.
"""

from __future__ import annotations

from typing import NamedTuple, Protocol

from orchidrail.types import Offset, Seconds


class Topic(NamedTuple):
    """One partition of one stream of keyed records."""

    name: str
    partition: int = 0


class KeyedRecord(NamedTuple):
    """A record; without a value it removes its key."""

    key: str
    value: bytes


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
    a consistent snapshot.
    """

    records: list[KeyedRecord]
    after: str
    end: Offset


class Trimmed(NamedTuple):
    """The requested records are trimmed; `first` is the oldest retained."""

    first: Offset


class Unavailable(NamedTuple):
    """The store gave no usable response."""

    reason: str


AppendOutcome = Appended | EndMoved | NotAppended | Uncertain
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
