"""Why an entry names no worker that could be used."""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple


class EntryFlaw(Enum):
    """What is wrong with an entry."""

    #: Its bytes are no document.
    UNREADABLE = 'unreadable'
    #: A field is missing, of another type or out of its bounds.
    FIELD = 'field'
    #: Its key can't be a worker's name.
    NAME = 'name'
    #: No queue is run by its service.
    SERVICE = 'service'


class BadEntry(NamedTuple):
    """An entry that is passed over; `reason` quotes what was met."""

    flaw: EntryFlaw
    reason: str
