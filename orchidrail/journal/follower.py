"""Reading a journal: the latest value by key, and the offset read up to."""

from __future__ import annotations

import asyncio

import structlog

from orchidrail.journal.split_values import PartKey, PartStore
from orchidrail.store import (
    KeyedRecord,
    StoreLog,
    Topic,
    Trimmed,
    Unavailable,
)
from orchidrail.types import Offset, Seconds

_log = structlog.get_logger()
#: Attempts to list a partition whose history is trimmed in the meantime.
_LISTING_ATTEMPTS = 4


class JournalView:
    """In-memory copy of a journal in one process.

    Parameters
    ----------
    store : StoreLog
    topic : Topic
        The partition that holds the journal.
    splits_values : bool
        Whether its writers split large values; others may use any keys.
    """

    def __init__(
        self, store: StoreLog, topic: Topic, *, splits_values: bool = True
    ) -> None:
        """Start empty, with nothing read."""
        self.store = store
        self.topic = topic
        #: Parts of split values, None if values are never split.
        self.parts = PartStore() if splits_values else None
        self.value_by_key: dict[str, bytes] = {}
        #: Offset that follows the last record read; None before the first.
        self.end: Offset | None = None
        #: Held while `end` is moved: readers and the writer share the view.
        self.lock = asyncio.Lock()

    def apply(self, records: list[KeyedRecord], end: Offset) -> None:
        """Apply records that are in the store, up to offset `end`."""
        for record in records:
            if self.parts is None or not self.parts.take(record):
                self._apply_value(record)
        self.end = end

    def _apply_value(self, record: KeyedRecord) -> None:
        value: bytes | None = record.value
        if self.parts is not None:
            value = self.parts.join(record)
        if value is None:
            # The newer value follows in the records after the listing.
            _log.info('parts of another value listed', key=record.key)
        if value:
            self.value_by_key[record.key] = value
        else:
            self.value_by_key.pop(record.key, None)

    def orphaned_parts(self) -> list[str]:
        """Return the keys of parts that belong to no value in the view."""
        return [] if self.parts is None else self.parts.orphans()

    async def catch_up(self, wait: Seconds = 0) -> bool:
        """Read up to the partition's end; return whether it was reached.

        Parameters
        ----------
        wait : float
            Seconds for which the store may wait for a new record.
        """
        async with self.lock:
            return await self._catch_up(wait)

    async def _catch_up(self, wait: Seconds) -> bool:
        for _ in range(_LISTING_ATTEMPTS):
            if self.end is None and not await self._list_all():
                return False
            if not await self._read_forward(wait):
                return False
            if self.end is not None:
                return True
        return False

    async def _read_forward(self, wait: Seconds) -> bool:
        while self.end is not None:
            outcome = await self.store.read(self.topic, self.end, wait)
            if isinstance(outcome, Unavailable):
                return False
            if isinstance(outcome, Trimmed):
                _log.warning('journal history trimmed', first=outcome.first)
                self.end = None
                return True
            self.apply(
                outcome.records,
                Offset(self.end + len(outcome.records)),
            )
            if self.end >= outcome.end:
                return True
        return True

    async def _list_all(self) -> bool:
        """Read the latest value of each key, then continue from the start.

        The start is the partition's end at the first page, so that no record
        appended while the pages are read is missed. From an incomplete listing
        it can't be concluded that a key is gone. Journals need all records, and
        are not read from one.
        """
        listed: list[KeyedRecord] = []
        after = ''
        seen: set[str] = set()
        complete = True
        start: Offset | None = None
        while True:
            page = await self.store.latest(self.topic, after)
            if isinstance(page, Unavailable):
                return False
            start = page.end if start is None else start
            listed.extend(page.records)
            after = page.after
            # Some stores can't continue after a key that is no UTF-8.
            advances = after not in seen
            complete = complete and page.complete and advances
            seen.add(after)
            if not (after and advances):
                break
        if not complete:
            _log.warning(
                'listing incomplete', topic=self.topic.name, after=ascii(after)
            )
        if not complete and self.parts is not None:
            return False
        if complete:
            self.value_by_key.clear()
        if self.parts is not None:
            self.parts.clear()
            # The parts of a value precede it, as in an append.
            listed.sort(key=lambda record: PartKey.parse(record.key) is None)
        self.apply(listed, start)
        return True
