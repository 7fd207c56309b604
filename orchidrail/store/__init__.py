"""Interface to the durable, shared log of keyed records."""

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
