"""In-memory store for tests and for programs that embed the package."""

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
    Refused,
    StoreLimits,
    Topic,
    Trimmed,
    Unavailable,
    Uncertain,
)
from orchidrail.types import Offset, Seconds

#: Delay of a delayed append, in seconds.
_APPEND_DELAY = 0.005


class StoreFault(Enum):
    """Simulated failure of calls to the store."""

    #: All calls are rejected and have no effect.
    REFUSES = 'refuses'
    #: Appends succeed, but their responses are lost.
    LOSES_ANSWERS = 'losesAnswers'
    #: Appends are dropped without a response.
    SWALLOWS = 'swallows'
    #: Appends get no response, and are executed later if still possible.
    DELAYS = 'delays'


class MemoryStore:
    """Implements `StoreLog` in memory.

    Examples
    --------
    >>> store = MemoryStore()
    >>> record = KeyedRecord('a', b'1')
    >>> asyncio.run(store.append(Topic('t'), [record], Offset(0)))
    Appended(offset=0, end=1)
    >>> asyncio.run(store.append(Topic('t'), [record], Offset(0)))
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
        #: Sizes up to which records and calls are accepted.
        self.limits = StoreLimits()
        self.refusals = 0
        #: Number of records in one page of a read at most.
        self.max_page_records: int | None = None

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
        if not self.limits.fit_call(records):
            self.refusals += 1
            return Refused('too large')
        if self.fault is StoreFault.DELAYS:
            asyncio.get_running_loop().call_later(
                _APPEND_DELAY,
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
        stored = self.records_by_topic[topic]
        end = Offset(len(stored))
        if expected_end not in {None, end}:
            return EndMoved(end)
        self.appends += 1
        stored.extend(records)
        return Appended(end, Offset(len(stored)))

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
        stored = self.records_by_topic[topic]
        if start < self.first_by_topic[topic]:
            return Trimmed(self.first_by_topic[topic])
        count = self.max_page_records or len(stored)
        page = stored[start : start + count]
        return RecordPage(Offset(len(stored)), page)

    async def latest(
        self,
        topic: Topic,
        after: str = '',
    ) -> LatestPage | Unavailable:
        """See `StoreLog.latest`; returns a single page."""
        await asyncio.sleep(0)
        if self.fault is StoreFault.REFUSES:
            return Unavailable('down')
        stored = self.records_by_topic[topic]
        newest_by_key = {record.key: record for record in stored}
        live = [
            record
            for key, record in sorted(newest_by_key.items())
            if record.value and key > after
        ]
        return LatestPage(live, '', Offset(len(stored)))

    def trim(self, topic: Topic, before: int) -> None:
        """Trim the history before an offset."""
        self.first_by_topic[topic] = Offset(before)
