"""A store in this process's memory, for tests and for programs that embed."""

from __future__ import annotations

import asyncio
from collections import defaultdict
from enum import Enum

from orchidrail.store.port import (
    Appended,
    AppendOutcome,
    EndMoved,
    KeyedRecord,
    LatestPage,
    NotAppended,
    ReadOutcome,
    RecordPage,
    Topic,
    Trimmed,
    Unavailable,
    Uncertain,
)
from orchidrail.types import Offset, Seconds

#: When an append that is delayed is done, in seconds.
_DONE_LATER = 0.005


class StoreFault(Enum):
    """How the store fails its next calls."""

    #: Refuses all calls; nothing is done.
    REFUSES = 'refuses'
    #: Appends are done, but their answers are lost.
    LOSES_ANSWERS = 'losesAnswers'
    #: Appends are neither done nor answered.
    SWALLOWS = 'swallows'
    #: Appends are not answered, and done later if they still can be.
    DELAYS = 'delays'


class MemoryStore:
    """Fits `StoreLog`; keeps everything in memory.

    Examples
    --------
    >>> store = MemoryStore()
    >>> one = KeyedRecord('a', b'1')
    >>> asyncio.run(store.append(Topic('t'), [one], Offset(0)))
    Appended(offset=0, end=1)
    >>> asyncio.run(store.append(Topic('t'), [one], Offset(0)))
    EndMoved(end=1)
    """

    def __init__(self) -> None:
        """Start empty and without faults."""
        self.fault: StoreFault | None = None
        self.first_by_topic: dict[Topic, Offset] = defaultdict(
            lambda: Offset(0)
        )
        self.records_by_topic: dict[Topic, list[KeyedRecord]] = defaultdict(
            list
        )
        self.appends = 0

    async def append(
        self,
        topic: Topic,
        records: list[KeyedRecord],
        expected_end: Offset | None = None,
    ) -> AppendOutcome:
        """See `StoreLog.append`."""
        await asyncio.sleep(0)
        if self.fault is StoreFault.REFUSES:
            return NotAppended('down')
        if self.fault is StoreFault.SWALLOWS:
            return Uncertain('no answer')
        if self.fault is StoreFault.DELAYS:
            asyncio.get_running_loop().call_later(
                _DONE_LATER,
                self._append,
                topic,
                list(records),
                expected_end,
            )
            return Uncertain('no answer yet')
        outcome = self._append(topic, records, expected_end)
        if self.fault is StoreFault.LOSES_ANSWERS:
            return Uncertain('answer lost')
        return outcome

    def _append(
        self,
        topic: Topic,
        records: list[KeyedRecord],
        expected_end: Offset | None,
    ) -> AppendOutcome:
        kept = self.records_by_topic[topic]
        end = Offset(len(kept))
        if expected_end not in {None, end}:
            return EndMoved(end)
        self.appends += 1
        kept.extend(records)
        return Appended(end, Offset(len(kept)))

    async def read(
        self,
        topic: Topic,
        start: Offset,
        wait: Seconds = 0,
    ) -> ReadOutcome:
        """See `StoreLog.read`; never waits."""
        await asyncio.sleep(0)
        if self.fault is StoreFault.REFUSES:
            return Unavailable('down')
        kept = self.records_by_topic[topic]
        if start < self.first_by_topic[topic]:
            return Trimmed(self.first_by_topic[topic])
        return RecordPage(Offset(len(kept)), kept[start:])

    async def latest(
        self,
        topic: Topic,
        after: str = '',
    ) -> LatestPage | Unavailable:
        """See `StoreLog.latest`; all on one page."""
        await asyncio.sleep(0)
        if self.fault is StoreFault.REFUSES:
            return Unavailable('down')
        kept = self.records_by_topic[topic]
        newest_by_key = {record.key: record for record in kept}
        live = [
            record
            for key, record in sorted(newest_by_key.items())
            if record.value and key > after
        ]
        return LatestPage(live, '', Offset(len(kept)))

    def trim(self, topic: Topic, before: int) -> None:
        """Remove the history before an offset."""
        self.first_by_topic[topic] = Offset(before)
