"""Group commit: batches records into appends at a limited rate."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING

import msgspec
import structlog
from result import Err, Ok, Result

from orchidrail.logservice.ports import ConfigurationLog, LogFailure
from orchidrail.types import Offset, Seconds

if TYPE_CHECKING:
    from collections.abc import Callable

#: Maximum characters of a malformed payload in a log line.
_MAX_LOGGED_CHARACTERS = 64
#: Maximum number of records in one append.
_MAX_RECORDS_PER_APPEND = 1000
_log = structlog.get_logger()


class _PendingRecord:
    def __init__(self, record: str) -> None:
        self.record = record
        self.sent = False
        self.done: asyncio.Future[Offset] = (
            asyncio.get_running_loop().create_future()
        )


class GroupCommit:
    """Appends records to one stream in batches.

    Records must be idempotent: a record whose acknowledgement was lost is
    appended again.

    Parameters
    ----------
    log : ConfigurationLog
    stream : str
    interval : float
        Minimum seconds between two appends, so that this daemon stays
        within its share of the log's append rate.
    clock : callable
        Monotonic clock, in seconds.

    Notes
    -----
    The payload of an append is a JSON list of strings, one per record.

    Examples
    --------
    >>> class MemoryLog:
    ...     async def append(self, stream, payload):
    ...         return Ok(Offset(0))
    >>> async def commit():
    ...     clock = asyncio.get_running_loop().time
    ...     group = GroupCommit(MemoryLog(), 'jobs', 0.01, clock)
    ...     running = asyncio.create_task(group.run())
    ...     kept = await group.commit('a record', patience=1)
    ...     running.cancel()
    ...     return kept
    >>> asyncio.run(commit())
    Ok(0)
    """

    def __init__(
        self,
        log: ConfigurationLog,
        stream: str,
        interval: Seconds,
        clock: Callable[[], Seconds],
    ) -> None:
        """Create an empty queue; `run` appends from it."""
        self.appends = 0
        self._log = log
        self._stream = stream
        self._interval = interval
        self._clock = clock
        self._pending: deque[_PendingRecord] = deque()
        self._wake = asyncio.Event()

    async def commit(
        self,
        record: str,
        patience: Seconds,
    ) -> Result[Offset, LogFailure]:
        """Append one record and wait until it is stored.

        Returns
        -------
        Ok with the offset. After `patience` seconds, Err with ``NOT_SENT``
        if the record was not and will not be sent, or with ``ANSWER_LOST``
        if it may be in the log.
        """
        item = _PendingRecord(record)
        self._pending.append(item)
        self._wake.set()
        try:
            offset = await asyncio.wait_for(item.done, patience)
        except (TimeoutError, asyncio.TimeoutError):
            return Err(self._abandon(item))
        return Ok(offset)

    async def run(self) -> None:
        """Append batches until cancelled."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            while self._pending:
                started = self._clock()
                await self._append_group()
                remaining = self._interval - (self._clock() - started)
                await asyncio.sleep(max(0, remaining))

    def _abandon(self, item: _PendingRecord) -> LogFailure:
        if item in self._pending:
            self._pending.remove(item)
        return LogFailure.ANSWER_LOST if item.sent else LogFailure.NOT_SENT

    async def _append_group(self) -> None:
        group = list(self._pending)[:_MAX_RECORDS_PER_APPEND]
        records = [item.record for item in group]
        payload = msgspec.json.encode(records).decode()
        sent_before = [item.sent for item in group]
        for item in group:
            item.sent = True
        outcome = await self._log.append(self._stream, payload)
        self.appends += 1
        if isinstance(outcome, Ok):
            self._acknowledge(group, outcome.ok_value)
        elif outcome.err_value is not LogFailure.ANSWER_LOST:
            for item, sent in zip(group, sent_before, strict=True):
                item.sent = sent

    def _acknowledge(self, group: list[_PendingRecord], offset: Offset) -> None:
        acknowledged = frozenset(map(id, group))
        self._pending = deque(
            item for item in self._pending if id(item) not in acknowledged
        )
        for item in group:
            if not item.done.done():
                item.done.set_result(offset)


def split_group(payload: str) -> list[str]:
    """Return the records of one append; empty if it is malformed."""
    try:
        return msgspec.json.decode(payload, type=list[str])
    except msgspec.DecodeError:
        _log.warning(
            'cannot decode batch of records',
            payload=payload[:_MAX_LOGGED_CHARACTERS],
        )
        return []
