"""Constrained types of the fields of the platform's documents."""

from __future__ import annotations

from typing import Annotated

import msgspec

_MAX_BITS = 53
#: Above any capacity or count of a worker. As Unix milliseconds, it is enough
#: for 280,000 years.
_MAX_VALUE = 1 << _MAX_BITS
#: Exceptions that decoding untrusted bytes may raise.
DECODE_ERRORS = (msgspec.MsgspecError, UnicodeDecodeError, RecursionError)
NonEmptyText = Annotated[str, msgspec.Meta(min_length=1)]
#: Host and port. Fields that are not used are validated too, so that entries
#: by other writers are rejected.
HostPort = Annotated[str, msgspec.Meta(pattern=r'^[^\s:/@]+:[1-9]\d{0,4}$')]
Count = Annotated[int, msgspec.Meta(ge=0, le=_MAX_VALUE)]
PositiveCount = Annotated[int, msgspec.Meta(gt=0, le=_MAX_VALUE)]
