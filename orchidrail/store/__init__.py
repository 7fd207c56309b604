"""The durable, shared log of keyed records, as the product needs it."""

from __future__ import annotations

from orchidrail.store.port import (
    Appended,
    AppendOutcome,
    EndMoved,
    KeyedRecord,
    LatestPage,
    NotAppended,
    ReadOutcome,
    RecordPage,
    StoreLog,
    Topic,
    Trimmed,
    Unavailable,
    Uncertain,
)

__all__ = (
    'AppendOutcome',
    'Appended',
    'EndMoved',
    'KeyedRecord',
    'LatestPage',
    'NotAppended',
    'ReadOutcome',
    'RecordPage',
    'StoreLog',
    'Topic',
    'Trimmed',
    'Unavailable',
    'Uncertain',
)
