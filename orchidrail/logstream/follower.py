"""Polling reader that applies the records of one log stream."""

from __future__ import annotations

import asyncio
from random import Random
from typing import TYPE_CHECKING, Protocol

import structlog
from result import Ok

from orchidrail.types import Offset, Seconds

if TYPE_CHECKING:
    from orchidrail.logservice.ports import (
        ConfigurationLog,
        LogPage,
        LogRecord,
    )

_PAGE_SIZE = 500
#: Relative jitter of the poll interval.
_JITTER = 0.2
_log = structlog.get_logger()


class Fold(Protocol):
    """State built from the records of a stream."""

    def apply(self, record: LogRecord) -> None:
        """Apply one record; must be deterministic and never raise."""

    def note_gap(self, first: Offset) -> None:
        """Record that entries before `first` were trimmed unread."""


class Follower:
    """Polls one stream and applies new records.

    Parameters
    ----------
    log : ConfigurationLog
    stream : str
    fold : Fold
    interval : float
        Seconds between polls; `poke` triggers the next one at once.
    random : Random
        Source of jitter, which spreads the polls of many followers.

    Examples
    --------
    >>> from orchidrail.logservice.ports import LogPage, LogRecord
    >>> class MemoryLog:
    ...     async def read(self, stream, start, limit):
    ...         records = [LogRecord(Offset(0), 0, 'a record')]
    ...         return Ok(LogPage(records, Offset(0), Offset(1)))
    >>> class Texts(list):
    ...     def apply(self, record):
    ...         self.append(record.payload)
    >>> async def follow():
    ...     texts = Texts()
    ...     follower = Follower(MemoryLog(), 'jobs', texts, 1, Random(1))
    ...     more = await follower.poll()
    ...     return more, list(texts)
    >>> asyncio.run(follow())
    (False, ['a record'])
    """

    def __init__(
        self,
        log: ConfigurationLog,
        stream: str,
        fold: Fold,
        interval: Seconds,
        random: Random,
    ) -> None:
        """Start at offset 0."""
        self.next = Offset(0)
        #: Whether the last poll succeeded.
        self.connected = False
        #: Set once the end of the stream has been reached.
        self.caught_up = asyncio.Event()
        self._log = log
        self.stream = stream
        self._fold = fold
        self._interval = interval
        self._random = random
        self._poll_requested = asyncio.Event()

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            more = await self.poll()
            if not more:
                await self._wait_for_next_poll()

    async def poll(self) -> bool:
        """Read one page; return whether there is more to read."""
        page = await self._log.read(self.stream, self.next, _PAGE_SIZE)
        self.connected = isinstance(page, Ok)
        if not isinstance(page, Ok):
            return False
        self._apply_page(page.ok_value)
        more = self.next < page.ok_value.end
        if not more:
            self.caught_up.set()
        return more

    def poke(self) -> None:
        """Trigger the next poll without delay."""
        self._poll_requested.set()

    def _apply_page(self, page: LogPage) -> None:
        if page.first > self.next:
            _log.warning(
                'log was trimmed before it was read',
                stream=self.stream,
                expected=self.next,
                first=page.first,
            )
            self._fold.note_gap(page.first)
            self.next = page.first
        for record in page.records:
            if record.offset >= self.next:
                self._fold.apply(record)
                self.next = Offset(record.offset + 1)

    async def _wait_for_next_poll(self) -> None:
        jitter = self._random.uniform(1 - _JITTER, 1 + _JITTER)
        try:
            await asyncio.wait_for(
                self._poll_requested.wait(), self._interval * jitter
            )
        except (TimeoutError, asyncio.TimeoutError):
            return
        self._poll_requested.clear()
