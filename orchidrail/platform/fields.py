"""Constrained types of the fields of the platform's documents."""

from __future__ import annotations

from typing import Annotated

import msgspec

_MAX_BITS = 53
#: Above any capacity or count of a worker. As Unix milliseconds, it is enough
#: for 280,000 years.
_MAX_VALUE = 1 << _MAX_BITS
NonEmptyText = Annotated[str, msgspec.Meta(min_length=1)]
#: Longest text of an entry; real ones are far shorter.
_MAX_TEXT_LENGTH = 255
EntryText = Annotated[
    str, msgspec.Meta(min_length=1, max_length=_MAX_TEXT_LENGTH)
]
Label = Annotated[str, msgspec.Meta(max_length=_MAX_TEXT_LENGTH)]
_MAX_LABELS = 64
Labels = Annotated[list[Label], msgspec.Meta(max_length=_MAX_LABELS)]
#: A host name's labels have at most 63 characters each.
_HOST_LABEL = '[A-Za-z0-9_](?:[A-Za-z0-9_-]{0,61}[A-Za-z0-9_])?'
_PORT = (
    '(?:6553[0-5]|655[0-2][0-9]|65[0-4][0-9]{2}|6[0-4][0-9]{3}'
    '|[1-5][0-9]{4}|[1-9][0-9]{0,3})'
)
#: Host name or IPv4 address, and port. Fields that are not used are validated
#: too, so that entries by other writers are rejected.
HostPort = Annotated[
    str,
    msgspec.Meta(
        pattern=rf'\A(?=.{{1,253}}:){_HOST_LABEL}(?:\.{_HOST_LABEL})*:{_PORT}\Z'
    ),
]
Millis = Annotated[float, msgspec.Meta(ge=0, le=_MAX_VALUE)]
Count = Annotated[int, msgspec.Meta(ge=0, le=_MAX_VALUE)]
PositiveCount = Annotated[int, msgspec.Meta(gt=0, le=_MAX_VALUE)]
