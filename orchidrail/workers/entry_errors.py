"""Reasons for which a worker's registration entry is rejected."""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple


class EntryErrorKind(Enum):
    """What is wrong with an entry."""

    #: It can't be parsed.
    UNREADABLE = 'unreadable'
    #: A field is missing, has the wrong type or is out of bounds.
    FIELD = 'field'
    #: Its key is not a valid worker name.
    NAME = 'name'
    #: No queue is run by the service that it names.
    SERVICE = 'service'
    #: It names another start of the worker than the worker itself.
    INCARNATION = 'incarnation'


class InvalidEntry(NamedTuple):
    """A rejected entry; `reason` quotes the offending value."""

    kind: EntryErrorKind
    reason: str
