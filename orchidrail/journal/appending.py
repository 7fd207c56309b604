"""One conditional append, and whose records are at its offset afterwards."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

import structlog

from orchidrail.store import (
    Appended,
    EndMoved,
    KeyedRecord,
    NotAppended,
    Trimmed,
    Unavailable,
    Uncertain,
    stored_size,
)
from orchidrail.types import Offset

if TYPE_CHECKING:
    from orchidrail.journal.follower import JournalView

_log = structlog.get_logger()


class AppendStatus(Enum):
    """Whose records are at the offset that an append expects."""

    #: Those of the append.
    WRITTEN = 'ours'
    #: Another writer's, permanently: the append can no longer succeed.
    CONFLICT = 'theirs'
    #: None yet: the store has rejected the append.
    NOT_WRITTEN = 'free'
    #: None, and the store will never accept these records.
    REFUSED = 'refused'
    #: Not known: the append may have succeeded, or may still succeed.
    UNKNOWN = 'unknown'


#: Statuses after which an append is not retried.
FINAL_STATUSES = frozenset(
    (AppendStatus.WRITTEN, AppendStatus.CONFLICT, AppendStatus.REFUSED)
)


async def append_once(
    view: JournalView,
    records: list[KeyedRecord],
    expected: Offset,
) -> AppendStatus:
    """Try to append at the end `expected`; return what is known afterwards.

    After `NOT_WRITTEN` and `UNKNOWN` the caller retries at the same end, after
    `UNKNOWN` with the same records.
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
    _log.info(
        'append rejected',
        reason=outcome.reason,
        at=expected,
        records=len(records),
        size=sum(map(stored_size, records)),
        largest=max((stored_size(record) for record in records), default=0),
    )
    if isinstance(outcome, NotAppended):
        return AppendStatus.NOT_WRITTEN
    # An earlier attempt without an answer may have succeeded all the same.
    status = await _read_back(view, records, expected)
    return status if status in FINAL_STATUSES else AppendStatus.REFUSED


async def _read_back(
    view: JournalView,
    records: list[KeyedRecord],
    expected: Offset,
) -> AppendStatus:
    """Read what is at the expected offset, over as many pages as it takes.

    One page may hold less than an append: a short page is no other writer's.
    """
    found: list[KeyedRecord] = []
    while len(found) < len(records):
        page = await view.store.read(view.topic, Offset(expected + len(found)))
        if isinstance(page, Trimmed):
            return AppendStatus.CONFLICT
        if isinstance(page, Unavailable) or not page.records:
            _log.info(
                'append unanswered',
                at=expected,
                records=len(records),
                found=len(found),
                size=sum(len(record.value) for record in records),
            )
            return AppendStatus.UNKNOWN
        found.extend(page.records)
        if found[: len(records)] != records[: len(found)]:
            _apply_found(view, found, expected)
            return AppendStatus.CONFLICT
    _apply_found(view, found, expected)
    return AppendStatus.WRITTEN


def _apply_found(
    view: JournalView, found: list[KeyedRecord], expected: Offset
) -> None:
    """Apply records from the expected offset that the view has not read."""
    end = Offset(expected + len(found))
    if view.end is None or end > view.end:
        view.apply(found, end)
