"""Why an entry names no worker that could be used."""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple


class EntryErrorKind(Enum):
    """What is wrong with an entry."""

    #: Its bytes are no document.
    UNREADABLE = 'unreadable'
    #: A field is missing, of another type or out of its bounds.
    FIELD = 'field'
    #: Its key can't be a worker's name.
    NAME = 'name'
    #: No queue is run by its service.
    SERVICE = 'service'


class InvalidEntry(NamedTuple):
    """An entry that is passed over; `reason` quotes what was met."""

    kind: EntryErrorKind
    reason: str
