"""Types of single fields in the platform's documents, and their bounds."""

from __future__ import annotations

from typing import Annotated

import msgspec

_MOST_BITS = 53
#: Beyond any room or count of a worker; a start fits for 280,000 years.
_MOST = 1 << _MOST_BITS
#: What decoding bytes of any origin may raise.
DECODE_ERRORS = (msgspec.MsgspecError, UnicodeDecodeError, RecursionError)
NonEmptyText = Annotated[str, msgspec.Meta(min_length=1)]
#: Host and port; what is not used is checked all the same, since an entry by
#: somebody else names no worker.
HostPort = Annotated[str, msgspec.Meta(pattern=r'^[^\s:/@]+:[1-9]\d{0,4}$')]
Count = Annotated[int, msgspec.Meta(ge=0, le=_MOST)]
PositiveCount = Annotated[int, msgspec.Meta(gt=0, le=_MOST)]
