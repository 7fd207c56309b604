"""Many records in one append, within this daemon's share of appends."""

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

#: Characters shown of a record that is not one.
_SHOWN = 64
#: Most records in one append.
_MAX_BATCH = 1000
_log = structlog.get_logger()


class _Item:
    def __init__(self, record: str) -> None:
        self.record = record
        self.sent = False
        self.done: asyncio.Future[Offset] = (
            asyncio.get_running_loop().create_future()
        )


class GroupCommit:
    """Appends records to one stream in groups.

    Records must be idempotent: one whose acknowledgement was lost is
    appended again.

    Parameters
    ----------
    log : ConfigurationLog
    stream : str
    interval : float
        Least seconds between two appends: this daemon's share.
    clock : callable
        Monotonic seconds.

    Notes
    -----
    The payload of an append is a JSON list of strings, one a record.

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
        """Start with nothing to append."""
        self.appends = 0
        self._log = log
        self._stream = stream
        self._interval = interval
        self._clock = clock
        self._waiting: deque[_Item] = deque()
        self._wake = asyncio.Event()

    async def commit(
        self,
        record: str,
        patience: Seconds,
    ) -> Result[Offset, LogFailure]:
        """Append one record and wait until it is kept.

        Returns
        -------
        Ok with the offset. Err with ``NOT_SENT`` if it was never sent and
        never will be, with ``ANSWER_LOST`` if it may be in the log.
        """
        item = _Item(record)
        self._waiting.append(item)
        self._wake.set()
        try:
            offset = await asyncio.wait_for(item.done, patience)
        except (TimeoutError, asyncio.TimeoutError):
            return Err(self._give_up(item))
        return Ok(offset)

    async def run(self) -> None:
        """Append groups until cancelled."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            while self._waiting:
                started = self._clock()
                await self._append_group()
                rest = self._interval - (self._clock() - started)
                await asyncio.sleep(max(0, rest))

    def _give_up(self, item: _Item) -> LogFailure:
        if item in self._waiting:
            self._waiting.remove(item)
        return LogFailure.ANSWER_LOST if item.sent else LogFailure.NOT_SENT

    async def _append_group(self) -> None:
        group = list(self._waiting)[:_MAX_BATCH]
        records = [item.record for item in group]
        payload = msgspec.json.encode(records).decode()
        before = [item.sent for item in group]
        for item in group:
            item.sent = True
        outcome = await self._log.append(self._stream, payload)
        self.appends += 1
        if isinstance(outcome, Ok):
            self._settle(group, outcome.ok_value)
        elif outcome.err_value is not LogFailure.ANSWER_LOST:
            for item, sent in zip(group, before, strict=True):
                item.sent = sent

    def _settle(self, group: list[_Item], offset: Offset) -> None:
        ended = frozenset(map(id, group))
        self._waiting = deque(
            item for item in self._waiting if id(item) not in ended
        )
        for item in group:
            if not item.done.done():
                item.done.set_result(offset)


def split_group(payload: str) -> list[str]:
    """Return the records of one append; none if it isn't a group."""
    try:
        return msgspec.json.decode(payload, type=list[str])
    except msgspec.DecodeError:
        _log.warning('record is not a group', payload=payload[:_SHOWN])
        return []
