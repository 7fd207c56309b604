"""Port to the store: partitions of keyed records with growing offsets.

The store keeps the newest record of each key for good and the rest for a
while. An append may name the end that it expects; the store then takes it
only if nobody else has appended since, which is what all fencing rests on.
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
    """Nothing was appended: the partition ends elsewhere than expected."""

    end: Offset


class NotAppended(NamedTuple):
    """Nothing was appended: the store refused, or was not reached."""

    reason: str


class Uncertain(NamedTuple):
    """No answer came: the append may be done, now or some seconds later."""

    reason: str


class RecordPage(NamedTuple):
    """Records in order from the offset that was asked for."""

    end: Offset
    records: list[KeyedRecord]


class LatestPage(NamedTuple):
    """The newest records by key, a page of them.

    `after` continues the listing and is empty on the last page. `end` is the
    end of the partition when the page was made; pages are no snapshot.
    """

    records: list[KeyedRecord]
    after: str
    end: Offset


class Trimmed(NamedTuple):
    """The records asked for are gone; `first` is the oldest kept."""

    first: Offset


class Unavailable(NamedTuple):
    """The store gave no usable answer."""

    reason: str


AppendOutcome = Appended | EndMoved | NotAppended | Uncertain
ReadOutcome = RecordPage | Trimmed | Unavailable


class StoreLog(Protocol):
    """Calls to the store; none of them raises for a failure outside."""

    async def append(
        self,
        topic: Topic,
        records: list[KeyedRecord],
        expected_end: Offset | None = None,
    ) -> AppendOutcome:
        """Append all of `records` or none."""

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
