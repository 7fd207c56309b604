"""Interface to the durable, shared log of keyed records."""

from __future__ import annotations

from orchidrail.store.port import (
    DEFAULT_LIMITS,
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
    StoreLog,
    Topic,
    Trimmed,
    Unavailable,
    Uncertain,
    stored_size,
)

__all__ = (
    'DEFAULT_LIMITS',
    'AppendOutcome',
    'Appended',
    'EndMoved',
    'KeyedRecord',
    'LatestPage',
    'NotAppended',
    'ReadOutcome',
    'RecordPage',
    'Refused',
    'StoreLimits',
    'StoreLog',
    'Topic',
    'Trimmed',
    'Unavailable',
    'Uncertain',
    'stored_size',
)
