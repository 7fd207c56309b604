"""One append at an expected end, and whose records are there after it."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

import structlog

from orchidrail.store import (
    Appended,
    EndMoved,
    KeyedRecord,
    Trimmed,
    Unavailable,
    Uncertain,
)
from orchidrail.types import Offset

if TYPE_CHECKING:
    from orchidrail.journal.follower import JournalView

_log = structlog.get_logger()


class AppendStatus(Enum):
    """Whose records are at the place that an append names."""

    #: Those of the append.
    WRITTEN = 'ours'
    #: Another's, for good: the append can't be carried out any more.
    CONFLICT = 'theirs'
    #: Nobody's yet: the store has refused the append.
    NOT_WRITTEN = 'free'
    #: Not known: the append may have been carried out, or may be yet.
    UNKNOWN = 'unknown'


#: What ends the tries of an append.
FINAL_STATUSES = frozenset((AppendStatus.WRITTEN, AppendStatus.CONFLICT))


async def append_once(
    view: JournalView,
    records: list[KeyedRecord],
    expected: Offset,
) -> AppendStatus:
    """Try to append at the end `expected`; tell what is known of that place.

    After `NOT_WRITTEN` and `UNKNOWN` the append is to be tried again at that
    end, after `UNKNOWN` with the same records.
    """
    async with view.lock:
        return await _append_locked(view, records, expected)


async def _append_locked(
    view: JournalView,
    records: list[KeyedRecord],
    expected: Offset,
) -> AppendStatus:
    outcome = await view.store.append(view.topic, records, expected)
    if isinstance(outcome, Appended):
        view.apply(records, outcome.end)
        return AppendStatus.WRITTEN
    if isinstance(outcome, (EndMoved, Uncertain)):
        return await _read_back(view, records, expected)
    _log.info('append not taken', reason=outcome.reason, at=expected)
    return AppendStatus.NOT_WRITTEN


async def _read_back(
    view: JournalView,
    records: list[KeyedRecord],
    expected: Offset,
) -> AppendStatus:
    page = await view.store.read(view.topic, expected)
    if isinstance(page, Trimmed):
        return AppendStatus.CONFLICT
    if isinstance(page, Unavailable) or not page.records:
        return AppendStatus.UNKNOWN
    found = page.records[: len(records)]
    end = Offset(expected + len(page.records))
    if view.end is None or end > view.end:
        view.apply(page.records, end)
    return AppendStatus.WRITTEN if found == records else AppendStatus.CONFLICT
