"""An append-only log with offsets, retention, a rate limit and faults."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

import msgspec
from result import Err, Ok, Result

from orchidrail.logservice.ports import LogFailure, LogPage, LogRecord
from orchidrail.types import Offset, Seconds


class LogFaults(msgspec.Struct):
    """Faults that a test can switch on.

    Parameters
    ----------
    down : bool
        Whether every call is refused.
    lose_acknowledgements : int
        Number of appends that take effect but get no response.
    delay : float
        Delay of each response, seconds.
    """

    down: bool = False
    lose_acknowledgements: int = 0
    delay: float = 0


class LogMachine:
    """Streams of records in memory.

    Parameters
    ----------
    clock : callable
        Wall clock, seconds.
    retention : float
        Seconds for which records are retained.
    rate : float
        Appends accepted per second.
    """

    def __init__(
        self,
        clock: Callable[[], Seconds],
        retention: Seconds = 3600,
        rate: float = 100,
    ) -> None:
        """Start with no record."""
        self.faults = LogFaults()
        self.retention = retention
        self.appends = 0
        self._clock = clock
        self._rate = rate
        self._recent: deque[Seconds] = deque()
        self._records_by_stream: dict[str, deque[LogRecord]] = {}
        self._next_by_stream: dict[str, int] = {}

    def append(self, stream: str, payload: str) -> Result[Offset, LogFailure]:
        """Append one record."""
        if self.faults.down or not self._admit():
            return Err(LogFailure.REFUSED)
        offset = Offset(self._next_by_stream.get(stream, 0))
        record = LogRecord(offset, self._clock(), payload)
        self._records_by_stream.setdefault(stream, deque()).append(record)
        self._next_by_stream[stream] = offset + 1
        self.appends += 1
        if self.faults.lose_acknowledgements:
            self.faults.lose_acknowledgements -= 1
            return Err(LogFailure.ANSWER_LOST)
        return Ok(offset)

    def read(
        self,
        stream: str,
        start: Offset,
        limit: int,
    ) -> Result[LogPage, LogFailure]:
        """Return records from `start` on, or from the oldest one retained."""
        if self.faults.down:
            return Err(LogFailure.REFUSED)
        records = self._records_by_stream.setdefault(stream, deque())
        self._trim(records)
        end = Offset(self._next_by_stream.get(stream, 0))
        first = records[0].offset if records else end
        skip = max(0, start - first)
        found = [
            records[index]
            for index in range(skip, min(len(records), skip + limit))
        ]
        return Ok(LogPage(found, first, end))

    def _trim(self, records: deque[LogRecord]) -> None:
        oldest = self._clock() - self.retention
        while records and records[0].at < oldest:
            records.popleft()

    def _admit(self) -> bool:
        now = self._clock()
        while self._recent and self._recent[0] <= now - 1:
            self._recent.popleft()
        if len(self._recent) >= self._rate:
            return False
        self._recent.append(now)
        return True
